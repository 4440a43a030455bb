package httpfront

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"onyxsail/broker"
	"onyxsail/internal/testkit"
)

// largeValue makes a response of nearly the maximum size.
var largeValue = strings.Repeat("v", 60<<10)

// pipelineUnread pipelines requests whose large responses all become due at once, while the client
// reads nothing and the socket is full. It returns the number of requests sent.
func pipelineUnread(t *testing.T, f *Front, core *fakeCore, client net.Conn) (requests int) {
	t.Helper()
	served := broker.Reply{Verdict: broker.Served, Values: []broker.Value{{Shard: 3, Data: []byte(largeValue)}}}
	submit := func() {
		send(t, client, queryWithID(fmt.Sprint("a", requests)))
		requests++
		testkit.Eventually(t, "the query is submitted", func() bool { return core.submitted() == requests })
	}
	submit()
	core.reply(1, served)
	for f.openConns()[0].sock.Backlog() == 0 && requests < 1000 { // until the socket buffers are full
		submit()
		core.reply(broker.QueryID(requests), served)
	}
	first := requests + 1
	for range maxActivePerConn {
		submit()
	}
	for id := requests; id >= first; id-- { // the first is the slowest
		core.reply(broker.QueryID(id), served)
	}
	return requests
}

// startSmall starts a front with the broker's own limit on unwritten bytes.
func startSmall(t *testing.T) (*Front, *fakeCore, net.Conn, *bufio.Reader) {
	t.Helper()
	f, core, _ := startWithWriteBuffer(t, 512<<10, func(l listener) listener { return l })
	client, in := dial(t, f)
	return f, core, client, in
}

// Large responses that become due at once behind a slow one must all be written, as the client reads
// them: the connection was closed in the middle of them.
func TestLargeResponsesDueAtOnceAreWritten(t *testing.T) {
	f, core, client, in := startSmall(t)
	requests := pipelineUnread(t, f, core, client)
	for i := range requests {
		if res, body := readResponse(t, in); res.StatusCode != http.StatusOK || len(body) < len(largeValue) {
			t.Fatalf("response %d of %d: status %d, %d bytes, want a whole answer", i, requests, res.StatusCode, len(body))
		}
	}
	send(t, client, queryWithID("last")) // the connection goes on
	testkit.Eventually(t, "the next query is submitted", func() bool { return core.submitted() == requests+1 })
	core.reply(broker.QueryID(requests+1), broker.Reply{Verdict: broker.Served})
	if res, _ := readResponse(t, in); res.StatusCode != http.StatusOK {
		t.Errorf("the next response: status %d, want 200", res.StatusCode)
	}
}

// A client that reads none of the responses that are due must not hold its connection for ever.
func TestClientThatReadsNoResponsesIsClosed(t *testing.T) {
	f, core, client, _ := startSmall(t)
	pipelineUnread(t, f, core, client)
	c := soleConn(t, f, stateWriting)
	f.sweepOnce()
	if c = soleConn(t, f, stateWriting); c == nil {
		t.Fatal("the connection was closed before its time")
	}
	f.mu.Lock()
	c.queuedAt = c.queuedAt.Add(-unreadResponseTimeout - time.Second)
	f.mu.Unlock()
	f.sweepOnce()
	testkit.Eventually(t, "the connection is closed", func() bool { return len(f.openConns()) == 0 })
}
