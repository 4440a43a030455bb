package httpfront

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"onyxsail/broker"
	"onyxsail/internal/netio"
	"onyxsail/internal/query"
	"onyxsail/internal/testkit"
)

// fakeCore takes queries and answers when it is told to.
type fakeCore struct {
	mu      sync.Mutex
	next    broker.QueryID
	queries map[broker.QueryID]*broker.Query
	who     map[broker.QueryID]broker.Replier
	left    []broker.QueryID
	full    bool
}

func (c *fakeCore) Submit(q *broker.Query, r broker.Replier) (broker.QueryID, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.full {
		return 0, false
	}
	c.next++
	c.queries[c.next], c.who[c.next] = q, r
	return c.next, true
}

func (c *fakeCore) Leave(id broker.QueryID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left = append(c.left, id)
}

func (c *fakeCore) taken() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queries)
}

func (c *fakeCore) answer(id broker.QueryID, r broker.Reply) {
	c.mu.Lock()
	who := c.who[id]
	c.mu.Unlock()
	who.Reply(id, r)
}

func start(t *testing.T) (*Front, *fakeCore) {
	t.Helper()
	f, core, _ := startAt(t, func(l listener) listener { return l })
	return f, core
}

// startAt starts a front at a listener that the test has its hands on.
func startAt(t *testing.T, wrap func(listener) listener) (*Front, *fakeCore, *netio.Loop) {
	t.Helper()
	loop, err := netio.New(64 << 20)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	core := &fakeCore{queries: map[broker.QueryID]*broker.Query{}, who: map[broker.QueryID]broker.Replier{}}
	f := serve(wrap(l.(*net.TCPListener)), Options{
		Core: core, Loop: loop, MaxConns: 8, Shards: 18, Log: zerolog.New(io.Discard),
		Classes: map[string]query.Class{"screen": {Name: "screen"}, "edit": {Name: "edit", Index: 1, Keyed: true}},
	})
	f.SetReady(true)
	t.Cleanup(func() {
		over, cancel := context.WithCancel(context.Background())
		cancel()
		if !f.draining.Load() {
			f.Drain(over, 0)
		}
		loop.Stop()
	})
	return f, core, loop
}

func dial(t *testing.T, f *Front) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", f.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

func read(t *testing.T, in *bufio.Reader) (*http.Response, string) {
	t.Helper()
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res, string(body)
}

const (
	good  = `{"targets":[{"partition":3,"share":0.5,"est_us":9000,"route":"00ff00ff00ff00ff"},{"partition":9,"share":0.5}],"query":"c41e77d0"}`
	heads = "X-Request-Id: q1\r\nX-Deadline-Ms: 480\r\nIdempotency-Key: k1\r\n"
)

func post(path, headers, body string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: a\r\nX-Class: " + path[1:] + "\r\n" + headers + "Transfer-Encoding: chunked\r\n\r\n" + chunks(body)
}

func chunks(body string) string {
	var b strings.Builder
	for ; len(body) > 0; body = body[min(15, len(body)):] {
		n := min(15, len(body))
		b.WriteString(string("0123456789abcdef"[n]) + "\r\n" + body[:n] + "\r\n")
	}
	return b.String() + "0\r\n\r\n"
}

