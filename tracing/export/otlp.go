package export

import (
	"fmt"
	"time"

	commonpb "go.opentelemetry.io/proto/otlp/common/v1"
	resourcepb "go.opentelemetry.io/proto/otlp/resource/v1"
	tracepb "go.opentelemetry.io/proto/otlp/trace/v1"

	"onyxsail/broker"
	"onyxsail/decide"
	"onyxsail/tracing/record"
)

const scopeName = "gannetchute"

func text(key, value string) *commonpb.KeyValue {
	return &commonpb.KeyValue{Key: key, Value: &commonpb.AnyValue{Value: &commonpb.AnyValue_StringValue{StringValue: value}}}
}

func integer(key string, n int64) *commonpb.KeyValue {
	return &commonpb.KeyValue{Key: key, Value: &commonpb.AnyValue{Value: &commonpb.AnyValue_IntValue{IntValue: n}}}
}

func boolean(key string, on bool) *commonpb.KeyValue {
	return &commonpb.KeyValue{Key: key, Value: &commonpb.AnyValue{Value: &commonpb.AnyValue_BoolValue{BoolValue: on}}}
}

func double(key string, x float64) *commonpb.KeyValue {
	return &commonpb.KeyValue{Key: key, Value: &commonpb.AnyValue{Value: &commonpb.AnyValue_DoubleValue{DoubleValue: x}}}
}

// Spans renders traces as OTLP: the query is a server's span, each attempt a
// client's span below it, and what the wire saw its events.
func Spans(brokerName string, traces []*record.Trace) []*tracepb.ResourceSpans {
	var spans []*tracepb.Span
	for _, t := range traces {
		spans = append(spans, querySpan(t))
		for i := range t.Attempts {
			spans = append(spans, attemptSpan(t, &t.Attempts[i]))
		}
	}
	return []*tracepb.ResourceSpans{{
		Resource: &resourcepb.Resource{Attributes: []*commonpb.KeyValue{
			text("service.name", scopeName), text("service.instance.id", brokerName),
		}},
		ScopeSpans: []*tracepb.ScopeSpans{{Scope: &commonpb.InstrumentationScope{Name: scopeName}, Spans: spans}},
	}}
}

func at(t *record.Trace, d time.Duration) uint64 { return uint64(max(0, t.Received.Add(d).UnixNano())) }

func querySpan(t *record.Trace) *tracepb.Span {
	s := &tracepb.Span{
		TraceId: append([]byte(nil), t.ID[:]...), SpanId: append([]byte(nil), t.Span[:]...), TraceState: t.TraceState,
		Name: t.Class, Kind: tracepb.Span_SPAN_KIND_SERVER,
		StartTimeUnixNano: at(t, 0), EndTimeUnixNano: at(t, t.Elapsed()),
		Attributes: []*commonpb.KeyValue{
			text("gannetchute.query", t.Query), text("gannetchute.verdict", t.Verdict.String()),
			text("gannetchute.reasons", t.Reasons.String()), text("gannetchute.kept", t.KeepReason.String()),
			double("gannetchute.probability", t.Probability), integer("gannetchute.parts", int64(t.Parts)),
			integer("gannetchute.wanted_ms", t.Objective.Milliseconds()), boolean("gannetchute.whole", t.Complete),
		},
		Status: &tracepb.Status{},
	}
	if t.Parent != (record.SpanID{}) {
		s.ParentSpanId = append([]byte(nil), t.Parent[:]...)
	}
	switch v := broker.Verdict(t.Verdict); v {
	case broker.Served:
		s.Status.Code = tracepb.Status_STATUS_CODE_OK
	case broker.Left:
	default:
		s.Status.Code, s.Status.Message = tracepb.Status_STATUS_CODE_ERROR, t.Verdict.String()
	}
	if t.Accepted.IsSet() {
		s.Events = append(s.Events, event(t, "taken", t.Accepted))
	}
	return s
}

func event(t *record.Trace, name string, o record.Offset) *tracepb.Span_Event {
	return &tracepb.Span_Event{Name: name, TimeUnixNano: at(t, o.Duration())}
}

func attemptSpan(t *record.Trace, a *record.Attempt) *tracepb.Span {
	end := a.Ended.Duration()
	if !a.Ended.IsSet() {
		end = max(t.Elapsed(), a.Opened.Duration())
	}
	s := &tracepb.Span{
		TraceId: append([]byte(nil), t.ID[:]...), SpanId: append([]byte(nil), a.Span[:]...),
		ParentSpanId: append([]byte(nil), t.Span[:]...), TraceState: t.TraceState,
		Name: fmt.Sprintf("part %d, %s", a.Shard, a.Reason), Kind: tracepb.Span_SPAN_KIND_CLIENT,
		StartTimeUnixNano: at(t, a.Opened.Duration()), EndTimeUnixNano: at(t, end),
		Attributes: []*commonpb.KeyValue{
			integer("gannetchute.shard", int64(a.Shard)), integer("gannetchute.attempt", int64(a.Number)),
			text("gannetchute.why", a.Reason.String()), text("gannetchute.node", a.Node), integer("gannetchute.cell", int64(a.Cell)),
			text("server.address", a.Addr), text("gannetchute.outcome", a.Outcome.String()),
			boolean("gannetchute.may_run", a.MayStillRun), boolean("gannetchute.doubt", a.Suspected), boolean("gannetchute.ours", a.EndedByBroker),
		},
		Status: &tracepb.Status{},
	}
	switch decide.Outcome(a.Outcome) {
	case decide.OK:
		s.Status.Code = tracepb.Status_STATUS_CODE_OK
	case decide.Cancelled:
	default:
		s.Status.Code, s.Status.Message = tracepb.Status_STATUS_CODE_ERROR, a.Outcome.String()
	}
	for _, e := range []struct {
		name string
		at   record.Offset
	}{{"dialed", a.DialStarted}, {"up", a.Connected}, {"gone", a.Sent}, {"answer", a.FirstByte}, {"gave-up", a.Abandoned}} {
		if e.at.IsSet() {
			s.Events = append(s.Events, event(t, e.name, e.at))
		}
	}
	if a.LateAt.IsSet() && a.LateOutcome != nil {
		e := event(t, "late-outcome", a.LateAt)
		e.Attributes = []*commonpb.KeyValue{text("gannetchute.outcome", a.LateOutcome.String())}
		s.Events = append(s.Events, e)
	}
	return s
}
