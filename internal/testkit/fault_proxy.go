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

// The modes of a FaultProxy.
const (
	Forward           = "pass"   // forward all data
	Refuse            = "refuse" // do not listen, so that connections are refused
	Stall             = "stall"  // accept connections, but discard all data
	ResetMidRequest   = "half"   // forward half of the next chunk from the client, then reset the connection
	ResetAfterRequest = "full"   // forward the next chunk from the client, then reset the connection before a response can arrive
)

// FaultProxy is a proxy in front of one address of a node that can inject connection faults.
type FaultProxy struct {
	Addr string // in the form used in the discovery list

	t                           testing.TB
	network, listenAddr, target string // of the proxy and of the node; addresses without a scheme
	scheme                      string
	reservedFD                  int // a bound socket that reserves the port while the proxy does not listen; -1: none
	mu                          sync.Mutex
	mode                        string
	listener                    net.Listener
	conns                       map[net.Conn]net.Conn // from the client's connection to the node's
}

// NewFaultProxyTo starts a proxy that listens at addr (network "tcp" or "unix") and forwards to
// the TCP address target. It is closed when the test ends.
func NewFaultProxyTo(t testing.TB, network, addr, target string) *FaultProxy {
	t.Helper()
	p := &FaultProxy{t: t, network: network, listenAddr: addr, target: target, reservedFD: -1, mode: Forward, conns: map[net.Conn]net.Conn{}}
	if err := p.listen(); err != nil {
		t.Fatal(err)
	}
	p.listenAddr = p.listener.Addr().String() // the proxy listens at the same port again after Refuse
	p.Addr = p.listenAddr
	if l, ok := p.listener.(*net.TCPListener); ok {
		if err := p.reservePort(l.Addr().(*net.TCPAddr)); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() {
		p.SetMode(Refuse)
		if p.reservedFD >= 0 {
			_ = unix.Close(p.reservedFD)
		}
	})
	return p
}

// NewFaultProxy starts a proxy that listens at addr (network "tcp" or "unix") in front of a
// node's first address. Its Addr has the scheme that the node's protocol needs.
func NewFaultProxy(t testing.TB, network, addr string, n *Node) *FaultProxy {
	t.Helper()
	p := NewFaultProxyTo(t, network, addr, n.listener.Addr().String())
	switch {
	case network == "unix" && n.grpcServer != nil:
		p.Addr = "grpc+unix:" + p.listenAddr
	case network == "unix":
		p.Addr = "unix:" + p.listenAddr
	case n.grpcServer != nil:
		p.Addr = "grpc+tcp://" + p.listenAddr
	}
	return p
}

// reservePort binds a second socket to the proxy's port and never listens on it. While the
// proxy refuses connections, the system refuses them at this port, and no other process can
// take the port: otherwise a node or broker of another test could answer there.
func (p *FaultProxy) reservePort(addr *net.TCPAddr) error {
	family, sockaddr := unix.AF_INET, unix.Sockaddr(&unix.SockaddrInet4{Port: addr.Port, Addr: [4]byte(addr.IP.To16()[12:])})
	if addr.IP.To4() == nil {
		family, sockaddr = unix.AF_INET6, &unix.SockaddrInet6{Port: addr.Port, Addr: [16]byte(addr.IP)}
	}
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return fmt.Errorf("reserving the proxy's port: %w", err)
	}
	p.reservedFD = fd
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err != nil {
		return fmt.Errorf("reserving the proxy's port: %w", err)
	}
	if err := unix.Bind(fd, sockaddr); err != nil {
		return fmt.Errorf("reserving the proxy's port: %w", err)
	}
	return nil
}

// setReusePort sets SO_REUSEPORT, so that the proxy can listen at the port that it has reserved.
func setReusePort(network, _ string, c syscall.RawConn) error {
	if network == "unix" {
		return nil
	}
	var optErr error
	if err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}); err != nil {
		return err
	}
	return optErr
}

// listen opens the listener and accepts connections until it is closed.
func (p *FaultProxy) listen() error {
	config := net.ListenConfig{Control: setReusePort}
	l, err := config.Listen(context.Background(), p.network, p.listenAddr)
	if err != nil {
		return err
	}
	p.listener = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return nil
}

// SetMode changes the mode, also for connections that are already open; Refuse resets these.
func (p *FaultProxy) SetMode(mode string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode = mode; mode != Refuse {
		if p.listener == nil {
			if err := p.listen(); err != nil { // not expected: the port is reserved, and the path belongs to the test
				p.t.Errorf("reopening the proxy at %s: %v", p.Addr, err)
			}
		}
		return
	}
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
	for client, node := range p.conns {
		resetConn(client)
		_ = node.Close()
	}
}

// currentMode returns the mode.
func (p *FaultProxy) currentMode() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// forward copies data in both directions between a client and the node. The mode is looked up
// for each chunk.
func (p *FaultProxy) forward(client net.Conn) {
	node, err := net.Dial("tcp", p.target)
	if err != nil {
		resetConn(client)
		return
	}
	p.mu.Lock()
	p.conns[client] = node
	p.mu.Unlock()
	defer func() {
		resetConn(client)
		_ = node.Close()
		p.mu.Lock()
		delete(p.conns, client)
		p.mu.Unlock()
	}()
	go func() { // responses
		defer client.Close()
		buf := make([]byte, 16<<10)
		for {
			count, err := node.Read(buf)
			if mode := p.currentMode(); count > 0 && mode == Forward {
				_, _ = client.Write(buf[:count])
			} else if count > 0 && mode != Stall || err != nil {
				return
			}
		}
	}()
	buf := make([]byte, 16<<10)
	for {
		count, err := client.Read(buf)
		if err != nil {
			return
		}
		switch p.currentMode() {
		case Forward:
			_, _ = node.Write(buf[:count])
		case Stall:
		case ResetMidRequest:
			_, _ = node.Write(buf[:count/2])
			return
		default:
			_, _ = node.Write(buf[:count])
			return
		}
	}
}
