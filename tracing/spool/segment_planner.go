// Package spool stores traces on disk: in segment files, whose individual and total
// size is bounded, and in a memory-mapped table of the open queries, whose contents
// survive a kill of the process.
package spool

import "time"

// Limits are the bounds of a spool.
type Limits struct {
	SegmentBytes int64         // maximum size of a segment, in bytes
	TotalBytes   int64         // maximum size of all segments together, in bytes
	MinBackoff   time.Duration // backoff after the first failed write, doubled after each further one
	MaxBackoff   time.Duration // upper bound of the backoff
}

// DropCause says why a record was not written.
type DropCause string

// The causes of a dropped record.
const (
	DropNone    DropCause = ""         // written
	DropPaused  DropCause = "paused"   // not attempted, as the backoff after a failed write is not over
	DropFailed  DropCause = "failed"   // the write failed
	DropTooLong DropCause = "too-long" // larger than a record or a segment may be
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
	closed      []Segment     // segments that are no longer written, oldest first
	current     Segment       // the segment that is written; Seq 0: none
	nextSeq     uint64        // sequence number of the next segment
	backoff     time.Duration // the last backoff; 0 after a successful write
	pausedUntil time.Duration // no write is allowed earlier
	evicted     bool          // segments were evicted for a full disk, and the retry has not ended yet
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

// TotalBytes returns the size of all segments together, in bytes.
func (p *SegmentPlanner) TotalBytes() int64 {
	sum := p.current.Size
	for _, s := range p.closed {
		sum += s.Size
	}
	return sum
}

// BeforeWrite returns the step that must be taken before n more bytes are written, the
// header of a new segment included. The planner assumes that the caller takes it and
// writes, and reports the result by AfterWrite or WriteFailed.
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

// AfterWrite records that n bytes were written, the header of a new segment included,
// and ends the backoff.
func (p *SegmentPlanner) AfterWrite(n int64) {
	p.current.Size += n
	p.backoff, p.evicted = 0, false
}

// WriteFailed records that n bytes could not be written. The current segment is
// closed, as its tail may be torn. If the disk is full, evict lists the oldest
// segments, as many as free n bytes but never the newest one, and retry says that the
// write may be repeated once these are deleted. If no segment can be evicted, the
// retry fails as well or the disk is not full, writes are suspended for the backoff.
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

// PausedUntil returns the time until which writes are suspended, 0 if they are not
// at time now.
func (p *SegmentPlanner) PausedUntil(now time.Duration) time.Duration {
	if now >= p.pausedUntil {
		return 0
	}
	return p.pausedUntil
}
