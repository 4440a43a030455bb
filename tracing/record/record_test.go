package record

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"onyxsail/broker"
	"onyxsail/decide"
)

// fullTrace returns a trace with nearly all fields set.
func fullTrace() *Trace {
	late := Outcome(decide.OK)
	return &Trace{
		ID: TraceID{1, 2}, Span: SpanID{3}, Parent: SpanID{4}, TraceState: "a=b", Sampled: true, Broker: "n1", Query: "q", Class: "screen",
		Received: time.Unix(1_800_000_000, 5).UTC(), Objective: time.Second, Budget: 2 * time.Second, Retry: true, Parts: 2, Accepted: OffsetOf(0), Ended: OffsetOf(time.Second),
		Verdict: Verdict(broker.Refused), RetryAfter: time.Second, Reasons: Refused | Slow, KeepReason: Refused, Probability: 0.5,
		Attempts: []Attempt{{ID: 9, Span: AttemptSpan(SpanID{3}, 9), Shard: 3, Number: 1, Node: "s-1", Cell: 2, Addr: "x:1", Reason: AttemptReason(broker.ReasonCopy), Opened: OffsetOf(5),
			Sent: OffsetOf(6), Ended: OffsetOf(7), Outcome: Outcome(decide.TimedOut), EndedByBroker: true, MayStillRun: true, LateAt: OffsetOf(9), LateOutcome: &late}},
	}
}

// Encoding and decoding must keep every field that is set in a trace.
func TestEncodeDecodeKeepsEveryField(t *testing.T) {
	data, err := Encode(fullTrace())
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(data)
	if err != nil || !reflect.DeepEqual(got, fullTrace()) {
		t.Errorf("decoded %+v, error %v; want the encoded trace", got, err)
	}
}

// Each kind of invalid field must be rejected with an error that names the field.
func TestDecodeErrorNamesTheField(t *testing.T) {
	data, err := Encode(fullTrace())
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{`"class"`, `"clazz"`, "clazz"}, {`"refused"`, `"refuzed"`, "verdict"}, {`"refused+slow"`, `"odd"`, "reason"},
		{`"copy"`, `"kopy"`, "why"}, {`"timed-out"`, `"?"`, "outcome"}, {`"probability":0.5`, `"probability":1.5`, "probability"},
		{`"gone":7`, `"gone":-7`, "attempts[0]"}, {`"parts":2`, `"parts":-1`, "parts"}, {`"trace":"0102`, `"trace":"01`, "trace id"},
		{`{"trace"`, `{} {"trace"`, "trace"},
	} {
		bad := strings.Replace(string(data), c.old, c.new, 1)
		if bad == string(data) {
			t.Fatalf("no %s in %s to replace", c.old, data)
		}
		if _, err := Decode([]byte(bad)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s for %s: got error %v, want one that names %q", c.new, c.old, err, c.want)
		}
	}
}

// Decode must not panic, and must accept again what it accepted and Encode re-encoded.
func FuzzDecode(f *testing.F) {
	data, _ := Encode(fullTrace())
	f.Add(data)
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, input []byte) {
		decoded, err := Decode(input)
		if err != nil {
			return
		}
		reencoded, err := Encode(decoded)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(reencoded); err != nil {
			t.Fatalf("decoded %s, but not its re-encoding %s: %v", input, reencoded, err)
		}
	})
}

// Each verdict, and each way in which attempts end, must give its reasons and no others.
func TestDeriveReasons(t *testing.T) {
	answered := func(n int) Attempt {
		return Attempt{Shard: 1, Number: n, Outcome: Outcome(decide.OK), Ended: OffsetOf(time.Duration(n))}
	}
	for _, c := range []struct {
		name string
		t    Trace
		want Reasons
	}{
		{"good", Trace{Complete: true, Ended: OffsetOf(5), Objective: 9}, 0},
		{"late", Trace{Complete: true, Ended: OffsetOf(10), Objective: 9}, Late},
		{"partial", Trace{Ended: OffsetOf(5), Objective: 9}, Partial},
		{"abandoned in time", Trace{Verdict: Verdict(broker.ClientLeft), Ended: OffsetOf(5), Objective: 9}, 0},
		{"abandoned late", Trace{Verdict: Verdict(broker.ClientLeft), Ended: OffsetOf(10), Objective: 9}, AbandonedLate},
		{"open", Trace{Verdict: Verdict(VerdictOpen)}, Interrupted},
		{"duplicate", Trace{Verdict: Verdict(broker.Duplicate)}, Failed},
		{"expired", Trace{Verdict: Verdict(broker.Expired)}, Expired},
		{"a copy won", Trace{Complete: true, Attempts: []Attempt{{Shard: 1, Outcome: Outcome(decide.Cancelled)}, answered(1)}}, Recovered},
		{"a copy answered after the first attempt", Trace{Complete: true, Attempts: []Attempt{answered(0), answered(1)}}, 0},
		{"a suspected node", Trace{Complete: true, Attempts: []Attempt{{Suspected: true}}}, SuspectNode},
	} {
		if got := c.t.DeriveReasons(); got != c.want {
			t.Errorf("%s: got reasons %q, want %q", c.name, got, c.want)
		}
	}
}
