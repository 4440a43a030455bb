package netio

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// threadCount returns the number of threads of this process.
func threadCount(t *testing.T) int {
	t.Helper()
	data, err := os.ReadFile("/proc/self/status")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(data), "\nThreads:")
	n, err := strconv.Atoi(strings.Fields(rest)[0])
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// 100 connects that block in the system must not occupy 100 threads: the runtime would never end
// them.
func TestBlockedConnectsHoldFewThreads(t *testing.T) {
	const dials, margin = 100, 24
	l := listen(t)
	d := NewDialer()
	d.Control = func(string, string, syscall.RawConn) error { // simulates a connect that blocks in the system
		for left := (syscall.Timespec{Nsec: 2e6}); syscall.Nanosleep(&left, &left) != nil; {
		}
		return nil
	}
	before := threadCount(t)
	var wg sync.WaitGroup
	for range dials {
		wg.Go(func() {
			c, err := d.Dial(context.Background(), "tcp", l.Addr().String())
			if err != nil {
				t.Error(err)
				return
			}
			_ = c.Close()
		})
	}
	wg.Wait()
	if after := threadCount(t); after > before+maxConcurrentConnects+margin {
		t.Errorf("%d threads before, %d after %d dials", before, after, dials)
	}
}

// A dial that waits for its peer must not delay other dials: otherwise a few unresponsive nodes
// would make all others unreachable.
func TestUnresponsiveAddressesDoNotBlockDials(t *testing.T) {
	full, l := listen(t), listen(t)
	raw, err := full.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }); err != nil {
		t.Fatal(err)
	}
	if err != nil {
		t.Fatal(err)
	}
	d := NewDialer()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	connected := make(chan net.Conn, 64)
	for range 8 * maxConcurrentConnects { // the accept queue takes one or two; the others get no reply
		wg.Go(func() {
			if c, err := d.Dial(ctx, "tcp", full.Addr().String()); err == nil {
				connected <- c
			}
		})
	}
	timeoutCtx, cancelTimeout := context.WithTimeout(ctx, 10*time.Second)
	defer cancelTimeout()
	for range 4 * maxConcurrentConnects {
		c, err := d.Dial(timeoutCtx, "tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = c.Close()
	}
	cancel()
	wg.Wait()
	close(connected)
	for c := range connected {
		_ = c.Close()
	}
	if n := len(d.connectSlots); n != 0 {
		t.Errorf("%d connect slots were not released", n)
	}
}

// attachPair opens a connection, attaches its client end to the loop and returns both ends.
func attachPair(t *testing.T, loop *Loop, l net.Listener) (*Conn, *recordingHandler, net.Conn) {
	t.Helper()
	handler := newRecordingHandler()
	conn, peer := attachPairTo(t, loop, l, handler)
	return conn, handler, peer
}

// attachPairTo is like attachPair with the given handler.
func attachPairTo(t *testing.T, loop *Loop, l net.Listener, handler Handler) (*Conn, net.Conn) {
	t.Helper()
	// A receive buffer for several reads; the system may grant less than requested.
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1<<20) })
		return errors.Join(err, controlErr)
	}}
	c, err := d.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn, err := loop.Attach(c, handler, nil)
	if err != nil {
		t.Fatal(err)
	}
	return conn, peer
}

// recordingHandler records the events of a connection.
type recordingHandler struct {
	data   chan string
	closed chan struct{}
}

func newRecordingHandler() *recordingHandler {
	return &recordingHandler{make(chan string, 8), make(chan struct{})}
}

func (h *recordingHandler) Data(b []byte) { h.data <- string(b) }
func (h *recordingHandler) Closed(error)  { close(h.closed) }

// The system may assign the descriptor number of a closed connection to the next one. Late calls
// on the closed connection must not affect the new one.
func TestClosedConnSparesReusedDescriptor(t *testing.T) {
	loop, err := New(1 << 20)
	if err != nil {
		t.Fatal(err)
	}
	defer loop.Stop()
	l := listen(t)
	for range 50 {
		old, oldHandler, oldPeer := attachPair(t, loop, l)
		fd := old.nbConn.Hash()
		_ = oldPeer.Close()
		<-oldHandler.closed
		old.Close()
		next, nextHandler, nextPeer := attachPair(t, loop, l)
		if err := old.CloseWrite(); err == nil {
			t.Fatal("CloseWrite succeeded on a closed connection")
		}
		if !old.AtEOF() {
			t.Fatal("a closed connection is reported as open")
		}
		if _, err := next.Write([]byte("x")); err != nil {
			t.Fatalf("descriptor %d, then %d: %v", fd, next.nbConn.Hash(), err)
		}
		if _, err := nextPeer.Write([]byte("y")); err != nil {
			t.Fatal(err)
		}
		if got := <-nextHandler.data; got != "y" {
			t.Fatalf("got %q", got)
		}
		b := make([]byte, 1)
		if _, err := nextPeer.Read(b); err != nil || b[0] != 'x' {
			t.Fatalf("descriptor %d, then %d: got %q, %v", fd, next.nbConn.Hash(), b, err)
		}
		next.Close()
		_ = nextPeer.Close()
		<-nextHandler.closed
	}
}

