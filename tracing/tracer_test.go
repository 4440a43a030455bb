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

// begin starts a tracer whose window ends only when the test says so: its
// goroutine is stopped.
func begin(t testing.TB, c Config, log io.Writer, write func(*os.File, []byte) (int, error)) *Tracer {
	t.Helper()
	if c.GoodShare == 0 {
		c.GoodShare = 1e-9
	}
	tr, err := Start(Options{Config: c.WithDefaults(), Broker: "n1", Log: zerolog.New(log), Write: write,
		Classes: []Class{{Name: "screen", Wanted: time.Second}, {Name: "edit", Wanted: 100 * time.Millisecond}}})
	if err != nil {
		t.Fatal(err)
	}
	close(tr.stop)
	tr.done.Wait()
	tr.stop = make(chan struct{})
	return tr
}

func query(name string, came time.Time) *broker.Query {
	return &broker.Query{Name: name, Parts: []broker.Part{{Shard: 3, Share: 1}}, Came: came, Budget: 2 * time.Second}
}

func kept(t testing.TB, tr *Tracer, f record.Filter) []*record.Trace {
	t.Helper()
	tr.collect(true)
	traces, bad, err := tr.Read(f)
	if err != nil || len(bad) > 0 {
		t.Fatal(err, bad)
	}
	return traces
}

// An attempt that never answers is ended with its query and marked as one that
// may still run; its outcome after the end is noted, in the trace while that
// waits and behind it once that is written.
func TestAttemptThatNeverAnswers(t *testing.T) {
	dir := t.TempDir()
	tr := begin(t, Config{Dir: dir}, io.Discard, nil)
	at := func(ms int) time.Time { return tr.start.Add(time.Duration(ms) * time.Millisecond) }
	for id := broker.QueryID(1); id <= 2; id++ {
		tr.Taken(id, query(fmt.Sprintf("q%d", id), at(0)), at(1))
		for n := range 2 {
			try := broker.AttemptID(uint64(id)*10 + uint64(n))
			tr.Opened(broker.Opening{ID: try, Query: id, Shard: 3, N: n, Node: "a", At: at(2 + n)})
			if n == 0 {
				tr.Wire(try, broker.WireGone, "127.0.0.1:1", at(3))
			}
		}
		tr.Cancelled(broker.AttemptID(id*10), at(1500))
		tr.Final(id, &broker.Reply{Verdict: broker.Failed}, at(1500))
		tr.Ended(broker.AttemptID(id*10), decide.Cancelled, broker.ByCore, time.Time{}, at(1501)) // as the core tells it, a turn later
	}
	tr.Late(10, decide.OK, at(1600)) // while its trace waits
	tr.collect(true)
	tr.Late(20, decide.Failed, at(1700)) // when it is written
	tr.Late(20, decide.OK, at(1800))     // no second outcome
	traces := kept(t, tr, record.Filter{})
	tr.Close(context.Background())
	fromDisk, _, err := ReadDir(dir, record.Filter{})
	if err != nil {
		t.Fatal(err)
	}
	for _, traces := range [][]*record.Trace{traces, fromDisk} {
		if len(traces) != 2 {
			t.Fatalf("%d traces", len(traces))
		}
		for i, o := range []decide.Outcome{decide.OK, decide.Failed} {
			a, b := traces[i].Attempts[0], traces[i].Attempts[1]
			if a.Outcome != record.Outcome(decide.Cancelled) || !a.MayStillRun || !a.EndedByBroker || !a.Abandoned.IsSet() || a.Addr == "" ||
				a.LateOutcome == nil || *a.LateOutcome != record.Outcome(o) || a.LateAt.Duration() != time.Duration(1600+100*i)*time.Millisecond {
				t.Errorf("query %d: %+v", i+1, a)
			}
			if b.MayStillRun || b.Ended.Duration() != 1500*time.Millisecond { // its bytes never left
				t.Errorf("query %d: %+v", i+1, b)
			}
		}
	}
}

