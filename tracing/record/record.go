// Package record defines the trace data model: one query with its parts and
// attempts, timed as offsets from the query's arrival. It does no I/O and reads
// no clock.
package record

import (
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"onyxsail/broker"
	"onyxsail/decide"
)

// Reasons is a bit set of the reasons why a query counts as bad or its trace is
// kept.
type Reasons uint16

// The reasons, in order of decreasing severity.
const (
	Interrupted   Reasons = 1 << iota // the broker process ended before the query did
	Failed                            // given up, and may have taken effect; or a duplicate of an open query
	Expired                           // its deadline passed
	Refused                           // refused by the broker, with no effect
	Late                              // answered after its class's latency objective
	AbandonedLate                     // the client left after the latency objective had passed
	Partial                           // answered, but incompletely
	Recovered                         // a copy (hedged request) or a retry supplied an answer that it needed
	SuspectNode                       // an attempt went to a suspected node, or its node became suspected meanwhile
	Slow                              // served, but unusually slow for its class, within the objective or not
	Requested                         // the caller requested the trace
	Baseline                          // a good query, kept for comparison with bad ones
)

// reasonNames are the names of the reasons, by bit number.
var reasonNames = []string{
	"interrupted", "failed", "expired", "refused", "late", "left-late", "partial", "saved", "doubted", "slow", "asked", "usual",
}

// ReasonNames returns the names of all reasons, in order of decreasing severity.
func ReasonNames() []string { return append([]string(nil), reasonNames...) }

// MostSevere returns the most severe reason of the set, 0 if the set is empty.
func (r Reasons) MostSevere() Reasons { return r & -r }

// ForEach calls visit with each reason of the set, in order of decreasing severity.
func (r Reasons) ForEach(visit func(Reasons)) {
	for ; r != 0; r &= r - 1 {
		visit(r.MostSevere())
	}
}

// String returns the names of the reasons, joined by "+"; "" for the empty set.
func (r Reasons) String() string {
	var names []string
	for i, name := range reasonNames {
		if r&(1<<i) != 0 {
			names = append(names, name)
		}
	}
	return strings.Join(names, "+")
}

// MarshalText implements encoding.TextMarshaler.
func (r Reasons) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It parses the form of String.
func (r *Reasons) UnmarshalText(text []byte) error {
	*r = 0
	if len(text) == 0 {
		return nil
	}
	for _, name := range strings.Split(string(text), "+") {
		bit := indexOf(reasonNames, name)
		if bit < 0 {
			return fmt.Errorf("reason: got %q, want one of %s", name, strings.Join(reasonNames, ", "))
		}
		*r |= 1 << bit
	}
	return nil
}

// indexOf returns the index of a name, -1 if it is not among the names.
func indexOf(names []string, name string) int {
	for i, candidate := range names {
		if candidate == name {
			return i
		}
	}
	return -1
}

// verdictNames are the names of the values of broker.Verdict, in their order,
// and of VerdictOpen.
var verdictNames = []string{"served", "refused", "failed", "expired", "duplicate", "left", "open"}

// VerdictOpen is the verdict of a query that has not ended, or that was open when
// the broker process ended.
const VerdictOpen = broker.ClientLeft + 1

// Verdict is a broker.Verdict, or VerdictOpen, that is encoded by its name.
type Verdict broker.Verdict

// String returns the name of the verdict.
func (v Verdict) String() string { return nameOf(verdictNames, int(v)) }

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Verdict) UnmarshalText(text []byte) error {
	return parseName("verdict", verdictNames, text, func(i int) { *v = Verdict(i) })
}

// AttemptReason is a broker.AttemptReason that is encoded by its name.
type AttemptReason broker.AttemptReason

// attemptReasonNames are the names of the values of broker.AttemptReason, in their
// order.
var attemptReasonNames = []string{"first", "copy", "retry", "trial"}

// String returns the name of the reason.
func (r AttemptReason) String() string { return nameOf(attemptReasonNames, int(r)) }

