package broker

import (
	"context"
	"io"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"onyxsail/decide"
)

// fakeNodes records what the core asks of its nodes.
type fakeNodes struct {
	mu        sync.Mutex
	sent      []Attempt
	cancelled []AttemptID
	seen      chan struct{}
}

func (f *fakeNodes) Send(_ string, calls []Attempt) {
	f.mu.Lock()
	f.sent = append(f.sent, calls...)
	f.mu.Unlock()
	f.seen <- struct{}{}
}

func (f *fakeNodes) Cancel(_ string, id AttemptID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelled = append(f.cancelled, id)
}
func (f *fakeNodes) Probe(string)     {}
func (f *fakeNodes) CloseIdle(string) {}
func (f *fakeNodes) Update([]Node)    {}

type replies chan Reply

func (r replies) Reply(_ QueryID, reply Reply) { r <- reply }

func newCore(attempts int) (*Core, *fakeNodes) {
	nodes := &fakeNodes{seen: make(chan struct{}, 100)}
	c := New(Options{Nodes: nodes, Log: zerolog.New(io.Discard), Settings: decide.Settings{
		Cells: 1, CellsPerShard: 1, Shards: 8, TickMs: 5, MaxAttempts: attempts, AllowCopies: true, AllowCancel: true, SendRetryAfter: true,
		MaxRetryAfterMs: 2000, MaxPartsPerCall: 1, ColdCapacityShare: 1, ColdOverloadFactor: 3, ColdOverloadMs: 2000, DrainGraceMs: 500,
		Classes: []decide.Class{{ObjectiveMs: 1000, DeadlineMs: 2000, Worth: 1, CompleteShare: 1, MinShare: 1}},
	}})
	c.Roster(Roster{Kind: decide.ListFull, Nodes: []Node{{ID: "a", Addr: "x"}, {ID: "b", Addr: "y"}}})
	return c, nodes
}

func ask() *Query {
	return &Query{Name: "q", Parts: []Part{{Shard: 0, Share: 0.5}, {Shard: 1, Share: 0.5}}, Came: time.Now(), Budget: 2 * time.Second}
}

// An overfull queue refuses queries and takes everything else.
func TestOverfullQueue(t *testing.T) {
	q := newQueue(2)
	for i := range 3 {
		if _, ok := q.offer(input{kind: inQuery}); ok != (i < 2) {
			t.Errorf("offer %d: %v", i, ok)
		}
	}
	q.put(input{kind: inOutcome})
	if n := len(q.take()); n != 3 {
		t.Errorf("%d inputs, want 3", n)
	}
	if _, ok := q.offer(input{kind: inQuery}); !ok {
		t.Error("refused with room again")
	}
	q.close()
	if _, ok := q.offer(input{kind: inQuery}); ok {
		t.Error("taken after the end")
	}
}

// A query gets one answer and an attempt one outcome, also where more comes.
func TestOneAnswerOneOutcome(t *testing.T) {
	c, nodes := newCore(3)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { c.Run(ctx); close(ended) }()
	got := make(replies, 10)
	id, ok := c.Submit(ask(), got)
	if !ok {
		t.Fatal("not taken")
	}
	<-nodes.seen
	<-nodes.seen
	nodes.mu.Lock()
	first, second := nodes.sent[0], nodes.sent[1]
	nodes.mu.Unlock()
	c.Outcome(first.ID, decide.OK, Answer{Value: []byte("1")})
	c.Outcome(first.ID, decide.Failed, Answer{})                   // a second outcome
	c.Outcome(first.ID, decide.OK, Answer{Value: []byte("other")}) // and a third
	c.Outcome(second.ID, decide.OK, Answer{Value: []byte("2")})
	r := <-got
	if r.Verdict != Served || !r.Whole || len(r.Values) != 2 || string(r.Values[0].Data) != "1" {
		t.Errorf("got %+v", r)
	}
	c.Outcome(second.ID, decide.OK, Answer{Value: []byte("2")})
	c.Leave(id)
	cancel()
	<-ended
	if len(got) != 0 || c.Stats().Served != 1 || len(c.tries)+len(c.parts)+len(c.queries)+c.held != 0 {
		t.Errorf("more answers or state left: %d, %+v", len(got), c.Stats())
	}
}

