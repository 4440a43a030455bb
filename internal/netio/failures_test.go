package netio

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"

	"onyxsail/internal/testkit"
)

// interrupt has the calls that look at a descriptor fail with EINTR now and then: each
// first one after a success.
func injectEINTR(t *testing.T) {
	realRecvfrom, realPoll := recvfrom, poll
	t.Cleanup(func() { recvfrom, poll = realRecvfrom, realPoll })
	var calls atomic.Int64
	recvfrom = func(fd int, b []byte, flags int) (int, syscall.Sockaddr, error) {
		if calls.Add(1)%2 == 1 {
			return -1, nil, syscall.EINTR
		}
		return realRecvfrom(fd, b, flags)
	}
	poll = func(fds []unix.PollFd, timeout int) (int, error) {
		if calls.Add(1)%2 == 1 {
			return -1, unix.EINTR
		}
		return realPoll(fds, timeout)
	}
}

// A look that is interrupted is taken again: a client that has gone is not taken for one
// that is there, nor what waits for nothing.
func TestSocketChecksRetryAfterEINTR(t *testing.T) {
	loop, err := New(1 << 20)
	if err != nil {
		t.Fatal(err)
	}
	defer loop.Stop()
	l := listen(t)
	injectEINTR(t)
	c, e, peer := attachPair(t, loop, l)
	if c.PeerClosed() || c.HasUnread(false) || c.AtEOF() {
		t.Error("gone, unread or hung up before a word")
	}
	loop.blockReads(t, c, func() {
		if _, err := io.WriteString(peer, "x"); err != nil {
			t.Fatal(err)
		}
		testkit.Eventually(t, "the byte is there", func() bool { return c.HasUnread(true) })
		for range 4 {
			if !c.HasUnread(true) {
				t.Error("a byte that waits is not seen")
			}
			if c.CloseWriteIfIdle() {
				t.Error("ended over a byte that waits")
			}
		}
		peer.Close()
		testkit.Eventually(t, "the end is there", c.PeerClosed)
		for range 4 {
			if !c.PeerClosed() {
				t.Error("an end that has come is not seen")
			}
		}
	})
	<-e.closed
	waiting, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer waiting.Close()
	for range 4 {
		if !HasPendingConn(l.(*net.TCPListener)) {
			t.Error("a connection that waits is not seen")
		}
	}
}

// hold keeps the engine from reading a connection while f runs.
func (l *Loop) blockReads(t *testing.T, c *Conn, f func()) {
	t.Helper()
	other, _, peer := attachPair(t, l, listen(t))
	gate, held := make(chan struct{}), make(chan struct{})
	other.handler = &blockingHandler{entered: held, gate: gate}
	if _, err := io.WriteString(peer, "x"); err != nil {
		t.Fatal(err)
	}
	<-held
	defer peer.Close()
	defer close(gate)
	f()
}

// gated holds the engine's goroutine in its Data.
type blockingHandler struct{ entered, gate chan struct{} }

func (g *blockingHandler) Data([]byte) {
	close(g.entered)
	<-g.gate
}
func (g *blockingHandler) Closed(error) {}

// A connection that the system has accepted is not closed for want of a descriptor, of
// memory or of a watch: its client may have sent a request. It is taken over later.
func TestAttachRetriesWhenResourcesAreExhausted(t *testing.T) {
	for _, c := range []struct {
		name    string
		failure syscall.Errno
		adding  bool // it comes when the engine adds the connection
	}{
		{"EMFILE", syscall.EMFILE, false},
		{"ENFILE", syscall.ENFILE, false},
		{"ENOMEM", syscall.ENOMEM, true},
		{"ENOSPC", syscall.ENOSPC, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			loop, err := New(1 << 20)
			if err != nil {
				t.Fatal(err)
			}
			defer loop.Stop()
			l := listen(t)
			peer, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer peer.Close()
			if _, err := io.WriteString(peer, "request"); err != nil {
				t.Fatal(err)
			}
			accepted, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			times := &atomic.Int64{}
			times.Store(3)
			if !c.adding {
				take := loop.wrapConn
				loop.wrapConn = func(conn net.Conn) (*nbio.Conn, error) {
					if times.Add(-1) >= 0 {
						return nil, c.failure // the connection stays open
					}
					return take(conn)
				}
			} else {
				add := loop.addConn
				loop.addConn = func(nc *nbio.Conn) error {
					if times.Add(-1) >= 0 {
						_ = nc.CloseWithError(c.failure) // as the engine does
						return c.failure
					}
					return add(nc)
				}
			}
			e := newRecordingHandler()
			took, err := loop.Attach(accepted, e, nil)
			if err != nil {
				t.Fatal(err)
			}
			if got := <-e.data; got != "request" {
				t.Errorf("got %q", got)
			}
			if _, err := took.Write([]byte("answer")); err != nil {
				t.Error(err)
			}
			if err := peer.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
				t.Fatal(err)
			}
			answer := make([]byte, len("answer"))
			if _, err := io.ReadFull(peer, answer); err != nil {
				t.Error(err)
			}
			select {
			case <-e.closed:
				t.Error("told as closed")
			default:
			}
		})
	}
}

// A loop that is started while no descriptor is to be had starts once there is one.
func TestNewRetriesUntilDescriptorsAreAvailable(t *testing.T) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	none := limit
	none.Cur = 0
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &none); err != nil {
		t.Fatal(err)
	}
	back := time.AfterFunc(100*time.Millisecond, func() { _ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit) })
	loop, err := New(1 << 20)
	back.Stop()
	if failed := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); failed != nil {
		t.Fatal(failed)
	}
	if err != nil {
		t.Fatal(err)
	}
	l := listen(t)
	_, e, peer := attachPair(t, loop, l)
	if _, err := io.WriteString(peer, "x"); err != nil || <-e.data != "x" {
		t.Errorf("the loop does not work: %v", err)
	}
	loop.Stop()
}

