package cli_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"onyxsail/internal/testkit"
)

const (
	soakSeeds  = 8 // in CI; SOAK_SEEDS names another number, SOAK_FROM the first seed
	soakNodes  = 4
	soakWindow = 600 * time.Millisecond // for repeats
	// heldUp is what a broker may be held up by at any moment (the standing test's 0.15 s),
	// and what the test's own processes may be on a busy machine. The exact limits are forced
	// by stand-ins in the packages' own tests.
	heldUp = 150 * time.Millisecond
	// lastConnect is until when new connections come after SIGTERM.
	lastConnect = 400 * time.Millisecond
	// drainGrace is the settings'; the drain counts as told when both discoveries, the old one
	// and the new one of a move, have it.
	drainGrace = 500 * time.Millisecond
	// crossed is how soon a connection's end must show after a request was sent on it, if
	// the two crossed: a request that is read is not ended over.
	crossed = 100 * time.Millisecond
)

// soakRequest is one request and what became of it.
type soakRequest struct {
	id     string
	keyed  bool
	nth    int       // request of its connection
	opened time.Time // its connection
	sent   time.Time // its last byte
	within time.Duration
	left   time.Time // when its client closed the connection over it
	status int       // 0: no answer
	ended  time.Time
	err    error
}

// soakCall is a part that came to a node.
type soakCall struct {
	testkit.Part
	node *testkit.Node
	end  string
}

// soak is one seed's broker with all that goes on around it.
type soak struct {
	t      *testing.T
	rng    *rand.Rand
	listen string
	longer time.Duration // the longest deadline
	held   time.Duration // what the broker, or the test, may be held up by

	mu    sync.Mutex
	all   []*soakRequest
	calls []soakCall
	term  time.Time
}

// Brokers under load, with nodes that fail, hang and drain, clients that leave, SIGHUPs in
// series, a crowd in some runs, and SIGTERM with SIGKILL at its earliest, while clients
// go on using open connections until then.
func TestSoak(t *testing.T) {
	number := func(name string, usual int) int {
		if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
			return n
		}
		return usual
	}
	from := number("SOAK_FROM", 1)
	atOnce := make(chan struct{}, 4)
	for seed := from; seed < from+number("SOAK_SEEDS", soakSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			atOnce <- struct{}{}
			defer func() { <-atOnce }()
			(&soak{t: t, rng: rand.New(rand.NewPCG(uint64(seed), 0x50a4))}).run()
		})
	}
}

