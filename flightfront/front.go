// Package flightfront serves queries and operator commands over Arrow Flight: DoGet with a
// query's ticket returns the result as a record batch, and DoAction runs an operator's command.
// gRPC has its own transport, so these sockets are not on the event loop of package netio.
package flightfront

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"github.com/rs/zerolog"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"onyxsail/broker"
	"onyxsail/internal/connlimit"
	"onyxsail/internal/flightwire"
	"onyxsail/internal/membudget"
	"onyxsail/internal/netio"
	"onyxsail/internal/query"
	"onyxsail/internal/strictjson"
	"onyxsail/internal/tracecontext"
)

const (
	maxTicketBytes    = 64 << 10
	maxMessageBytes   = maxTicketBytes + 4<<10
	windowBytes       = 64 << 10 // of each call and of each connection
	maxStreamsPerConn = 256      // concurrent calls of one connection
	maxHeaderBytes    = 16 << 10 // all headers of a call
	readBufferBytes   = 8 << 10  // of each connection
)

// Core is the part of the broker that the front uses; see broker.Core.
type Core interface {
	// Submit hands over a query. If it returns false, the front must refuse the query itself.
	Submit(*broker.Query, broker.Replier) (broker.QueryID, bool)
	// Leave reports that the client of a query has disconnected.
	Leave(broker.QueryID)
	// TurnAway counts a query that the front refuses itself.
	TurnAway(*broker.Query)
}

// Action is an operator's command.
type Action struct {
	Name, Description string
	// Run executes the command and returns its single result. An error that carries a gRPC status
	// reaches the client with it, any other as UNKNOWN.
	Run func(ctx context.Context, body []byte) ([]byte, error)
	// Stream is used instead of Run, if set; it sends any number of results.
	Stream func(ctx context.Context, body []byte, send func([]byte) error) error
}

// Options configures a Front.
type Options struct {
	Core    Core
	Classes map[string]query.Class // initial classes, by name; see SetClasses
	Shards  int                    // number of shards; 0: unknown
	Conns   *connlimit.Limiter     // of all connections of clients; further ones wait to be accepted
	Memory  *membudget.Budget      // of all that clients make the process hold; nil: no limit
	Actions []Action
	Trace   bool // read trace contexts from call metadata
	Log     zerolog.Logger
}

// Front is an Arrow Flight server.
type Front struct {
	flight.BaseFlightServer
	opts      Options
	classes   atomic.Pointer[map[string]query.Class]
	server    *grpc.Server
	listener  *connListener
	serveDone sync.WaitGroup
	drained   chan struct{} // closed once all connections are
	drainOnce sync.Once
}

// Listen opens a socket at addr and starts to serve.
func Listen(addr string, o Options) (*Front, error) {
	l, err := netio.ListenReusePort(addr)
	if err != nil {
		return nil, fmt.Errorf("listening for Flight clients: %w", err)
	}
	f := &Front{opts: o, listener: newConnListener(l, o.Conns, cmp.Or(o.Memory, membudget.New(math.MaxInt64)), o.Log), drained: make(chan struct{})}
	f.SetClasses(o.Classes)
	f.server = grpc.NewServer(
		grpc.ConnectionTimeout(handshakeTimeout), grpc.MaxHeaderListSize(maxHeaderBytes),
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxConcurrentStreams(maxStreamsPerConn),
		grpc.ForceServerCodecV2(newBoundedCodec()), grpc.ReadBufferSize(readBufferBytes), grpc.StaticStreamWindowSize(windowBytes), grpc.StaticConnWindowSize(windowBytes),
	)
	flight.RegisterFlightServiceServer(f.server, f)
	f.serveDone.Go(func() { f.listener.sweep(f.drained) })
	f.serveDone.Add(1)
	go func() {
		defer f.serveDone.Done()
		if err := f.server.Serve(f.listener); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
			o.Log.Error().Str("event", "flight-serve").Err(err).Msg("Flight server stopped unexpectedly")
		}
	}()
	return f, nil
}

// Addr returns the address on which the front listens.
func (f *Front) Addr() net.Addr { return f.listener.Addr() }

// Drain accepts no more connections and calls, waits until the open calls have ended, or until
// ctx ends, and closes all connections. Calls that are open when ctx ends are cancelled.
func (f *Front) Drain(ctx context.Context) {
	f.listener.drain()
	stopped := make(chan struct{})
	go func() {
		f.server.GracefulStop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-ctx.Done():
		f.server.Stop()
		<-stopped
	}
	f.drainOnce.Do(func() { close(f.drained) })
	f.serveDone.Wait()
}

