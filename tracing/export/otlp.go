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

const serviceName = "gannetchute"

func stringAttribute(key, value string) *commonpb.KeyValue {
	return &commonpb.KeyValue{Key: key, Value: &commonpb.AnyValue{Value: &commonpb.AnyValue_StringValue{StringValue: value}}}
}

func intAttribute(key string, value int64) *commonpb.KeyValue {
	return &commonpb.KeyValue{Key: key, Value: &commonpb.AnyValue{Value: &commonpb.AnyValue_IntValue{IntValue: value}}}
}

func boolAttribute(key string, value bool) *commonpb.KeyValue {
	return &commonpb.KeyValue{Key: key, Value: &commonpb.AnyValue{Value: &commonpb.AnyValue_BoolValue{BoolValue: value}}}
}

func doubleAttribute(key string, value float64) *commonpb.KeyValue {
	return &commonpb.KeyValue{Key: key, Value: &commonpb.AnyValue{Value: &commonpb.AnyValue_DoubleValue{DoubleValue: value}}}
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
			stringAttribute("service.name", serviceName), stringAttribute("service.instance.id", brokerName),
		}},
		ScopeSpans: []*tracepb.ScopeSpans{{Scope: &commonpb.InstrumentationScope{Name: serviceName}, Spans: spans}},
	}}
}

func unixNano(t *record.Trace, offset time.Duration) uint64 {
	return uint64(max(0, t.Came.Add(offset).UnixNano()))
}

func querySpan(t *record.Trace) *tracepb.Span {
	s := &tracepb.Span{
		TraceId: append([]byte(nil), t.ID[:]...), SpanId: append([]byte(nil), t.Span[:]...), TraceState: t.State,
		Name: t.Class, Kind: tracepb.Span_SPAN_KIND_SERVER,
		StartTimeUnixNano: unixNano(t, 0), EndTimeUnixNano: unixNano(t, t.Took()),
		Attributes: []*commonpb.KeyValue{
			stringAttribute("gannetchute.query", t.Query), stringAttribute("gannetchute.verdict", t.Verdict.String()),
			stringAttribute("gannetchute.reasons", t.Reasons.String()), stringAttribute("gannetchute.kept", t.Kept.String()),
			doubleAttribute("gannetchute.probability", t.Probability), intAttribute("gannetchute.parts", int64(t.Parts)),
			intAttribute("gannetchute.wanted_ms", t.Wanted.Milliseconds()), boolAttribute("gannetchute.whole", t.Whole),
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
	if t.Taken.Set() {
		s.Events = append(s.Events, event(t, "taken", t.Taken))
	}
	return s
}

func event(t *record.Trace, name string, offset record.Offset) *tracepb.Span_Event {
	return &tracepb.Span_Event{Name: name, TimeUnixNano: unixNano(t, offset.Duration())}
}

func attemptSpan(t *record.Trace, a *record.Attempt) *tracepb.Span {
	end := a.Ended.Duration()
	if !a.Ended.Set() {
		end = max(t.Took(), a.Opened.Duration())
	}
	s := &tracepb.Span{
		TraceId: append([]byte(nil), t.ID[:]...), SpanId: append([]byte(nil), a.Span[:]...),
		ParentSpanId: append([]byte(nil), t.Span[:]...), TraceState: t.State,
		Name: fmt.Sprintf("part %d, %s", a.Shard, a.Why), Kind: tracepb.Span_SPAN_KIND_CLIENT,
		StartTimeUnixNano: unixNano(t, a.Opened.Duration()), EndTimeUnixNano: unixNano(t, end),
		Attributes: []*commonpb.KeyValue{
			intAttribute("gannetchute.shard", int64(a.Shard)), intAttribute("gannetchute.attempt", int64(a.N)),
			stringAttribute("gannetchute.why", a.Why.String()), stringAttribute("gannetchute.node", a.Node), intAttribute("gannetchute.cell", int64(a.Cell)),
			stringAttribute("server.address", a.Addr), stringAttribute("gannetchute.outcome", a.Outcome.String()),
			boolAttribute("gannetchute.may_run", a.MayRun), boolAttribute("gannetchute.doubt", a.Doubt), boolAttribute("gannetchute.ours", a.Ours),
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
	}{{"dialed", a.Dialed}, {"up", a.Up}, {"gone", a.Gone}, {"answer", a.Answer}, {"gave-up", a.GaveUp}} {
		if e.at.Set() {
			s.Events = append(s.Events, event(t, e.name, e.at))
		}
	}
	if a.LateAt.Set() && a.LateOutcome != nil {
		e := event(t, "late-outcome", a.LateAt)
		e.Attributes = []*commonpb.KeyValue{stringAttribute("gannetchute.outcome", a.LateOutcome.String())}
		s.Events = append(s.Events, e)
	}
	return s
}
