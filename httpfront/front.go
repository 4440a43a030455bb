// Package httpfront is the platform's front: HTTP/1.1 over TCP, one POST a
// query, and GET /ready.
package httpfront

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"onyxsail/broker"
	"onyxsail/internal/http1"
	"onyxsail/internal/netio"
	"onyxsail/internal/query"
	"onyxsail/internal/tracecontext"
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
	sweepEvery   = 100 * time.Millisecond
	longestWait  = time.Minute // that is believed of a connection before its accept
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
	Classes  map[string]query.Class
	Shards   int // 0: unknown
	MaxConns int
	Trace    bool // read the clients' trace contexts
	Log      zerolog.Logger
}

// Front accepts connections and serves them.
type Front struct {
	opts     Options
	listener listener
	slots    chan struct{} // one for each connection that may be open
	ready    atomic.Bool
	draining atomic.Bool
	closing  atomic.Bool   // the last connections are taken
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
	l, err := openListener(addr)
	if err != nil {
		return nil, fmt.Errorf("listening for clients: %w", err)
	}
	return serve(l.(*net.TCPListener), o), nil
}

// listen opens a socket; a test puts another in its place.
var listen = net.Listen

// A listener that the system can't open for a moment is tried again every listenAgain, for
// listenWithin: a start has some seconds, and an address that is not there is told then.
const (
	listenAgain  = 20 * time.Millisecond
	listenWithin = 3 * time.Second
)

func openListener(addr string) (net.Listener, error) {
	for began := time.Now(); ; time.Sleep(listenAgain) {
		l, err := listen("tcp", addr)
		passes := netio.LocalFailure(err) || errors.Is(err, syscall.EADDRNOTAVAIL)
		if err == nil || !passes || time.Since(began) > listenWithin {
			return l, err
		}
	}
}

// listener is a socket whose accepts may be given a deadline.
type listener interface {
	net.Listener
	syscall.Conn
	SetDeadline(time.Time) error
}

func serve(l listener, o Options) *Front {
	f := &Front{
		opts: o, listener: l, slots: make(chan struct{}, max(1, o.MaxConns)),
		conns: map[*conn]struct{}{}, turned: map[int]int{}, stop: make(chan struct{}), taken: make(chan struct{}),
	}
	f.sweeping.Add(1)
	go f.accept()
	go f.sweep()
	return f
}

// Addr is where the front listens.
func (f *Front) Addr() net.Addr { return f.listener.Addr() }

// SetReady makes GET /ready answer 200, until the front drains.
func (f *Front) SetReady(ready bool) { f.ready.Store(ready) }

func (f *Front) accept() {
	defer close(f.taken)
	for {
		if !f.room() {
			return
		}
		// Those that the system has taken for us would be reset with the socket.
		if f.closing.Load() && !netio.Waiting(f.listener) {
			return
		}
		nc, err := f.listener.Accept()
		if err != nil {
			<-f.slots
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
			if c.sock == nil { // else Closed gives the slot back
				<-f.slots
			}
			f.opts.Log.Warn().Str("event", "accept").Err(err).Msg("a connection could not be accepted")
		}
	}
}

// room takes a slot for one more connection; false says that the front ends. Where all are taken, one that is
// of least use is closed: clients that ask once and keep their connection, or
// say nothing, would otherwise shut out all others. Where none may be closed,
// what is not accepted yet is not ours and waits.
func (f *Front) room() bool {
	for {
		select {
		case f.slots <- struct{}{}:
			return true
		default:
		}
		f.evict()
		select {
		case <-f.stop:
			return false
		case f.slots <- struct{}{}:
			return true
		case <-time.After(roomEvery):
		}
	}
}

