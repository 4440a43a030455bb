package httpfront

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"onyxsail/broker"
	"onyxsail/internal/netio"
	"onyxsail/internal/testkit"
)

// Most tests in this file force race conditions between clients and the front: a test double
// blocks Accept, or the goroutine that reads, until the competing event has happened.

// blockingListener holds back accepted connections until release is closed.
type blockingListener struct {
	listener
	accepted chan struct{} // receives once per connection held back
	release  chan struct{}
}

// Accept implements net.Listener.
func (h *blockingListener) Accept() (net.Conn, error) {
	c, err := h.listener.Accept()
	if err == nil {
		h.accepted <- struct{}{}
		<-h.release
	}
	return c, err
}

// startWithBlockedAccept starts a front whose accepted connections are held back.
func startWithBlockedAccept(t *testing.T) (*Front, *fakeCore, *blockingListener) {
	t.Helper()
	h := &blockingListener{accepted: make(chan struct{}, 8), release: make(chan struct{})}
	f, core, _ := startWithListener(t, func(l listener) listener {
		h.listener = l
		return h
	})
	return f, core, h
}

// blockingHandler blocks the loop's reading goroutine until release is closed. entered is closed
// once that goroutine is blocked.
type blockingHandler struct{ entered, release chan struct{} }

// Data implements netio.Handler.
func (h *blockingHandler) Data([]byte) {
	close(h.entered)
	<-h.release
}

// Closed implements netio.Handler.
func (h *blockingHandler) Closed(error) {}