// MarshalText implements encoding.TextMarshaler.
func (r AttemptReason) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *AttemptReason) UnmarshalText(text []byte) error {
	return parseName("why", attemptReasonNames, text, func(i int) { *r = AttemptReason(i) })
}

// Outcome is a decide.Outcome, or OutcomePending, that is encoded by its name.
type Outcome decide.Outcome

// OutcomePending is the outcome of an attempt that has not ended.
const OutcomePending = Outcome(decide.NotSent + 1)

// outcomeNames are the names of the values of decide.Outcome, in their order, and of
// OutcomePending.
var outcomeNames = []string{
	"ok", "failed", "rejected", "timed-out", "unreachable", "broken", "cancelled", "not-sent", "out",
}

// String returns the name of the outcome.
func (o Outcome) String() string { return nameOf(outcomeNames, int(o)) }

// MarshalText implements encoding.TextMarshaler.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (o *Outcome) UnmarshalText(text []byte) error {
	return parseName("outcome", outcomeNames, text, func(i int) { *o = Outcome(i) })
}

// nameOf returns the i-th name, or a placeholder that no name parses from.
func nameOf(names []string, i int) string {
	if i < len(names) {
		return names[i]
	}
	return fmt.Sprintf("unknown-%d", i)
}

// parseName calls set with the index of the name that text is. Its error names field.
func parseName(field string, names []string, text []byte, set func(int)) error {
	i := indexOf(names, string(text))
	if i < 0 {
		return fmt.Errorf("%s: got %q, want one of %s", field, text, strings.Join(names, ", "))
	}
	set(i)
	return nil
}

type (
	// TraceID is a trace-id of W3C Trace Context; its text form is lower-case
	// hexadecimal.
	TraceID [16]byte
	// SpanID is a parent-id (span ID) of W3C Trace Context; its text form is
	// lower-case hexadecimal.
	SpanID [8]byte
)

// String returns the ID in lower-case hexadecimal.
func (t TraceID) String() string { return hex.EncodeToString(t[:]) }

// MarshalText implements encoding.TextMarshaler.
func (t TraceID) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (t *TraceID) UnmarshalText(text []byte) error { return parseHex("trace id", t[:], text) }

// String returns the ID in lower-case hexadecimal.
func (s SpanID) String() string { return hex.EncodeToString(s[:]) }

// MarshalText implements encoding.TextMarshaler.
func (s SpanID) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *SpanID) UnmarshalText(text []byte) error { return parseHex("span id", s[:], text) }

// parseHex decodes text, which must be hexadecimal and fill dst. Its error names field.
func parseHex(field string, dst, text []byte) error {
	if len(text) != 2*len(dst) {
		return fmt.Errorf("%s: got %d characters, want %d", field, len(text), 2*len(dst))
	}
	if _, err := hex.Decode(dst, text); err != nil {
		return fmt.Errorf("%s: %w", field, err)
	}
	return nil
}

// AttemptSpan derives the span ID of an attempt from its query's span ID and the
// attempt's ID, with the finalizer of SplitMix64 (Steele, Lea and Flood, 2014). So
// the table of open queries need not store it.
func AttemptSpan(query SpanID, attempt uint64) SpanID {
	z := binary.BigEndian.Uint64(query[:]) + (attempt+1)*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	z ^= z >> 31
	var span SpanID
	binary.BigEndian.PutUint64(span[:], max(1, z)) // an all-zero span ID is invalid
	return span
}

// Offset is a point in time, in nanoseconds after the query's arrival, plus one:
// 0 means that the event never happened.
type Offset int64

// OffsetOf returns the offset of an event that happened d after the query's
// arrival; a negative d counts as 0.
func OffsetOf(d time.Duration) Offset { return Offset(max(0, d)) + 1 }

// IsSet reports whether the event happened.
func (o Offset) IsSet() bool { return o > 0 }

// Duration returns the time since the query's arrival, 0 if the event never
// happened.
func (o Offset) Duration() time.Duration { return time.Duration(max(0, o-1)) }

