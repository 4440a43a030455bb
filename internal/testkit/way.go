package testkit

import (
	"net"
	"sync"
	"testing"
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

	network, at, to string
	scheme          string
	mu              sync.Mutex
	mode            string
	listener        net.Listener
	conns           map[net.Conn]net.Conn // by the side of the client
}

// NewWayTo opens a way at a network address ("tcp" or "unix") to any address.
func NewWayTo(t testing.TB, network, addr, to string) *Way {
	t.Helper()
	w := &Way{network: network, at: addr, to: to, mode: Pass, conns: map[net.Conn]net.Conn{}}
	if err := w.open(); err != nil {
		t.Fatal(err)
	}
	w.at = w.listener.Addr().String() // the port stays the same over faults
	w.Addr = w.at
	t.Cleanup(func() { w.Set(Refuse) })
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

func (w *Way) open() error {
	l, err := net.Listen(w.network, w.at)
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
			_ = w.open() // the port may be taken meanwhile: then it stays refused
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
