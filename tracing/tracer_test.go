package tracing

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"onyxsail/broker"
	"onyxsail/decide"
	"onyxsail/internal/testkit"
	"onyxsail/tracing/record"
	"onyxsail/tracing/spool"
)

// startWithoutWriter starts a tracer and stops its writer goroutine, so that the
// sampler's window ends only when the test collects the kept traces. Without a GoodShare
// in cfg, practically no good query is kept.
func startWithoutWriter(t testing.TB, cfg Config, log io.Writer, write func(*os.File, []byte) (int, error)) *Tracer {
	t.Helper()
	if cfg.GoodShare == 0 {
		cfg.GoodShare = 1e-9
	}
	tracer, err := Start(Options{Config: cfg.WithDefaults(), Broker: "n1", Log: zerolog.New(log), Write: write,
		Classes: []Class{{Name: "screen", Objective: time.Second}, {Name: "edit", Objective: 100 * time.Millisecond}}})
	if err != nil {
		t.Fatal(err)
	}
	close(tracer.stop)
	tracer.done.Wait()
	tracer.stop = make(chan struct{})
	return tracer
}

// newQuery returns a query of one part, of the first class.
func newQuery(name string, arrivedAt time.Time) *broker.Query {
	return &broker.Query{RequestID: name, Parts: []broker.Part{{Shard: 3, Share: 1}}, ArrivedAt: arrivedAt, Budget: 2 * time.Second}
}

// readKept ends the sampler's window and returns the kept traces that match the filter.
func readKept(t testing.TB, tracer *Tracer, filter record.Filter) []*record.Trace {
	t.Helper()
	tracer.collect(true)
	traces, unreadable, err := tracer.Read(filter)
	if err != nil || len(unreadable) > 0 {
		t.Fatal(err, unreadable)
	}
	return traces
}

// An attempt that never answers must end with its query and be marked as possibly
// still running. Its late outcome must be recorded: in the trace as long as that is
// held, as a separate record once the trace is collected. Only the first one counts.
func TestLateOutcomeOfUnansweredAttemptIsRecorded(t *testing.T) {
	dir := t.TempDir()
	tr := startWithoutWriter(t, Config{Dir: dir}, io.Discard, nil)
	at := func(ms int) time.Time { return tr.start.Add(time.Duration(ms) * time.Millisecond) }
	for id := broker.QueryID(1); id <= 2; id++ {
		tr.QueryReceived(id, newQuery(fmt.Sprintf("q%d", id), at(0)), at(1))
		for n := range 2 {
			attempt := broker.AttemptID(uint64(id)*10 + uint64(n))
			tr.AttemptOpened(broker.AttemptInfo{ID: attempt, QueryID: id, Shard: 3, Index: n, Node: "a", OpenedAt: at(2 + n)})
			if n == 0 {
				tr.PhaseReached(attempt, broker.WireSent, "127.0.0.1:1", at(3))
			}
		}
		tr.AttemptCancelled(broker.AttemptID(id*10), at(1500))
		tr.QueryEnded(id, &broker.Reply{Verdict: broker.Failed}, at(1500))
		tr.AttemptEnded(broker.AttemptID(id*10), decide.Cancelled, broker.EndedByCore, time.Time{}, at(1501)) // the core reports it one turn later
	}
	tr.LateOutcome(10, decide.OK, at(1600)) // while the trace is held
	tr.collect(true)
	tr.LateOutcome(20, decide.Failed, at(1700)) // after the trace was collected
	tr.LateOutcome(20, decide.OK, at(1800))     // a second outcome is ignored
	traces := readKept(t, tr, record.Filter{})
	tr.Close(context.Background())
	fromDisk, _, err := ReadDir(dir, record.Filter{})
	if err != nil {
		t.Fatal(err)
	}
	for _, traces := range [][]*record.Trace{traces, fromDisk} {
		if len(traces) != 2 {
			t.Fatalf("got %d traces, want those of both queries", len(traces))
		}
		for i, o := range []decide.Outcome{decide.OK, decide.Failed} {
			a, b := traces[i].Attempts[0], traces[i].Attempts[1]
			if a.Outcome != record.Outcome(decide.Cancelled) || !a.MayStillRun || !a.EndedByBroker || !a.Abandoned.IsSet() || a.Addr == "" ||
				a.LateOutcome == nil || *a.LateOutcome != record.Outcome(o) || a.LateAt.Duration() != time.Duration(1600+100*i)*time.Millisecond {
				t.Errorf("query %d: got first attempt %+v, want it cancelled, possibly still running and with its late outcome", i+1, a)
			}
			if b.MayStillRun || b.Ended.Duration() != 1500*time.Millisecond { // its request was never sent
				t.Errorf("query %d: got unsent attempt %+v, want it ended with the query and not running", i+1, b)
			}
		}
	}
}

