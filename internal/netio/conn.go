package netio

// A connection: writing, closing, and the state of its socket.

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
	loop          *Loop
	nbConn        *nbio.Conn
	handler       Handler
	acceptedBytes atomic.Int64           // passed to Write so far
	writtenBytes  atomic.Int64           // passed to the kernel so far
	closed        atomic.Bool            // set by markClosed
	closing       atomic.Bool            // Close was called
	attaching     atomic.Bool            // being added to the engine
	onFlush       atomic.Pointer[func()] // callback of AfterFlush; nil: none

	fdMu    sync.Mutex // held while the descriptor is used outside the engine
	reading bool       // the engine is reading, or the handler has not yet processed what was read
}

// Write writes b, or queues a copy of what the system does not take at once, and returns the
// position in the stream after its last byte. If the system reports an error, or more than the
// loop's maxWrite bytes would be queued, it returns an error and closes the connection; Written
// then returns how much was written. Only one goroutine may write at a time.
func (c *Conn) Write(b []byte) (end int64, err error) {
	end = c.acceptedBytes.Add(int64(len(b)))
	rest := b
	if c.Backlog() == int64(len(b)) { // nothing is queued: write directly, as the engine itself closes the connection when a write fails
		n, err := c.tryWrite(b)
		if err != nil {
			c.Close()
			return end, fmt.Errorf("writing %d bytes: %w", len(b), err)
		}
		if rest = b[n:]; len(rest) == 0 {
			c.notifyFlushed()
			return end, nil
		}
	}
	if c.Backlog() > int64(c.loop.maxWrite) {
		c.Close()
		return end, fmt.Errorf("writing %d bytes: %w", len(b), errWriteBufferFull)
	}
	if _, err := c.nbConn.Write(rest); err != nil {
		return end, fmt.Errorf("writing %d bytes: %w", len(b), err)
	}
	return end, nil
}

var errWriteBufferFull = errors.New("write buffer full")

// tryWrite writes as much of b as the system takes without blocking.
func (c *Conn) tryWrite(b []byte) (n int, err error) {
	fdErr := c.withFD(func(fd uintptr) {
		for {
			n, err = syscall.Write(int(fd), b)
			if !errors.Is(err, syscall.EINTR) {
				break
			}
		}
		n = max(n, 0)
		c.writtenBytes.Add(int64(n))
	})
	if errors.Is(err, syscall.EAGAIN) {
		err = nil
	}
	return n, errors.Join(fdErr, err)
}

// Written returns the number of bytes passed to the kernel so far. The peer cannot have read the
// whole of a frame that ends beyond this position.
func (c *Conn) Written() int64 { return c.writtenBytes.Load() }

// Backlog returns the number of queued bytes that are not written yet.
func (c *Conn) Backlog() int64 { return c.acceptedBytes.Load() - c.writtenBytes.Load() }

// Close shuts the connection down at once. No more data is delivered, but the handler's Closed
// is still called. The descriptor itself is closed by the engine's goroutine when it sees the
// shutdown: if another goroutine closed it, its number could be reused by a new connection
// while the engine still has an event of this one to process, which would close the new one.
func (c *Conn) Close() {
	// It fails if the connection is already broken; then the engine notices that.
	_ = c.withFD(func(fd uintptr) { _ = syscall.Shutdown(int(fd), syscall.SHUT_RDWR) })
	if !c.closing.Swap(true) {
		time.AfterFunc(closeTimeout, func() { _ = c.nbConn.Close() }) // needed only if the system does not report the shutdown to the engine
	}
}

// Abort closes the connection like Close, but with a reset: data that the peer has not received
// yet is lost.
func (c *Conn) Abort() {
	_ = c.withFD(func(fd uintptr) { // fails if it is already closed
		_ = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	})
	c.Close()
}

// UnackedBytes returns the number of bytes in the send queue of the kernel that the peer's
// kernel has not acknowledged, or 0 if the system does not report it.
func (c *Conn) UnackedBytes() int64 {
	unacked := int64(0)
	if err := c.withFD(func(fd uintptr) { unacked = unackedBytes(fd) }); err != nil {
		return 0
	}
	return unacked
}

// UnackedBytes is like Conn.UnackedBytes for a connection that is not on a Loop.
func UnackedBytes(conn syscall.Conn) int64 {
	unacked := int64(0)
	controlFD(conn, func(fd uintptr) { unacked = unackedBytes(fd) })
	return unacked
}

// SinceLastReceive is like Conn.SinceLastReceive for a connection that is not on a Loop.
func SinceLastReceive(conn syscall.Conn) time.Duration {
	elapsed := time.Duration(0)
	controlFD(conn, func(fd uintptr) { elapsed = sinceLastReceive(fd) })
	return elapsed
}

// HasUnread reports whether the kernel has data of the peer, or the end of its stream, that was not
// read from a connection that is not on a Loop.
func HasUnread(conn syscall.Conn) bool {
	unread := false
	controlFD(conn, func(fd uintptr) {
		_, err := peekByte(fd)
		unread = !errors.Is(err, syscall.EAGAIN)
	})
	return unread
}

// PeerClosed is like Conn.PeerClosed for a connection that is not on a Loop.
func PeerClosed(conn syscall.Conn) bool {
	closed := true
	controlFD(conn, func(fd uintptr) { closed = hasEvents(fd, unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) })
	return closed
}

