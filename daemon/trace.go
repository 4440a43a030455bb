package daemon

import (
	"context"
	"encoding/json"
	"fmt"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"onyxsail/flightfront"
	"onyxsail/internal/strictjson"
	"onyxsail/tracing/record"
)

// maxTracesPerRead bounds the number of traces in one answer, as all are read into memory
// before the first is sent.
const maxTracesPerRead = 5000

// TraceItem is one result of the trace actions. Exactly one field is set.
type TraceItem struct {
	Trace      *record.Trace `json:"trace,omitempty"`
	Unreadable string        `json:"unreadable,omitempty"` // a file of the spool and the error
}

// ParseFilter decodes the body of a trace action. An empty body sets no condition. The limit is
// maxTracesPerRead unless the body sets one. Errors are Flight statuses.
func ParseFilter(body []byte) (record.Filter, error) {
	filter := record.Filter{Limit: maxTracesPerRead}
	if len(body) > 0 {
		if err := strictjson.UnmarshalKnown(body, &filter); err != nil {
			return filter, status.Errorf(codes.InvalidArgument, "filter: %v", err)
		}
	}
	if filter.Limit < 1 || filter.Limit > maxTracesPerRead {
		return filter, status.Errorf(codes.InvalidArgument, "filter: limit: got %d, want 1 to %d", filter.Limit, maxTracesPerRead)
	}
	return filter, nil
}

// traceActions returns the actions that read and follow traces.
func (d *Daemon) traceActions() []flightfront.Action {
	sendItem := func(i TraceItem, send func([]byte) error) error {
		data, err := json.Marshal(i)
		if err != nil {
			return fmt.Errorf("encoding a trace: %w", err)
		}
		return send(data)
	}
	return []flightfront.Action{{
		Name: ActionTraceRead, Description: "the traces that are kept, by a filter",
		Stream: func(_ context.Context, body []byte, send func([]byte) error) error {
			f, err := ParseFilter(body)
			if err != nil {
				return err
			}
			traces, unreadable, err := d.tracer.Read(f)
			if err != nil {
				return status.Error(codes.Internal, err.Error())
			}
			for _, b := range unreadable {
				if err := sendItem(TraceItem{Unreadable: fmt.Sprintf("%s: %v", b.File, b.Err)}, send); err != nil {
					return err
				}
			}
			for _, t := range traces {
				if err := sendItem(TraceItem{Trace: t}, send); err != nil {
					return err
				}
			}
			return nil
		},
	}, {
		Name: ActionTraceTail, Description: "traces as they are kept, by a filter, until the call ends",
		Stream: func(ctx context.Context, body []byte, send func([]byte) error) error {
			f, err := ParseFilter(body)
			if err != nil {
				return err
			}
			return d.tracer.Follow(ctx, f, func(t *record.Trace) error { return sendItem(TraceItem{Trace: t}, send) })
		},
	}}
}