func (s *soak) run() {
	deadlines := []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, time.Second, 4 * time.Second}
	s.longer = deadlines[s.rng.IntN(len(deadlines))]
	crowd, hangs, stops := s.rng.IntN(3) == 0, s.rng.IntN(2) == 0, s.rng.IntN(2) == 0
	s.held = heldUp
	var nodes []*testkit.Node
	var list []testkit.Entry
	for i := range soakNodes {
		n := testkit.NewNode(s.t, fmt.Sprintf("s-%d", i), false)
		n.SetResponder(s.work(n, s.rng.Uint64(), 0.05))
		nodes, list = append(nodes, n), append(list, n.Entry())
	}
	discoveries := []*testkit.Discovery{testkit.NewDiscovery(s.t, list...), testkit.NewDiscovery(s.t, list...)}
	file := func(d *testkit.Discovery) []byte {
		settings := withDeadline(s.longer)
		for _, class := range settings["classes"].([]any) {
			class.(map[string]any)["windowMs"] = float64(soakWindow.Milliseconds())
		}
		return testkit.Config(d.Addr, list, settings, map[string]any{
			"hand_over_ms": 550, "limits": map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 128},
		})
	}
	s.listen = freeAddr(s.t)
	p := start(s.t, file(discoveries[0]), s.listen)
	testkit.Eventually(s.t, "it is ready", func() bool { return ready(s.listen) })
	over := make(chan struct{})
	var clients sync.WaitGroup
	for c := range 6 {
		rng := rand.New(rand.NewPCG(s.rng.Uint64(), 2))
		clients.Go(func() { s.client(c, rng, over) })
	}
	if crowd {
		for range 150 {
			if c, err := net.Dial("tcp", s.listen); err == nil {
				defer c.Close()
			}
		}
	}
	signal := func(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) } // fails where it has ended
	if cuts := rand.New(rand.NewPCG(s.rng.Uint64(), 4)); cuts.IntN(2) == 0 {
		clients.Go(func() { cut(cuts, nodes, over) })
	}
	if stops {
		s.held += heldUp
		rng := rand.New(rand.NewPCG(s.rng.Uint64(), 3))
		clients.Go(func() { hold(rng, signal, over) })
	}
	hups := s.rng.IntN(4)
	for i := hups; i > 0; i-- {
		time.Sleep(time.Duration(s.rng.IntN(200)) * time.Millisecond)
		if err := os.WriteFile(p.file, file(discoveries[i%2]), 0o600); err != nil {
			s.t.Fatal(err)
		}
		signal(syscall.SIGHUP)
	}
	if s.rng.IntN(3) == 0 { // the watches fall silent
		discoveries[0].StallWatches()
		discoveries[1].StallWatches()
	}
	drained := nodes[s.rng.IntN(len(nodes))]
	e := drained.Entry()
	e.State = "terminating"
	versions := []int{discoveries[0].Update(e), discoveries[1].Update(e)}
	told := time.Now()
	time.Sleep(time.Duration(200+s.rng.IntN(800)) * time.Millisecond)
	if hangs { // through the whole of the stop
		for range 2 {
			n := nodes[s.rng.IntN(len(nodes))]
			n.SetResponder(s.work(n, 0, 1))
		}
	}
	s.mu.Lock()
	s.term = time.Now()
	s.mu.Unlock()
	signal(syscall.SIGTERM)
	kill := time.NewTimer(killAfter(s.longer))
	ended := make(chan error, 1)
	go func() { ended <- p.cmd.Wait() }()
	for range s.rng.IntN(3) {
		time.Sleep(time.Duration(s.rng.IntN(150)) * time.Millisecond)
		signal([]syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT}[s.rng.IntN(3)])
	}
	var killed time.Time
	select {
	case err := <-ended:
		killed = time.Now()
		if err != nil {
			s.t.Errorf("it ended with %v\n%s", err, p.text())
		}
	case <-kill.C:
		killed = time.Now()
		_ = p.cmd.Process.Kill()
		<-ended
	}
	close(over)
	clients.Wait()
	for i, d := range discoveries { // by the one that it follows: 4 s after a move at the latest
		if at := d.SentAt(versions[i]); at.After(told) {
			told = at
		}
	}
	if hups > 0 {
		told = told.Add(4 * time.Second)
	}
	s.audit(drained, told, killed)
	if s.t.Failed() {
		s.t.Logf("deadline %v, crowd %v, nodes that hang %v, held up %v\n%s", s.longer, crowd, hangs, stops, p.text())
	}
}

// hold holds the broker up now and then.
func hold(rng *rand.Rand, signal func(syscall.Signal), over <-chan struct{}) {
	for {
		select {
		case <-over:
			return
		case <-time.After(time.Duration(rng.IntN(300)) * time.Millisecond):
		}
		signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(rng.Int64N(int64(heldUp))))
		signal(syscall.SIGCONT)
	}
}

// cut resets all connections of a node now and then.
func cut(rng *rand.Rand, nodes []*testkit.Node, over <-chan struct{}) {
	for {
		select {
		case <-over:
			return
		case <-time.After(time.Duration(rng.IntN(400)) * time.Millisecond):
			nodes[rng.IntN(len(nodes))].ResetConnections()
		}
	}
}

// work ends a node's parts in some way or other; bad is the share of each of the bad ways,
// from 1 on all hang.
func (s *soak) work(n *testkit.Node, seed uint64, bad float64) func(testkit.Part) string {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 1))
	return func(call testkit.Part) string {
		mu.Lock()
		x, wait := rng.Float64(), time.Duration(rng.IntN(20))*time.Millisecond
		mu.Unlock()
		end := testkit.Done
		for i, way := range []string{testkit.NeverAnswer, testkit.Failed, testkit.Full, testkit.Disconnect} {
			if x < bad*float64(i+1) {
				end = way
				break
			}
		}
		s.mu.Lock()
		s.calls = append(s.calls, soakCall{call, n, end})
		s.mu.Unlock()
		time.Sleep(wait)
		return end
	}
}

