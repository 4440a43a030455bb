package flightnode

// One attempt: its request, its answer, and what an error says about it.

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"onyxsail/broker"
	"onyxsail/decide"
	"onyxsail/internal/flightwire"
	"onyxsail/internal/tracecontext"
)

// errPanicked reports that the goroutine of an attempt panicked.
var errPanicked = errors.New("panic while making an attempt")

// runAttemptGuarded calls runAttempt. If that panics, the attempt has failed and may have run: a
// panic would otherwise end the process and all its queries.
func (c *Client) runAttemptGuarded(ctx context.Context, conn *grpc.ClientConn, n *node, a broker.Attempt) (outcome decide.Outcome, answer broker.Response, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			c.opts.Log.Error().Str("event", "panic").Str("node", n.id).Int64("total", c.recoveredPanics.Add(1)).
				Str("cause", fmt.Sprint(cause)).Bytes("stack", debug.Stack()).Msg("an attempt panicked and counts as failed")
			outcome, answer, err = decide.Failed, broker.Response{}, errPanicked
		}
	}()
	return c.runAttempt(ctx, conn, n, a)
}

// runAttempt makes one attempt. Before the stream of DoGet is open, the attempt cannot have
// run; afterwards only the trailer, which comes from the node itself, proves that it did not.
func (c *Client) runAttempt(ctx context.Context, conn *grpc.ClientConn, n *node, a broker.Attempt) (decide.Outcome, broker.Response, error) {
	var answer broker.Response
	notify := func(p broker.WirePhase, at time.Time) {
		if c.opts.Observer != nil {
			c.opts.Observer.PhaseReached(a.ID, p, conn.Target(), at)
		}
	}
	if conn.GetState() != connectivity.Ready {
		notify(broker.WireConnecting, time.Now())
	}
	if err := c.waitReady(ctx, conn); err != nil {
		if n.localFailure.Load() {
			return decide.NotSent, answer, err
		}
		return decide.Unreachable, answer, err
	}
	notify(broker.WireConnected, time.Now())
	if c.opts.Observer != nil {
		if parent, state := c.opts.Observer.TraceHeaders(a.ID); parent != "" {
			ctx = metadata.AppendToOutgoingContext(ctx, tracecontext.TraceparentHeader, parent)
			if state != "" {
				ctx = metadata.AppendToOutgoingContext(ctx, tracecontext.TracestateHeader, state)
			}
		}
	}
	// NewStream instead of the generated DoGet client, which does not show whether an error
	// came before or after the ticket was sent.
	stream, err := conn.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true}, "/arrow.flight.protocol.FlightService/DoGet")
	if err != nil {
		return decide.Unreachable, answer, err
	}
	// NewStream may have waited for the connection, and for the node's limit on streams.
	if latest, listed := c.latestStart(n); !listed || a.MustNotStart(latest, time.Now()) {
		return decide.NotSent, answer, errTooLate
	}
	remaining := a.Timeout // the node gets the time that remains now
	if end, ok := ctx.Deadline(); ok {
		remaining = time.Until(end)
	}
	ticket, err := flightwire.EncodeTicket(flightwire.PartTicket{
		ID: fmt.Sprintf("%s.%d", a.RequestID, a.Shard), Partition: a.Shard, WaitMs: max(1, remaining.Milliseconds()),
		Key: a.IdempotencyKey, Query: a.Text,
	})
	if err != nil {
		return decide.NotSent, answer, err
	}
	answers := &answerStream{ClientStream: stream, firstMessageAt: &answer.FirstByteAt}
	if err = stream.SendMsg(ticket); err == nil {
		err = stream.CloseSend()
	}
	if err == nil {
		c.writtenAttempts.Add(1)
		notify(broker.WireSent, time.Now())
	}
	var values []broker.Value
	if err == nil {
		_, values, err = flightwire.ReadValues(answers)
	}
	if err == nil && (len(values) != 1 || values[0].Shard != a.Shard || len(values[0].Data) > maxValueBytes) {
		return decide.Failed, answer, fmt.Errorf("got an answer of %d parts, want one part of shard %d", len(values), a.Shard)
	}
	if err == nil {
		answer.Value = values[0].Data
		return decide.OK, answer, nil
	}
	return classify(err, stream.Trailer()), answer, err
}

// errTooLate reports that an attempt got its stream when it must no longer start.
var errTooLate = errors.New("the attempt's latest start has passed, or its node is no longer listed")

// latestStart returns the time after which attempts may not begin at a node, zero if there is
// no limit, and whether the node is listed.
func (c *Client) latestStart(n *node) (latest time.Time, listed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if current := c.nodes[n.id]; current != nil { // n, or its replacement
		return current.latestStart, current.listed
	}
	return time.Time{}, false
}

// answerStream receives the messages of one answer.
type answerStream struct {
	grpc.ClientStream
	firstMessageAt *time.Time // set to when the first message arrived
}

// Recv implements flight.DataStreamReader.
func (a *answerStream) Recv() (*flight.FlightData, error) {
	m := new(flight.FlightData)
	if err := a.RecvMsg(m); err != nil {
		return nil, err
	}
	if a.firstMessageAt.IsZero() {
		*a.firstMessageAt = time.Now()
	}
	return m, nil
}

// classify returns the outcome for an error on a stream that had been opened.
func classify(err error, trailer metadata.MD) decide.Outcome {
	if ends := trailer.Get(flightwire.PartEndKey); len(ends) == 1 && ends[0] == flightwire.PartEndQueueFull {
		return decide.Rejected
	}
	if errors.Is(err, flightwire.ErrInvalidResult) {
		return decide.Failed
	}
	switch statusCode(err) {
	case codes.DeadlineExceeded:
		return decide.TimedOut
	case codes.Canceled:
		return decide.Cancelled
	case codes.Unavailable, codes.Unknown:
		return decide.ConnectionLost
	}
	return decide.Failed
}

// statusCode returns the gRPC status code of an error, Unknown if it has none.
func statusCode(err error) codes.Code {
	var s interface{ GRPCStatus() *status.Status }
	if errors.As(err, &s) {
		return s.GRPCStatus().Code()
	}
	return codes.Unknown
}
