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
	"onyxsail/internal/testkit"
)

// A client that says nothing for a while, sends half a request then and stays is owed its
// error or close within 3 s of connecting; one that takes 2 s to write a request is served.
func TestTimeForARequestCountsFromTheConnection(t *testing.T) {
	const owed = 3 * time.Second
	f, core := start(t)
	began := time.Now()
	late, lateIn := dial(t, f)
	slow, slowIn := dial(t, f)
	request := named("slow")
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		const pieces = 10
		for i := range pieces {
			_, _ = io.WriteString(slow, request[i*len(request)/pieces:(i+1)*len(request)/pieces])
			time.Sleep(2 * time.Second / (pieces - 1))
		}
	}()
	time.Sleep(time.Until(began.Add(silentFor - 50*time.Millisecond)))
	say(t, late, request[:len(request)/2])
	if res, _ := read(t, lateIn); res.StatusCode != http.StatusRequestTimeout || time.Since(began) > owed {
		t.Errorf("status %d after %v", res.StatusCode, time.Since(began))
	}
	<-ended
	testkit.Eventually(t, "the slow request is taken", func() bool { return core.taken() == 1 })
	core.answer(1, broker.Reply{Verdict: broker.Refused})
	if res, _ := read(t, slowIn); res.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d", res.StatusCode)
	}
}

// A request that waits for 100 Continue behind another one hears it when its turn comes;
// one that has been refused does not.
func TestContinueBehindAnotherRequest(t *testing.T) {
	f, core := start(t)
	client, in := dial(t, f)
	say(t, client, named("first"))
	testkit.Eventually(t, "the first is taken", func() bool { return core.taken() == 1 })
	head, body, _ := strings.Cut(post("/screen", strings.Replace(heads, "q1", "second", 1)+"Expect: 100-continue\r\n", good), "\r\n\r\n")
	say(t, client, head+"\r\n\r\n")
	testkit.Eventually(t, "the head is read", func() bool {
		c := f.list()[0]
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.parser.Mid()
	})
	core.answer(1, broker.Reply{Verdict: broker.Refused})
	read(t, in)
	if line, err := in.ReadString('\n'); err != nil || !strings.HasPrefix(line, "HTTP/1.1 100 ") {
		t.Fatalf("got %q, %v", line, err)
	}
	if _, err := in.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	say(t, client, body)
	testkit.Eventually(t, "the second is taken", func() bool { return core.taken() == 2 })
	core.answer(2, broker.Reply{Verdict: broker.Refused})
	read(t, in)

	client, in = dial(t, f)
	say(t, client, "POST /screen HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n")
	if res, _ := read(t, in); res.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d", res.StatusCode)
	}
	if rest, err := io.ReadAll(in); err != nil || len(rest) > 0 {
		t.Errorf("behind the answer: %q, %v", rest, err)
	}
}

// A client that ends its own side counts as gone, and nothing begins for it; if it reads
// on, each request that was read has its final answer all the same: in work, behind
// another one, and such as came with the end.
func TestClientThatEndsItsSideIsAnswered(t *testing.T) {
	for _, at := range []string{"in work", "with the end"} {
		f, core, loop := startAt(t, func(l listener) listener { return l })
		client, in := dial(t, f)
		requests := named("a") + named("b")
		if at == "in work" {
			say(t, client, requests)
			testkit.Eventually(t, "both are taken", func() bool { return core.taken() == 2 })
		} else {
			only(t, f, silent)
			letGo := holdReads(t, loop)
			say(t, client, requests)
			if err := client.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			testkit.Eventually(t, "the end is there", func() bool { return f.list()[0].sock.PeerClosed() })
			letGo()
		}
		if err := client.(*net.TCPConn).CloseWrite(); err != nil && !errors.Is(err, syscall.ENOTCONN) {
			t.Fatal(err)
		}
		for i := range 2 {
			res, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Errorf("%s: answer %d: %v", at, i, err)
				break
			}
			if _, err := io.Copy(io.Discard, res.Body); err != nil || res.StatusCode == http.StatusOK {
				t.Errorf("%s: answer %d: status %d, %v", at, i, res.StatusCode, err)
			}
		}
		if at == "in work" {
			testkit.Eventually(t, "both have left", func() bool {
				core.mu.Lock()
				defer core.mu.Unlock()
				return len(core.left) == 2
			})
		} else if n := core.taken(); n != 0 {
			t.Errorf("%s: %d queries reached the core", at, n)
		}
	}
}

// failing is a listener whose accepts fail for a while.
type failing struct {
	listener
	times atomic.Int64
}

func (l *failing) Accept() (net.Conn, error) {
	errnos := []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EINTR}
	if i := l.times.Add(1) - 1; i < int64(len(errnos)) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: errnos[i]}
	}
	return l.listener.Accept()
}

