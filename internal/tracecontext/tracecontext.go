// Package tracecontext reads and writes the headers of W3C Trace Context
// (https://www.w3.org/TR/trace-context/) for the fronts and the Flight node
// client. Malformed headers are treated as absent.
package tracecontext

import (
	"context"
	"encoding/hex"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"onyxsail/broker"
)

// Header names.
const (
	TraceparentHeader = "traceparent"
	TracestateHeader  = "tracestate"
)

// Limits of the header values that are read. The traceparent of a later version may be longer
// than the 55 characters of version 0, and the specification requires at least 512 characters
// of tracestate to be propagated.
const (
	maxTraceparentBytes = 256
	maxTracestateBytes  = 512
)

// headerCarrier is a read-only propagation.TextMapCarrier of the two header values.
type headerCarrier struct{ parent, state string }

// Get implements propagation.TextMapCarrier.
func (c headerCarrier) Get(key string) string {
	switch key {
	case TraceparentHeader:
		return c.parent
	case TracestateHeader:
		return c.state
	}
	return ""
}

// Set implements propagation.TextMapCarrier. It does nothing.
func (c headerCarrier) Set(string, string) {}

// Keys implements propagation.TextMapCarrier.
func (c headerCarrier) Keys() []string { return []string{TraceparentHeader, TracestateHeader} }

// Parse parses the values of both headers. traceparents has one value for each time the header
// is present; tracestate has all values of its header, joined by commas. If the traceparent is
// absent, repeated, too long or malformed, the result is zero, which means a new trace. A
// tracestate that is too long or malformed is dropped without affecting the rest.
func Parse(traceparents []string, tracestate string) broker.TraceContext {
	if len(traceparents) != 1 || len(traceparents[0]) > maxTraceparentBytes {
		return broker.TraceContext{}
	}
	if len(tracestate) > maxTracestateBytes {
		tracestate = ""
	}
	ctx := propagation.TraceContext{}.Extract(context.Background(), headerCarrier{traceparents[0], tracestate})
	spanContext := trace.SpanContextFromContext(ctx)
	if !spanContext.IsValid() {
		return broker.TraceContext{}
	}
	return broker.TraceContext{
		TraceID: spanContext.TraceID(), ParentID: spanContext.SpanID(), Sampled: spanContext.IsSampled(), TraceState: spanContext.TraceState().String(),
	}
}

// FormatTraceparent returns a traceparent header value of version 0.
func FormatTraceparent(traceID [16]byte, spanID [8]byte, sampled bool) string {
	b := make([]byte, 0, 55)
	b = append(b, "00-"...)
	b = hex.AppendEncode(b, traceID[:])
	b = append(b, '-')
	b = hex.AppendEncode(b, spanID[:])
	if sampled {
		return string(append(b, "-01"...))
	}
	return string(append(b, "-00"...))
}
