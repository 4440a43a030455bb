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

// serviceName is the service.name of the resource and the name of the instrumentation
// scope.
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

// Spans converts the traces of a broker instance to OTLP. A query becomes a server span
// and each of its attempts a client span below it. The steps of an attempt, such as the
// sending of its last byte, become events of its span.
func Spans(instance string, traces []*record.Trace) []*tracepb.ResourceSpans {
	var spans []*tracepb.Span
	for _, t := range traces {
		spans = append(spans, querySpan(t))
		for i := range t.Attempts {
			spans = append(spans, attemptSpan(t, &t.Attempts[i]))
		}
	}
	return []*tracepb.ResourceSpans{{
		Resource: &resourcepb.Resource{Attributes: []*commonpb.KeyValue{
			stringAttribute("service.name", serviceName), stringAttribute("service.instance.id", instance),
		}},
		ScopeSpans: []*tracepb.ScopeSpans{{Scope: &commonpb.InstrumentationScope{Name: serviceName}, Spans: spans}},
	}}
}

// unixNano returns the wall-clock time at an offset from the query's arrival, in
// nanoseconds since the Unix epoch.
func unixNano(t *record.Trace, offset time.Duration) uint64 {
	return uint64(max(0, t.Received.Add(offset).UnixNano()))
}

// querySpan returns the server span of a query. Its status is unset if the client left,
// as that is no error of the broker.
func querySpan(t *record.Trace) *tracepb.Span {
	span := &tracepb.Span{
		TraceId: append([]byte(nil), t.ID[:]...), SpanId: append([]byte(nil), t.Span[:]...), TraceState: t.TraceState,
		Name: t.Class, Kind: tracepb.Span_SPAN_KIND_SERVER,
		StartTimeUnixNano: unixNano(t, 0), EndTimeUnixNano: unixNano(t, t.Elapsed()),
		Attributes: []*commonpb.KeyValue{
			stringAttribute("gannetchute.query", t.Query), stringAttribute("gannetchute.verdict", t.Verdict.String()),
			stringAttribute("gannetchute.reasons", t.Reasons.String()), stringAttribute("gannetchute.kept", t.KeepReason.String()),
			doubleAttribute("gannetchute.probability", t.Probability), intAttribute("gannetchute.parts", int64(t.Parts)),
			intAttribute("gannetchute.wanted_ms", t.Objective.Milliseconds()), boolAttribute("gannetchute.whole", t.Complete),
		},
		Status: &tracepb.Status{},
	}
	if t.Parent != (record.SpanID{}) {
		span.ParentSpanId = append([]byte(nil), t.Parent[:]...)
	}
	switch verdict := broker.Verdict(t.Verdict); verdict {
	case broker.Served:
		span.Status.Code = tracepb.Status_STATUS_CODE_OK
	case broker.ClientLeft:
	default:
		span.Status.Code, span.Status.Message = tracepb.Status_STATUS_CODE_ERROR, t.Verdict.String()
	}
	if t.Accepted.IsSet() {
		span.Events = append(span.Events, event(t, "taken", t.Accepted))
	}
	return span
}

// event returns a span event at an offset from the query's arrival.
func event(t *record.Trace, name string, offset record.Offset) *tracepb.Span_Event {
	return &tracepb.Span_Event{Name: name, TimeUnixNano: unixNano(t, offset.Duration())}
}

// attemptSpan returns the client span of an attempt. The span of an attempt without an
// outcome ends with its query. The status of a cancelled attempt is unset.
func attemptSpan(t *record.Trace, attempt *record.Attempt) *tracepb.Span {
	end := attempt.Ended.Duration()
	if !attempt.Ended.IsSet() {
		end = max(t.Elapsed(), attempt.Opened.Duration())
	}
	span := &tracepb.Span{
		TraceId: append([]byte(nil), t.ID[:]...), SpanId: append([]byte(nil), attempt.Span[:]...),
		ParentSpanId: append([]byte(nil), t.Span[:]...), TraceState: t.TraceState,
		Name: fmt.Sprintf("part %d, %s", attempt.Shard, attempt.Reason), Kind: tracepb.Span_SPAN_KIND_CLIENT,
		StartTimeUnixNano: unixNano(t, attempt.Opened.Duration()), EndTimeUnixNano: unixNano(t, end),
		Attributes: []*commonpb.KeyValue{
			intAttribute("gannetchute.shard", int64(attempt.Shard)), intAttribute("gannetchute.attempt", int64(attempt.Number)),
			stringAttribute("gannetchute.why", attempt.Reason.String()), stringAttribute("gannetchute.node", attempt.Node), intAttribute("gannetchute.cell", int64(attempt.Cell)),
			stringAttribute("server.address", attempt.Addr), stringAttribute("gannetchute.outcome", attempt.Outcome.String()),
			boolAttribute("gannetchute.may_run", attempt.MayStillRun), boolAttribute("gannetchute.doubt", attempt.Suspected), boolAttribute("gannetchute.ours", attempt.EndedByBroker),
		},
		Status: &tracepb.Status{},
	}
	switch decide.Outcome(attempt.Outcome) {
	case decide.OK:
		span.Status.Code = tracepb.Status_STATUS_CODE_OK
	case decide.Cancelled:
	default:
		span.Status.Code, span.Status.Message = tracepb.Status_STATUS_CODE_ERROR, attempt.Outcome.String()
	}
	for _, ev := range []struct {
		name string
		at   record.Offset
	}{{"dialed", attempt.DialStarted}, {"up", attempt.Connected}, {"gone", attempt.Sent}, {"answer", attempt.FirstByte}, {"gave-up", attempt.Abandoned}} {
		if ev.at.IsSet() {
			span.Events = append(span.Events, event(t, ev.name, ev.at))
		}
	}
	if attempt.LateAt.IsSet() && attempt.LateOutcome != nil {
		ev := event(t, "late-outcome", attempt.LateAt)
		ev.Attributes = []*commonpb.KeyValue{stringAttribute("gannetchute.outcome", attempt.LateOutcome.String())}
		span.Events = append(span.Events, ev)
	}
	return span
}
