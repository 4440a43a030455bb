package netio

// Checks of a socket's state that read nothing from it.

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// peekByte returns the number of bytes that can be read, at most 1, without reading them. 0
// without an error means that the peer has closed its sending side.
func peekByte(fd uintptr) (int, error) {
	for {
		n, _, err := recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// HasPendingConn reports whether a connection is waiting in a listener's accept queue; false if
// that cannot be checked.
func HasPendingConn(l syscall.Conn) bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	err = raw.Control(func(fd uintptr) { pending = hasEvents(fd, unix.POLLIN) })
	return pending && err == nil
}

// PendingConns returns the number of connections that wait in a listener's accept queue; 0 if the
// system does not report it.
func PendingConns(l syscall.Conn) int {
	pending := 0
	controlFD(l, func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && info.State == tcpListen {
			pending = int(info.Unacked)
		}
	})
	return pending
}

// tcpListen is the state of a listening socket in tcp_info, whose field for unacknowledged segments
// holds the length of the accept queue then.
const tcpListen = 10

// hasEvents reports whether poll returns one of the events for a descriptor right now.
func hasEvents(fd uintptr, events int16) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
	for {
		n, err := poll(fds, 0)
		if !errors.Is(err, unix.EINTR) {
			return err == nil && n > 0 && fds[0].Revents&events != 0
		}
	}
}

// The system calls that check a descriptor; tests replace them.
var (
	recvfrom = syscall.Recvfrom
	poll     = unix.Poll
)
