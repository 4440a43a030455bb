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

var limits = Limits{Segment: 4 << 10, Total: 16 << 10, Back: time.Second, Most: 4 * time.Second}

type clock struct{ now time.Duration }

func open(t testing.TB, dir string, c *clock, log io.Writer, write func(*os.File, []byte) (int, error)) *Spool {
	t.Helper()
	s, err := Open(Options{Dir: dir, Limits: limits, Log: zerolog.New(log), Now: func() time.Duration { return c.now }, Write: write})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func sampleTrace(i int) *record.Trace {
	return &record.Trace{
		ID: record.TraceID{1, byte(i), byte(i >> 8)}, Span: record.SpanID{2, byte(i), byte(i >> 8)}, Query: fmt.Sprintf("q%d", i), Class: "screen",
		Received: time.Unix(1_800_000_000+int64(i), 0).UTC(), Parts: 1, Accepted: 1, Ended: 5, Probability: 1, Reasons: record.Late, KeepReason: record.Late,
		Attempts: []record.Attempt{{ID: uint64(i), Node: "s-1", Opened: 2001, Sent: 3001, Ended: 4001}},
	}
}

func put(t testing.TB, s *Spool, i int) Cause {
	t.Helper()
	data, err := record.Encode(sampleTrace(i))
	if err != nil {
		t.Fatal(err)
	}
	return s.Append(KindTrace, data)
}

func queries(t testing.TB, dir string) (names []string, bad []Unreadable) {
	t.Helper()
	traces, bad, err := Read(dir, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, tr := range traces {
		names = append(names, tr.Query)
	}
	return names, bad
}

// A segment cut at any byte of its last record keeps all before it, and the
// spool goes on in a new one.
func TestTornAtAnyByte(t *testing.T) {
	dir, c := t.TempDir(), &clock{}
	s := open(t, dir, c, io.Discard, nil)
	put(t, s, 1)
	one := s.plan.Total()
	put(t, s, 2)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	whole, err := os.ReadFile(filepath.Join(dir, segName(1)))
	if err != nil {
		t.Fatal(err)
	}
	for cut := 0; cut < len(whole); cut++ {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, segName(1)), whole[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		var log bytes.Buffer
		s := open(t, dir, c, &log, nil)
		put(t, s, 3)
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		want := "q1 q3"
		if int64(cut) < one {
			want = "q3"
		}
		names, bad := queries(t, dir)
		if got := strings.Join(names, " "); got != want || len(bad) > 0 {
			t.Fatalf("cut at %d of %d: %q and %v, want %q", cut, len(whole), got, bad, want)
		}
		if strings.Contains(log.String(), "trace-aside") {
			t.Fatalf("cut at %d: set aside: %s", cut, log.String())
		}
	}
}

// A segment that cannot be read is set aside and named; what stands before the
// damage is kept, and the start goes on.
func TestUnreadableIsSetAside(t *testing.T) {
	dir, c := t.TempDir(), &clock{}
	s := open(t, dir, c, io.Discard, nil)
	for i := 1; i <= 3; i++ {
		put(t, s, i)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, segName(1))
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	b[bytes.Index(b, []byte(`"q2"`))+1] ^= 1 // inside the second of three
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, segName(2)), []byte("no segment of ours"), 0o600); err != nil {
		t.Fatal(err)
	}
	if names, bad := queries(t, dir); len(names) != 1 || len(bad) != 2 {
		t.Errorf("read %v and %v before the start", names, bad)
	}
	var log bytes.Buffer
	s = open(t, dir, c, &log, nil)
	put(t, s, 4)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	names, bad := queries(t, dir)
	if fmt.Sprint(names) != "[q1 q4]" || len(bad) > 0 {
		t.Errorf("read %v and %v", names, bad)
	}
	for _, seq := range []uint64{1, 2} {
		if !strings.Contains(log.String(), segName(seq)) {
			t.Errorf("segment %d is not named in %s", seq, log.String())
		}
		if _, err := os.Stat(filepath.Join(dir, segName(seq)) + asideSuffix); err != nil {
			t.Error(err)
		}
	}
}

