package testkit

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// The modes of a Way.
const (
	Pass      = "pass"
	Refuse    = "refuse" // nobody listens
	Stall     = "stall"  // accept, and pass nothing on
	ResetHalf = "half"   // pass half of what comes next on, then reset
	ResetFull = "full"   // pass all of it on, then reset before an answer can come
)

// Way is one way to a node: a proxy at an address of its own, with faults.
type Way struct {
	Addr string // in the list's form

	t               testing.TB
	network, at, to string
	scheme          string
	kept            int // a bound socket that keeps the port while nobody listens; -1: none
	mu              sync.Mutex
	mode            string
	listener        net.Listener
	conns           map[net.Conn]net.Conn // by the side of the client
}

// NewWayTo opens a way at a network address ("tcp" or "unix") to any address.
func NewWayTo(t testing.TB, network, addr, to string) *Way {
	t.Helper()
	w := &Way{t: t, network: network, at: addr, to: to, kept: -1, mode: Pass, conns: map[net.Conn]net.Conn{}}
	if err := w.open(); err != nil {
		t.Fatal(err)
	}
	w.at = w.listener.Addr().String() // the port stays the same over faults
	w.Addr = w.at
	if l, ok := w.listener.(*net.TCPListener); ok {
		if err := w.keepPort(l.Addr().(*net.TCPAddr)); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() {
		w.Set(Refuse)
		if w.kept >= 0 {
			_ = unix.Close(w.kept)
		}
	})
	return w
}

// NewWay opens a way at a network address to a node's own.
func NewWay(t testing.TB, network, addr string, n *Node) *Way {
	t.Helper()
	w := NewWayTo(t, network, addr, n.listener.Addr().String())
	switch {
	case network == "unix" && n.server != nil:
		w.Addr = "grpc+unix:" + w.at
	case network == "unix":
		w.Addr = "unix:" + w.at
	case n.server != nil:
		w.Addr = "grpc+tcp://" + w.at
	}
	return w
}

// keepPort binds a further socket to the way's port, at which it never listens: who connects
// while the way refuses is refused, and no other process gets the port meanwhile. Another
// test's node or broker would answer there.
func (w *Way) keepPort(at *net.TCPAddr) error {
	family, name := unix.AF_INET, unix.Sockaddr(&unix.SockaddrInet4{Port: at.Port, Addr: [4]byte(at.IP.To16()[12:])})
	if at.IP.To4() == nil {
		family, name = unix.AF_INET6, &unix.SockaddrInet6{Port: at.Port, Addr: [16]byte(at.IP)}
	}
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return fmt.Errorf("keeping a way's port: %w", err)
	}
	w.kept = fd
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err != nil {
		return fmt.Errorf("keeping a way's port: %w", err)
	}
	if err := unix.Bind(fd, name); err != nil {
		return fmt.Errorf("keeping a way's port: %w", err)
	}
	return nil
}

// sharedPort lets the way listen beside the socket that keeps its port.
func sharedPort(network, _ string, c syscall.RawConn) error {
	if network == "unix" {
		return nil
	}
	var failed error
	if err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}); err != nil {
		return err
	}
	return failed
}

func (w *Way) open() error {
	listening := net.ListenConfig{Control: sharedPort}
	l, err := listening.Listen(context.Background(), w.network, w.at)
	if err != nil {
		return err
	}
	w.listener = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.carry(c)
		}
	}()
	return nil
}

// Set changes the mode, for the connections that are open too.
func (w *Way) Set(mode string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.mode = mode; mode != Refuse {
		if w.listener == nil {
			if err := w.open(); err != nil { // the port is kept, the path is the test's own
				w.t.Errorf("opening the way %s again: %v", w.Addr, err)
			}
		}
		return
	}
	if w.listener != nil {
		_ = w.listener.Close()
		w.listener = nil
	}
	for a, b := range w.conns {
		reset(a)
		_ = b.Close()
	}
}

func (w *Way) now() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mode
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// carry passes bytes both ways as the mode says at each of them.
func (w *Way) carry(c net.Conn) {
	node, err := net.Dial("tcp", w.to)
	if err != nil {
		reset(c)
		return
	}
	w.mu.Lock()
	w.conns[c] = node
	w.mu.Unlock()
	defer func() {
		reset(c)
		_ = node.Close()
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
	go func() { // answers
		defer c.Close()
		b := make([]byte, 16<<10)
		for {
			n, err := node.Read(b)
			if m := w.now(); n > 0 && m == Pass {
				_, _ = c.Write(b[:n])
			} else if n > 0 && m != Stall || err != nil {
				return
			}
		}
	}()
	b := make([]byte, 16<<10)
	for {
		n, err := c.Read(b)
		if err != nil {
			return
		}
		switch w.now() {
		case Pass:
			_, _ = node.Write(b[:n])
		case Stall:
		case ResetHalf:
			_, _ = node.Write(b[:n/2])
			return
		default:
			_, _ = node.Write(b[:n])
			return
		}
	}
}
