// Package netio runs stream connections on one nbio engine: it delivers what
// is read to a Handler and counts what has left for the network.
package netio

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"golang.org/x/sys/unix"
)

// Handler takes the events of one connection. Data comes from the engine's
// goroutine, and b is valid during the call only; Closed comes once, from the
// loop's hand, so that it may be caused by a Write of the handler's under a lock.
// Neither may wait for anything but a lock: all connections wait behind it.
type Handler interface {
	Data(b []byte)
	Closed(err error)
}

// Parting is a Handler that is told when the other side has ended its stream, from the
// engine's goroutine and before the connection is closed for it: the other side may still
// read. The end may also come right behind what Data is given; then PeerGone alone tells.
type Parting interface {
	Handler
	PeerEnded()
}

// Loop is one engine with one polling goroutine, and one more for errands.
type Loop struct {
	engine *nbio.Engine
	hand   *hand
	// fence orders what Attach writes before what the engine's goroutine reads.
	// The engine hands connections over through the kernel alone, which the Go
	// memory model does not know.
	fence atomic.Int64

	maxWrite int // bytes that may wait at one connection

	taking sync.Mutex // held while a connection is taken over: one at a time, as with dials
	// The engine's: it duplicates a connection and closes the original, and closes what it
	// cannot add.
	take func(net.Conn) (*nbio.Conn, error)
	add  func(*nbio.Conn) error
}

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

const (
	readSize = 32 << 10
	// readTimes is how often a connection is read at once. The engine closes one whose
	// other side has ended after so many reads, whatever is still to be read: there
	// must be more of them than the system holds for a connection.
	readTimes = 1024
	// Where the system lacks something that a connection needs, it is tried again every
	// attachAgain: longer than attachWithin no client waits for it.
	attachAgain  = 5 * time.Millisecond
	attachWithin = 10 * time.Second
	// closeWithin is how long the engine may take to see the end of a connection.
	closeWithin = time.Second
	// startWithin is how long a start may wait for the system.
	startWithin = 3 * time.Second
	// stopWithin is how long the engine may take to stop.
	stopWithin = 2 * time.Second
)

// maxDescriptor bounds the engine's table of connections, which goes by descriptor:
// else it has room for all that the system would let the process open, two million
// of them or 16 MB, however few the broker may hold. The kernel hands out the lowest
// number that is free.
const maxDescriptor = 1 << 16

func init() { nbio.MaxOpenFiles = min(nbio.MaxOpenFiles, maxDescriptor) }

// New starts a loop whose write buffers hold at most maxWrite bytes a
// connection. Where the system lacks something for a moment it tries again, for
// startWithin.
func New(maxWrite int) (*Loop, error) {
	for began := time.Now(); ; time.Sleep(attachAgain) {
		l, err := startLoop(maxWrite)
		if err == nil || !LocalFailure(err) || time.Since(began) > startWithin {
			return l, err
		}
	}
}

func startLoop(maxWrite int) (*Loop, error) {
	logging.SetLevel(logging.LevelNone) // the engine's own lines bypass our log
	l := &Loop{hand: newHand(), maxWrite: maxWrite}
	e := nbio.NewEngine(nbio.Config{
		Name: "gannetchute", NPoller: 1, ReadBufferSize: readSize, MaxConnReadTimesPerEventLoop: readTimes,
		MaxWriteBufferSize: maxWrite,
	})
	e.OnReadBufferAlloc(func(nc *nbio.Conn) *[]byte {
		if c := l.conn(nc); c != nil {
			c.setReading(true)
			c.got = false
		}
		return e.PollerBufferPtr(nc)
	})
	e.OnReadBufferFree(func(nc *nbio.Conn, _ *[]byte) {
		if c := l.conn(nc); c != nil {
			c.setReading(false)
			c.part()
		}
	})
	e.OnData(func(nc *nbio.Conn, b []byte) {
		if c := l.conn(nc); c != nil && !c.closed.Load() && !c.closing.Load() {
			c.got = true
			c.h.Data(b)
		}
	})
	e.OnClose(func(nc *nbio.Conn, err error) {
		c := l.conn(nc)
		if c != nil && c.adding.Load() && LocalFailure(err) {
			return // the engine had no room for it: Attach tries again
		}
		if c != nil && c.leave() {
			l.hand.do(func() { c.h.Closed(err) })
		}
	})
	e.OnWrittenSize(func(nc *nbio.Conn, _ []byte, n int) {
		if c := l.conn(nc); c != nil && n > 0 {
			if done := c.written.Add(int64(n)); done >= c.queued.Load() {
				c.flushed()
			}
		}
	})
	if err := e.Start(); err != nil {
		l.hand.stop()
		return nil, fmt.Errorf("starting the socket engine: %w", err)
	}
	l.engine = e
	l.take = nbio.NBConn
	l.add = func(nc *nbio.Conn) error {
		_, err := e.AddConn(nc)
		return err
	}
	return l, nil
}

