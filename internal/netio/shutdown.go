package netio

import (
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
