package broker

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"onyxsail/decide"
)

// recordingObserver is an Observer that records each call as text.
type recordingObserver struct {
	mu     sync.Mutex
	events []string
	newest chan string // receives new events, as far as its buffer has room
}

func (o *recordingObserver) record(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.events = append(o.events, fmt.Sprintf(format, args...))
	select {
	case o.newest <- o.events[len(o.events)-1]:
	default:
	}
}
func (o *recordingObserver) QueryReceived(id QueryID, q *Query, _ time.Time) {
	o.record("received %d %s", id, q.RequestID)
}
func (o *recordingObserver) QueryTurnedAway(q *Query, _ time.Time) {
	o.record("turned away %s", q.RequestID)
}
func (o *recordingObserver) AttemptOpened(info AttemptInfo) {
	o.record("opened %d shard %d index %d reason %d", info.ID, info.Shard, info.Index, info.Reason)
}
func (o *recordingObserver) AttemptCancelled(id AttemptID, _ time.Time) { o.record("cancelled %d", id) }
func (o *recordingObserver) NodeSuspected(node string, suspected bool, _ time.Time) {
	o.record("suspected %s %v", node, suspected)
}
func (o *recordingObserver) QueryEnded(id QueryID, r *Reply, _ time.Time) {
	o.record("query-ended %d %d", id, r.Verdict)
}
func (o *recordingObserver) AttemptEnded(id AttemptID, outcome decide.Outcome, cause EndCause, _, _ time.Time) {
	o.record("ended %d %d by %d", id, outcome, cause)
}

func (o *recordingObserver) has(text string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range o.events {
		if s == text {
			return true
		}
	}
	return false
}

func (o *recordingObserver) wait(t *testing.T, text string) {
	t.Helper()
	for limit := time.After(10 * time.Second); !o.has(text); {
		select {
		case <-o.newest:
		case <-limit:
			t.Fatalf("never observed %q, only %q", text, o.events)
		}
	}
}

// The observer must see one start and one end of each query and of each attempt, with the
// attempt's reason and the cause of its end.
func TestObserverSeesEachStartAndEndOnce(t *testing.T) {
	c, nodes := newTestCore(3)
	o := &recordingObserver{newest: make(chan string, 100)}
	c.opts.Observer = o
	c.opts.Limits.MaxOpen = 4 // one query of two parts
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { c.Run(ctx); close(ended) }()
	got := make(replyChan, 10)
	c.Submit(newQuery(), got)
	<-nodes.sendCalls
	<-nodes.sendCalls
	nodes.mu.Lock()
	first, second := nodes.sent[0].ID, nodes.sent[1].ID
	nodes.mu.Unlock()
	o.wait(t, fmt.Sprintf("opened %d shard 0 index 0 reason 0", first))
	c.AttemptOutcome(first, decide.Failed, Response{}) // makes the module retry the part
	<-nodes.sendCalls
	nodes.mu.Lock()
	third := nodes.sent[2].ID
	nodes.mu.Unlock()
	o.wait(t, fmt.Sprintf("opened %d shard 0 index 1 reason %d", third, ReasonRetry))
	o.wait(t, fmt.Sprintf("ended %d %d by %d", first, decide.Failed, EndedByNode))

	secondQuery := newQuery()
	secondQuery.RequestID = "r"
	c.Submit(secondQuery, got) // refused before any attempt
	o.wait(t, fmt.Sprintf("query-ended 2 %d", Refused))
	c.Leave(1) // the client disconnects with two attempts outstanding
	o.wait(t, fmt.Sprintf("query-ended 1 %d", ClientLeft))
	o.wait(t, fmt.Sprintf("cancelled %d", second))
	o.wait(t, fmt.Sprintf("ended %d %d by %d", second, decide.Cancelled, EndedByCore))
	o.wait(t, fmt.Sprintf("ended %d %d by %d", third, decide.Cancelled, EndedByCore))
	c.AttemptOutcome(third, decide.OK, Response{Value: []byte("late")}) // too late: has no effect

	c.queue.setLimit(1)
	c.queue.mu.Lock()
	c.queue.limit = 0
	c.queue.mu.Unlock()
	if _, ok := c.Submit(secondQuery, got); ok || !o.has("turned away r") {
		t.Errorf("a query with the queue full: accepted %v, observed %q, want it reported as turned away", ok, o.events)
	}
	cancel()
	<-ended
	count := map[string]int{}
	for _, s := range o.events {
		var kind string
		var id int
		if _, err := fmt.Sscanf(s, "%s %d", &kind, &id); err == nil {
			count[fmt.Sprintf("%s %d", kind, id)]++
		}
	}
	for event, n := range count {
		if n != 1 {
			t.Errorf("%q was observed %d times: %q", event, n, o.events)
		}
	}
}

// The observer must see a hedged copy and a probation attempt with their own reasons, not as
// a retry or a first attempt.
func TestObserverSeesCopyAndProbationReasons(t *testing.T) {
	c, _ := newTestCore(3)
	o := &recordingObserver{newest: make(chan string, 100)}
	c.opts.Observer = o
	now := time.Now()
	c.applyRoster(Roster{Kind: decide.ListFull, Nodes: []Node{{ID: "a"}, {ID: "b"}}}, now)
	q := &queryState{Query: *newQuery(), id: 1}
	c.queries[1] = q
	p := &partState{id: 5, query: q, shard: 3}
	c.parts[5] = p
	c.openAttempt(&decide.Action{ID: 5, Addr: 1, Unhealthy: true}, now)
	c.openAttempt(&decide.Action{ID: 5, Addr: 2}, now)
	c.cancelAttempt(p.attempts[0], now)
	c.endAttempt(p.attempts[1], decide.Failed, EndedByNode, now, now)
	c.openAttempt(&decide.Action{ID: 5, Addr: 2}, now)
	c.executeAction(&decide.Action{Kind: decide.Log, Addr: 2, Unhealthy: true, Text: "x"}, now)
	want := []string{
		fmt.Sprintf("opened 1 shard 3 index 0 reason %d", ReasonProbation), fmt.Sprintf("opened 2 shard 3 index 1 reason %d", ReasonCopy), "cancelled 1",
		fmt.Sprintf("ended 2 %d by 0", decide.Failed), fmt.Sprintf("opened 3 shard 3 index 2 reason %d", ReasonRetry), "suspected b true",
	}
	if fmt.Sprint(o.events) != fmt.Sprint(want) {
		t.Errorf("got  %q\nwant %q", o.events, want)
	}
}
