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

// Only the node's own trailer proves that an opened stream never ran: the
// transport makes up the same codes itself.
func TestClassification(t *testing.T) {
	full := metadata.Pairs(flightwire.EndKey, flightwire.EndFull)
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
		{status.Error(codes.Internal, "failed"), metadata.Pairs(flightwire.EndKey, "other"), decide.Failed},
		{errors.New("schema"), nil, decide.ConnectionLost},
	} {
		if got := outcome(c.err, c.trailer); got != c.want {
			t.Errorf("%v, %v: got %d, want %d", c.err, c.trailer, got, c.want)
		}
	}
}

type sink struct {
	mu     sync.Mutex
	got    map[broker.AttemptID][]decide.Outcome
	value  string
	probes []decide.Outcome
}

func (s *sink) Outcome(id broker.AttemptID, o decide.Outcome, a broker.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.got[id], s.value = append(s.got[id], o), string(a.Value)
}

func (s *sink) Probed(_ string, o decide.Outcome, _ time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probes = append(s.probes, o)
}

func TestOutcomes(t *testing.T) {
	s := &sink{got: map[broker.AttemptID][]decide.Outcome{}}
	c := New(Options{Sink: s, ConnectTimeout: 200 * time.Millisecond, MaxConns: 3, Log: zerolog.New(io.Discard)})
	defer c.Close()
	n := testkit.NewNode(t, "n", true)
	n.Work(func(call testkit.Call) string {
		return []string{testkit.Done, testkit.Fail, testkit.Full, testkit.Break, testkit.Silent}[call.Shard]
	})
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead.Close()
	mute, err := net.Listen("tcp", "127.0.0.1:0") // takes connections and says nothing
	if err != nil {
		t.Fatal(err)
	}
	defer mute.Close()
	scheme := func(l net.Listener) string { return broker.FlightScheme + l.Addr().String() }
	c.Update([]broker.Node{{ID: "n", Addr: n.Addr}, {ID: "dead", Addr: scheme(dead)}, {ID: "mute", Addr: scheme(mute)}})
	id := broker.AttemptID(0)
	send := func(node string, shard int, wait time.Duration) broker.AttemptID {
		id++
		c.Send(node, []broker.Attempt{{ID: id, Query: "q", Shard: shard, Key: "k", Text: []byte("x\x00y"), Wait: wait}})
		return id
	}
	expect := func(id broker.AttemptID, want decide.Outcome) {
		t.Helper()
		testkit.Eventually(t, "an outcome", func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return len(s.got[id]) > 0
		})
		s.mu.Lock()
		defer s.mu.Unlock()
		if len(s.got[id]) != 1 || s.got[id][0] != want {
			t.Errorf("attempt %d: outcomes %v, want %d once", id, s.got[id], want)
		}
	}
	expect(send("n", 0, time.Minute), decide.OK)
	if call := n.Calls()[0]; s.value != testkit.Value(0) || call.ID != "q.0" || call.Key != "k" || call.Text != "x\x00y" {
		t.Errorf("value %q, call %+v", s.value, call)
	}
	expect(send("n", 1, time.Minute), decide.Failed)
	expect(send("n", 2, time.Minute), decide.Rejected)
	expect(send("n", 3, time.Minute), decide.ConnectionLost) // the value had come, its end had not
	expect(send("n", 4, 300*time.Millisecond), decide.TimedOut)
	expect(send("dead", 0, time.Minute), decide.Unreachable)
	expect(send("mute", 0, time.Minute), decide.Unreachable)
	expect(send("unlisted", 0, time.Minute), decide.Unreachable)
	off := send("n", 4, time.Minute)
	n.Wait(t, "the part", func() bool { return len(n.Calls()) == 6 })
	c.Cancel("n", off)
	expect(off, decide.Cancelled)
	n.Wait(t, "the part given up", func() bool { return len(n.GivenUp()) >= 2 })
	c.Probe("n")
	c.Probe("dead")
	testkit.Eventually(t, "both probes", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.probes) == 2 && s.probes[0]+s.probes[1] == decide.OK+decide.Unreachable
	})
	// The node is the same under its id at another address.
	moved := testkit.NewNode(t, "n", true)
	c.Update([]broker.Node{{ID: "n", Addr: moved.Addr}})
	expect(send("n", 0, time.Minute), decide.OK)
	if len(moved.Calls()) != 1 {
		t.Error("the part went to the old address")
	}
}

// More nodes are listed than connections may be open: the one that has rested the
// longest makes room. Where none rests the part is not sent, and its node is not blamed.
func TestNodesBeyondThePool(t *testing.T) {
	s := &sink{got: map[broker.AttemptID][]decide.Outcome{}}
	c := New(Options{Sink: s, ConnectTimeout: time.Second, MaxConns: 2, Log: zerolog.New(io.Discard)})
	defer c.Close()
	var list []broker.Node
	for i := range 5 {
		n := testkit.NewNode(t, fmt.Sprint(i), true)
		n.Work(func(call testkit.Call) string {
			if call.Shard >= 100 {
				return testkit.Silent
			}
			return testkit.Done
		})
		list = append(list, broker.Node{ID: n.ID, Addr: n.Addr})
	}
	c.Update(list)
	send := func(node, shard int, want decide.Outcome) {
		t.Helper()
		id := broker.AttemptID(shard + 1)
		c.Send(list[node].ID, []broker.Attempt{{ID: id, Query: "q", Shard: shard, Text: []byte("x"), Wait: 20 * time.Second}})
		if shard >= 100 && want == decide.OK {
			return // it stays out
		}
		testkit.Eventually(t, "the outcome", func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return len(s.got[id]) == 1
		})
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.got[id][0] != want {
			t.Errorf("part %d at node %d: outcome %d, want %d", shard, node, s.got[id][0], want)
		}
	}
	for i := range 15 {
		send(i%5, i, decide.OK)
	}
	send(0, 100, decide.OK)
	send(1, 101, decide.OK)
	send(2, 102, decide.NotSent)
}
