package flightnode

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"onyxsail/broker"
	"onyxsail/decide"
	"onyxsail/dial"
)

const (
	// withdrawGrace is how long the library may take to drop a ticket whose call has ended, or to
	// finish writing it. Unless the socket is blocked it takes microseconds. After it the ticket is
	// not written any more.
	withdrawGrace = 20 * time.Millisecond
	// startSlack is how much later than its limit a ticket may be written. It spares a connection
	// where the write and the timer that takes the ticket back come together.
	startSlack = 10 * time.Millisecond
)

// ticketState says how far the ticket of an attempt has got on its way to the node.
type ticketState uint8

const (
	ticketQueued    ticketState = iota // not passed to the kernel whole; the library may hold it
	ticketWriting                      // its last byte is being passed to the kernel
	ticketWritten                      // the kernel has it whole
	ticketWithdrawn                    // its last byte has not been passed to the kernel and never will be
)

// startLimit says until when attempts may start at a node.
type startLimit struct {
	listed bool
	latest time.Time // zero: no limit
}

// ticket is the ticket of one attempt on its way to the node. The library sends it when the node's
// flow control permits it, so whether it may still start the part is decided here, when its last
// byte is about to be passed to the kernel.
type ticket struct {
	attempt broker.Attempt
	node    *atomic.Pointer[startLimit]
	cancel  context.CancelFunc           // ends the attempt's call
	written func(time.Time)              // called once when the ticket has been written whole
	conns   *atomic.Pointer[trackedConn] // the node's latest connection

	settled chan struct{} // closed when it is written or withdrawn

	mu         sync.Mutex
	state      ticketState
	conn       *trackedConn // to which its headers were written; nil: to none yet
	end        int64        // position after its last byte in that connection's stream
	limit      *time.Timer  // takes it back; nil: it has not been passed to the library
	limitAt    time.Time    // when limit fires
	reported   bool         // written was called
	nodeAnswer bool         // the node ended the call
	expired    bool         // it was not written in time
}

// mustNotStart reports whether it is too late for the attempt to start.
func (t *ticket) mustNotStart(now time.Time) bool {
	limit := t.node.Load()
	return !limit.listed || t.attempt.MustNotStart(limit.latest, now)
}

// armLimit starts the timer that takes the ticket back if it is not written in time. It is called
// when the ticket is passed to the library.
func (t *ticket) armLimit(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limitAt = now.Add(dial.RequestWriteTimeout)
	for _, latest := range []time.Time{t.attempt.LatestStart, t.node.Load().latest} {
		if !latest.IsZero() && latest.Before(t.limitAt) {
			t.limitAt = latest
		}
	}
	t.limit = time.AfterFunc(time.Until(t.limitAt), t.expire)
}

// stopLimit stops the timer at the end of the attempt.
func (t *ticket) stopLimit() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limit != nil {
		t.limit.Stop()
	}
}

// applyNodeLimit applies a changed limit of the node to a ticket that the library may hold.
func (t *ticket) applyNodeLimit() {
	limit := t.node.Load()
	if !limit.listed {
		t.expire()
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limit != nil && !limit.latest.IsZero() && limit.latest.Before(t.limitAt) {
		t.limitAt = limit.latest
		t.limit.Reset(time.Until(t.limitAt))
	}
}

// expire ends the call of a ticket that is not written in time. A connection whose writes have been
// blocked all the time is reset, so that the next attempt gets another one.
func (t *ticket) expire() {
	t.mu.Lock()
	t.expired = t.state != ticketWritten
	expired := t.expired
	t.mu.Unlock()
	if !expired {
		return
	}
	t.cancel()
	if conn := t.conns.Load(); conn != nil && conn.blockedFor(time.Now()) >= dial.RequestWriteTimeout {
		conn.reset()
	}
}

// currentState returns the ticket's state.
func (t *ticket) currentState() ticketState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state
}

// setState sets the state; t.mu is held.
func (t *ticket) setState(state ticketState) {
	t.state = state
	if state == ticketWritten || state == ticketWithdrawn {
		close(t.settled)
	}
}

// headersWritten is called when the request's headers are written to a connection.
func (t *ticket) headersWritten(conn *trackedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn = conn
}

