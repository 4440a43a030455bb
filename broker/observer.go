package broker

import (
	"time"

	"onyxsail/decide"
)

// TraceContext is the trace context that a caller sent, as defined by W3C Trace Context
// (https://www.w3.org/TR/trace-context/). The zero value means that none was sent.
type TraceContext struct {
	TraceID    [16]byte // zero: none was sent
	ParentID   [8]byte  // ID of the caller's span
	Sampled    bool     // the caller asks for the trace to be recorded
	TraceState string   // the tracestate header, propagated unchanged
}

// AttemptReason is why an attempt was opened.
type AttemptReason uint8

// The reasons for an attempt.
const (
	ReasonFirst     AttemptReason = iota // the part's first attempt
	ReasonCopy                           // an earlier attempt of the part is still outstanding (hedged request)
	ReasonRetry                          // all earlier attempts of the part have ended
	ReasonProbation                      // a first attempt at a suspected node, to find out whether it has recovered
)

// AttemptInfo describes an attempt as it is opened.
type AttemptInfo struct {
	ID        AttemptID
	QueryID   QueryID
	Shard     int
	Index     int    // number of earlier attempts of the part
	Node      string // ID of the node; "": the core does not know it any more
	Cell      int    // the node's cell
	Reason    AttemptReason
	Suspected bool          // the module suspects the node
	Timeout   time.Duration // how long the core waits for the outcome
	OpenedAt  time.Time
}

// EndCause is what ended an attempt.
type EndCause uint8

// The causes of an attempt's end.
const (
	EndedByNode    EndCause = iota // the node answered or the connection ended
	EndedByTimeout                 // its timeout, which the core keeps, expired
	EndedByCore                    // it was cancelled, or a sending rule forbade it
)

// Observer is notified of the life cycle of queries and attempts. Except for
// QueryTurnedAway, the core calls it synchronously from its own goroutine, so it must not
// block; nor may it retain what is passed by pointer. Without an observer there is no
// overhead.
type Observer interface {
	// QueryReceived reports that the core has taken a query from its queue. QueryEnded follows
	// exactly once.
	QueryReceived(id QueryID, q *Query, at time.Time)
	// QueryTurnedAway reports a query that was refused because the core's queue is full or
	// closed.
	// No other method is called for it. The call comes from the front's goroutine.
	QueryTurnedAway(q *Query, at time.Time)
	// AttemptOpened reports that an attempt is opened. AttemptEnded follows exactly once, unless
	// the core is stopped first.
	AttemptOpened(info AttemptInfo)
	// AttemptCancelled reports that an outstanding attempt is cancelled. AttemptEnded still
	// follows.
	AttemptCancelled(id AttemptID, at time.Time)
	// AttemptEnded reports the attempt's single outcome; firstByteAt is when the first byte
	// of the response arrived, zero if none did or the time is not known. For an attempt that
	// was outstanding when its query ended, it follows QueryEnded.
	AttemptEnded(id AttemptID, outcome decide.Outcome, cause EndCause, firstByteAt, at time.Time)
	// NodeSuspected reports that the module suspects a node from now on, or no longer does.
	NodeSuspected(node string, suspected bool, at time.Time)
	// QueryEnded reports the end of a query. The verdict is ClientLeft if the client
	// disconnected first.
	QueryEnded(id QueryID, reply *Reply, at time.Time)
}

// WirePhase is a phase of an attempt that only its node client can observe.
type WirePhase uint8

// The phases of an attempt on the wire.
const (
	WireConnecting WirePhase = iota // it waits for a connection; reported with the time at which dialing began, perhaps before the attempt
	WireConnected                   // the connection is established
	WireSent                        // its last byte was written: the node may run it from here on
)

// WireObserver is notified by node clients of what only they can observe. Its methods may be
// called from any goroutine while the node client holds a lock, and must not block.
type WireObserver interface {
	// PhaseReached reports that an attempt has entered a phase; addr is the address that it
	// is sent to.
	PhaseReached(id AttemptID, phase WirePhase, addr string, at time.Time)
	// LateOutcome reports the outcome of an attempt that had already been cancelled.
	LateOutcome(id AttemptID, outcome decide.Outcome, at time.Time)
	// TraceHeaders returns the values of the headers that propagate the attempt's trace to the
	// node; empty if there is none.
	TraceHeaders(id AttemptID) (traceparent, tracestate string)
}
