package nodeclient

import (
	"io"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"onyxsail/broker"
	"onyxsail/decide"
	"onyxsail/internal/netio"
	"onyxsail/internal/testkit"
)

// A dial that fails on this machine for lack of a descriptor, a port, memory or a route
// must not be blamed on the node, nor cost the attempt if the failure is brief: the part is
// sent once the failure has passed. A failure that lasts is reported as the node's only if
// its address may be the cause.
func TestLocalDialFailuresAreNotBlamedOnTheNode(t *testing.T) {
	const lasting = 1 << 20 // more failures than dials fit into the connect timeout
	for _, c := range []struct {
		name  string
		err   syscall.Errno
		times int64
		want  decide.Outcome
	}{
		{"EMFILE", syscall.EMFILE, 3, decide.OK},
		{"ENFILE", syscall.ENFILE, 3, decide.OK},
		{"ENOBUFS", syscall.ENOBUFS, 3, decide.OK},
		{"ENOMEM", syscall.ENOMEM, 3, decide.OK},
		{"EADDRNOTAVAIL", syscall.EADDRNOTAVAIL, 3, decide.OK},
		{"ENETUNREACH", syscall.ENETUNREACH, 3, decide.OK},
		{"lasting EMFILE", syscall.EMFILE, lasting, decide.NotSent},
		{"lasting ENETUNREACH", syscall.ENETUNREACH, lasting, decide.Unreachable},
		{"ECONNREFUSED", syscall.ECONNREFUSED, 1, decide.Unreachable},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			loop, err := netio.New(1 << 20)
			if err != nil {
				t.Fatal(err)
			}
			var failures atomic.Int64
			failures.Store(c.times)
			d := netio.NewDialer()
			d.Control = func(string, string, syscall.RawConn) error {
				if failures.Add(-1) >= 0 {
					return os.NewSyscallError("connect", c.err)
				}
				return nil
			}
			s := &sink{outcomes: map[broker.AttemptID]decide.Outcome{}}
			client := New(Options{Loop: loop, Sink: s, Dialer: d, StreamsPerConn: 8, ConnectTimeout: 250 * time.Millisecond, MaxConns: 4, Log: zerolog.New(io.Discard)})
			t.Cleanup(func() {
				client.Close()
				loop.Stop()
			})
			n := testkit.NewNode(t, "n", false)
			client.Update([]broker.Node{{ID: "n", Addr: n.Addr}})
			client.send("n", attempt(1))
			s.expect(t, 1, c.want)
			if calls := n.Parts(); c.want != decide.OK && len(calls) != 0 {
				t.Errorf("the node got %+v, want nothing", calls)
			}
		})
	}
}
