package flightnode

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"onyxsail/broker"
	"onyxsail/decide"
	"onyxsail/internal/testkit"
)

// largeQuery is the size of a query whose ticket exceeds the initial flow control window of 65,535
// bytes, which a stream and the connection have each.
const largeQuery = 60000

// request returns the request of an attempt, nil if it has not come; n.mu is held.
func (n *rawNode) request(id broker.AttemptID) *rawRequest {
	for _, r := range n.requests {
		if r.headers[attemptHeader] == strconv.Itoa(int(id)) {
			return r
		}
	}
	return nil
}

// isHeld reports whether an attempt's ticket has come in part, as far as the windows permit.
func (n *rawNode) isHeld(id broker.AttemptID) bool {
	r := n.request(id)
	return r != nil && r.bytes > 0 && !r.whole
}

// A ticket that the node's flow control holds must not be sent once its part may not start any more:
// a keyed part ran again past its window.
func TestTicketHeldByFlowControlIsTakenBack(t *testing.T) {
	for _, c := range []struct {
		name   string
		latest time.Duration // latest start of the attempt, from now; 0: none
		then   func(c *heldClient)
		want   decide.Outcome
	}{
		{"at its latest start", 30 * time.Millisecond, nil, decide.NotSent},
		{"when it is written too late", 0, nil, decide.Unreachable},
		{"at its node's latest start", 0, func(c *heldClient) { c.list(time.Now().Add(20 * time.Millisecond)) }, decide.NotSent},
		{"when it is cancelled", time.Hour, func(c *heldClient) { c.Cancel("n", 1) }, decide.Unreachable},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newRawNode(t, false)
			client := newHeldClient(t, n, false)
			latest := time.Time{}
			if c.latest > 0 {
				latest = time.Now().Add(c.latest)
			}
			client.send(1, largeQuery, latest)
			if c.then != nil {
				n.waitFor("a part of the ticket", func() bool { return n.isHeld(1) })
				c.then(client)
			}
			client.expect(1, c.want)
			n.waitFor("the request to be reset", func() bool { r := n.request(1); return r != nil && r.withdraw })
			n.grant(1 << 20)
			client.list(time.Time{})
			client.send(2, 1, time.Time{}) // sent behind whatever is left of the first
			n.waitFor("the next request", func() bool { r := n.request(2); return r != nil && r.whole })
			n.mu.Lock()
			defer n.mu.Unlock()
			if r := n.request(1); r.whole {
				t.Errorf("the ticket came whole after it had been taken back")
			}
			if len(n.conns) != 1 {
				t.Errorf("%d connections, want one: other attempts go on on it", len(n.conns))
			}
		})
	}
}

// The ticket of a node that has left the list must not be sent when the node reads again.
func TestTicketHeldByFlowControlIsTakenBackOfRemovedNode(t *testing.T) {
	n := newRawNode(t, false)
	client := newHeldClient(t, n, false)
	client.send(1, largeQuery, time.Time{})
	n.waitFor("a part of the ticket", func() bool { return n.isHeld(1) })
	client.Update(nil)
	client.expect(1, decide.NotSent)
	n.grant(1 << 20)
	n.waitFor("the connection to end", func() bool { return n.ended == 1 })
	if n.request(1).whole {
		t.Error("the ticket came whole after its node had left the list")
	}
}

// A small ticket can be held as well: behind a large one of another query, by the window of the
// connection.
func TestSmallTicketBehindALargeOneIsTakenBack(t *testing.T) {
	n := newRawNode(t, false, http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1 << 20})
	client := newHeldClient(t, n, false)
	client.send(1, largeQuery, time.Time{})
	n.waitFor("a part of the large ticket", func() bool { return n.isHeld(1) })
	client.send(2, 1, time.Now().Add(30*time.Millisecond))
	client.expect(2, decide.NotSent)
	client.expect(1, decide.Unreachable)
	n.grant(1 << 20)
	client.send(3, 1, time.Time{})
	n.waitFor("the next request", func() bool { r := n.request(3); return r != nil && r.whole })
	n.mu.Lock()
	defer n.mu.Unlock()
	for id := range broker.AttemptID(3) {
		if r := n.request(id); r != nil && r.whole {
			t.Errorf("ticket %d came whole after it had been taken back", id)
		}
	}
}

