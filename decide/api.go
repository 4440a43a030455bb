// Package decide makes the decisions of an aggregator (a root) that serves
// queries from many shards: which replica each part of a query is sent to,
// when a straggling part gets a copy, when a part is tried elsewhere, when the
// query is answered, and which queries are turned away.
//
// The package does no input or output and reads no clock. A caller makes one
// Root per aggregator with New, hands it the events of each turn with
// Root.Step, and carries out the actions that Step returns.
//
// This file is the interface; every decision stands in decide.go.
package decide

// Addr names a replica. It is opaque: it is compared and given back unchanged.
type Addr uint64

// Effect says what a repeat of a part may do.
type Effect uint8

// The kinds of class.
const (
	Safe   Effect = iota // may be repeated and refused at will
	Keyed                // repeats are dropped for WindowMs after the first attempt
	Unsafe               // repeated or refused only if no attempt can have run
)

// Class describes one class of query.
type Class struct {
	AimMs      float64 // an answer within this earns its full worth
	AimStretch float64 // the aim grows by this multiple of the query's own work
	DeadlineMs float64 // the client waits no longer, over all its tries
	LateShare  float64 // share of the worth earned between aim and deadline
	Worth      float64
	Effect     Effect
	WindowMs   float64 // for Keyed
	Stream     bool
	Need       float64 // share of the first step's weight that makes a whole answer
	Floor      float64 // least share an answer may rest on
	Partial    float64 // a partial answer earns this times share / Need
	Fetch      int     // parts of the second step; 0 for one step only
}

// Tenant describes one tenant.
type Tenant struct {
	PerS  float64 // queries a second, over all roots, within its share
	Share float64
}

// Settings is what a root is told at its start. Times are in milliseconds.
type Settings struct {
	Index, Roots   int // this root's number, and how many roots there are
	Zone           int
	TickMs         float64 // turns come at most this often
	AskForList     bool    // list changes come only to those who subscribe
	Classes        []Class
	Tenants        []Tenant
	OverShareWorth float64 // part of its worth a query keeps beyond its tenant's share
	WorthByWork    bool

	Cells, InARow int     // shard s is held by cells s to s+InARow-1, modulo Cells
	Shards        int     // number of shards
	BundleMax     int     // parts of one call at most
	CallWorkMs    float64 // work of a call beside that of its parts
	WarmKeys      bool    // a replica serves a key it has met lately with less work

	MaxAttempts     int // for one part; 0: unlimited
	MaxOpen         int // queries and parts held at once; 0: unlimited
	MaxRetryAfterMs float64
	RetryAfter      bool // clients are told retry hints
	SecondCopies    bool // a part may have two attempts out at once
	MayCancel       bool
	MayProbe        bool
	MayTell         bool

	ReportFields []string // names of the values of a load report, as in Load*
	ReportInline bool     // load reports come with outcomes, not only probes

	GraceMs     float64 // a final answer still counts this long after the deadline
	AskWithinMs float64 // with AskForList: the longest silence allowed
	DrainMs     float64 // sends to a draining replica must end within this
	ColdFrom    float64 // share of its capacity a replica starts at
	ColdMs      float64 // it is warm after this
	FallTimes   float64 // sent more than this times its capacity ...
	FallMs      float64 // ... for this long, a cold replica falls over
	HasBudget   bool    // further attempts are rationed
	ExtraFloor  float64 // further attempts that need not be earned
	ExtraShare  float64 // further attempts earned by a query or part taken in
	ExtraSpanMs float64 // the window over which both are counted

	PriceCross     float64 // price of a part that crosses zones
	PriceHandshake float64 // price of a new connection, for each part
	PriceProbe     float64 // price of a probe a part
	PriceWaste     float64 // price of wasted work
}

// Names of the values in a load report.
const (
	LoadHeld    = "held"    // requests in hand
	LoadWaiting = "waiting" // requests waiting
	LoadBusy    = "busy"    // share of the processors busy
	LoadTime    = "time"    // recent service time, milliseconds
	LoadRate    = "rate"    // requests a second
	LoadErrors  = "errors"  // errors a second
)

// State is what the list says of a replica.
type State uint8

// The states of a replica.
const (
	Ready State = iota
	Draining
	Gone
)

// Member is one entry of the list of replicas.
type Member struct {
	Addr    Addr
	Zone    int
	Kind    int
	Cell    int
	State   State
	Size    float64
	ReadyAt float64 // time of its last start; 0: long past
}

// ListKind says how a list event is to be read.
type ListKind uint8

// The kinds of list event.
const (
	ListCached ListKind = iota // the whole list, maybe old
	ListFull                   // the whole list
	ListDelta                  // changed entries only
	ListFailed                 // asking failed; the old list stands
)

// Outcome says how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	OK          Outcome = iota
	Failed              // answered with an error; may have run
	Rejected            // turned away unseen; never ran
	TimedOut            // no answer in time; may have run
	Unreachable         // no connection; never ran
	Broken              // connection lost; may have run
	Cancelled           // called off; may have run
	NotSent             // never sent
)

// EventKind says which fields of an Event count.
type EventKind uint8

// The kinds of event.
const (
	QueryCame   EventKind = iota // ID Class Tenant Key LeftMs WorkMs Number Parts Hinted Retry Write
	PartCame                     // as QueryCame, with Shard and Weight
	AttemptDone                  // ID Attempt Addr Outcome TookMs Load
	StreamBegan                  // ID Attempt Addr TookMs; carried only, no decision uses it
	ClientLeft                   // ID
	TimerFired                   // Token
	ListNews                     // List Members
	ProbeDone                    // Addr Outcome TookMs Load
	PeerSaid                     // Peer Text
)

// Event is one thing that happened. Which fields count depends on Kind.
type Event struct {
	Kind    EventKind
	ID      uint64 // the query or part
	Addr    Addr
	Class   int
	Tenant  int
	Key     uint64  // 0: none
	LeftMs  float64 // how long the client still waits for this try
	WorkMs  float64 // guess of the cost, if Hinted
	Number  float64 // number of the query at this root; its parts bear the same
	Shard   int
	Weight  float64 // a part's share of its step
	Parts   int     // how many parts follow the query
	Hinted  bool
	Retry   bool // the client marked this as a further try
	Write   bool
	Attempt int
	Outcome Outcome
	TookMs  float64
	Load    []float64 // values as in Settings.ReportFields; empty: none
	Token   uint64
	List    ListKind
	Members []Member
	Peer    int
	Text    []byte
}

// ActionKind says which fields of an Action count.
type ActionKind uint8

// The kinds of action.
const (
	Send      ActionKind = iota // ID Addr Ms (time-out; 0: until the client gives up) Doubt (the replica is in doubt)
	Cancel                      // ID Attempt
	Timer                       // Ms Token
	Answer                      // ID Whole
	Refuse                      // ID Ms (retry hint; 0: none)
	Abort                       // ID
	Probe                       // Addr
	Tell                        // Peer (AllPeers: every other root) Text
	Log                         // Text Addr (0: none) Doubt (Addr is in doubt from now on)
	Subscribe                   // Whole (false: end the subscription)
	FetchList                   // no field
	CloseIdle                   // Addr
)

// AllPeers addresses every other root in a Tell action.
const AllPeers = -1

// Action is one thing to do. Which fields count depends on Kind.
type Action struct {
	Kind    ActionKind
	ID      uint64
	Addr    Addr
	Attempt int
	Ms      float64
	Token   uint64
	Whole   bool
	Doubt   bool
	Peer    int
	Text    string
}
