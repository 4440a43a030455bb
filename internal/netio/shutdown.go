package netio

import (
	"errors"
	"fmt"
	"syscall"
)

func shutdownWrite(raw syscall.RawConn) error {
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = syscall.Shutdown(int(fd), syscall.SHUT_WR) }); err != nil {
		return fmt.Errorf("reaching the socket: %w", err)
	}
	if failed != nil {
		return fmt.Errorf("ending the stream: %w", failed)
	}
	return nil
}

// peekEnd looks at what is next to be read without taking it.
func peekEnd(raw syscall.RawConn) bool {
	ended := false
	err := raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == nil:
			ended = n == 0
		case !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR):
			ended = true
		}
	})
	return ended || err != nil
}
