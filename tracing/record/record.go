// Package record is what a trace holds: one query with its parts and attempts,
// in offsets from the moment it came. It has no I/O and no clock.
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

// Reasons is the set of reasons for which a query counts as bad, or is kept.
type Reasons uint16

// The reasons, the gravest first.
const (
	Interrupted Reasons = 1 << iota // the broker ended under it
	Failed                          // given up, with no promise about its effect
	Expired                         // its time ran out
	Refused                         // turned away
	Late                            // answered past its class's wanted time
	LeftLate                        // the client went after its wanted time
	Partial                         // answered, but not whole
	Saved                           // a copy or a further try gave an answer that it needed
	Doubted                         // an attempt went to a node in doubt, or one that came into doubt under it
	Slow                            // in time, but unusually slow for its class
	Asked                           // the caller asked for the trace
	Usual                           // a good one, kept at the told rate
)

var reasonNames = []string{
	"interrupted", "failed", "expired", "refused", "late", "left-late", "partial", "saved", "doubted", "slow", "asked", "usual",
}

// AllReasons are the reasons by name, the gravest first.
func AllReasons() []string { return append([]string(nil), reasonNames...) }

// Gravest returns the first of the reasons in the set, 0 for none.
func (r Reasons) Gravest() Reasons { return r & -r }

// Each calls f with each single reason of the set, the gravest first.
func (r Reasons) Each(f func(Reasons)) {
	for ; r != 0; r &= r - 1 {
		f(r.Gravest())
	}
}

// String names the reasons, joined by "+".
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

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Reasons) UnmarshalText(text []byte) error {
	*r = 0
	if len(text) == 0 {
		return nil
	}
	for _, word := range strings.Split(string(text), "+") {
		i := indexOf(reasonNames, word)
		if i < 0 {
			return fmt.Errorf("reason: got %q, want one of %s", word, strings.Join(reasonNames, ", "))
		}
		*r |= 1 << i
	}
	return nil
}

func indexOf(names []string, name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	return -1
}

// Verdicts by name: those of broker.Verdict in its order, and Open for a query
// that was never answered.
var verdictNames = []string{"served", "refused", "failed", "expired", "duplicate", "left", "open"}

// Open is the verdict of a query under which the broker ended.
const Open = broker.ClientLeft + 1

// Verdict is a broker.Verdict with a name.
type Verdict broker.Verdict

func (v Verdict) String() string { return nameOf(verdictNames, int(v)) }

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Verdict) UnmarshalText(text []byte) error {
	return parseName("verdict", verdictNames, text, func(i int) { *v = Verdict(i) })
}

// Why is a broker.Reason with a name.
type Why broker.AttemptReason

var whyNames = []string{"first", "copy", "retry", "trial"}

func (w Why) String() string { return nameOf(whyNames, int(w)) }

// MarshalText implements encoding.TextMarshaler.
func (w Why) MarshalText() ([]byte, error) { return []byte(w.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (w *Why) UnmarshalText(text []byte) error {
	return parseName("why", whyNames, text, func(i int) { *w = Why(i) })
}

// Outcome is a decide.Outcome with a name, or Out.
type Outcome decide.Outcome

// Out is an attempt without an outcome yet.
const Out = Outcome(decide.NotSent + 1)

var outcomeNames = []string{
	"ok", "failed", "rejected", "timed-out", "unreachable", "broken", "cancelled", "not-sent", "out",
}

func (o Outcome) String() string { return nameOf(outcomeNames, int(o)) }

// MarshalText implements encoding.TextMarshaler.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (o *Outcome) UnmarshalText(text []byte) error {
	return parseName("outcome", outcomeNames, text, func(i int) { *o = Outcome(i) })
}

func nameOf(names []string, i int) string {
	if i < len(names) {
		return names[i]
	}
	return fmt.Sprintf("unknown-%d", i)
}

func parseName(field string, names []string, text []byte, set func(int)) error {
	i := indexOf(names, string(text))
	if i < 0 {
		return fmt.Errorf("%s: got %q, want one of %s", field, text, strings.Join(names, ", "))
	}
	set(i)
	return nil
}

// TraceID and SpanID are those of W3C Trace Context; text is lower hex.
type (
	TraceID [16]byte
	SpanID  [8]byte
)

func (t TraceID) String() string { return hex.EncodeToString(t[:]) }

// MarshalText implements encoding.TextMarshaler.
func (t TraceID) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (t *TraceID) UnmarshalText(text []byte) error { return parseHex("trace id", t[:], text) }

func (s SpanID) String() string { return hex.EncodeToString(s[:]) }

// MarshalText implements encoding.TextMarshaler.
func (s SpanID) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *SpanID) UnmarshalText(text []byte) error { return parseHex("span id", s[:], text) }