// hugeWindows are settings under which flow control holds nothing: the socket does.
func hugeWindows() []http2.Setting {
	return []http2.Setting{{ID: http2.SettingInitialWindowSize, Val: 1 << 30}}
}

// A ticket that waits for a full socket must be taken back in the same way.
func TestTicketBehindAFullSocketIsTakenBack(t *testing.T) {
	for name, latest := range map[string]time.Duration{"at its latest start": 30 * time.Millisecond, "when it is written too late": 0} {
		t.Run(name, func(t *testing.T) {
			n := newRawNode(t, true, hugeWindows()...)
			client := newHeldClient(t, n, true)
			client.send(1, 1, time.Time{})
			n.waitFor("the first request", func() bool { r := n.request(1); return r != nil && r.whole })
			n.grant(1 << 30)
			n.setPaused(true)
			latestStart := time.Time{}
			if latest > 0 {
				latestStart = time.Now().Add(latest)
			}
			client.send(2, largeQuery, latestStart)
			if got := client.outcome(2); got != decide.NotSent && got != decide.Unreachable {
				t.Errorf("outcome %d, want one that proves that the part never ran", got)
			}
			n.setPaused(false) // the node reads again
			client.send(3, 1, time.Time{})
			n.waitFor("the next request, behind whatever is left of the second", func() bool {
				r := n.request(3)
				return r != nil && r.whole && (r.conn == 0 || n.ended > 0)
			})
			n.mu.Lock()
			defer n.mu.Unlock()
			if r := n.request(2); r != nil && r.whole {
				t.Error("the ticket came whole after it had been taken back")
			}
		})
	}
}

// The ticket of a cancelled attempt that only our own kernel holds must not reach a node that reads
// again: the part would begin for a client that has left.
func TestUndeliveredTicketOfCancelledAttemptIsDiscarded(t *testing.T) {
	n := newRawNode(t, true, hugeWindows()...)
	client := newHeldClient(t, n, false)
	client.send(1, 1, time.Time{})
	n.waitFor("the first request", func() bool { r := n.request(1); return r != nil && r.whole })
	n.grant(1 << 30)
	n.setPaused(true)
	client.send(2, largeQuery, time.Time{})
	testkit.Eventually(t, "our kernel takes the ticket", func() bool { return client.WrittenAttempts() == 2 })
	client.Cancel("n", 2)
	client.expect(2, decide.Cancelled)
	client.expect(1, decide.ConnectionLost)
	n.setPaused(false)
	n.waitFor("the connection to end", func() bool { return n.ended == 1 })
	if r := n.request(2); r != nil && r.whole {
		t.Error("the node got the ticket of a cancelled attempt when it read again")
	}
}

// Attempts that are cancelled just while the library writes their tickets must not cost the others
// their connection.
func TestCancelDuringTheWriteKeepsTheConnection(t *testing.T) {
	const cancelled = 500
	n := newRawNode(t, false)
	client := newHeldClient(t, n, false)
	client.send(1, 1, time.Time{})
	n.waitFor("the first request", func() bool { r := n.request(1); return r != nil && r.whole })
	for id := broker.AttemptID(2); id < 2+cancelled; id++ {
		client.send(id, 1, time.Now().Add(time.Hour))
		client.Cancel("n", id)
	}
	for id := broker.AttemptID(2); id < 2+cancelled; id++ {
		client.outcome(id)
	}
	client.send(2+cancelled, 1, time.Time{})
	n.waitFor("the last request", func() bool { r := n.request(2 + cancelled); return r != nil && r.whole })
	client.sink.mu.Lock()
	defer client.sink.mu.Unlock()
	if lost := client.sink.outcomes[1]; len(lost) > 0 {
		t.Errorf("the first attempt ended with %v, want it still open", lost)
	}
}