// Accepts that fail for a moment cost no connection.
func TestAcceptsThatFail(t *testing.T) {
	f, _, _ := startAt(t, func(l listener) listener { return &failing{listener: l} })
	client, in := dial(t, f)
	say(t, client, "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
	if res, _ := read(t, in); res.StatusCode != http.StatusOK {
		t.Errorf("status %d", res.StatusCode)
	}
}

// A connection may wait for its turn to be accepted, with a request: its client's time runs
// meanwhile, and what the nodes are told must not go beyond it.
func TestTimeBeforeTheAcceptIsCounted(t *testing.T) {
	const waited, slack = 400 * time.Millisecond, 150 * time.Millisecond
	f, core := start(t)
	for i := range f.places.limit { // all places are taken, by requests in work
		client, _ := dial(t, f)
		say(t, client, named("busy"+string(rune('a'+i))))
	}
	testkit.Eventually(t, "all are taken", func() bool { return core.taken() == f.places.limit })
	client, _ := dial(t, f)
	say(t, client, named("waits"))
	sent := time.Now()
	time.Sleep(waited)
	core.answer(1, broker.Reply{Verdict: broker.Refused}) // its connection ends, as places are scarce
	testkit.Eventually(t, "the last is taken", func() bool { return core.taken() == f.places.limit+1 })
	q := core.queries[broker.QueryID(f.places.limit+1)]
	if left, told := q.Budget-time.Since(sent), q.Budget-time.Since(q.ArrivedAt); told > left+slack {
		t.Errorf("the client has %v left, the core is told %v", left, told)
	}
}

// Requests at the limits that the protocol gives, and next to them.
func TestRequestsAtTheirLimits(t *testing.T) {
	const most = 64 << 10
	padded := func(size int) string { return good[:len(good)-1] + strings.Repeat(" ", size-len(good)) + "}" }
	sized := func(size int, heads string) string {
		return "POST /screen HTTP/1.1\r\nHost: a\r\nX-Class: screen\r\n" + heads + "Content-Length: " + strconv.Itoa(size) + "\r\n\r\n" + padded(size)
	}
	chunked := func(size int, trailer string) string {
		whole := post("/screen", heads, padded(size))
		return whole[:len(whole)-len("\r\n")] + trailer + "\r\n"
	}
	deadline := func(ms string) string { return strings.Replace(heads, "480", ms, 1) }
	for _, c := range []struct {
		name, text string
		status     int // 0: it reaches the core
	}{
		{"64 KiB", sized(most, heads), 0},
		{"64 KiB and a byte", sized(most+1, heads), 413},
		{"64 KiB in chunks", chunked(most, ""), 0},
		{"64 KiB and a byte in chunks", chunked(most+1, ""), 413},
		{"chunks with trailers", chunked(1000, "X-Sum: 1\r\nX-More: 2\r\n"), 0},
		{"a deadline of 1", sized(1000, deadline("1")), 0},
		{"a deadline of 0", sized(1000, deadline("0")), 400},
		{"a deadline that is not whole", sized(1000, deadline("1.5")), 400},
		{"a long deadline", sized(1000, deadline("2147483647")), 0},
	} {
		f, core := start(t)
		client, in := dial(t, f)
		say(t, client, c.text)
		if c.status != 0 {
			if res, _ := read(t, in); res.StatusCode != c.status || core.taken() != 0 {
				t.Errorf("%s: status %d, %d taken", c.name, res.StatusCode, core.taken())
			}
			continue
		}
		testkit.Eventually(t, c.name+" is taken", func() bool { return core.taken() == 1 })
	}
}

// A body holds 64 KiB at most, an answer's too: one that would be larger is a failure that
// the client can read.
func TestAnswerAtItsLimit(t *testing.T) {
	value := func(size int) broker.Reply {
		return broker.Reply{Verdict: broker.Served, Whole: true, Values: []broker.Value{{Shard: 3, Data: []byte(strings.Repeat("v", size))}}}
	}
	around := len(encodeReply(nil, value(0), false)) // less the digits of the length
	const heads = len("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 51\r\n\r\n")
	for size, status := range map[int]string{MaxBody - (around - heads): "200", MaxBody - (around - heads) + 1: "502"} {
		if text := string(encodeReply(nil, value(size), false)); !strings.HasPrefix(text, "HTTP/1.1 "+status) {
			t.Errorf("a value of %d bytes: %.80q", size, text)
		}
	}
}

// A crowd that connects and says nothing holds up no request for long: where places are
// scarce such a connection goes at once, as there is no answer of it to protect.
func TestCrowdHoldsUpNoRequest(t *testing.T) {
	f, core := start(t)
	for range 5 * f.places.limit { // which never close: they wait for the front to do it
		dial(t, f)
	}
	began := time.Now()
	client, _ := dial(t, f)
	say(t, client, named("a"))
	testkit.Eventually(t, "the request is taken", func() bool { return core.taken() == 1 })
	if took, most := time.Since(began), 7*youngest; took > most {
		t.Errorf("taken after %v, want %v at most", took, most)
	}
}
