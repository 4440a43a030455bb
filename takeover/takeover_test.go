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

// neighbour notes the news of other processes.
type siblingEvents chan bool

func (n siblingEvents) SiblingRunning(running bool) { n <- running }

func (n siblingEvents) expect(t *testing.T, running bool) {
	t.Helper()
	select {
	case got := <-n:
		if got != running {
			t.Fatalf("beside %v, want %v", got, running)
		}
	case <-time.After(5 * time.Second):
		t.Fatalf("no news, want beside %v", running)
	}
}

const addr = "127.0.0.1:8000"

// host is a first process.
func host(t *testing.T, dir string) (*Server, *net.TCPListener, siblingEvents) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	news := make(siblingEvents, 16)
	h, err := NewServer(ServerOptions{Dir: dir, Addr: addr, Listener: l.(*net.TCPListener), Observer: news, Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	return h, l.(*net.TCPListener), news
}

func join(t *testing.T, dir string) *Predecessor {
	t.Helper()
	p, err := Connect(dir, addr)
	if err != nil || p == nil {
		t.Fatalf("joining: %v, %v", p, err)
	}
	t.Cleanup(func() {
		p.Close()
		p.Listener.Close()
	})
	return p
}

// The next process accepts what came before and after the first one has closed its socket.
func TestSocketOutlivesTheFirstProcess(t *testing.T) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("deep", 30)) // beyond an address's length
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	h, l, news := host(t, dir)
	next := join(t, dir)
	news.expect(t, true)
	if h.HasSuccessor() {
		t.Error("succeeded before the next process is ready")
	}
	if err := next.NotifyReady(); err != nil {
		t.Fatal(err)
	}
	testkit.Eventually(t, "it is known to be ready", h.HasSuccessor)
	for i := range 2 {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i == 0 { // queued while the first process goes
			l.Close()
		}
		accepted, err := next.Listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		accepted.Close()
	}
	ended := make(chan bool)
	go func() {
		next.Wait()
		close(ended)
	}()
	h.Close()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("the end of the first process is not seen")
	}
}

// A next process that dies, before it is ready or after, leaves the first one as it was.
func TestNextProcessDies(t *testing.T) {
	dir := t.TempDir()
	h, _, news := host(t, dir)
	for _, ready := range []bool{false, true} {
		next := join(t, dir)
		news.expect(t, true)
		if ready {
			if err := next.NotifyReady(); err != nil {
				t.Fatal(err)
			}
			testkit.Eventually(t, "it is known to be ready", h.HasSuccessor)
		}
		next.Close()
		news.expect(t, false)
		if h.HasSuccessor() {
			t.Error("succeeded by a process that has died")
		}
	}
}

// A process of another user neither gets the socket nor is taken for the one before.
func TestProcessOfAnotherUser(t *testing.T) {
	own := peerUID
	t.Cleanup(func() { peerUID = own }) // once the host has ended
	peerUID = func(*net.UnixConn) (uint32, error) { return uint32(os.Geteuid()) + 1, nil }
	dir := t.TempDir()
	host(t, dir)
	if p, err := Connect(dir, addr); p != nil || !errors.Is(err, errOtherUser) {
		t.Errorf("got %v, %v", p, err)
	}
}

// Without a process there, or with one that was killed, the next one is on its own; what
// lies in the folder otherwise is an error or no predecessor, and hangs nothing.
func TestNobodyToJoin(t *testing.T) {
	dir := t.TempDir()
	if p, err := Connect(dir, addr); p != nil || err != nil {
		t.Errorf("an empty folder: %v, %v", p, err)
	}
	if _, err := Connect(filepath.Join(dir, "none"), addr); err == nil {
		t.Error("no folder: no error")
	}
	h, _, _ := host(t, dir)
	h.Close() // the socket's name stays, as after a kill
	if p, err := Connect(dir, addr); p != nil || err != nil {
		t.Errorf("a socket that nobody has: %v, %v", p, err)
	}
	name := filepath.Join(dir, "gannetchute-127.0.0.1_8000.sock")
	if err := os.Remove(name); err != nil {
		t.Fatal(err)
	}
	foreign, err := net.ListenUnix(socketNetwork, &net.UnixAddr{Name: name, Net: socketNetwork})
	if err != nil {
		t.Fatal(err)
	}
	defer foreign.Close()
	answers := []string{`{"version":99}`, `{"version":1}`, "not a message", ""}
	go func() {
		for _, text := range answers {
			c, err := foreign.AcceptUnix()
			if err != nil {
				return
			}
			if text != "" { // the last one says nothing
				_, _ = c.Write([]byte(text))
			}
			defer c.Close()
		}
	}()
	for _, text := range answers {
		if p, err := Connect(dir, addr); p != nil || err == nil {
			t.Errorf("%q: %v, %v", text, p, err)
		}
	}
	if _, _, news := host(t, dir); news == nil { // takes the name over all the same
		t.Fatal("no host")
	}
	join(t, dir)
}
