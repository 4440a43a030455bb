package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"onyxsail/flightfront"
	"onyxsail/tracing/record"
)

// maxRead bounds the traces of one answer: they are gathered before the first
// is sent.
const maxRead = 5000

// TraceItem is one result of the trace commands.
type TraceItem struct {
	Trace      *record.Trace `json:"trace,omitempty"`
	Unreadable string        `json:"unreadable,omitempty"` // a file of the spool, and why
}

// ParseFilter reads a trace command's body; an empty one picks all.
func ParseFilter(body []byte) (record.Filter, error) {
	f := record.Filter{Limit: maxRead}
	if len(body) > 0 {
		dec := json.NewDecoder(bytes.NewReader(body))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&f); err != nil {
			return f, status.Errorf(codes.InvalidArgument, "filter: %v", err)
		}
	}
	if f.Limit < 1 || f.Limit > maxRead {
		return f, status.Errorf(codes.InvalidArgument, "filter: limit: got %d, want 1 to %d", f.Limit, maxRead)
	}
	return f, nil
}

func (d *Daemon) traceActions() []flightfront.Action {
	item := func(i TraceItem, send func([]byte) error) error {
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
			traces, bad, err := d.tracer.Read(f)
			if err != nil {
				return status.Error(codes.Internal, err.Error())
			}
			for _, b := range bad {
				if err := item(TraceItem{Unreadable: fmt.Sprintf("%s: %v", b.File, b.Err)}, send); err != nil {
					return err
				}
			}
			for _, t := range traces {
				if err := item(TraceItem{Trace: t}, send); err != nil {
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
			return d.tracer.Follow(ctx, f, func(t *record.Trace) error { return item(TraceItem{Trace: t}, send) })
		},
	}}
}
