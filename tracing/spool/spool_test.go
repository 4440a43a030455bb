package spool

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
	"pgregory.net/rapid"

	"onyxsail/broker"
	"onyxsail/decide"
	"onyxsail/tracing/record"
)

var testLimits = Limits{SegmentBytes: 4 << 10, TotalBytes: 16 << 10, MinBackoff: time.Second, MaxBackoff: 4 * time.Second}

// clock is a clock that the test sets.
type clock struct{ now time.Duration }

func openSpool(t testing.TB, dir string, clk *clock, log io.Writer, write func(*os.File, []byte) (int, error)) *Spool {
	t.Helper()
	s, err := Open(Options{Dir: dir, Limits: testLimits, Log: zerolog.New(log), Now: func() time.Duration { return clk.now }, Write: write})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// newTrace returns a late query with one attempt, with IDs that derive from number.
func newTrace(number int) *record.Trace {
	return &record.Trace{
		ID: record.TraceID{1, byte(number), byte(number >> 8)}, Span: record.SpanID{2, byte(number), byte(number >> 8)}, Query: fmt.Sprintf("q%d", number), Class: "screen",
		Received: time.Unix(1_800_000_000+int64(number), 0).UTC(), Parts: 1, Accepted: 1, Ended: 5, Probability: 1, Reasons: record.Late, KeepReason: record.Late,
		Attempts: []record.Attempt{{ID: uint64(number), Node: "s-1", Opened: 2001, Sent: 3001, Ended: 4001}},
	}
}

func appendTrace(t testing.TB, s *Spool, number int) DropCause {
	t.Helper()
	data, err := record.Encode(newTrace(number))
	if err != nil {
		t.Fatal(err)
	}
	return s.Append(KindTrace, data)
}

// readQueryIDs returns the query IDs of all traces in a spool, in order of arrival.
func readQueryIDs(t testing.TB, dir string) (ids []string, unreadable []Unreadable) {
	t.Helper()
	traces, unreadable, err := Read(dir, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, tr := range traces {
		ids = append(ids, tr.Query)
	}
	return ids, unreadable
}

// A segment may end at any byte after a crash during a write. The complete records
// before that must be kept, the segment must not be quarantined, and the spool must
// continue in a new one.
func TestSegmentTruncatedAtAnyByteKeepsEarlierRecords(t *testing.T) {
	dir, clk := t.TempDir(), &clock{}
	s := openSpool(t, dir, clk, io.Discard, nil)
	appendTrace(t, s, 1)
	firstRecordEnd := s.planner.TotalBytes()
	appendTrace(t, s, 2)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	segment, err := os.ReadFile(filepath.Join(dir, segmentName(1)))
	if err != nil {
		t.Fatal(err)
	}
	for cut := 0; cut < len(segment); cut++ {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, segmentName(1)), segment[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		var log bytes.Buffer
		s := openSpool(t, dir, clk, &log, nil)
		appendTrace(t, s, 3)
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		want := "q1 q3"
		if int64(cut) < firstRecordEnd {
			want = "q3"
		}
		ids, unreadable := readQueryIDs(t, dir)
		if got := strings.Join(ids, " "); got != want || len(unreadable) > 0 {
			t.Fatalf("truncated at byte %d of %d: read %q and unreadable %v, want %q", cut, len(segment), got, unreadable, want)
		}
		if strings.Contains(log.String(), "trace-aside") {
			t.Fatalf("truncated at byte %d: segment was quarantined: %s", cut, log.String())
		}
	}
}

// A spool with unreadable segments must open. These segments must be quarantined and
// logged by name, and the records before the damage kept.
func TestUnreadableSegmentsAreQuarantined(t *testing.T) {
	dir, clk := t.TempDir(), &clock{}
	s := openSpool(t, dir, clk, io.Discard, nil)
	for i := 1; i <= 3; i++ {
		appendTrace(t, s, i)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, segmentName(1))
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	data[bytes.Index(data, []byte(`"q2"`))+1] ^= 1 // corrupts the second of three records
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, segmentName(2)), []byte("no segment of ours"), 0o600); err != nil {
		t.Fatal(err)
	}
	if ids, unreadable := readQueryIDs(t, dir); len(ids) != 1 || len(unreadable) != 2 {
		t.Errorf("before the repair: read %v, unreadable %v; want one query and two unreadable segments", ids, unreadable)
	}
	var log bytes.Buffer
	s = openSpool(t, dir, clk, &log, nil)
	appendTrace(t, s, 4)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	ids, unreadable := readQueryIDs(t, dir)
	if fmt.Sprint(ids) != "[q1 q4]" || len(unreadable) > 0 {
		t.Errorf("after the repair: read %v, unreadable %v; want [q1 q4] and none unreadable", ids, unreadable)
	}
	for _, seq := range []uint64{1, 2} {
		if !strings.Contains(log.String(), segmentName(seq)) {
			t.Errorf("segment %d is not named in the log: %s", seq, log.String())
		}
		if _, err := os.Stat(filepath.Join(dir, segmentName(seq)) + quarantineSuffix); err != nil {
			t.Error(err)
		}
	}
}

