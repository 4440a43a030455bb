package takeover

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"onyxsail/internal/testkit"
)

// siblingEvents records the calls of a SiblingObserver.
type siblingEvents chan bool

// SiblingRunning implements SiblingObserver.
func (e siblingEvents) SiblingRunning(running bool) { e <- running }

// expect waits for the next call and fails the test unless it has the value running.
func (e siblingEvents) expect(t *testing.T, running bool) {
	t.Helper()
	select {
	case got := <-e:
		if got != running {
			t.Fatalf("sibling running: got %v, want %v", got, running)
		}
	case <-time.After(5 * time.Second):
		t.Fatalf("no event, want sibling running: %v", running)
	}
}

// clientAddr is the address for clients that both processes are configured with. Nothing listens
// at it.
const clientAddr = "127.0.0.1:8000"

// startServer plays the part of a predecessor process in dir.
func startServer(t *testing.T, dir string) (*Server, *net.TCPListener, siblingEvents) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	events := make(siblingEvents, 16)
	s, err := NewServer(ServerOptions{Dir: dir, Addr: clientAddr, Listener: l.(*net.TCPListener), Observer: events, Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, l.(*net.TCPListener), events
}

// connect plays the part of a successor process.
func connect(t *testing.T, dir string) *Predecessor {
	t.Helper()
	p, err := Connect(dir, clientAddr)
	if err != nil || p == nil {
		t.Fatalf("connecting: got %v, %v, want a predecessor", p, err)
	}
	t.Cleanup(func() {
		p.Close()
		p.Listener.Close()
	})
	return p
}

// Guards against connections being lost in a takeover: the successor accepts those that
// arrived before and after the predecessor has closed its socket. It also guards against a
// socket path that is too long for a socket address.
func TestListeningSocketSurvivesPredecessor(t *testing.T) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("deep", 30)) // longer than a socket address can be
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	s, l, events := startServer(t, dir)
	successor := connect(t, dir)
	events.expect(t, true)
	if s.HasSuccessor() {
		t.Error("has a successor before the successor is ready")
	}
	if err := successor.NotifyReady(); err != nil {
		t.Fatal(err)
	}
	testkit.Eventually(t, "the successor is known to be ready", s.HasSuccessor)
	for i := range 2 {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i == 0 { // queued while the predecessor closes its socket
			l.Close()
		}
		accepted, err := successor.Listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		accepted.Close()
	}
	ended := make(chan bool)
	go func() {
		successor.Wait()
		close(ended)
	}()
	s.Close()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("the successor does not notice the predecessor's end")
	}
}

// Guards against a predecessor still counting on a successor that has died, before or after
// it was ready.
func TestDeadSuccessorIsNotCounted(t *testing.T) {
	dir := t.TempDir()
	s, _, events := startServer(t, dir)
	for _, ready := range []bool{false, true} {
		successor := connect(t, dir)
		events.expect(t, true)
		if ready {
			if err := successor.NotifyReady(); err != nil {
				t.Fatal(err)
			}
			testkit.Eventually(t, "the successor is known to be ready", s.HasSuccessor)
		}
		successor.Close()
		events.expect(t, false)
		if s.HasSuccessor() {
			t.Error("has a successor that has died")
		}
	}
}

// Guards against handing the socket to a process of another user, and against accepting a
// socket from one.
func TestProcessOfAnotherUserIsRejected(t *testing.T) {
	original := peerUID
	t.Cleanup(func() { peerUID = original }) // runs after the server has ended
	peerUID = func(*net.UnixConn) (uint32, error) { return uint32(os.Geteuid()) + 1, nil }
	dir := t.TempDir()
	startServer(t, dir)
	if p, err := Connect(dir, clientAddr); p != nil || !errors.Is(err, errOtherUser) {
		t.Errorf("got %v, %v, want errOtherUser", p, err)
	}
}

// Guards against a start failing or hanging when there is no predecessor, when it was killed
// and left its socket file behind, or when something else listens on the socket.
func TestConnectWithoutUsablePredecessor(t *testing.T) {
	dir := t.TempDir()
	if p, err := Connect(dir, clientAddr); p != nil || err != nil {
		t.Errorf("an empty directory: got %v, %v, want no predecessor and no error", p, err)
	}
	if _, err := Connect(filepath.Join(dir, "none"), clientAddr); err == nil {
		t.Error("no directory: got no error")
	}
	s, _, _ := startServer(t, dir)
	s.Close() // the socket file stays, as after a kill
	if p, err := Connect(dir, clientAddr); p != nil || err != nil {
		t.Errorf("a socket file without a listener: got %v, %v, want no predecessor and no error", p, err)
	}
	name := filepath.Join(dir, "gannetchute-127.0.0.1_8000.sock")
	if err := os.Remove(name); err != nil {
		t.Fatal(err)
	}
	fake, err := net.ListenUnix(socketNetwork, &net.UnixAddr{Name: name, Net: socketNetwork})
	if err != nil {
		t.Fatal(err)
	}
	defer fake.Close()
	answers := []string{`{"version":99}`, `{"version":1}`, "not a message", ""}
	go func() {
		for _, text := range answers {
			c, err := fake.AcceptUnix()
			if err != nil {
				return
			}
			if text != "" { // the last one sends nothing
				_, _ = c.Write([]byte(text))
			}
			defer c.Close()
		}
	}()
	for _, text := range answers {
		if p, err := Connect(dir, clientAddr); p != nil || err == nil {
			t.Errorf("first message %q: got %v, %v, want an error", text, p, err)
		}
	}
	if _, _, events := startServer(t, dir); events == nil { // replaces the socket file nevertheless
		t.Fatal("no server")
	}
	connect(t, dir)
}
