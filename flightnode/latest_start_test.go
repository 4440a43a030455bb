package flightnode

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"onyxsail/broker"
	"onyxsail/decide"
	"onyxsail/internal/testkit"
)

// gatedAddr returns an address that forwards to a node only once open is called: until then
// connections are accepted, but the node's SETTINGS frame does not arrive.
func gatedAddr(t *testing.T, to *testkit.Node) (addr string, open func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	opened := make(chan struct{})
	var once sync.Once
	open = func() { once.Do(func() { close(opened) }) }
	var goroutines sync.WaitGroup
	t.Cleanup(func() {
		l.Close()
		open()
		goroutines.Wait()
	})
	goroutines.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			goroutines.Go(func() {
				defer c.Close()
				<-opened
				node, err := net.Dial("tcp", strings.TrimPrefix(to.Addr, broker.FlightScheme))
				if err != nil {
					return
				}
				defer node.Close()
				back := make(chan struct{})
				go func() {
					defer close(back)
					_, _ = io.Copy(c, node) // ends when either side closes
					_ = c.Close()
				}()
				_, _ = io.Copy(node, c)
				_ = node.Close()
				<-back
			})
		}
	})
	return broker.FlightScheme + l.Addr().String(), open
}

// A part that waits for a connection past its latest start, as a retry after its class's
// window or for a node that is draining or no longer listed, must not be sent and counts as
// never run.
func TestPartsPastTheirLatestStartAreNotSent(t *testing.T) {
	s := &sink{outcomes: map[broker.AttemptID][]decide.Outcome{}}
	c := New(Options{Sink: s, ConnectTimeout: 20 * time.Second, MaxConns: 8, Log: zerolog.New(io.Discard)})
	defer c.Close()
	var list []broker.Node
	var nodes []*testkit.Node
	var opens []func()
	for _, id := range []string{"n", "drained", "gone"} {
		n := testkit.NewNode(t, id, true)
		addr, open := gatedAddr(t, n)
		nodes, opens, list = append(nodes, n), append(opens, open), append(list, broker.Node{ID: id, Addr: addr})
	}
	c.Update(list)
	send := func(id int, node string, latest time.Time) {
		c.Send(node, []broker.Attempt{{ID: broker.AttemptID(id), Node: node, RequestID: "q", Shard: id, Text: []byte("x"), Timeout: time.Minute, LatestStart: latest}})
	}
	send(1, "n", time.Now())
	send(2, "n", time.Time{})
	send(3, "drained", time.Time{})
	send(4, "gone", time.Time{})
	list[1].Latest = time.Now()
	c.Update(list[:2])
	for _, open := range opens {
		open()
	}
	testkit.Eventually(t, "all attempts end", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.outcomes) == 4
	})
	for id, want := range map[broker.AttemptID]decide.Outcome{1: decide.NotSent, 2: decide.OK, 3: decide.NotSent, 4: decide.NotSent} {
		if got := s.outcomes[id]; len(got) != 1 || got[0] != want {
			t.Errorf("attempt %d: outcomes %v, want %v", id, got, want)
		}
	}
	if calls := nodes[0].Parts(); len(calls) != 1 || calls[0].Shard != 2 || len(nodes[1].Parts())+len(nodes[2].Parts()) != 0 {
		t.Errorf("the nodes got %+v, %+v, %+v, want part 2 at the first and nothing else", calls, nodes[1].Parts(), nodes[2].Parts())
	}
}

// A node must be given the time that remains when the ticket is sent, not what remained
// before the part waited for its connection.
func TestNodeGetsTheRemainingTime(t *testing.T) {
	s := &sink{outcomes: map[broker.AttemptID][]decide.Outcome{}}
	c := New(Options{Sink: s, ConnectTimeout: 20 * time.Second, MaxConns: 8, Log: zerolog.New(io.Discard)})
	defer c.Close()
	n := testkit.NewNode(t, "n", true)
	addr, open := gatedAddr(t, n)
	c.Update([]broker.Node{{ID: "n", Addr: addr}})
	sent := time.Now()
	c.Send("n", []broker.Attempt{{ID: 1, Node: "n", RequestID: "q", Shard: 1, Text: []byte("x"), Timeout: time.Minute}})
	began := time.Now()
	testkit.Eventually(t, "some time passes", func() bool { return time.Since(began) > 20*time.Millisecond })
	waited := time.Since(began)
	open()
	testkit.Eventually(t, "the attempt ends", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.outcomes) == 1
	})
	calls := n.Parts()
	if len(calls) != 1 || calls[0].Timeout > time.Minute-waited || calls[0].Timeout < time.Minute-time.Since(sent)-time.Millisecond {
		t.Errorf("the node got %+v after a wait of %v, want one part with the time that remained", calls, waited)
	}
}