// A connection that breaks before a ticket has been written whole proves that the part never ran;
// after that it may have run.
func TestLossBeforeTheWholeTicketNeverRan(t *testing.T) {
	n := newRawNode(t, false)
	client := newHeldClient(t, n, false)
	client.send(1, 1, time.Time{})
	n.waitFor("the first request", func() bool { r := n.request(1); return r != nil && r.whole })
	client.send(2, largeQuery, time.Time{})
	n.waitFor("a part of the ticket", func() bool { return n.isHeld(2) })
	n.update(func() { n.conns[0].Close() })
	client.expect(1, decide.ConnectionLost)
	client.expect(2, decide.Unreachable)
}

// The library must not send a ticket again on another connection by itself when a node says that it
// has not worked on it.
func TestTicketIsNotSentAgainByTheLibrary(t *testing.T) {
	n := newRawNode(t, false)
	client := newHeldClient(t, n, false)
	client.send(1, 1, time.Time{})
	n.waitFor("the request", func() bool { r := n.request(1); return r != nil && r.whole })
	n.update(func() { _ = n.framers[0].WriteGoAway(0, http2.ErrCodeNo, nil) })
	client.expect(1, decide.ConnectionLost)
	client.send(2, 1, time.Time{})
	n.waitFor("a request on another connection", func() bool { r := n.request(2); return r != nil && r.whole })
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.requests) != 2 {
		t.Errorf("%d requests came, want each once", len(n.requests))
	}
}

// timeoutHeader decodes a grpc-timeout header (gRPC over HTTP/2, "Timeout").
func timeoutHeader(t *testing.T, text string) time.Duration {
	t.Helper()
	units := map[byte]time.Duration{'H': time.Hour, 'M': time.Minute, 'S': time.Second, 'm': time.Millisecond, 'u': time.Microsecond, 'n': time.Nanosecond}
	value, err := strconv.Atoi(strings.TrimRight(text, "HMSmun"))
	if err != nil || text == "" {
		t.Fatalf("got grpc-timeout %q, want a number and a unit", text)
	}
	return time.Duration(value) * units[text[len(text)-1]]
}

// An attempt that waits for the node's limit on streams must tell the node the time that is left when
// its request leaves, with at most 0.15 s of slack.
func TestHeadersStateTheTimeLeftAfterTheWaitForAStream(t *testing.T) {
	const timeout, wait, slack = 20 * time.Second, 400 * time.Millisecond, 150 * time.Millisecond
	n := newRawNode(t, false, http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: 1})
	client := newHeldClient(t, n, false)
	client.send(1, 1, time.Time{})
	n.waitFor("the first request", func() bool { r := n.request(1); return r != nil && r.whole })
	sentAt := time.Now()
	client.Send("n", []broker.Attempt{{ID: 2, Node: "n", RequestID: "q", Shard: 2, Text: []byte("x"), Timeout: timeout}})
	testkit.Eventually(t, "some time passes", func() bool { return time.Since(sentAt) > wait })
	n.update(func() { _ = n.framers[0].WriteRSTStream(n.request(1).stream, http2.ErrCodeInternal) })
	whole := func() *rawRequest {
		for _, r := range n.requests {
			if r.headers[attemptHeader] == "2" && r.whole {
				return r
			}
		}
		return nil
	}
	n.waitFor("the second request", func() bool { return whole() != nil })
	n.mu.Lock()
	defer n.mu.Unlock()
	r := whole()
	left := timeout - r.cameAt.Sub(sentAt)
	if told := timeoutHeader(t, r.headers["grpc-timeout"]); told > left+slack {
		t.Errorf("the node was told %v where %v were left, want %v more at most", told, left, slack)
	}
}
