package flightnode

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"onyxsail/broker"
	"onyxsail/decide"
	"onyxsail/internal/flightwire"
	"onyxsail/internal/testkit"
)

// Only the node's own trailer proves that an opened stream never ran: the transport
// generates the same status codes itself.
func TestStreamErrorsAreClassified(t *testing.T) {
	full := metadata.Pairs(flightwire.PartEndKey, flightwire.PartEndQueueFull)
	for _, c := range []struct {
		err     error
		trailer metadata.MD
		want    decide.Outcome
	}{
		{status.Error(codes.ResourceExhausted, "full"), full, decide.Rejected},
		{status.Error(codes.ResourceExhausted, "message larger than max"), nil, decide.Failed},
		{status.Error(codes.Unavailable, "transport is closing"), nil, decide.ConnectionLost},
		{fmt.Errorf("reading: %w", status.Error(codes.Unavailable, "cut")), nil, decide.ConnectionLost},
		{fmt.Errorf("reading: %w", io.ErrUnexpectedEOF), nil, decide.ConnectionLost},
		{status.Error(codes.DeadlineExceeded, ""), nil, decide.TimedOut},
		{status.Error(codes.Canceled, ""), nil, decide.Cancelled},
		{status.Error(codes.Internal, "failed"), nil, decide.Failed},
		{status.Error(codes.Internal, "failed"), metadata.Pairs(flightwire.PartEndKey, "other"), decide.Failed},
		{errors.New("schema"), nil, decide.ConnectionLost},
	} {
		if got := classify(c.err, c.trailer); got != c.want {
			t.Errorf("error %v, trailer %v: got outcome %d, want %d", c.err, c.trailer, got, c.want)
		}
	}
}

// sink records the outcomes of attempts, the latest value, and the outcomes of probes.
type sink struct {
	mu       sync.Mutex
	outcomes map[broker.AttemptID][]decide.Outcome
	value    string
	probes   []decide.Outcome
}

func (s *sink) AttemptOutcome(id broker.AttemptID, o decide.Outcome, a broker.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[id], s.value = append(s.outcomes[id], o), string(a.Value)
}

func (s *sink) ProbeOutcome(_ string, o decide.Outcome, _ time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probes = append(s.probes, o)
}

// Each way in which a part or probe can end is reported once, as its own outcome, and a
// node that has moved is reached at its new address.
func TestEachResultGetsItsOutcome(t *testing.T) {
	s := &sink{outcomes: map[broker.AttemptID][]decide.Outcome{}}
	c := New(Options{Sink: s, ConnectTimeout: 200 * time.Millisecond, MaxConns: 3, Log: zerolog.New(io.Discard)})
	defer c.Close()
	n := testkit.NewNode(t, "n", true)
	n.SetResponder(func(call testkit.Part) string {
		return []string{testkit.Done, testkit.Failed, testkit.Full, testkit.Disconnect, testkit.NeverAnswer}[call.Shard]
	})
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead.Close()
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and sends nothing
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	flightAddr := func(l net.Listener) string { return broker.FlightScheme + l.Addr().String() }
	c.Update([]broker.Node{{ID: "n", Addr: n.Addr}, {ID: "dead", Addr: flightAddr(dead)}, {ID: "silent", Addr: flightAddr(silent)}})
	id := broker.AttemptID(0)
	send := func(node string, shard int, wait time.Duration) broker.AttemptID {
		id++
		c.Send(node, []broker.Attempt{{ID: id, RequestID: "q", Shard: shard, IdempotencyKey: "k", Text: []byte("x\x00y"), Timeout: wait}})
		return id
	}
	expect := func(id broker.AttemptID, want decide.Outcome) {
		t.Helper()
		testkit.Eventually(t, "an outcome", func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return len(s.outcomes[id]) > 0
		})
		s.mu.Lock()
		defer s.mu.Unlock()
		if len(s.outcomes[id]) != 1 || s.outcomes[id][0] != want {
			t.Errorf("attempt %d: outcomes %v, want %d once", id, s.outcomes[id], want)
		}
	}
	expect(send("n", 0, time.Minute), decide.OK)
	if call := n.Parts()[0]; s.value != testkit.ShardValue(0) || call.ID != "q.0" || call.Key != "k" || call.Query != "x\x00y" {
		t.Errorf("got value %q from part %+v, want the node's value and the fields that were sent", s.value, call)
	}
	expect(send("n", 1, time.Minute), decide.Failed)
	expect(send("n", 2, time.Minute), decide.Rejected)
	expect(send("n", 3, time.Minute), decide.ConnectionLost) // the value had arrived, the end of the stream had not
	expect(send("n", 4, 300*time.Millisecond), decide.TimedOut)
	expect(send("dead", 0, time.Minute), decide.Unreachable)
	expect(send("silent", 0, time.Minute), decide.Unreachable)
	expect(send("unlisted", 0, time.Minute), decide.Unreachable)
	cancelled := send("n", 4, time.Minute)
	n.WaitFor(t, "the part", func() bool { return len(n.Parts()) == 6 })
	c.Cancel("n", cancelled)
	expect(cancelled, decide.Cancelled)
	n.WaitFor(t, "the part is cancelled", func() bool { return len(n.Cancelled()) >= 2 })
	c.Probe("n")
	c.Probe("dead")
	testkit.Eventually(t, "both probes", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.probes) == 2 && s.probes[0]+s.probes[1] == decide.OK+decide.Unreachable
	})
	// The node is reached under its id at another address.
	moved := testkit.NewNode(t, "n", true)
	c.Update([]broker.Node{{ID: "n", Addr: moved.Addr}})
	expect(send("n", 0, time.Minute), decide.OK)
	if len(moved.Parts()) != 1 {
		t.Error("the part went to the old address")
	}
}

// With more nodes listed than connections allowed, the connection that has been idle the
// longest is closed to make room. If none is idle, the part is not sent and its node is not
// blamed.
func TestMoreNodesThanConnections(t *testing.T) {
	s := &sink{outcomes: map[broker.AttemptID][]decide.Outcome{}}
	c := New(Options{Sink: s, ConnectTimeout: time.Second, MaxConns: 2, Log: zerolog.New(io.Discard)})
	defer c.Close()
	var listed []broker.Node
	for i := range 5 {
		n := testkit.NewNode(t, fmt.Sprint(i), true)
		n.SetResponder(func(call testkit.Part) string {
			if call.Shard >= 100 {
				return testkit.NeverAnswer
			}
			return testkit.Done
		})
		listed = append(listed, broker.Node{ID: n.ID, Addr: n.Addr})
	}
	c.Update(listed)
	send := func(node, shard int, want decide.Outcome) {
		t.Helper()
		id := broker.AttemptID(shard + 1)
		c.Send(listed[node].ID, []broker.Attempt{{ID: id, RequestID: "q", Shard: shard, Text: []byte("x"), Timeout: 20 * time.Second}})
		if shard >= 100 && want == decide.OK {
			return // it stays open
		}
		testkit.Eventually(t, "the outcome", func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return len(s.outcomes[id]) == 1
		})
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.outcomes[id][0] != want {
			t.Errorf("part %d at node %d: outcome %d, want %d", shard, node, s.outcomes[id][0], want)
		}
	}
	for i := range 15 {
		send(i%5, i, decide.OK)
	}
	send(0, 100, decide.OK)
	send(1, 101, decide.OK)
	send(2, 102, decide.NotSent)
}
