package netio

// Moving a connection from the standard library to the engine.

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// Attach moves an open connection onto the loop and takes it over: conn must not be used
// afterwards, and is closed if Attach fails. setup, if not nil, is called with the new Conn before
// its first event; it is called again with another Conn if the system was out of resources and
// the attempt is repeated, which goes on for up to attachTimeout. The Conn may be written to only
// once Attach has returned or from an event. If the last attempt fails after its Conn was created,
// the handler's Closed is still called.
func (l *Loop) Attach(conn net.Conn, h Handler, setup func(*Conn)) (*Conn, error) {
	start := time.Now()
	for {
		c, openConn, err := l.tryAttach(conn, h, setup)
		if err == nil {
			return c, nil
		}
		if openConn == nil || !IsResourceExhausted(err) || time.Since(start) > attachTimeout {
			if openConn != nil {
				_ = openConn.Close()
			}
			if c != nil && c.markClosed() {
				l.worker.enqueue(func() { h.Closed(err) })
			}
			return nil, err
		}
		conn = openConn
		time.Sleep(attachRetryInterval)
	}
}

// tryAttach is one attempt of Attach. On an error it returns the connection if that is still
// open, and the Conn if one was created.
func (l *Loop) tryAttach(conn net.Conn, h Handler, setup func(*Conn)) (c *Conn, openConn net.Conn, err error) {
	l.attachMu.Lock()
	defer l.attachMu.Unlock()
	spareFD, err := dupFD(conn) // the engine closes a connection that it cannot add
	if err != nil {
		return nil, conn, fmt.Errorf("attaching a connection: %w", err)
	}
	nbConn, err := l.wrapConn(conn)
	if err != nil {
		_ = syscall.Close(spareFD)
		return nil, conn, fmt.Errorf("attaching a connection: %w", err)
	}
	c = &Conn{loop: l, nbConn: nbConn, handler: h}
	c.attaching.Store(true)
	nbConn.SetSession(c)
	if setup != nil {
		setup(c)
	}
	l.fence.Add(1)
	// As long as the duplicate is open, epoll keeps reporting events for the first descriptor
	// even after that was closed, and they would be taken for events of the connection that
	// reuses its number. So the engine must not close this connection before the duplicate is
	// closed: it takes this lock before each read.
	c.fdMu.Lock()
	defer c.fdMu.Unlock()
	defer syscall.Close(spareFD)
	if err := l.addConn(nbConn); err != nil {
		openConn, connErr := connFromFD(spareFD)
		return c, openConn, errors.Join(fmt.Errorf("adding a connection to the network engine: %w", err), connErr)
	}
	c.attaching.Store(false)
	return c, nil, nil
}

// dupFD duplicates the file descriptor of a connection.
func dupFD(conn net.Conn) (int, error) {
	rawConner, ok := conn.(syscall.Conn)
	if !ok {
		return -1, errNoFD
	}
	raw, err := rawConner.SyscallConn()
	if err != nil {
		return -1, fmt.Errorf("accessing the socket: %w", err)
	}
	copyFD, dupErr := -1, error(nil)
	if err := raw.Control(func(fd uintptr) { copyFD, dupErr = syscall.Dup(int(fd)) }); err != nil {
		return -1, fmt.Errorf("accessing the socket: %w", err)
	}
	return copyFD, dupErr
}

// connFromFD returns a connection on a duplicate of fd; fd itself stays open.
func connFromFD(fd int) (net.Conn, error) {
	copyFD, err := syscall.Dup(fd)
	if err != nil {
		return nil, fmt.Errorf("duplicating a connection: %w", err)
	}
	f := os.NewFile(uintptr(copyFD), "connection")
	defer f.Close()
	return net.FileConn(f)
}

var errNoFD = errors.New("connection has no file descriptor")
