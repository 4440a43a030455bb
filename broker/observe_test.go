package broker

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"onyxsail/decide"
)

// told keeps what an observer hears, as text.
type told struct {
	mu   sync.Mutex
	all  []string
	last chan string
}

func (o *told) note(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.all = append(o.all, fmt.Sprintf(format, args...))
	select {
	case o.last <- o.all[len(o.all)-1]:
	default:
	}
}
func (o *told) Taken(id QueryID, q *Query, _ time.Time)   { o.note("taken %d %s", id, q.Name) }
func (o *told) TurnedAway(q *Query, _ time.Time)          { o.note("turned away %s", q.Name) }
func (o *told) Opened(p Opening)                          { o.note("opened %d shard %d n %d why %d", p.ID, p.Shard, p.N, p.Why) }
func (o *told) Cancelled(id AttemptID, _ time.Time)       { o.note("cancelled %d", id) }
func (o *told) Doubted(node string, on bool, _ time.Time) { o.note("doubted %s %v", node, on) }
func (o *told) Final(id QueryID, r *Reply, _ time.Time)   { o.note("final %d %d", id, r.Verdict) }
func (o *told) Ended(id AttemptID, out decide.Outcome, by Cause, _, _ time.Time) {
	o.note("ended %d %d by %d", id, out, by)
}

func (o *told) has(text string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range o.all {
		if s == text {
			return true
		}
	}
	return false
}

func (o *told) wait(t *testing.T, text string) {
	t.Helper()
	for limit := time.After(10 * time.Second); !o.has(text); {
		select {
		case <-o.last:
		case <-limit:
			t.Fatalf("never heard %q, but %q", text, o.all)
		}
	}
}

// Each query has one beginning and one end, each attempt one opening and one
// outcome, with its reason and its cause.
func TestObserverHearsAll(t *testing.T) {
	c, nodes := newCore(3)
	o := &told{last: make(chan string, 100)}
	c.opts.Observer = o
	c.opts.Limits.MaxOpen = 4 // one query of two parts
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { c.Run(ctx); close(ended) }()
	got := make(replies, 10)
	c.Submit(ask(), got)
	<-nodes.seen
	<-nodes.seen
	nodes.mu.Lock()
	first, second := nodes.sent[0].ID, nodes.sent[1].ID
	nodes.mu.Unlock()
	o.wait(t, fmt.Sprintf("opened %d shard 0 n 0 why 0", first))
	c.Outcome(first, decide.Failed, Answer{}) // so that the part is tried again
	<-nodes.seen
	nodes.mu.Lock()
	third := nodes.sent[2].ID
	nodes.mu.Unlock()
	o.wait(t, fmt.Sprintf("opened %d shard 0 n 1 why %d", third, Retry))
	o.wait(t, fmt.Sprintf("ended %d %d by %d", first, decide.Failed, ByNode))

	more := ask()
	more.Name = "r"
	c.Submit(more, got) // refused before any attempt
	o.wait(t, fmt.Sprintf("final 2 %d", Refused))
	c.Leave(1) // the client leaves with two attempts out
	o.wait(t, fmt.Sprintf("final 1 %d", Left))
	o.wait(t, fmt.Sprintf("cancelled %d", second))
	o.wait(t, fmt.Sprintf("ended %d %d by %d", second, decide.Cancelled, ByCore))
	o.wait(t, fmt.Sprintf("ended %d %d by %d", third, decide.Cancelled, ByCore))
	c.Outcome(third, decide.OK, Answer{Value: []byte("late")}) // changes nothing any more

	c.queue.setLimit(1)
	c.queue.mu.Lock()
	c.queue.limit = 0
	c.queue.mu.Unlock()
	if _, ok := c.Submit(more, got); ok || !o.has("turned away r") {
		t.Errorf("a query that found the queue full: %v, %q", ok, o.all)
	}
	cancel()
	<-ended
	count := map[string]int{}
	for _, s := range o.all {
		var kind string
		var id int
		if _, err := fmt.Sscanf(s, "%s %d", &kind, &id); err == nil {
			count[fmt.Sprintf("%s %d", kind, id)]++
		}
	}
	for what, n := range count {
		if n != 1 {
			t.Errorf("%q was told %d times: %q", what, n, o.all)
		}
	}
}

// A copy and a trial are told as such.
func TestObserverReasons(t *testing.T) {
	c, _ := newCore(3)
	o := &told{last: make(chan string, 100)}
	c.opts.Observer = o
	now := time.Now()
	c.roster(Roster{Kind: decide.ListFull, Nodes: []Node{{ID: "a"}, {ID: "b"}}}, now)
	q := &query{Query: *ask(), id: 1}
	c.queries[1] = q
	p := &part{id: 5, q: q, shard: 3}
	c.parts[5] = p
	c.send(&decide.Action{ID: 5, Addr: 1, Unhealthy: true}, now)
	c.send(&decide.Action{ID: 5, Addr: 2}, now)
	c.giveUp(p.tries[0], now)
	c.ended(p.tries[1], decide.Failed, ByNode, now, now)
	c.send(&decide.Action{ID: 5, Addr: 2}, now)
	c.carryOut(&decide.Action{Kind: decide.Log, Addr: 2, Unhealthy: true, Text: "x"}, now)
	want := []string{
		fmt.Sprintf("opened 1 shard 3 n 0 why %d", Trial), fmt.Sprintf("opened 2 shard 3 n 1 why %d", Copy), "cancelled 1",
		fmt.Sprintf("ended 2 %d by 0", decide.Failed), fmt.Sprintf("opened 3 shard 3 n 2 why %d", Retry), "doubted b true",
	}
	if fmt.Sprint(o.all) != fmt.Sprint(want) {
		t.Errorf("got  %q\nwant %q", o.all, want)
	}
}
