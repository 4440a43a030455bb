package discovery

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"onyxsail/broker"
	"onyxsail/decide"
	"onyxsail/internal/testkit"
)

// propagationLimit is the time within which a change must be known once discovery has it
// and can be reached, also after a request that was refused, failed or timed out.
const propagationLimit = 6 * time.Second

// Whatever requests have failed, one that is open when discovery can be reached again, the
// pause after it and the time until the next answer must add up to less than
// propagationLimit. This holds with a discovery whose capacity is no concern, and with any
// number of brokers that share a limited one; for up to 30 brokers also while it refuses
// request after request.
func TestPausesStayWithinPropagationLimit(t *testing.T) {
	for _, brokers := range []int{0, 1, 2, unpacedBrokers, 5, 20, 30, 80, 350, 1024} {
		for seed := range uint64(50) {
			backoff := NewBackoff(brokers, maxPauseFor(propagationLimit), seed)
			if d := backoff.StartDelay() + requestTimeout + propagationMargin; d > propagationLimit {
				t.Fatalf("%d brokers: the first answer comes after %v", brokers, d)
			}
			for i := range 12 {
				if d := requestTimeout + backoff.NextPause(i < toleratedRefusals || brokers <= 30) + propagationMargin; d > propagationLimit {
					t.Fatalf("%d brokers: the next answer after failure %d comes after %v", brokers, i+1, d)
				}
			}
			backoff.Reset()
			if d := watchGrace + backoff.ReopenDelay() + propagationMargin; d > 2*time.Second {
				t.Fatalf("a silent watch is reopened %v after its wait", d)
			}
			if d := minWatch + watchGrace + backoff.ReopenDelay() + propagationMargin; d > propagationLimit {
				t.Fatalf("a silent watch of few brokers is reopened after %v", d)
			}
		}
	}
	for _, limit := range []time.Duration{time.Second, 3 * time.Second, 10 * time.Second} {
		backoff := NewBackoff(350, maxPauseFor(limit), 1)
		for range 12 {
			if d := backoff.NextPause(false); d > max(limit/4, limit-requestTimeout-propagationMargin) {
				t.Errorf("limit of %v: pause of %v exceeds its bound", limit, d)
			}
		}
	}
}

// Only a refusal from discovery's queue shows that too many brokers share it: one that
// comes at once, or any other failure, must not lengthen a pause beyond the limit.
func TestImmediateRefusalIsNoQueueOverload(t *testing.T) {
	for _, c := range []struct {
		err  error
		took time.Duration
		want bool
	}{
		{fmt.Errorf("a request: %w", statusError(503)), requestTimeout, true},
		{statusError(503), 5 * time.Millisecond, false},
		{errWatchSilent, requestTimeout, false},
		{io.ErrUnexpectedEOF, requestTimeout, false},
	} {
		backoff := NewBackoff(350, maxPauseFor(propagationLimit), 1)
		for range 12 {
			if got := isQueueOverload(c.err, c.took); got != c.want {
				t.Fatalf("%v after %v: counts as overload: got %v", c.err, c.took, got)
			}
			if d := requestTimeout + backoff.NextPause(isQueueOverload(c.err, c.took)) + propagationMargin; !c.want && d > propagationLimit {
				t.Errorf("%v after %v: the next answer comes after %v", c.err, c.took, d)
			}
		}
	}
}

// scriptedServer is a discovery whose requests are answered by a function of the test. It
// records the query string of each request and its time of arrival.
type scriptedServer struct {
	addr       string
	mu         sync.Mutex
	queries    []url.Values
	receivedAt []time.Time
}

// newScriptedServer starts a scriptedServer, which runs until the test ends. answer is called
// for each request with its number, counted from 1, and its connection, and may send nothing.
func newScriptedServer(t *testing.T, answer func(n int, conn net.Conn)) *scriptedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedServer{addr: l.Addr().String()}
	var goroutines sync.WaitGroup
	var conns sync.Map
	t.Cleanup(func() {
		l.Close()
		conns.Range(func(c, _ any) bool { c.(net.Conn).Close(); return true })
		goroutines.Wait()
	})
	goroutines.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			conns.Store(conn, true)
			goroutines.Go(func() {
				defer conn.Close()
				buf, text := make([]byte, 4096), ""
				for {
					n, err := conn.Read(buf)
					if text += string(buf[:n]); err != nil {
						return
					}
					if !strings.Contains(text, "\r\n\r\n") {
						continue
					}
					target, _ := url.ParseRequestURI(strings.Fields(text)[1])
					text = ""
					s.mu.Lock()
					s.queries, s.receivedAt = append(s.queries, target.Query()), append(s.receivedAt, time.Now())
					i := len(s.queries)
					s.mu.Unlock()
					answer(i, conn)
				}
			})
		}
	})
	return s
}

// query returns the query string of the n-th request, counted from 1, and the time of its
// arrival.
func (s *scriptedServer) query(n int) (q url.Values, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queries[n-1], s.receivedAt[n-1]
}