// Guards against traces that are lost with the process that replaced another: it found the spool
// locked at its start and never tried again.
func TestSpoolIsOpenedOnceThePreviousProcessHasEnded(t *testing.T) {
	dir := t.TempDir()
	previous, err := spool.Open(spool.Options{Dir: dir, Log: zerolog.New(io.Discard), Limits: spool.Limits{SegmentBytes: 1 << 16, TotalBytes: 1 << 20}})
	if err != nil {
		t.Fatal(err)
	}
	tracer, err := Start(Options{Config: Config{Dir: dir}.WithDefaults(), Broker: "n1", Log: zerolog.New(io.Discard), Classes: []Class{{Name: "screen", Objective: time.Second}}})
	if err != nil {
		t.Fatal(err)
	}
	defer tracer.Close(context.Background())
	fail := func(id broker.QueryID, name string) {
		now := time.Now()
		tracer.QueryReceived(id, newQuery(name, now), now)
		tracer.QueryEnded(id, &broker.Reply{Verdict: broker.Failed}, now)
	}
	kept := func(names ...string) func() bool {
		return func() bool {
			traces, _, err := ReadDir(dir, record.Filter{})
			return err == nil && len(traces) == len(names) && !slices.ContainsFunc(names, func(name string) bool {
				return !slices.ContainsFunc(traces, func(trace *record.Trace) bool { return trace.Query == name })
			})
		}
	}
	fail(1, "while-locked")
	testkit.Eventually(t, "the trace is in memory", func() bool { return tracer.Counts().Recent == 1 })
	if !kept()() {
		t.Error("a trace was written to a spool that another process holds")
	}
	if err := previous.Close(); err != nil {
		t.Fatal(err)
	}
	testkit.Eventually(t, "the trace in memory is on disk", kept("while-locked"))
	fail(2, "later")
	testkit.Eventually(t, "a later trace is on disk", kept("while-locked", "later"))
}

// Each bad query must get the reason that applies, and a good query none. A copy that
// answers first, a client that leaves after the objective and a refusal before any
// attempt make a query bad; a copy that loses and a client that leaves in time do not.
func TestQueryReasonsAreDistinguished(t *testing.T) {
	tr := startWithoutWriter(t, Config{}, io.Discard, nil)
	at := func(ms int) time.Time { return tr.start.Add(time.Duration(ms) * time.Millisecond) }
	id := broker.QueryID(0)
	runQuery := func(name string, winner int, verdict broker.Verdict, class, end int) {
		id++
		query := newQuery(name, at(0))
		query.Class = class
		tr.QueryReceived(id, query, at(1))
		for n := range 2 {
			if winner >= 0 {
				tr.AttemptOpened(broker.AttemptInfo{ID: broker.AttemptID(uint64(id)*10 + uint64(n)), QueryID: id, Shard: 3, Index: n, Node: "a", OpenedAt: at(2 + n)})
			}
		}
		if winner >= 0 {
			tr.AttemptEnded(broker.AttemptID(uint64(id)*10+uint64(winner)), decide.OK, broker.EndedByNode, time.Time{}, at(end))
		}
		tr.QueryEnded(id, &broker.Reply{Verdict: verdict, Complete: true}, at(end))
	}
	runQuery("copy-wins", 1, broker.Served, 0, 50)
	runQuery("copy-loses", 0, broker.Served, 0, 50)
	runQuery("late-edit", 0, broker.Served, 1, 150)
	runQuery("same-time-screen", 0, broker.Served, 0, 150)
	runQuery("refused", -1, broker.Refused, 0, 2)
	runQuery("left-late", 0, broker.ClientLeft, 0, 1200)
	runQuery("left-soon", 0, broker.ClientLeft, 0, 900)
	tr.QueryTurnedAway(newQuery("turned-away", at(5)), at(5))
	id++
	tr.QueryReceived(id, newQuery("doubted", at(0)), at(1))
	tr.AttemptOpened(broker.AttemptInfo{ID: 999, QueryID: id, Shard: 3, Node: "b", OpenedAt: at(2)})
	tr.NodeSuspected("b", true, at(3))
	tr.AttemptEnded(999, decide.OK, broker.EndedByNode, time.Time{}, at(5))
	tr.QueryEnded(id, &broker.Reply{Verdict: broker.Served, Complete: true}, at(5))
	got := map[string]string{}
	for _, trace := range readKept(t, tr, record.Filter{}) {
		got[trace.Query] = trace.Reasons.String()
	}
	want := map[string]string{"copy-wins": "saved", "late-edit": "late", "refused": "refused", "left-late": "left-late",
		"turned-away": "refused", "doubted": "doubted"}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("reasons by query:\ngot  %v\nwant %v", got, want)
	}
	if n := tr.openQueries.count + tr.attempts.count + len(tr.held); n != 0 {
		t.Errorf("the tracer still holds %d queries and attempts, want none", n)
	}
	tr.Close(context.Background())
}

