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

// startExporter starts an exporter to the collector at addr.
func startExporter(t *testing.T, addr string, limits Limits) *Exporter {
	t.Helper()
	start := time.Now()
	e, err := New(Options{Endpoint: addr, Broker: "n1", Limits: limits, Timeout: 200 * time.Millisecond, Seed: 3,
		Log: zerolog.New(io.Discard), Now: func() time.Duration { return time.Since(start) }})
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// shortLimits have short delays, and attempts for more failures than a test causes.
var shortLimits = Limits{MaxTraces: 8, MaxBytes: 1 << 20, MaxBatch: 4, MaxBatchDelay: 5 * time.Millisecond, InitialBackoff: 10 * time.Millisecond, MaxBackoff: 40 * time.Millisecond, MaxRetryAfter: time.Minute, MaxAttempts: 6}

// newTrace returns a trace of two spans, that of the query and that of an attempt.
func newTrace(i int) *record.Trace {
	return &record.Trace{ID: record.TraceID{1, byte(i)}, Span: record.SpanID{2, byte(i)}, Received: time.Unix(1_800_000_000, 0),
		Accepted: 1, Ended: 1000, Attempts: []record.Attempt{{ID: 1, Opened: 2, Ended: 900, Span: record.SpanID{3, byte(i)}}}}
}

// A collector that hangs, answers 503, resets the connection during a batch, answers 429
// and then accepts must get each trace; no accepted trace may be sent again.
func TestCollectorFailuresNeitherLoseNorRepeatTraces(t *testing.T) {
	collector := testkit.NewCollector(t, testkit.ScriptedResponse{Action: testkit.Hang}, testkit.ScriptedResponse{Status: 503, RetryAfter: "1"},
		testkit.ScriptedResponse{Action: testkit.Reset}, testkit.ScriptedResponse{Status: 429})
	exporter := startExporter(t, collector.Addr, shortLimits)
	for i := range 3 {
		exporter.Enqueue(newTrace(i))
	}
	testkit.Eventually(t, "all spans to arrive", func() bool { return len(collector.Spans()) == 6 })
	testkit.Eventually(t, "the batch to count as sent", func() bool { return exporter.Counts().Sent == 3 })
	exporter.Close(context.Background())
	counts := exporter.Counts()
	if counts.Sent != 3 || counts.Retries != 4 || len(counts.Dropped) != 0 || collector.Requests() != 5 {
		t.Errorf("got counts %+v after %d requests, want 3 sent and 4 retries in 5 requests, none dropped", counts, collector.Requests())
	}
	seen := map[string]int{}
	for _, s := range collector.Spans() {
		seen[string(s.TraceId)+string(s.SpanId)]++
	}
	if len(seen) != 6 {
		t.Errorf("got %d distinct spans, want 6, each once", len(seen))
	}
}

// A batch that the collector refuses for good must be dropped and counted, and must not
// block the traces after it. Rejected spans of an accepted batch must be counted as well.
func TestRefusedBatchDoesNotBlockTheQueue(t *testing.T) {
	collector := testkit.NewCollector(t, testkit.ScriptedResponse{Status: 400}, testkit.ScriptedResponse{Action: testkit.RejectHalf})
	exporter := startExporter(t, collector.Addr, shortLimits)
	exporter.Enqueue(newTrace(1))
	testkit.Eventually(t, "the refused batch to be dropped", func() bool { return exporter.Counts().Dropped[Refused] == 1 })
	exporter.Enqueue(newTrace(2))
	exporter.Enqueue(newTrace(3))
	testkit.Eventually(t, "the other traces to be sent or rejected", func() bool { n := exporter.Counts(); return n.Sent+n.Dropped[Rejected] == 2 })
	exporter.Close(context.Background())
	if got := exporter.Counts(); got.Dropped[Rejected] == 0 {
		t.Errorf("got counts %+v, want rejected traces, as half of the spans were rejected", got)
	}
}

// Without a reachable collector the queue must stay bounded, Enqueue must not block, and
// Close must return, drop the queue and count its traces.
func TestQueueIsBoundedWithoutCollector(t *testing.T) {
	limits := shortLimits
	limits.MaxAttempts = 1000
	exporter := startExporter(t, "127.0.0.1:1", limits)
	for i := range 50 {
		exporter.Enqueue(newTrace(i))
	}
	if got := exporter.Counts(); got.Queued > limits.MaxTraces || got.Dropped[QueueFull] < 50-int64(limits.MaxTraces) {
		t.Errorf("got counts %+v, want at most 8 traces queued and the others dropped and counted", got)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	exporter.Close(ctx)
	if got := exporter.Counts(); got.Queued != 0 || got.Dropped[Stopped] == 0 {
		t.Errorf("after Close: got counts %+v, want an empty queue and its traces dropped", got)
	}
}

// Both forms of Retry-After must be parsed. Malformed, negative and overflowing values
// and dates in the past must give 0.
func TestParseRetryAfter(t *testing.T) {
	now := time.Date(2027, 1, 2, 3, 4, 5, 0, time.UTC)
	for header, want := range map[string]time.Duration{
		"": 0, "7": 7 * time.Second, "-7": 0, "x": 0, "Sat, 02 Jan 2027 03:04:35 GMT": 30 * time.Second, "Sat, 02 Jan 2027 03:04:00 GMT": 0,
		"99999999999999999999": 0,
	} {
		if got := parseRetryAfter(header, now); got != want {
			t.Errorf("%q: got %v, want %v", header, got, want)
		}
	}
}

// For random events: the limits of the queue, of batches and of backoffs must be kept,
// Retry-After must be respected, a wake-up must be due while traces wait in the queue,
// and each trace must be counted exactly once.
func TestSchedulerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{MaxTraces: rapid.IntRange(1, 9).Draw(t, "queue"), MaxBytes: rapid.IntRange(20, 90).Draw(t, "bytes"), MaxBatch: rapid.IntRange(1, 5).Draw(t, "batch"),
			MaxBatchDelay: 20, InitialBackoff: 10, MaxBackoff: 80, MaxRetryAfter: 100, MaxAttempts: rapid.IntRange(1, 4).Draw(t, "tries")}
		scheduler := NewScheduler(limits, rapid.Uint64().Draw(t, "seed"))
		now, enqueued, inFlight := time.Duration(0), int64(0), 0
		notBefore := time.Duration(0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 25).Draw(t, "wait"))
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				enqueued++
				scheduler.Enqueue(now, rapid.IntRange(1, 30).Draw(t, "size"))
			case 1:
				n, wakeAt := scheduler.NextBatch(now)
				if n > 0 && (inFlight > 0 || n > limits.MaxBatch || now < notBefore) {
					t.Fatalf("batch of %d at %d, with %d in flight and none allowed before %d", n, now, inFlight, notBefore)
				}
				if n == 0 && wakeAt > 0 && (wakeAt <= now || wakeAt > now+max(limits.MaxBatchDelay, limits.MaxRetryAfter)) {
					t.Fatalf("wakes at %d, want a time after %d within the limits of delays", wakeAt, now)
				}
				if n == 0 && wakeAt == 0 && inFlight == 0 && scheduler.Counts().Queued > 0 {
					t.Fatal("traces are queued, but there is no wake-up time")
				}
				inFlight = max(inFlight, n)
			case 2:
				if inFlight == 0 {
					continue
				}
				result := Result(rapid.IntRange(0, 3).Draw(t, "answer"))
				retryAfter := time.Duration(rapid.IntRange(0, 120).Draw(t, "after"))
				removed := scheduler.Complete(now, result, retryAfter, rapid.IntRange(-1, 9).Draw(t, "rejected"))
				if removed != inFlight && (removed != 0 || result == Accepted || result == PermanentError) {
					t.Fatalf("%d of %d traces removed after result %d, want all or, for a retry, none", removed, inFlight, result)
				}
				if notBefore = 0; result == RetryableError || result == NoResponse {
					notBefore = now + max(limits.InitialBackoff/2, min(retryAfter, limits.MaxRetryAfter))
				}
				inFlight = 0
			}
			counts := scheduler.Counts()
			sum := counts.Sent + int64(counts.Queued)
			for _, n := range counts.Dropped {
				sum += n
			}
			if counts.Queued > limits.MaxTraces || counts.Bytes > limits.MaxBytes || sum != enqueued {
				t.Fatalf("got counts %+v after %d enqueued traces, want each counted once and the queue within its limits", counts, enqueued)
			}
		}
	})
}
