package flightfront

import (
	"bytes"
	"errors"
	"math"
	"net"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/sys/unix"

	"onyxsail/internal/http2frames"
	"onyxsail/internal/membudget"
	"onyxsail/internal/netio"
)

// connState says what a connection is waiting for.
type connState uint8

const (
	stateActive     connState = iota // a call that has come whole to end
	stateSilent                      // the first byte of the client
	stateReading                     // the rest of the preface, of a frame or of a call
	stateIdle                        // the next call
	stateHalfClosed                  // the client to close its side; ours is closed
	stateCount      = iota           // number of states
)

// clientConn is a client's connection that knows which calls are open on it. gRPC reads and writes
// it; between calls it can be ended so that each call is either answered or one that the client
// can know was not taken: the last GOAWAY has the number of the last stream that was.
type clientConn struct {
	net.Conn
	socket     *net.TCPConn // the same connection
	acceptedAt time.Time
	released   func(*clientConn) // called once the connection is closed
	listener   *connListener
	closed     chan struct{} // closed by Close
	closeOnce  sync.Once

	// writeMu is held while something is written. Whoever holds mu may only try to lock it.
	writeMu sync.Mutex

	mu           sync.Mutex
	input        *http2frames.Scanner
	output       *http2frames.Scanner
	open         map[uint32]*openCall // by stream, the calls that have not ended
	account      membudget.Account
	pace         framePace
	framesRead   int       // since the latest pause was determined
	responses    int       // bytes of answers that the client has not been sent yet
	answeredAt   time.Time // when it was last sent some of them, or the first was given
	handled      int       // calls that the front is working on
	lastStream   uint32    // the highest that the client has opened; 0: none
	inputBlock   bool      // the client's latest header block is not whole
	outputBlock  bool      // ours is not
	dataReceived bool
	state        connState
	stateSince   time.Time
	restSince    time.Time // when the latest call ended; the accept if there was none
	writingSince time.Time // when the write in progress began; zero: none
	goAwayAt     time.Time // when the client was told to open no more calls; zero: it was not
	ended        bool      // our side of the stream is closed; what still comes is dropped

	firstReads  bool      // what the system had taken before the accept may not all be read yet
	firstCallAt time.Time // when the calls among it were received
	firstCalls  int       // how many of these the front has not begun to work on
}

// newClientConn returns a connection that was accepted just now.
func newClientConn(conn *net.TCPConn, listener *connListener) *clientConn {
	now := time.Now()
	return &clientConn{
		Conn: conn, socket: conn, acceptedAt: now, released: listener.forget, closed: make(chan struct{}),
		input: http2frames.NewClientScanner(), output: http2frames.NewServerScanner(), open: map[uint32]*openCall{},
		account: membudget.NewAccount(listener.memory), listener: listener, pace: framePace{debt: newConnDebt, updatedAt: now},
		state: stateSilent, stateSince: now, restSince: now, firstReads: true,
	}
}

// clientAddr is the address of a client, from which its connection can be found.
type clientAddr struct {
	net.Addr
	conn *clientConn
}

// RemoteAddr implements net.Conn.
func (c *clientConn) RemoteAddr() net.Addr { return clientAddr{c.Conn.RemoteAddr(), c} }

// Read implements net.Conn. Only gRPC's reading goroutine calls it. What comes behind the last
// GOAWAY is dropped; it says that no call in it was taken. Nothing reaches gRPC that would make it
// hold more than the memory permits: the connection is closed then, or another one.
func (c *clientConn) Read(b []byte) (int, error) {
	for {
		if pause := c.nextPause(); pause > 0 {
			c.listener.paced.wait(pause, c.closed)
		}
		c.waitForMemory()
		b = b[:min(len(b), c.readSize())]
		n, err := c.Conn.Read(b)
		if err != nil {
			return n, err
		}
		forGRPC := c.scanInput(b[:n], n == len(b))
		if memory := c.listener.memory; memory.Exceeded(membudget.Incoming) {
			memory.Relieve(membudget.Incoming)
		}
		if c.isClosed() {
			return 0, net.ErrClosed
		}
		if forGRPC {
			return n, nil
		}
	}
}

// waitForMemory waits while too much is held for whole calls and some of them are this connection's. It
// gives up after a while: the client may have to be read for its calls to end.
func (c *clientConn) waitForMemory() {
	for waited := time.Duration(0); waited < maxMemoryWait && c.hoards(); waited += memoryPause {
		c.listener.paced.wait(memoryPause, c.closed)
	}
}

// hoards reports whether too much is held for whole calls and some of them are this connection's.
func (c *clientConn) hoards() bool {
	if !c.listener.memory.Exceeded(membudget.Requests) || c.isClosed() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.account.Held(membudget.Requests) > 0
}

