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
	defaultSoakSeeds = 8 // number of runs; SOAK_SEEDS sets another number, SOAK_FROM the first seed
	soakNodes        = 4
	soakRetryWindow  = 600 * time.Millisecond // in which a keyed request may be retried
	// maxPause is how long a test may pause the broker at any moment (0.15 s, as in the
	// standing test), and how long a busy machine may delay the test's own processes. The
	// packages' own tests check the exact limits, with fakes.
	maxPause = 150 * time.Millisecond
	// connectWindow is how long after SIGTERM clients still open connections.
	connectWindow = 400 * time.Millisecond
	// drainGrace is the drain grace of the settings. A drain counts as known once both
	// discoveries, the old and the new one of a switch, have sent it.
	drainGrace = 500 * time.Millisecond
	// crossingWindow is how soon after a request was sent its connection must end, if it ends
	// without an answer: the broker may close a connection while a request is on its way to
	// it, but not once it has read the request.
	crossingWindow = 100 * time.Millisecond
)

// soakRequest is one request and its result.
type soakRequest struct {
	id        string
	keyed     bool
	ordinal   int       // its place among the requests of its connection, from 1
	opened    time.Time // when its connection was opened
	sent      time.Time // when its last byte was sent
	timeout   time.Duration
	abandoned time.Time // when its client closed the connection before the answer
	status    int       // 0: no answer
	ended     time.Time
	err       error
}

// receivedPart is a part that a node received, with the outcome that the node gave it.
type receivedPart struct {
	testkit.Part
	node    *testkit.Node
	outcome string
}

// soakRun is the run of one seed: a broker, and what its clients and nodes saw.
type soakRun struct {
	t              *testing.T
	rng            *rand.Rand
	listen         string
	deadline       time.Duration // the deadline of all classes
	pauseAllowance time.Duration // how long pauses may delay the broker or the test; added to the limits that audit checks

	mu         sync.Mutex
	requests   []*soakRequest
	parts      []receivedPart
	terminated time.Time // when SIGTERM was sent
}

// Runs brokers under load and checks the protocol's rules on every request and attempt: no
// lost answer, no late retry, no attempt at a drained node. Nodes fail, hang and drain, clients
// disconnect, SIGHUPs come in series, in some runs many idle clients connect, and SIGTERM
// is followed by SIGKILL at its earliest while clients still use their open connections.
func TestSoak(t *testing.T) {
	envNumber := func(name string, fallback int) int {
		if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
			return n
		}
		return fallback
	}
	from := envNumber("SOAK_FROM", 1)
	slots := make(chan struct{}, 4)
	for seed := from; seed < from+envNumber("SOAK_SEEDS", defaultSoakSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			(&soakRun{t: t, rng: rand.New(rand.NewPCG(uint64(seed), 0x50a4))}).run()
		})
	}
}