// Attempt is one attempt of one part.
type Attempt struct {
	ID          uint64        `json:"id"`    // the core's broker.AttemptID
	Span        SpanID        `json:"span"`  // derived by AttemptSpan
	Shard       int           `json:"shard"` // the shard of its part
	Number      int           `json:"n"`     // counts the attempts of the part, from 0
	Node        string        `json:"node,omitempty"`
	Cell        int           `json:"cell"`
	Addr        string        `json:"addr,omitempty"`  // the address that it was sent to; "": not known
	Reason      AttemptReason `json:"why"`             // why it was opened
	Suspected   bool          `json:"doubt,omitempty"` // its node was suspected when it opened or became so before it ended
	Opened      Offset        `json:"opened"`
	DialStarted Offset        `json:"dialed,omitempty"`  // when dialing of the connection that it waited for began
	Connected   Offset        `json:"up,omitempty"`      // when that connection was established
	Sent        Offset        `json:"gone,omitempty"`    // when its last byte was sent
	FirstByte   Offset        `json:"answer,omitempty"`  // when the first byte of the answer was received
	Abandoned   Offset        `json:"gave_up,omitempty"` // when the broker cancelled it
	Ended       Offset        `json:"ended,omitempty"`   // when its outcome was known

	Outcome       Outcome `json:"outcome"`
	EndedByBroker bool    `json:"ours,omitempty"`    // ended by the broker, not by the node
	MayStillRun   bool    `json:"may_run,omitempty"` // the node may still execute it

	LateAt      Offset   `json:"late_at,omitempty"`      // when an outcome arrived after it had been cancelled
	LateOutcome *Outcome `json:"late_outcome,omitempty"` // that outcome; nil: none arrived
}

// End records the outcome of the attempt. byBroker says that the broker ended it
// rather than the node. An attempt whose last byte was sent may still run, unless its
// outcome rules that out.
func (a *Attempt) End(outcome decide.Outcome, byBroker bool, at Offset) {
	a.Ended, a.Outcome, a.EndedByBroker = at, Outcome(outcome), byBroker
	switch outcome {
	case decide.Failed, decide.ConnectionLost, decide.TimedOut, decide.Cancelled:
		a.MayStillRun = a.Sent.IsSet()
	default:
		a.MayStillRun = false // it has run, or it never will
	}
}

// Trace is the trace of one query.
type Trace struct {
	ID         TraceID `json:"trace"`             // the caller's or, without one, random
	Span       SpanID  `json:"span"`              // the span of the query
	Parent     SpanID  `json:"parent,omitzero"`   // the span of the caller; zero: none
	TraceState string  `json:"state,omitempty"`   // the tracestate header of the caller
	Sampled    bool    `json:"sampled,omitempty"` // the sampled flag of the caller

	Broker    string        `json:"broker"` // name of the broker instance
	Query     string        `json:"query"`  // the request ID
	Class     string        `json:"class"`
	Received  time.Time     `json:"came"`            // when the query arrived
	Objective time.Duration `json:"wanted"`          // latency objective, in nanoseconds, like every duration here
	Budget    time.Duration `json:"budget"`          // time from arrival to the deadline
	Retry     bool          `json:"retry,omitempty"` // the client marked the query as a retry
	Parts     int           `json:"parts"`           // number of parts
	Accepted  Offset        `json:"taken"`           // when the core dequeued it, or it was turned away
	Ended     Offset        `json:"ended,omitempty"`

	Verdict    Verdict       `json:"verdict"`
	Complete   bool          `json:"whole,omitempty"`       // the answer is complete, not partial
	RetryAfter time.Duration `json:"retry_after,omitempty"` // the delay before a retry that the client was told; 0: none

	Reasons     Reasons `json:"reasons"`
	KeepReason  Reasons `json:"kept"`             // the single reason for which the trace is kept
	Probability float64 `json:"probability"`      // sampling probability of a query like this one; 0: unknown
	Unrecorded  int     `json:"unseen,omitempty"` // number of further attempts of which no details were stored

	Attempts []Attempt `json:"attempts,omitempty"` // in the order in which they were opened
}

