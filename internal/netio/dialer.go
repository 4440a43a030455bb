package netio

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
)

// startsAtOnce is how many connects may be in the system at once.
const startsAtOnce = 2

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

// Dial makes a connection without keep-alive.
func (d *Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
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
