package netio

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A listener that temporarily cannot be opened is retried every listenRetryInterval for
// listenRetryTimeout: a start may take some seconds, and an address that does not exist is
// reported after that time.
const (
	listenRetryInterval = 20 * time.Millisecond
	listenRetryTimeout  = 3 * time.Second
)

// openListener opens a TCP listener; tests replace it.
var openListener = func(config net.ListenConfig, addr string) (net.Listener, error) {
	return config.Listen(context.Background(), "tcp", addr)
}

// Listen opens a TCP listener at a host and port. It retries for up to listenRetryTimeout while
// the system is out of resources or does not have the address.
func Listen(addr string) (*net.TCPListener, error) { return listenWithRetry(net.ListenConfig{}, addr) }

// ListenReusePort is like Listen with SO_REUSEPORT: several listeners may share the address, and
// the system assigns each new connection to one of them.
func ListenReusePort(addr string) (*net.TCPListener, error) {
	return listenWithRetry(net.ListenConfig{Control: setReusePort}, addr)
}

// listenWithRetry opens a listener and retries on temporary errors.
func listenWithRetry(config net.ListenConfig, addr string) (*net.TCPListener, error) {
	for start := time.Now(); ; time.Sleep(listenRetryInterval) {
		l, err := openListener(config, addr)
		if err == nil {
			return l.(*net.TCPListener), nil
		}
		temporary := IsResourceExhausted(err) || errors.Is(err, syscall.EADDRNOTAVAIL)
		if !temporary || time.Since(start) > listenRetryTimeout {
			return nil, err
		}
	}
}

// setReusePort is the Control of a net.ListenConfig that sets SO_REUSEPORT.
func setReusePort(_, _ string, c syscall.RawConn) error {
	var optErr error
	if err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}); err != nil {
		return err
	}
	return optErr
}
