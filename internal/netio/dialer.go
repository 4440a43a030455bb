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
	// startsAtOnce is how many connects may be in the system at once.
	startsAtOnce = 2
	// dialAgain is the pause before a dial is tried again that has failed on this machine.
	dialAgain = 10 * time.Millisecond
)

// LocalFailure says whether an error means that this machine lacks descriptors, buffers
// or memory for the moment: it tells nothing of the other side.
func LocalFailure(err error) bool {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.EAGAIN} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// noWay says whether an error means that this machine has no address or no route to dial
// from: for a moment, or for as long as the other side's address is what it is.
func noWay(err error) bool {
	return errors.Is(err, syscall.EADDRNOTAVAIL) || errors.Is(err, syscall.ENETUNREACH)
}

// Dialer makes connections, any number at a time, of which only a few are being
// begun: a connect that the system lets wait, for want of a processor or of memory,
// holds a thread, the runtime makes another for whoever runs next, and threads stay.
// What waits for the other side waits in the runtime's poller and holds none.
type Dialer struct {
	// Control is called before each connect, as that of net.Dialer; it may be nil.
	Control func(network, address string, c syscall.RawConn) error
	starts  chan struct{}
}

// NewDialer returns a dialer.
func NewDialer() *Dialer { return &Dialer{starts: make(chan struct{}, startsAtOnce)} }

// Dial makes a connection without keep-alive. What fails for want of something on this
// machine is tried again until ctx ends, and fails with that error then.
func (d *Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return d.again(ctx, network, address, LocalFailure)
}

// DialOnly does so for an address that is the only one: it is tried again as well where
// there is no way to it.
func (d *Dialer) DialOnly(ctx context.Context, network, address string) (net.Conn, error) {
	return d.again(ctx, network, address, func(err error) bool { return LocalFailure(err) || noWay(err) })
}

// again dials until it succeeds, ctx ends, or it fails with an error that may not pass.
func (d *Dialer) again(ctx context.Context, network, address string, passes func(error) bool) (net.Conn, error) {
	pause := time.NewTimer(time.Hour)
	defer pause.Stop()
	var before error
	for {
		conn, err := d.dial(ctx, network, address)
		if err != nil && before != nil && over(ctx) {
			return nil, before // that its time is over does not tell what it failed for
		}
		if err == nil || !passes(err) {
			return conn, err
		}
		before = err
		pause.Reset(dialAgain)
		select {
		case <-ctx.Done():
			return nil, err
		case <-pause.C:
		}
	}
}

// over says whether a context's time is over. The system's dialer looks at the deadline
// itself, and may see it pass before the context's own timer fires.
func over(ctx context.Context) bool {
	deadline, bounded := ctx.Deadline()
	return ctx.Err() != nil || bounded && !time.Now().Before(deadline)
}

func (d *Dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	select {
	case d.starts <- struct{}{}:
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
	s := &start{Context: ctx, d: d}
	defer s.begun()
	nd := net.Dialer{KeepAlive: -1, ControlContext: s.control}
	return nd.DialContext(s, network, address)
}

// start is the context of one dial, which tells when its connect has returned: from
// then on the standard dialer waits for the context's end beside the connection's.
// Would it not ask, the start would be over with the dial.
type start struct {
	context.Context
	d     *Dialer
	armed atomic.Bool // connect comes next
	over  atomic.Bool
}

func (s *start) control(_ context.Context, network, address string, c syscall.RawConn) error {
	var err error
	if s.d.Control != nil {
		err = s.d.Control(network, address, c)
	}
	s.armed.Store(true)
	return err
}

// Done implements context.Context.
func (s *start) Done() <-chan struct{} {
	if s.armed.Load() {
		s.begun()
	}
	return s.Context.Done()
}

func (s *start) begun() {
	if !s.over.Swap(true) {
		<-s.d.starts
	}
}
