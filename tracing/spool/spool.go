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

// Names of the files in the directory of a spool. An unreadable segment is
// quarantined: quarantineSuffix is appended to its name.
const (
	lockName         = "lock"
	segmentPrefix    = "trace-"
	segmentSuffix    = ".seg"
	quarantineSuffix = ".bad"
	maxQuarantined   = 4 // quarantined files that are kept; older ones are deleted
)

// Options configure a Spool.
type Options struct {
	Dir    string // the directory of the spool
	Limits Limits
	Log    zerolog.Logger
	// Now returns the time since an origin of the caller's choice.
	Now func() time.Duration
	// Write replaces the file writes in tests of disk failures; nil means the file's
	// own Write method.
	Write func(*os.File, []byte) (int, error)
}

// Spool writes records to segment files. It is not safe for concurrent use.
type Spool struct {
	opts          Options
	planner       *SegmentPlanner
	lock          *os.File
	file          *os.File            // the current segment; nil: none is open
	dropped       map[DropCause]int64 // records dropped since the start
	written       int64               // records written since the start
	failureLogged bool                // the ongoing failure has been logged
}

// Open creates the directory if necessary, locks it for this process, and repairs
// the segments of earlier processes: torn tails are truncated, and unreadable
// segments are quarantined. It fails if the directory cannot be created, listed or
// locked, for example because another process uses it.
func Open(o Options) (*Spool, error) {
	if o.Write == nil {
		o.Write = func(f *os.File, b []byte) (int, error) { return f.Write(b) }
	}
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("creating the spool: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(o.Dir, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("locking the spool: %w", err)
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, fmt.Errorf("locking the spool: %s is in use by another process: %w", o.Dir, err)
	}
	s := &Spool{opts: o, lock: lock, dropped: map[DropCause]int64{}}
	seqs, err := listSegments(o.Dir)
	if err != nil {
		s.unlock()
		return nil, err
	}
	var existing []Segment
	for _, seq := range seqs {
		if size := s.repairSegment(seq); size > 0 {
			existing = append(existing, Segment{seq, size})
		}
	}
	s.planner = NewSegmentPlanner(o.Limits, existing)
	if n := len(seqs); n > 0 { // numbers of quarantined segments are not reused either
		s.planner.nextSeq = max(s.planner.nextSeq, seqs[n-1]+1)
	}
	return s, nil
}

// segmentName returns the file name of a segment, by its sequence number.
func segmentName(seq uint64) string {
	return fmt.Sprintf("%s%012d%s", segmentPrefix, seq, segmentSuffix)
}

// listSegments returns the sequence numbers of the segments in a directory, in
// ascending order.
func listSegments(dir string) ([]uint64, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("listing the spool: %w", err)
	}
	var seqs []uint64
	for _, e := range entries {
		digits, ok := strings.CutPrefix(e.Name(), segmentPrefix)
		if !ok {
			continue
		}
		if digits, ok = strings.CutSuffix(digits, segmentSuffix); !ok {
			continue
		}
		if seq, err := strconv.ParseUint(digits, 10, 64); err == nil && seq > 0 && segmentName(seq) == e.Name() {
			seqs = append(seqs, seq)
		}
	}
	slices.Sort(seqs)
	return seqs, nil
}

// repairSegment makes a segment readable to its end, or quarantines or deletes it.
// It returns the remaining size in bytes, 0 if the segment no longer exists under its
// name.
func (s *Spool) repairSegment(seq uint64) int64 {
	path := filepath.Join(s.opts.Dir, segmentName(seq))
	data, err := os.ReadFile(path)
	if err == nil && len(data) < segmentHeaderSize && strings.HasPrefix(string(appendSegmentHeader(nil, seq)), string(data)) {
		_ = os.Remove(path) // the header is incomplete: no record was ever written
		return 0
	}
	if err == nil {
		err = checkSegmentHeader(data, seq)
	}
	if err != nil {
		s.quarantine(path, err)
		return 0
	}
	intactBytes, state := scanRecords(data, func(Kind, []byte) {})
	switch state {
	case Torn:
		s.opts.Log.Info().Str("event", "trace-torn").Str("file", path).Int("kept", intactBytes).Int("cut", len(data)-intactBytes).
			Msg("truncated an incomplete record at the end of a trace segment")
		if err := os.Truncate(path, int64(intactBytes)); err != nil {
			s.quarantine(path, err)
			return 0
		}
	case Corrupt: // the valid prefix stays, under the old name
		s.quarantine(path, fmt.Errorf("invalid record at byte %d", intactBytes))
		if err := os.WriteFile(path, data[:intactBytes], 0o600); err != nil {
			_ = os.Remove(path)
			return 0
		}
	}
	return int64(intactBytes)
}

