// Package netio runs stream connections on one nbio engine: it delivers the data that it reads
// to a Handler and counts the bytes that were written. It also opens listeners and dials with
// retries while the system is temporarily out of resources.
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

// Handler receives the events of one connection. Data is called on the loop's goroutine, and
// b is valid only during the call. Closed is called once, on the loop's worker goroutine, so
// that a handler may cause it by a Write while it holds its own lock. Neither may block, except
// briefly on a lock, as that would hold up all connections.
type Handler interface {
	Data(b []byte)
	Closed(err error)
}

// PeerEndHandler is a Handler that is notified when the peer has closed its sending side.
// PeerEnded is called on the engine's goroutine, before the engine closes the connection for that
// reason; the peer may still read. If the end of the stream arrives together with the last
// data, PeerEnded is not called, and only Conn.PeerClosed reports the end.
type PeerEndHandler interface {
	Handler
	PeerEnded()
}

// Loop is an engine with one polling goroutine and one worker goroutine for callbacks.
type Loop struct {
	engine *nbio.Engine
	worker *worker
	// fence makes the writes of Attach happen before the reads of the engine's goroutine.
	// The engine passes connections to that goroutine only through the kernel, which does
	// not synchronize memory in the sense of the Go memory model.
	fence atomic.Int64

	maxWrite   int    // limit of the write buffer of one connection, in bytes
	readBuffer []byte // used only by the engine's goroutine
	turns      turnClock

	attachMu sync.Mutex // serializes Attach: a system call that blocks holds a thread (see Dialer)
	// The engine's functions, which tests replace. wrapConn duplicates the descriptor of a
	// connection and closes the original; addConn closes a connection that it cannot add.
	wrapConn func(net.Conn) (*nbio.Conn, error)
	addConn  func(*nbio.Conn) error
}

// ReadLimiter is a Handler that limits what is read for it in one turn.
type ReadLimiter interface {
	Handler
	// ReadLimit returns how many bytes may be read before the other connections have their
	// turn, at least 1. It is called on the loop's goroutine before each read.
	ReadLimit() int
}

const (
	// readSize is the size of the loop's read buffer, in bytes.
	readSize = 32 << 10
	// maxTurnBytes is how many bytes are read from one connection before the others have their
	// turn, unless its handler is a ReadLimiter.
	maxTurnBytes = 128 << 10
	// While the system lacks the resources to attach a connection, Attach retries every
	// attachRetryInterval for attachTimeout, as no client waits longer than that.
	attachRetryInterval = 5 * time.Millisecond
	attachTimeout       = 10 * time.Second
	// closeTimeout is how long after its shutdown a connection is closed directly, unless the
	// engine has noticed the shutdown and closed it.
	closeTimeout = time.Second
	// startTimeout bounds the retries of New.
	startTimeout = 3 * time.Second
	// stopTimeout bounds the engine's shutdown.
	stopTimeout = 2 * time.Second
)

// maxDescriptor is the number of entries in the engine's table of connections, which is indexed
// by file descriptor. By default the engine sizes it for the maximum number of descriptors of the
// process, which can be two million (16 MB), however few connections the broker may hold. A
// smaller table suffices as the kernel always assigns the lowest free number.
const maxDescriptor = 1 << 16

func init() { nbio.MaxOpenFiles = min(nbio.MaxOpenFiles, maxDescriptor) }

// New starts a loop whose write buffers hold at most maxWrite bytes per connection. While the
// system is out of resources it retries, for up to startTimeout.
func New(maxWrite int) (*Loop, error) {
	for start := time.Now(); ; time.Sleep(attachRetryInterval) {
		l, err := startLoop(maxWrite)
		if err == nil || !IsResourceExhausted(err) || time.Since(start) > startTimeout {
			return l, err
		}
	}
}

// startLoop is one attempt of New.
func startLoop(maxWrite int) (*Loop, error) {
	logging.SetLevel(logging.LevelNone) // the engine's log lines would bypass the broker's log
	l := &Loop{worker: newWorker(), maxWrite: maxWrite, readBuffer: make([]byte, readSize)}
	engine := nbio.NewEngine(nbio.Config{
		Name: "gannetchute", NPoller: 1, ReadBufferSize: 1, MaxWriteBufferSize: maxWrite, // the loop reads into a buffer of its own
	})
	engine.OnRead(func(nc *nbio.Conn) {
		if c := l.conn(nc); c != nil {
			l.runReadTurn(c)
		}
	})
	engine.OnClose(func(nc *nbio.Conn, err error) {
		c := l.conn(nc)
		if c != nil && c.attaching.Load() && IsResourceExhausted(err) {
			return // the engine lacked the resources to add it: Attach retries
		}
		if c != nil && c.markClosed() {
			l.worker.enqueue(func() { c.handler.Closed(err) })
		}
	})
	engine.OnWrittenSize(func(nc *nbio.Conn, _ []byte, n int) {
		if c := l.conn(nc); c != nil && n > 0 {
			if written := c.writtenBytes.Add(int64(n)); written >= c.acceptedBytes.Load() {
				c.notifyFlushed()
			}
		}
	})
	if err := engine.Start(); err != nil {
		l.worker.stop()
		return nil, fmt.Errorf("starting the network engine: %w", err)
	}
	l.engine = engine
	l.wrapConn = nbio.NBConn
	l.addConn = func(nc *nbio.Conn) error {
		_, err := engine.AddConn(nc)
		return err
	}
	return l, nil
}

// conn returns the Conn of a connection of the engine, or nil.
func (l *Loop) conn(nc *nbio.Conn) *Conn {
	l.fence.Load()
	c, _ := nc.Session().(*Conn)
	return c
}

// Stop stops the loop and closes its connections. When it returns, Closed has been called for
// all of them, unless the engine did not stop within stopTimeout. The engine loses a stop request that arrives before its goroutine runs, and its
// shutdown would then never end: stopTimeout makes sure that a process whose start fails at once
// still exits, with its error.
func (l *Loop) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = l.engine.Shutdown(ctx) // fails only on that timeout
	l.worker.stop()
}
