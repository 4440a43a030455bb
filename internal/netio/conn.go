package netio

// A connection: its writes, its end, and looks at its socket.

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// Conn is a connection on a Loop.
type Conn struct {
	l       *Loop
	nc      *nbio.Conn
	h       Handler
	queued  atomic.Int64
	written atomic.Int64
	closed  atomic.Bool
	closing atomic.Bool // we have closed it
	adding  atomic.Bool // the engine is being given it
	got     bool        // the latest read brought something; the engine's goroutine alone uses it
	onFlush atomic.Pointer[func()]

	using   sync.Mutex // held while the descriptor is used beside the engine
	reading bool       // the engine reads, or the handler has yet to take what it has read
}

// Write queues b, which it copies where it cannot leave at once, and returns
// the position in the stream of its last byte. After an error the connection
// is closed; Written tells what had left. One goroutine may write at a time.
func (c *Conn) Write(b []byte) (end int64, err error) {
	end = c.queued.Add(int64(len(b)))
	left := b
	if c.Backlog() == int64(len(b)) { // nothing waits: by ourselves, as the engine closes where a write fails
		n, err := c.writeNow(b)
		if err != nil {
			c.Close()
			return end, fmt.Errorf("writing %d bytes: %w", len(b), err)
		}
		if left = b[n:]; len(left) == 0 {
			c.flushed()
			return end, nil
		}
	}
	if c.Backlog() > int64(c.l.maxWrite) {
		c.Close()
		return end, fmt.Errorf("writing %d bytes: %w", len(b), errBacklog)
	}
	if _, err := c.nc.Write(left); err != nil {
		return end, fmt.Errorf("writing %d bytes: %w", len(b), err)
	}
	return end, nil
}

var errBacklog = errors.New("too many bytes wait to leave")

// writeNow writes what the system takes at once.
func (c *Conn) writeNow(b []byte) (n int, err error) {
	unusable := c.control(func(fd uintptr) {
		for {
			n, err = syscall.Write(int(fd), b)
			if !errors.Is(err, syscall.EINTR) {
				break
			}
		}
		n = max(n, 0)
		c.written.Add(int64(n))
	})
	if errors.Is(err, syscall.EAGAIN) {
		err = nil
	}
	return n, errors.Join(unusable, err)
}

// Written is how many bytes the kernel has taken: a frame whose last byte lies
// beyond it cannot have been read by the other side.
func (c *Conn) Written() int64 { return c.written.Load() }

// Backlog is how many bytes wait to be written.
func (c *Conn) Backlog() int64 { return c.queued.Load() - c.written.Load() }

// Close ends the connection at once; nothing that comes is handed on any more, and the
// handler's Closed still comes. The descriptor is closed by the engine's goroutine, when
// it sees the end: closed by another one, its number could go to a new connection while an
// event of this one is still to be looked at, and would end that one.
func (c *Conn) Close() {
	// It fails where the connection is broken already: then the engine sees that.
	_ = c.control(func(fd uintptr) { _ = syscall.Shutdown(int(fd), syscall.SHUT_RDWR) })
	if !c.closing.Swap(true) {
		time.AfterFunc(closeWithin, func() { _ = c.nc.Close() }) // the engine has, but for a system that does not tell
	}
}

// Abort ends the connection at once, as Close does, by a reset: the other side does not get
// what it has not got yet.
func (c *Conn) Abort() {
	_ = c.control(func(fd uintptr) { // fails where it is closed already
		_ = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	})
	c.Close()
}

// Unconfirmed is how many bytes that the system has taken the other side's system has not
// confirmed; 0 where it does not tell.
func (c *Conn) Unconfirmed() int64 {
	unconfirmed := 0
	err := c.control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			unconfirmed = n
		}
	})
	if err != nil {
		return 0
	}
	return int64(unconfirmed)
}

// AfterFlush calls f from the loop's hand once all that was queued has left.
func (c *Conn) AfterFlush(f func()) {
	c.onFlush.Store(&f)
	if c.Backlog() <= 0 {
		c.flushed()
	}
}