func parseHex(field string, to, text []byte) error {
	if len(text) != 2*len(to) {
		return fmt.Errorf("%s: got %d characters, want %d", field, len(text), 2*len(to))
	}
	if _, err := hex.Decode(to, text); err != nil {
		return fmt.Errorf("%s: %w", field, err)
	}
	return nil
}

// AttemptSpan is the span of an attempt, made of its query's span and its
// number by the finalizer of SplitMix64 (Steele, Lea and Flood, 2014), so that
// it need not be stored.
func AttemptSpan(query SpanID, attempt uint64) SpanID {
	z := binary.BigEndian.Uint64(query[:]) + (attempt+1)*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	z ^= z >> 31
	var s SpanID
	binary.BigEndian.PutUint64(s[:], max(1, z)) // zero is no span
	return s
}

// Offset is a moment in nanoseconds after the query came, plus one: 0 stands
// for never.
type Offset int64

// After returns the offset of a moment so long after the query came; what lies
// before that counts as at once.
func After(d time.Duration) Offset { return Offset(max(0, d)) + 1 }

// Set says whether the moment came.
func (o Offset) Set() bool { return o > 0 }

// Duration is the time from the query's coming, 0 where the moment never came.
func (o Offset) Duration() time.Duration { return time.Duration(max(0, o-1)) }

// Attempt is one try of one part.
type Attempt struct {
	ID     uint64 `json:"id"`
	Span   SpanID `json:"span"`
	Shard  int    `json:"shard"`
	N      int    `json:"n"`
	Node   string `json:"node,omitempty"`
	Cell   int    `json:"cell"`
	Addr   string `json:"addr,omitempty"`
	Why    Why    `json:"why"`
	Doubt  bool   `json:"doubt,omitempty"` // its node was in doubt, or came into doubt under it
	Opened Offset `json:"opened"`
	Dialed Offset `json:"dialed,omitempty"` // the making of the connection that it waited for
	Up     Offset `json:"up,omitempty"`
	Gone   Offset `json:"gone,omitempty"`   // its last byte left
	Answer Offset `json:"answer,omitempty"` // the answer's first byte came
	GaveUp Offset `json:"gave_up,omitempty"`
	Ended  Offset `json:"ended,omitempty"`

	Outcome Outcome `json:"outcome"`
	Ours    bool    `json:"ours,omitempty"` // the broker ended it, not its node
	MayRun  bool    `json:"may_run,omitempty"`

	LateAt      Offset   `json:"late_at,omitempty"` // when its outcome came after all
	LateOutcome *Outcome `json:"late_outcome,omitempty"`
}

// End gives the attempt its one outcome. ours says that the broker ended it;
// then it may still run if its last byte had left.
func (a *Attempt) End(o decide.Outcome, ours bool, at Offset) {
	a.Ended, a.Outcome, a.Ours = at, Outcome(o), ours
	switch o {
	case decide.Failed, decide.ConnectionLost, decide.TimedOut, decide.Cancelled:
		a.MayRun = a.Gone.Set()
	default:
		a.MayRun = false // it did, or it never can
	}
}

