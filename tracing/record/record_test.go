package record

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"onyxsail/broker"
	"onyxsail/decide"
)

func full() *Trace {
	late := Outcome(decide.OK)
	return &Trace{
		ID: TraceID{1, 2}, Span: SpanID{3}, Parent: SpanID{4}, State: "a=b", Sampled: true, Broker: "n1", Query: "q", Class: "screen",
		Came: time.Unix(1_800_000_000, 5).UTC(), Wanted: time.Second, Budget: 2 * time.Second, Retry: true, Parts: 2, Taken: After(0), Ended: After(time.Second),
		Verdict: Verdict(broker.Refused), RetryAfter: time.Second, Reasons: Refused | Slow, Kept: Refused, Probability: 0.5,
		Attempts: []Attempt{{ID: 9, Span: AttemptSpan(SpanID{3}, 9), Shard: 3, N: 1, Node: "s-1", Cell: 2, Addr: "x:1", Why: Why(broker.ReasonCopy), Opened: After(5),
			Gone: After(6), Ended: After(7), Outcome: Outcome(decide.TimedOut), Ours: true, MayRun: true, LateAt: After(9), LateOutcome: &late}},
	}
}

func TestDecodeGivesBackAll(t *testing.T) {
	data, err := Encode(full())
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(data)
	if err != nil || !reflect.DeepEqual(got, full()) {
		t.Errorf("got %+v, %v", got, err)
	}
}

func TestDecodeNamesTheField(t *testing.T) {
	data, err := Encode(full())
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
			t.Fatalf("%s is not in %s", c.old, data)
		}
		if _, err := Decode([]byte(bad)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s for %s: got %v, want %q named", c.new, c.old, err, c.want)
		}
	}
}

func FuzzDecode(f *testing.F) {
	data, _ := Encode(full())
	f.Add(data)
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		tr, err := Decode(b)
		if err != nil {
			return
		}
		again, err := Encode(tr)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(again); err != nil {
			t.Fatalf("%s was read, and not %s: %v", b, again, err)
		}
	})
}

func TestJudge(t *testing.T) {
	won := func(n int) Attempt {
		return Attempt{Shard: 1, N: n, Outcome: Outcome(decide.OK), Ended: After(time.Duration(n))}
	}
	for _, c := range []struct {
		name string
		t    Trace
		want Reasons
	}{
		{"good", Trace{Whole: true, Ended: After(5), Wanted: 9}, 0},
		{"late", Trace{Whole: true, Ended: After(10), Wanted: 9}, Late},
		{"in part", Trace{Ended: After(5), Wanted: 9}, Partial},
		{"left in time", Trace{Verdict: Verdict(broker.ClientLeft), Ended: After(5), Wanted: 9}, 0},
		{"left late", Trace{Verdict: Verdict(broker.ClientLeft), Ended: After(10), Wanted: 9}, LeftLate},
		{"open", Trace{Verdict: Verdict(Open)}, Interrupted},
		{"duplicate", Trace{Verdict: Verdict(broker.Duplicate)}, Failed},
		{"expired", Trace{Verdict: Verdict(broker.Expired)}, Expired},
		{"a copy won", Trace{Whole: true, Attempts: []Attempt{{Shard: 1, Outcome: Outcome(decide.Cancelled)}, won(1)}}, Saved},
		{"a copy answered after the first", Trace{Whole: true, Attempts: []Attempt{won(0), won(1)}}, 0},
		{"a node in doubt", Trace{Whole: true, Attempts: []Attempt{{Doubt: true}}}, Doubted},
	} {
		if got := c.t.Judge(); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}
