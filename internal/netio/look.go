package netio

// Looks at a socket that take nothing from it.

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// peek looks for a byte to be read, without taking it; 0 is the other side's end.
func peek(fd uintptr) (int, error) {
	for {
		n, _, err := recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// Waiting says whether a connection that the system has taken waits to be accepted.
func Waiting(l syscall.Conn) bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	waits := false
	err = raw.Control(func(fd uintptr) { waits = shows(fd, unix.POLLIN) })
	return waits && err == nil
}

// shows says whether a descriptor shows one of the events just now.
func shows(fd uintptr, events int16) bool {
	look := []unix.PollFd{{Fd: int32(fd), Events: events}}
	for {
		n, err := poll(look, 0)
		if !errors.Is(err, unix.EINTR) {
			return err == nil && n > 0 && look[0].Revents&events != 0
		}
	}
}

// The system's calls that look at a descriptor; tests put others in their place.
var (
	recvfrom = syscall.Recvfrom
	poll     = unix.Poll
)
