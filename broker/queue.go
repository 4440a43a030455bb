package broker

import (
	"sync"
	"time"

	"onyxsail/decide"
)

// inputKind says which fields of an input are set.
type inputKind uint8

const (
	inputQuery inputKind = iota
	inputClientLeft
	inputAttemptOutcome
	inputProbeOutcome
	inputRoster
	inputLimits
	inputAnswerDeadline
	inputRosterCounts
	inputReconfigure
)

// input is a message to the core from another goroutine.
type input struct {
	kind         inputKind
	query        *Query
	replier      Replier
	queryID      QueryID
	attemptID    AttemptID
	outcome      decide.Outcome
	fromCore     bool // with inputAttemptOutcome: produced by the core, not by a node client
	response     Response
	nodeID       string
	took         time.Duration // with inputProbeOutcome
	roster       Roster
	limits       Limits
	deadline     time.Time           // with inputAnswerDeadline
	classes      []decide.Class      // with inputReconfigure
	maxAttempts  int                 // with inputReconfigure
	rosterCounts chan<- RosterCounts // with inputRosterCounts; buffered, so that the core does not block
}

// inputQueue holds the inputs that wait for the next turn. Only queries are ever refused. Every
// other input is either a response to something that the core has outstanding (an attempt, a
// query, a probe) or one of the few from discovery and the operator, so their number is
// bounded by what was admitted before, and they are never dropped. The queue uses a mutex
// rather than a channel so that a socket goroutine never blocks on the core while the core
// waits for that socket's lock.
type inputQueue struct {
	mu          sync.Mutex
	items       []input
	spare       []input // last result of takeAll, for reuse
	limit       int
	lastQueryID QueryID
	closed      bool
	ready       chan struct{} // capacity 1; signals that inputs are waiting
}

// newInputQueue returns an empty queue that refuses queries while limit inputs are waiting.
func newInputQueue(limit int) *inputQueue {
	return &inputQueue{limit: limit, ready: make(chan struct{}, 1)}
}

// offer adds a query and assigns its ID. It returns false if the queue is full or closed.
func (q *inputQueue) offer(in input) (QueryID, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || len(q.items) >= q.limit {
		return 0, false
	}
	q.lastQueryID++
	in.queryID = q.lastQueryID
	q.push(in)
	return in.queryID, true
}

// put adds an input other than a query. It never fails.
func (q *inputQueue) put(in input) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.push(in)
}

// push appends an input and signals ready; q.mu is held.
func (q *inputQueue) push(in input) {
	q.items = append(q.items, in)
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// takeAll removes and returns all waiting inputs. The slice is valid until the next call.
func (q *inputQueue) takeAll() []input {
	q.mu.Lock()
	defer q.mu.Unlock()
	clear(q.spare)
	items := q.items
	q.items, q.spare = q.spare[:0], items
	return items
}

// setLimit changes the limit, unless n is not above 0.
func (q *inputQueue) setLimit(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if n > 0 {
		q.limit = n
	}
}

// close makes the queue refuse all later queries and returns the inputs that are waiting.
func (q *inputQueue) close() []input {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	return q.takeAll()
}
