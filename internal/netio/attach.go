package netio

// How a connection changes hands, from the standard library to the engine.

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// Attach moves an open connection onto the loop. set, if not nil, is called
// with the Conn before the first event can come, once more where the system lacks
// something for a moment and the connection is tried again; only after Attach has
// returned, or from an event, may the Conn be written to. If Attach fails
// after set, the handler's Closed still comes.
func (l *Loop) Attach(conn net.Conn, h Handler, set func(*Conn)) (*Conn, error) {
	began := time.Now()
	for {
		c, kept, err := l.attach(conn, h, set)
		if err == nil {
			return c, nil
		}
		if kept == nil || !LocalFailure(err) || time.Since(began) > attachWithin {
			if kept != nil {
				_ = kept.Close()
			}
			if c != nil && c.leave() {
				l.hand.do(func() { h.Closed(err) })
			}
			return nil, err
		}
		conn = kept
		time.Sleep(attachAgain)
	}
}

// attach is one try of Attach. With an error come the connection, where it is still open,
// and the Conn, where set has been called.
func (l *Loop) attach(conn net.Conn, h Handler, set func(*Conn)) (c *Conn, kept net.Conn, err error) {
	l.taking.Lock()
	defer l.taking.Unlock()
	spare, err := duplicate(conn) // the engine closes what it cannot add
	if err != nil {
		return nil, conn, fmt.Errorf("taking over a connection: %w", err)
	}
	nc, err := l.take(conn)
	if err != nil {
		_ = syscall.Close(spare)
		return nil, conn, fmt.Errorf("taking over a connection: %w", err)
	}
	c = &Conn{l: l, nc: nc, h: h}
	c.adding.Store(true)
	nc.SetSession(c)
	if set != nil {
		set(c)
	}
	l.fence.Add(1)
	// While there is a second descriptor the system goes on to tell of the first, after its
	// close too, and so of the connection that gets its number: the engine must not come to
	// an end of this one before. It takes this lock before each read.
	c.using.Lock()
	defer c.using.Unlock()
	defer syscall.Close(spare)
	if err := l.add(nc); err != nil {
		kept, lost := connOf(spare)
		return c, kept, errors.Join(fmt.Errorf("adding a connection: %w", err), lost)
	}
	c.adding.Store(false)
	return c, nil, nil
}

// duplicate returns a second descriptor of a connection.
func duplicate(conn net.Conn) (int, error) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return -1, errNoDescriptor
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return -1, fmt.Errorf("reaching the socket: %w", err)
	}
	copied, failed := -1, error(nil)
	if err := raw.Control(func(fd uintptr) { copied, failed = syscall.Dup(int(fd)) }); err != nil {
		return -1, fmt.Errorf("reaching the socket: %w", err)
	}
	return copied, failed
}

// connOf makes a connection of a descriptor, which stays open beside it.
func connOf(fd int) (net.Conn, error) {
	copied, err := syscall.Dup(fd)
	if err != nil {
		return nil, fmt.Errorf("keeping a connection: %w", err)
	}
	f := os.NewFile(uintptr(copied), "connection")
	defer f.Close()
	return net.FileConn(f)
}

var errNoDescriptor = errors.New("a connection without a descriptor")