// What is open when the core is stopped still gets its answer.
func TestStopAnswersAll(t *testing.T) {
	c, nodes := newCore(3)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { c.Run(ctx); close(ended) }()
	got := make(replies, 1)
	c.Submit(ask(), got)
	<-nodes.seen
	cancel()
	<-ended
	if r := <-got; r.Verdict == Served {
		t.Errorf("got %+v", r)
	}
}

// The core holds the rules whatever the module asks: nothing to a node whose
// drain was told, no fourth attempt, nothing for a query that has ended, and
// each refused attempt still gets an outcome that proves it never ran.
func TestGuards(t *testing.T) {
	c, _ := newCore(1)
	c.turn()
	now := time.Now()
	c.take(input{id: 1, query: ask(), replier: make(replies, 1)}, now)
	p := c.queries[1].parts[0]
	outcome := func() decide.Outcome {
		for _, in := range c.queue.take() {
			return in.outcome
		}
		return decide.OK
	}
	c.nodes[1].depart(decide.Draining, now.Add(-drainGuard-time.Millisecond))
	send := decide.Action{Kind: decide.Send, ID: p.id, Addr: 1}
	if c.send(&send, now); len(c.batch) != 0 || outcome() != decide.Unreachable {
		t.Error("sent to a node whose drain was told")
	}
	p.tries = nil
	send.Addr = 9
	if c.send(&send, now); len(c.batch) != 0 || outcome() != decide.Unreachable {
		t.Error("sent to a node that is not listed")
	}
	p.tries = nil
	send.Addr = 2
	if c.send(&send, now); len(c.batch) != 1 || c.batch[0].Node != "b" {
		t.Errorf("not sent: %+v", c.batch)
	}
	if c.send(&send, now); len(c.batch) != 1 || outcome() != decide.NotSent {
		t.Error("sent more attempts than allowed")
	}
	whole := make(replies, 1)
	c.queries[1].replier = whole
	p.in, p.value = true, []byte("1")
	c.opts.Settings.Classes[0].MinShare = 0.5 // an answer of one part may be given, but not as a whole one
	c.conclude(&decide.Action{Kind: decide.Answer, ID: c.queries[1].event, Complete: true}, now)
	if r := <-whole; r.Whole || len(r.Values) != 1 {
		t.Errorf("an answer that misses a part is called whole: %+v", r)
	}
}

// New limits hold from the next turn on.
func TestLimitsAtTurnBoundary(t *testing.T) {
	c, _ := newCore(3)
	c.turn()
	got := make(replies, 1)
	c.SetLimits(Limits{QueueLimit: 100, MaxOpen: 2})
	if c.opts.Limits.MaxOpen != 0 {
		t.Fatal("applied outside a turn")
	}
	c.Submit(ask(), got)
	c.turn()
	if r := <-got; r.Verdict != Refused {
		t.Errorf("got %+v, want a refusal: three would be held", r)
	}
}

// Nodes that left long ago are forgotten, and their numbers not used again.
func TestGoneNodesAreForgotten(t *testing.T) {
	c, _ := newCore(3)
	c.turn()
	now := time.Now()
	c.roster(Roster{Kind: decide.ListFull, Nodes: []Node{{ID: "b", Addr: "y"}}}, now)
	c.roster(Roster{Kind: decide.ListDelta}, now.Add(forgetAfter/2))
	if len(c.nodes) != 2 {
		t.Errorf("%d nodes, want the one that left still known", len(c.nodes))
	}
	c.roster(Roster{Kind: decide.ListDelta, Nodes: []Node{{ID: "c", Addr: "z"}}}, now.Add(forgetAfter+time.Second))
	if _, ok := c.names["a"]; ok || len(c.nodes) != 2 || c.names["c"] != 3 {
		t.Errorf("names %v", c.names)
	}
}

