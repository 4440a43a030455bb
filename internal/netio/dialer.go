package netio

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// maxConcurrentConnects is the number of connect system calls that may run at the same time.
	maxConcurrentConnects = 2
	// dialRetryInterval is the pause before a dial that failed for a local reason is retried.
	dialRetryInterval = 10 * time.Millisecond
)

// IsResourceExhausted reports whether an error means that this machine is temporarily out of
// descriptors, buffers or memory. Such an error says nothing about the peer.
func IsResourceExhausted(err error) bool {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.EAGAIN} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// isNoRoute reports whether an error means that this machine has no local address or no route
// for a dial. That may be temporary, or last as long as the peer has this address.
func isNoRoute(err error) bool {
	return errors.Is(err, syscall.EADDRNOTAVAIL) || errors.Is(err, syscall.ENETUNREACH)
}

// Dialer dials any number of connections at a time, but runs only a few connect system calls
// concurrently. A connect that blocks in the system for lack of a processor or of memory holds
// a thread; the runtime then creates another thread to run other goroutines, and never ends
// it. A dial that waits for the peer waits in the runtime's poller and holds no thread.
// NewDialer returns one; the zero value cannot dial.
type Dialer struct {
	// Control is called before each connect, like net.Dialer.Control; it may be nil. It must
	// be set before the first dial.
	Control      func(network, address string, c syscall.RawConn) error
	connectSlots chan struct{}
}

// NewDialer returns a Dialer without a Control.
func NewDialer() *Dialer { return &Dialer{connectSlots: make(chan struct{}, maxConcurrentConnects)} }

// Dial opens a connection without keep-alive. While this machine is out of resources it retries
// until ctx ends, and then returns that error.
func (d *Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return d.dialWithRetry(ctx, network, address, IsResourceExhausted)
}

// DialSoleAddress is like Dial for a peer that has only one address: it also retries while there
// is no route to it.
func (d *Dialer) DialSoleAddress(ctx context.Context, network, address string) (net.Conn, error) {
	return d.dialWithRetry(ctx, network, address, func(err error) bool { return IsResourceExhausted(err) || isNoRoute(err) })
}

// dialWithRetry dials until it succeeds, ctx ends, or it fails with an error that is not
// retryable.
func (d *Dialer) dialWithRetry(ctx context.Context, network, address string, retryable func(error) bool) (net.Conn, error) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var previous error
	for {
		conn, err := d.dial(ctx, network, address)
		if err != nil && previous != nil && deadlinePassed(ctx) {
			return nil, previous // a time-out would hide the cause of the failures
		}
		if err == nil || !retryable(err) {
			return conn, err
		}
		previous = err
		timer.Reset(dialRetryInterval)
		select {
		case <-ctx.Done():
			return nil, err
		case <-timer.C:
		}
	}
}

// deadlinePassed reports whether a context has ended or its deadline has passed. net.Dialer
// checks the deadline itself, and may find it passed before the context's own timer fires.
func deadlinePassed(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !time.Now().Before(deadline)
}

// dial is one attempt to connect, which waits for a connect slot first.
func (d *Dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	select {
	case d.connectSlots <- struct{}{}:
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
	connectCtx := &connectContext{Context: ctx, dialer: d}
	defer connectCtx.releaseSlot()
	netDialer := net.Dialer{KeepAlive: -1, ControlContext: connectCtx.control}
	return netDialer.DialContext(connectCtx, network, address)
}

// connectContext is the context of one dial. It releases the dial's connect slot once the connect
// system call has returned: from then on net.Dialer waits for the connection and for the
// context, and calls Done to do so. If it does not call Done, the slot is released at the end of
// the dial.
type connectContext struct {
	context.Context
	dialer      *Dialer
	connectNext atomic.Bool // Control has run, so connect is the next system call
	released    atomic.Bool
}

// control runs the dialer's Control and notes that connect is next.
func (c *connectContext) control(_ context.Context, network, address string, raw syscall.RawConn) error {
	var err error
	if c.dialer.Control != nil {
		err = c.dialer.Control(network, address, raw)
	}
	c.connectNext.Store(true)
	return err
}

// Done implements context.Context.
func (c *connectContext) Done() <-chan struct{} {
	if c.connectNext.Load() {
		c.releaseSlot()
	}
	return c.Context.Done()
}

// releaseSlot releases the connect slot, once.
func (c *connectContext) releaseSlot() {
	if !c.released.Swap(true) {
		<-c.dialer.connectSlots
	}
}
