package export

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"onyxsail/internal/testkit"
	"onyxsail/tracing/record"
)

func exporter(t *testing.T, addr string, l Limits) *Exporter {
	t.Helper()
	start := time.Now()
	e, err := New(Options{Endpoint: addr, Broker: "n1", Limits: l, Timeout: 200 * time.Millisecond, Seed: 3,
		Log: zerolog.New(io.Discard), Now: func() time.Duration { return time.Since(start) }})
	if err != nil {
		t.Fatal(err)
	}
	return e
}

var short = Limits{Queue: 8, Bytes: 1 << 20, Batch: 4, Wait: 5 * time.Millisecond, Back: 10 * time.Millisecond, Most: 40 * time.Millisecond, Longest: time.Minute, Tries: 6}

func trace(i int) *record.Trace {
	return &record.Trace{ID: record.TraceID{1, byte(i)}, Span: record.SpanID{2, byte(i)}, Received: time.Unix(1_800_000_000, 0),
		Accepted: 1, Ended: 1000, Attempts: []record.Attempt{{ID: 1, Opened: 2, Ended: 900, Span: record.SpanID{3, byte(i)}}}}
}

// A collector that hangs, refuses to come now, resets in the middle of a batch
// and then takes gets each trace; nothing that was taken is sent again.
func TestCollectorInTrouble(t *testing.T) {
	c := testkit.NewCollector(t, testkit.Scripted{Do: testkit.Hang}, testkit.Scripted{Status: 503, RetryAfter: "1"},
		testkit.Scripted{Do: testkit.Reset}, testkit.Scripted{Status: 429})
	e := exporter(t, c.Addr, short)
	for i := range 3 {
		e.Put(trace(i))
	}
	testkit.Eventually(t, "all spans", func() bool { return len(c.Spans()) == 6 })
	testkit.Eventually(t, "the answer", func() bool { return e.Counts().Sent == 3 })
	e.Close(context.Background())
	got := e.Counts()
	if got.Sent != 3 || got.Again != 4 || len(got.Dropped) != 0 || c.Requests() != 5 {
		t.Errorf("counts %+v after %d requests", got, c.Requests())
	}
	seen := map[string]int{}
	for _, s := range c.Spans() {
		seen[string(s.TraceId)+string(s.SpanId)]++
	}
	if len(seen) != 6 {
		t.Errorf("%d spans, want 6, each once", len(seen))
	}
}

// What a collector will never take is dropped and counted, and what comes
// behind it is sent.
func TestCollectorRefuses(t *testing.T) {
	c := testkit.NewCollector(t, testkit.Scripted{Status: 400}, testkit.Scripted{Do: testkit.HalfDone})
	e := exporter(t, c.Addr, short)
	e.Put(trace(1))
	testkit.Eventually(t, "the refusal", func() bool { return e.Counts().Dropped[Refused] == 1 })
	e.Put(trace(2))
	e.Put(trace(3))
	testkit.Eventually(t, "the rest", func() bool { n := e.Counts(); return n.Sent+n.Dropped[Rejected] == 2 })
	e.Close(context.Background())
	if got := e.Counts(); got.Dropped[Rejected] == 0 {
		t.Errorf("counts %+v: half of the spans were rejected", got)
	}
}

// Without a collector the queue is bounded, Put never waits, and the end comes.
func TestNoCollector(t *testing.T) {
	l := short
	l.Tries = 1000
	e := exporter(t, "127.0.0.1:1", l)
	for i := range 50 {
		e.Put(trace(i))
	}
	if got := e.Counts(); got.Waiting > l.Queue || got.Dropped[QueueFull] < 50-int64(l.Queue) {
		t.Errorf("counts %+v", got)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	e.Close(ctx)
	if got := e.Counts(); got.Waiting != 0 || got.Dropped[Stopped] == 0 {
		t.Errorf("after the end: %+v", got)
	}
}

func TestRetryAfter(t *testing.T) {
	now := time.Date(2027, 1, 2, 3, 4, 5, 0, time.UTC)
	for text, want := range map[string]time.Duration{
		"": 0, "7": 7 * time.Second, "-7": 0, "x": 0, "Sat, 02 Jan 2027 03:04:35 GMT": 30 * time.Second, "Sat, 02 Jan 2027 03:04:00 GMT": 0,
		"99999999999999999999": 0,
	} {
		if got := retryAfter(text, now); got != want {
			t.Errorf("%q: %v, want %v", text, got, want)
		}
	}
}

// Over random events the queue keeps its bounds, batches theirs, pauses theirs,
// Retry-After is honoured, and each trace is counted exactly once.
func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{Queue: rapid.IntRange(1, 9).Draw(t, "queue"), Bytes: rapid.IntRange(20, 90).Draw(t, "bytes"), Batch: rapid.IntRange(1, 5).Draw(t, "batch"),
			Wait: 20, Back: 10, Most: 80, Longest: 100, Tries: rapid.IntRange(1, 4).Draw(t, "tries")}
		p := NewPlan(l, rapid.Uint64().Draw(t, "seed"))
		now, put, out := time.Duration(0), int64(0), 0
		notBefore := time.Duration(0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 25).Draw(t, "wait"))
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				put++
				p.Put(now, rapid.IntRange(1, 30).Draw(t, "size"))
			case 1:
				n, at := p.Next(now)
				if n > 0 && (out > 0 || n > l.Batch || now < notBefore) {
					t.Fatalf("%d leave at %d, with %d out, none before %d", n, now, out, notBefore)
				}
				if n == 0 && at > 0 && (at <= now || at > now+max(l.Wait, l.Longest)) {
					t.Fatalf("asks to come back at %d, now %d", at, now)
				}
				if n == 0 && at == 0 && out == 0 && p.Counts().Waiting > 0 {
					t.Fatal("traces wait, and nothing will wake them")
				}
				out = max(out, n)
			case 2:
				if out == 0 {
					continue
				}
				a := Answer(rapid.IntRange(0, 3).Draw(t, "answer"))
				after := time.Duration(rapid.IntRange(0, 120).Draw(t, "after"))
				gone := p.Answered(now, a, after, rapid.IntRange(-1, 9).Draw(t, "rejected"))
				if gone != out && (gone != 0 || a == Accepted || a == Never) {
					t.Fatalf("%d of %d leave after answer %d", gone, out, a)
				}
				if notBefore = 0; a == Busy || a == Lost {
					notBefore = now + max(l.Back/2, min(after, l.Longest))
				}
				out = 0
			}
			c := p.Counts()
			sum := c.Sent + int64(c.Waiting)
			for _, n := range c.Dropped {
				sum += n
			}
			if c.Waiting > l.Queue || c.Bytes > l.Bytes || sum != put {
				t.Fatalf("%+v after %d", c, put)
			}
		}
	})
}
