// Package flightfront is the Arrow Flight front: DoGet with a query's ticket
// answers in record batches, DoAction carries the operator's commands. gRPC
// brings its own transport, so these sockets are not on the nbio engine.
package flightfront

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"github.com/rs/zerolog"
	"golang.org/x/net/netutil"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"onyxsail/broker"
	"onyxsail/internal/flightwire"
	"onyxsail/internal/netio"
	"onyxsail/internal/query"
	"onyxsail/internal/tracecontext"
)

const (
	maxTicket  = 64 << 10
	maxStreams = 256 // queries of one connection at once
	idleAfter  = time.Minute
	greetIn    = 2 * time.Second // for a new connection's first words
	maxHeaders = 16 << 10
)

// Core is what the front needs of the broker.
type Core interface {
	Submit(*broker.Query, broker.Replier) (broker.QueryID, bool)
	Leave(broker.QueryID)
}

// Action is one of the operator's commands.
type Action struct {
	Name, About string
	// Run answers the command, with one result. Errors reach the client with the status that they
	// carry, else as INTERNAL.
	Run func(ctx context.Context, body []byte) ([]byte, error)
	// Stream, in place of Run, answers with any number of results.
	Stream func(ctx context.Context, body []byte, send func([]byte) error) error
}

// Options make a Front.
type Options struct {
	Core     Core
	Classes  map[string]query.Class // at the start
	Shards   int
	MaxConns int
	Actions  []Action
	Trace    bool // read the callers' trace contexts
	Log      zerolog.Logger
}

// Front serves Arrow Flight.
type Front struct {
	flight.BaseFlightServer
	opts     Options
	classes  atomic.Pointer[map[string]query.Class]
	server   *grpc.Server
	listener net.Listener
	done     sync.WaitGroup
}

// Listen opens the front's socket and begins to serve.
func Listen(addr string, o Options) (*Front, error) {
	l, err := netio.ListenReusePort(addr)
	if err != nil {
		return nil, fmt.Errorf("listening for Flight clients: %w", err)
	}
	f := &Front{opts: o, listener: l}
	f.SetClasses(o.Classes)
	f.server = grpc.NewServer(
		grpc.ConnectionTimeout(greetIn), grpc.MaxHeaderListSize(maxHeaders),
		grpc.MaxRecvMsgSize(maxTicket+(4<<10)), grpc.MaxConcurrentStreams(maxStreams),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: idleAfter}),
	)
	flight.RegisterFlightServiceServer(f.server, f)
	f.done.Add(1)
	go func() {
		defer f.done.Done()
		if err := f.server.Serve(netutil.LimitListener(l, max(1, o.MaxConns))); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
			o.Log.Error().Str("event", "flight-serve").Err(err).Msg("the Flight front has ended")
		}
	}()
	return f, nil
}

// Addr is where the front listens.
func (f *Front) Addr() net.Addr { return f.listener.Addr() }

// Drain takes no new queries, lets those in hand end, and closes.
func (f *Front) Drain(ctx context.Context) {
	ended := make(chan struct{})
	go func() {
		f.server.GracefulStop()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
		f.server.Stop()
		<-ended
	}
	f.done.Wait()
}

// SetClasses puts other classes in the place of those in use, for queries that come from
// now on.
func (f *Front) SetClasses(byName map[string]query.Class) { f.classes.Store(&byName) }

// waiter takes the answer of one query. The channel has room for it, so the
// core never waits for a client.
type waiter chan broker.Reply

// Reply implements broker.Replier.
func (w waiter) Reply(_ broker.QueryID, r broker.Reply) { w <- r }

// decode turns a ticket into a query.
func (f *Front) decode(ctx context.Context, ticket []byte) (*broker.Query, error) {
	now := time.Now()
	if len(ticket) > maxTicket {
		return nil, status.Errorf(codes.InvalidArgument, "ticket: %d bytes, want %d at most", len(ticket), maxTicket)
	}
	var t flightwire.QueryTicket
	if err := json.Unmarshal(ticket, &t); err != nil {
		return nil, status.Errorf(codes.InvalidArgument, "ticket: %v", err)
	}
	class, ok := (*f.classes.Load())[t.Class]
	if !ok {
		return nil, status.Errorf(codes.NotFound, "class: no class %q", t.Class)
	}
	q := &broker.Query{RequestID: t.ID, Class: class.Index, Retry: t.Retry, ArrivedAt: now}
	if f.opts.Trace {
		if md, ok := metadata.FromIncomingContext(ctx); ok {
			q.Trace = tracecontext.Parse(md.Get(tracecontext.ParentKey), strings.Join(md.Get(tracecontext.StateKey), ","))
		}
	}
	err := query.CheckName("id", t.ID)
	if err == nil && class.Keyed {
		q.IdempotencyKey = t.Key
		err = query.CheckName("key", t.Key)
	}
	if err == nil {
		err = query.DecodeBody(q, ticket, f.opts.Shards)
	}
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	q.Budget = time.Duration(class.DeadlineMs * float64(time.Millisecond)) // where the call has no deadline
	if at, ok := ctx.Deadline(); ok {
		if q.Budget = min(q.Budget, at.Sub(now)); q.Budget <= 0 {
			return nil, status.Error(codes.DeadlineExceeded, "the query's time was up when it came")
		}
	}
	return q, nil
}

