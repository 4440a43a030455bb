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

// The tests here force what may come between two lines of the front: a stand-in holds
// the accepts, or the goroutine that reads, until the rest has happened.

// heldListener keeps what it has accepted until it is let go.
type heldListener struct {
	listener
	accepted chan struct{} // one for each connection that is kept
	gate     chan struct{}
}

// Accept implements net.Listener.
func (h *heldListener) Accept() (net.Conn, error) {
	c, err := h.listener.Accept()
	if err == nil {
		h.accepted <- struct{}{}
		<-h.gate
	}
	return c, err
}

func startHeld(t *testing.T) (*Front, *fakeCore, *heldListener) {
	t.Helper()
	h := &heldListener{accepted: make(chan struct{}, 8), gate: make(chan struct{})}
	f, core, _ := startAt(t, func(l listener) listener {
		h.listener = l
		return h
	})
	return f, core, h
}

// holder is a handler that keeps the reading goroutine.
type holder struct{ entered, gate chan struct{} }

// Data implements netio.Handler.
func (h *holder) Data([]byte) {
	close(h.entered)
	<-h.gate
}

// Closed implements netio.Handler.
func (h *holder) Closed(error) {}

// holdReads keeps all connections of a loop from being read until it is called back.
func holdReads(t *testing.T, loop *netio.Loop) (letGo func()) {
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
	own, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	h := &holder{make(chan struct{}), make(chan struct{})}
	if _, err := loop.Attach(own, h, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(peer, "x"); err != nil {
		t.Fatal(err)
	}
	<-h.entered
	var once sync.Once
	letGo = func() { once.Do(func() { close(h.gate) }) }
	t.Cleanup(letGo)
	return letGo
}

func say(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// only returns the front's one connection, once it is in the given state.
func only(t *testing.T, f *Front, s state) *conn {
	t.Helper()
	var c *conn
	testkit.Eventually(t, "the connection rests", func() bool {
		all := f.list()
		if len(all) != 1 {
			return false
		}
		c = all[0]
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.state() == s
	})
	return c
}

// named is a request under an id of its own.
func named(id string) string {
	return post("/screen", strings.Replace(heads, "q1", id, 1), good)
}

// A request that has come to a resting connection, and is not read yet, is answered,
// whoever wants the connection's end just then: the sweep, want of room, or a stop.
func TestRequestAtTheMomentOfAnEnd(t *testing.T) {
	for name, end := range map[string]func(*Front, *conn){
		"idle for long": func(_ *Front, c *conn) { c.over(idle) },
		"want of room": func(f *Front, c *conn) {
			f.mu.Lock()
			c.entered = c.entered.Add(-time.Hour)
			f.mu.Unlock()
			f.evict()
		},
		"a stop": func(_ *Front, c *conn) { c.endIfIdle() },
	} {
		for _, first := range []bool{true, false} { // a resting connection, and one whose first request it is
			f, core, loop := startAt(t, func(l listener) listener { return l })
			client, in := dial(t, f)
			at := silent
			if !first {
				say(t, client, "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
				read(t, in)
				at = idle
			}
			c := only(t, f, at)
			letGo := holdReads(t, loop)
			say(t, client, named("a"))
			if first && name == "idle for long" {
				c.over(silent)
			} else {
				end(f, c)
			}
			letGo()
			testkit.Eventually(t, name+": the query is taken", func() bool { return core.taken() == 1 })
			core.answer(1, broker.Reply{Verdict: broker.Served})
			if res, _ := read(t, in); res.StatusCode != http.StatusOK {
				t.Errorf("%s: status %d", name, res.StatusCode)
			}
		}
	}
}

// A request that the client has sent ahead, and that is not read yet, is answered before a
// connection is ended behind an answer, by a stop or as places are scarce.
func TestRequestSentAheadAtAStop(t *testing.T) {
	f, core, loop := startAt(t, func(l listener) listener { return l })
	client, in := dial(t, f)
	say(t, client, named("a"))
	testkit.Eventually(t, "the query is taken", func() bool { return core.taken() == 1 })
	f.draining.Store(true)
	letGo := holdReads(t, loop)
	say(t, client, named("b"))
	core.answer(1, broker.Reply{Verdict: broker.Served})
	if res, _ := read(t, in); res.StatusCode != http.StatusOK || res.Close {
		t.Errorf("the first: status %d close %v", res.StatusCode, res.Close)
	}
	letGo()
	testkit.Eventually(t, "the next query is taken", func() bool { return core.taken() == 2 })
	core.answer(2, broker.Reply{Verdict: broker.Served})
	if res, _ := read(t, in); res.StatusCode != http.StatusOK {
		t.Errorf("the second: status %d", res.StatusCode)
	}
	testkit.Eventually(t, "the connection is ended", func() bool { return f.list()[0].over(idle) || f.list()[0].over(leaving) })
}

// A request that comes after the connection's end is not sent on, and the client sees
// an end, no reset.
func TestRequestAfterAnEnd(t *testing.T) {
	f, core := start(t)
	client, in := dial(t, f)
	say(t, client, "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
	read(t, in)
	// It waits for its next request from within the turn that answered the last one, and is
	// not ended before that turn is over: until then more may have been read.
	c := only(t, f, idle)
	testkit.Eventually(t, "a connection that rests is ended", func() bool { return c.over(idle) })
	say(t, client, named("a"))
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("got %v, want the end", err)
	}
	client.Close()
	testkit.Eventually(t, "it is closed", func() bool { return len(f.list()) == 0 })
	if core.taken() != 0 {
		t.Errorf("%d queries reached the core", core.taken())
	}
}

// A stop does not end a connection that has only just come: its first request is on its
// way, and a new connection that ends without an answer counts as a refusal.
func TestStopWaitsForTheFirstRequest(t *testing.T) {
	f, core := start(t)
	client, in := dial(t, f)
	c := only(t, f, silent)
	c.mu.Lock()
	c.since = time.Now().Add(time.Hour) // as young as can be
	c.mu.Unlock()
	c.endIfIdle()
	say(t, client, named("a"))
	testkit.Eventually(t, "the query is taken", func() bool { return core.taken() == 1 })
	core.answer(1, broker.Reply{Verdict: broker.Served})
	if res, _ := read(t, in); res.StatusCode != http.StatusOK {
		t.Errorf("status %d", res.StatusCode)
	}
}

// An answer that its client has not read yet outlives the time for which a connection
// is waited for after its end.
func TestUnreadAnswerOutlivesTheLinger(t *testing.T) {
	f, core := start(t)
	client, in := dial(t, f)
	value := strings.Repeat("v", 60<<10) // an answer of the largest size, or nearly
	asked := 0
	ask := func(request string) {
		say(t, client, request)
		asked++
		testkit.Eventually(t, "the query is taken", func() bool { return core.taken() == asked })
		core.answer(broker.QueryID(asked), broker.Reply{Verdict: broker.Served, Values: []broker.Value{{Shard: 3, Data: []byte(value)}}})
	}
	ask(named("a"))
	c := f.list()[0]
	for c.sock.Backlog() == 0 && asked < 1000 { // until the sockets hold no more
		ask(named(fmt.Sprint("a", asked)))
	}
	ask(strings.Replace(named("last"), "Host: a", "Host: a\r\nConnection: close", 1))
	c = only(t, f, leaving)
	if c.sock.Backlog() == 0 {
		t.Fatal("the answers left whole")
	}
	if c.over(leaving) {
		t.Error("the connection was closed over its answer")
	}
	for i := range asked {
		if res, body := read(t, in); len(body) < len(value) || res.Close != (i == asked-1) {
			t.Errorf("answer %d of %d: %d bytes, want %d and more; close %v", i, asked, len(body), len(value), res.Close)
		}
	}
}

// A half request that has to make room is told so.
func TestHalfRequestThatMakesRoom(t *testing.T) {
	f, _ := start(t)
	client, in := dial(t, f)
	say(t, client, "POST /screen HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf")
	c := only(t, f, reading)
	f.mu.Lock()
	c.entered = c.entered.Add(-wholeWithin)
	f.mu.Unlock()
	f.evict()
	if res, _ := read(t, in); res.StatusCode != http.StatusRequestTimeout || !res.Close {
		t.Errorf("status %d close %v", res.StatusCode, res.Close)
	}
}

// What the system has accepted for the front, and the front not yet, counts as taken: a
// stop answers it, also where there was no room for it before.
func TestStopTakesWhatTheSystemHasAccepted(t *testing.T) {
	const more = 6
	f, core := start(t)
	var clients sync.WaitGroup
	ask := func(id string) {
		client, in := dial(t, f)
		say(t, client, named(id))
		clients.Go(func() {
			res, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Errorf("%s: %v", id, err)
				return
			}
			if res.StatusCode != http.StatusOK || !res.Close {
				t.Errorf("%s: status %d close %v", id, res.StatusCode, res.Close)
			}
			client.Close()
		})
	}
	for i := range f.places.limit {
		ask(fmt.Sprint("a", i))
	}
	testkit.Eventually(t, "all places are taken by queries", func() bool { return core.taken() == f.places.limit })
	for i := range more {
		ask(fmt.Sprint("b", i))
	}
	ended := make(chan struct{})
	go func() {
		f.Drain(context.Background(), 0)
		close(ended)
	}()
	testkit.Eventually(t, "the last connections are taken", f.closing.Load)
	for i := range f.places.limit + more {
		testkit.Eventually(t, "the query is taken", func() bool { return core.taken() > i })
		core.answer(broker.QueryID(i+1), broker.Reply{Verdict: broker.Served})
	}
	clients.Wait()
	<-ended
}

// A connection that is between the system's accept and the front's list while the front
// looks whether any is left is one of them.
func TestStopWaitsForWhatIsBeingTaken(t *testing.T) {
	f, core, h := startHeld(t)
	client, in := dial(t, f)
	say(t, client, named("a"))
	<-h.accepted
	ended := make(chan struct{})
	go func() {
		f.Drain(context.Background(), 0)
		close(ended)
	}()
	testkit.Eventually(t, "the last connections are taken", f.closing.Load)
	select {
	case <-ended:
		t.Fatal("ended with a connection in hand")
	case <-time.After(100 * time.Millisecond): // its looks find none
	}
	close(h.gate)
	testkit.Eventually(t, "the query is taken", func() bool { return core.taken() == 1 })
	core.answer(1, broker.Reply{Verdict: broker.Served})
	if res, _ := read(t, in); res.StatusCode != http.StatusOK {
		t.Errorf("status %d", res.StatusCode)
	}
	client.Close()
	<-ended
}

// A client that has left while its request waited, for the accept, behind unread bytes
// or behind other requests of its connection, has nothing done for it.
func TestClientLeavesWhileItsRequestWaits(t *testing.T) {
	t.Run("for the accept", func(t *testing.T) {
		for _, ahead := range []int{1, 40} {
			f, core, h := startHeld(t)
			client, _ := dial(t, f)
			for i := range ahead {
				say(t, client, named(fmt.Sprint("a", i)))
			}
			<-h.accepted
			client.Close()
			close(h.gate)
			other, in := dial(t, f) // taken behind it
			say(t, other, "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
			read(t, in)
			testkit.Eventually(t, "the connection is closed", func() bool { return len(f.list()) == 1 })
			if core.taken() != 0 {
				t.Errorf("%d requests ahead: %d queries reached the core", ahead, core.taken())
			}
		}
	})
	t.Run("behind others", func(t *testing.T) {
		f, core, loop := startAt(t, func(l listener) listener { return l })
		client, _ := dial(t, f)
		for i := range maxPipelined + 4 {
			say(t, client, named(fmt.Sprint("a", i)))
		}
		testkit.Eventually(t, "the first are taken, the others wait", func() bool {
			all := f.list()
			if len(all) != 1 || core.taken() != maxPipelined {
				return false
			}
			all[0].mu.Lock()
			defer all[0].mu.Unlock()
			return len(all[0].slots) == maxPipelined+4
		})
		letGo := holdReads(t, loop)
		client.Close()
		core.answer(1, broker.Reply{Verdict: broker.Served})
		letGo()
		testkit.Eventually(t, "the core hears that the client left", func() bool {
			core.mu.Lock()
			defer core.mu.Unlock()
			return len(core.left) == maxPipelined-1
		})
		if core.taken() != maxPipelined {
			t.Errorf("%d queries reached the core, want %d", core.taken(), maxPipelined)
		}
	})
	t.Run("on a connection that ends after it", func(t *testing.T) {
		f, core := start(t)
		client, _ := dial(t, f)
		say(t, client, strings.Replace(named("a"), "Host: a", "Host: a\r\nConnection: close", 1)+"and more that is not read any further")
		testkit.Eventually(t, "the query is taken", func() bool { return core.taken() == 1 })
		client.Close()
		testkit.Eventually(t, "the core hears that the client left", func() bool {
			core.mu.Lock()
			defer core.mu.Unlock()
			return len(core.left) == 1
		})
	})
}