// Conns returns the numbers of connections.
func (f *Front) Conns() connlimit.Counts { return f.listener.counts() }

// callConn returns the connection of a call; nil if it is not known.
func callConn(ctx context.Context) *clientConn {
	if client, ok := peer.FromContext(ctx); ok {
		if addr, ok := client.Addr.(clientAddr); ok {
			return addr.conn
		}
	}
	return nil
}

// beginCall records that the front works on a call, and returns when the call was received and a
// function that records the end of that work.
func beginCall(ctx context.Context) (receivedAt time.Time, end func()) {
	if conn := callConn(ctx); conn != nil {
		return conn.beginCall(), conn.endCall
	}
	return time.Now(), func() {}
}

// SetClasses replaces the configured classes for all queries that arrive from now on.
func (f *Front) SetClasses(byName map[string]query.Class) { f.classes.Store(&byName) }

// call receives the reply to one query and tells whether its client has gone.
type call struct {
	replies chan broker.Reply // buffered, so that the core never blocks on a client
	ctx     context.Context
	conn    *clientConn // nil: not known
}

// Reply implements broker.Replier.
func (c *call) Reply(_ broker.QueryID, reply broker.Reply) { c.replies <- reply }

// ClientGone implements broker.DisconnectChecker. The end of a connection is seen here before gRPC has
// read what the client sent before it.
func (c *call) ClientGone() bool {
	return c.ctx.Err() != nil || c.conn != nil && netio.PeerClosed(c.conn.socket)
}

// queryTicket is the ticket of a query with all its fields. They are decoded at once, so that its
// id and its parts come from one reading.
type queryTicket struct {
	flightwire.QueryTicket
	query.Body
}

// decodeTicket converts a ticket that was received at some time to a query. The error is a gRPC
// status.
func (f *Front) decodeTicket(ctx context.Context, ticket []byte, receivedAt time.Time) (*broker.Query, error) {
	if len(ticket) > maxTicketBytes {
		return nil, status.Errorf(codes.InvalidArgument, "ticket: %d bytes, want %d at most", len(ticket), maxTicketBytes)
	}
	var request queryTicket
	if err := strictjson.Unmarshal(ticket, &request); err != nil {
		return nil, status.Errorf(codes.InvalidArgument, "ticket: %v", err)
	}
	class, ok := (*f.classes.Load())[request.Class]
	if !ok {
		return nil, status.Errorf(codes.NotFound, "class: no class %q", request.Class)
	}
	if class.SecondStep {
		return nil, status.Error(codes.Unimplemented, query.ErrSecondStep.Error())
	}
	q := &broker.Query{RequestID: request.ID, Class: class.Index, Retry: request.Retry, ArrivedAt: receivedAt}
	if f.opts.Trace {
		if headers, ok := metadata.FromIncomingContext(ctx); ok {
			q.Trace = tracecontext.Parse(headers.Get(tracecontext.TraceparentHeader), strings.Join(headers.Get(tracecontext.TracestateHeader), ","))
		}
	}
	err := query.ValidateName("id", request.ID)
	if err == nil && class.Keyed {
		q.IdempotencyKey = request.Key
		err = query.ValidateName("key", request.Key)
	}
	if err == nil {
		err = request.SetParts(q, f.opts.Shards)
	}
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	q.Budget = time.Duration(class.DeadlineMs * float64(time.Millisecond)) // unless the call has an earlier deadline
	if deadline, ok := ctx.Deadline(); ok {                                // gRPC counts the client's time from when it reads the call
		if q.Budget = min(q.Budget, time.Until(deadline)); q.Budget <= time.Since(receivedAt) {
			return nil, status.Error(codes.DeadlineExceeded, "the query's time was up when it came")
		}
	}
	return q, nil
}

// DoGet runs the query of a ticket and sends its result.
func (f *Front) DoGet(ticket *flight.Ticket, stream flight.FlightService_DoGetServer) error {
	ctx := stream.Context()
	receivedAt, end := beginCall(ctx)
	defer end()
	q, err := f.decodeTicket(ctx, ticket.GetTicket(), receivedAt)
	if err != nil {
		return err
	}
	if ctx.Err() != nil { // the client left while the call waited to be handled
		return status.FromContextError(ctx.Err()).Err()
	}
	caller := &call{replies: make(chan broker.Reply, 1), ctx: ctx, conn: callConn(ctx)}
	if caller.ClientGone() {
		return status.Error(codes.Canceled, "the client has left")
	}
	if caller.conn != nil && !caller.conn.admits() {
		f.opts.Core.TurnAway(q)
		return refusedError(0)
	}
	id, ok := f.opts.Core.Submit(q, caller)
	if !ok {
		return refusedError(0)
	}
	select {
	case reply := <-caller.replies:
		return f.sendReply(caller, stream, reply)
	case <-ctx.Done():
		// The client left or the deadline passed: a reply could not reach it any more.
		f.opts.Core.Leave(id)
		return status.FromContextError(ctx.Err()).Err()
	}
}