// A query under the id of an open one gets its answer at once and harms nobody.
func TestDuplicateID(t *testing.T) {
	c, nodes := newCore(3)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { c.Run(ctx); close(ended) }()
	defer func() { cancel(); <-ended }()
	first, second := make(replies, 2), make(replies, 2)
	submit := func(r replies) {
		if _, ok := c.Submit(ask(), r); !ok {
			t.Fatal("not taken")
		}
	}
	submit(first)
	<-nodes.seen
	<-nodes.seen
	submit(second)
	if r := <-second; r.Verdict != Duplicate {
		t.Errorf("the newcomer got %+v", r)
	}
	for _, a := range nodes.sent {
		c.Outcome(a.ID, decide.OK, Answer{Value: []byte("v")})
	}
	if r := <-first; r.Verdict != Served || !r.Whole || len(r.Values) != 2 {
		t.Errorf("the open query got %+v", r)
	}
	submit(second) // its id is free again
	<-nodes.seen
	if len(second) != 0 {
		t.Errorf("after the first had ended: %+v", <-second)
	}
}

// What a turn sends and gives up again must take nothing with it: the other parts of
// its call leave, and it does not, neither as the first of them nor as a later one.
func TestCallWithoutThePartsThatAreGivenUp(t *testing.T) {
	for _, off := range [][]int{{0}, {1}, {2}, {0, 1}, {0, 1, 2}} {
		c, nodes := newCore(3)
		c.opts.Settings.MaxPartsPerCall = 4
		c.turn()
		now := time.Now()
		want := map[AttemptID]bool{}
		for i := range 3 {
			q := ask()
			q.Name = string(rune('a' + i))
			c.take(input{id: QueryID(i + 1), query: q, replier: make(replies, 1)}, now)
			c.send(&decide.Action{Kind: decide.Send, ID: c.queries[QueryID(i+1)].parts[0].id, Addr: 1}, now)
			want[c.lastTry] = true
		}
		for _, i := range off {
			q := c.queries[QueryID(i+1)]
			delete(want, q.parts[0].tries[0].id)
			c.drop(q, now)
		}
		c.flush()
		got := map[AttemptID]bool{}
		for _, a := range nodes.sent {
			got[a.ID] = true
		}
		if !maps.Equal(got, want) || len(nodes.sent) != len(want) {
			t.Errorf("%v given up: sent %v, want %v", off, got, want)
		}
	}
}

// Until when an attempt may begin is told with it, as it may wait for a connection
// that long: within its query's time, and a repeat of what may have run within the
// class's window from the first such attempt, or not at all.
func TestAttemptsAreToldTheirLatestBeginning(t *testing.T) {
	const window = 300 * time.Millisecond
	for _, c := range []struct {
		effect decide.Effect
		first  decide.Outcome
		want   time.Duration // after the first attempt; 0: as long as the query has time
		never  bool
	}{
		{decide.Safe, decide.ConnectionLost, 0, false},
		{decide.Keyed, decide.ConnectionLost, window - 5*time.Millisecond, false},
		{decide.Keyed, decide.TimedOut, window - 5*time.Millisecond, false},
		{decide.Keyed, decide.Unreachable, 0, false},
		{decide.Keyed, decide.Rejected, 0, false},
		{decide.Unsafe, decide.Rejected, 0, false},
		{decide.Unsafe, decide.ConnectionLost, 0, true},
	} {
		core, _ := newCore(3)
		class := &core.opts.Settings.Classes[0]
		class.Effect, class.DedupWindowMs = c.effect, float64(window.Milliseconds())
		core.turn()
		first := time.Now()
		q := ask()
		q.Came = first
		core.take(input{id: 1, query: q, replier: make(replies, 1)}, first)
		p := core.queries[1].parts[0]
		send := decide.Action{Kind: decide.Send, ID: p.id, Addr: 1}
		core.send(&send, first)
		core.ended(p.tries[0], c.first, ByNode, time.Time{}, first)
		core.batch = core.batch[:0]
		core.queue.take()
		core.send(&send, first.Add(window/2))
		if c.never {
			if in := core.queue.take(); len(core.batch) != 0 || len(in) != 1 || in[0].outcome != decide.NotSent {
				t.Errorf("%+v: sent", c)
			}
			continue
		}
		want := first.Add(c.want)
		if c.want == 0 {
			want = first.Add(q.Budget)
		}
		if len(core.batch) != 1 || !core.batch[0].Latest.Equal(want) {
			t.Errorf("%+v: %+v, want until %v", c, core.batch, want)
		}
		core.batch = core.batch[:0]
		core.ended(p.tries[1], decide.Unreachable, ByNode, time.Time{}, first)
		if core.send(&send, first.Add(window)); (len(core.batch) == 0) != (c.want != 0) {
			t.Errorf("%+v: after the window: %+v", c, core.batch)
		}
	}
}

