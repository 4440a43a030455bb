package httpfront

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"onyxsail/broker"
	"onyxsail/internal/connlimit"
	"onyxsail/internal/testkit"
)

// A client that sends nothing at first and then only part of a request must get a 408 response
// within 3 s of connecting; one that takes 2 s to send a request must be served.
func TestFirstRequestTimeoutCountsFromAccept(t *testing.T) {
	const limit = 3 * time.Second
	f, core := start(t)
	started := time.Now()
	late, lateIn := dial(t, f)
	slow, slowIn := dial(t, f)
	request := queryWithID("slow")
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		const pieces = 10
		for i := range pieces {
			_, _ = io.WriteString(slow, request[i*len(request)/pieces:(i+1)*len(request)/pieces])
			time.Sleep(2 * time.Second / (pieces - 1))
		}
	}()
	time.Sleep(time.Until(started.Add(firstByteTimeout - 50*time.Millisecond)))
	send(t, late, request[:len(request)/2])
	if res, _ := readResponse(t, lateIn); res.StatusCode != http.StatusRequestTimeout || time.Since(started) > limit {
		t.Errorf("late client: status %d after %v, want 408 within the limit", res.StatusCode, time.Since(started))
	}
	<-sent
	testkit.Eventually(t, "the slow request is submitted", func() bool { return core.submitted() == 1 })
	core.reply(1, broker.Reply{Verdict: broker.Refused})
	if res, _ := readResponse(t, slowIn); res.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("slow client: status %d, want 503", res.StatusCode)
	}
}

// A pipelined request that expects 100 Continue must get it once the earlier requests have
// been answered. A request that has been rejected must not get it.
func TestContinueIsSentAfterEarlierResponses(t *testing.T) {
	f, core := start(t)
	client, in := dial(t, f)
	send(t, client, queryWithID("first"))
	testkit.Eventually(t, "the first query is submitted", func() bool { return core.submitted() == 1 })
	head, body, _ := strings.Cut(postRequest("/screen", strings.Replace(queryHeaders, "q1", "second", 1)+"Expect: 100-continue\r\n", validBody), "\r\n\r\n")
	send(t, client, head+"\r\n\r\n")
	testkit.Eventually(t, "the request head is read", func() bool {
		c := f.openConns()[0]
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.parser.InMessage()
	})
	core.reply(1, broker.Reply{Verdict: broker.Refused})
	readResponse(t, in)
	if line, err := in.ReadString('\n'); err != nil || !strings.HasPrefix(line, "HTTP/1.1 100 ") {
		t.Fatalf("got %q, %v, want 100 Continue", line, err)
	}
	if _, err := in.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	send(t, client, body)
	testkit.Eventually(t, "the second query is submitted", func() bool { return core.submitted() == 2 })
	core.reply(2, broker.Reply{Verdict: broker.Refused})
	readResponse(t, in)

	client, in = dial(t, f)
	send(t, client, "POST /screen HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n")
	if res, _ := readResponse(t, in); res.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("rejected request: status %d, want 413", res.StatusCode)
	}
	if rest, err := io.ReadAll(in); err != nil || len(rest) > 0 {
		t.Errorf("after the response: %q, %v, want the end of the stream", rest, err)
	}
}

// A client that closes its sending side counts as gone, and nothing is started for it. As it
// may still be reading, each request that was read must get a final response, whether it was
// being processed or arrived together with the end of the stream.
func TestHalfClosedClientGetsResponses(t *testing.T) {
	for _, phase := range []string{"being processed", "with the end of the stream"} {
		f, core, loop := startWithListener(t, func(l listener) listener { return l })
		client, in := dial(t, f)
		requests := queryWithID("a") + queryWithID("b")
		if phase == "being processed" {
			send(t, client, requests)
			testkit.Eventually(t, "both queries are submitted", func() bool { return core.submitted() == 2 })
		} else {
			soleConn(t, f, stateNew)
			resumeReads := blockReads(t, loop)
			send(t, client, requests)
			if err := client.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			testkit.Eventually(t, "the end of the stream has arrived", func() bool { return f.openConns()[0].sock.PeerClosed() })
			resumeReads()
		}
		if err := client.(*net.TCPConn).CloseWrite(); err != nil && !errors.Is(err, syscall.ENOTCONN) {
			t.Fatal(err)
		}
		for i := range 2 {
			res, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Errorf("%s: response %d: %v", phase, i, err)
				break
			}
			if _, err := io.Copy(io.Discard, res.Body); err != nil || res.StatusCode == http.StatusOK {
				t.Errorf("%s: response %d: status %d, error %v, want an error status and a complete body", phase, i, res.StatusCode, err)
			}
			if res.Close != (i == 1) {
				t.Errorf("%s: response %d: close %v, want it with the last response alone", phase, i, res.Close)
			}
		}
		if phase == "being processed" {
			testkit.Eventually(t, "both queries are abandoned", func() bool {
				core.mu.Lock()
				defer core.mu.Unlock()
				return len(core.abandoned) == 2
			})
		} else if n := core.submitted(); n != 0 {
			t.Errorf("%s: %d queries were submitted, want 0", phase, n)
		}
	}
}

// failingListener is a listener whose first calls of Accept fail.
type failingListener struct {
	listener
	attempts atomic.Int64
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	errnos := []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EINTR}
	if i := l.attempts.Add(1) - 1; i < int64(len(errnos)) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: errnos[i]}
	}
	return l.listener.Accept()
}

