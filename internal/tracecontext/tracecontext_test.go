package tracecontext

import (
	"strings"
	"testing"

	"onyxsail/broker"
)

const validTraceparent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"

// A malformed traceparent must start a new trace and a malformed tracestate must be dropped.
func TestParseTreatsMalformedHeadersAsAbsent(t *testing.T) {
	c := Parse([]string{validTraceparent}, "a=1,b=2")
	if FormatTraceparent(c.TraceID, c.ParentID, c.Sampled) != validTraceparent || c.TraceState != "a=1,b=2" {
		t.Errorf("valid headers: got %+v", c)
	}
	for name, traceparents := range map[string][]string{
		"absent": nil, "repeated": {validTraceparent, validTraceparent}, "empty": {""}, "too long": {validTraceparent + "-00"}, "far too long": {validTraceparent + strings.Repeat("x", 9000)},
		"upper case": {strings.ToUpper(validTraceparent)}, "version ff": {"ff" + validTraceparent[2:]}, "zero trace ID": {"00-00000000000000000000000000000000-00f067aa0ba902b7-01"},
		"zero span ID": {"00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01"}, "not hexadecimal": {"00-4bf92f3577b34da6a3ce929d0e0e473g-00f067aa0ba902b7-01"},
		"too short": {validTraceparent[:54]}, "binary data": {"\x00\xff"},
	} {
		if c := Parse(traceparents, "a=1"); c != (broker.TraceContext{}) {
			t.Errorf("%s: got %+v, want a zero context", name, c)
		}
	}
	// An invalid tracestate must not discard the traceparent.
	for _, tracestate := range []string{"a", "a=1,a=2", strings.Repeat("a=1,", 200), "\x00=1"} {
		if c := Parse([]string{validTraceparent}, tracestate); c.TraceState != "" || c.TraceID == [16]byte{} {
			t.Errorf("tracestate %.20q: got %+v, want the trace ID without a tracestate", tracestate, c)
		}
	}
	if c := Parse([]string{"cc" + validTraceparent[2:] + "-more"}, ""); c.TraceID == [16]byte{} {
		t.Error("the traceparent of a later version was not parsed")
	}
}

// A parsed trace context must survive a round trip through the headers.
func FuzzParse(f *testing.F) {
	f.Add(validTraceparent, "a=1")
	f.Fuzz(func(t *testing.T, parent, state string) {
		c := Parse([]string{parent}, state)
		if c.TraceID == [16]byte{} {
			if c != (broker.TraceContext{}) {
				t.Fatalf("partial trace context: %+v", c)
			}
			return
		}
		if len(c.TraceState) > maxTracestateBytes || Parse([]string{FormatTraceparent(c.TraceID, c.ParentID, c.Sampled)}, c.TraceState) != c {
			t.Fatalf("%q, %q: %+v changed in a round trip", parent, state, c)
		}
	})
}