// Elapsed returns how long the query took. For a query that has not ended, it is the
// time of the last event among its acceptance and the opening, sending and end of its
// attempts.
func (t *Trace) Elapsed() time.Duration {
	elapsed := t.Ended.Duration()
	if !t.Ended.IsSet() {
		elapsed = t.Accepted.Duration()
		for i := range t.Attempts {
			a := &t.Attempts[i]
			elapsed = max(elapsed, a.Opened.Duration(), a.Sent.Duration(), a.Ended.Duration())
		}
	}
	return elapsed
}

// CompleteInterrupted completes the trace of a query that was in the table of open
// queries when the broker was killed: it sets MayStillRun of pending attempts, and the
// reasons and the probability in place of the sampler. The trace of a query that had
// ended by then lacks only the latter.
func (t *Trace) CompleteInterrupted() {
	t.Probability = 1
	t.Reasons = t.DeriveReasons()
	for i := range t.Attempts {
		if a := &t.Attempts[i]; !a.Ended.IsSet() {
			a.MayStillRun = a.Sent.IsSet()
		}
	}
	if t.Reasons == 0 { // a good query; the table does not hold its sampling probability
		t.Reasons, t.Probability = Baseline, 0
	}
	t.KeepReason = t.Reasons.MostSevere()
}

// MemoryBytes estimates the memory that the trace uses, in bytes: a fixed size for each
// struct, and the lengths of the longer texts.
func (t *Trace) MemoryBytes() int {
	size := 400 + len(t.Query) + len(t.TraceState) + len(t.Broker)
	for i := range t.Attempts {
		size += 200 + len(t.Attempts[i].Node) + len(t.Attempts[i].Addr)
	}
	return size
}

// Upper bounds of the number of attempts and of parts in a decoded trace.
const (
	maxAttempts = 1 << 14
	maxParts    = 1 << 12
)

// Encode returns the JSON encoding of a trace.
func Encode(t *Trace) ([]byte, error) {
	data, err := json.Marshal(t)
	if err != nil {
		return nil, fmt.Errorf("encoding a trace: %w", err)
	}
	return data, nil
}