// nextPause returns how long to wait before more is read.
func (c *clientConn) nextPause() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	frames := c.framesRead
	c.framesRead = 0
	return c.pace.pause(frames, time.Now(), int(c.listener.paced.count.Load()))
}

// readSize returns how many bytes to read at once.
func (c *clientConn) readSize() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return min(max(readChunkBytes, c.input.PayloadLeft()), largeFrameBytes)
}

// isClosed reports whether Close was called.
func (c *clientConn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// scanInput follows some bytes of the client; full says that there may be more to read. It reports
// whether they are for gRPC.
func (c *clientConn) scanInput(b []byte, full bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	callsBefore := len(c.open)
	c.dataReceived = true
	_ = c.input.Scan(b, (*inputHandler)(c)) // its handler returns no errors
	if c.firstReads {
		c.firstReads = full
		c.firstCallAt = time.Now().Add(-min(netio.SinceLastReceive(c.socket), maxAcceptWait))
		c.firstCalls += max(0, len(c.open)-callsBefore)
	}
	c.updateState()
	return true
}

// Write implements net.Conn. Behind the last GOAWAY there is nothing to say any more.
func (c *clientConn) Write(b []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if !c.beginWrite() {
		return len(b), nil
	}
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writingSince = time.Time{}
	_ = c.output.Scan(b[:n], (*outputHandler)(c)) // its handler returns no errors
	c.updateState()
	return n, err
}

// beginWrite records that a write begins, unless the connection was ended.
func (c *clientConn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		c.writingSince = time.Now()
	}
	return !c.ended
}

// Close implements net.Conn. It releases the slot.
func (c *clientConn) Close() (err error) {
	c.closeOnce.Do(func() {
		close(c.closed)
		err = c.Conn.Close()
		c.mu.Lock()
		c.ended = true
		c.account.Close()
		c.mu.Unlock()
		c.released(c)
	})
	return err
}

// inputHandler follows the frames of the client; c.mu is held.
type inputHandler clientConn

// Payload implements http2frames.Handler.
func (c *inputHandler) Payload(frame http2.FrameHeader, data []byte) error {
	if call := c.open[frame.StreamID]; call != nil && frame.Type == http2.FrameData {
		call.scan(data)
	}
	return nil
}

// EndFrame implements http2frames.Handler.
func (c *inputHandler) EndFrame(frame http2.FrameHeader, _ int) error {
	c.framesRead += 1 + int(frame.Length)/frameCostBytes
	switch frame.Type {
	case http2.FrameHeaders:
		c.inputBlock = !frame.Flags.Has(http2.FlagHeadersEndHeaders)
		if frame.StreamID > c.lastStream {
			c.lastStream = frame.StreamID
			c.open[frame.StreamID] = &openCall{}
		}
		c.endCallIf(frame.StreamID, frame.Flags.Has(http2.FlagHeadersEndStream))
	case http2.FrameContinuation:
		c.inputBlock = !frame.Flags.Has(http2.FlagContinuationEndHeaders)
	case http2.FrameData:
		c.endCallIf(frame.StreamID, frame.Flags.Has(http2.FlagDataEndStream))
	case http2.FrameRSTStream:
		delete(c.open, frame.StreamID)
	}
	return nil
}

// endCallIf records that an open call has come whole, if it has.
func (c *inputHandler) endCallIf(stream uint32, whole bool) {
	if call := c.open[stream]; call != nil && whole {
		call.whole = true
	}
}

// outputHandler follows the frames of the front; c.mu is held.
type outputHandler clientConn

// Payload implements http2frames.Handler.
func (c *outputHandler) Payload(http2.FrameHeader, []byte) error { return nil }

// EndFrame implements http2frames.Handler.
func (c *outputHandler) EndFrame(frame http2.FrameHeader, _ int) error {
	endStream := false
	switch frame.Type {
	case http2.FrameHeaders:
		c.outputBlock = !frame.Flags.Has(http2.FlagHeadersEndHeaders)
		endStream = frame.Flags.Has(http2.FlagHeadersEndStream)
	case http2.FrameContinuation:
		c.outputBlock = !frame.Flags.Has(http2.FlagContinuationEndHeaders)
	case http2.FrameData:
		(*clientConn)(c).responseWritten(int(frame.Length))
		endStream = frame.Flags.Has(http2.FlagDataEndStream)
	case http2.FrameRSTStream:
		endStream = true
	}
	if endStream {
		delete(c.open, frame.StreamID)
	}
	return nil
}

// currentState returns what the connection is waiting for; c.mu is held.
func (c *clientConn) currentState() connState {
	incomplete := false
	for _, call := range c.open {
		if call.whole {
			return stateActive
		}
		incomplete = true
	}
	switch {
	case c.ended:
		return stateHalfClosed
	case c.handled > 0:
		return stateActive
	case !c.dataReceived:
		return stateSilent
	case incomplete || c.inputBlock || !c.input.AtBoundary():
		return stateReading
	}
	return stateIdle
}

