package netio

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A listener that the system can't open for a moment is tried again every listenAgain, for
// listenWithin: a start has some seconds, and an address that is not there is told then.
const (
	listenAgain  = 20 * time.Millisecond
	listenWithin = 3 * time.Second
)

// openListener opens a socket; a test puts another in its place.
var openListener = func(config net.ListenConfig, addr string) (net.Listener, error) {
	return config.Listen(context.Background(), "tcp", addr)
}

// Listen opens a TCP listener at a host and port, again where the system lacks something
// for a moment.
func Listen(addr string) (*net.TCPListener, error) { return listenPatiently(net.ListenConfig{}, addr) }

// ListenShared opens a TCP listener beside others of the same address that share it too,
// as SO_REUSEPORT has it: the system hands each new connection to one of them.
func ListenShared(addr string) (*net.TCPListener, error) {
	return listenPatiently(net.ListenConfig{Control: reusePort}, addr)
}

func listenPatiently(config net.ListenConfig, addr string) (*net.TCPListener, error) {
	for began := time.Now(); ; time.Sleep(listenAgain) {
		l, err := openListener(config, addr)
		if err == nil {
			return l.(*net.TCPListener), nil
		}
		passes := LocalFailure(err) || errors.Is(err, syscall.EADDRNOTAVAIL)
		if !passes || time.Since(began) > listenWithin {
			return nil, err
		}
	}
}

func reusePort(_, _ string, c syscall.RawConn) error {
	var failed error
	if err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}); err != nil {
		return err
	}
	return failed
}
