// Package decide is the decision module of an aggregator that serves queries
// from many shards, such as a broker. It chooses the replica for each part of
// a query, copies parts that straggle, retries parts that fail, decides when a
// query is answered, and sheds queries that are not expected to meet their
// objective.
//
// A query has one step or two. A step has parts, each for one shard, and a part
// is sent to replicas that hold its shard, in one or more attempts. A copy is a
// further attempt while an earlier one is still open; a retry is one after all
// earlier ones have ended. A query forks when so few of its parts are open that
// each of them gets a copy.
//
// The package does no input or output and reads no clock. A caller creates one
// Root per aggregator with New, passes it the events of each turn with
// Root.Step, and carries out the actions that Step returns.
//
// This file holds the types of the interface; the decisions are in decide.go.
package decide

// Addr identifies a replica. It is opaque: it is only compared and returned unchanged. In an
// Action, 0 means none.
type Addr uint64

// Effect says under which conditions a part may be repeated.
type Effect uint8

// The effects of a class of query.
const (
	Safe   Effect = iota // may be repeated, copied and refused at any time
	Keyed                // may be repeated within DedupWindowMs, in which replicas drop repeats, but not copied
	Unsafe               // may be repeated or refused only if no attempt can have run
)

// Class describes one class of query.
type Class struct {
	ObjectiveMs         float64 // latency target: an answer within this time earns the full worth
	ObjectiveWorkFactor float64 // the objective is extended by this multiple of the query's estimated work
	DeadlineMs          float64 // the client gives up after this time, over all its tries; limits the objective
	LateWorthShare      float64 // share of the worth that an answer between objective and deadline earns
	Worth               float64 // what a complete answer within the objective earns; see Settings.WorthIsPerWork
	Effect              Effect
	DedupWindowMs       float64 // for Keyed: how long after the first attempt replicas drop repeats
	Stream              bool    // answers are streams; no decision uses it
	CompleteShare       float64 // share of the first step's weight that makes a complete answer
	MinShare            float64 // least share of the weight that an answer may be built from
	PartialWorth        float64 // a partial answer earns this share of the worth, times its weight / CompleteShare
	SecondStepParts     int     // parts of the second step; 0 for queries of one step
}

// Tenant describes one tenant.
type Tenant struct {
	QueriesPerSecond float64 // the allowance within the tenant's share, over all roots; 0: unlimited
	Share            float64 // the tenant's share; no decision uses it
}

// Settings is the configuration of a root at its start. Times are in milliseconds.
//
// Some settings are not read by the decisions. Shards, MaxOpen, AllowProbes and DrainGraceMs are
// for the caller to apply. Index, CallOverheadMs, ReplicasCacheKeys, AllowPeerMessages,
// LoadReportFields, LoadReportInline, AnswerGraceMs, ProbePenalty and WastePenalty only describe
// the deployment.
type Settings struct {
	Index, Roots   int     // number of this root, and how many roots there are, at least 1
	Zone           int     // of this root
	TickMs         float64 // shortest time between two turns
	MustSubscribe  bool    // list changes are sent to subscribers only
	Classes        []Class
	Tenants        []Tenant
	OverShareWorth float64 // factor on the worth of a query beyond its tenant's allowance
	WorthIsPerWork bool    // Class.Worth is per unit of work rather than per query

	Cells, CellsPerShard int     // shard s is held by cells s to s+CellsPerShard-1, modulo Cells
	Shards               int     // number of shards
	MaxPartsPerCall      int     // most parts that leave in one call
	CallOverheadMs       float64 // work of a call in addition to that of its parts
	ReplicasCacheKeys    bool    // a key that a replica has served recently takes it less work

	MaxAttempts       int     // most attempts of one part; 0: unlimited
	MaxOpen           int     // most queries and parts held at once; 0: unlimited
	MaxRetryAfterMs   float64 // longest hint when to retry; 0: no hints
	SendRetryAfter    bool    // refusals carry a hint when to retry
	AllowCopies       bool    // a part of a Safe class may have two attempts open at once
	AllowCancel       bool    // open attempts may be cancelled
	AllowProbes       bool    // replicas answer probes
	AllowPeerMessages bool    // roots may send each other messages

	LoadReportFields []string // names of the values of a load report, as in Load*
	LoadReportInline bool     // load reports come with every outcome, not only with probes

	AnswerGraceMs          float64 // a final answer still counts this long after the deadline
	MaxSubscribeIntervalMs float64 // with MustSubscribe: longest time between two tries to subscribe
	DrainGraceMs           float64 // attempts at a draining replica must end within this time
	ColdCapacityShare      float64 // share of its capacity that a replica starts with
	WarmUpMs               float64 // time from its start until a replica is warm
	ColdOverloadFactor     float64 // a cold replica fails if sent more than this times its capacity ...
	ColdOverloadMs         float64 // ... for this long
	HasRetryBudget         bool    // the next three limit further attempts, retries and copies alike; false: defaults do
	RetryBudgetFloor       float64 // further attempts in the window that are always allowed
	RetryBudgetRatio       float64 // further attempts allowed for each query or part that arrives
	RetryBudgetWindowMs    float64 // window over which both are counted

	CrossZonePenalty float64 // penalty of a part that crosses zones
	HandshakePenalty float64 // penalty of a new connection, for each part
	ProbePenalty     float64 // penalty of one probe for each part
	WastePenalty     float64 // penalty of wasted work
}

