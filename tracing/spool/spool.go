package spool

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"onyxsail/tracing/record"
)

// Names of the files in a spool's folder. A segment that cannot be read keeps
// its number with asideSuffix.
const (
	lockName    = "lock"
	segPrefix   = "trace-"
	segSuffix   = ".seg"
	asideSuffix = ".bad"
	maxAside    = 4 // set aside at once; the oldest go
)

// Options make a Spool.
type Options struct {
	Dir    string
	Limits Limits
	Log    zerolog.Logger
	// Now is the time since a moment of the caller's.
	Now func() time.Duration
	// Write takes the place of the file's Write, in tests of a disk that fails.
	Write func(*os.File, []byte) (int, error)
}

// Spool writes segments. It is not safe for concurrent use.
type Spool struct {
	opts    Options
	plan    *Plan
	lock    *os.File
	file    *os.File // nil: none is open
	dropped map[Cause]int64
	written int64
	told    bool // the present failure is in the log
}

// Open takes a folder for this process, makes it if need be, and puts in order
// what an earlier one left: torn ends are cut off, segments that cannot be read
// are set aside. An error says that the folder cannot be used at all.
func Open(o Options) (*Spool, error) {
	if o.Write == nil {
		o.Write = func(f *os.File, b []byte) (int, error) { return f.Write(b) }
	}
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("making the spool: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(o.Dir, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("locking the spool: %w", err)
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, fmt.Errorf("locking the spool: another process has %s: %w", o.Dir, err)
	}
	s := &Spool{opts: o, lock: lock, dropped: map[Cause]int64{}}
	names, err := segments(o.Dir)
	if err != nil {
		s.unlock()
		return nil, err
	}
	var have []Segment
	for _, seq := range names {
		if size := s.repair(seq); size > 0 {
			have = append(have, Segment{seq, size})
		}
	}
	s.plan = NewPlan(o.Limits, have)
	if n := len(names); n > 0 { // also the numbers of those set aside are used up
		s.plan.next = max(s.plan.next, names[n-1]+1)
	}
	return s, nil
}

func segName(seq uint64) string { return fmt.Sprintf("%s%012d%s", segPrefix, seq, segSuffix) }

// segments lists the numbers of the segments in a folder, in order.
func segments(dir string) ([]uint64, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("listing the spool: %w", err)
	}
	var all []uint64
	for _, e := range entries {
		text, ok := strings.CutPrefix(e.Name(), segPrefix)
		if !ok {
			continue
		}
		if text, ok = strings.CutSuffix(text, segSuffix); !ok {
			continue
		}
		if seq, err := strconv.ParseUint(text, 10, 64); err == nil && seq > 0 && segName(seq) == e.Name() {
			all = append(all, seq)
		}
	}
	slices.Sort(all)
	return all, nil
}

// repair makes a segment readable to its end and returns its size then, 0
// where nothing of it is left.
func (s *Spool) repair(seq uint64) int64 {
	path := filepath.Join(s.opts.Dir, segName(seq))
	b, err := os.ReadFile(path)
	if err == nil && len(b) < headSize && strings.HasPrefix(string(appendHead(nil, seq)), string(b)) {
		_ = os.Remove(path) // cut off in its header: it never held anything
		return 0
	}
	if err == nil {
		err = checkHead(b, seq)
	}
	if err != nil {
		s.aside(path, err)
		return 0
	}
	good, state := scan(b, func(Kind, []byte) {})
	switch state {
	case Torn:
		s.opts.Log.Info().Str("event", "trace-torn").Str("file", path).Int("kept", good).Int("cut", len(b)-good).
			Msg("the last record of a segment was not whole; it was cut off")
		if err := os.Truncate(path, int64(good)); err != nil {
			s.aside(path, err)
			return 0
		}
	case Damaged: // what stands before the damage is saved under the old name
		s.aside(path, fmt.Errorf("no record at byte %d", good))
		if err := os.WriteFile(path, b[:good], 0o600); err != nil {
			_ = os.Remove(path)
			return 0
		}
	}
	return int64(good)
}

