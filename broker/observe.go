package broker

import (
	"time"

	"onyxsail/decide"
)

// TraceContext is what a caller said of its own trace, by W3C Trace Context
// (https://www.w3.org/TR/trace-context/). The zero value says nothing.
type TraceContext struct {
	ID      [16]byte // the trace; zero: none was given
	Parent  [8]byte  // the caller's span
	Sampled bool     // the caller asks for the trace to be kept
	State   string   // tracestate, to be carried on unchanged
}

// Reason says why an attempt was opened.
type Reason uint8

// The reasons of an attempt.
const (
	First Reason = iota // the part's first attempt
	Copy                // an earlier attempt of the part is still out
	Retry               // all earlier attempts of the part have ended
	Trial               // a first attempt at a node in doubt, to learn whether it is back
)

// Opening is an attempt as the core opens it.
type Opening struct {
	ID    AttemptID
	Query QueryID
	Shard int
	N     int    // the part's attempts before it
	Node  string // "": none, as the list has lost it
	Cell  int    // of the node
	Why   Reason
	Doubt bool          // the module holds the node in doubt
	Wait  time.Duration // how long the core will wait
	At    time.Time
}

// Cause says who ended an attempt.
type Cause uint8

// The causes of an attempt's end.
const (
	ByNode Cause = iota // the node's answer, or the connection's end
	ByTime              // the core waited no longer
	ByCore              // it was given up, or a rule forbade it
)

// Observer is told what becomes of queries and attempts. The core calls it from
// its own goroutine, TurnedAway apart, and waits: it must neither block nor
// keep what is passed by pointer. Without an observer the core spends nothing.
type Observer interface {
	// Taken begins a query. Final follows exactly once.
	Taken(id QueryID, q *Query, at time.Time)
	// TurnedAway tells of a query that found the core's queue full; nothing
	// follows. It is called from the front's goroutine.
	TurnedAway(q *Query, at time.Time)
	// Opened begins an attempt.
	Opened(o Opening)
	// Cancelled says that an attempt which is out is given up.
	Cancelled(id AttemptID, at time.Time)
	// Ended brings the attempt's one outcome; began is when the first byte of its
	// answer came, zero if none did. That of an attempt which was out when its
	// query ended comes after Final.
	Ended(id AttemptID, o decide.Outcome, by Cause, began, at time.Time)
	// Doubted says that the module holds a node in doubt from now on, or no
	// longer does.
	Doubted(node string, doubted bool, at time.Time)
	// Final ends a query; Left is the verdict where the client went first.
	Final(id QueryID, r *Reply, at time.Time)
}

// WirePhase is a step of an attempt that only its wire sees.
type WirePhase uint8

// The steps of an attempt on its wire.
const (
	WireDialing WirePhase = iota // it waits for a connection whose making began then, maybe before the attempt
	WireUp                       // that connection is up
	WireGone                     // the last byte has left: from here on it may run
)

// WireObserver is told by node clients what only they know. Its methods may be
// called from any goroutine, under a client's lock, and must not block.
type WireObserver interface {
	// Wire tells a step; addr is the address that the attempt goes to.
	Wire(id AttemptID, phase WirePhase, addr string, at time.Time)
	// Late tells the outcome of an attempt that had been given up.
	Late(id AttemptID, o decide.Outcome, at time.Time)
	// Carry gives the headers that tell the next hop of the attempt's trace;
	// empty where there is none.
	Carry(id AttemptID) (traceparent, tracestate string)
}