// Names of the values in a load report.
const (
	LoadInFlight    = "held"    // requests in progress
	LoadQueued      = "waiting" // requests that wait to be served
	LoadUtilization = "busy"    // share of the processors in use
	LoadServiceTime = "time"    // recent service time in milliseconds
	LoadRequestRate = "rate"    // requests per second
	LoadErrorRate   = "errors"  // errors per second
)

// State is the state of a replica according to the list.
type State uint8

// The states of a replica.
const (
	Ready    State = iota // may get parts
	Draining              // finishes the parts that it has and gets no others
	Removed               // no longer in the list
)

// Member is one entry of the list of replicas. If its start is unknown, a replica of the first
// list counts as warm, and one that a later list adds counts as just started.
type Member struct {
	Addr    Addr
	Zone    int
	Kind    int // kind of machine
	Cell    int // determines the shards that it holds; see Settings.Cells
	State   State
	Size    float64 // relative capacity; no decision uses it
	ReadyAt float64 // time of its last start, in milliseconds by the clock of Root.Step; 0: unknown
}

// ListKind says what the members of a list update are.
type ListKind uint8

// The kinds of list update.
const (
	ListCached ListKind = iota // the complete list, perhaps outdated
	ListFull                   // the complete list
	ListDelta                  // changed entries only
	ListFailed                 // no members: the request for the list failed, and the known list stays in use
)

// Outcome says how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	OK             Outcome = iota
	Failed                 // answered with an error; may have run
	Rejected               // refused by the replica before any work; never ran
	TimedOut               // no answer in time; may have run
	Unreachable            // no connection; never ran
	ConnectionLost         // the connection broke during the attempt; may have run
	Cancelled              // cancelled by the root; may have run
	NotSent                // never sent
)

// EventKind says which fields of an Event are set.
type EventKind uint8

// The kinds of event, each with the fields that it sets. All parts of a step arrive in one turn, those
// of the first step with their query. Each Send is followed by exactly one AttemptDone, even if the
// attempt is cancelled or its query has ended.
const (
	QueryArrived       EventKind = iota // ID Class Tenant Key TimeLeftMs EstimatedWorkMs Number Parts HasEstimate Retry Write
	PartArrived                         // as QueryArrived, with Shard and Weight instead of Parts
	AttemptDone                         // ID Attempt Addr Outcome ElapsedMs Load
	StreamStarted                       // ID Attempt Addr ElapsedMs; no decision uses it
	ClientDisconnected                  // ID; ends the query without an action of its own
	TimerFired                          // Token; only causes a turn
	ListUpdate                          // List Members
	ProbeDone                           // Addr Outcome ElapsedMs Load; no decision uses it
	PeerMessage                         // Peer Text; no decision uses it
)

// Event is one input of a turn. Its Kind says which fields are set.
type Event struct {
	Kind            EventKind
	ID              uint64 // of the query or part
	Addr            Addr
	Class           int     // index in Settings.Classes, to which Root.Reconfigure may add
	Tenant          int     // index in Settings.Tenants
	Key             uint64  // 0: none
	TimeLeftMs      float64 // how much longer the client waits for this try
	EstimatedWorkMs float64 // estimate of the work, if HasEstimate
	Number          float64 // number of the query at this root; its parts carry the same
	Shard           int
	Weight          float64 // share of a part in the weight of its step
	Parts           int     // number of parts that follow the query
	HasEstimate     bool
	Retry           bool // the client marked the query as a retry
	Write           bool
	Attempt         int // number of the attempt of its part, from 0
	Outcome         Outcome
	ElapsedMs       float64   // time since the attempt or probe was sent
	Load            []float64 // values of the Settings.LoadReportFields; empty: no report
	Token           uint64
	List            ListKind
	Members         []Member
	Peer            int
	Text            []byte
}

// ActionKind says which fields of an Action are set.
type ActionKind uint8

// The kinds of action, each with the fields that it sets. A Root returns no Probe, MessagePeer,
// FetchList or CloseIdle.
const (
	Send        ActionKind = iota // ID Addr Ms (timeout; 0: until the client gives up) Unhealthy (the replica is)
	Cancel                        // ID Attempt
	Timer                         // Ms (time until it fires) Token
	Answer                        // ID Complete; answers the current step, and ends the query if there is no other
	Refuse                        // ID Ms (when to retry; 0: no hint); ends the query, and a retry is safe
	Abort                         // ID; ends the query as failed, as an attempt of an Unsafe query may have run
	Probe                         // Addr
	MessagePeer                   // Peer (AllPeers: every other root) Text
	Log                           // Text Addr (0: none) Unhealthy (the replica at Addr is from now on)
	Subscribe                     // Complete (false: end the subscription)
	FetchList                     // no field
	CloseIdle                     // Addr
)

// AllPeers addresses every other root in a MessagePeer action.
const AllPeers = -1

// Action is one output of a turn, for the caller to carry out. Its Kind says which fields are set. The
// attempts of a part are numbered in the order of its Send actions.
type Action struct {
	Kind      ActionKind
	ID        uint64 // of the query or part
	Addr      Addr
	Attempt   int     // number of the attempt of its part, from 0
	Ms        float64 // milliseconds
	Token     uint64  // returned in TimerFired
	Complete  bool
	Unhealthy bool
	Peer      int
	Text      string
}