// The callbacks of all connections run on one goroutine. Stop must run all that are queued, or
// handlers would miss their Closed.
func TestStopDeliversAllCloseEvents(t *testing.T) {
	const conns = 200
	loop, err := New(1 << 20)
	if err != nil {
		t.Fatal(err)
	}
	l := listen(t)
	handlers := make([]*recordingHandler, conns)
	for i := range handlers {
		conn, handler, peer := attachPair(t, loop, l)
		defer peer.Close()
		handlers[i] = handler
		flushed := make(chan struct{})
		conn.AfterFlush(func() { close(flushed) })
		<-flushed
	}
	loop.Stop()
	for i, handler := range handlers {
		select {
		case <-handler.closed:
		default:
			t.Fatalf("connection %d: Closed was not called", i)
		}
	}
}

// delayingHandler blocks in each Data until it receives from release, then records the data.
type delayingHandler struct {
	*recordingHandler
	entered, release chan struct{}
}

func (h *delayingHandler) Data(b []byte) {
	h.entered <- struct{}{}
	<-h.release
	h.recordingHandler.Data(b)
}

// CloseWriteIfIdle must not close the sending side while the peer may have sent data that the
// handler has not processed, nor while queued data is not written.
func TestCloseWriteIfIdle(t *testing.T) {
	loop, err := New(64 << 20)
	if err != nil {
		t.Fatal(err)
	}
	defer loop.Stop()
	l := listen(t)
	handler := &delayingHandler{newRecordingHandler(), make(chan struct{}, 8), make(chan struct{})}
	conn, peer := attachPairTo(t, loop, l, handler)
	defer peer.Close()
	send := func(text string) {
		t.Helper()
		if _, err := peer.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	send("a")
	<-handler.entered
	if conn.CloseWriteIfIdle() {
		t.Error("sending side closed while the handler was processing data")
	}
	send("b") // stays unread
	handler.release <- struct{}{}
	if <-handler.data; conn.CloseWriteIfIdle() {
		t.Error("sending side closed while data was unread or being processed")
	}
	<-handler.entered
	handler.release <- struct{}{}
	<-handler.data
	big := make([]byte, 32<<20) // more than the socket buffers hold
	if _, err := conn.Write(big); err != nil {
		t.Fatal(err)
	}
	if conn.Backlog() == 0 || conn.CloseWriteIfIdle() {
		t.Error("sending side closed while written data was still queued")
	}
	if _, err := io.ReadFull(peer, big); err != nil {
		t.Fatal(err)
	}
	for !conn.CloseWriteIfIdle() { // the engine's goroutine may still be in the handler
		time.Sleep(time.Millisecond)
	}
	if n, err := peer.Read(big); n != 0 || err != io.EOF {
		t.Errorf("got %d bytes and %v, want io.EOF", n, err)
	}
	if conn.PeerClosed() {
		t.Error("an open peer is reported as closed")
	}
	send("c")
	if _ = peer.Close(); !conn.PeerClosed() { // while its last byte is unread
		t.Error("a closed peer is not reported")
	}
	close(handler.release)
}

// All data that a peer sent before it closed the connection must be delivered, even if it takes
// several reads.
func TestAllDataBeforeEOFIsDelivered(t *testing.T) {
	loop, err := New(1 << 20)
	if err != nil {
		t.Fatal(err)
	}
	defer loop.Stop()
	l := listen(t)
	blocker := &delayingHandler{newRecordingHandler(), make(chan struct{}, 1), make(chan struct{})}
	_, blockedPeer := attachPairTo(t, loop, l, blocker)
	defer blockedPeer.Close()
	counter := &byteCounter{closed: make(chan struct{})}
	conn, peer := attachPairTo(t, loop, l, counter)
	if _, err := blockedPeer.Write([]byte("x")); err != nil { // blocks the reads until all data has arrived
		t.Fatal(err)
	}
	<-blocker.entered
	const size = 5 * readSize
	if _, err := peer.Write(make([]byte, size)); err != nil {
		t.Fatal(err)
	}
	_ = peer.Close()
	for deadline := time.Now().Add(20 * time.Second); !conn.PeerClosed(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the end of the peer's stream did not arrive")
		}
	}
	close(blocker.release)
	if <-counter.closed; counter.bytes != size {
		t.Errorf("got %d of %d bytes", counter.bytes, size)
	}
}

// byteCounter is a Handler that counts the bytes received.
type byteCounter struct {
	bytes  int
	closed chan struct{}
}

func (c *byteCounter) Data(b []byte) { c.bytes += len(b) }
func (c *byteCounter) Closed(error)  { close(c.closed) }

// All connections must have TCP_NODELAY set: a small write that the system held back would be
// lost when the connection is closed.
func TestConnectionsSetNoDelay(t *testing.T) {
	loop, err := New(1 << 20)
	if err != nil {
		t.Fatal(err)
	}
	defer loop.Stop()
	l := listen(t)
	dialed, err := NewDialer().Dial(context.Background(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	for _, nc := range []net.Conn{dialed, accepted} {
		conn, err := loop.Attach(nc, newRecordingHandler(), nil)
		if err != nil {
			t.Fatal(err)
		}
		noDelay := 0
		if err := conn.withFD(func(fd uintptr) {
			noDelay, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
		}); err != nil || noDelay == 0 {
			t.Errorf("TCP_NODELAY: got %d, %v, want it set", noDelay, err)
		}
	}
}

// Stop must return even if it is called before the engine's goroutine runs, as happens when the
// broker's start fails at once.
func TestStopBeforeEngineGoroutineRuns(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // so that the goroutine runs only once this one waits
	loop, err := New(1 << 20)
	if err != nil {
		t.Fatal(err)
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		loop.Stop()
	}()
	select {
	case <-stopped:
	case <-time.After(20 * time.Second):
		t.Fatal("Stop did not return")
	}
}
