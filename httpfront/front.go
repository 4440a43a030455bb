// Package httpfront serves the platform's queries over HTTP/1.1 on TCP: each query is one
// POST request, and GET /ready reports whether this broker should be sent queries.
package httpfront

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"onyxsail/broker"
	"onyxsail/internal/connlimit"
	"onyxsail/internal/http1"
	"onyxsail/internal/membudget"
	"onyxsail/internal/netio"
	"onyxsail/internal/query"
)

// Limits and timeouts of connections. Without timeouts, hundreds of connections that never
// complete a request would hold all file descriptors. To evict a connection means to end it
// early because its slot is needed.
const (
	maxActivePerConn      = 16                      // requests of one connection that are processed at once
	maxPipelined          = 64                      // unanswered requests of one connection; further ones are rejected
	maxQueuedBytes        = 128 << 10               // bytes of pipelined requests that are not yet processed
	maxResponseBacklog    = 128 << 10               // bytes of responses that wait for the socket, from which on further ones are held back
	requestTurnBytes      = 2 << 10                 // of requests read from one connection before the others have their turn
	maxBodyTurnBytes      = 32 << 10                // the same inside a body
	outputBufferBytes     = 8 << 10                 // of responses collected in one turn
	summaryInterval       = 10 * time.Second        // between log messages about rejected requests and evicted connections
	firstByteTimeout      = 1500 * time.Millisecond // from the accept to the first byte
	requestReadTimeout    = 2500 * time.Millisecond // to receive a request that has started; some clients take 2 s
	firstRequestTimeout   = 2750 * time.Millisecond // to receive the first request, from the accept
	idleTimeout           = time.Minute             // between requests, otherwise
	lingerTimeout         = time.Second             // for the client to close its side after ours was closed
	unreadResponseTimeout = 5 * time.Second         // for the client to read a response
	drainReadTimeout      = time.Second             // to receive a request that has started, during a drain
	// operatorDrainIdleTimeout is how long a connection may be idle during an operator's drain.
	// One in use is closed with its next response instead, which no new request can cross.
	operatorDrainIdleTimeout = time.Second
	sweepInterval            = 100 * time.Millisecond // between checks of the timeouts
	// maxAcceptWait bounds how long a connection's first bytes are assumed to have waited for
	// the accept. A longer time is ignored.
	maxAcceptWait = time.Minute
	// maxHalfClosed is the number of half-closed connections from which on no others are
	// evicted, until some of these have closed.
	maxHalfClosed = 16
)

// connState says what a connection is waiting for.
type connState uint8