// On a full disk the oldest segment goes; where that helps nothing, records are
// dropped for a while, and writing goes on once there is room.
func TestFullDisk(t *testing.T) {
	dir, c := t.TempDir(), &clock{}
	room := 9 << 10
	write := func(f *os.File, b []byte) (int, error) {
		var used int64
		segs, err := filepath.Glob(filepath.Join(dir, segPrefix+"*"))
		if err != nil {
			return 0, err
		}
		for _, p := range segs {
			if st, err := os.Stat(p); err == nil {
				used += st.Size()
			}
		}
		if used+int64(len(b)) > int64(room) { // as a disk does: a part of it still goes
			n, _ := f.Write(b[:max(0, int64(room)-used)])
			return n, &os.PathError{Op: "write", Path: f.Name(), Err: unix.ENOSPC}
		}
		return f.Write(b)
	}
	var log bytes.Buffer
	s := open(t, dir, c, &log, write)
	for i := range 60 {
		if cause := put(t, s, i); cause != DropNone {
			t.Fatalf("record %d dropped: %s", i, cause)
		}
	}
	names, bad := queries(t, dir)
	if n := len(names); n < 8 || names[n-1] != "q59" || len(bad) > 0 {
		t.Errorf("kept %v, %v", names, bad)
	}
	room = 0
	if cause := put(t, s, 60); cause != DropFailed {
		t.Errorf("no room at all: %q", cause)
	}
	if cause := put(t, s, 61); cause != DropPaused {
		t.Errorf("right after: %q", cause)
	}
	room = 64 << 10
	if cause := put(t, s, 62); cause != DropPaused {
		t.Errorf("before the pause is over: %q", cause)
	}
	c.now += limits.Back
	if cause := put(t, s, 63); cause != DropNone {
		t.Errorf("with room again: %q", cause)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if names, bad := queries(t, dir); names[len(names)-1] != "q63" || len(bad) > 0 {
		t.Errorf("kept %v, %v", names, bad)
	}
	if n := strings.Count(log.String(), "cannot be written"); n != 1 {
		t.Errorf("%d lines on the failure, want 1: %s", n, log.String())
	}
}

// A second process cannot take the folder.
func TestLocked(t *testing.T) {
	dir, c := t.TempDir(), &clock{}
	s := open(t, dir, c, io.Discard, nil)
	if _, err := Open(Options{Dir: dir, Limits: limits, Now: func() time.Duration { return 0 }}); err == nil || !strings.Contains(err.Error(), dir) {
		t.Errorf("got %v, want an error that names the folder", err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s = open(t, dir, c, io.Discard, nil)
	if cause := s.Append(KindTrace, make([]byte, maxPayload+1)); cause != DropTooLong {
		t.Errorf("got %q", cause)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if cause := put(t, s, 1); cause != DropClosed {
		t.Errorf("after the end: %q", cause)
	}
}

// What is written twice is read once, a note changes its trace, and a limit
// keeps the latest.
func TestRead(t *testing.T) {
	dir, c := t.TempDir(), &clock{}
	s := open(t, dir, c, io.Discard, nil)
	left := sampleTrace(1)
	left.Verdict, left.Ended = record.Verdict(record.VerdictOpen), 0
	data, err := record.Encode(left)
	if err != nil {
		t.Fatal(err)
	}
	s.Append(KindTrace, data)
	for i := 1; i <= 30; i++ {
		put(t, s, i)
	}
	s.Append(KindTrace, data)
	note, err := EncodeNote(record.LateOutcome{ID: sampleTrace(30).ID, Span: sampleTrace(30).Span, Attempt: 30, At: 9, Outcome: record.Outcome(decide.OK)})
	if err != nil {
		t.Fatal(err)
	}
	s.Append(KindNote, note)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	traces, bad, err := Read(dir, nil, 0)
	if err != nil || len(bad) > 0 || len(traces) != 30 || traces[0].Verdict != record.Verdict(broker.Served) {
		t.Fatalf("%d traces, %v, %v", len(traces), bad, err)
	}
	if a := traces[29].Attempts[0]; a.LateAt != 9 || a.LateOutcome == nil {
		t.Errorf("the note is lost: %+v", a)
	}
	if traces, _, err = Read(dir, nil, 4); err != nil || len(traces) != 4 || traces[0].Query != "q27" {
		t.Errorf("with a limit: %d, %v", len(traces), err)
	}
}

// Whatever fails, the plan stays within its bounds and never writes to a
// segment that failed.
func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{Segment: 100, Total: 350, Back: 10, Most: 80}
		p := NewPlan(l, []Segment{{1, 90}, {4, 100}})
		sizes := map[uint64]int64{1: 90, 4: 100}
		failed := map[uint64]bool{}
		present, now := uint64(0), time.Duration(0)
		remove := func(seqs []uint64) {
			for _, seq := range seqs {
				if _, have := sizes[seq]; !have || seq == present {
					t.Fatalf("removes %d of %v, present %d", seq, sizes, present)
				}
				delete(sizes, seq)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "wait"))
			n := int64(rapid.IntRange(1, 120).Draw(t, "size"))
			s := p.Before(now, n)
			if s.Drop != DropNone {
				if s.Drop == DropPaused && p.Paused(now) == 0 || s.Drop == DropTooLong && n <= l.Segment {
					t.Fatalf("drops %d bytes: %s", n, s.Drop)
				}
				continue
			}
			if s.Open != 0 {
				if _, have := sizes[s.Open]; have || s.Open <= present {
					t.Fatalf("opens %d, has %v", s.Open, sizes)
				}
				present, sizes[s.Open] = s.Open, 0
			}
			remove(s.Remove)
			if failed[present] {
				t.Fatalf("writes to %d, which failed", present)
			}
			if rapid.IntRange(0, 4).Draw(t, "fails") == 0 {
				failed[present] = true
				present = 0
				gone, again := p.Failed(now, rapid.Bool().Draw(t, "full"), n)
				remove(gone)
				if !again && p.Paused(now) == 0 || p.Paused(now) > now+l.Most {
					t.Fatalf("pauses until %d at %d", p.Paused(now), now)
				}
				for seq := range sizes {
					present = max(present, seq)
				}
				continue
			}
			p.Wrote(n)
			sizes[present] += n
			sum := int64(0)
			for _, size := range sizes {
				sum += size
			}
			if sizes[present] > l.Segment || sum > l.Total || sum != p.Total() {
				t.Fatalf("%v: %d in all, the plan says %d", sizes, sum, p.Total())
			}
		}
	})
}