// Decode parses the output of Encode and validates the trace. Errors name the field.
// An unknown field is an error, so that no data is lost silently.
func Decode(data []byte) (*Trace, error) {
	t := new(Trace)
	dec := json.NewDecoder(strings.NewReader(string(data)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(t); err != nil {
		return nil, fmt.Errorf("decoding a trace: %w", err)
	}
	if dec.More() {
		return nil, errors.New("decoding a trace: more follows the object")
	}
	if err := t.Validate(); err != nil {
		return nil, fmt.Errorf("decoding a trace: %w", err)
	}
	return t, nil
}

// Validate returns an error that names the first field with an invalid value.
// Traces that are read from disk are validated.
func (t *Trace) Validate() error {
	switch {
	case t.ID == TraceID{}:
		return errors.New("trace: missing")
	case t.Parts < 0 || t.Parts > maxParts:
		return fmt.Errorf("parts: got %d, want 0 to %d", t.Parts, maxParts)
	case len(t.Attempts) > maxAttempts:
		return fmt.Errorf("attempts: got %d, want %d at most", len(t.Attempts), maxAttempts)
	case !(t.Probability >= 0 && t.Probability <= 1):
		return fmt.Errorf("probability: got %v, want 0 to 1", t.Probability)
	case t.Accepted < 0 || t.Ended < 0 || t.Objective < 0 || t.Budget < 0:
		return errors.New("taken, ended, wanted and budget: want 0 or more")
	}
	for i := range t.Attempts {
		a := &t.Attempts[i]
		for _, o := range []Offset{a.Opened, a.DialStarted, a.Connected, a.Sent, a.FirstByte, a.Abandoned, a.Ended, a.LateAt} {
			if o < 0 {
				return fmt.Errorf("attempts[%d]: an offset of %d, want 0 or more", i, o)
			}
		}
		if a.Number < 0 || a.Shard < 0 {
			return fmt.Errorf("attempts[%d]: n %d of shard %d, want 0 or more", i, a.Number, a.Shard)
		}
	}
	return nil
}

// LateOutcome is the outcome of an attempt that arrived after the trace of its query
// had been collected. It is stored separately.
type LateOutcome struct {
	ID      TraceID `json:"trace"`
	Span    SpanID  `json:"span"`    // the query's span: several queries may share a trace ID
	Attempt uint64  `json:"attempt"` // the ID of the attempt
	At      Offset  `json:"at"`      // when the outcome arrived
	Outcome Outcome `json:"outcome"`
}

// DecodeLateOutcome parses the JSON encoding of a late outcome and validates it.
func DecodeLateOutcome(data []byte) (LateOutcome, error) {
	var late LateOutcome
	dec := json.NewDecoder(strings.NewReader(string(data)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&late); err != nil {
		return late, fmt.Errorf("decoding a note: %w", err)
	}
	if late.At < 0 || late.ID == (TraceID{}) {
		return late, errors.New("decoding a note: trace and at: missing or negative")
	}
	return late, nil
}

// Apply stores the late outcome in the trace and returns true. It returns false if the
// late outcome belongs to no attempt of that trace.
func (l LateOutcome) Apply(t *Trace) bool {
	if t.ID != l.ID || t.Span != l.Span {
		return false
	}
	for i := range t.Attempts {
		if a := &t.Attempts[i]; a.ID == l.Attempt {
			outcome := l.Outcome
			a.LateAt, a.LateOutcome = l.At, &outcome
			return true
		}
	}
	return false
}

// DeriveReasons returns the reasons that follow from the trace alone, 0 for a good
// query. The sampler adds Slow, Requested and Baseline.
func (t *Trace) DeriveReasons() Reasons {
	var reasons Reasons
	elapsed := t.Elapsed()
	switch broker.Verdict(t.Verdict) {
	case broker.Served:
		if t.Objective > 0 && elapsed > t.Objective {
			reasons |= Late
		}
		if !t.Complete {
			reasons |= Partial
		}
	case broker.Refused:
		reasons |= Refused
	case broker.Failed, broker.Duplicate:
		reasons |= Failed
	case broker.Expired:
		reasons |= Expired
	case broker.ClientLeft:
		if t.Objective > 0 && elapsed > t.Objective {
			reasons |= AbandonedLate
		}
	default:
		reasons |= Interrupted
	}
	for i := range t.Attempts {
		a := &t.Attempts[i]
		if a.Number > 0 && a.Outcome == Outcome(decide.OK) && t.Winner(a.Shard) == a {
			reasons |= Recovered
		}
		if a.Suspected {
			reasons |= SuspectNode
		}
	}
	return reasons
}

// Winner returns the attempt whose answer was used for a shard, that is, the one that
// succeeded first; nil if none did.
func (t *Trace) Winner(shard int) *Attempt {
	var winner *Attempt
	for i := range t.Attempts {
		if a := &t.Attempts[i]; a.Shard == shard && a.Outcome == Outcome(decide.OK) && (winner == nil || a.Ended < winner.Ended) {
			winner = a
		}
	}
	return winner
}

// WorstNode returns the node at which the query lost the most time: that of the longest
// attempt among those that did not succeed or, if all succeeded, among all attempts. It
// returns "" if there is no attempt at a known node.
func (t *Trace) WorstNode() string {
	node, longest, worstFailed := "", time.Duration(-1), false
	for i := range t.Attempts {
		a := &t.Attempts[i]
		end := a.Ended
		if !end.IsSet() {
			end = t.Ended
		}
		duration, failed := end.Duration()-a.Opened.Duration(), a.Outcome != Outcome(decide.OK)
		if a.Node != "" && (failed && !worstFailed || failed == worstFailed && duration > longest) {
			node, longest, worstFailed = a.Node, duration, failed
		}
	}
	return node
}