// updateState records since when the connection has been in its state; c.mu is held.
func (c *clientConn) updateState() {
	c.updateAccount()
	current := c.currentState()
	if current == c.state {
		return
	}
	now := time.Now()
	if c.state == stateActive {
		c.restSince = now
	}
	c.state, c.stateSince = current, now
}

// age returns how long the connection has been in a state; 0 if it is in another one. What a
// client sends between two calls does not make it less idle.
func (c *clientConn) age(state connState, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.state != state:
		return 0
	case state == stateIdle:
		return now.Sub(c.restSince)
	}
	return now.Sub(c.stateSince)
}

// unusedFor returns how long the connection has been open without a call; 0 if there was one.
func (c *clientConn) unusedFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != stateIdle || !c.neverCalled() {
		return 0
	}
	return now.Sub(c.acceptedAt)
}

// toldToGo reports whether the client was told to open no more calls.
func (c *clientConn) toldToGo() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.goAwayAt.IsZero() || c.ended
}

// blockedFor returns how long the write in progress has taken; 0 if there is none.
func (c *clientConn) blockedFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writingSince.IsZero() {
		return 0
	}
	return now.Sub(c.writingSince)
}

// beginCall records that the front works on a call, and returns when the call was received: it may
// have waited for the accept.
func (c *clientConn) beginCall() (receivedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled++
	c.updateState()
	if c.firstCalls > 0 {
		c.firstCalls--
		return c.firstCallAt
	}
	return time.Now()
}

// endCall records that the front has finished its work on a call. Its answer may still have to be
// written; the call is open until then.
func (c *clientConn) endCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled--
	c.updateState()
}

// errNotWritten reports that a frame could not be passed to the system at once.
var errNotWritten = errors.New("the socket takes no frame now")

// tellToGo tells the client to open no more calls, if the connection is idle and the client was not
// told yet. Calls that cross the news are served. It reports whether the client was told.
func (c *clientConn) tellToGo() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != stateIdle || c.ended || !c.goAwayAt.IsZero() {
		return false
	}
	err := c.writeFrames(func(f *http2.Framer) error { return f.WriteGoAway(math.MaxInt32, http2.ErrCodeNo, nil) })
	if err == nil {
		c.goAwayAt = time.Now()
	}
	return err == nil
}

// graceOver reports whether goAwayGrace has passed since the client was told to open no more calls;
// c.mu is held.
func (c *clientConn) graceOver(now time.Time) bool {
	return !c.goAwayAt.IsZero() && now.Sub(c.goAwayAt) >= goAwayGrace
}

// mayEnd reports whether the connection may be ended once it is idle.
func (c *clientConn) mayEnd(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.graceOver(now)
}

// neverCalled reports whether the client has opened no call; c.mu is held. The last GOAWAY then tells it
// that none was taken, whatever is on its way.
func (c *clientConn) neverCalled() bool { return c.lastStream == 0 }

// endIfInState ends our side of the connection if it is still in a state and nothing of the client
// waits to be read, and reports whether it did. One that is idle must have been told goAwayGrace
// before, unless it was never used for a call. Calls that did not come whole are reset. gRPC reads on until the client has closed its
// side, or until the connection is closed.
func (c *clientConn) endIfInState(state connState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != state || c.ended || state == stateIdle && !c.graceOver(time.Now()) && !c.neverCalled() || netio.HasUnread(c.socket) {
		return false
	}
	err := c.writeFrames(func(f *http2.Framer) (err error) {
		for stream := range c.open {
			err = errors.Join(err, f.WriteRSTStream(stream, http2.ErrCodeRefusedStream))
		}
		return errors.Join(err, f.WriteGoAway(c.lastStream, http2.ErrCodeNo, nil))
	})
	if err != nil && !c.ended { // the client could not know which calls were taken
		return false
	}
	c.ended = true
	clear(c.open)
	c.updateState()
	_ = c.socket.CloseWrite() // fails if the client has gone, which gRPC reads
	return true
}

// writeFrames passes some frames to the system, all at once and without waiting, unless a write is
// in progress or a frame is not written whole; c.mu is held.
func (c *clientConn) writeFrames(write func(*http2.Framer) error) error {
	if !c.writeMu.TryLock() {
		return errNotWritten
	}
	defer c.writeMu.Unlock()
	if !c.output.AtBoundary() || c.outputBlock {
		return errNotWritten
	}
	var frames bytes.Buffer
	if err := write(http2.NewFramer(&frames, nil)); err != nil {
		return err
	}
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return err
	}
	written := 0
	controlErr := raw.Control(func(fd uintptr) { written, err = unix.Write(int(fd), frames.Bytes()) })
	switch {
	case controlErr != nil:
		return controlErr
	case err == nil && written < frames.Len():
		c.ended = true // nothing can follow half a frame
		return errNotWritten
	}
	return err
}