// evict ends one connection that carries no request, if there is one. Its place is
// free when the client has closed it too, or has had time to.
func (f *Front) evict() {
	for _, v := range []struct {
		state state
		age   time.Duration
	}{{leaving, youngest}, {silent, youngest}, {idle, idleLeast}, {reading, halfForRoom}, {idle, youngest}} {
		if v.state != leaving && f.leave() >= maxLeaving {
			return
		}
		for _, c := range f.longest(v.state, v.age) {
			if c.over(v.state) {
				f.mu.Lock()
				f.ousted[v.state]++
				f.mu.Unlock()
				return
			}
		}
	}
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
func (f *Front) crowded() bool { return len(f.slots) > cap(f.slots)*5/8 }

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
	if len(f.slots) > cap(f.slots)/2 {
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

// Drain ends the front without cutting off a request: /ready says no, answers
// ask for the connection's end, and new connections are taken for window. Then
// those that the system has taken for the front come in, the socket closes, and Drain
// returns when no request is left and the connections are closed, or when ctx ends.
func (f *Front) Drain(ctx context.Context, window time.Duration) {
	f.draining.Store(true)
	sleep(ctx, window)
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
		for _, c := range open {
			c.endIfIdle()
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

// conn is one connection. Answers leave in the order of their requests.
type conn struct {
	f    *Front
	sock *netio.Conn
	born time.Time // when it was accepted

	mu     sync.Mutex
	parser http1.Parser
	slots  []*slot
	since  time.Time // when it was last waited for anew
	heard  time.Time // when the latest bytes came
	spoke  bool      // a byte has come
	whole  bool      // a request has
	ahead  int       // bytes of the bodies that wait
	inData bool      // Data is at work
	ending bool      // nothing more is read from it
	ended  bool      // our side of the stream is over
	gone   bool      // a request's client had left when its turn came
	closed bool

	// The front's lock guards what follows.
	in      *list.Element
	queue   state
	entered time.Time
	asked   bool // a request has become whole
}

type slot struct {
	id    broker.QueryID
	came  time.Time      // when it was whole: its time runs from then
	waits *http1.Message // not begun yet
	out   []byte
	done  bool
	last  bool // the connection ends after this answer
	close bool // the request asked for that
}

// Data implements netio.Handler.
func (c *conn) Data(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		return // read all the same: a close now would reset what the peer has yet to read
	}
	defer c.place()
	c.inData = true
	defer func() { c.inData = false }()
	c.heard = time.Now()
	if !c.spoke { // it may have waited to be accepted, with its first request
		if waited := c.sock.LastHeard(); waited < longestWait {
			c.heard = c.heard.Add(-waited)
		}
	}
	if !c.parser.Mid() {
		c.since = c.heard
	}
	c.spoke = true
	c.parser.Feed(b)
	c.work()
	if c.gone || len(c.slots) > 0 && c.parser.Mid() && c.sock.PeerGone() {
		c.depart()
	}
	c.invite()
}

// invite answers a request that waits for 100 Continue, once its turn has come.
func (c *conn) invite() {
	if len(c.slots) == 0 && !c.ending && c.parser.WantsContinue() {
		c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// PeerEnded implements netio.Parting.
func (c *conn) PeerEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.depart()
}

// depart answers what was read of a client that has ended its side. It counts as gone, as
// nothing tells that from a close, and nothing begins for it; if it reads on, it is owed
// the answers. Closed follows, and takes its queries back.
func (c *conn) depart() {
	if c.ended || c.closed {
		return
	}
	c.ending = true
	for _, s := range c.slots {
		if !s.done {
			s.out = encode(nil, http.StatusInternalServerError, "the client ended its side", 0, true)
		}
		c.write(s.out)
	}
	c.closed = true
}

// work takes the requests that are whole. Clients send one at a time; whoever
// sends many ahead would have a connection hold any number of them.
func (c *conn) work() {
	for !c.ending {
		m, err := c.parser.Next()
		switch {
		case err != nil:
			c.reject(statusOf(err), err.Error())
		case m == nil:
			return
		case len(c.slots) >= maxAhead || c.ahead+len(m.Body) > maxAheadSize:
			c.reject(http.StatusTooManyRequests, "too many requests were sent ahead")
		default:
			c.since, c.whole = time.Now(), true // what is buffered behind it begins anew
			s := &slot{close: m.Close, came: c.heard}
			c.slots = append(c.slots, s)
			c.ending = m.Close
			if len(c.slots) > maxPipelined {
				s.waits, c.ahead = m, c.ahead+len(m.Body)
				continue
			}
			c.serve(s, m)
		}
	}
}

// next begins the requests that waited for others of the connection.
func (c *conn) next() {
	for i := 0; i < len(c.slots) && i < maxPipelined; i++ {
		if s := c.slots[i]; s.waits != nil {
			m := s.waits
			s.waits, c.ahead = nil, c.ahead-len(m.Body)
			c.serve(s, m)
		}
	}
}

// state is what the connection is waited for; c.mu is held.
func (c *conn) state() state {
	switch {
	case c.ended:
		return leaving
	case len(c.slots) > 0:
		return busy
	case c.parser.Mid():
		return reading
	case !c.spoke:
		return silent
	}
	return idle
}

// place puts the connection where it belongs by what it is waited for; c.mu is
// held.
func (c *conn) place() {
	f, now := c.f, c.state()
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.in != nil {
		if c.queue == now && !(now == reading && c.entered.Before(c.since)) {
			return
		}
		f.queues[c.queue].Remove(c.in)
		c.in = nil
	}
	c.asked = c.asked || c.whole
	if _, open := f.conns[c]; open && !c.closed {
		c.in, c.queue, c.entered = f.queues[now].PushBack(c), now, time.Now()
	}
}

// over ends the connection if it is still in the given state, and says whether it
// did. A request may come at any moment: a connection that rests is ended in
// order, one that is waited for after its end is closed, and a request that has begun
// is answered.
func (c *conn) over(s state) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.place()
	if c.state() != s || c.closed {
		return false
	}
	switch s {
	case silent, idle:
		return c.rest()
	case reading:
		c.reject(http.StatusRequestTimeout, "the request did not become whole")
	case leaving:
		if c.sock.Backlog() > 0 && time.Since(c.entered) < unreadFor {
			return false
		}
		c.closed = true
		c.sock.Close()
	}
	return true
}

// rest ends a connection that carries no request, unless one may have come. An answer
// that the client does not read keeps it open for a while.
func (c *conn) rest() bool {
	if c.sock.EndIfQuiet() {
		c.ending, c.ended = true, true
		return true
	}
	if c.sock.Backlog() > 0 && time.Since(c.entered) > unreadFor {
		c.ending, c.closed = true, true
		c.sock.Close()
		return true
	}
	return false
}

// reject answers what cannot be read, after the answers before it, and ends
// the connection: where the next request begins is not known.
func (c *conn) reject(status int, why string) {
	c.ending = true
	c.f.turnAway(status)
	c.slots = append(c.slots, &slot{done: true, last: true, out: encode(nil, status, why, 0, true)})
	c.advance()
}

func (c *conn) serve(s *slot, m *http1.Message) {
	if path, _, _ := strings.Cut(m.Target, "?"); path == "/ready" {
		status, text := http.StatusOK, "ready"
		if m.Method != http.MethodGet {
			status, text = http.StatusMethodNotAllowed, "want GET"
		} else if !c.f.ready.Load() || c.f.draining.Load() {
			status, text = http.StatusServiceUnavailable, "not ready"
		}
		c.finish(s, func(last bool) []byte { return encode(nil, status, text, 0, last) })
		return
	}
	q, err := decode(m, c.f.opts.Classes, c.f.opts.Shards, s.came)
	if err != nil {
		status := http.StatusBadRequest
		if f := (*fault)(nil); errors.As(err, &f) {
			status = f.status
		}
		c.f.turnAway(status)
		c.finish(s, func(last bool) []byte { return encode(nil, status, err.Error(), 0, last) })
		return
	}
	if c.f.opts.Trace && m.Get(tracecontext.ParentKey) != "" {
		q.Trace = tracecontext.Parse(m.All(tracecontext.ParentKey), strings.Join(m.All(tracecontext.StateKey), ","))
	}
	// It may have waited for us, behind others of its connection too, and its client have
	// left: Closed comes, and the slots go with it.
	if c.sock.PeerGone() {
		c.gone = true
		return
	}
	id, ok := c.f.opts.Core.Submit(q, c)
	if !ok {
		c.finish(s, func(last bool) []byte { return encodeReply(nil, broker.Reply{Verdict: broker.Refused}, last) })
		return
	}
	s.id = id
}

// Gone implements broker.Departure.
func (c *conn) Gone() bool { return c.sock.PeerGone() }

// Reply implements broker.Replier.
func (c *conn) Reply(id broker.QueryID, r broker.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.place()
	for _, s := range c.slots {
		if s.id == id && !s.done {
			c.finish(s, func(last bool) []byte { return encodeReply(nil, r, last) })
			c.next()
			c.invite()
			return
		}
	}
}

func (c *conn) finish(s *slot, render func(last bool) []byte) {
	ends := c.f.draining.Load() || c.f.crowded()
	ends = ends && s == c.slots[len(c.slots)-1] && c.parser.Buffered() == 0 && !c.sock.Unread(c.inData)
	s.last = s.close || ends
	s.done, s.out = true, render(s.last)
	c.advance()
}

// advance writes the answers whose turn has come.
func (c *conn) advance() {
	for len(c.slots) > 0 && c.slots[0].done && !c.closed {
		s := c.slots[0]
		c.slots = c.slots[1:]
		c.write(s.out)
		if s.last {
			c.ending = true
			c.end()
			return
		}
	}
}

func (c *conn) write(b []byte) {
	if c.closed {
		return
	}
	if _, err := c.sock.Write(b); err != nil {
		c.closed = true // Closed follows
	}
}

// end closes our side once all has left, and the whole when the client has
// closed its own or has had time to: a plain close could destroy an answer
// that the client has not read yet.
func (c *conn) end() {
	c.ended = true
	c.sock.AfterFlush(func() {
		_ = c.sock.CloseWrite() // fails only where the socket is gone already
	})
}

// endIfIdle ends a connection that carries no request, while draining. A
// request that has begun may still become whole for a while; one that never
// does must not keep the program from its end.
func (c *conn) endIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.place()
	switch {
	case len(c.slots) > 0 || c.ending || c.closed:
	case !c.parser.Mid():
		if c.spoke || time.Since(c.since) > youngest { // else its first request is on its way
			c.rest()
		}
	case time.Since(c.since) > drainMid:
		c.reject(http.StatusRequestTimeout, "the request did not become whole")
	}
}

// Closed implements netio.Handler: the client has gone.
func (c *conn) Closed(error) {
	c.mu.Lock()
	c.closed, c.ending = true, true
	slots := c.slots
	c.slots = nil
	c.mu.Unlock()
	for _, s := range slots {
		if !s.done && s.id != 0 {
			c.f.opts.Core.Leave(s.id)
		}
	}
	c.f.mu.Lock()
	delete(c.f.conns, c)
	if c.in != nil {
		c.f.queues[c.queue].Remove(c.in)
		c.in = nil
	}
	c.f.mu.Unlock()
	<-c.f.slots
}
