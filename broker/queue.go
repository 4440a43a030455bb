package broker

import (
	"sync"
	"time"

	"onyxsail/decide"
)

type inputKind uint8

const (
	inQuery inputKind = iota
	inLeave
	inOutcome
	inProbed
	inRoster
	inLimits
	inEndBy
	inSurvey
	inReconfigure
)

// input is one thing that reached the core from another goroutine.
type input struct {
	kind     inputKind
	query    *Query
	replier  Replier
	id       QueryID
	attempt  AttemptID
	outcome  decide.Outcome
	ours     bool // with inOutcome: the core made it up itself
	answer   Answer
	node     string
	took     time.Duration
	roster   Roster
	limits   Limits
	at       time.Time      // with inEndBy
	classes  []decide.Class // with inReconfigure
	attempts int            // the same
	survey   chan<- Survey  // with inSurvey; has room for the answer
}

// queue holds what waits for the next turn. Only queries can be refused: each
// other input answers something the core has out itself (an attempt, a query, a
// probe) or is one of the few of the roster and the operator, so room for it is
// bounded by what was let in before, and it is never dropped. A mutex and no
// channel, so that a socket goroutine never blocks on the core while the core
// waits for that socket's lock.
type queue struct {
	mu    sync.Mutex
	items []input
	spare []input
	limit int
	next  QueryID
	shut  bool
	ready chan struct{}
}

func newQueue(limit int) *queue {
	return &queue{limit: limit, ready: make(chan struct{}, 1)}
}

// offer adds a query and names it; it refuses when the queue is full.
func (q *queue) offer(in input) (QueryID, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.shut || len(q.items) >= q.limit {
		return 0, false
	}
	q.next++
	in.id = q.next
	q.push(in)
	return in.id, true
}

// put adds anything else.
func (q *queue) put(in input) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.push(in)
}

func (q *queue) push(in input) {
	q.items = append(q.items, in)
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// take returns all that waits. The slice is valid until the next call.
func (q *queue) take() []input {
	q.mu.Lock()
	defer q.mu.Unlock()
	clear(q.spare)
	items := q.items
	q.items, q.spare = q.spare[:0], items
	return items
}

func (q *queue) setLimit(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if n > 0 {
		q.limit = n
	}
}

// close refuses all later queries and returns what still waits.
func (q *queue) close() []input {
	q.mu.Lock()
	q.shut = true
	q.mu.Unlock()
	return q.take()
}