// run starts the broker, its nodes and clients, injects the faults that the seed selects, stops
// the broker and audits the run.
func (s *soakRun) run() {
	deadlines := []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, time.Second, 4 * time.Second}
	s.deadline = deadlines[s.rng.IntN(len(deadlines))]
	crowd, nodesHang, pauses := s.rng.IntN(3) == 0, s.rng.IntN(2) == 0, s.rng.IntN(2) == 0
	s.pauseAllowance = maxPause
	var nodes []*testkit.Node
	var list []testkit.Entry
	for i := range soakNodes {
		n := testkit.NewNode(s.t, fmt.Sprintf("s-%d", i), false)
		n.SetResponder(s.nodeBehavior(n, s.rng.Uint64(), 0.05))
		nodes, list = append(nodes, n), append(list, n.Entry())
	}
	discoveries := []*testkit.Discovery{testkit.NewDiscovery(s.t, list...), testkit.NewDiscovery(s.t, list...)}
	configFor := func(d *testkit.Discovery) []byte {
		settings := settingsWithDeadline(s.deadline)
		for _, class := range settings["classes"].([]any) {
			class.(map[string]any)["windowMs"] = float64(soakRetryWindow.Milliseconds())
		}
		return testkit.Config(d.Addr, list, settings, map[string]any{
			"hand_over_ms": 550, "limits": map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 128},
		})
	}
	s.listen = freeAddr(s.t)
	p := startDeployed(s.t, configFor(discoveries[0]), s.listen)
	testkit.Eventually(s.t, "the broker is ready", func() bool { return isReady(s.listen) })
	done := make(chan struct{})
	var clients sync.WaitGroup
	for c := range 6 {
		rng := rand.New(rand.NewPCG(s.rng.Uint64(), 2))
		clients.Go(func() { s.client(c, rng, done) })
	}
	if crowd {
		for range 150 {
			if c, err := net.Dial("tcp", s.listen); err == nil {
				defer c.Close()
			}
		}
	}
	signal := func(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) } // fails if the process has exited
	if cutRNG := rand.New(rand.NewPCG(s.rng.Uint64(), 4)); cutRNG.IntN(2) == 0 {
		clients.Go(func() { cutConnectionsRandomly(cutRNG, nodes, done) })
	}
	if pauses {
		s.pauseAllowance += maxPause
		rng := rand.New(rand.NewPCG(s.rng.Uint64(), 3))
		clients.Go(func() { pauseRandomly(rng, signal, done) })
	}
	reloads := s.rng.IntN(4)
	for i := reloads; i > 0; i-- {
		time.Sleep(time.Duration(s.rng.IntN(200)) * time.Millisecond)
		if err := os.WriteFile(p.configFile, configFor(discoveries[i%2]), 0o600); err != nil {
			s.t.Fatal(err)
		}
		signal(syscall.SIGHUP)
	}
	if s.rng.IntN(3) == 0 { // the watches of both discoveries stay open but send nothing more
		discoveries[0].StallWatches()
		discoveries[1].StallWatches()
	}
	drained := nodes[s.rng.IntN(len(nodes))]
	drainedEntry := drained.Entry()
	drainedEntry.State = "terminating"
	versions := []int{discoveries[0].Update(drainedEntry), discoveries[1].Update(drainedEntry)}
	drainKnown := time.Now()
	time.Sleep(time.Duration(200+s.rng.IntN(800)) * time.Millisecond)
	if nodesHang { // until the process has stopped
		for range 2 {
			n := nodes[s.rng.IntN(len(nodes))]
			n.SetResponder(s.nodeBehavior(n, 0, 1))
		}
	}
	s.mu.Lock()
	s.terminated = time.Now()
	s.mu.Unlock()
	signal(syscall.SIGTERM)
	kill := time.NewTimer(earliestKill(s.deadline))
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
			s.t.Errorf("the broker exited with %v, want status 0; its log:\n%s", err, p.output())
		}
	case <-kill.C:
		killed = time.Now()
		_ = p.cmd.Process.Kill()
		<-ended
	}
	close(done)
	clients.Wait()
	for i, d := range discoveries { // the later of both; a broker follows the new one within 4 s of a switch
		if at := d.SentAt(versions[i]); at.After(drainKnown) {
			drainKnown = at
		}
	}
	if reloads > 0 {
		drainKnown = drainKnown.Add(4 * time.Second)
	}
	s.audit(drained, drainKnown, killed)
	if s.t.Failed() {
		s.t.Logf("deadline %v, idle clients %v, hanging nodes %v, pauses %v\n%s", s.deadline, crowd, nodesHang, pauses, p.output())
	}
}

// pauseRandomly pauses the broker at random times, for up to maxPause, until done is closed.
func pauseRandomly(rng *rand.Rand, signal func(syscall.Signal), done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(rng.IntN(300)) * time.Millisecond):
		}
		signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(rng.Int64N(int64(maxPause))))
		signal(syscall.SIGCONT)
	}
}

// cutConnectionsRandomly resets all connections of a random node at random times,
// until done is closed.
func cutConnectionsRandomly(rng *rand.Rand, nodes []*testkit.Node, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(rng.IntN(400)) * time.Millisecond):
			nodes[rng.IntN(len(nodes))].ResetConnections()
		}
	}
}

// nodeBehavior returns a responder of a node, which draws the outcome of each part and records
// both. Each kind of fault has the share faultShare; at 1 all parts hang.
func (s *soakRun) nodeBehavior(n *testkit.Node, seed uint64, faultShare float64) func(testkit.Part) string {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 1))
	return func(part testkit.Part) string {
		mu.Lock()
		draw, delay := rng.Float64(), time.Duration(rng.IntN(20))*time.Millisecond
		mu.Unlock()
		outcome := testkit.Done
		for i, fault := range []string{testkit.NeverAnswer, testkit.Failed, testkit.Full, testkit.Disconnect} {
			if draw < faultShare*float64(i+1) {
				outcome = fault
				break
			}
		}
		s.mu.Lock()
		s.parts = append(s.parts, receivedPart{part, n, outcome})
		s.mu.Unlock()
		time.Sleep(delay)
		return outcome
	}
}

