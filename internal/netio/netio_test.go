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

// A hundred connects that the system lets wait must not hold a hundred threads.
func TestBlockedConnectsHoldFewThreads(t *testing.T) {
	const dials, own = 100, 24
	l := listen(t)
	d := NewDialer()
	d.Control = func(string, string, syscall.RawConn) error { // stands for a connect that takes its time
		for left := (syscall.Timespec{Nsec: 2e6}); syscall.Nanosleep(&left, &left) != nil; {
		}
		return nil
	}
	before := threadCount(t)
	var all sync.WaitGroup
	for range dials {
		all.Go(func() {
			c, err := d.Dial(context.Background(), "tcp", l.Addr().String())
			if err != nil {
				t.Error(err)
				return
			}
			_ = c.Close()
		})
	}
	all.Wait()
	if after := threadCount(t); after > before+maxConcurrentConnects+own {
		t.Errorf("%d threads before, %d after %d dials", before, after, dials)
	}
}

// A dial that waits for the other side must not hold up the next one, or a few silent
// nodes would shut out all others.
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
	var all sync.WaitGroup
	defer all.Wait()
	defer cancel()
	up := make(chan net.Conn, 64)
	for range 8 * maxConcurrentConnects { // the listener takes one or two; the others get no word
		all.Go(func() {
			if c, err := d.Dial(ctx, "tcp", full.Addr().String()); err == nil {
				up <- c
			}
		})
	}
	within, over := context.WithTimeout(ctx, 10*time.Second)
	defer over()
	for range 4 * maxConcurrentConnects {
		c, err := d.Dial(within, "tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = c.Close()
	}
	cancel()
	all.Wait()
	close(up)
	for c := range up {
		_ = c.Close()
	}
	if n := len(d.connectSlots); n != 0 {
		t.Errorf("%d starts are still held", n)
	}
}

// pair attaches one end of a new connection to the loop and returns the other too.
func attachPair(t *testing.T, loop *Loop, l net.Listener) (*Conn, *recordingHandler, net.Conn) {
	t.Helper()
	e := newRecordingHandler()
	conn, peer := attachPairTo(t, loop, l, e)
	return conn, e, peer
}

// pairOf does so with a handler of the caller's.
func attachPairTo(t *testing.T, loop *Loop, l net.Listener, h Handler) (*Conn, net.Conn) {
	t.Helper()
	// Room for more than a few reads, though the system may allow less than is asked for.
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		failed := raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1<<20) })
		return errors.Join(err, failed)
	}}
	c, err := d.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn, err := loop.Attach(c, h, nil)
	if err != nil {
		t.Fatal(err)
	}
	return conn, peer
}

type recordingHandler struct {
	data   chan string
	closed chan struct{}
}

func newRecordingHandler() *recordingHandler {
	return &recordingHandler{make(chan string, 8), make(chan struct{})}
}

func (e *recordingHandler) Data(b []byte) { e.data <- string(b) }
func (e *recordingHandler) Closed(error)  { close(e.closed) }

// The system gives the number of a closed connection to the next one: what is done
// late to the first must not be done to that.
func TestClosedConnSparesReusedDescriptor(t *testing.T) {
	loop, err := New(1 << 20)
	if err != nil {
		t.Fatal(err)
	}
	defer loop.Stop()
	l := listen(t)
	for range 50 {
		old, e, peer := attachPair(t, loop, l)
		number := old.nbConn.Hash()
		_ = peer.Close()
		<-e.closed
		old.Close()
		next, heard, other := attachPair(t, loop, l)
		if err := old.CloseWrite(); err == nil {
			t.Fatal("the stream of a closed connection was ended")
		}
		if !old.AtEOF() {
			t.Fatal("a closed connection counts as open")
		}
		if _, err := next.Write([]byte("x")); err != nil {
			t.Fatalf("number %d, then %d: %v", number, next.nbConn.Hash(), err)
		}
		if _, err := other.Write([]byte("y")); err != nil {
			t.Fatal(err)
		}
		if got := <-heard.data; got != "y" {
			t.Fatalf("got %q", got)
		}
		b := make([]byte, 1)
		if _, err := other.Read(b); err != nil || b[0] != 'x' {
			t.Fatalf("number %d, then %d: got %q, %v", number, next.nbConn.Hash(), b, err)
		}
		next.Close()
		_ = other.Close()
		<-heard.closed
	}
}

// What many connections want done at their end is done by one goroutine, whole and
// also while the loop stops.
func TestStopDeliversAllCloseEvents(t *testing.T) {
	const conns = 200
	loop, err := New(1 << 20)
	if err != nil {
		t.Fatal(err)
	}
	l := listen(t)
	ears := make([]*recordingHandler, conns)
	for i := range ears {
		conn, e, peer := attachPair(t, loop, l)
		defer peer.Close()
		ears[i] = e
		flushed := make(chan struct{})
		conn.AfterFlush(func() { close(flushed) })
		<-flushed
	}
	loop.Stop()
	for i, e := range ears {
		select {
		case <-e.closed:
		default:
			t.Fatalf("connection %d was not told of its end", i)
		}
	}
}

