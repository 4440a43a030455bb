package flightnode

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"onyxsail/broker"
	"onyxsail/dial"
	"onyxsail/internal/netio"
)

// errWithdrawn reports that a write was refused because it ends a request that must not start any
// more. The connection cannot be used after it.
var errWithdrawn = errors.New("the request may not start any more")

// trackedConn is a connection to a node that knows which requests of attempts have been passed to
// the kernel whole. It refuses to write the last byte of one that has been withdrawn or may not
// start any more: the library resets such a stream, and this is what holds if the node's
// permission to send comes first.
type trackedConn struct {
	net.Conn
	socket     net.Conn // the connection without wrappers
	parser     *requestParser
	writtenEnd atomic.Int64 // bytes passed to the kernel
	closed     chan struct{}
	closeOnce  sync.Once

	mu           sync.Mutex
	writingSince time.Time // when the write in progress began; zero: none
}

// trackConn returns a connection of a node that follows the requests written to conn. socket is the
// same connection without wrappers.
func (c *Client) trackConn(n *node, conn, socket net.Conn) *trackedConn {
	tracked := newTrackedConn(conn, socket, c.ticketOf)
	n.latestConn.Store(tracked)
	return tracked
}

// newTrackedConn returns a connection that looks up the tickets of the attempts whose requests are
// written to it.
func newTrackedConn(conn, socket net.Conn, lookup func(broker.AttemptID) *ticket) *trackedConn {
	tracked := &trackedConn{Conn: conn, socket: socket, closed: make(chan struct{})}
	tracked.parser = newRequestParser(func(id broker.AttemptID) *ticket {
		t := lookup(id)
		t.headersWritten(tracked)
		return t
	})
	return tracked
}

// ticketOf returns the ticket of an attempt; that of one which has ended is withdrawn.
func (c *Client) ticketOf(id broker.AttemptID) *ticket {
	if t := c.tickets.get(id); t != nil {
		return t
	}
	return &ticket{state: ticketWithdrawn, node: closedLimit}
}

// closedLimit permits no attempt to start.
var closedLimit = func() *atomic.Pointer[startLimit] {
	limit := &atomic.Pointer[startLimit]{}
	limit.Store(&startLimit{})
	return limit
}()

// Write implements net.Conn. Only the library's writing goroutine calls it. An error closes the
// connection: the library waits for its reading goroutine to notice.
func (c *trackedConn) Write(b []byte) (n int, err error) {
	ends, err := c.parser.parse(b)
	if err == nil {
		err = c.beginRequests(ends)
	}
	if err != nil {
		c.reset()
		return 0, err
	}
	c.setWritingSince(time.Now())
	n, err = c.Conn.Write(b)
	c.setWritingSince(time.Time{})
	c.writtenEnd.Add(int64(n))
	c.endRequests(ends, n)
	return n, err
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// beginRequests asks for the permission to end requests. If one is refused, none of them is written.
func (c *trackedConn) beginRequests(ends []requestEnd) error {
	start := c.writtenEnd.Load()
	for i, end := range ends {
		if !end.ticket.beginWrite(start + int64(end.offset)) {
			c.endRequests(ends[:i], 0)
			return errWithdrawn
		}
	}
	return nil
}

// endRequests reports to the tickets whether their last byte is among the n bytes written.
func (c *trackedConn) endRequests(ends []requestEnd, n int) {
	now := time.Now()
	for _, end := range ends {
		end.ticket.endWrite(end.offset <= n, now)
	}
}

// setWritingSince records when a write began, or that it has ended.
func (c *trackedConn) setWritingSince(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writingSince = at
}

// blockedFor returns how long the write in progress has taken; 0 if there is none.
func (c *trackedConn) blockedFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writingSince.IsZero() {
		return 0
	}
	return now.Sub(c.writingSince)
}

// reset closes the connection and discards what the node's kernel has not received yet.
func (c *trackedConn) reset() {
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails if it is already closed
	}
	_ = c.Close()
}

// resetIfUndelivered resets the connection if the node's kernel does not acknowledge the bytes up to
// a position within dial.DeliveryTimeout.
func (c *trackedConn) resetIfUndelivered(end int64) {
	if c.isDelivered(end) {
		return
	}
	time.AfterFunc(dial.DeliveryTimeout, func() {
		if !c.isDelivered(end) {
			c.reset()
		}
	})
}

// isDelivered reports whether the node's kernel has acknowledged the bytes up to a position. Where
// that is not known, or the connection is closed, they count as acknowledged.
func (c *trackedConn) isDelivered(end int64) bool {
	socket, ok := c.socket.(syscall.Conn)
	if !ok {
		return true
	}
	return end <= c.writtenEnd.Load()-netio.UnackedBytes(socket)
}