// aside moves a segment out of the way, and the oldest of those before it out
// of the world.
func (s *Spool) aside(path string, why error) {
	s.opts.Log.Warn().Str("event", "trace-aside").Str("file", path).Err(why).
		Msg("a segment of traces cannot be read; it was set aside")
	if err := os.Rename(path, path+asideSuffix); err != nil {
		s.opts.Log.Warn().Str("event", "trace-aside").Str("file", path).Err(err).Msg("a segment could not be set aside")
	}
	bad, err := filepath.Glob(filepath.Join(s.opts.Dir, segPrefix+"*"+segSuffix+asideSuffix))
	if err != nil {
		return // the pattern is ours: cannot be
	}
	slices.Sort(bad)
	for len(bad) > maxAside {
		_ = os.Remove(bad[0])
		bad = bad[1:]
	}
}

// Append writes one record, or drops it and counts why.
func (s *Spool) Append(k Kind, payload []byte) Cause {
	cause := s.Offer(k, payload)
	if cause != DropNone {
		s.GiveUp(cause)
	}
	return cause
}

// Offer writes one record, or says why not; the caller keeps it then, or gives it up.
func (s *Spool) Offer(k Kind, payload []byte) Cause {
	cause := s.append(k, payload)
	if cause == DropNone {
		s.written++
	}
	return cause
}

// GiveUp counts a record that was offered and is dropped.
func (s *Spool) GiveUp(cause Cause) { s.dropped[cause]++ }

func (s *Spool) append(k Kind, payload []byte) Cause {
	if s.lock == nil {
		return DropClosed
	}
	if len(payload) > maxPayload {
		return DropTooLong
	}
	for {
		need := int64(frameSize + len(payload))
		step := s.plan.Before(s.opts.Now(), need+int64(headSize))
		if step.Drop != DropNone {
			return step.Drop
		}
		s.remove(step.Remove)
		var b []byte
		var err error
		if step.Open != 0 {
			err = s.begin(step.Open)
			b = appendHead(b, step.Open)
		}
		if err == nil {
			b = appendFrame(b, k, payload)
			var n int
			if n, err = s.opts.Write(s.file, b); err == nil && n < len(b) {
				err = fmt.Errorf("wrote %d of %d bytes", n, len(b))
			}
		}
		if err == nil {
			s.plan.Wrote(int64(len(b)))
			if s.told {
				s.told = false
				s.opts.Log.Info().Str("event", "trace-spool").Msg("traces are being written again")
			}
			return DropNone
		}
		s.cut()
		remove, again := s.plan.Failed(s.opts.Now(), errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT), need+int64(headSize))
		s.remove(remove)
		if !again {
			if !s.told {
				s.told = true
				s.opts.Log.Warn().Str("event", "trace-spool").Str("dir", s.opts.Dir).Err(err).
					Msg("traces cannot be written; they are dropped, and serving goes on")
			}
			return DropFailed
		}
	}
}

// cut takes a failed write's remains off the present segment and closes it.
func (s *Spool) cut() {
	if s.file == nil {
		return
	}
	size := s.plan.now.Size
	if size == 0 {
		_ = os.Remove(s.file.Name())
	} else {
		_ = s.file.Truncate(size) // else the next start cuts it
	}
	_ = s.file.Close()
	s.file = nil
}

func (s *Spool) begin(seq uint64) error {
	if s.file != nil {
		err := errors.Join(s.file.Sync(), s.file.Close())
		s.file = nil
		if err != nil {
			return fmt.Errorf("ending a segment: %w", err)
		}
	}
	f, err := os.OpenFile(filepath.Join(s.opts.Dir, segName(seq)), os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("beginning a segment: %w", err)
	}
	s.file = f
	return nil
}

func (s *Spool) remove(seqs []uint64) {
	for _, seq := range seqs {
		if err := os.Remove(filepath.Join(s.opts.Dir, segName(seq))); err != nil && !errors.Is(err, os.ErrNotExist) {
			s.opts.Log.Warn().Str("event", "trace-spool").Err(err).Msg("an old segment could not be removed")
		}
	}
}

// Counts are totals since the start, and the present size in bytes.
type Counts struct {
	Written int64           `json:"written"`
	Dropped map[Cause]int64 `json:"dropped,omitempty"`
	Bytes   int64           `json:"bytes"`
}

