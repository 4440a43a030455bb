package flightnode

// One attempt: its request, its answer, and what an error says about it.

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"strconv"
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

// maxStreamWait is how long the opening of a stream may take: its headers state the time that was
// left before.
const maxStreamWait = 40 * time.Millisecond

// errTooLate reports that an attempt got its stream when it must no longer start.
var errTooLate = errors.New("the attempt's latest start has passed, or its node is no longer listed")

// newTicket returns the ticket of an attempt that is about to be made at a node, on its connection.
func (c *Client) newTicket(a broker.Attempt, n *node, cancel context.CancelFunc) *ticket {
	target := n.conn.Target()
	return &ticket{attempt: a, node: n.startLimit, conns: n.latestConn, cancel: cancel, settled: make(chan struct{}), written: func(at time.Time) {
		c.writtenAttempts.Add(1)
		c.notify(a.ID, broker.WireSent, target, at)
	}}
}

// notify reports a phase of an attempt to the observer.
func (c *Client) notify(id broker.AttemptID, phase broker.WirePhase, addr string, at time.Time) {
	if c.opts.Observer != nil {
		c.opts.Observer.PhaseReached(id, phase, addr, at)
	}
}

// runAttemptGuarded calls runAttempt. If that panics, the attempt has failed and may have run: a
// panic would otherwise end the process and all its queries.
func (c *Client) runAttemptGuarded(ctx context.Context, conn *grpc.ClientConn, n *node, t *ticket) (outcome decide.Outcome, answer broker.Response, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			c.opts.Log.Error().Str("event", "panic").Str("node", n.id).Int64("total", c.recoveredPanics.Add(1)).
				Str("cause", fmt.Sprint(cause)).Bytes("stack", debug.Stack()).Msg("an attempt panicked and counts as failed")
			outcome, answer, err = decide.Failed, broker.Response{}, errPanicked
		}
	}()
	return c.runAttempt(ctx, conn, n, t)
}

// runAttempt makes one attempt. Before the last byte of its ticket has been written, the attempt
// cannot have run; afterwards only the trailer, which comes from the node itself, proves that it
// did not.
func (c *Client) runAttempt(ctx context.Context, conn *grpc.ClientConn, n *node, t *ticket) (outcome decide.Outcome, answer broker.Response, err error) {
	id := t.attempt.ID
	if conn.GetState() != connectivity.Ready {
		c.notify(id, broker.WireConnecting, conn.Target(), time.Now())
	}
	if err := c.waitReady(ctx, conn); err != nil {
		if n.localFailure.Load() || t.mustNotStart(time.Now()) {
			return decide.NotSent, answer, err
		}
		return decide.Unreachable, answer, err
	}
	c.notify(id, broker.WireConnected, conn.Target(), time.Now())
	stream, cancel, err := openStream(c.withHeaders(ctx, id), conn)
	if err == nil {
		defer cancel()
	}
	// openStream may have waited for the connection, and for the node's limit on streams.
	now := time.Now()
	if t.mustNotStart(now) {
		return decide.NotSent, answer, errTooLate
	}
	if err != nil {
		return decide.Unreachable, answer, err
	}
	message, err := encodeTicket(ctx, &t.attempt, now)
	if err != nil {
		return decide.NotSent, answer, err
	}
	t.armLimit(now)
	if err = stream.SendMsg(message); err == nil {
		err = stream.CloseSend()
	}
	if err == nil {
		answer, err = readAnswer(stream, t.attempt.Shard)
	}
	outcome = classify(err, stream.Trailer())
	return t.settle(outcome, time.Now()), answer, err
}

// withHeaders adds the request headers of an attempt to its context.
func (c *Client) withHeaders(ctx context.Context, id broker.AttemptID) context.Context {
	ctx = metadata.AppendToOutgoingContext(ctx, attemptHeader, strconv.FormatUint(uint64(id), 10))
	if c.opts.Observer == nil {
		return ctx
	}
	parent, state := c.opts.Observer.TraceHeaders(id)
	if parent != "" {
		ctx = metadata.AppendToOutgoingContext(ctx, tracecontext.TraceparentHeader, parent)
	}
	if parent != "" && state != "" {
		ctx = metadata.AppendToOutgoingContext(ctx, tracecontext.TracestateHeader, state)
	}
	return ctx
}

// openStream opens the stream of one attempt. cancel ends it. A stream that took too long to open is
// replaced by a new one: its headers state more time than is left.
func openStream(ctx context.Context, conn *grpc.ClientConn) (stream grpc.ClientStream, cancel context.CancelFunc, err error) {
	for {
		began := time.Now()
		streamCtx, cancel := context.WithCancel(ctx)
		// NewStream instead of the generated DoGet client, which does not show whether an error
		// came before or after the ticket was sent.
		stream, err := conn.NewStream(streamCtx, &grpc.StreamDesc{ServerStreams: true}, "/arrow.flight.protocol.FlightService/DoGet")
		if err == nil && time.Since(began) <= maxStreamWait {
			return stream, cancel, nil
		}
		cancel()
		if err != nil {
			return nil, nil, err
		}
	}
}

// encodeTicket returns the ticket of an attempt. The node gets the time that remains now.
func encodeTicket(ctx context.Context, a *broker.Attempt, now time.Time) (*flight.Ticket, error) {
	remaining := a.Timeout
	if end, ok := ctx.Deadline(); ok {
		remaining = end.Sub(now)
	}
	return flightwire.EncodeTicket(flightwire.PartTicket{
		ID: fmt.Sprintf("%s.%d", a.RequestID, a.Shard), Partition: a.Shard, WaitMs: max(1, remaining.Milliseconds()),
		Key: a.IdempotencyKey, Query: a.Text,
	})
}

// readAnswer reads the one value of a shard.
func readAnswer(stream grpc.ClientStream, shard int) (answer broker.Response, err error) {
	_, values, err := flightwire.ReadValues(&answerStream{ClientStream: stream, firstMessageAt: &answer.FirstByteAt})
	if err != nil {
		return answer, err
	}
	if len(values) != 1 || values[0].Shard != shard || len(values[0].Data) > maxValueBytes {
		return answer, fmt.Errorf("%w: %d parts, want one of shard %d", flightwire.ErrInvalidResult, len(values), shard)
	}
	answer.Value = values[0].Data
	return answer, nil
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

// classify returns the outcome for the error with which a stream ended, nil after an answer.
func classify(err error, trailer metadata.MD) decide.Outcome {
	if err == nil {
		return decide.OK
	}
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
