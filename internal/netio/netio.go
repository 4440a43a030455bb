// Package netio runs stream connections on one nbio engine: it delivers what
// is read to a Handler and counts what has left for the network.
package netio

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
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
