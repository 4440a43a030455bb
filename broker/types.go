// Package broker is the core of the daemon. It tracks queries, attempts and their outcomes
// and executes the actions of the decision module. It is independent of protocols, sockets
// and status codes. Fronts, node clients and discovery are connected to a Core through the
// interfaces Replier, NodeClient, ResultSink and Lister.
package broker

import (
	"time"

	"onyxsail/decide"
)

// QueryID identifies a query that the core has accepted.
type QueryID uint64

// AttemptID identifies one attempt of one part.
type AttemptID uint64

// Query is a query as decoded by a front.
type Query struct {
	RequestID      string // set by the client; part IDs are derived from it
	Class          int    // index into the settings' classes
	IdempotencyKey string // set only in a keyed class
	Text           []byte // query text, sent with every part
	Retry          bool   // the client marked the request as a retry
	Parts          []Part
	ArrivedAt      time.Time     // when the last byte of the request was read
	Budget         time.Duration // how long the client waits, from ArrivedAt
	Trace          TraceContext  // the caller's trace; fronts set it only if there is an observer
}

// Part is one part of a query.
type Part struct {
	Shard           int
	Share           float64 // fraction of the whole answer, 0 to 1
	EstimatedWorkMs float64 // valid only if HasEstimate
	HasEstimate     bool
	Route           uint64 // routing key; 0: none
}

// Verdict is how a query ended.
type Verdict uint8

// The verdicts on a query.
const (
	Served     Verdict = iota // answered, at least in part; Reply.Values holds the answer
	Refused                   // not answered; a retry is harmless
	Failed                    // abandoned; it may have taken effect
	Expired                   // out of time; it may have taken effect
	Duplicate                 // its request ID is that of an open query; not executed
	ClientLeft                // the client disconnected; passed only to an Observer, never in a Reply
)

// Value is the answer to one part, as returned by its node.
type Value struct {
	Shard int
	Data  []byte
}

// Reply is the single final reply to a query.
type Reply struct {
	Verdict    Verdict
	Complete   bool // Values reach the share that the class requires; otherwise the answer is partial
	Values     []Value
	RetryAfter time.Duration // hint for the client with Refused; 0: none
}

// ValueBytes returns the total size of the reply's values.
func (r *Reply) ValueBytes() (bytes int) {
	for _, v := range r.Values {
		bytes += len(v.Data)
	}
	return bytes
}

// Replier receives the final replies to queries. Reply is called at most once for each query,
// from the core's goroutine, perhaps before Submit has returned the query's ID. It must not
// block.
type Replier interface {
	Reply(QueryID, Reply)
}

// DisconnectChecker is a Replier that can report that its client has disconnected before
// Core.Leave is called for it, for instance after the whole process was stalled.
type DisconnectChecker interface {
	Replier
	// ClientGone reports whether the client has disconnected. It may be called from any
	// goroutine and while the caller holds locks.
	ClientGone() bool
}

// clientPresenceTTL is how long a client is assumed to be still connected after it was known
// to be, without another check. It is short because no attempt may start more than 0.1 s
// after its client has left.
const clientPresenceTTL = 20 * time.Millisecond

// MustNotStart reports whether it is too late to start the attempt: its own latest start or
// that of its node has passed, or its client has disconnected. A zero nodeLatestStart means
// no limit.
func (a *Attempt) MustNotStart(nodeLatestStart, now time.Time) bool {
	return !a.LatestStart.IsZero() && now.After(a.LatestStart) || !nodeLatestStart.IsZero() && now.After(nodeLatestStart) ||
		a.Client != nil && now.Sub(a.SentAt) > clientPresenceTTL && a.Client.ClientGone()
}

// Attempt is one request for one part to one node.
type Attempt struct {
	ID             AttemptID
	Node           string // ID of the node
	RequestID      string // of the query, set by the client
	Shard          int
	IdempotencyKey string
	Text           []byte
	Timeout        time.Duration // how long the core waits for the outcome
	SentAt         time.Time     // when the core passed it to the node client
	// Client, if not nil, reports whether the query's client has disconnected.
	Client DisconnectChecker
	// LatestStart is the latest time at which the attempt may start. If it is still
	// waiting for a connection then, it ends as decide.NotSent. Zero: no limit.
	LatestStart time.Time
}

// NodeClient sends attempts to nodes. Its methods are called from the core's goroutine and
// must not block. Results are delivered to a ResultSink. Nodes are named by their IDs.
type NodeClient interface {
	// Send sends attempts to one node in one call.
	Send(node string, attempts []Attempt)
	// Cancel cancels one attempt. No outcome needs to be reported for it any more.
	Cancel(node string, id AttemptID)
	// Probe checks whether the node answers; the result goes to ResultSink.ProbeOutcome.
	Probe(node string)
	// CloseIdle closes idle connections to the node.
	CloseIdle(node string)
	// Update replaces the list of nodes. It has the ready and the draining ones.
	Update([]Node)
}

// Response is a node's response to an attempt.
type Response struct {
	Value       []byte
	FirstByteAt time.Time // when the first byte arrived; zero: unknown or no response
}

// ResultSink receives the results from node clients. The core implements it. Its methods may
// be called from any goroutine.
type ResultSink interface {
	// AttemptOutcome ends an attempt. The response's value is used only if the outcome is
	// decide.OK. Later outcomes of the same attempt are ignored.
	AttemptOutcome(id AttemptID, outcome decide.Outcome, response Response)
	// ProbeOutcome ends a probe of a node; took is the time from its start.
	ProbeOutcome(node string, outcome decide.Outcome, took time.Duration)
}

// Node is one entry of the roster.
type Node struct {
	// ID identifies the node; Addr is its address, or the main one of several.
	ID, Addr string
	// Addrs are all its addresses in the order of the list, including Addr; empty if Addr
	// is the only one.
	Addrs   []string `json:",omitempty"`
	Zone    int
	Kind    int
	Cell    int
	State   decide.State
	Weight  float64   // relative capacity
	Started time.Time // last start, by the wall clock of the machine that reported it; zero: long ago
	// Latest is the latest time at which an attempt may start at the node. The core sets it
	// once the node's drain has been announced. Zero: no limit.
	Latest time.Time `json:"-"`
}

// Roster is an update of the list of nodes.
type Roster struct {
	Kind    decide.ListKind
	Version int64 // version of the list; the core only logs it
	Nodes   []Node
}

// FlightScheme is the prefix of the address of a node that speaks Arrow Flight. It is the
// URI scheme of a Flight location.
const FlightScheme = "grpc+tcp://"

// Lister requests the list of nodes, if the settings make the module ask for it. The list
// arrives through Core.UpdateRoster.
type Lister interface {
	// Subscribe starts or ends the subscription to changes of the list.
	Subscribe(on bool)
	// Fetch requests the whole list.
	Fetch()
}

// Limits are the limits that an operator may change while the core runs.
type Limits struct {
	// QueueLimit is the number of inputs waiting for a turn at which new queries are refused.
	// If it is not above 0, New uses 4096 and SetLimits keeps the limit as it is.
	QueueLimit int
	// MaxOpen is the maximum number of open queries and their parts together; 0: unlimited.
	MaxOpen int
	// Processes is the number of running processes of this broker, including this one.
	// Together they stay within what one broker may send to a node in slow start. 0 counts
	// as 1. Only SetLimits applies it, not New.
	Processes int
}
