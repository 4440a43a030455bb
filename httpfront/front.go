// Package httpfront is the platform's front: HTTP/1.1 over TCP, one POST a
// query, and GET /ready.
package httpfront

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"onyxsail/broker"
	"onyxsail/internal/http1"
	"onyxsail/internal/netio"
	"onyxsail/internal/query"
)

// Each connection must come to something in time, or hundreds that never do
// would hold all descriptors.
const (
	maxPipelined = 16                      // requests of one connection in work at once
	maxAhead     = 64                      // and those sent ahead in all; more is a flood
	maxAheadSize = 128 << 10               // bytes of the bodies that wait
	tellEvery    = 10 * time.Second        // between log lines on requests turned away
	silentFor    = 1500 * time.Millisecond // without a first byte
	wholeWithin  = 2500 * time.Millisecond // for a request that has begun: some clients take 2 s
	firstWithin  = 2750 * time.Millisecond // for the first one, from the connection's beginning
	halfForRoom  = time.Second             // and where others want the place
	idleLeast    = 2 * time.Second         // between requests, while connections are scarce
	idleMost     = time.Minute             // and while they are not
	lingerFor    = time.Second             // for the other side's end, after ours
	unreadFor    = 5 * time.Second         // for the other side to read an answer
	drainMid     = time.Second             // for a request that has begun, once draining
	// awayRest is how long a connection rests before it is ended while clients are sent away:
	// one in use is ended behind its next answer, which no request can cross.
	awayRest    = time.Second
	sweepEvery  = 100 * time.Millisecond
	longestWait = time.Minute // that is believed of a connection before its accept
	// youngest is how old a connection must be at least to make room for
	// another: its first request may wait to be read.
	youngest  = 100 * time.Millisecond
	roomEvery = 5 * time.Millisecond // between looks for room, when there is none
	// maxLeaving connections at most are ended to make room before the first of them has
	// closed.
	maxLeaving = 16
)

// state says what a connection is waited for.
type state uint8

const (
	busy    state = iota // its answers
	silent               // its first byte
	reading              // the rest of a request
	idle                 // its next request
	leaving              // the other side's end, after ours
	states  = iota
)

// Core is what the front needs of the broker.
type Core interface {
	Submit(*broker.Query, broker.Replier) (broker.QueryID, bool)
	Leave(broker.QueryID)
}

// Options make a Front.
type Options struct {
	Core     Core
	Loop     *netio.Loop
	Classes  map[string]query.Class // at the start
	Shards   int                    // 0: unknown
	MaxConns int
	Listener *net.TCPListener // another process's; nil: the front opens its own
	Trace    bool             // read the clients' trace contexts
	Log      zerolog.Logger
}

// Front accepts connections and serves them.
type Front struct {
	opts     Options
	listener listener
	places   *places // one for each connection that may be open
	classes  atomic.Pointer[classTable]
	ready    atomic.Bool
	away     atomic.Bool   // an operator sends the clients away
	draining atomic.Bool   // the front ends
	closing  atomic.Bool   // the last connections are taken
	handed   atomic.Bool   // another process has the socket too
	until    time.Time     // with handed, once it is set: how long connections that rest are kept
	taken    chan struct{} // closed once no more are
	sweeping sync.WaitGroup
	stop     chan struct{}

	mu     sync.Mutex
	conns  map[*conn]struct{}
	queues [states]list.List // connections by state, the longest in it first
	turned map[int]int       // requests turned away since the last log line, by status
	ousted [states]int       // connections closed to make room since then, by state
}

// Listen opens the front's socket and begins to serve.
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

// listener is a socket whose accepts may be given a deadline.
type listener interface {
	net.Listener
	syscall.Conn
	SetDeadline(time.Time) error
}

func serve(l listener, o Options) *Front {
	f := &Front{
		opts: o, listener: l, places: newPlaces(o.MaxConns),
		conns: map[*conn]struct{}{}, turned: map[int]int{}, stop: make(chan struct{}), taken: make(chan struct{}),
	}
	f.classes.Store(&classTable{byName: o.Classes})
	f.sweeping.Add(1)
	go f.accept()
	go f.sweep()
	return f
}