// beginWrite is called before the ticket's last byte is passed to the kernel and reports whether
// that is still permitted. end is the position after that byte.
func (t *ticket) beginWrite(end int64) bool {
	tooLate := t.mustNotStart(time.Now().Add(-startSlack))
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state == ticketQueued && tooLate {
		t.setState(ticketWithdrawn)
	}
	if t.state != ticketQueued {
		return false
	}
	t.end = end
	t.setState(ticketWriting)
	return true
}

// endWrite is called after beginWrite with whether the last byte was passed to the kernel.
func (t *ticket) endWrite(written bool, now time.Time) {
	t.mu.Lock()
	if !written {
		t.setState(ticketWithdrawn) // the connection is broken
		t.mu.Unlock()
		return
	}
	t.setState(ticketWritten)
	t.mu.Unlock()
	t.reportWritten(now)
}

// withdraw prevents the ticket from being written if that is still possible, and returns its state
// then. It is called once the library should have dropped the ticket: if the library writes it all
// the same, the connection is closed.
func (t *ticket) withdraw() ticketState {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state == ticketQueued {
		t.setState(ticketWithdrawn)
	}
	return t.state
}

// answered is called when the node has ended the call. received says that the answer proves that the
// node has the ticket.
func (t *ticket) answered(received bool, now time.Time) {
	t.mu.Lock()
	t.nodeAnswer = true
	t.mu.Unlock()
	if received {
		t.reportWritten(now)
	}
}

// endedByNode reports whether the node ended the call and nothing more is written for it.
func (t *ticket) endedByNode() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.nodeAnswer && t.state != ticketWithdrawn
}

// reportWritten calls written, once.
func (t *ticket) reportWritten(now time.Time) {
	t.mu.Lock()
	first := !t.reported
	t.reported = true
	t.mu.Unlock()
	if first {
		t.written(now)
	}
}

// settle returns the outcome of the attempt, given how its call ended. If the call ended without an
// answer from the node and the ticket was never written whole, the part never ran.
func (t *ticket) settle(outcome decide.Outcome, now time.Time) decide.Outcome {
	switch outcome {
	case decide.ConnectionLost, decide.TimedOut, decide.Cancelled:
	default:
		t.answered(outcome == decide.OK, now)
		return outcome
	}
	t.awaitSettled()
	switch t.withdraw() {
	case ticketWithdrawn:
		if t.mustNotStart(time.Now()) {
			return decide.NotSent
		}
		return decide.Unreachable
	case ticketWriting: // into a full socket: if it were written later, the part would begin although it is no longer wanted
		t.conn.reset()
	case ticketWritten:
		if outcome != decide.ConnectionLost {
			t.conn.resetIfUndelivered(t.end)
		}
	}
	return outcome
}

// addressOutcome returns what the outcome of the attempt is as far as it concerns the node's address: a
// node that does not take a ticket is as silent as one that does not answer.
func (t *ticket) addressOutcome(outcome decide.Outcome) decide.Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case outcome == decide.Unreachable && t.expired:
		return decide.TimedOut
	case outcome == decide.Unreachable && t.conn != nil: // the connection broke before the ticket was written whole
		return decide.ConnectionLost
	}
	return outcome
}

// awaitSettled waits until the ticket is written or withdrawn, its connection is closed, or
// withdrawGrace has passed.
func (t *ticket) awaitSettled() {
	t.mu.Lock()
	conn := t.conn
	t.mu.Unlock()
	var connClosed <-chan struct{}
	if conn != nil {
		connClosed = conn.closed
	}
	grace := time.NewTimer(withdrawGrace)
	defer grace.Stop()
	select {
	case <-t.settled:
	case <-connClosed:
	case <-grace.C:
	}
}

// ticketTable holds the tickets of the open attempts.
type ticketTable struct {
	mu        sync.Mutex
	byAttempt map[broker.AttemptID]*ticket
}

// add adds the ticket of an attempt that is being made.
func (t *ticketTable) add(ticket *ticket) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byAttempt[ticket.attempt.ID] = ticket
}

// remove removes the ticket of an attempt that has ended.
func (t *ticketTable) remove(id broker.AttemptID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byAttempt, id)
}

// get returns the ticket of an attempt, nil if it has ended.
func (t *ticketTable) get(id broker.AttemptID) *ticket {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byAttempt[id]
}

// all returns the tickets of all open attempts.
func (t *ticketTable) all() []*ticket {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*ticket, 0, len(t.byAttempt))
	for _, ticket := range t.byAttempt {
		all = append(all, ticket)
	}
	return all
}

// count returns the number of open attempts.
func (t *ticketTable) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byAttempt)
}