// Trace is one query.
type Trace struct {
	ID      TraceID `json:"trace"`
	Span    SpanID  `json:"span"`
	Parent  SpanID  `json:"parent,omitzero"`
	State   string  `json:"state,omitempty"`
	Sampled bool    `json:"sampled,omitempty"` // by the caller's word

	Broker string        `json:"broker"`
	Query  string        `json:"query"`
	Class  string        `json:"class"`
	Came   time.Time     `json:"came"`
	Wanted time.Duration `json:"wanted"` // nanoseconds, as all durations here
	Budget time.Duration `json:"budget"`
	Retry  bool          `json:"retry,omitempty"`
	Parts  int           `json:"parts"`
	Taken  Offset        `json:"taken"` // when the core took it
	Ended  Offset        `json:"ended,omitempty"`

	Verdict    Verdict       `json:"verdict"`
	Whole      bool          `json:"whole,omitempty"`
	RetryAfter time.Duration `json:"retry_after,omitempty"`

	Reasons     Reasons `json:"reasons"`
	Kept        Reasons `json:"kept"`        // the one reason for which it was kept
	Probability float64 `json:"probability"` // with which a query like it is kept
	Unseen      int     `json:"unseen,omitempty"`

	Attempts []Attempt `json:"attempts,omitempty"`
}

// Took is how long the query took, for an open one as far as is known.
func (t *Trace) Took() time.Duration {
	took := t.Ended.Duration()
	if !t.Ended.Set() {
		took = t.Taken.Duration()
		for i := range t.Attempts {
			a := &t.Attempts[i]
			took = max(took, a.Opened.Duration(), a.Gone.Duration(), a.Ended.Duration())
		}
	}
	return took
}

// Interrupt completes a trace that a broker left when it was killed. A query
// that was over by then lacks nothing but the sampler's verdict.
func (t *Trace) Interrupt() {
	t.Probability = 1
	t.Reasons = t.Judge()
	for i := range t.Attempts {
		if a := &t.Attempts[i]; !a.Ended.Set() {
			a.MayRun = a.Gone.Set()
		}
	}
	if t.Reasons == 0 { // a good one, kept at a rate that the table does not hold
		t.Reasons, t.Probability = Usual, 0
	}
	t.Kept = t.Reasons.Gravest()
}

// Size is about how many bytes the trace holds in memory.
func (t *Trace) Size() int {
	n := 400 + len(t.Query) + len(t.State) + len(t.Broker)
	for i := range t.Attempts {
		n += 200 + len(t.Attempts[i].Node) + len(t.Attempts[i].Addr)
	}
	return n
}

// Bounds of one record that is read.
const (
	maxAttempts = 1 << 14
	maxParts    = 1 << 12
)

// Encode renders a trace as JSON.
func Encode(t *Trace) ([]byte, error) {
	data, err := json.Marshal(t)
	if err != nil {
		return nil, fmt.Errorf("encoding a trace: %w", err)
	}
	return data, nil
}

// Decode reads what Encode wrote. Errors name the field; a field that is not
// known is an error, so that nothing is lost in silence.
func Decode(data []byte) (*Trace, error) {
	t := new(Trace)
	d := json.NewDecoder(strings.NewReader(string(data)))
	d.DisallowUnknownFields()
	if err := d.Decode(t); err != nil {
		return nil, fmt.Errorf("decoding a trace: %w", err)
	}
	if d.More() {
		return nil, errors.New("decoding a trace: more follows the object")
	}
	if err := t.Check(); err != nil {
		return nil, fmt.Errorf("decoding a trace: %w", err)
	}
	return t, nil
}

