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

// told is when a change counts as told once discovery has it and can be reached, also
// after a call that was refused, failed or given up.
const told = 6 * time.Second

// Whatever calls have failed, one that is out when discovery can be reached again, the
// pause after it and the next one's answer come to less than told. It holds where lists
// are pushed, and where any number of brokers share an office of scarce room; up to
// thirty of them also where it refuses call after call.
func TestNoFailureKeepsABrokerAwayForLong(t *testing.T) {
	for _, brokers := range []int{0, 1, 2, few, 5, 20, 30, 80, 350, 1024} {
		for seed := range uint64(50) {
			p := NewPace(brokers, away(told), seed)
			if d := p.Start() + answerWithin + spare; d > told {
				t.Fatalf("%d brokers: the first answer after %v", brokers, d)
			}
			for i := range 12 {
				if d := answerWithin + p.Failed(i < patient || brokers <= 30) + spare; d > told {
					t.Fatalf("%d brokers: after %d failures %v go by", brokers, i+1, d)
				}
			}
			p.Answered()
			if d := watchSlack + p.Anew() + spare; d > 2*time.Second {
				t.Fatalf("a silent watch is heard of %v after its wait", d)
			}
			if d := leastWatch + watchSlack + p.Anew() + spare; d > told {
				t.Fatalf("a silent watch of few brokers is heard of after %v", d)
			}
		}
	}
	for _, within := range []time.Duration{time.Second, 3 * time.Second, 10 * time.Second} {
		p := NewPace(350, away(within), 1)
		for range 12 {
			if d := p.Failed(false); d > max(within/4, within-answerWithin-spare) {
				t.Errorf("known within %v: a pause of %v", within, d)
			}
		}
	}
}

// Only a refusal that had stood in discovery's queue tells of too many brokers: one that
// comes at once, or a call that failed otherwise, lengthens no pause beyond what is allowed.
func TestRefusalAtOnceIsNoQueue(t *testing.T) {
	for _, c := range []struct {
		err  error
		took time.Duration
		want bool
	}{
		{fmt.Errorf("a call: %w", statusError(503)), answerWithin, true},
		{statusError(503), 5 * time.Millisecond, false},
		{errSilent, answerWithin, false},
		{io.ErrUnexpectedEOF, answerWithin, false},
	} {
		p := NewPace(350, away(told), 1)
		for range 12 {
			if got := overbooked(c.err, c.took); got != c.want {
				t.Fatalf("%v after %v: got %v", c.err, c.took, got)
			}
			if d := answerWithin + p.Failed(overbooked(c.err, c.took)) + spare; !c.want && d > told {
				t.Errorf("%v after %v: %v go by", c.err, c.took, d)
			}
		}
	}
}

// script is a discovery whose calls are answered by hand, in their order.
type script struct {
	addr  string
	mu    sync.Mutex
	calls []url.Values
	at    []time.Time
}

// newScript starts one; each call goes to answer with its number and its connection,
// which it may keep.
func newScript(t *testing.T, answer func(n int, conn net.Conn)) *script {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &script{addr: l.Addr().String()}
	var all sync.WaitGroup
	var conns sync.Map
	t.Cleanup(func() {
		l.Close()
		conns.Range(func(c, _ any) bool { c.(net.Conn).Close(); return true })
		all.Wait()
	})
	all.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			conns.Store(conn, true)
			all.Go(func() {
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
					s.calls, s.at = append(s.calls, target.Query()), append(s.at, time.Now())
					i := len(s.calls)
					s.mu.Unlock()
					answer(i, conn)
				}
			})
		}
	})
	return s
}

func (s *script) call(n int) (q url.Values, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[n-1], s.at[n-1]
}

func (s *script) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

