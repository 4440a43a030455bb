package httpfront

import (
	"container/list"
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"

	"onyxsail/broker"
	"onyxsail/internal/http1"
	"onyxsail/internal/netio"
	"onyxsail/internal/tracecontext"
)

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
	began time.Time      // when its first bytes came
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
		if waited := c.sock.SinceLastReceive(); waited < longestWait {
			c.heard = c.heard.Add(-waited)
		}
	}
	if !c.parser.Mid() {
		c.since = c.heard
	}
	c.spoke = true
	c.parser.Feed(b)
	c.work()
	if c.gone || len(c.slots) > 0 && c.parser.Mid() && c.sock.PeerClosed() {
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
			s := &slot{close: m.Close, began: c.since, came: c.heard}
			c.since, c.whole = time.Now(), true // what is buffered behind it begins anew
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
	if c.sock.CloseWriteIfIdle() {
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

// discard closes a connection that has been ended and never carried a byte: it has no
// answer that its client could still read, and others want its place.
func (c *conn) discard() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended && !c.spoke && !c.closed {
		c.closed = true
		c.sock.Close()
	}
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
		} else if !c.f.Ready() {
			status, text = http.StatusServiceUnavailable, "not ready"
		}
		c.finish(s, func(last bool) []byte { return encode(nil, status, text, 0, last) })
		return
	}
	q, err := decode(m, c.f.classesAt(s.began), c.f.opts.Shards, s.came)
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
	if c.sock.PeerClosed() {
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
func (c *conn) ClientGone() bool { return c.sock.PeerClosed() }

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
	ends := c.f.sheds() || c.f.crowded()
	ends = ends && s == c.slots[len(c.slots)-1] && c.parser.Buffered() == 0 && !c.sock.HasUnread(c.inData)
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
	c.f.places.release()
}