// On a full disk the oldest segments must be evicted. If that does not help, records
// must be dropped until the backoff is over, and writes must succeed again once there
// is space.
func TestFullDiskEvictsOldSegmentsThenBacksOff(t *testing.T) {
	dir, clk := t.TempDir(), &clock{}
	capacity := 9 << 10
	write := func(f *os.File, b []byte) (int, error) {
		var used int64
		paths, err := filepath.Glob(filepath.Join(dir, segmentPrefix+"*"))
		if err != nil {
			return 0, err
		}
		for _, p := range paths {
			if st, err := os.Stat(p); err == nil {
				used += st.Size()
			}
		}
		if used+int64(len(b)) > int64(capacity) { // a full disk still takes a part of the write
			n, _ := f.Write(b[:max(0, int64(capacity)-used)])
			return n, &os.PathError{Op: "write", Path: f.Name(), Err: unix.ENOSPC}
		}
		return f.Write(b)
	}
	var log bytes.Buffer
	s := openSpool(t, dir, clk, &log, write)
	for i := range 60 {
		if cause := appendTrace(t, s, i); cause != DropNone {
			t.Fatalf("record %d dropped: %s", i, cause)
		}
	}
	ids, unreadable := readQueryIDs(t, dir)
	if n := len(ids); n < 8 || ids[n-1] != "q59" || len(unreadable) > 0 {
		t.Errorf("after evictions: kept %v, unreadable %v; want at least 8 ending with q59 and none unreadable", ids, unreadable)
	}
	capacity = 0
	if cause := appendTrace(t, s, 60); cause != DropFailed {
		t.Errorf("no space at all: got cause %q, want a failed write", cause)
	}
	if cause := appendTrace(t, s, 61); cause != DropPaused {
		t.Errorf("right after the failure: got cause %q, want a paused write", cause)
	}
	capacity = 64 << 10
	if cause := appendTrace(t, s, 62); cause != DropPaused {
		t.Errorf("before the end of the backoff: got cause %q, want a paused write", cause)
	}
	clk.now += testLimits.MinBackoff
	if cause := appendTrace(t, s, 63); cause != DropNone {
		t.Errorf("after the backoff, with space again: got cause %q, want none", cause)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if ids, unreadable := readQueryIDs(t, dir); ids[len(ids)-1] != "q63" || len(unreadable) > 0 {
		t.Errorf("at the end: kept %v, unreadable %v; want q63 as the last and none unreadable", ids, unreadable)
	}
	if n := strings.Count(log.String(), "cannot be written"); n != 1 {
		t.Errorf("%d log lines on the failure, want 1: %s", n, log.String())
	}
}

// A directory that is in use must not be opened a second time. Records that are too
// long, or that come after Close, must be rejected with the matching cause.
func TestSpoolIsExclusiveAndRejectsInvalidAppends(t *testing.T) {
	dir, clk := t.TempDir(), &clock{}
	s := openSpool(t, dir, clk, io.Discard, nil)
	if _, err := Open(Options{Dir: dir, Limits: testLimits, Now: func() time.Duration { return 0 }}); err == nil || !strings.Contains(err.Error(), dir) {
		t.Errorf("got %v, want an error that names the directory", err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s = openSpool(t, dir, clk, io.Discard, nil)
	if cause := s.Append(KindTrace, make([]byte, maxPayloadBytes+1)); cause != DropTooLong {
		t.Errorf("a payload above the maximum: got cause %q, want too long", cause)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if cause := appendTrace(t, s, 1); cause != DropClosed {
		t.Errorf("after Close: got cause %q, want closed", cause)
	}
}

// A trace that was written several times must be read once, in its ended state. A late
// outcome must be merged into its trace, and a limit must keep the latest traces.
func TestReadMergesDuplicatesAndLateOutcomes(t *testing.T) {
	dir, clk := t.TempDir(), &clock{}
	s := openSpool(t, dir, clk, io.Discard, nil)
	interrupted := newTrace(1)
	interrupted.Verdict, interrupted.Ended = record.Verdict(record.VerdictOpen), 0
	data, err := record.Encode(interrupted)
	if err != nil {
		t.Fatal(err)
	}
	s.Append(KindTrace, data)
	for i := 1; i <= 30; i++ {
		appendTrace(t, s, i)
	}
	s.Append(KindTrace, data)
	late, err := EncodeLateOutcome(record.LateOutcome{ID: newTrace(30).ID, Span: newTrace(30).Span, Attempt: 30, At: 9, Outcome: record.Outcome(decide.OK)})
	if err != nil {
		t.Fatal(err)
	}
	s.Append(KindLateOutcome, late)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	traces, unreadable, err := Read(dir, nil, 0)
	if err != nil || len(unreadable) > 0 || len(traces) != 30 || traces[0].Verdict != record.Verdict(broker.Served) {
		t.Fatalf("read %d traces, unreadable %v, error %v; want 30 traces, the first of a served query", len(traces), unreadable, err)
	}
	if a := traces[29].Attempts[0]; a.LateAt != 9 || a.LateOutcome == nil {
		t.Errorf("got attempt %+v, want it with its late outcome", a)
	}
	if traces, _, err = Read(dir, nil, 4); err != nil || len(traces) != 4 || traces[0].Query != "q27" {
		t.Errorf("with a limit of 4: read %d traces, error %v; want the latest 4, from q27 on", len(traces), err)
	}
}

// Whichever writes fail, the planner must stay within its limits, evict only existing
// segments and never the current one, and never reuse a segment after a failed write.
func TestPlannerNeverExceedsLimitsOrReusesFailedSegment(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{SegmentBytes: 100, TotalBytes: 350, MinBackoff: 10, MaxBackoff: 80}
		planner := NewSegmentPlanner(limits, []Segment{{1, 90}, {4, 100}})
		sizes := map[uint64]int64{1: 90, 4: 100}
		failed := map[uint64]bool{}
		current, now := uint64(0), time.Duration(0)
		remove := func(seqs []uint64) {
			for _, seq := range seqs {
				if _, exists := sizes[seq]; !exists || seq == current {
					t.Fatalf("evicts segment %d; the sizes of the segments are %v and the current one is %d", seq, sizes, current)
				}
				delete(sizes, seq)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "wait"))
			n := int64(rapid.IntRange(1, 120).Draw(t, "size"))
			step := planner.BeforeWrite(now, n)
			if step.Drop != DropNone {
				if step.Drop == DropPaused && planner.PausedUntil(now) == 0 || step.Drop == DropTooLong && n <= limits.SegmentBytes {
					t.Fatalf("drops a record of %d bytes as %s, want it written", n, step.Drop)
				}
				continue
			}
			if step.Open != 0 {
				if _, exists := sizes[step.Open]; exists || step.Open <= current {
					t.Fatalf("starts segment %d, want a new number; the sizes of the segments are %v", step.Open, sizes)
				}
				current, sizes[step.Open] = step.Open, 0
			}
			remove(step.Remove)
			if failed[current] {
				t.Fatalf("writes to segment %d after a failed write", current)
			}
			if rapid.IntRange(0, 4).Draw(t, "fails") == 0 {
				failed[current] = true
				current = 0
				evicted, retry := planner.WriteFailed(now, rapid.Bool().Draw(t, "full"), n)
				remove(evicted)
				if !retry && planner.PausedUntil(now) == 0 || planner.PausedUntil(now) > now+limits.MaxBackoff {
					t.Fatalf("after a failed write the backoff ends at %d, want it after %d but within its limit", planner.PausedUntil(now), now)
				}
				for seq := range sizes {
					current = max(current, seq)
				}
				continue
			}
			planner.AfterWrite(n)
			sizes[current] += n
			sum := int64(0)
			for _, size := range sizes {
				sum += size
			}
			if sizes[current] > limits.SegmentBytes || sum > limits.TotalBytes || sum != planner.TotalBytes() {
				t.Fatalf("the sizes of the segments are %v, in total %d bytes; the planner counts %d", sizes, sum, planner.TotalBytes())
			}
		}
	})
}

// For any input, encoding the records that scanRecords finds must reproduce the intact
// prefix.
func FuzzScanRecords(f *testing.F) {
	data := appendRecord(appendRecord(appendSegmentHeader(nil, 1), KindTrace, []byte("{}")), KindLateOutcome, []byte("x"))
	f.Add(data)
	f.Add(data[:len(data)-1])
	f.Fuzz(func(t *testing.T, data []byte) {
		if checkSegmentHeader(data, 1) != nil {
			return
		}
		reencoded := appendSegmentHeader(nil, 1)
		intactBytes, state := scanRecords(data, func(k Kind, payload []byte) { reencoded = appendRecord(reencoded, k, payload) })
		if intactBytes > len(data) || !bytes.Equal(reencoded, data[:intactBytes]) || state == Intact != (intactBytes == len(data)) {
			t.Fatalf("%d of %d bytes count as intact, in state %d; re-encoding their records gives %d bytes", intactBytes, len(data), state, len(reencoded))
		}
	})
}

// Tests of the table of open queries.

// openQueryTable opens and commits a table, and returns it with the recovered queries and
// the number of unreadable slots.
func openQueryTable(t testing.TB, dir string, slots int) (*QueryTable, []*record.Trace, int) {
	t.Helper()
	table, recovered, unreadable, err := OpenQueryTable(dir, slots)
	if err != nil {
		t.Fatal(err)
	}
	if err := table.Commit(); err != nil {
		t.Fatal(err)
	}
	return table, recovered, unreadable
}

// After a kill of the process, the queries in the table must be recovered unchanged, but
// not those whose slots were freed. A query that finds no free slot must be counted.
func TestOpenQueriesSurviveProcessKill(t *testing.T) {
	dir := t.TempDir()
	table, recovered, unreadable := openQueryTable(t, dir, 4)
	if len(recovered)+unreadable > 0 {
		t.Fatalf("a new table: recovered %v, %d unreadable slots; want none", recovered, unreadable)
	}
	first, second := newTrace(1), newTrace(2)
	first.Parent, first.Retry, first.Sampled, first.Objective, first.Budget = record.SpanID{9}, true, true, time.Second, 2*time.Second
	first.Attempts[0].Outcome, first.Attempts[0].Ended = record.OutcomePending, 0
	firstSlot, secondSlot := table.Add(first), table.Add(second)
	table.PutAttempt(firstSlot, 0, &first.Attempts[0])
	for i := range attemptsPerSlot + 3 { // more attempts than a slot holds
		table.PutAttempt(secondSlot, i, &second.Attempts[0])
	}
	table.Free(table.Add(newTrace(3)))
	table.Add(newTrace(4))
	if freed := table.Add(newTrace(5)); freed >= 0 {
		table.Free(freed)
	}
	table.Add(newTrace(6))
	if table.Add(newTrace(7)) != -1 || table.Overflows() != 1 {
		t.Error("a full table accepted another query, or did not count the overflow")
	}
	second.Verdict, second.Complete, second.Ended = record.Verdict(broker.Failed), true, 77
	table.EndQuery(secondSlot, second)

	_, recovered, unreadable = openQueryTable(t, dir, 4) // the first table was not closed, as after a kill
	if len(recovered) != 4 || unreadable != 0 {
		t.Fatalf("recovered %d queries, %d unreadable slots; want 4 and none", len(recovered), unreadable)
	}
	got := recovered[0]
	if got.Query != "q1" || got.ID != first.ID || got.Span != first.Span || got.Parent != first.Parent || !got.Retry || !got.Sampled ||
		got.Objective != time.Second || got.Budget != 2*time.Second || !got.Received.Equal(first.Received) || got.Verdict != record.Verdict(record.VerdictOpen) ||
		len(got.Attempts) != 1 {
		t.Errorf("first query: recovered %+v, want it open, with one attempt and its other fields unchanged", got)
	}
	if a := got.Attempts[0]; a.ID != 1 || a.Node != "s-1" || a.Sent != 3001 || a.Opened != 2001 || a.DialStarted.IsSet() || a.Outcome != record.OutcomePending || a.Span != record.AttemptSpan(first.Span, 1) {
		t.Errorf("first query: recovered attempt %+v, want it pending and unchanged", a)
	}
	if got = recovered[1]; got.Verdict != record.Verdict(broker.Failed) || got.Ended != 77 || len(got.Attempts) != attemptsPerSlot || got.Unrecorded != 3 {
		t.Errorf("second query: recovered verdict %v, end %d, %d attempts and %d unrecorded ones; want it failed, ended at 77, with a full slot and 3 unrecorded", got.Verdict, got.Ended, len(got.Attempts), got.Unrecorded)
	}
}

// Stores to a table whose file was truncated raise a memory fault. The process must
// survive it, and the table must be disabled.
func TestTruncatedTableIsDisabledWithoutCrash(t *testing.T) {
	dir := t.TempDir()
	table, _, _ := openQueryTable(t, dir, 64)
	if err := os.Truncate(filepath.Join(dir, tableName), 0); err != nil {
		t.Fatal(err)
	}
	trace := newTrace(1)
	slot := table.Add(trace)
	table.PutAttempt(slot, 0, &trace.Attempts[0])
	table.EndQuery(slot, trace)
	table.Free(slot)
	if table.Fault() == nil {
		t.Error("got no fault, want the one of the stores to the truncated file")
	}
}

// Traces recovered from arbitrary table contents must be valid and can be encoded.
func FuzzDecodeTable(f *testing.F) {
	dir := f.TempDir()
	table, _, _, err := OpenQueryTable(dir, 2)
	if err != nil {
		f.Fatal(err)
	}
	tr := newTrace(1)
	table.PutAttempt(table.Add(tr), 0, &tr.Attempts[0])
	if err := table.Commit(); err != nil {
		f.Fatal(err)
	}
	data, err := os.ReadFile(filepath.Join(dir, tableName))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:tableHeaderSize+slotSize])
	f.Fuzz(func(t *testing.T, data []byte) {
		recovered, _ := decodeTable(data)
		for _, tr := range recovered {
			if err := tr.Validate(); err != nil {
				t.Fatal(err)
			}
			tr.CompleteInterrupted()
			if _, err := record.Encode(tr); err != nil && !errors.Is(err, io.EOF) {
				t.Fatal(err)
			}
		}
	})
}