// slow is a handler that keeps what it is given in hand until it is let go.
type delayingHandler struct {
	*recordingHandler
	entered, gate chan struct{}
}

func (s *delayingHandler) Data(b []byte) {
	s.entered <- struct{}{}
	<-s.gate
	s.recordingHandler.Data(b)
}

// Our side of a stream is not ended while the other side may have said something that the
// handler does not know, nor while something of ours is still to leave.
func TestCloseWriteIfIdle(t *testing.T) {
	loop, err := New(64 << 20)
	if err != nil {
		t.Fatal(err)
	}
	defer loop.Stop()
	l := listen(t)
	h := &delayingHandler{newRecordingHandler(), make(chan struct{}, 8), make(chan struct{})}
	conn, peer := attachPairTo(t, loop, l, h)
	defer peer.Close()
	say := func(text string) {
		t.Helper()
		if _, err := peer.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	say("a")
	<-h.entered
	if conn.CloseWriteIfIdle() {
		t.Error("ended while the handler had bytes in hand")
	}
	say("b") // waits to be read
	h.gate <- struct{}{}
	if <-h.data; conn.CloseWriteIfIdle() {
		t.Error("ended while bytes waited, or were in hand")
	}
	<-h.entered
	h.gate <- struct{}{}
	<-h.data
	big := make([]byte, 32<<20) // more than the sockets hold
	if _, err := conn.Write(big); err != nil {
		t.Fatal(err)
	}
	if conn.Backlog() == 0 || conn.CloseWriteIfIdle() {
		t.Error("ended while bytes of ours waited")
	}
	if _, err := io.ReadFull(peer, big); err != nil {
		t.Fatal(err)
	}
	for !conn.CloseWriteIfIdle() { // the handler's goroutine may not be through yet
		time.Sleep(time.Millisecond)
	}
	if n, err := peer.Read(big); n != 0 || err != io.EOF {
		t.Errorf("%d bytes and %v, want the end", n, err)
	}
	if conn.PeerClosed() {
		t.Error("the other side counts as gone")
	}
	say("c")
	if _ = peer.Close(); !conn.PeerClosed() { // with its last byte unread
		t.Error("the other side's end is not seen")
	}
	close(h.gate)
}

// All that the other side has sent before its end is read, however much it is.
func TestAllDataBeforeEOFIsDelivered(t *testing.T) {
	loop, err := New(1 << 20)
	if err != nil {
		t.Fatal(err)
	}
	defer loop.Stop()
	l := listen(t)
	h := &delayingHandler{newRecordingHandler(), make(chan struct{}, 1), make(chan struct{})}
	_, first := attachPairTo(t, loop, l, h)
	defer first.Close()
	count := &byteCounter{closed: make(chan struct{})}
	conn, peer := attachPairTo(t, loop, l, count)
	if _, err := first.Write([]byte("x")); err != nil { // holds up the reads till all has come
		t.Fatal(err)
	}
	<-h.entered
	const size = 5 * readSize
	if _, err := peer.Write(make([]byte, size)); err != nil {
		t.Fatal(err)
	}
	_ = peer.Close()
	for over := time.Now().Add(20 * time.Second); !conn.PeerClosed(); time.Sleep(time.Millisecond) {
		if time.Now().After(over) {
			t.Fatal("its end has not come")
		}
	}
	close(h.gate)
	if <-count.closed; count.bytes != size {
		t.Errorf("%d of %d bytes were read", count.bytes, size)
	}
}

type byteCounter struct {
	bytes  int
	closed chan struct{}
}

func (c *byteCounter) Data(b []byte) { c.bytes += len(b) }
func (c *byteCounter) Closed(error)  { close(c.closed) }

// Small writes leave at once on every connection: one that the system held back would go
// with a connection that is closed.
func TestConnectionsSetNoDelay(t *testing.T) {
	loop, err := New(1 << 20)
	if err != nil {
		t.Fatal(err)
	}
	defer loop.Stop()
	l := listen(t)
	dialled, err := NewDialer().Dial(context.Background(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	for _, nc := range []net.Conn{dialled, accepted} {
		conn, err := loop.Attach(nc, newRecordingHandler(), nil)
		if err != nil {
			t.Fatal(err)
		}
		set := 0
		if err := conn.withFD(func(fd uintptr) { set, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY) }); err != nil || set == 0 {
			t.Errorf("TCP_NODELAY %d, %v", set, err)
		}
	}
}

// A loop that is stopped before its engine's goroutine has begun, as by a start that
// fails at once, stops all the same.
func TestStopBeforeEngineGoroutineRuns(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // so that it begins no sooner than we wait
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
		t.Fatal("the loop does not stop")
	}
}