// DoGet answers a query.
func (f *Front) DoGet(ticket *flight.Ticket, stream flight.FlightService_DoGetServer) error {
	ctx := stream.Context()
	q, err := f.decode(ctx, ticket.GetTicket())
	if err != nil {
		return err
	}
	if ctx.Err() != nil { // it has waited for us, and its client has left
		return status.FromContextError(ctx.Err()).Err()
	}
	w := make(waiter, 1)
	id, ok := f.opts.Core.Submit(q, w)
	if !ok {
		return refusal(0)
	}
	select {
	case r := <-w:
		return f.answer(stream, r)
	case <-ctx.Done():
		// The client left, or its time is up: its answer could not reach it.
		f.opts.Core.Leave(id)
		return status.FromContextError(ctx.Err()).Err()
	}
}

func (f *Front) answer(stream flight.FlightService_DoGetServer, r broker.Reply) error {
	switch r.Verdict {
	case broker.Served:
		return flightwire.WriteValues(stream, r.Whole, r.Values)
	case broker.Refused:
		return refusal(r.RetryAfter)
	case broker.Duplicate:
		return status.Error(codes.AlreadyExists, "a query of this id is open")
	case broker.Expired:
		return status.Error(codes.DeadlineExceeded, "out of time; the query may have taken effect")
	}
	return status.Error(codes.Aborted, "failed; the query may have taken effect")
}

func refusal(after time.Duration) error {
	s := status.New(codes.Unavailable, "refused; trying again is harmless")
	info := &errdetails.RetryInfo{}
	if after > 0 {
		info.RetryDelay = durationpb.New(after)
	}
	if with, err := s.WithDetails(info); err == nil {
		s = with
	}
	return s.Err()
}

// GetFlightInfo names the one endpoint of a query, whose ticket is the
// descriptor's command.
func (f *Front) GetFlightInfo(ctx context.Context, d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	if d.GetType() != flight.DescriptorCMD {
		return nil, status.Error(codes.InvalidArgument, "descriptor: want a command that is a query's ticket")
	}
	if _, err := f.decode(ctx, d.GetCmd()); err != nil {
		return nil, err
	}
	return &flight.FlightInfo{
		Schema: flight.SerializeSchema(flightwire.Schema(false), memory.DefaultAllocator), FlightDescriptor: d,
		Endpoint:     []*flight.FlightEndpoint{{Ticket: &flight.Ticket{Ticket: d.GetCmd()}}},
		TotalRecords: -1, TotalBytes: -1,
	}, nil
}

// ListActions names the commands.
func (f *Front) ListActions(_ *flight.Empty, stream flight.FlightService_ListActionsServer) error {
	for _, a := range f.opts.Actions {
		if err := stream.Send(&flight.ActionType{Type: a.Name, Description: a.About}); err != nil {
			return fmt.Errorf("listing the actions: %w", err)
		}
	}
	return nil
}

// DoAction runs a command.
func (f *Front) DoAction(a *flight.Action, stream flight.FlightService_DoActionServer) error {
	i := slices.IndexFunc(f.opts.Actions, func(x Action) bool { return x.Name == a.GetType() })
	if i < 0 {
		names := make([]string, len(f.opts.Actions))
		for i, x := range f.opts.Actions {
			names[i] = x.Name
		}
		return status.Errorf(codes.Unimplemented, "no action %q, want one of %s", a.GetType(), strings.Join(names, ", "))
	}
	ctx, send := stream.Context(), func(body []byte) error { return stream.Send(&flight.Result{Body: body}) }
	var err error
	if act := f.opts.Actions[i]; act.Stream != nil {
		err = act.Stream(ctx, a.GetBody(), send)
	} else {
		var body []byte
		if body, err = act.Run(ctx, a.GetBody()); err == nil {
			return send(body)
		}
	}
	if err != nil && ctx.Err() == nil {
		f.opts.Log.Warn().Str("event", "action").Str("action", a.GetType()).Err(err).Msg("a command failed")
	}
	return err
}