// Transient accept errors must not lose a connection.
func TestTransientAcceptErrorsLoseNoConnection(t *testing.T) {
	f, _, _ := startWithListener(t, func(l listener) listener { return &failingListener{listener: l} })
	client, in := dial(t, f)
	send(t, client, "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
	if res, _ := readResponse(t, in); res.StatusCode != http.StatusOK {
		t.Errorf("status %d, want 200", res.StatusCode)
	}
}

// A connection may wait in the accept queue with a request already sent. The client's deadline
// runs meanwhile, and the time budget given to the nodes must not exceed it.
func TestBudgetIncludesTimeBeforeAccept(t *testing.T) {
	const waited, slack = 400 * time.Millisecond, 150 * time.Millisecond
	f, core := start(t)
	for i := range f.connSlots.Limit() { // use up the connection limit with open queries
		client, _ := dial(t, f)
		send(t, client, queryWithID("busy"+string(rune('a'+i))))
	}
	testkit.Eventually(t, "all queries are submitted", func() bool { return core.submitted() == f.connSlots.Limit() })
	client, _ := dial(t, f)
	send(t, client, queryWithID("waits"))
	sent := time.Now()
	time.Sleep(waited)
	core.reply(1, broker.Reply{Verdict: broker.Refused}) // closes its connection, as the limit is reached
	testkit.Eventually(t, "the last query is submitted", func() bool { return core.submitted() == f.connSlots.Limit()+1 })
	q := core.queries[broker.QueryID(f.connSlots.Limit()+1)]
	if clientTimeLeft, budgetLeft := q.Budget-time.Since(sent), q.Budget-time.Since(q.ArrivedAt); budgetLeft > clientTimeLeft+slack {
		t.Errorf("the client waits for another %v, but the query has %v left", clientTimeLeft, budgetLeft)
	}
}

// Requests at the protocol's limits must be accepted, and those just beyond rejected.
func TestRequestLimitBoundaries(t *testing.T) {
	const maxBody = 64 << 10
	paddedBody := func(size int) string {
		return validBody[:len(validBody)-1] + strings.Repeat(" ", size-len(validBody)) + "}"
	}
	sizedRequest := func(size int, headers string) string {
		return "POST /screen HTTP/1.1\r\nHost: a\r\nX-Class: screen\r\n" + headers + "Content-Length: " + strconv.Itoa(size) + "\r\n\r\n" + paddedBody(size)
	}
	chunkedRequest := func(size int, trailer string) string {
		request := postRequest("/screen", queryHeaders, paddedBody(size))
		return request[:len(request)-len("\r\n")] + trailer + "\r\n"
	}
	headersWithDeadline := func(ms string) string { return strings.Replace(queryHeaders, "480", ms, 1) }
	for _, c := range []struct {
		name, text string
		status     int // 0: the query is submitted
	}{
		{"64 KiB", sizedRequest(maxBody, queryHeaders), 0},
		{"64 KiB + 1 byte", sizedRequest(maxBody+1, queryHeaders), 413},
		{"64 KiB in chunks", chunkedRequest(maxBody, ""), 0},
		{"64 KiB + 1 byte in chunks", chunkedRequest(maxBody+1, ""), 413},
		{"chunks with trailers", chunkedRequest(1000, "X-Sum: 1\r\nX-More: 2\r\n"), 0},
		{"deadline of 1 ms", sizedRequest(1000, headersWithDeadline("1")), 0},
		{"deadline of 0 ms", sizedRequest(1000, headersWithDeadline("0")), 400},
		{"fractional deadline", sizedRequest(1000, headersWithDeadline("1.5")), 400},
		{"maximum deadline", sizedRequest(1000, headersWithDeadline("2147483647")), 0},
	} {
		f, core := start(t)
		client, in := dial(t, f)
		send(t, client, c.text)
		if c.status != 0 {
			if res, _ := readResponse(t, in); res.StatusCode != c.status || core.submitted() != 0 {
				t.Errorf("%s: got status %d and %d queries submitted, want only an error", c.name, res.StatusCode, core.submitted())
			}
			continue
		}
		testkit.Eventually(t, c.name+" is submitted", func() bool { return core.submitted() == 1 })
	}
}

// Response bodies are limited to 64 KiB as well; a larger result must become an error response
// that the client can read.
func TestResponseSizeLimit(t *testing.T) {
	value := func(size int) broker.Reply {
		return broker.Reply{Verdict: broker.Served, Complete: true, Values: []broker.Value{{Shard: 3, Data: []byte(strings.Repeat("v", size))}}}
	}
	emptyResponseBytes := len(encodeReply(nil, value(0), false)) // its Content-Length has two digits, as in headerBytes
	const headerBytes = len("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 51\r\n\r\n")
	for size, status := range map[int]string{MaxBodyBytes - (emptyResponseBytes - headerBytes): "200", MaxBodyBytes - (emptyResponseBytes - headerBytes) + 1: "502"} {
		if text := string(encodeReply(nil, value(size), false)); !strings.HasPrefix(text, "HTTP/1.1 "+status) {
			t.Errorf("value of %d bytes: got %.80q", size, text)
		}
	}
}

// Many connections that send nothing must not delay requests for long: near the limit they are
// closed at once, as they have no unread response that a close could destroy.
func TestSilentConnectionsDoNotDelayRequests(t *testing.T) {
	f, core := start(t)
	for range 5 * f.connSlots.Limit() { // clients that never close their connections
		dial(t, f)
	}
	started := time.Now()
	client, _ := dial(t, f)
	send(t, client, queryWithID("a"))
	testkit.Eventually(t, "the request is submitted", func() bool { return core.submitted() == 1 })
	if took, limit := time.Since(started), 7*connlimit.MinEvictionAge; took > limit {
		t.Errorf("submitted after %v, want at most %v", took, limit)
	}
}