// listed is a list of one node.
func listed(version int, full bool, state string) string {
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[{"id":"a","addr":"127.0.0.1:1","zone":"neihu","state":%q}]}`, version, full, state)
}

func answered(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// following runs a client of so many brokers till the test ends.
func following(t *testing.T, o Options) <-chan broker.Roster {
	t.Helper()
	got := make(chan broker.Roster, 16)
	o.Zones, o.Told, o.Log, o.Seed = []string{"neihu"}, told, zerolog.New(io.Discard), 1
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

// A call that hangs, one whose answer drips past its time and one that is refused are
// followed by another soon enough, on sockets as in the plan.
func TestChangeIsKnownAfterCallsThatFailed(t *testing.T) {
	for _, brokers := range []int{0, 3, 350} {
		for name, fail := range map[string]func(net.Conn){
			"hangs":   func(net.Conn) {},
			"refused": func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n") },
			"drips": func(c net.Conn) {
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
				var reached atomic.Pointer[time.Time]
				s := newScript(t, func(n int, c net.Conn) {
					switch {
					case n == 1: // discovery can be reached from here on
						now := time.Now()
						reached.Store(&now)
						fail(c)
					case n == 2:
						_, _ = io.WriteString(c, answered(listed(2, true, "terminating")))
					}
				})
				got := following(t, Options{Addr: s.addr, Brokers: brokers})
				if r := <-got; r.Nodes[0].State != decide.Draining {
					t.Errorf("got %+v", r)
				}
				if took := time.Since(*reached.Load()); took > told {
					t.Errorf("known after %v", took)
				}
			})
		}
	}
}

// A watch that falls silent is noticed the sooner the fewer brokers share an office of
// scarce room, after a call that has failed as before it.
func TestWatchIsShortWhereBrokersAreFew(t *testing.T) {
	t.Parallel()
	for brokers, want := range map[int]string{3: "3000", 30: "6000", 350: "20000"} {
		s := newScript(t, func(n int, c net.Conn) {
			if n == 1 {
				_, _ = io.WriteString(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
			}
		})
		known := int64(1)
		following(t, Options{Addr: s.addr, Brokers: brokers, Known: &known})
		testkit.Eventually(t, "the second call", func() bool { return s.count() > 1 })
		for n := 1; n <= 2; n++ {
			if q, _ := s.call(n); q.Get("wait_ms") != want {
				t.Errorf("%d brokers: call %d is a watch of %s ms, want %s", brokers, n, q.Get("wait_ms"), want)
			}
		}
	}
}

// Where lists must be asked for a silent watch is opened anew within 2 s of the end of
// its wait: what it missed counts as told then.
func TestSilentWatchThatCosts(t *testing.T) {
	t.Parallel()
	s := newScript(t, func(n int, c net.Conn) {
		switch n {
		case 1:
			_, _ = io.WriteString(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
		case 3: // the second says nothing
			_, _ = io.WriteString(c, answered(listed(2, false, "terminating")))
		}
	})
	known := int64(1)
	got := following(t, Options{Addr: s.addr, Brokers: few, Known: &known})
	if r := <-got; r.Version != 2 {
		t.Errorf("got %+v", r)
	}
	_, silent := s.call(2)
	_, anew := s.call(3)
	if gap := anew.Sub(silent); gap < leastWatch || gap > leastWatch+2*time.Second {
		t.Errorf("opened anew after %v", gap)
	}
}

// An answer without a length ends with its connection's end, and a reset is none: what
// came before it may be any part of it, even where it could be read.
func TestResetIsNoEnd(t *testing.T) {
	for _, reset := range []bool{true, false} {
		s := newScript(t, func(n int, c net.Conn) {
			if n > 1 {
				_, _ = io.WriteString(c, answered(listed(5, true, "in_service")))
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+listed(4, true, "terminating"))
			time.Sleep(50 * time.Millisecond) // the bytes are read before the end comes
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		})
		got := following(t, Options{Addr: s.addr})
		if r := <-got; reset != (r.Version == 5) {
			t.Errorf("reset %v: got %+v", reset, r)
		}
	}
}

// A discovery whose versions go back has begun anew: what it told before may not hold,
// so the whole list is asked for.
func TestVersionThatGoesBack(t *testing.T) {
	s := newScript(t, func(n int, c net.Conn) {
		switch n {
		case 1:
			_, _ = io.WriteString(c, answered(`{"version":3,"full":false,"servers":[]}`))
		case 2:
			_, _ = io.WriteString(c, answered(listed(3, true, "in_service")))
		}
	})
	known := int64(41)
	got := following(t, Options{Addr: s.addr, Known: &known})
	if r := <-got; r.Kind != decide.ListFull || r.Version != 3 {
		t.Errorf("got %+v", r)
	}
	if q, _ := s.call(2); q.Get("after") != "" {
		t.Errorf("the second call is %v", q)
	}
}

// A discovery that answers on a connection that it ends each time is a watch like any
// other: the next call follows at once.
func TestConnectionEndsBehindEachAnswer(t *testing.T) {
	var version atomic.Int64
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, listed(int(version.Add(1)), r.URL.Query().Get("after") == "", "in_service"))
	}))
	t.Cleanup(d.Close)
	got := following(t, Options{Addr: strings.TrimPrefix(d.URL, "http://")})
	last := time.Now()
	for i := range 20 {
		r := <-got
		if now := time.Now(); r.Version != int64(i+1) || i > 0 && now.Sub(last) > 5*time.Second {
			t.Errorf("version %d after %v", r.Version, now.Sub(last))
		}
		last = time.Now()
	}
}

// endingConn is a connection on which a stop comes in the moment that a call sets its
// deadline: if the stop's own is set before that, it comes first.
type endingConn struct {
	net.Conn
	stop  context.CancelFunc
	ended chan struct{} // closed once the stop's deadline is set
	once  sync.Once
}

// SetDeadline implements net.Conn.
func (c *endingConn) SetDeadline(at time.Time) error {
	if time.Until(at) > time.Second {
		c.stop()
		select {
		case <-c.ended:
		case <-time.After(50 * time.Millisecond): // it comes after
		}
		return c.Conn.SetDeadline(at)
	}
	defer c.once.Do(func() { close(c.ended) })
	return c.Conn.SetDeadline(at)
}

// A stop that comes while a call is being made ends the call: its time for the answer must
// not take the place of the stop's.
func TestStopEndsACallThatIsBeingMade(t *testing.T) {
	s := newScript(t, func(int, net.Conn) {}) // answers nothing
	conn, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	c := New(Options{Addr: s.addr, Log: zerolog.Nop()})
	c.conn = &endingConn{Conn: conn, stop: stop, ended: make(chan struct{})}
	defer c.hangUp()
	over := make(chan struct{})
	go func() {
		defer close(over)
		_, _ = c.call(ctx, "/v1/endpoints", watchFor) // its error is the stop's
	}()
	select {
	case <-over:
	case <-time.After(10 * time.Second):
		_ = conn.Close()
		<-over
		t.Error("the call went on after the stop")
	}
}

// A version is any number of 64 bits, as on the simulator's wire, and is told back as it
// came; the same one with the whole list counts, as do changes under the same.
func TestVersionsAreNumbersOf64Bits(t *testing.T) {
	const huge = "18446744073709551615"
	list := func(version string, full bool) string {
		return answered(fmt.Sprintf(`{"version":%s,"full":%v,"servers":[{"id":"s-1","addr":"127.0.0.1:1","state":"in_service","cell":0,"weight":1.0,"started_ms":0}]}`, version, full))
	}
	s := newScript(t, func(n int, conn net.Conn) {
		versions := []string{"9223372036854775807", "9223372036854775808", huge, huge}
		if n <= len(versions) {
			fmt.Fprint(conn, list(versions[n-1], n == 1 || n == len(versions)))
		}
	})
	news := following(t, Options{Addr: s.addr})
	for i := range 4 {
		select {
		case <-news:
		case <-time.After(10 * time.Second):
			t.Fatalf("answer %d was not taken", i)
		}
	}
	testkit.Eventually(t, "the next call", func() bool { return s.count() > 4 })
	if q, _ := s.call(5); q.Get("after") != huge {
		t.Errorf("asked for what comes after %q", q.Get("after"))
	}
}