// Listener is the front's socket, for a process that takes this one's place; nil where it
// is none of TCP.
func (f *Front) Listener() *net.TCPListener {
	l, _ := f.listener.(*net.TCPListener)
	return l
}

// Addr is where the front listens.
func (f *Front) Addr() net.Addr { return f.listener.Addr() }

// SetReady makes GET /ready answer 200, until the front drains.
func (f *Front) SetReady(ready bool) { f.ready.Store(ready) }

// Ready says whether GET /ready answers 200. Once another process has the socket, the
// broker takes clients there though this front ends.
func (f *Front) Ready() bool {
	return f.ready.Load() && !f.away.Load() && (f.handed.Load() || !f.draining.Load())
}

// SendAway begins an operator's drain, or ends it: meanwhile /ready says no, answers ask
// for the connection's end, and connections that rest are ended. New ones are taken.
func (f *Front) SendAway(away bool) { f.away.Store(away) }

// sheds says whether clients are to go elsewhere.
func (f *Front) sheds() bool { return f.away.Load() || f.draining.Load() }

func (f *Front) accept() {
	defer close(f.taken)
	for {
		if !f.room() {
			return
		}
		// Those that the system has taken for us would be reset with the socket.
		if f.closing.Load() && (f.handed.Load() || !netio.HasPendingConn(f.listener)) {
			return
		}
		nc, err := f.listener.Accept()
		if err != nil {
			f.places.release()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if errors.Is(err, os.ErrDeadlineExceeded) { // woken: the front is closing
				_ = f.listener.SetDeadline(time.Time{}) // fails where it is closed: so will the accept
				continue
			}
			f.opts.Log.Warn().Str("event", "accept").Err(err).Msg("a connection could not be accepted")
			time.Sleep(10 * time.Millisecond) // out of descriptors: let some close
			continue
		}
		c := &conn{f: f, parser: http1.Parser{MaxBody: MaxBody}, born: time.Now()}
		c.since = c.born
		_, err = f.opts.Loop.Attach(nc, c, func(s *netio.Conn) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.sock = s
			f.mu.Lock()
			f.conns[c] = struct{}{}
			f.mu.Unlock()
			c.place()
		})
		if err != nil {
			if c.sock == nil { // else Closed gives the place back
				f.places.release()
			}
			f.opts.Log.Warn().Str("event", "accept").Err(err).Msg("a connection could not be accepted")
		}
	}
}

// room takes a place for one more connection; false says that the front ends. Where all are taken, one that is
// of least use is closed: clients that ask once and keep their connection, or
// say nothing, would otherwise shut out all others. Where none may be closed,
// what is not accepted yet is not ours and waits.
func (f *Front) room() bool {
	for {
		if f.places.take() {
			return true
		}
		f.evict()
		select {
		case <-f.stop:
			return false
		case <-f.places.back:
		case <-time.After(roomEvery):
		}
	}
}

// evict ends one connection that carries no request, if there is one. Its place is
// free when the client has closed it too, or has had time to. It says whether there was one.
func (f *Front) evict() bool {
	for _, v := range []struct {
		state state
		age   time.Duration
	}{{leaving, youngest}, {silent, youngest}, {idle, idleLeast}, {reading, halfForRoom}, {idle, youngest}} {
		if v.state != leaving && f.leave() >= maxLeaving {
			return false
		}
		for _, c := range f.longest(v.state, v.age) {
			if c.over(v.state) {
				if v.state == silent {
					c.discard()
				}
				f.mu.Lock()
				f.ousted[v.state]++
				f.mu.Unlock()
				return true
			}
		}
	}
	return false
}

// leave counts the connections that have been ended and are not closed yet.
func (f *Front) leave() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.queues[leaving].Len()
}

// longest returns the connections that have been in a state for some time, the
// longest first.
func (f *Front) longest(s state, atLeast time.Duration) (all []*conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for e := f.queues[s].Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn)
		if now.Sub(c.entered) < atLeast {
			break
		}
		all = append(all, c)
	}
	return all
}

// sweep closes connections that have been waited for too long.
func (f *Front) sweep() {
	defer f.sweeping.Done()
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	told := time.Now()
	for {
		select {
		case <-f.stop:
			return
		case now := <-tick.C:
			if now.Sub(told) >= tellEvery {
				told = now
				f.tell()
			}
		}
		f.sweepOnce()
	}
}