func FuzzScan(f *testing.F) {
	b := appendFrame(appendFrame(appendHead(nil, 1), KindTrace, []byte("{}")), KindNote, []byte("x"))
	f.Add(b)
	f.Add(b[:len(b)-1])
	f.Fuzz(func(t *testing.T, b []byte) {
		if checkHead(b, 1) != nil {
			return
		}
		again := appendHead(nil, 1)
		good, state := scan(b, func(k Kind, payload []byte) { again = appendFrame(again, k, payload) })
		if good > len(b) || !bytes.Equal(again, b[:good]) || state == Whole != (good == len(b)) {
			t.Fatalf("%d of %d bytes are good, state %d, and come back as %d", good, len(b), state, len(again))
		}
	})
}

// ---- The table of open queries

func openTable(t testing.TB, dir string, slots int) (*Table, []*record.Trace, int) {
	t.Helper()
	tab, left, bad, err := OpenTable(dir, slots)
	if err != nil {
		t.Fatal(err)
	}
	if err := tab.Reset(); err != nil {
		t.Fatal(err)
	}
	return tab, left, bad
}

// What is in the table when a process vanishes is read back as it was; what was
// given back is not.
func TestTableOutlivesItsProcess(t *testing.T) {
	dir := t.TempDir()
	tab, left, bad := openTable(t, dir, 4)
	if len(left)+bad > 0 {
		t.Fatalf("a new table has %v, %d", left, bad)
	}
	one, two := sampleTrace(1), sampleTrace(2)
	one.Parent, one.Retry, one.Sampled, one.Objective, one.Budget = record.SpanID{9}, true, true, time.Second, 2*time.Second
	one.Attempts[0].Outcome, one.Attempts[0].Ended = record.OutcomePending, 0
	slot, other := tab.Begin(one), tab.Begin(two)
	tab.Attempt(slot, 0, &one.Attempts[0])
	for i := range slotTries + 3 { // more than a slot holds
		tab.Attempt(other, i, &two.Attempts[0])
	}
	tab.Free(tab.Begin(sampleTrace(3)))
	tab.Begin(sampleTrace(4))
	if gone := tab.Begin(sampleTrace(5)); gone >= 0 {
		tab.Free(gone)
	}
	tab.Begin(sampleTrace(6))
	if tab.Begin(sampleTrace(7)) != -1 || tab.Full() != 1 {
		t.Error("a full table took one more")
	}
	two.Verdict, two.Complete, two.Ended = record.Verdict(broker.Failed), true, 77
	tab.End(other, two)

	_, left, bad = openTable(t, dir, 4) // nothing was closed: as after a kill
	if len(left) != 4 || bad != 0 {
		t.Fatalf("left %d, unreadable %d", len(left), bad)
	}
	got := left[0]
	if got.Query != "q1" || got.ID != one.ID || got.Span != one.Span || got.Parent != one.Parent || !got.Retry || !got.Sampled ||
		got.Objective != time.Second || got.Budget != 2*time.Second || !got.Received.Equal(one.Received) || got.Verdict != record.Verdict(record.VerdictOpen) ||
		len(got.Attempts) != 1 {
		t.Errorf("got %+v", got)
	}
	if a := got.Attempts[0]; a.ID != 1 || a.Node != "s-1" || a.Sent != 3001 || a.Opened != 2001 || a.DialStarted.IsSet() || a.Outcome != record.OutcomePending || a.Span != record.AttemptSpan(one.Span, 1) {
		t.Errorf("got %+v", a)
	}
	if got = left[1]; got.Verdict != record.Verdict(broker.Failed) || got.Ended != 77 || len(got.Attempts) != slotTries || got.Unrecorded != 3 {
		t.Errorf("got %v, ended %d, %d attempts and %d unseen", got.Verdict, got.Ended, len(got.Attempts), got.Unrecorded)
	}
}

// Somebody cuts the file short: the table is lost, the process is not.
func TestTableCutShort(t *testing.T) {
	dir := t.TempDir()
	tab, _, _ := openTable(t, dir, 64)
	if err := os.Truncate(filepath.Join(dir, openName), 0); err != nil {
		t.Fatal(err)
	}
	tr := sampleTrace(1)
	slot := tab.Begin(tr)
	tab.Attempt(slot, 0, &tr.Attempts[0])
	tab.End(slot, tr)
	tab.Free(slot)
	if tab.Lost() == nil {
		t.Error("the loss was not noticed")
	}
}

func FuzzTable(f *testing.F) {
	dir := f.TempDir()
	tab, _, _, err := OpenTable(dir, 2)
	if err != nil {
		f.Fatal(err)
	}
	tr := sampleTrace(1)
	tab.Attempt(tab.Begin(tr), 0, &tr.Attempts[0])
	if err := tab.Reset(); err != nil {
		f.Fatal(err)
	}
	b, err := os.ReadFile(filepath.Join(dir, openName))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add(b[:openHead+slotSize])
	f.Fuzz(func(t *testing.T, b []byte) {
		left, _ := readTable(b)
		for _, tr := range left {
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