// count returns the number of requests so far.
func (s *scriptedServer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queries)
}

// oneNodeList returns the JSON text of a list of one node.
func oneNodeList(version int, full bool, state string) string {
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[{"id":"a","addr":"127.0.0.1:1","zone":"neihu","state":%q}]}`, version, full, state)
}

// httpAnswer returns an HTTP answer with this body.
func httpAnswer(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// runClientWith runs a client with these options until the test ends and returns the rosters
// that it delivers.
func runClientWith(t *testing.T, o Options) <-chan broker.Roster {
	t.Helper()
	got := make(chan broker.Roster, 16)
	o.Zones, o.PropagationLimit, o.Log, o.Seed = []string{"neihu"}, propagationLimit, zerolog.New(io.Discard), 1
	ctx, cancel := context.WithCancel(context.Background())
	o.Deliver = func(r broker.Roster) {
		select {
		case got <- r:
		case <-ctx.Done():
		}
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		New(o).Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return got
}

// A request that hangs, one whose answer arrives too slowly to finish within its time-out, and
// one that is refused must be followed by another within the propagation limit. This checks
// the bounds of TestPausesStayWithinPropagationLimit over real sockets.
func TestChangeIsKnownInTimeAfterFailedCalls(t *testing.T) {
	for _, brokers := range []int{0, 3, 350} {
		for name, fail := range map[string]func(net.Conn){
			"hangs":   func(net.Conn) {},
			"refused": func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n") },
			"slow": func(c net.Conn) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n")
				for range 200 {
					if _, err := io.WriteString(c, " "); err != nil {
						return
					}
					time.Sleep(50 * time.Millisecond)
				}
			},
		} {
			t.Run(fmt.Sprint(brokers, name), func(t *testing.T) {
				t.Parallel()
				var reachableSince atomic.Pointer[time.Time]
				s := newScriptedServer(t, func(n int, c net.Conn) {
					switch {
					case n == 1: // discovery can be reached from now on
						now := time.Now()
						reachableSince.Store(&now)
						fail(c)
					case n == 2:
						_, _ = io.WriteString(c, httpAnswer(oneNodeList(2, true, "terminating")))
					}
				})
				got := runClientWith(t, Options{Addr: s.addr, Brokers: brokers})
				if r := <-got; r.Nodes[0].State != decide.Draining {
					t.Errorf("got %+v, want the node draining", r)
				}
				if took := time.Since(*reachableSince.Load()); took > propagationLimit {
					t.Errorf("the change is known after %v, which exceeds the propagation limit", took)
				}
			})
		}
	}
}

// The fewer brokers share a discovery of limited capacity, the shorter a watch is, so that a
// silent one is noticed sooner. A failed request does not change its length.
func TestWatchIsShortWithFewBrokers(t *testing.T) {
	t.Parallel()
	for brokers, want := range map[int]string{3: "3000", 30: "6000", 350: "20000"} {
		s := newScriptedServer(t, func(n int, c net.Conn) {
			if n == 1 {
				_, _ = io.WriteString(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
			}
		})
		known := int64(1)
		runClientWith(t, Options{Addr: s.addr, Brokers: brokers, KnownVersion: &known})
		testkit.Eventually(t, "the second request", func() bool { return s.count() > 1 })
		for n := 1; n <= 2; n++ {
			if q, _ := s.query(n); q.Get("wait_ms") != want {
				t.Errorf("%d brokers: request %d is a watch of %s ms, want %s", brokers, n, q.Get("wait_ms"), want)
			}
		}
	}
}

// Where brokers share a discovery of limited capacity, a silent watch must be reopened
// within 2 s of the end of its wait: a change that it missed counts as delivered then.
func TestSilentContendedWatchIsReopenedInTime(t *testing.T) {
	t.Parallel()
	s := newScriptedServer(t, func(n int, c net.Conn) {
		switch n {
		case 1:
			_, _ = io.WriteString(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
		case 3: // the second request gets no answer
			_, _ = io.WriteString(c, httpAnswer(oneNodeList(2, false, "terminating")))
		}
	})
	known := int64(1)
	got := runClientWith(t, Options{Addr: s.addr, Brokers: unpacedBrokers, KnownVersion: &known})
	if r := <-got; r.Version != 2 {
		t.Errorf("got %+v, want version 2", r)
	}
	_, silent := s.query(2)
	_, reopened := s.query(3)
	if gap := reopened.Sub(silent); gap < minWatch || gap > minWatch+2*time.Second {
		t.Errorf("the watch is reopened %v after it began, want its wait and 2 s at most", gap)
	}
}

// An answer without a length ends when its connection is closed, but not when it is reset:
// what arrived before a reset may be incomplete even if it can be parsed.
func TestResetDoesNotEndAnAnswer(t *testing.T) {
	for _, reset := range []bool{true, false} {
		s := newScriptedServer(t, func(n int, c net.Conn) {
			if n > 1 {
				_, _ = io.WriteString(c, httpAnswer(oneNodeList(5, true, "in_service")))
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+oneNodeList(4, true, "terminating"))
			time.Sleep(50 * time.Millisecond) // the client reads the bytes before the end of the connection
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		})
		got := runClientWith(t, Options{Addr: s.addr})
		if r := <-got; reset != (r.Version == 5) {
			t.Errorf("reset %v: got %+v, want version 5 after a reset and 4 otherwise", reset, r)
		}
	}
}

// A discovery whose version goes back has restarted: earlier lists may no longer hold, so
// the full list is fetched.
func TestFullListIsFetchedWhenVersionGoesBack(t *testing.T) {
	s := newScriptedServer(t, func(n int, c net.Conn) {
		switch n {
		case 1:
			_, _ = io.WriteString(c, httpAnswer(`{"version":3,"full":false,"servers":[]}`))
		case 2:
			_, _ = io.WriteString(c, httpAnswer(oneNodeList(3, true, "in_service")))
		}
	})
	known := int64(41)
	got := runClientWith(t, Options{Addr: s.addr, KnownVersion: &known})
	if r := <-got; r.Kind != decide.ListFull || r.Version != 3 {
		t.Errorf("got %+v, want the full list of version 3", r)
	}
	if q, _ := s.query(2); q.Get("after") != "" {
		t.Errorf("the second request is a watch with the query %v, want the full list", q)
	}
}

// With a discovery that closes the connection after each answer the watch continues as
// usual: the next request follows at once.
func TestServerThatClosesAfterEachAnswer(t *testing.T) {
	var version atomic.Int64
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, oneNodeList(int(version.Add(1)), r.URL.Query().Get("after") == "", "in_service"))
	}))
	t.Cleanup(d.Close)
	got := runClientWith(t, Options{Addr: strings.TrimPrefix(d.URL, "http://")})
	last := time.Now()
	for i := range 20 {
		r := <-got
		if now := time.Now(); r.Version != int64(i+1) || i > 0 && now.Sub(last) > 5*time.Second {
			t.Errorf("got version %d after %v, want the next version within 5 s", r.Version, now.Sub(last))
		}
		last = time.Now()
	}
}

// stopDuringDeadlineConn is a connection that stops the client just before a request's
// deadline is set. If the request is already watching for the stop, the stop's deadline is
// set first.
type stopDuringDeadlineConn struct {
	net.Conn
	stop        context.CancelFunc
	stopApplied chan struct{} // closed once the stop has set its deadline
	once        sync.Once
}

// SetDeadline implements net.Conn.
func (c *stopDuringDeadlineConn) SetDeadline(at time.Time) error {
	if time.Until(at) > time.Second {
		c.stop()
		select {
		case <-c.stopApplied:
		case <-time.After(50 * time.Millisecond): // the stop sets its deadline afterwards
		}
		return c.Conn.SetDeadline(at)
	}
	defer c.once.Do(func() { close(c.stopApplied) })
	return c.Conn.SetDeadline(at)
}

// A stop while a request is being set up must end the request: the request's deadline must
// not replace the one that the stop sets.
func TestStopDuringRequestSetupEndsTheRequest(t *testing.T) {
	s := newScriptedServer(t, func(int, net.Conn) {}) // sends no answers
	conn, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	c := New(Options{Addr: s.addr, Log: zerolog.Nop()})
	c.conn = &stopDuringDeadlineConn{Conn: conn, stop: stop, stopApplied: make(chan struct{})}
	defer c.closeConn()
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		_, _ = c.request(ctx, "/v1/endpoints", maxWatch) // its error is that of the stop
	}()
	select {
	case <-returned:
	case <-time.After(10 * time.Second):
		_ = conn.Close()
		<-returned
		t.Error("the request continued after the stop")
	}
}

// A version is any unsigned 64-bit number, as in the simulator's protocol, and is sent back
// unchanged; a full list or changes with the same version as before are still delivered.
func TestVersionsCoverUnsigned64Bits(t *testing.T) {
	const huge = "18446744073709551615"
	list := func(version string, full bool) string {
		return httpAnswer(fmt.Sprintf(`{"version":%s,"full":%v,"servers":[{"id":"s-1","addr":"127.0.0.1:1","state":"in_service","cell":0,"weight":1.0,"started_ms":0}]}`, version, full))
	}
	s := newScriptedServer(t, func(n int, conn net.Conn) {
		versions := []string{"9223372036854775807", "9223372036854775808", huge, huge}
		if n <= len(versions) {
			fmt.Fprint(conn, list(versions[n-1], n == 1 || n == len(versions)))
		}
	})
	rosters := runClientWith(t, Options{Addr: s.addr})
	for i := range 4 {
		select {
		case <-rosters:
		case <-time.After(10 * time.Second):
			t.Fatalf("answer %d was not delivered", i)
		}
	}
	testkit.Eventually(t, "the next request", func() bool { return s.count() > 4 })
	if q, _ := s.query(5); q.Get("after") != huge {
		t.Errorf("the next request is for changes after %q, want the latest version", q.Get("after"))
	}
}