const (
	stateActive     connState = iota // responses to its requests
	stateNew                         // the first byte of its first request
	stateReading                     // the rest of a request
	stateIdle                        // the next request
	stateHalfClosed                  // the client to close its side; ours is closed
	stateWriting                     // the client to read responses, while more are due
	stateCount      = iota           // number of states
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

// Options configures a Front.
type Options struct {
	Core     Core
	Loop     *netio.Loop
	Classes  map[string]query.Class // initial classes, by name; see SetClasses
	Shards   int                    // number of shards; 0: unknown
	Conns    *connlimit.Limiter     // of all connections of clients
	Memory   *membudget.Budget      // of all that clients make the process hold; nil: no limit
	Listener *net.TCPListener       // socket taken over from another process; nil: the front opens its own
	Trace    bool                   // read trace contexts from request headers
	Log      zerolog.Logger
}

// Front accepts connections and serves them.
type Front struct {
	opts          Options
	listener      listener
	connSlots     *connlimit.Limiter
	classes       atomic.Pointer[classVersion]
	ready         atomic.Bool
	operatorDrain atomic.Bool   // an operator has requested a drain
	draining      atomic.Bool   // Drain was called
	acceptingLast atomic.Bool   // only connections already in the accept queue are accepted
	handedOver    atomic.Bool   // another process accepts from the same socket
	keepIdleUntil time.Time     // if handedOver: when a drain begins to close idle connections; set before handedOver
	acceptDone    chan struct{} // closed when acceptLoop has returned
	sweeperDone   sync.WaitGroup
	stop          chan struct{}
	memory        *membudget.Budget
	relieve       chan struct{} // capacity 1; asks the sweeper to release memory
	bodyBuffers   http1.BufferPool
	outputBuffer  []byte // used only by the loop's goroutine, in conn.Data

	mu               sync.Mutex
	conns            map[*conn]struct{}
	queues           [stateCount]list.List // connections by state, in the order in which they entered it
	rejectedByStatus map[int]int           // requests rejected since the last summary, by HTTP status
	evictedByState   [stateCount]int       // connections evicted since the last summary, by state
	evictedTotal     int64
	rejectedTotal    map[int]int64 // by HTTP status, since the start
	loggedQuarters   int           // of the memory, which the log has said were used since the last summary
}

// Listen opens a socket at addr, unless the options have one, and starts to serve. GET /ready
// answers 503 until SetReady(true) is called.
func Listen(addr string, o Options) (*Front, error) {
	if o.Listener == nil {
		l, err := netio.ListenReusePort(addr)
		if err != nil {
			return nil, fmt.Errorf("listening for clients: %w", err)
		}
		o.Listener = l
	}
	return serve(o.Listener, o), nil
}

// listener is a listening socket whose Accept can be given a deadline.
type listener interface {
	net.Listener
	syscall.Conn
	SetDeadline(time.Time) error
}

// serve starts a front on a listening socket.
func serve(l listener, o Options) *Front {
	f := &Front{
		opts: o, listener: l, connSlots: o.Conns, memory: o.Memory, relieve: make(chan struct{}, 1),
		conns: map[*conn]struct{}{}, rejectedByStatus: map[int]int{}, rejectedTotal: map[int]int64{}, stop: make(chan struct{}), acceptDone: make(chan struct{}), outputBuffer: make([]byte, 0, outputBufferBytes),
	}
	f.classes.Store(&classVersion{byName: o.Classes})
	if f.memory == nil {
		f.memory = membudget.New(math.MaxInt64)
	}
	f.memory.Register(f)
	f.connSlots.Register(f)
	f.sweeperDone.Add(1)
	go f.acceptLoop()
	go f.sweepLoop()
	return f
}

// Listener returns the front's socket, to be handed over to a successor process; nil if it
// is not a TCP socket.
func (f *Front) Listener() *net.TCPListener {
	l, _ := f.listener.(*net.TCPListener)
	return l
}

// Addr returns the address on which the front listens.
func (f *Front) Addr() net.Addr { return f.listener.Addr() }

// SetReady sets whether GET /ready answers 200 while the front is not draining.
func (f *Front) SetReady(ready bool) { f.ready.Store(ready) }

// Ready reports whether GET /ready answers 200. After a handover of the socket it may do so
// even while this front drains, as the successor accepts new connections.
func (f *Front) Ready() bool {
	return f.ready.Load() && !f.operatorDrain.Load() && (f.handedOver.Load() || !f.draining.Load())
}

// SetOperatorDrain starts or ends a drain requested by an operator. During it, GET /ready
// answers 503, responses close their connections and idle connections are closed. New
// connections are still accepted and their queries served.
func (f *Front) SetOperatorDrain(draining bool) { f.operatorDrain.Store(draining) }

// drainRequested reports whether clients should move to another broker.
func (f *Front) drainRequested() bool { return f.operatorDrain.Load() || f.draining.Load() }

// acceptLoop accepts connections until the front has drained or its socket is closed.
func (f *Front) acceptLoop() {
	defer close(f.acceptDone)
	for {
		if !f.connSlots.Acquire(f.stop) {
			return
		}
		// Connections in the accept queue would be reset when the socket is closed, so all of
		// them are accepted first, unless another process accepts from the socket.
		if f.acceptingLast.Load() && (f.handedOver.Load() || !netio.HasPendingConn(f.listener)) {
			return
		}
		nc, err := f.listener.Accept()
		if err != nil {
			f.connSlots.Release()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if errors.Is(err, os.ErrDeadlineExceeded) { // woken up by Drain
				_ = f.listener.SetDeadline(time.Time{}) // fails if the socket is closed; then Accept fails as well
				continue
			}
			f.opts.Log.Warn().Str("event", "accept").Err(err).Msg("could not accept a connection")
			time.Sleep(10 * time.Millisecond) // out of file descriptors: wait for some to be closed
			continue
		}
		c := &conn{front: f, parser: http1.Parser{MaxBodyBytes: MaxBodyBytes, Buffers: &f.bodyBuffers}, acceptedAt: time.Now(), account: membudget.NewAccount(f.memory)}
		c.requestStart = c.acceptedAt
		_, err = f.opts.Loop.Attach(nc, c, func(s *netio.Conn) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.sock = s
			f.mu.Lock()
			f.conns[c] = struct{}{}
			f.mu.Unlock()
			c.updateQueue()
		})
		if err != nil {
			if c.sock == nil { // otherwise Closed releases the slot
				f.connSlots.Release()
			}
			f.opts.Log.Warn().Str("event", "accept").Err(err).Msg("could not accept a connection")
		}
	}
}

