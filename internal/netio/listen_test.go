package netio

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

// A socket, bind or listen that fails for a moment ends no start; an address that is taken
// does, at once.
func TestListenRetriesTemporaryErrors(t *testing.T) {
	whole := openListener
	t.Cleanup(func() { openListener = whole })
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		tries := 0
		openListener = func(config net.ListenConfig, addr string) (net.Listener, error) {
			if tries++; tries < 4 {
				return nil, &net.OpError{Op: "listen", Net: "tcp", Err: errno}
			}
			return whole(config, addr)
		}
		l, err := Listen("127.0.0.1:0")
		if err != nil {
			t.Errorf("%v: %v after %d tries", errno, err, tries)
			continue
		}
		for name, open := range map[string]func(string) (*net.TCPListener, error){"alone": Listen, "shared": ListenReusePort} {
			if _, err := open(l.Addr().String()); !errors.Is(err, syscall.EADDRINUSE) {
				t.Errorf("an address that is taken, %s: %v", name, err)
			}
		}
		_ = l.Close()
	}
}

// Two listeners share an address where both ask for it.
func TestListenReusePortSharesAddress(t *testing.T) {
	first, err := ListenReusePort("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	second, err := ListenReusePort(first.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
}

// overdue is a context whose time is over before its own timer has said so.
type expiredContext struct {
	context.Context
	deadline time.Time
}

func (o expiredContext) Deadline() (time.Time, bool) { return o.deadline, true }

// A dial that this machine has no descriptor for until its time is over fails with that,
// also where the system's dialer sees the end before the context's timer does.
func TestDialTimeoutReportsResourceExhaustion(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ctx := expiredContext{context.Background(), time.Now().Add(5 * dialRetryInterval / 2)}
	d := NewDialer()
	d.Control = func(string, string, syscall.RawConn) error { return syscall.EMFILE }
	if _, err := d.DialSoleAddress(ctx, "tcp", l.Addr().String()); !errors.Is(err, syscall.EMFILE) {
		t.Errorf("got %v, want %v", err, syscall.EMFILE)
	}
}