// heardNodes keeps the list that the node clients were told.
type heardNodes struct {
	*fakeNodes
	list []Node
}

func (h *heardNodes) Update(list []Node) { h.list = list }

// The node clients are told until when work may begin at a node whose drain has been
// told, by the first telling, and never later than half of the grace.
func TestDrainsAreToldWithTheirLatestBeginning(t *testing.T) {
	for grace, guard := range map[float64]time.Duration{500: drainGuard, 1000: drainGuard, 100: 50 * time.Millisecond} {
		c, nodes := newCore(3)
		heard := &heardNodes{fakeNodes: nodes}
		c.opts.Nodes, c.opts.Settings.DrainGraceMs = heard, grace
		now := time.Now()
		c.roster(Roster{Kind: decide.ListFull, Nodes: []Node{{ID: "a", Addr: "x"}, {ID: "b", Addr: "y", State: decide.Draining}}}, now)
		c.roster(Roster{Kind: decide.ListDelta, Nodes: []Node{{ID: "b", Addr: "y", State: decide.Draining}}}, now.Add(time.Second))
		for _, n := range heard.list {
			if want := now.Add(guard); n.ID == "a" && !n.Latest.IsZero() || n.ID == "b" && !n.Latest.Equal(want) {
				t.Errorf("grace %v ms: %+v, told %v", grace, n, now)
			}
		}
		c.roster(Roster{Kind: decide.ListDelta, Nodes: []Node{{ID: "b", Addr: "y"}}}, now.Add(2*time.Second))
		for _, n := range heard.list {
			if !n.Latest.IsZero() {
				t.Errorf("grace %v ms, back in service: %+v", grace, n)
			}
		}
	}
}

// A client that leaves in the turn in which an outcome would start a further attempt, or
// its own query's first, in either order: nothing begins for it.
func TestNothingBeginsForAClientThatLeftInTheSameTurn(t *testing.T) {
	for _, first := range []bool{true, false} {
		c, nodes := newCore(3)
		c.turn()
		id, ok := c.Submit(ask(), make(replies, 1))
		if !ok {
			t.Fatal("not taken")
		}
		c.turn()
		out := len(nodes.sent)
		if out != 2 {
			t.Fatalf("%d attempts", out)
		}
		if first {
			c.Leave(id)
		}
		c.Outcome(nodes.sent[0].ID, decide.Failed, Answer{})
		c.Outcome(nodes.sent[1].ID, decide.Rejected, Answer{})
		if !first {
			c.Leave(id)
		}
		late := ask()
		late.Name = "late"
		other, ok := c.Submit(late, make(replies, 1))
		if !ok {
			t.Fatal("not taken")
		}
		c.Leave(other)
		c.turn()
		c.turn()
		if len(nodes.sent) != out || len(c.queries)+len(c.tries)+c.held != 0 {
			t.Errorf("left first %v: %d attempts more; state left", first, len(nodes.sent)-out)
		}
	}
}

// absent is a client of whom the front can tell that it has left, though the news of it
// has not come to the core yet.
type absent struct {
	replies
	gone bool
}

// Gone says so.
func (a *absent) Gone() bool { return a.gone }