// A step of the wall clock must not shift traces: all times must derive from the one
// reading of the wall clock at the tracer's start.
func TestWallClockStepDoesNotShiftTraces(t *testing.T) {
	tr := startWithoutWriter(t, Config{GoodShare: 1}, io.Discard, nil)
	now := time.Now()
	for id := broker.QueryID(1); id <= 3; id++ {
		arrivedAt := now.Add(time.Duration(id) * time.Millisecond)
		tr.QueryReceived(id, newQuery(fmt.Sprintf("q%d", id), arrivedAt), arrivedAt)
		tr.QueryEnded(id, &broker.Reply{Complete: true}, arrivedAt.Add(time.Microsecond))
	}
	traces := readKept(t, tr, record.Filter{})
	if len(traces) != 3 {
		t.Fatalf("got %d traces, want 3", len(traces))
	}
	for i, trace := range traces {
		if want := tr.start.Add(now.Sub(tr.start) + time.Duration(i+1)*time.Millisecond); trace.Received.UnixNano() != want.UnixNano() || trace.Elapsed() != time.Microsecond {
			t.Errorf("got arrival at %v, want %v; got elapsed time %v, want 1µs", trace.Received, want, trace.Elapsed())
		}
	}
	tr.Close(context.Background())
}

// In an outage, with every query failing and no collector, the traces in memory must
// never exceed the limit, and each query must be counted as kept or shed.
func TestMemoryStaysWithinLimitDuringOutage(t *testing.T) {
	cfg := Config{MemoryKB: 64, BudgetPerS: 1000, OTLP: &OTLP{Endpoint: "127.0.0.1:1"}}
	tr := startWithoutWriter(t, cfg, io.Discard, nil)
	at := func(ms int) time.Time { return tr.start.Add(time.Duration(ms) * time.Millisecond) }
	peak := 0
	for i := range 3000 {
		id := broker.QueryID(i + 1)
		tr.QueryReceived(id, newQuery(fmt.Sprintf("q%d", i), at(i)), at(i))
		for n := range 3 {
			tr.AttemptOpened(broker.AttemptInfo{ID: broker.AttemptID(3*i + n + 1), QueryID: id, Shard: 3, Index: n, Node: "a-node", OpenedAt: at(i)})
		}
		tr.QueryEnded(id, &broker.Reply{Verdict: broker.Failed}, at(i+500))
		if i%500 == 499 {
			tr.collect(false)
		}
		if i%50 == 0 {
			peak = max(peak, tr.Counts().Bytes)
		}
	}
	tr.collect(true)
	counts := tr.Counts()
	if peak = max(peak, counts.Bytes); peak > cfg.MemoryKB<<10 {
		t.Errorf("held %d bytes, want at most %d", peak, cfg.MemoryKB<<10)
	}
	if counts.Sampled.Shed["failed"] == 0 || counts.Sampled.Kept == 0 || counts.Sampled.Shed["failed"]+counts.Sampled.Kept != 3000 {
		t.Errorf("got counts %+v, want 3000 failed queries kept or shed", counts.Sampled)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	tr.Close(ctx)
}

// A tracer whose disk fails must keep further traces in memory, and one whose spool
// directory cannot be used must start and keep traces in memory nevertheless.
func TestDiskFailureKeepsTracesInMemory(t *testing.T) {
	var log bytes.Buffer
	diskFull := false
	tr := startWithoutWriter(t, Config{Dir: t.TempDir()}, &log, func(f *os.File, b []byte) (int, error) {
		if diskFull {
			return 0, &os.PathError{Op: "write", Path: f.Name(), Err: unix.ENOSPC}
		}
		return f.Write(b)
	})
	at := tr.start
	for id := broker.QueryID(1); id <= 2; id++ {
		diskFull = id == 2
		tr.QueryReceived(id, newQuery(fmt.Sprintf("q%d", id), at), at)
		tr.QueryEnded(id, &broker.Reply{Verdict: broker.Failed}, at.Add(time.Second))
		tr.collect(true)
	}
	if got := readKept(t, tr, record.Filter{}); len(got) != 2 {
		t.Errorf("with a full disk: read %d traces, want 2", len(got))
	}
	if n := tr.Counts().Spool.Dropped[spool.DropFailed]; n != 1 || !strings.Contains(log.String(), "serving goes on") {
		t.Errorf("%d traces counted as dropped for a failed write, want 1 and a log line that serving goes on; log: %s", n, log.String())
	}
	tr.Close(context.Background())

	file := testkit.WriteTempFile(t, nil)
	tr = startWithoutWriter(t, Config{Dir: file}, &log, nil)
	tr.QueryReceived(1, newQuery("q", at), at)
	tr.QueryEnded(1, &broker.Reply{Verdict: broker.Failed}, at.Add(time.Second))
	if got := readKept(t, tr, record.Filter{}); len(got) != 1 {
		t.Errorf("read %d traces without a spool directory, want 1", len(got))
	}
	tr.Close(context.Background())
}

// A trace that met a full disk used to be dropped from the spool and kept in memory only,
// even if the disk had space again a second later, so that it was lost when the process
// ended. It must be written as soon as the disk accepts writes, before later traces.
// Above the memory limit, the oldest queued traces are dropped.
func TestTracesAreWrittenAfterDiskWasFull(t *testing.T) {
	diskFull := true
	write := func(f *os.File, b []byte) (int, error) {
		if diskFull {
			return 0, &os.PathError{Op: "write", Path: f.Name(), Err: unix.ENOSPC}
		}
		return f.Write(b)
	}
	dir := t.TempDir()
	tr := startWithoutWriter(t, Config{Dir: dir, MemoryKB: 64}, io.Discard, write)
	at := tr.start
	failQuery := func(id int) {
		tr.QueryReceived(broker.QueryID(id), newQuery(fmt.Sprintf("q%d", id), at), at)
		tr.QueryEnded(broker.QueryID(id), &broker.Reply{Verdict: broker.Failed}, at.Add(time.Second))
		tr.collect(true)
	}
	failQuery(1)
	failQuery(2)
	if n := tr.Counts().Spool.Dropped; n[spool.DropFailed]+n[spool.DropPaused] != 2 {
		t.Errorf("dropped by cause: %v, want 2 in total as failed or paused", n)
	}
	diskFull = false
	tr.start = tr.start.Add(-maxBackoff) // advances the tracer's clock past the backoff
	failQuery(3)
	onDisk := func() (names []string) {
		traces, unreadable, err := ReadDir(dir, record.Filter{})
		if err != nil || len(unreadable) > 0 {
			t.Fatal(err, unreadable)
		}
		for _, trace := range traces {
			names = append(names, trace.Query)
		}
		return names
	}
	if got := onDisk(); !slices.Equal(got, []string{"q1", "q2", "q3"}) {
		t.Errorf("on disk: got %v, want [q1 q2 q3]", got)
	}
	if c := tr.Counts().Spool; c.Written != 3 || len(c.Dropped) > 0 {
		t.Errorf("spool counts: got %+v, want 3 written and none dropped", c)
	}
	diskFull = true
	for id := 4; id < 400; id++ {
		failQuery(id)
		if bytes := tr.Counts().Bytes; bytes > 64<<10 {
			t.Fatalf("held %d bytes, want at most 64 KiB", bytes)
		}
	}
	diskFull = false
	tr.start = tr.start.Add(-maxBackoff)
	tr.Close(context.Background()) // the last attempt to write the queue
	if got := onDisk(); len(got) < 20 || got[len(got)-1] != "q399" {
		t.Errorf("on disk after Close: %d traces ending with %v, want at least 20 ending with q399", len(got), got[len(got)-1:])
	}
}

// Queries that are open, or ended but not yet collected, when the broker is killed must
// be reported by the next start, and only once. A start that cannot write to the spool
// and is killed as well must not lose them.
func TestInterruptedQueriesAreReportedOnce(t *testing.T) {
	dir := t.TempDir()
	tr := startWithoutWriter(t, Config{Dir: dir}, io.Discard, nil)
	at := tr.start
	tr.QueryReceived(1, newQuery("open", at), at)
	tr.AttemptOpened(broker.AttemptInfo{ID: 1, QueryID: 1, Shard: 3, Node: "a", OpenedAt: at})
	tr.PhaseReached(1, broker.WireSent, "x", at)
	tr.AttemptOpened(broker.AttemptInfo{ID: 2, QueryID: 1, Shard: 4, Node: "b", OpenedAt: at})
	tr.QueryReceived(2, newQuery("over", at), at)
	tr.QueryEnded(2, &broker.Reply{Verdict: broker.Expired}, at.Add(time.Second)) // ended but not collected
	tr.QueryReceived(3, newQuery("good", at), at)
	tr.QueryEnded(3, &broker.Reply{Complete: true}, at.Add(time.Millisecond))
	simulateKill(t, tr)

	broken := startWithoutWriter(t, Config{Dir: dir}, io.Discard, func(f *os.File, _ []byte) (int, error) {
		return 0, &os.PathError{Op: "write", Path: f.Name(), Err: unix.EIO}
	})
	simulateKill(t, broken)

	for range 2 { // the second start must report nothing new
		var log bytes.Buffer
		tr = startWithoutWriter(t, Config{Dir: dir}, &log, nil)
		got := map[string]*record.Trace{}
		for _, trace := range readKept(t, tr, record.Filter{}) {
			got[trace.Query] = trace
		}
		tr.Close(context.Background())
		if len(got) != 2 || got["open"] == nil || got["over"] == nil {
			t.Fatalf("got traces %v, want those of the open and the ended query", got)
		}
		if trace := got["open"]; trace.Reasons != record.Interrupted || len(trace.Attempts) != 2 || !trace.Attempts[0].MayStillRun || trace.Attempts[1].MayStillRun ||
			trace.Attempts[0].Outcome != record.OutcomePending || trace.Attempts[0].Node != "a" {
			t.Errorf("open query: got %+v, want it interrupted, with two pending attempts of which only the first, which was sent, may still run", trace)
		}
		if trace := got["over"]; trace.Reasons != record.Expired || trace.Elapsed() != time.Second {
			t.Errorf("ended query: got %+v, want it expired after 1 s", trace)
		}
	}
}

// simulateKill ends a tracer as a kill does: nothing more is written, and the lock on
// the spool directory is released.
func simulateKill(t *testing.T, tr *Tracer) {
	t.Helper()
	if err := tr.spool.Close(); err != nil {
		t.Fatal(err)
	}
}

// The trace context sent to nodes must have the caller's trace ID, sampled flag and
// tracestate, with the attempt as the parent.
func TestTraceHeadersPropagateTraceContext(t *testing.T) {
	tr := startWithoutWriter(t, Config{}, io.Discard, nil)
	q := newQuery("q", tr.start)
	q.Trace = broker.TraceContext{TraceID: [16]byte{0xab}, ParentID: [8]byte{1}, Sampled: true, TraceState: "a=1"}
	tr.QueryReceived(1, q, tr.start)
	tr.AttemptOpened(broker.AttemptInfo{ID: 7, QueryID: 1, OpenedAt: tr.start})
	parent, state := tr.TraceHeaders(7)
	live, _ := tr.openQueries.get(1)
	span := live.Attempts[0].Span
	if want := "00-ab000000000000000000000000000000-" + span.String() + "-01"; parent != want || state != "a=1" {
		t.Errorf("got traceparent %q and tracestate %q, want %q and \"a=1\"", parent, state, want)
	}
	tr.QueryEnded(1, &broker.Reply{Complete: true}, tr.start)
	if traces := readKept(t, tr, record.Filter{}); len(traces) != 1 || traces[0].Parent != (record.SpanID{1}) || traces[0].KeepReason != record.Requested {
		t.Errorf("got traces %+v, want one with the caller's span as the parent, kept as requested", traces)
	}
	tr.Close(context.Background())
}