func (l *Loop) conn(nc *nbio.Conn) *Conn {
	l.fence.Load()
	c, _ := nc.Session().(*Conn)
	return c
}

// Stop ends the loop and closes its connections; their handlers have been told when
// it returns. The engine forgets that it has been told to stop where its goroutine had
// not begun yet: a start that fails at once must end all the same, with its error.
func (l *Loop) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopWithin)
	defer cancel()
	_ = l.engine.Shutdown(ctx) // fails only then
	l.hand.stop()
}

// Attach moves an open connection onto the loop. set, if not nil, is called
// with the Conn before the first event can come, once more where the system lacks
// something for a moment and the connection is tried again; only after Attach has
// returned, or from an event, may the Conn be written to. If Attach fails
// after set, the handler's Closed still comes.
func (l *Loop) Attach(conn net.Conn, h Handler, set func(*Conn)) (*Conn, error) {
	began := time.Now()
	for {
		c, kept, err := l.attach(conn, h, set)
		if err == nil {
			return c, nil
		}
		if kept == nil || !LocalFailure(err) || time.Since(began) > attachWithin {
			if kept != nil {
				_ = kept.Close()
			}
			if c != nil && c.leave() {
				l.hand.do(func() { h.Closed(err) })
			}
			return nil, err
		}
		conn = kept
		time.Sleep(attachAgain)
	}
}

// attach is one try of Attach. With an error come the connection, where it is still open,
// and the Conn, where set has been called.
func (l *Loop) attach(conn net.Conn, h Handler, set func(*Conn)) (c *Conn, kept net.Conn, err error) {
	l.taking.Lock()
	defer l.taking.Unlock()
	spare, err := duplicate(conn) // the engine closes what it cannot add
	if err != nil {
		return nil, conn, fmt.Errorf("taking over a connection: %w", err)
	}
	nc, err := l.take(conn)
	if err != nil {
		_ = syscall.Close(spare)
		return nil, conn, fmt.Errorf("taking over a connection: %w", err)
	}
	c = &Conn{l: l, nc: nc, h: h}
	c.adding.Store(true)
	nc.SetSession(c)
	if set != nil {
		set(c)
	}
	l.fence.Add(1)
	// While there is a second descriptor the system goes on to tell of the first, after its
	// close too, and so of the connection that gets its number: the engine must not come to
	// an end of this one before. It takes this lock before each read.
	c.using.Lock()
	defer c.using.Unlock()
	defer syscall.Close(spare)
	if err := l.add(nc); err != nil {
		kept, lost := connOf(spare)
		return c, kept, errors.Join(fmt.Errorf("adding a connection: %w", err), lost)
	}
	c.adding.Store(false)
	return c, nil, nil
}

// duplicate returns a second descriptor of a connection.
func duplicate(conn net.Conn) (int, error) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return -1, errNoDescriptor
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return -1, fmt.Errorf("reaching the socket: %w", err)
	}
	copied, failed := -1, error(nil)
	if err := raw.Control(func(fd uintptr) { copied, failed = syscall.Dup(int(fd)) }); err != nil {
		return -1, fmt.Errorf("reaching the socket: %w", err)
	}
	return copied, failed
}

// connOf makes a connection of a descriptor, which stays open beside it.
func connOf(fd int) (net.Conn, error) {
	copied, err := syscall.Dup(fd)
	if err != nil {
		return nil, fmt.Errorf("keeping a connection: %w", err)
	}
	f := os.NewFile(uintptr(copied), "connection")
	defer f.Close()
	return net.FileConn(f)
}

var errNoDescriptor = errors.New("a connection without a descriptor")

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

// peek looks for a byte to be read, without taking it; 0 is the other side's end.
func peek(fd uintptr) (int, error) {
	for {
		n, _, err := recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// The system's calls that look at a descriptor; tests put others in their place.
var (
	recvfrom = syscall.Recvfrom
	poll     = unix.Poll
)

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

// Waiting says whether a connection that the system has taken waits to be accepted.
func Waiting(l syscall.Conn) bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	waits := false
	err = raw.Control(func(fd uintptr) { waits = shows(fd, unix.POLLIN) })
	return waits && err == nil
}

// shows says whether a descriptor shows one of the events just now.
func shows(fd uintptr, events int16) bool {
	look := []unix.PollFd{{Fd: int32(fd), Events: events}}
	for {
		n, err := poll(look, 0)
		if !errors.Is(err, unix.EINTR) {
			return err == nil && n > 0 && look[0].Revents&events != 0
		}
	}
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
