// Package spool stores traces on disk: in segment files, which are bounded in
// size and number, and in a memory-mapped table of the open queries, which
// survives a process that is killed.
package spool

import "time"

// Limits are the bounds of a spool.
type Limits struct {
	SegmentBytes int64         // maximum size of a segment
	TotalBytes   int64         // maximum size of all segments together
	MinBackoff   time.Duration // backoff after the first failed write, doubled after each further one
	MaxBackoff   time.Duration // upper bound of the backoff
}

// DropCause says why a record was not written.
type DropCause string

// The causes of a dropped record.
const (
	DropNone    DropCause = ""         // written
	DropPaused  DropCause = "paused"   // within the backoff after a failed write
	DropFailed  DropCause = "failed"   // the write failed
	DropTooLong DropCause = "too-long" // larger than a segment may be
	DropClosed  DropCause = "closed"   // the spool is closed
)

// Step is what SegmentPlanner requires before a record is written.
type Step struct {
	Drop   DropCause // if not DropNone, the record must not be written
	Remove []uint64  // segments to delete first, in ascending order
	Open   uint64    // the segment to start; 0: append to the current one
}

// Segment is a segment file: its sequence number and its size in bytes.
type Segment struct {
	Seq  uint64
	Size int64
}

// SegmentPlanner decides when segments are rotated, which of them are evicted and
// how long writes are suspended after a failed write. It does no I/O and reads
// no clock.
type SegmentPlanner struct {
	limits      Limits
	closed      []Segment // segments that are no longer written, oldest first
	current     Segment   // the segment that is written; Seq 0: none
	nextSeq     uint64
	backoff     time.Duration
	pausedUntil time.Duration // no write is allowed earlier
	evicted     bool          // segments were evicted for a full disk since the last successful write
}

// NewSegmentPlanner returns a planner for a spool that holds the existing
// segments, which must be in ascending order.
func NewSegmentPlanner(l Limits, existing []Segment) *SegmentPlanner {
	p := &SegmentPlanner{limits: l, closed: append([]Segment(nil), existing...), nextSeq: 1}
	if n := len(existing); n > 0 {
		p.nextSeq = existing[n-1].Seq + 1
	}
	return p
}

// TotalBytes returns the size of all segments together.
func (p *SegmentPlanner) TotalBytes() int64 {
	sum := p.current.Size
	for _, s := range p.closed {
		sum += s.Size
	}
	return sum
}

// BeforeWrite returns the step that must be taken before n more bytes are
// written. The planner assumes that the caller takes it and reports a failure of
// it by WriteFailed.
func (p *SegmentPlanner) BeforeWrite(now time.Duration, n int64) Step {
	switch {
	case n > p.limits.SegmentBytes || n > p.limits.TotalBytes:
		return Step{Drop: DropTooLong}
	case now < p.pausedUntil:
		return Step{Drop: DropPaused}
	}
	var step Step
	if p.current.Seq == 0 || p.current.Size+n > p.limits.SegmentBytes {
		if p.current.Seq != 0 {
			p.closed = append(p.closed, p.current)
		}
		p.current = Segment{Seq: p.nextSeq}
		p.nextSeq++
		step.Open = p.current.Seq
	}
	for len(p.closed) > 0 && p.TotalBytes()+n > p.limits.TotalBytes {
		step.Remove = append(step.Remove, p.closed[0].Seq)
		p.closed = p.closed[1:]
	}
	return step
}

// AfterWrite records that n bytes were written, including the header of a new
// segment.
func (p *SegmentPlanner) AfterWrite(n int64) {
	p.current.Size += n
	p.backoff, p.evicted = 0, false
}

// WriteFailed records that n bytes could not be written. The current segment is
// closed, as its tail may be torn. If the disk is full, the oldest segments that
// free n bytes are evicted, but never the newest one, and retry says that the
// write may be repeated at once. If that does not help, or if the disk is not
// full, writes are suspended for the backoff.
func (p *SegmentPlanner) WriteFailed(now time.Duration, diskFull bool, n int64) (evict []uint64, retry bool) {
	if p.current.Seq != 0 {
		p.closed = append(p.closed, p.current)
		p.current = Segment{}
	}
	if diskFull && !p.evicted {
		for freed := int64(0); freed < n && len(p.closed) > 1; {
			freed += p.closed[0].Size
			evict = append(evict, p.closed[0].Seq)
			p.closed = p.closed[1:]
		}
		if len(evict) > 0 {
			p.evicted = true
			return evict, true
		}
	}
	p.evicted = false
	p.backoff = min(max(2*p.backoff, p.limits.MinBackoff), p.limits.MaxBackoff)
	p.pausedUntil = now + p.backoff
	return nil, false
}

// PausedUntil returns the time until which writes are suspended, 0 if they are
// not.
func (p *SegmentPlanner) PausedUntil(now time.Duration) time.Duration {
	if now >= p.pausedUntil {
		return 0
	}
	return p.pausedUntil
}