// Counts returns the totals.
func (s *Spool) Counts() Counts {
	c := Counts{Written: s.written, Bytes: s.plan.Total(), Dropped: map[Cause]int64{}}
	for cause, n := range s.dropped {
		c.Dropped[cause] = n
	}
	return c
}

// Close ends the spool; what was written is on disk then.
func (s *Spool) Close() error {
	if s.lock == nil {
		return nil
	}
	var err error
	if s.file != nil {
		err = errors.Join(s.file.Sync(), s.file.Close())
		s.file = nil
	}
	s.unlock()
	if err != nil {
		return fmt.Errorf("closing the spool: %w", err)
	}
	return nil
}

func (s *Spool) unlock() {
	_ = s.lock.Close() // gives up the lock
	s.lock = nil
}

// Unreadable is a part of a spool that Read could not make out.
type Unreadable struct {
	File string
	Err  error
}

// trim drops all but the latest limit traces once there are twice as many, so
// that reading a large spool needs little memory.
func trim(traces []*record.Trace, limit int, forget func(*record.Trace)) []*record.Trace {
	if limit <= 0 || len(traces) < 2*limit {
		return traces
	}
	sortByTime(traces)
	for _, t := range traces[:len(traces)-limit] {
		forget(t)
	}
	return append(traces[:0:0], traces[len(traces)-limit:]...)
}

func sortByTime(traces []*record.Trace) {
	slices.SortStableFunc(traces, func(a, b *record.Trace) int { return cmp.Compare(a.Received.UnixNano(), b.Received.UnixNano()) })
}

// Read returns the traces of a folder, the latest limit of them (0: all), also while a broker writes there, with
// the notes that belong to them, in the order of their coming. What was written
// twice stands once. What cannot be read is passed over and named.
func Read(dir string, match func(*record.Trace) bool, limit int) ([]*record.Trace, []Unreadable, error) {
	seqs, err := segments(dir)
	if err != nil {
		return nil, nil, err
	}
	type id struct {
		trace record.TraceID
		span  record.SpanID
	}
	var traces []*record.Trace
	var bad []Unreadable
	at := map[id]*record.Trace{}
	for _, seq := range seqs {
		name := segName(seq)
		b, err := os.ReadFile(filepath.Join(dir, name))
		if errors.Is(err, os.ErrNotExist) {
			continue // removed since by its broker
		}
		if err == nil && len(b) > 0 {
			err = checkHead(b, seq)
		}
		if err != nil {
			bad = append(bad, Unreadable{name, err})
			continue
		}
		_, state := scan(b, func(k Kind, payload []byte) {
			var err error
			switch k {
			case KindTrace:
				var t *record.Trace
				if t, err = record.Decode(payload); err == nil && (match == nil || match(t)) {
					key := id{t.ID, t.Span}
					if before := at[key]; before == nil {
						at[key] = t
						traces = append(traces, t)
					} else if t.Verdict != record.Verdict(record.VerdictOpen) { // its end outweighs what was seen of it while open
						*before = *t
					}
				}
			case KindNote:
				var n record.LateOutcome
				if n, err = record.DecodeLateOutcome(payload); err == nil {
					if t := at[id{n.ID, n.Span}]; t != nil {
						n.Apply(t)
					}
				}
			}
			if err != nil {
				bad = append(bad, Unreadable{name, err})
			}
		})
		if state == Damaged {
			bad = append(bad, Unreadable{name, errors.New("damaged; what stands behind the damage is lost")})
		}
		traces = trim(traces, limit, func(t *record.Trace) { delete(at, id{t.ID, t.Span}) })
	}
	sortByTime(traces)
	if limit > 0 && len(traces) > limit {
		traces = traces[len(traces)-limit:]
	}
	return traces, bad, nil
}

// EncodeNote renders a note.
func EncodeNote(n record.LateOutcome) ([]byte, error) {
	data, err := json.Marshal(n)
	if err != nil {
		return nil, fmt.Errorf("encoding a note: %w", err)
	}
	return data, nil
}