// The engine closes a descriptor before it tells of it, and the system gives the number to
// the next connection at once: what is done to the first just then must not be done to that.
func TestClosedConnSparesReusedDescriptorBeforeCloseEvent(t *testing.T) {
	loop, err := New(1 << 20)
	if err != nil {
		t.Fatal(err)
	}
	defer loop.Stop()
	l := listen(t)
	hits := 0
	for range 20 {
		old, e, peer := attachPair(t, loop, l)
		number := old.nbConn.Hash()
		gate, held := make(chan struct{}), make(chan struct{})
		loop.engine.Async(func() { // the engine's words wait behind this one
			close(held)
			<-gate
		})
		<-held
		_ = peer.Close()
		testkit.Eventually(t, "the engine has closed it", func() bool { closed, _ := old.nbConn.IsClosed(); return closed })
		next, heard, other := attachPair(t, loop, l)
		if next.nbConn.Hash() == number {
			hits++
		}
		if err := old.CloseWrite(); err == nil {
			t.Error("the stream of a closed connection was ended")
		}
		if old.CloseWriteIfIdle() || !old.AtEOF() || !old.PeerClosed() {
			t.Error("a closed connection counts as open")
		}
		if _, err := next.Write([]byte("x")); err != nil {
			t.Errorf("number %d: %v", number, err)
		}
		b := make([]byte, 1)
		if err := other.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Fatal(err)
		}
		if _, err := other.Read(b); err != nil || b[0] != 'x' {
			t.Errorf("number %d, then %d: got %q, %v", number, next.nbConn.Hash(), b, err)
		}
		close(gate)
		<-e.closed
		next.Close()
		_ = other.Close()
		<-heard.closed
	}
	if hits == 0 {
		t.Log("no number came again: the test has shown nothing")
	}
}

// step holds the engine's goroutine in each of its Datas until it is let go.
type steppingHandler struct {
	recordingHandler
	entered, gate chan struct{}
}

func (s *steppingHandler) Data([]byte) {
	s.entered <- struct{}{}
	<-s.gate
}

// The engine takes many events from the system at once. A connection that is closed by us
// while it is at work on them may leave its number to a new one, which must not be taken
// for the first: the end of the first's other side is not the second's.
func TestEventOfClosedConnSparesReusedDescriptor(t *testing.T) {
	loop, err := New(1 << 20)
	if err != nil {
		t.Fatal(err)
	}
	defer loop.Stop()
	l := listen(t)
	first := &steppingHandler{recordingHandler: *newRecordingHandler(), entered: make(chan struct{}), gate: make(chan struct{})}
	_, firstPeer := attachPairTo(t, loop, l, first)
	second := &steppingHandler{recordingHandler: *newRecordingHandler(), entered: make(chan struct{}), gate: make(chan struct{})}
	_, secondPeer := attachPairTo(t, loop, l, second)
	for range 10 {
		old, e, peer := attachPair(t, loop, l)
		if _, err := io.WriteString(firstPeer, "x"); err != nil {
			t.Fatal(err)
		}
		<-first.entered // what comes now is taken together
		if _, err := io.WriteString(secondPeer, "x"); err != nil {
			t.Fatal(err)
		}
		_ = peer.Close()
		testkit.Eventually(t, "its end is there", old.PeerClosed)
		first.gate <- struct{}{}
		<-second.entered // the end of old stands behind this
		old.Close()
		next, heard, other := attachPair(t, loop, l)
		if _, err := io.WriteString(other, "request"); err != nil {
			t.Fatal(err)
		}
		second.gate <- struct{}{}
		if got := <-heard.data; got != "request" {
			t.Errorf("got %q", got)
		}
		<-e.closed
		if _, err := next.Write([]byte("answer")); err != nil {
			t.Errorf("the next connection was closed: %v", err)
		}
		if err := other.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Fatal(err)
		}
		answer := make([]byte, len("answer"))
		if _, err := io.ReadFull(other, answer); err != nil {
			t.Errorf("no answer: %v", err)
		}
		_ = other.Close()
		<-heard.closed
	}
}

// A connection whose other side has gone already is not closed by the engine while its
// takeover still holds a second descriptor of it: the system would go on to tell of the
// first one's number, and so of whoever gets it next.
func TestEngineDoesNotCloseConnDuringAttach(t *testing.T) {
	loop, err := New(1 << 20)
	if err != nil {
		t.Fatal(err)
	}
	defer loop.Stop()
	l := listen(t)
	peer, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = peer.Close()
	add, added, gate := loop.addConn, make(chan *nbio.Conn), make(chan struct{})
	loop.addConn = func(nc *nbio.Conn) error {
		err := add(nc)
		added <- nc
		<-gate // the takeover is held up here, with both descriptors
		return err
	}
	e := newRecordingHandler()
	over := make(chan error)
	go func() {
		_, err := loop.Attach(accepted, e, nil)
		over <- err
	}()
	nc := <-added
	time.Sleep(100 * time.Millisecond) // the engine has seen its end long since
	if closed, _ := nc.IsClosed(); closed {
		t.Error("closed while its takeover holds a second descriptor")
	}
	close(gate)
	if err := <-over; err != nil {
		t.Error(err)
	}
	<-e.closed
}