func (c *Conn) flushed() {
	if f := c.onFlush.Swap(nil); f != nil {
		c.l.hand.do(*f)
	}
}

// part tells the handler of the other side's end, where a read brought nothing for it.
func (c *Conn) part() {
	if p, ok := c.h.(Parting); ok && !c.got && c.HungUp() && !c.closed.Load() && !c.closing.Load() {
		p.PeerEnded()
	}
}

// leave marks the connection as closed, once. The next connection may have got its
// descriptor's number already: see control.
func (c *Conn) leave() bool {
	c.using.Lock()
	defer c.using.Unlock()
	return !c.closed.Swap(true)
}

// control uses the descriptor where it still is the connection's own. The engine marks a
// connection as closed under its lock, closes the descriptor then, and tells of it later:
// under that lock a connection that is not marked has its descriptor.
func (c *Conn) control(f func(fd uintptr)) error {
	c.using.Lock()
	defer c.using.Unlock()
	c.nc.Lock()
	defer c.nc.Unlock()
	if closed, _ := c.nc.IsClosed(); closed || c.closed.Load() || c.closing.Load() {
		return net.ErrClosed
	}
	raw, err := c.nc.SyscallConn()
	if err == nil {
		err = raw.Control(f)
	}
	if err != nil {
		return fmt.Errorf("reaching the socket: %w", err)
	}
	return nil
}

// CloseWrite ends our side of the stream and leaves the other open, so that
// what was written last is not destroyed by a reset.
func (c *Conn) CloseWrite() error {
	var failed error
	if err := c.control(func(fd uintptr) { failed = syscall.Shutdown(int(fd), syscall.SHUT_WR) }); err != nil {
		return err
	}
	if failed != nil {
		return fmt.Errorf("ending the stream: %w", failed)
	}
	return nil
}

func (c *Conn) setReading(is bool) {
	c.using.Lock()
	defer c.using.Unlock()
	c.reading = is
}

// EndIfQuiet ends our side of the stream as CloseWrite does, but not while the other
// side may have said something that the handler does not know: bytes that wait, or are
// being read. What is read after it has been sent too late. Nor does it while bytes of
// ours wait to leave. It says whether it has.
func (c *Conn) EndIfQuiet() bool {
	ended := false
	err := c.control(func(fd uintptr) {
		if c.reading || c.Backlog() > 0 {
			return
		}
		if _, err := peek(fd); errors.Is(err, syscall.EAGAIN) { // else bytes wait, or the news of its end
			ended = syscall.Shutdown(int(fd), syscall.SHUT_WR) == nil
		}
	})
	return ended && err == nil
}

// Unread says whether the other side has said something that the handler does not know
// yet. inData is for the handler that asks from within Data: what it was given there it
// knows.
func (c *Conn) Unread(inData bool) bool {
	unread := false
	err := c.control(func(fd uintptr) {
		n, err := peek(fd)
		unread = c.reading && !inData || err == nil && n > 0
	})
	return unread && err == nil
}

// LastHeard is how long ago the system got the latest bytes of the other side, read or
// not; 0 where it does not tell.
func (c *Conn) LastHeard() time.Duration {
	ago := time.Duration(0)
	err := c.control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			ago = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	if err != nil {
		return 0
	}
	return ago
}

// PeerGone says whether the other side has ended its stream or the connection, also
// where bytes that it has sent before are still to be read.
func (c *Conn) PeerGone() bool {
	gone := false
	err := c.control(func(fd uintptr) { gone = shows(fd, unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) })
	return gone || err != nil
}

// HungUp says whether the other side has ended its stream, or the connection is
// broken, though the loop may not have read that yet. With bytes still to be
// read before the end it says no.
func (c *Conn) HungUp() bool {
	ended := false
	err := c.control(func(fd uintptr) {
		n, err := peek(fd)
		switch {
		case err == nil:
			ended = n == 0
		case !errors.Is(err, syscall.EAGAIN):
			ended = true
		}
	})
	return ended || err != nil
}