// blockReads stops a loop from reading any connection until resume is called, or the test ends.
func blockReads(t *testing.T, loop *netio.Loop) (resume func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	peer, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	h := &blockingHandler{make(chan struct{}), make(chan struct{})}
	if _, err := loop.Attach(accepted, h, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(peer, "x"); err != nil {
		t.Fatal(err)
	}
	<-h.entered
	var once sync.Once
	resume = func() { once.Do(func() { close(h.release) }) }
	t.Cleanup(resume)
	return resume
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// soleConn returns the front's only connection once it is in the given state.
func soleConn(t *testing.T, f *Front, s connState) *conn {
	t.Helper()
	var c *conn
	testkit.Eventually(t, "the connection is in the expected state", func() bool {
		all := f.openConns()
		if len(all) != 1 {
			return false
		}
		c = all[0]
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.currentState() == s
	})
	return c
}

// queryWithID returns a query request with the given id.
func queryWithID(id string) string {
	return postRequest("/screen", strings.Replace(queryHeaders, "q1", id, 1), validBody)
}

// A request that has arrived on an idle connection but has not been read yet must be answered,
// even if the connection is to be closed at that moment by the idle timeout, an eviction or a
// drain.
func TestRequestArrivingDuringConnectionCloseIsAnswered(t *testing.T) {
	for name, end := range map[string]func(*Front, *conn){
		"idle timeout": func(_ *Front, c *conn) { c.endIfInState(stateIdle) },
		"eviction": func(f *Front, c *conn) {
			f.mu.Lock()
			c.queuedAt = c.queuedAt.Add(-time.Hour)
			f.mu.Unlock()
			f.connSlots.Evict()
		},
		"drain": func(_ *Front, c *conn) { c.endForDrain() },
	} {
		for _, first := range []bool{true, false} { // a new connection, and one that is idle after a request
			f, core, loop := startWithListener(t, func(l listener) listener { return l })
			client, in := dial(t, f)
			state := stateNew
			if !first {
				send(t, client, "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
				readResponse(t, in)
				state = stateIdle
			}
			c := soleConn(t, f, state)
			resumeReads := blockReads(t, loop)
			send(t, client, queryWithID("a"))
			if first && name == "idle timeout" {
				c.endIfInState(stateNew)
			} else {
				end(f, c)
			}
			resumeReads()
			testkit.Eventually(t, name+": the query is submitted", func() bool { return core.submitted() == 1 })
			core.reply(1, broker.Reply{Verdict: broker.Served})
			if res, _ := readResponse(t, in); res.StatusCode != http.StatusOK {
				t.Errorf("%s: status %d, want 200", name, res.StatusCode)
			}
		}
	}
}

// During a drain or near the connection limit, a connection is closed with its next response.
// A pipelined request that has arrived but not been read yet must be answered first.
func TestPipelinedRequestDuringDrainIsAnswered(t *testing.T) {
	f, core, loop := startWithListener(t, func(l listener) listener { return l })
	client, in := dial(t, f)
	send(t, client, queryWithID("a"))
	testkit.Eventually(t, "the query is submitted", func() bool { return core.submitted() == 1 })
	f.draining.Store(true)
	resumeReads := blockReads(t, loop)
	send(t, client, queryWithID("b"))
	core.reply(1, broker.Reply{Verdict: broker.Served})
	if res, _ := readResponse(t, in); res.StatusCode != http.StatusOK || res.Close {
		t.Errorf("first response: status %d close %v, want 200 on a connection that stays open", res.StatusCode, res.Close)
	}
	resumeReads()
	testkit.Eventually(t, "the next query is submitted", func() bool { return core.submitted() == 2 })
	core.reply(2, broker.Reply{Verdict: broker.Served})
	if res, _ := readResponse(t, in); res.StatusCode != http.StatusOK {
		t.Errorf("second response: status %d, want 200", res.StatusCode)
	}
	testkit.Eventually(t, "the connection is shut down", func() bool {
		return f.openConns()[0].endIfInState(stateIdle) || f.openConns()[0].endIfInState(stateHalfClosed)
	})
}

// A request that is read while a response waits for those before it must be answered, even if the
// connection is to be closed with a response: it was forwarded, and dropped when that response was
// written.
func TestRequestReadBehindAWaitingResponseIsAnswered(t *testing.T) {
	for cause, apply := range map[string]func(*Front){
		"stop":               func(f *Front) { f.draining.Store(true) },
		"operator's drain":   func(f *Front) { f.SetOperatorDrain(true) },
		"scarce connections": func(f *Front) { f.connSlots.SetLimit(1) },
	} {
		for name, second := range map[string]string{"query": queryWithID("b"), "invalid request": "PUT /screen HTTP/1.1\r\nHost: a\r\n\r\n"} {
			t.Run(cause+", "+name, func(t *testing.T) {
				f, core := start(t)
				client, in := dial(t, f)
				if name == "query" {
					send(t, client, queryWithID("a")+second)
					testkit.Eventually(t, "the first queries are submitted", func() bool { return core.submitted() == 2 })
					apply(f)
					core.reply(2, broker.Reply{Verdict: broker.Served}) // waits for the first
				} else {
					send(t, client, queryWithID("a"))
					testkit.Eventually(t, "the first query is submitted", func() bool { return core.submitted() == 1 })
					apply(f)
					send(t, client, second)
				}
				c := f.openConns()[0]
				testkit.Eventually(t, "both requests are read", func() bool {
					c.mu.Lock()
					defer c.mu.Unlock()
					return len(c.exchanges) == 2 && c.parser.Buffered() == 0
				})
				before := core.submitted()
				send(t, client, queryWithID("c"))
				testkit.Eventually(t, "the last query is submitted", func() bool { return core.submitted() == before+1 })
				core.reply(1, broker.Reply{Verdict: broker.Served})
				for range 2 {
					if res, _ := readResponse(t, in); res.Close {
						t.Errorf("a response with status %d ends the connection before the last one", res.StatusCode)
					}
				}
				core.reply(broker.QueryID(before+1), broker.Reply{Verdict: broker.Served})
				if res, _ := readResponse(t, in); res.StatusCode != http.StatusOK || !res.Close {
					t.Errorf("last response: status %d close %v, want 200 and the connection's end", res.StatusCode, res.Close)
				}
				if _, err := in.ReadByte(); err != io.EOF {
					t.Errorf("behind the last response: got %v, want the end of the stream", err)
				}
			})
		}
	}
}

// A request that is read while earlier responses wait for a full socket must be answered, even if
// the connection is to be closed with a response: it was dropped until they had been written.
func TestRequestReadBehindUnwrittenResponsesIsAnswered(t *testing.T) {
	f, core := start(t)
	client, in := dial(t, f)
	value := strings.Repeat("v", 60<<10) // close to the maximum response size
	requests := 0
	submit := func() {
		send(t, client, queryWithID(fmt.Sprint("a", requests)))
		requests++
		testkit.Eventually(t, "the query is submitted", func() bool { return core.submitted() == requests })
	}
	reply := func() {
		core.reply(broker.QueryID(requests), broker.Reply{Verdict: broker.Served, Values: []broker.Value{{Shard: 3, Data: []byte(value)}}})
	}
	submit()
	reply()
	for f.openConns()[0].sock.Backlog() == 0 && requests < 1000 { // until the socket buffers are full
		submit()
		reply()
	}
	submit()
	f.draining.Store(true)
	reply()
	submit()
	reply()
	for i := range requests {
		if res, body := readResponse(t, in); res.StatusCode != http.StatusOK || len(body) < len(value) || res.Close && i < requests-1 {
			t.Fatalf("response %d of %d: status %d, %d bytes, close %v, want a whole answer to each request", i, requests, res.StatusCode, len(body), res.Close)
		}
	}
}

// A queued request must be processed even if the one before it is answered at once when its turn
// comes: it was never answered, as the list of requests was changed while it was walked.
func TestQueuedRequestBehindOneAnsweredAtOnceIsProcessed(t *testing.T) {
	const invalid = "PUT /screen HTTP/1.1\r\nHost: a\r\n\r\n"
	for _, answeredAtOnce := range []int{1, 2, 30} {
		f, core := start(t)
		client, in := dial(t, f)
		for i := range maxActivePerConn {
			send(t, client, queryWithID(fmt.Sprint("a", i)))
		}
		send(t, client, strings.Repeat(invalid, answeredAtOnce)+queryWithID("last"))
		c := soleConn(t, f, stateActive)
		testkit.Eventually(t, "all requests are read", func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return len(c.exchanges) == maxActivePerConn+answeredAtOnce+1
		})
		for id := maxActivePerConn; id > 0; id-- { // the first is the slowest
			core.reply(broker.QueryID(id), broker.Reply{Verdict: broker.Served})
		}
		testkit.Eventually(t, "the last query is submitted", func() bool { return core.submitted() == maxActivePerConn+1 })
		core.reply(maxActivePerConn+1, broker.Reply{Verdict: broker.Served})
		for i := range maxActivePerConn + answeredAtOnce + 1 {
			want := http.StatusOK
			if i >= maxActivePerConn && i < maxActivePerConn+answeredAtOnce {
				want = http.StatusMethodNotAllowed
			}
			if res, _ := readResponse(t, in); res.StatusCode != want {
				t.Errorf("response %d: status %d, want %d", i, res.StatusCode, want)
			}
		}
	}
}

// A request that arrives after the connection was shut down must not be submitted, and the
// client must see the end of the stream rather than a reset.
func TestRequestAfterConnectionCloseIsNotSubmitted(t *testing.T) {
	f, core := start(t)
	client, in := dial(t, f)
	send(t, client, "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
	readResponse(t, in)
	// The connection becomes idle while Data, which answered the last request, is still
	// running. It is not shut down before Data returns, as more may have been read until then.
	c := soleConn(t, f, stateIdle)
	testkit.Eventually(t, "the idle connection is shut down", func() bool { return c.endIfInState(stateIdle) })
	send(t, client, queryWithID("a"))
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("got %v, want EOF", err)
	}
	client.Close()
	testkit.Eventually(t, "the connection is closed", func() bool { return len(f.openConns()) == 0 })
	if core.submitted() != 0 {
		t.Errorf("%d queries were submitted after the close, want 0", core.submitted())
	}
}

// A drain must not close a connection that was opened only just before: its first request may
// be in transit, and clients count a new connection closed without a response as a refusal.
func TestDrainDoesNotCloseNewConnection(t *testing.T) {
	f, core := start(t)
	client, in := dial(t, f)
	c := soleConn(t, f, stateNew)
	c.mu.Lock()
	c.requestStart = time.Now().Add(time.Hour) // the connection counts as new
	c.mu.Unlock()
	c.endForDrain()
	send(t, client, queryWithID("a"))
	testkit.Eventually(t, "the query is submitted", func() bool { return core.submitted() == 1 })
	core.reply(1, broker.Reply{Verdict: broker.Served})
	if res, _ := readResponse(t, in); res.StatusCode != http.StatusOK {
		t.Errorf("status %d, want 200", res.StatusCode)
	}
}

// The linger timeout of a half-closed connection must not discard a response that the client
// has not read yet.
func TestLingerTimeoutKeepsUnreadResponse(t *testing.T) {
	f, core := start(t)
	client, in := dial(t, f)
	value := strings.Repeat("v", 60<<10) // close to the maximum response size
	requests := 0
	submit := func(request string) {
		send(t, client, request)
		requests++
		testkit.Eventually(t, "the query is submitted", func() bool { return core.submitted() == requests })
		core.reply(broker.QueryID(requests), broker.Reply{Verdict: broker.Served, Values: []broker.Value{{Shard: 3, Data: []byte(value)}}})
	}
	submit(queryWithID("a"))
	c := f.openConns()[0]
	for c.sock.Backlog() == 0 && requests < 1000 { // until the socket buffers are full
		submit(queryWithID(fmt.Sprint("a", requests)))
	}
	submit(strings.Replace(queryWithID("last"), "Host: a", "Host: a\r\nConnection: close", 1))
	c = soleConn(t, f, stateHalfClosed)
	if c.sock.Backlog() == 0 {
		t.Fatal("all responses were written; want some still buffered")
	}
	if c.endIfInState(stateHalfClosed) {
		t.Error("the connection was closed before its response was written")
	}
	for i := range requests {
		if res, body := readResponse(t, in); len(body) < len(value) || res.Close != (i == requests-1) {
			t.Errorf("response %d of %d: %d bytes, want at least %d; close %v", i, requests, len(body), len(value), res.Close)
		}
	}
}

// A connection that is evicted while it sends a request must get a 408 response.
func TestEvictedPartialRequestGetsTimeoutResponse(t *testing.T) {
	f, _ := start(t)
	client, in := dial(t, f)
	send(t, client, "POST /screen HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf")
	c := soleConn(t, f, stateReading)
	f.mu.Lock()
	c.queuedAt = c.queuedAt.Add(-requestReadTimeout)
	f.mu.Unlock()
	f.connSlots.Evict()
	if res, _ := readResponse(t, in); res.StatusCode != http.StatusRequestTimeout || !res.Close {
		t.Errorf("status %d close %v, want 408 and a close", res.StatusCode, res.Close)
	}
}

// Connections in the accept queue would be reset when the socket is closed. A drain must
// serve them, even if the connection limit kept the front from accepting them before.
func TestDrainServesConnectionsInAcceptQueue(t *testing.T) {
	const queued = 6
	f, core := start(t)
	var clients sync.WaitGroup
	connectAndSend := func(id string) {
		client, in := dial(t, f)
		send(t, client, queryWithID(id))
		clients.Go(func() {
			res, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Errorf("%s: %v", id, err)
				return
			}
			if res.StatusCode != http.StatusOK || !res.Close {
				t.Errorf("%s: status %d close %v, want 200 and a close", id, res.StatusCode, res.Close)
			}
			client.Close()
		})
	}
	for i := range f.connSlots.Limit() {
		connectAndSend(fmt.Sprint("a", i))
	}
	testkit.Eventually(t, "a query is open on every allowed connection", func() bool { return core.submitted() == f.connSlots.Limit() })
	for i := range queued {
		connectAndSend(fmt.Sprint("b", i))
	}
	drained := make(chan struct{})
	go func() {
		f.Drain(context.Background(), 0)
		close(drained)
	}()
	testkit.Eventually(t, "the front accepts only queued connections", f.acceptingLast.Load)
	for i := range f.connSlots.Limit() + queued {
		testkit.Eventually(t, "the query is submitted", func() bool { return core.submitted() > i })
		core.reply(broker.QueryID(i+1), broker.Reply{Verdict: broker.Served})
	}
	clients.Wait()
	<-drained
}

// A connection that has been accepted but not registered yet while the drain checks for open
// connections must count as open.
func TestDrainWaitsForConnectionBeingAccepted(t *testing.T) {
	f, core, h := startWithBlockedAccept(t)
	client, in := dial(t, f)
	send(t, client, queryWithID("a"))
	<-h.accepted
	drained := make(chan struct{})
	go func() {
		f.Drain(context.Background(), 0)
		close(drained)
	}()
	testkit.Eventually(t, "the front accepts only queued connections", f.acceptingLast.Load)
	select {
	case <-drained:
		t.Fatal("Drain returned while a connection was being accepted")
	case <-time.After(100 * time.Millisecond): // time for several checks
	}
	close(h.release)
	testkit.Eventually(t, "the query is submitted", func() bool { return core.submitted() == 1 })
	core.reply(1, broker.Reply{Verdict: broker.Served})
	if res, _ := readResponse(t, in); res.StatusCode != http.StatusOK {
		t.Errorf("status %d, want 200", res.StatusCode)
	}
	client.Close()
	<-drained
}

// A request whose client left while the request waited, for the accept or behind other requests
// of its connection, must not be submitted. A submitted one must be abandoned, even if the front
// reads no further input of its connection.
func TestQueuedRequestOfDepartedClientIsNotSubmitted(t *testing.T) {
	t.Run("before the accept", func(t *testing.T) {
		for _, pipelined := range []int{1, 40} {
			f, core, h := startWithBlockedAccept(t)
			client, _ := dial(t, f)
			for i := range pipelined {
				send(t, client, queryWithID(fmt.Sprint("a", i)))
			}
			<-h.accepted
			client.Close()
			close(h.release)
			other, in := dial(t, f) // accepted after it
			send(t, other, "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
			readResponse(t, in)
			testkit.Eventually(t, "the connection is closed", func() bool { return len(f.openConns()) == 1 })
			if core.submitted() != 0 {
				t.Errorf("%d pipelined requests: %d queries were submitted, want 0", pipelined, core.submitted())
			}
		}
	})
	t.Run("behind other requests", func(t *testing.T) {
		f, core, loop := startWithListener(t, func(l listener) listener { return l })
		client, _ := dial(t, f)
		for i := range maxActivePerConn + 4 {
			send(t, client, queryWithID(fmt.Sprint("a", i)))
		}
		testkit.Eventually(t, "the first queries are submitted and the others queued", func() bool {
			all := f.openConns()
			if len(all) != 1 || core.submitted() != maxActivePerConn {
				return false
			}
			all[0].mu.Lock()
			defer all[0].mu.Unlock()
			return len(all[0].exchanges) == maxActivePerConn+4
		})
		resumeReads := blockReads(t, loop)
		client.Close()
		core.reply(1, broker.Reply{Verdict: broker.Served})
		resumeReads()
		testkit.Eventually(t, "the open queries are abandoned", func() bool {
			core.mu.Lock()
			defer core.mu.Unlock()
			return len(core.abandoned) == maxActivePerConn-1
		})
		if core.submitted() != maxActivePerConn {
			t.Errorf("%d queries were submitted, want %d", core.submitted(), maxActivePerConn)
		}
	})
	t.Run("on a connection that closes after the response", func(t *testing.T) {
		f, core := start(t)
		client, _ := dial(t, f)
		send(t, client, strings.Replace(queryWithID("a"), "Host: a", "Host: a\r\nConnection: close", 1)+"and more that is not read any further")
		testkit.Eventually(t, "the query is submitted", func() bool { return core.submitted() == 1 })
		client.Close()
		testkit.Eventually(t, "the open queries are abandoned", func() bool {
			core.mu.Lock()
			defer core.mu.Unlock()
			return len(core.abandoned) == 1
		})
	})
}