// sweepLoop periodically calls sweepOnce and, at longer intervals, logSummary.
func (f *Front) sweepLoop() {
	defer f.sweeperDone.Done()
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	lastSummary := time.Now()
	for {
		select {
		case <-f.stop:
			return
		case <-f.relieve:
			f.memory.Relieve(membudget.Responses)
			continue
		case now := <-tick.C:
			if now.Sub(lastSummary) >= summaryInterval {
				lastSummary = now
				f.logSummary()
			}
		}
		f.sweepOnce()
	}
}

// nearConnLimit reports whether connections are scarce; responses then close their
// connections. Otherwise clients that send one request and keep the connection open would
// use up the limit, and the next client would find no free slot.
func (f *Front) nearConnLimit() bool { return f.connSlots.UsageAbove(5) }

// sweepOnce ends connections whose timeout has passed and, if the limit is exceeded, evicts as
// many as are in excess.
func (f *Front) sweepOnce() {
	f.memory.Relieve(membudget.Incoming)
	f.memory.Relieve(membudget.Responses)
	f.logMemory()
	idleLimit := idleTimeout
	if f.connSlots.UsageAbove(4) {
		idleLimit = connlimit.CrowdedIdleTimeout
	}
	for s, limit := range map[connState]time.Duration{
		stateNew: firstByteTimeout, stateIdle: idleLimit, stateHalfClosed: lingerTimeout, stateWriting: unreadResponseTimeout,
	} {
		for _, c := range f.connsInState(s, limit) {
			c.endIfInState(s)
		}
	}
	for _, c := range f.overdueRequests() {
		c.endIfInState(stateReading)
	}
	for range f.connSlots.Excess() {
		if !f.connSlots.Evict() {
			break
		}
	}
	if f.operatorDrain.Load() {
		for _, s := range []connState{stateNew, stateIdle} {
			for _, c := range f.connsInState(s, operatorDrainIdleTimeout) {
				c.endIfInState(s)
			}
		}
	}
}

// overdueRequests returns the connections whose current request has not been received within
// its timeout.
func (f *Front) overdueRequests() (all []*conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for e := f.queues[stateReading].Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn)
		readDeadline := c.queuedAt.Add(requestReadTimeout)
		if firstDeadline := c.acceptedAt.Add(firstRequestTimeout); !c.hadRequest && firstDeadline.Before(readDeadline) {
			readDeadline = firstDeadline
		}
		if !now.Before(readDeadline) {
			all = append(all, c)
		}
	}
	return all
}

// openConns returns the open connections.
func (f *Front) openConns() []*conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]*conn, 0, len(f.conns))
	for c := range f.conns {
		all = append(all, c)
	}
	return all
}

// SetHandedOver tells the front that another process accepts from the same socket. It must be
// called before Drain, which then accepts no new connections; closing the socket resets none.
// Until keepIdleUntil the drain closes connections only with a response, so that no new request
// can cross the close; after that it closes idle connections as well.
func (f *Front) SetHandedOver(keepIdleUntil time.Time) {
	f.keepIdleUntil = keepIdleUntil
	f.handedOver.Store(true)
}

// Drain stops the front without interrupting a request. Responses close their connections.
// Unless the socket was handed over, GET /ready answers 503, new connections are accepted for
// acceptWindow, and then those that are left in the accept queue. The socket is closed after
// that. Drain returns when all connections are closed. If ctx ends first, it closes those that
// are left. It must be called once.
func (f *Front) Drain(ctx context.Context, acceptWindow time.Duration) {
	f.draining.Store(true)
	if !f.handedOver.Load() {
		sleepContext(ctx, acceptWindow)
	}
	f.acceptingLast.Store(true)
	_ = f.listener.SetDeadline(time.Now()) // wakes up Accept; fails if the socket is closed
	acceptDone := f.acceptDone
	for ctx.Err() == nil {
		select {
		case <-acceptDone:
			acceptDone = nil
			f.closeListener()
		default:
		}
		open := f.openConns()
		if acceptDone == nil && len(open) == 0 {
			break
		}
		if !f.handedOver.Load() || !time.Now().Before(f.keepIdleUntil) {
			for _, c := range open {
				c.endForDrain()
			}
		}
		f.sweepOnce()
		sleepContext(ctx, 10*time.Millisecond)
	}
	close(f.stop)
	if acceptDone != nil {
		f.closeListener()
		<-f.acceptDone
	}
	for _, c := range f.openConns() {
		c.sock.Close()
	}
	f.sweeperDone.Wait()
}

// closeListener closes the listening socket.
func (f *Front) closeListener() {
	if err := f.listener.Close(); err != nil {
		f.opts.Log.Warn().Str("event", "drain").Err(err).Msg("could not close the listening socket")
	}
}

// sleepContext waits for d or until ctx ends.
func sleepContext(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