// crowded says that connections are scarce: answers then ask for their end at
// once. Clients that ask once and keep the connection would otherwise hold all
// that they may have, and the next would find none.
func (f *Front) crowded() bool { return f.places.scarcer(5) }

// turnAway counts a request that cannot be taken.
func (f *Front) turnAway(status int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.turned[status]++
}

// tell logs what was turned away: one line for all, as a noisy client must not
// flood the log.
func (f *Front) tell() {
	f.mu.Lock()
	turned := f.turned
	ousted := f.ousted
	f.turned, f.ousted = map[int]int{}, [states]int{}
	open := len(f.conns)
	f.mu.Unlock()
	if ousted != [states]int{} {
		f.opts.Log.Warn().Str("event", "crowded").Int("conns", open).Int("silent", ousted[silent]).Int("idle", ousted[idle]).
			Int("reading", ousted[reading]).Int("leaving", ousted[leaving]).Msg("connections were closed to make room")
	}
	if len(turned) == 0 {
		return
	}
	by := zerolog.Dict()
	for status, n := range turned {
		by.Int(strconv.Itoa(status), n)
	}
	f.opts.Log.Info().Str("event", "turned-away").Dict("by_status", by).Int("conns", open).
		Msg("requests could not be taken")
}

func (f *Front) sweepOnce() {
	spare := idleMost
	if f.places.scarcer(4) {
		spare = idleLeast
	}
	for s, most := range map[state]time.Duration{silent: silentFor, idle: spare, leaving: lingerFor} {
		for _, c := range f.longest(s, most) {
			c.over(s)
		}
	}
	for _, c := range f.overdue() {
		c.over(reading)
	}
	for range f.places.excess() {
		if !f.evict() {
			break
		}
	}
	if f.away.Load() {
		for _, s := range []state{silent, idle} {
			for _, c := range f.longest(s, awayRest) {
				c.over(s)
			}
		}
	}
}

// overdue returns the connections whose request should have become whole by now.
func (f *Front) overdue() (all []*conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for e := f.queues[reading].Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn)
		by := c.entered.Add(wholeWithin)
		if first := c.born.Add(firstWithin); !c.asked && first.Before(by) {
			by = first
		}
		if !now.Before(by) {
			all = append(all, c)
		}
	}
	return all
}

func (f *Front) list() []*conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]*conn, 0, len(f.conns))
	for c := range f.conns {
		all = append(all, c)
	}
	return all
}

// SetMaxConns changes how many connections may be open. Where more are, those that carry no
// request make room first.
func (f *Front) SetMaxConns(limit int) { f.places.setLimit(limit) }

// HandedOver says, before a drain, that another process accepts from the same socket. The
// drain then takes no new connections, and its end resets none. It ends connections behind
// an answer alone, which no request can cross, and those that rest only at the given time.
func (f *Front) HandedOver(until time.Time) {
	f.until = until
	f.handed.Store(true)
}

// Drain ends the front without cutting off a request: /ready says no, answers
// ask for the connection's end, and new connections are taken for window. Then
// those that the system has taken for the front come in, the socket closes, and Drain
// returns when no request is left and the connections are closed, or when ctx ends.
func (f *Front) Drain(ctx context.Context, window time.Duration) {
	f.draining.Store(true)
	if !f.handed.Load() {
		sleep(ctx, window)
	}
	f.closing.Store(true)
	_ = f.listener.SetDeadline(time.Now()) // wakes the accept; fails where it is closed
	taken := f.taken
	for ctx.Err() == nil {
		select {
		case <-taken:
			taken = nil
			f.close()
		default:
		}
		open := f.list()
		if taken == nil && len(open) == 0 {
			break
		}
		if !f.handed.Load() || !time.Now().Before(f.until) {
			for _, c := range open {
				c.endIfIdle()
			}
		}
		f.sweepOnce()
		sleep(ctx, 10*time.Millisecond)
	}
	close(f.stop)
	if taken != nil {
		f.close()
		<-f.taken
	}
	for _, c := range f.list() {
		c.sock.Close()
	}
	f.sweeping.Wait()
}

func (f *Front) close() {
	if err := f.listener.Close(); err != nil {
		f.opts.Log.Warn().Str("event", "drain").Err(err).Msg("closing the listener")
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