// controlFD calls f with the descriptor of a connection; it does not if that is closed.
func controlFD(conn syscall.Conn, f func(fd uintptr)) {
	raw, err := conn.SyscallConn()
	if err == nil {
		_ = raw.Control(f) // fails if the connection is closed
	}
}

// sinceLastReceive returns the time since a socket received data, 0 if it is not known.
func sinceLastReceive(fd uintptr) time.Duration {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}

// unackedBytes returns the number of unacknowledged bytes of a socket, 0 if it is not known.
func unackedBytes(fd uintptr) int64 {
	n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	if err != nil {
		return 0
	}
	return int64(n)
}

// AfterFlush calls f on the loop's worker goroutine once all queued bytes have been written. It
// replaces a function that is still waiting; f is not called if the connection closes first.
func (c *Conn) AfterFlush(f func()) {
	c.onFlush.Store(&f)
	if c.Backlog() <= 0 {
		c.notifyFlushed()
	}
}

func (c *Conn) notifyFlushed() {
	if f := c.onFlush.Swap(nil); f != nil {
		c.loop.worker.enqueue(*f)
	}
}

// markClosed marks the connection as closed and reports whether it was open before. The number
// of its descriptor may already be reused by another connection: see withFD.
func (c *Conn) markClosed() bool {
	c.fdMu.Lock()
	defer c.fdMu.Unlock()
	return !c.closed.Swap(true)
}

// withFD calls f with the descriptor if it still belongs to the connection. The engine marks a
// connection as closed under its lock, then closes the descriptor, and only later calls its
// OnClose. While that lock is held, an unmarked connection still owns its descriptor.
func (c *Conn) withFD(f func(fd uintptr)) error {
	c.fdMu.Lock()
	defer c.fdMu.Unlock()
	c.nbConn.Lock()
	defer c.nbConn.Unlock()
	if closed, _ := c.nbConn.IsClosed(); closed || c.closed.Load() || c.closing.Load() {
		return net.ErrClosed
	}
	raw, err := c.nbConn.SyscallConn()
	if err == nil {
		err = raw.Control(f)
	}
	if err != nil {
		return fmt.Errorf("accessing the socket: %w", err)
	}
	return nil
}

// CloseWrite closes the sending side and leaves the receiving side open, so that a reset does
// not destroy the last data written.
func (c *Conn) CloseWrite() error {
	var shutdownErr error
	if err := c.withFD(func(fd uintptr) { shutdownErr = syscall.Shutdown(int(fd), syscall.SHUT_WR) }); err != nil {
		return err
	}
	if shutdownErr != nil {
		return fmt.Errorf("closing the sending side: %w", shutdownErr)
	}
	return nil
}

func (c *Conn) setReading(reading bool) {
	c.fdMu.Lock()
	defer c.fdMu.Unlock()
	c.reading = reading
}

// CloseWriteIfIdle closes the sending side like CloseWrite and reports whether it did. It does
// not while the peer may have sent something that the handler has not processed, that is, while
// data is waiting to be read or is being read, nor while queued bytes are not written, nor once
// the peer has closed its own sending side. Data that is read after a successful call was sent
// too late.
func (c *Conn) CloseWriteIfIdle() bool {
	closed := false
	err := c.withFD(func(fd uintptr) {
		if c.reading || c.Backlog() > 0 {
			return
		}
		if _, err := peekByte(fd); errors.Is(err, syscall.EAGAIN) { // otherwise data or the end of the peer's stream is waiting
			closed = syscall.Shutdown(int(fd), syscall.SHUT_WR) == nil
		}
	})
	return closed && err == nil
}

// HasUnread reports whether the peer has sent data that the handler has not processed yet.
// inData is set by a handler that calls it from within Data, so that the data passed to that
// call does not count.
func (c *Conn) HasUnread(inData bool) bool {
	unread := false
	err := c.withFD(func(fd uintptr) {
		n, err := peekByte(fd)
		unread = c.reading && !inData || err == nil && n > 0
	})
	return unread && err == nil
}

// SinceLastReceive returns the time since the kernel last received data from the peer, whether
// read or not, or 0 if the system does not report it.
func (c *Conn) SinceLastReceive() time.Duration {
	elapsed := time.Duration(0)
	if err := c.withFD(func(fd uintptr) { elapsed = sinceLastReceive(fd) }); err != nil {
		return 0
	}
	return elapsed
}

// PeerClosed reports whether the peer has closed its sending side or the whole connection, even
// if data that it sent before is still unread. It is also true once the connection has been
// closed on this side.
func (c *Conn) PeerClosed() bool {
	closed := false
	err := c.withFD(func(fd uintptr) { closed = hasEvents(fd, unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) })
	return closed || err != nil
}

// AtEOF reports whether the peer has closed its sending side, or the connection is broken or
// closed, even if the loop has not noticed that yet. It is false while there is unread data before
// the end.
func (c *Conn) AtEOF() bool {
	eof := false
	err := c.withFD(func(fd uintptr) {
		n, err := peekByte(fd)
		switch {
		case err == nil:
			eof = n == 0
		case !errors.Is(err, syscall.EAGAIN):
			eof = true
		}
	})
	return eof || err != nil
}