// Check says which field cannot be; what is read from disk passes it.
func (t *Trace) Check() error {
	switch {
	case t.ID == TraceID{}:
		return errors.New("trace: missing")
	case t.Parts < 0 || t.Parts > maxParts:
		return fmt.Errorf("parts: got %d, want 0 to %d", t.Parts, maxParts)
	case len(t.Attempts) > maxAttempts:
		return fmt.Errorf("attempts: got %d, want %d at most", len(t.Attempts), maxAttempts)
	case !(t.Probability >= 0 && t.Probability <= 1):
		return fmt.Errorf("probability: got %v, want 0 to 1", t.Probability)
	case t.Taken < 0 || t.Ended < 0 || t.Wanted < 0 || t.Budget < 0:
		return errors.New("taken, ended, wanted and budget: want 0 or more")
	}
	for i := range t.Attempts {
		a := &t.Attempts[i]
		for _, o := range []Offset{a.Opened, a.Dialed, a.Up, a.Gone, a.Answer, a.GaveUp, a.Ended, a.LateAt} {
			if o < 0 {
				return fmt.Errorf("attempts[%d]: an offset of %d, want 0 or more", i, o)
			}
		}
		if a.N < 0 || a.Shard < 0 {
			return fmt.Errorf("attempts[%d]: n %d of shard %d, want 0 or more", i, a.N, a.Shard)
		}
	}
	return nil
}

// Note is an outcome that came after its trace was written.
type Note struct {
	ID      TraceID `json:"trace"`
	Span    SpanID  `json:"span"` // the query's: one trace may hold several queries
	Attempt uint64  `json:"attempt"`
	At      Offset  `json:"at"`
	Outcome Outcome `json:"outcome"`
}

// DecodeNote reads a note.
func DecodeNote(data []byte) (Note, error) {
	var n Note
	d := json.NewDecoder(strings.NewReader(string(data)))
	d.DisallowUnknownFields()
	if err := d.Decode(&n); err != nil {
		return n, fmt.Errorf("decoding a note: %w", err)
	}
	if n.At < 0 || n.ID == (TraceID{}) {
		return n, errors.New("decoding a note: trace and at: missing or negative")
	}
	return n, nil
}

// Apply puts a note into its trace; false says that it belongs to another.
func (n Note) Apply(t *Trace) bool {
	if t.ID != n.ID || t.Span != n.Span {
		return false
	}
	for i := range t.Attempts {
		if a := &t.Attempts[i]; a.ID == n.Attempt {
			o := n.Outcome
			a.LateAt, a.LateOutcome = n.At, &o
			return true
		}
	}
	return false
}

// Judge gives the reasons that the trace itself shows; Slow, Asked and Usual
// are the sampler's to add.
func (t *Trace) Judge() Reasons {
	var r Reasons
	took := t.Took()
	switch broker.Verdict(t.Verdict) {
	case broker.Served:
		if t.Wanted > 0 && took > t.Wanted {
			r |= Late
		}
		if !t.Whole {
			r |= Partial
		}
	case broker.Refused:
		r |= Refused
	case broker.Failed, broker.Duplicate:
		r |= Failed
	case broker.Expired:
		r |= Expired
	case broker.ClientLeft:
		if t.Wanted > 0 && took > t.Wanted {
			r |= LeftLate
		}
	default:
		r |= Interrupted
	}
	for i := range t.Attempts {
		a := &t.Attempts[i]
		if a.N > 0 && a.Outcome == Outcome(decide.OK) && t.Winner(a.Shard) == a {
			r |= Saved
		}
		if a.Doubt {
			r |= Doubted
		}
	}
	return r
}

// Winner is the attempt whose answer served a shard, nil if none did.
func (t *Trace) Winner(shard int) *Attempt {
	var best *Attempt
	for i := range t.Attempts {
		if a := &t.Attempts[i]; a.Shard == shard && a.Outcome == Outcome(decide.OK) && (best == nil || a.Ended < best.Ended) {
			best = a
		}
	}
	return best
}

// Culprit is the node that the query lost most time at: of the attempts that
// brought no answer, else of all, the one that was out the longest.
func (t *Trace) Culprit() string {
	node, longest, bad := "", time.Duration(-1), false
	for i := range t.Attempts {
		a := &t.Attempts[i]
		end := a.Ended
		if !end.Set() {
			end = t.Ended
		}
		out, failed := end.Duration()-a.Opened.Duration(), a.Outcome != Outcome(decide.OK)
		if a.Node != "" && (failed && !bad || failed == bad && out > longest) {
			node, longest, bad = a.Node, out, failed
		}
	}
	return node
}