// A core that has been held up hears of an outcome before the front has read the end of
// the client's connection: no further attempt begins for a client that has gone, nor does
// one that waits for its connection.
func TestNothingBeginsForAClientThatHasGone(t *testing.T) {
	c, nodes := newCore(3)
	c.turn()
	client := &absent{replies: make(replies, 1)}
	q := ask()
	q.Came = q.Came.Add(-100 * time.Millisecond)
	if _, ok := c.Submit(q, client); !ok {
		t.Fatal("not taken")
	}
	c.turn()
	out := len(nodes.sent)
	if out != 2 {
		t.Fatalf("%d attempts", out)
	}
	later := time.Now().Add(time.Second)
	waits := nodes.sent[0]
	if waits.Late(time.Time{}, later) {
		t.Error("late while the client is there")
	}
	for _, q := range c.queries {
		q.there = q.there.Add(-time.Second) // the core is held up
	}
	client.gone = true
	if !waits.Late(time.Time{}, later) {
		t.Error("an attempt that has waited for its connection begins for a client that has gone")
	}
	c.Outcome(nodes.sent[0].ID, decide.Failed, Answer{})
	c.Outcome(nodes.sent[1].ID, decide.Rejected, Answer{})
	c.turn()
	c.turn()
	if len(nodes.sent) != out {
		t.Errorf("%d attempts more", len(nodes.sent)-out)
	}
	if len(c.queries)+len(c.tries)+c.held != 0 {
		t.Error("state is left")
	}
}

// An answer of less than the class's least share is none, whatever the module says.
func TestNoAnswerUnderTheLeastShare(t *testing.T) {
	for in, want := range []Verdict{Failed, Failed, Served} { // parts that are in, of two
		c, _ := newCore(3)
		c.opts.Settings.Classes[0].MinShare = 0.7
		c.turn()
		now, got := time.Now(), make(replies, 1)
		c.take(input{id: 1, query: ask(), replier: got}, now)
		for _, p := range c.queries[1].parts[:in] {
			p.in, p.value = true, []byte("1")
		}
		c.conclude(&decide.Action{Kind: decide.Answer, ID: c.queries[1].event}, now)
		if r := <-got; r.Verdict != want || want == Failed && len(r.Values) != 0 {
			t.Errorf("%d parts in: %+v, want %v", in, r, want)
		}
	}
}

// An answer of discovery may name a node more than once; what it says last holds, and a
// drain among it is told anew. What a whole list leaves out is gone, though a change that
// was on its way names it: that one is newer and brings it back.
func TestEntriesInARow(t *testing.T) {
	in, draining, gone := Node{ID: "a", Addr: "x"}, Node{ID: "a", Addr: "x", State: decide.Draining}, Node{ID: "a", Addr: "x", State: decide.Removed}
	moved := Node{ID: "a", Addr: "z"}
	c, nodes := newCore(3)
	heard := &heardNodes{fakeNodes: nodes}
	c.opts.Nodes = heard
	c.turn()
	now := time.Now()
	for i, step := range []struct {
		kind    decide.ListKind
		entries []Node
		state   decide.State
		addr    string // "": not listed
		drains  bool
	}{
		{decide.ListDelta, []Node{draining, in}, decide.Ready, "x", false},
		{decide.ListDelta, []Node{in, draining}, decide.Draining, "x", true},
		{decide.ListDelta, []Node{gone, in, draining, moved}, decide.Ready, "z", false},
		{decide.ListDelta, []Node{moved, gone}, decide.Removed, "", false},
		{decide.ListDelta, []Node{in}, decide.Ready, "x", false},
		{decide.ListFull, []Node{{ID: "b", Addr: "y"}}, decide.Removed, "", false},
		{decide.ListDelta, []Node{draining}, decide.Draining, "x", true},
		{decide.ListFull, []Node{draining, in}, decide.Ready, "x", false},
	} {
		at := now.Add(time.Duration(i) * time.Second)
		c.roster(Roster{Kind: step.kind, Nodes: step.entries}, at)
		if s := c.nodes[c.names["a"]].State; s != step.state {
			t.Errorf("step %d: state %v, want %v", i, s, step.state)
		}
		listed := ""
		for _, n := range heard.list {
			if n.ID != "a" {
				continue
			}
			if listed = n.Addr; n.Latest.IsZero() == step.drains || step.drains && n.Latest.After(at.Add(drainGuard)) {
				t.Errorf("step %d: work may begin until %v, now %v", i, n.Latest, at)
			}
		}
		if listed != step.addr {
			t.Errorf("step %d: at %q, want %q", i, listed, step.addr)
		}
	}
}