// client sends one request after another on a connection that it keeps, until the broker
// ends it; it leaves some.
func (s *soak) client(c int, rng *rand.Rand, over <-chan struct{}) {
	var conn net.Conn
	var in *bufio.Reader
	var opened time.Time
	nth := 0
	for i := 0; ; i++ {
		select {
		case <-over:
			return
		default:
		}
		if conn == nil {
			s.mu.Lock()
			late := !s.term.IsZero() && time.Since(s.term) > lastConnect
			s.mu.Unlock()
			if late {
				return
			}
			var err error
			if conn, err = net.Dial("tcp", s.listen); err != nil {
				return // the door is closed
			}
			in, nth, opened = bufio.NewReader(conn), 0, time.Now()
		}
		nth++
		r := &soakRequest{id: fmt.Sprintf("c%d-%d", c, i), keyed: rng.IntN(3) == 0, nth: nth, opened: opened, within: s.longer * time.Duration(60+rng.IntN(41)) / 100}
		text := query(r.id, r.within)
		if r.keyed {
			text = strings.Replace(strings.Replace(text, "/screen", "/edit", 1), "X-Class: screen", "X-Class: edit\r\nIdempotency-Key: "+r.id, 1)
		}
		if _, r.err = io.WriteString(conn, text); r.err != nil {
			conn = nil // ended before this one
			continue
		}
		r.sent = time.Now()
		last := false
		if rng.IntN(12) == 0 {
			time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
			_ = conn.Close()
			r.left = time.Now()
		} else {
			_ = conn.SetReadDeadline(r.sent.Add(r.within + time.Second))
			var res *http.Response
			if res, r.err = http.ReadResponse(in, nil); r.err == nil {
				last = res.Close
				if _, r.err = io.Copy(io.Discard, res.Body); r.err == nil {
					r.status = res.StatusCode
				}
			}
			r.ended = time.Now()
		}
		if last || r.status == 0 || !r.left.IsZero() {
			_ = conn.Close()
			conn = nil
		}
		s.mu.Lock()
		s.all = append(s.all, r)
		s.mu.Unlock()
	}
}

// audit holds what happened against the protocol's rules.
func (s *soak) audit(drained *testkit.Node, told, killed time.Time) {
	s.mu.Lock() // a part may come to a node until the node is stopped, after the test
	calls := slices.Clone(s.calls)
	s.mu.Unlock()
	requests, forwarded := map[string]*soakRequest{}, map[string]bool{}
	for _, call := range calls {
		name, _, _ := strings.Cut(call.ID, ".")
		forwarded[name] = true
	}
	for _, r := range s.all {
		requests[r.id] = r
		late := r.ended.Sub(r.sent) > r.within+500*time.Millisecond+s.held
		switch {
		case !r.left.IsZero():
		case r.status != 0 && late:
			s.t.Errorf("%s: answered %v after it was sent, its client waits %v", r.id, r.ended.Sub(r.sent), r.within)
		case r.status == 0 && errors.Is(r.err, os.ErrDeadlineExceeded):
			s.t.Errorf("%s: no answer in %v", r.id, r.ended.Sub(r.sent))
		case r.status == 0 && r.ended.Sub(r.sent) > crossed:
			s.t.Errorf("%s, request %d of its connection, opened %v before: ended %v after it was sent, %v after SIGTERM, %v before the kill: %v",
				r.id, r.nth, r.sent.Sub(r.opened), r.ended.Sub(r.sent), r.sent.Sub(s.term), killed.Sub(r.sent), r.err)
		case r.status == 0 && forwarded[r.id]:
			s.t.Errorf("%s: forwarded, and its connection ended with no answer, %v after SIGTERM: %v", r.id, r.sent.Sub(s.term), r.err)
		}
	}
	slices.SortFunc(calls, func(a, b soakCall) int { return a.ReceivedAt.Compare(b.ReceivedAt) })
	ran, times := map[string]time.Time{}, map[string]int{} // ran: the first that may have
	for _, call := range calls {
		name, _, _ := strings.Cut(call.ID, ".")
		r := requests[name]
		if r == nil {
			continue // its client had no time to note it
		}
		if first, ok := ran[call.ID]; ok && r.keyed && call.ReceivedAt.Sub(first) > soakWindow+s.held {
			s.t.Errorf("%s: repeated %v after its first attempt that may have run", call.ID, call.ReceivedAt.Sub(first))
		} else if !ok && call.end != testkit.Full {
			ran[call.ID] = call.ReceivedAt
		}
		if times[call.ID]++; times[call.ID] > 3 {
			s.t.Errorf("%s: %d attempts", call.ID, times[call.ID])
		}
		if !r.left.IsZero() && call.ReceivedAt.Sub(r.left) > 100*time.Millisecond+s.held {
			s.t.Errorf("%s: begins %v after its client left", call.ID, call.ReceivedAt.Sub(r.left))
		}
		if left := r.within - call.ReceivedAt.Sub(r.sent); call.Timeout > left+150*time.Millisecond+s.held {
			s.t.Errorf("%s: told %v, its client has %v left", call.ID, call.Timeout, left)
		}
		if call.node == drained && call.ReceivedAt.Sub(told) > drainGrace+s.held {
			s.t.Errorf("%s: begins at %s %v after its drain was told", call.ID, call.node.ID, call.ReceivedAt.Sub(told))
		}
	}
	if len(s.all) < 6 { // some wait for 4 s each
		s.t.Errorf("%d requests only", len(s.all))
	}
}
