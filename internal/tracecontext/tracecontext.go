// Package tracecontext reads and writes the headers of W3C Trace Context
// (https://www.w3.org/TR/trace-context/) for the fronts and the Flight node
// client. What is malformed counts as absent and harms nothing.
package tracecontext

import (
	"context"
	"encoding/hex"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"onyxsail/broker"
)

// The headers' names.
const (
	ParentKey = "traceparent"
	StateKey  = "tracestate"
)

// Bounds of what is read: a later version's traceparent may be longer than
// version 0's 55 characters, and the specification asks for 512 of tracestate
// to be carried.
const (
	maxParent = 256
	maxState  = 512
)

type carrier struct{ parent, state string }

func (c carrier) Get(key string) string {
	switch key {
	case ParentKey:
		return c.parent
	case StateKey:
		return c.state
	}
	return ""
}
func (c carrier) Set(string, string) {}
func (c carrier) Keys() []string     { return []string{ParentKey, StateKey} }

// Parse reads the values of both headers, each as often as it stood. A
// traceparent that is absent, repeated, too long or malformed begins a new
// trace: the result is zero. A tracestate that cannot be used is left out.
func Parse(parents []string, state string) broker.TraceContext {
	if len(parents) != 1 || len(parents[0]) > maxParent {
		return broker.TraceContext{}
	}
	if len(state) > maxState {
		state = ""
	}
	ctx := propagation.TraceContext{}.Extract(context.Background(), carrier{parents[0], state})
	sc := trace.SpanContextFromContext(ctx)
	if !sc.IsValid() {
		return broker.TraceContext{}
	}
	return broker.TraceContext{
		TraceID: sc.TraceID(), ParentID: sc.SpanID(), Sampled: sc.IsSampled(), TraceState: sc.TraceState().String(),
	}
}

// Format renders a traceparent of version 0.
func Format(id [16]byte, span [8]byte, sampled bool) string {
	b := make([]byte, 0, 55)
	b = append(b, "00-"...)
	b = hex.AppendEncode(b, id[:])
	b = append(b, '-')
	b = hex.AppendEncode(b, span[:])
	if sampled {
		return string(append(b, "-01"...))
	}
	return string(append(b, "-00"...))
}
