package tracecontext

import (
	"strings"
	"testing"

	"onyxsail/broker"
)

const good = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"

func TestParse(t *testing.T) {
	c := Parse([]string{good}, "a=1,b=2")
	if Format(c.TraceID, c.ParentID, c.Sampled) != good || c.TraceState != "a=1,b=2" {
		t.Errorf("got %+v", c)
	}
	for name, parents := range map[string][]string{
		"absent": nil, "repeated": {good, good}, "empty": {""}, "too long": {good + "-00"}, "far too long": {good + strings.Repeat("x", 9000)},
		"upper case": {strings.ToUpper(good)}, "version ff": {"ff" + good[2:]}, "no trace": {"00-00000000000000000000000000000000-00f067aa0ba902b7-01"},
		"no span": {"00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01"}, "no hex": {"00-4bf92f3577b34da6a3ce929d0e0e473g-00f067aa0ba902b7-01"},
		"short": {good[:54]}, "noise": {"\x00\xff"},
	} {
		if c := Parse(parents, "a=1"); c != (broker.TraceContext{}) {
			t.Errorf("%s: %+v, want a new trace", name, c)
		}
	}
	// A state that cannot be used costs the state, not the trace.
	for _, state := range []string{"a", "a=1,a=2", strings.Repeat("a=1,", 200), "\x00=1"} {
		if c := Parse([]string{good}, state); c.TraceState != "" || c.TraceID == [16]byte{} {
			t.Errorf("state %.20q: %+v", state, c)
		}
	}
	if c := Parse([]string{"cc" + good[2:] + "-more"}, ""); c.TraceID == [16]byte{} {
		t.Error("a later version's traceparent is not read")
	}
}

func FuzzParse(f *testing.F) {
	f.Add(good, "a=1")
	f.Fuzz(func(t *testing.T, parent, state string) {
		c := Parse([]string{parent}, state)
		if c.TraceID == [16]byte{} {
			if c != (broker.TraceContext{}) {
				t.Fatalf("half a context: %+v", c)
			}
			return
		}
		if len(c.TraceState) > maxState || Parse([]string{Format(c.TraceID, c.ParentID, c.Sampled)}, c.TraceState) != c {
			t.Fatalf("%q, %q: %+v does not come back", parent, state, c)
		}
	})
}