func TestRequestsThatCannotBeTaken(t *testing.T) {
	f, core := start(t)
	for _, c := range []struct {
		name, in string
		status   int
		close    bool
	}{
		{"ready", "GET /ready HTTP/1.1\r\n\r\n", 200, false},
		{"ready posted", "POST /ready HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405, false},
		{"no class", post("/nothing", heads, good), 404, false},
		{"not posted", "GET /screen HTTP/1.1\r\n\r\n", 405, false},
		{"two classes", post("/screen", heads+"X-Class: screen\r\n", good), 400, false},
		{"a class and a path that differ", strings.Replace(post("/screen", heads, good), "X-Class: screen", "X-Class: edit", 1), 400, false},
		{"no class beside the path", strings.Replace(post("/screen", heads, good), "X-Class: screen\r\n", "", 1), 400, false},
		{"two ids", post("/screen", heads+"X-Request-Id: q2\r\n", good), 400, false},
		{"no deadline in words", post("/screen", "X-Request-Id: a\r\nX-Deadline-Ms: soon\r\n", good), 400, false},
		{"a deadline before now", post("/screen", "X-Request-Id: a\r\nX-Deadline-Ms: -5\r\n", good), 400, false},
		{"shares over one in all", post("/screen", heads, `{"targets":[{"partition":1,"share":0.9},{"partition":2,"share":0.9}],"query":"x"}`), 400, false},
		{"shares under one in all", post("/screen", heads, `{"targets":[{"partition":1,"share":0.2},{"partition":2,"share":0.2}],"query":"x"}`), 400, false},
		{"a share below zero", post("/screen", heads, `{"targets":[{"partition":1,"share":-0.5},{"partition":2,"share":1}],"query":"x"}`), 400, false},
		{"a text that is no UTF-8", post("/screen", heads, "{\"targets\":[{\"partition\":1,\"share\":1}],\"query\":\"\xff\"}"), 400, false},
		{"a length and chunks", "POST /screen HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + post("/screen", heads, good), 400, true},
		{"no id", post("/screen", "X-Deadline-Ms: 480\r\n", good), 400, false},
		{"no deadline", post("/screen", "X-Request-Id: a\r\n", good), 400, false},
		{"deadline no number", post("/screen", "X-Request-Id: a\r\nX-Deadline-Ms: 1e3\r\n", good), 400, false},
		{"no key", post("/edit", "X-Request-Id: a\r\nX-Deadline-Ms: 480\r\n", good), 400, false},
		{"key with a comma", post("/edit", "X-Request-Id: a\r\nX-Deadline-Ms: 480\r\nIdempotency-Key: a,d=1\r\n", good), 400, false},
		{"no JSON", post("/screen", heads, "{"), 400, false},
		{"no targets", post("/screen", heads, `{"targets":[],"query":"x"}`), 400, false},
		{"no query", post("/screen", heads, `{"targets":[{"partition":3,"share":1}]}`), 400, false},
		{"shard out of range", post("/screen", heads, `{"targets":[{"partition":18,"share":1}],"query":"x"}`), 400, false},
		{"shard twice", post("/screen", heads, `{"targets":[{"partition":1,"share":1},{"partition":1,"share":1}],"query":"x"}`), 400, false},
		{"share over one", post("/screen", heads, `{"targets":[{"partition":1,"share":1.5}],"query":"x"}`), 400, false},
		{"route too short", post("/screen", heads, `{"targets":[{"partition":1,"share":1,"route":"ff"}],"query":"x"}`), 400, false},
		{"body too large", "POST /screen HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", 413, true},
		{"head too large", "GET /" + strings.Repeat("x", 17<<10) + " HTTP/1.1\r\n\r\n", 431, true},
		{"framing lost", "POST /screen HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400, true},
	} {
		conn, in := dial(t, f)
		if _, err := io.WriteString(conn, c.in); err != nil {
			t.Fatal(err)
		}
		res, _ := read(t, in)
		if res.StatusCode != c.status || res.Close != c.close {
			t.Errorf("%s: status %d close %v, want %d %v", c.name, res.StatusCode, res.Close, c.status, c.close)
		}
		if c.close {
			if _, err := in.ReadByte(); err != io.EOF {
				t.Errorf("%s: the connection stays open: %v", c.name, err)
			}
		}
		conn.Close()
		for f.places.held() > 1 { // one is taken for the next: a crowded front ends connections
			time.Sleep(time.Millisecond)
		}
	}
	if core.taken() != 0 {
		t.Errorf("%d queries reached the core", core.taken())
	}
}

func TestAnswers(t *testing.T) {
	f, core := start(t)
	conn, in := dial(t, f)
	for i, c := range []struct {
		reply  broker.Reply
		status int
		body   string
		retry  string
	}{
		{broker.Reply{Verdict: broker.Served, Whole: true, Values: []broker.Value{{Shard: 3, Data: []byte("5be2")}}}, 200,
			`{"whole":true,"results":[{"partition":3,"value":"5be2"}]}`, ""},
		{broker.Reply{Verdict: broker.Refused}, 503, "refused\n", ""},
		{broker.Reply{Verdict: broker.Refused, RetryAfter: 1234 * time.Millisecond}, 503, "refused\n", "1.234"},
		{broker.Reply{Verdict: broker.Failed}, 500, "failed\n", ""},
		{broker.Reply{Verdict: broker.Expired}, 504, "out of time\n", ""},
		{broker.Reply{Verdict: broker.Duplicate}, 409, "a request of this id is open\n", ""},
		{broker.Reply{Verdict: broker.Served, Values: []broker.Value{{Shard: 3, Data: []byte("\xff")}}}, 502, "a value is no text\n", ""},
	} {
		if _, err := io.WriteString(conn, post("/edit", heads, good)); err != nil {
			t.Fatal(err)
		}
		testkit.Eventually(t, "the query is taken", func() bool { return core.taken() == i+1 })
		core.answer(broker.QueryID(i+1), c.reply)
		res, body := read(t, in)
		if res.StatusCode != c.status || body != c.body || res.Header.Get("Retry-After") != c.retry {
			t.Errorf("%+v: got %d %q %q", c.reply, res.StatusCode, body, res.Header.Get("Retry-After"))
		}
	}
	q := core.queries[1]
	if q.RequestID != "q1" || q.IdempotencyKey != "k1" || q.Class != 1 || q.Budget != 480*time.Millisecond || string(q.Text) != "c41e77d0" ||
		len(q.Parts) != 2 || q.Parts[0] != (broker.Part{Shard: 3, Share: 0.5, WorkMs: 9, Hinted: true, Route: 0xff00ff00ff00ff}) {
		t.Errorf("decoded %+v", q)
	}
}

// Requests sent ahead are answered in their order, whichever ends first.
func TestPipelining(t *testing.T) {
	f, core := start(t)
	conn, in := dial(t, f)
	one := post("/screen", heads, good)
	if _, err := io.WriteString(conn, one+one+"GET /ready HTTP/1.1\r\n\r\n"+one[:20]); err != nil {
		t.Fatal(err)
	}
	testkit.Eventually(t, "both queries are taken", func() bool { return core.taken() == 2 })
	core.answer(2, broker.Reply{Verdict: broker.Failed})
	core.answer(1, broker.Reply{Verdict: broker.Refused})
	for _, want := range []int{503, 500, 200} {
		if res, _ := read(t, in); res.StatusCode != want {
			t.Errorf("status %d, want %d", res.StatusCode, want)
		}
	}
	if _, err := io.WriteString(conn, one[20:]); err != nil {
		t.Fatal(err)
	}
	testkit.Eventually(t, "the third query is taken", func() bool { return core.taken() == 3 })
	conn.Close()
	testkit.Eventually(t, "the core hears that the client left", func() bool {
		core.mu.Lock()
		defer core.mu.Unlock()
		return len(core.left) == 1 && core.left[0] == 3
	})
}

// An overfull queue refuses; nothing is dropped.
func TestOverfullQueueRefuses(t *testing.T) {
	f, core := start(t)
	core.full = true
	conn, in := dial(t, f)
	if _, err := io.WriteString(conn, post("/screen", heads, good)); err != nil {
		t.Fatal(err)
	}
	if res, _ := read(t, in); res.StatusCode != 503 {
		t.Errorf("status %d", res.StatusCode)
	}
}

// Draining takes new connections through the window, answers what was taken,
// and only then ends.
func TestDrainCutsNothingOff(t *testing.T) {
	f, core := start(t)
	idle, idleIn := dial(t, f)
	busy, busyIn := dial(t, f)
	if _, err := io.WriteString(busy, post("/screen", heads, good)); err != nil {
		t.Fatal(err)
	}
	testkit.Eventually(t, "the query is taken", func() bool { return core.taken() == 1 })
	ended := make(chan struct{})
	go func() {
		f.Drain(context.Background(), 300*time.Millisecond)
		close(ended)
	}()
	testkit.Eventually(t, "it drains", f.draining.Load)
	late, lateIn := dial(t, f)
	if _, err := io.WriteString(late, "GET /ready HTTP/1.1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if res, _ := read(t, lateIn); res.StatusCode != 503 || !res.Close {
		t.Errorf("ready while draining: %d close %v", res.StatusCode, res.Close)
	}
	if _, err := idleIn.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection: %v", err)
	}
	idle.Close()
	late.Close()
	select {
	case <-ended:
		t.Fatal("ended with a query open")
	default:
	}
	core.answer(1, broker.Reply{Verdict: broker.Served})
	if res, _ := read(t, busyIn); res.StatusCode != 200 || !res.Close {
		t.Errorf("status %d close %v", res.StatusCode, res.Close)
	}
	busy.Close()
	<-ended
}

// A request that never becomes whole does not keep the program from its end.
func TestDrainEndsHalfRequests(t *testing.T) {
	f, _ := start(t)
	conn, in := dial(t, f)
	if _, err := io.WriteString(conn, "POST /screen HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf"); err != nil {
		t.Fatal(err)
	}
	testkit.Eventually(t, "the half is read", func() bool {
		for _, c := range f.list() {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.parser.Mid()
		}
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan struct{})
	go func() {
		f.Drain(ctx, 0)
		close(ended)
	}()
	if res, _ := read(t, in); res.StatusCode != http.StatusRequestTimeout || !res.Close {
		t.Errorf("status %d close %v", res.StatusCode, res.Close)
	}
	conn.Close()
	<-ended
}

// What comes to nothing is ended in time, with a word where a request had begun.
func TestConnectionsThatComeToNothing(t *testing.T) {
	f, core := start(t)
	for _, c := range []struct {
		name, in string
		status   int // 0: a close without a word
	}{
		{"silent", "", 0},
		{"half a head", "POST /screen HTTP/1.1\r\nX-Requ", 408},
		{"half a body", "POST /screen HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf", 408},
		{"half a request after a whole one", "GET /ready HTTP/1.1\r\nHost: a\r\n\r\nPOST /scr", 408},
	} {
		conn, in := dial(t, f)
		if _, err := io.WriteString(conn, c.in); err != nil {
			t.Fatal(err)
		}
		if strings.HasPrefix(c.in, "GET") {
			read(t, in)
		}
		if c.status != 0 {
			if res, _ := read(t, in); res.StatusCode != c.status || !res.Close {
				t.Errorf("%s: status %d close %v", c.name, res.StatusCode, res.Close)
			}
		}
		if _, err := in.ReadByte(); err != io.EOF {
			t.Errorf("%s: %v, want the end", c.name, err)
		}
	}
	if core.taken() != 0 {
		t.Errorf("%d queries reached the core", core.taken())
	}
}

// Clients that asked once and keep their connections make room for others.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	f, _ := start(t)
	for range 3 * f.places.limit {
		conn, in := dial(t, f)
		if _, err := io.WriteString(conn, "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if res, _ := read(t, in); res.StatusCode != 200 {
			t.Errorf("status %d", res.StatusCode)
		}
	}
}

// Of the requests sent ahead a few are in work at once; a flood is cut after
// the first of them, whose answers still come first.
func TestFloodOfOneConnection(t *testing.T) {
	f, core := start(t)
	conn, in := dial(t, f)
	if _, err := io.WriteString(conn, strings.Repeat(post("/screen", heads, good), 3*maxAhead)); err != nil {
		t.Fatal(err)
	}
	testkit.Eventually(t, "the first are taken", func() bool { return core.taken() == maxPipelined })
	for i := range maxAhead {
		testkit.Eventually(t, "it is taken", func() bool { return core.taken() > i })
		core.answer(broker.QueryID(i+1), broker.Reply{Verdict: broker.Served})
		if res, _ := read(t, in); res.StatusCode != 200 {
			t.Errorf("answer %d: status %d", i, res.StatusCode)
		}
	}
	if res, _ := read(t, in); res.StatusCode != 429 || !res.Close {
		t.Errorf("status %d close %v", res.StatusCode, res.Close)
	}
	if core.taken() != maxAhead {
		t.Errorf("%d queries reached the core", core.taken())
	}
}

// An early error reaches a peer that goes on sending: no reset eats it.
func TestEarlyErrorReachesSender(t *testing.T) {
	f, _ := start(t)
	conn, in := dial(t, f)
	if _, err := io.WriteString(conn, "POST /screen HTTP/1.1\r\nHost: a\r\nContent-Length: 60000000\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	for range 64 { // all of this is written before a byte is read
		if _, err := conn.Write(make([]byte, 64<<10)); err != nil {
			t.Fatal(err)
		}
	}
	if res, _ := read(t, in); res.StatusCode != 413 || !res.Close {
		t.Errorf("status %d close %v", res.StatusCode, res.Close)
	}
}

// Where connections are scarce, answers ask for their end.
func TestCrowdedFrontEndsConnections(t *testing.T) {
	f, _ := start(t)
	few := f.places.limit * 5 / 8
	for i := range few + 2 {
		conn, in := dial(t, f)
		if _, err := io.WriteString(conn, "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		res, _ := read(t, in)
		// At few itself it depends on whether the next slot is taken yet.
		if want := i >= few; res.StatusCode != 200 || res.Close != want && i != few-1 {
			t.Errorf("connection %d: status %d close %v, want %v", i, res.StatusCode, res.Close, want)
		}
	}
}