// sendReply sends the result of a query, or returns the gRPC status of one that was not served.
func (f *Front) sendReply(caller *call, stream flight.FlightService_DoGetServer, reply broker.Reply) error {
	switch reply.Verdict {
	case broker.Served:
		if bytes := reply.ValueBytes(); caller.conn != nil && bytes > 0 {
			caller.conn.addResponse(bytes)
		}
		return flightwire.WriteValues(stream, reply.Complete, reply.Values)
	case broker.Refused:
		return refusedError(reply.RetryAfter)
	case broker.Duplicate:
		return status.Error(codes.AlreadyExists, "a query of this id is open")
	case broker.Expired:
		return status.Error(codes.DeadlineExceeded, "out of time; the query may have taken effect")
	}
	return status.Error(codes.Aborted, "failed; the query may have taken effect")
}

// refusedError returns the status of a refused query, with a RetryInfo that carries retryAfter
// if it is positive.
func refusedError(retryAfter time.Duration) error {
	refused := status.New(codes.Unavailable, "refused; trying again is harmless")
	info := &errdetails.RetryInfo{}
	if retryAfter > 0 {
		info.RetryDelay = durationpb.New(retryAfter)
	}
	if detailed, err := refused.WithDetails(info); err == nil {
		refused = detailed
	}
	return refused.Err()
}

// GetFlightInfo returns the single endpoint of a query, whose ticket is the descriptor's command.
// The query is checked but not run.
func (f *Front) GetFlightInfo(ctx context.Context, descriptor *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	if descriptor.GetType() != flight.DescriptorCMD {
		return nil, status.Error(codes.InvalidArgument, "descriptor: want a command that is a query's ticket")
	}
	receivedAt, end := beginCall(ctx)
	defer end()
	if _, err := f.decodeTicket(ctx, descriptor.GetCmd(), receivedAt); err != nil {
		return nil, err
	}
	return &flight.FlightInfo{
		Schema: flight.SerializeSchema(flightwire.Schema(false), memory.DefaultAllocator), FlightDescriptor: descriptor,
		Endpoint:     []*flight.FlightEndpoint{{Ticket: &flight.Ticket{Ticket: descriptor.GetCmd()}}},
		TotalRecords: -1, TotalBytes: -1,
	}, nil
}

// ListActions lists the operator commands.
func (f *Front) ListActions(_ *flight.Empty, stream flight.FlightService_ListActionsServer) error {
	_, end := beginCall(stream.Context())
	defer end()
	for _, a := range f.opts.Actions {
		if err := stream.Send(&flight.ActionType{Type: a.Name, Description: a.Description}); err != nil {
			return fmt.Errorf("listing the actions: %w", err)
		}
	}
	return nil
}

// DoAction runs an operator's command.
func (f *Front) DoAction(request *flight.Action, stream flight.FlightService_DoActionServer) error {
	i := slices.IndexFunc(f.opts.Actions, func(action Action) bool { return action.Name == request.GetType() })
	if i < 0 {
		names := make([]string, len(f.opts.Actions))
		for i, action := range f.opts.Actions {
			names[i] = action.Name
		}
		return status.Errorf(codes.Unimplemented, "no action %q, want one of %s", request.GetType(), strings.Join(names, ", "))
	}
	_, end := beginCall(stream.Context())
	defer end()
	ctx, send := stream.Context(), func(body []byte) error { return stream.Send(&flight.Result{Body: body}) }
	var err error
	if action := f.opts.Actions[i]; action.Stream != nil {
		err = action.Stream(ctx, request.GetBody(), send)
	} else {
		var body []byte
		if body, err = action.Run(ctx, request.GetBody()); err == nil {
			return send(body)
		}
	}
	if err != nil && ctx.Err() == nil {
		f.opts.Log.Warn().Str("event", "action").Str("action", request.GetType()).Err(err).Msg("operator command failed")
	}
	return err
}
