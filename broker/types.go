// Package broker is the core of the daemon: it holds queries, attempts and
// outcomes and carries out what the decision module says. It knows no wire, no
// socket and no status code; fronts, node clients and rosters reach it through
// the small interfaces of this file.
package broker

import (
	"time"

	"onyxsail/decide"
)

// QueryID names a query that the core has taken.
type QueryID uint64

// AttemptID names one attempt of one part.
type AttemptID uint64

// Query is one query as a front decoded it.
type Query struct {
	Name   string // the client's own id of the request; the parts' ids are made of it
	Class  int    // index into the settings' classes
	Key    string // idempotency key, in a keyed class
	Text   []byte // what every part must carry
	Retry  bool   // the client marked it as a further try
	Parts  []Part
	Came   time.Time     // when its last byte was read
	Budget time.Duration // how long the client waits, from Came
	Trace  TraceContext  // what the caller said of its trace; fronts read it where there is an observer
}

// Part is one part of a query.
type Part struct {
	Shard  int
	Share  float64 // of the whole answer
	WorkMs float64 // guess of the work, if Hinted
	Hinted bool
	Route  uint64 // 0: none
}

// Verdict says how a query ended.
type Verdict uint8

// The ways in which a query ends.
const (
	Served    Verdict = iota // Values hold the answer
	Refused                  // asking again is harmless
	Failed                   // given up, with no promise about its effect
	Expired                  // its time ran out; no promise about its effect
	Duplicate                // its id is that of an open query; nothing of it was done
	Left                     // the client went; no Reply has this verdict, only an Observer hears it
)

// Value is the answer of one part, as its node gave it.
type Value struct {
	Shard int
	Data  []byte
}

// Reply is the one final answer to a query.
type Reply struct {
	Verdict    Verdict
	Whole      bool
	Values     []Value
	RetryAfter time.Duration // with Refused; 0: no hint
}

// Replier takes the final answer of one query. Reply is called exactly once,
// from the core's goroutine, and must not block.
type Replier interface {
	Reply(QueryID, Reply)
}

// Departure is a Replier that can tell that its client has left before the news of it
// comes by Core.Leave, as after the whole process was held up. Gone may be called from any
// goroutine and under the caller's locks.
type Departure interface {
	Replier
	Gone() bool
}

// presentFor is how long a client that was there is taken to be there: an attempt may
// begin for 0.1 s after it has left at the most.
const presentFor = 20 * time.Millisecond

// Late says whether an attempt may not begin any more, itself, at its node or as its
// client has left.
func (a *Attempt) Late(node, now time.Time) bool {
	return !a.Latest.IsZero() && now.After(a.Latest) || !node.IsZero() && now.After(node) ||
		a.Client != nil && now.Sub(a.Sent) > presentFor && a.Client.Gone()
}

// Attempt is one try of one part at one node.
type Attempt struct {
	ID    AttemptID
	Node  string
	Query string // the client's id of the query
	Shard int
	Key   string
	Text  []byte
	Wait  time.Duration // how long the core will wait
	Sent  time.Time     // when the core sent it
	// Client, if not nil, tells whether the query's client has left.
	Client Departure
	// Latest is until when it may begin: what still waits then for a connection
	// ends as decide.NotSent. Zero: no bound.
	Latest time.Time
}

// NodeClient carries attempts to nodes. Its methods are called from the core's
// goroutine and must not block; what comes back goes to a Sink.
type NodeClient interface {
	// Send starts attempts at one node that leave as one call.
	Send(node string, calls []Attempt)
	// Cancel gives up one attempt. An outcome that still comes is ignored.
	Cancel(node string, id AttemptID)
	// Probe asks whether the node answers; Sink.Probed gets the result.
	Probe(node string)
	// CloseIdle closes connections to the node that carry nothing.
	CloseIdle(node string)
	// Update tells the nodes that are listed now.
	Update([]Node)
}

// Answer is what came back for an attempt.
type Answer struct {
	Value []byte
	Began time.Time // when its first byte came; zero: not known, or nothing came
}

// Sink takes what node clients learn. The core implements it.
type Sink interface {
	// Outcome ends an attempt; the answer's value counts with decide.OK only.
	Outcome(id AttemptID, o decide.Outcome, a Answer)
	// Probed ends a probe.
	Probed(node string, o decide.Outcome, took time.Duration)
}

// Node is one entry of the roster.
type Node struct {
	ID, Addr string
	// Addrs are all its addresses in the list's order, Addr among them; empty
	// where Addr is the only one.
	Addrs   []string `json:",omitempty"`
	Zone    int
	Kind    int
	Cell    int
	State   decide.State
	Weight  float64
	Started time.Time // zero: long ago
	// Latest is until when an attempt may begin there, once the node's drain has
	// been told. Zero: no bound.
	Latest time.Time `json:"-"`
}

// Roster is news of the list of nodes.
type Roster struct {
	Kind    decide.ListKind
	Version int64
	Nodes   []Node
}

// FlightScheme begins the address of a node that speaks Arrow Flight; it is the
// scheme of a Flight location.
const FlightScheme = "grpc+tcp://"

// Lister is asked for the list where the settings make the module ask.
type Lister interface {
	Subscribe(on bool)
	Fetch()
}

// Limits are what an operator may change while the core runs.
type Limits struct {
	// QueueLimit bounds the inputs that wait for a turn.
	QueueLimit int
	// MaxOpen bounds queries and parts held at once; 0: unlimited.
	MaxOpen int
	// Processes of this broker that run, this one included: together they keep to what one
	// may send a node in slow start. 0 counts as 1.
	Processes int
}