// A copy that wins makes its query worth keeping, one that loses does not; a
// query refused before any attempt, a client that leaves too late and one that
// leaves in time are told apart.
func TestReasonsOfTheCore(t *testing.T) {
	tr := begin(t, Config{}, io.Discard, nil)
	at := func(ms int) time.Time { return tr.start.Add(time.Duration(ms) * time.Millisecond) }
	id := broker.QueryID(0)
	run := func(name string, winner int, v broker.Verdict, class, end int) {
		id++
		q := query(name, at(0))
		q.Class = class
		tr.Taken(id, q, at(1))
		for n := range 2 {
			if winner >= 0 {
				tr.Opened(broker.Opening{ID: broker.AttemptID(uint64(id)*10 + uint64(n)), Query: id, Shard: 3, N: n, Node: "a", At: at(2 + n)})
			}
		}
		if winner >= 0 {
			tr.Ended(broker.AttemptID(uint64(id)*10+uint64(winner)), decide.OK, broker.ByNode, time.Time{}, at(end))
		}
		tr.Final(id, &broker.Reply{Verdict: v, Whole: true}, at(end))
	}
	run("copy-wins", 1, broker.Served, 0, 50)
	run("copy-loses", 0, broker.Served, 0, 50)
	run("late-edit", 0, broker.Served, 1, 150)
	run("same-time-screen", 0, broker.Served, 0, 150)
	run("refused", -1, broker.Refused, 0, 2)
	run("left-late", 0, broker.Left, 0, 1200)
	run("left-soon", 0, broker.Left, 0, 900)
	tr.TurnedAway(query("turned-away", at(5)), at(5))
	id++
	tr.Taken(id, query("doubted", at(0)), at(1))
	tr.Opened(broker.Opening{ID: 999, Query: id, Shard: 3, Node: "b", At: at(2)})
	tr.Doubted("b", true, at(3))
	tr.Ended(999, decide.OK, broker.ByNode, time.Time{}, at(5))
	tr.Final(id, &broker.Reply{Verdict: broker.Served, Whole: true}, at(5))
	got := map[string]string{}
	for _, x := range kept(t, tr, record.Filter{}) {
		got[x.Query] = x.Reasons.String()
	}
	want := map[string]string{"copy-wins": "saved", "late-edit": "late", "refused": "refused", "left-late": "left-late",
		"turned-away": "refused", "doubted": "doubted"}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got  %v\nwant %v", got, want)
	}
	if n := tr.open.n + tr.byTry.n + len(tr.held); n != 0 {
		t.Errorf("%d things are still held", n)
	}
	tr.Close(context.Background())
}

// A wall clock that steps moves no trace: all times are told from one reading.
func TestWallClockSteps(t *testing.T) {
	tr := begin(t, Config{GoodShare: 1}, io.Discard, nil)
	now := time.Now()
	for id := broker.QueryID(1); id <= 3; id++ {
		came := now.Add(time.Duration(id) * time.Millisecond)
		tr.Taken(id, query(fmt.Sprintf("q%d", id), came), came)
		tr.Final(id, &broker.Reply{Whole: true}, came.Add(time.Microsecond))
	}
	traces := kept(t, tr, record.Filter{})
	if len(traces) != 3 {
		t.Fatalf("%d traces", len(traces))
	}
	for i, x := range traces {
		if want := tr.start.Add(now.Sub(tr.start) + time.Duration(i+1)*time.Millisecond); x.Received.UnixNano() != want.UnixNano() || x.Elapsed() != time.Microsecond {
			t.Errorf("came %v, want %v; took %v", x.Received, want, x.Elapsed())
		}
	}
	tr.Close(context.Background())
}