// quarantine renames an unreadable segment and logs the cause. It deletes the oldest
// quarantined segments if there are more than maxQuarantined.
func (s *Spool) quarantine(path string, cause error) {
	s.opts.Log.Warn().Str("event", "trace-aside").Str("file", path).Err(cause).
		Msg("trace segment is unreadable; renaming it")
	if err := os.Rename(path, path+quarantineSuffix); err != nil {
		s.opts.Log.Warn().Str("event", "trace-aside").Str("file", path).Err(err).Msg("unreadable trace segment could not be renamed")
	}
	quarantined, err := filepath.Glob(filepath.Join(s.opts.Dir, segmentPrefix+"*"+segmentSuffix+quarantineSuffix))
	if err != nil {
		return // only a malformed pattern fails, and this one is valid
	}
	slices.Sort(quarantined)
	for len(quarantined) > maxQuarantined {
		_ = os.Remove(quarantined[0])
		quarantined = quarantined[1:]
	}
}

// Append writes a record and returns DropNone. If that fails, it drops the record,
// counts the cause and returns it.
func (s *Spool) Append(kind Kind, payload []byte) DropCause {
	cause := s.TryAppend(kind, payload)
	if cause != DropNone {
		s.CountDropped(cause)
	}
	return cause
}

// TryAppend writes a record and returns DropNone, or returns why it could not. The
// caller then either keeps the record for a later attempt or drops it and calls
// CountDropped.
func (s *Spool) TryAppend(kind Kind, payload []byte) DropCause {
	cause := s.write(kind, payload)
	if cause == DropNone {
		s.written++
	}
	return cause
}

// CountDropped counts a record that TryAppend did not write and that is dropped.
func (s *Spool) CountDropped(cause DropCause) { s.dropped[cause]++ }

// write performs the steps that the planner requires and appends the record. On a
// full disk it evicts old segments, if the planner allows that, and retries once.
func (s *Spool) write(kind Kind, payload []byte) DropCause {
	if s.lock == nil {
		return DropClosed
	}
	if len(payload) > maxPayloadBytes {
		return DropTooLong
	}
	for {
		need := int64(recordHeaderSize + len(payload))
		step := s.planner.BeforeWrite(s.opts.Now(), need+int64(segmentHeaderSize))
		if step.Drop != DropNone {
			return step.Drop
		}
		s.removeSegments(step.Remove)
		var data []byte
		var err error
		if step.Open != 0 {
			err = s.startSegment(step.Open)
			data = appendSegmentHeader(data, step.Open)
		}
		if err == nil {
			data = appendRecord(data, kind, payload)
			var n int
			if n, err = s.opts.Write(s.file, data); err == nil && n < len(data) {
				err = fmt.Errorf("wrote %d of %d bytes", n, len(data))
			}
		}
		if err == nil {
			s.planner.AfterWrite(int64(len(data)))
			if s.failureLogged {
				s.failureLogged = false
				s.opts.Log.Info().Str("event", "trace-spool").Msg("traces can be written to the spool again")
			}
			return DropNone
		}
		s.discardFailedWrite()
		evict, retry := s.planner.WriteFailed(s.opts.Now(), errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT), need+int64(segmentHeaderSize))
		s.removeSegments(evict)
		if !retry {
			if !s.failureLogged {
				s.failureLogged = true
				s.opts.Log.Warn().Str("event", "trace-spool").Str("dir", s.opts.Dir).Err(err).
					Msg("traces cannot be written to the spool; they are queued in memory or dropped, and serving goes on")
			}
			return DropFailed
		}
	}
}

// discardFailedWrite truncates the current segment to its complete records, or
// deletes it if there are none, and closes it. It does nothing if no segment is open.
func (s *Spool) discardFailedWrite() {
	if s.file == nil {
		return
	}
	size := s.planner.current.Size
	if size == 0 {
		_ = os.Remove(s.file.Name())
	} else {
		_ = s.file.Truncate(size) // if this fails, the next start truncates it
	}
	_ = s.file.Close()
	s.file = nil
}

// startSegment syncs and closes the current segment, if one is open, and creates the
// next one. The caller writes its header.
func (s *Spool) startSegment(seq uint64) error {
	if s.file != nil {
		err := errors.Join(s.file.Sync(), s.file.Close())
		s.file = nil
		if err != nil {
			return fmt.Errorf("closing a segment: %w", err)
		}
	}
	file, err := os.OpenFile(filepath.Join(s.opts.Dir, segmentName(seq)), os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("creating a segment: %w", err)
	}
	s.file = file
	return nil
}

// removeSegments deletes segments. A failure is only logged.
func (s *Spool) removeSegments(seqs []uint64) {
	for _, seq := range seqs {
		if err := os.Remove(filepath.Join(s.opts.Dir, segmentName(seq))); err != nil && !errors.Is(err, os.ErrNotExist) {
			s.opts.Log.Warn().Str("event", "trace-spool").Err(err).Msg("an old trace segment could not be removed")
		}
	}
}