// client sends requests one after another on a connection that it keeps until the broker
// closes it, and abandons some of them.
func (s *soakRun) client(c int, rng *rand.Rand, done <-chan struct{}) {
	var conn net.Conn
	var reader *bufio.Reader
	var opened time.Time
	ordinal := 0
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		default:
		}
		if conn == nil {
			s.mu.Lock()
			tooLate := !s.terminated.IsZero() && time.Since(s.terminated) > connectWindow
			s.mu.Unlock()
			if tooLate {
				return
			}
			var err error
			if conn, err = net.Dial("tcp", s.listen); err != nil {
				return // the listener is closed
			}
			reader, ordinal, opened = bufio.NewReader(conn), 0, time.Now()
		}
		ordinal++
		r := &soakRequest{id: fmt.Sprintf("c%d-%d", c, i), keyed: rng.IntN(3) == 0, ordinal: ordinal, opened: opened, timeout: s.deadline * time.Duration(60+rng.IntN(41)) / 100}
		request := queryRequest(r.id, r.timeout)
		if r.keyed {
			request = strings.Replace(strings.Replace(request, "/screen", "/edit", 1), "X-Class: screen", "X-Class: edit\r\nIdempotency-Key: "+r.id, 1)
		}
		if _, r.err = io.WriteString(conn, request); r.err != nil {
			conn = nil // closed before this request
			continue
		}
		r.sent = time.Now()
		closing := false
		if rng.IntN(12) == 0 {
			time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
			_ = conn.Close()
			r.abandoned = time.Now()
		} else {
			_ = conn.SetReadDeadline(r.sent.Add(r.timeout + time.Second))
			var res *http.Response
			if res, r.err = http.ReadResponse(reader, nil); r.err == nil {
				closing = res.Close
				if _, r.err = io.Copy(io.Discard, res.Body); r.err == nil {
					r.status = res.StatusCode
				}
			}
			r.ended = time.Now()
		}
		if closing || r.status == 0 || !r.abandoned.IsZero() {
			_ = conn.Close()
			conn = nil
		}
		s.mu.Lock()
		s.requests = append(s.requests, r)
		s.mu.Unlock()
	}
}

// audit checks the recorded requests and parts against the protocol's rules. The broker counts
// as knowing of the drain of the node drained from drainKnown on. killed is when the broker's
// process ended.
func (s *soakRun) audit(drained *testkit.Node, drainKnown, killed time.Time) {
	s.mu.Lock() // nodes may receive parts until they are stopped, after the test
	parts := slices.Clone(s.parts)
	s.mu.Unlock()
	byID, forwarded := map[string]*soakRequest{}, map[string]bool{}
	for _, part := range parts {
		queryID, _, _ := strings.Cut(part.ID, ".")
		forwarded[queryID] = true
	}
	for _, r := range s.requests {
		byID[r.id] = r
		late := r.ended.Sub(r.sent) > r.timeout+500*time.Millisecond+s.pauseAllowance
		switch {
		case !r.abandoned.IsZero():
		case r.status != 0 && late:
			s.t.Errorf("%s: answered %v after it was sent, want within its deadline of %v", r.id, r.ended.Sub(r.sent), r.timeout)
		case r.status == 0 && errors.Is(r.err, os.ErrDeadlineExceeded):
			s.t.Errorf("%s: no answer within %v", r.id, r.ended.Sub(r.sent))
		case r.status == 0 && r.ended.Sub(r.sent) > crossingWindow:
			s.t.Errorf("%s, request %d of its connection, opened %v before: connection closed without an answer %v after the request, which was sent %v after SIGTERM and %v before the kill: %v",
				r.id, r.ordinal, r.sent.Sub(r.opened), r.ended.Sub(r.sent), r.sent.Sub(s.terminated), killed.Sub(r.sent), r.err)
		case r.status == 0 && forwarded[r.id]:
			s.t.Errorf("%s: forwarded, but its connection closed without an answer; sent %v after SIGTERM: %v", r.id, r.sent.Sub(s.terminated), r.err)
		}
	}
	slices.SortFunc(parts, func(a, b receivedPart) int { return a.ReceivedAt.Compare(b.ReceivedAt) })
	firstRun, attempts := map[string]time.Time{}, map[string]int{} // firstRun: the first attempt that may have taken effect
	for _, part := range parts {
		queryID, _, _ := strings.Cut(part.ID, ".")
		r := byID[queryID]
		if r == nil {
			continue // its client had not recorded it yet
		}
		if first, ok := firstRun[part.ID]; ok && r.keyed && part.ReceivedAt.Sub(first) > soakRetryWindow+s.pauseAllowance {
			s.t.Errorf("%s: retried %v after its first attempt that may have taken effect", part.ID, part.ReceivedAt.Sub(first))
		} else if !ok && part.outcome != testkit.Full {
			firstRun[part.ID] = part.ReceivedAt
		}
		if attempts[part.ID]++; attempts[part.ID] > 3 {
			s.t.Errorf("%s: %d attempts, want at most 3", part.ID, attempts[part.ID])
		}
		if !r.abandoned.IsZero() && part.ReceivedAt.Sub(r.abandoned) > 100*time.Millisecond+s.pauseAllowance {
			s.t.Errorf("%s: attempt started %v after its client disconnected", part.ID, part.ReceivedAt.Sub(r.abandoned))
		}
		if remaining := r.timeout - part.ReceivedAt.Sub(r.sent); part.Timeout > remaining+150*time.Millisecond+s.pauseAllowance {
			s.t.Errorf("%s: the node was given a deadline of %v, its client has %v left", part.ID, part.Timeout, remaining)
		}
		if part.node == drained && part.ReceivedAt.Sub(drainKnown) > drainGrace+s.pauseAllowance {
			s.t.Errorf("%s: attempt started at %s %v after its drain was known", part.ID, part.node.ID, part.ReceivedAt.Sub(drainKnown))
		}
	}
	if len(s.requests) < 6 { // each of the 6 clients may wait for 4 s
		s.t.Errorf("got %d requests, want at least 6", len(s.requests))
	}
}