// In an outage the traces in memory stay within their bound, counted byte by
// byte at each moment, and what is shed is counted.
func TestMemoryBound(t *testing.T) {
	c := Config{MemoryKB: 64, BudgetPerS: 1000, OTLP: &OTLP{Endpoint: "127.0.0.1:1"}}
	tr := begin(t, c, io.Discard, nil)
	at := func(ms int) time.Time { return tr.start.Add(time.Duration(ms) * time.Millisecond) }
	most := 0
	for i := range 3000 {
		id := broker.QueryID(i + 1)
		tr.Taken(id, query(fmt.Sprintf("q%d", i), at(i)), at(i))
		for n := range 3 {
			tr.Opened(broker.Opening{ID: broker.AttemptID(3*i + n + 1), Query: id, Shard: 3, N: n, Node: "a-node", At: at(i)})
		}
		tr.Final(id, &broker.Reply{Verdict: broker.Failed}, at(i+500))
		if i%500 == 499 {
			tr.collect(false)
		}
		if i%50 == 0 {
			most = max(most, tr.Counts().Bytes)
		}
	}
	tr.collect(true)
	got := tr.Counts()
	if most = max(most, got.Bytes); most > c.MemoryKB<<10 {
		t.Errorf("%d bytes held, want %d at most", most, c.MemoryKB<<10)
	}
	if got.Sampled.Shed["failed"] == 0 || got.Sampled.Kept == 0 || got.Sampled.Shed["failed"]+got.Sampled.Kept != 3000 {
		t.Errorf("counts %+v", got.Sampled)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	tr.Close(ctx)
}

// A tracer whose disk fails goes on in memory; one whose folder cannot be used
// starts all the same.
func TestDiskFails(t *testing.T) {
	var log bytes.Buffer
	full := false
	tr := begin(t, Config{Dir: t.TempDir()}, &log, func(f *os.File, b []byte) (int, error) {
		if full {
			return 0, &os.PathError{Op: "write", Path: f.Name(), Err: unix.ENOSPC}
		}
		return f.Write(b)
	})
	at := tr.start
	for id := broker.QueryID(1); id <= 2; id++ {
		full = id == 2
		tr.Taken(id, query(fmt.Sprintf("q%d", id), at), at)
		tr.Final(id, &broker.Reply{Verdict: broker.Failed}, at.Add(time.Second))
		tr.collect(true)
	}
	if got := kept(t, tr, record.Filter{}); len(got) != 2 {
		t.Errorf("%d traces can be read, want both", len(got))
	}
	if n := tr.Counts().Spool.Dropped[spool.DropFailed]; n != 1 || !strings.Contains(log.String(), "serving goes on") {
		t.Errorf("%d dropped; log %s", n, log.String())
	}
	tr.Close(context.Background())

	file := testkit.WriteFile(t, nil)
	tr = begin(t, Config{Dir: file}, &log, nil)
	tr.Taken(1, query("q", at), at)
	tr.Final(1, &broker.Reply{Verdict: broker.Failed}, at.Add(time.Second))
	if got := kept(t, tr, record.Filter{}); len(got) != 1 {
		t.Errorf("%d traces without a folder, want 1", len(got))
	}
	tr.Close(context.Background())
}

// A disk is full while a query ends badly, and has room again a second later. Its trace used to
// be counted as dropped and kept in memory alone: it was gone with the process, though it had
// been taken on (row 141 of the audit). It is written as soon as the disk takes it, before
// what came later; over the bound of bytes the oldest go.
func TestFullDiskIsOwedItsTraces(t *testing.T) {
	full := true
	write := func(f *os.File, b []byte) (int, error) {
		if full {
			return 0, &os.PathError{Op: "write", Path: f.Name(), Err: unix.ENOSPC}
		}
		return f.Write(b)
	}
	dir := t.TempDir()
	tr := begin(t, Config{Dir: dir, MemoryKB: 64}, io.Discard, write)
	at := tr.start
	ended := func(id int) {
		tr.Taken(broker.QueryID(id), query(fmt.Sprintf("q%d", id), at), at)
		tr.Final(broker.QueryID(id), &broker.Reply{Verdict: broker.Failed}, at.Add(time.Second))
		tr.collect(true)
	}
	ended(1)
	ended(2)
	if n := tr.Counts().Spool.Dropped; n[spool.DropFailed]+n[spool.DropPaused] != 2 {
		t.Errorf("counted as not written: %v, want 2", n)
	}
	full = false
	tr.start = tr.start.Add(-backMost) // the pause after a failure is over
	ended(3)
	onDisk := func() (names []string) {
		traces, bad, err := ReadDir(dir, record.Filter{})
		if err != nil || len(bad) > 0 {
			t.Fatal(err, bad)
		}
		for _, x := range traces {
			names = append(names, x.Query)
		}
		return names
	}
	if got := onDisk(); !slices.Equal(got, []string{"q1", "q2", "q3"}) {
		t.Errorf("on disk: %v", got)
	}
	if c := tr.Counts().Spool; c.Written != 3 || len(c.Dropped) > 0 {
		t.Errorf("counted: %+v", c)
	}
	full = true
	for id := 4; id < 400; id++ {
		ended(id)
		if bytes := tr.Counts().Bytes; bytes > 64<<10 {
			t.Fatalf("%d bytes held", bytes)
		}
	}
	full = false
	tr.start = tr.start.Add(-backMost)
	tr.Close(context.Background()) // the last chance
	if got := onDisk(); len(got) < 20 || got[len(got)-1] != "q399" {
		t.Errorf("on disk at the end: %d, the last %v", len(got), got[len(got)-1:])
	}
}

// What was open when a tracer vanished is reported once by the next, also when
// that one cannot write at first and vanishes too.
func TestInterruptedIsCarried(t *testing.T) {
	dir := t.TempDir()
	tr := begin(t, Config{Dir: dir}, io.Discard, nil)
	at := tr.start
	tr.Taken(1, query("open", at), at)
	tr.Opened(broker.Opening{ID: 1, Query: 1, Shard: 3, Node: "a", At: at})
	tr.Wire(1, broker.WireGone, "x", at)
	tr.Opened(broker.Opening{ID: 2, Query: 1, Shard: 4, Node: "b", At: at})
	tr.Taken(2, query("over", at), at)
	tr.Final(2, &broker.Reply{Verdict: broker.Expired}, at.Add(time.Second)) // and not collected
	tr.Taken(3, query("good", at), at)
	tr.Final(3, &broker.Reply{Whole: true}, at.Add(time.Millisecond))
	vanish(t, tr)

	broken := begin(t, Config{Dir: dir}, io.Discard, func(f *os.File, _ []byte) (int, error) {
		return 0, &os.PathError{Op: "write", Path: f.Name(), Err: unix.EIO}
	})
	vanish(t, broken)

	for range 2 { // the second start has nothing new to tell
		var log bytes.Buffer
		tr = begin(t, Config{Dir: dir}, &log, nil)
		got := map[string]*record.Trace{}
		for _, x := range kept(t, tr, record.Filter{}) {
			got[x.Query] = x
		}
		tr.Close(context.Background())
		if len(got) != 2 || got["open"] == nil || got["over"] == nil {
			t.Fatalf("got %v", got)
		}
		if x := got["open"]; x.Reasons != record.Interrupted || len(x.Attempts) != 2 || !x.Attempts[0].MayStillRun || x.Attempts[1].MayStillRun ||
			x.Attempts[0].Outcome != record.OutcomePending || x.Attempts[0].Node != "a" {
			t.Errorf("got %+v", x)
		}
		if x := got["over"]; x.Reasons != record.Expired || x.Elapsed() != time.Second {
			t.Errorf("got %+v", x)
		}
	}
}

// vanish ends a tracer as a kill does: nothing is written, the lock goes.
func vanish(t *testing.T, tr *Tracer) {
	t.Helper()
	if err := tr.spool.Close(); err != nil {
		t.Fatal(err)
	}
}

// The wires' headers carry the caller's trace and flag on, with the attempt as
// the parent.
func TestCarry(t *testing.T) {
	tr := begin(t, Config{}, io.Discard, nil)
	q := query("q", tr.start)
	q.Trace = broker.TraceContext{ID: [16]byte{0xab}, Parent: [8]byte{1}, Sampled: true, State: "a=1"}
	tr.Taken(1, q, tr.start)
	tr.Opened(broker.Opening{ID: 7, Query: 1, At: tr.start})
	parent, state := tr.Carry(7)
	l, _ := tr.open.get(1)
	span := l.Attempts[0].Span
	if want := "00-ab000000000000000000000000000000-" + span.String() + "-01"; parent != want || state != "a=1" {
		t.Errorf("got %q, %q, want %q", parent, state, want)
	}
	tr.Final(1, &broker.Reply{Whole: true}, tr.start)
	if x := kept(t, tr, record.Filter{}); len(x) != 1 || x[0].Parent != (record.SpanID{1}) || x[0].KeepReason != record.Requested {
		t.Errorf("got %+v", x)
	}
	tr.Close(context.Background())
}