// Counts holds totals since the start and the current size.
type Counts struct {
	Written int64               `json:"written"`           // records written
	Dropped map[DropCause]int64 `json:"dropped,omitempty"` // records dropped
	Bytes   int64               `json:"bytes"`             // size of all segments
}

// Counts returns the totals since the start and the current size.
func (s *Spool) Counts() Counts {
	c := Counts{Written: s.written, Bytes: s.planner.TotalBytes(), Dropped: map[DropCause]int64{}}
	for cause, n := range s.dropped {
		c.Dropped[cause] = n
	}
	return c
}

// Close syncs the spool to disk, closes it and releases its lock. Further records are
// dropped with DropClosed. A second call does nothing.
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

// unlock releases the lock of the directory and marks the spool as closed.
func (s *Spool) unlock() {
	_ = s.lock.Close() // releases the lock
	s.lock = nil
}

// Unreadable is a record or a segment that Read could not read.
type Unreadable struct {
	File string // name of the segment, without the directory
	Err  error
}

// keepLatest drops all but the latest limit traces once there are twice as many,
// to bound the memory for reading a large spool. It calls discard with each
// dropped trace. A limit of 0 drops none.
func keepLatest(traces []*record.Trace, limit int, discard func(*record.Trace)) []*record.Trace {
	if limit <= 0 || len(traces) < 2*limit {
		return traces
	}
	sortByArrival(traces)
	for _, t := range traces[:len(traces)-limit] {
		discard(t)
	}
	return append(traces[:0:0], traces[len(traces)-limit:]...)
}

func sortByArrival(traces []*record.Trace) {
	slices.SortStableFunc(traces, func(a, b *record.Trace) int { return cmp.Compare(a.Received.UnixNano(), b.Received.UnixNano()) })
}

// Read returns the traces of a spool's directory that match accepts (nil: all), in
// order of arrival, and of those the latest limit (0: all). It may run while a
// broker writes there. Late outcomes are merged into their traces, and a trace
// that was written twice is returned once. Unreadable records and segments are
// skipped and listed in the second result. An error means that the directory could
// not be listed.
func Read(dir string, match func(*record.Trace) bool, limit int) ([]*record.Trace, []Unreadable, error) {
	seqs, err := listSegments(dir)
	if err != nil {
		return nil, nil, err
	}
	type id struct {
		trace record.TraceID
		span  record.SpanID
	}
	var traces []*record.Trace
	var unreadable []Unreadable
	byID := map[id]*record.Trace{}
	for _, seq := range seqs {
		name := segmentName(seq)
		data, err := os.ReadFile(filepath.Join(dir, name))
		if errors.Is(err, os.ErrNotExist) {
			continue // evicted by the running broker in the meantime
		}
		if err == nil && len(data) > 0 {
			err = checkSegmentHeader(data, seq)
		}
		if err != nil {
			unreadable = append(unreadable, Unreadable{name, err})
			continue
		}
		_, state := scanRecords(data, func(kind Kind, payload []byte) {
			var err error
			switch kind {
			case KindTrace:
				var t *record.Trace
				if t, err = record.Decode(payload); err == nil && (match == nil || match(t)) {
					key := id{t.ID, t.Span}
					if earlier := byID[key]; earlier == nil {
						byID[key] = t
						traces = append(traces, t)
					} else if t.Verdict != record.Verdict(record.VerdictOpen) { // an ended query replaces what was recorded while it was open
						*earlier = *t
					}
				}
			case KindLateOutcome:
				var late record.LateOutcome
				if late, err = record.DecodeLateOutcome(payload); err == nil {
					if t := byID[id{late.ID, late.Span}]; t != nil {
						late.Apply(t)
					}
				}
			}
			if err != nil {
				unreadable = append(unreadable, Unreadable{name, err})
			}
		})
		if state == Corrupt {
			unreadable = append(unreadable, Unreadable{name, errors.New("damaged; what stands behind the damage is lost")})
		}
		traces = keepLatest(traces, limit, func(t *record.Trace) { delete(byID, id{t.ID, t.Span}) })
	}
	sortByArrival(traces)
	if limit > 0 && len(traces) > limit {
		traces = traces[len(traces)-limit:]
	}
	return traces, unreadable, nil
}

// EncodeLateOutcome returns the JSON encoding of a late outcome, which
// record.DecodeLateOutcome parses.
func EncodeLateOutcome(late record.LateOutcome) ([]byte, error) {
	data, err := json.Marshal(late)
	if err != nil {
		return nil, fmt.Errorf("encoding a late outcome: %w", err)
	}
	return data, nil
}
