// Package spool keeps traces on disk: segment files of bounded size and number,
// and a table of the queries that are open, mapped into memory so that it
// outlives a process that is killed.
package spool

import "time"

// Limits bound a spool.
type Limits struct {
	Segment int64         // bytes of one segment; a new one begins beyond
	Total   int64         // bytes of all segments
	Back    time.Duration // first pause after a failure; doubled at each further one
	Most    time.Duration // longest pause
}

// Cause says why a record was not written.
type Cause string

// The causes.
const (
	DropNone    Cause = ""
	DropPaused  Cause = "paused" // after a failure, until the pause is over
	DropFailed  Cause = "failed" // the write itself failed
	DropTooLong Cause = "too-long"
	DropClosed  Cause = "closed"
)

// Step is what Plan asks for before a record is written.
type Step struct {
	Drop   Cause    // not DropNone: write nothing
	Remove []uint64 // segments to be removed first, the oldest first
	Open   uint64   // the segment to begin; 0: go on in the present one
}

// Segment is one segment file by its number and size.
type Segment struct {
	Seq  uint64
	Size int64
}

// Plan decides when segments begin and end, which of them go, and how the
// spool lives through a disk that fails. It does no I/O and reads no clock.
type Plan struct {
	limits Limits
	old    []Segment // ended ones, the oldest first
	now    Segment   // the present one; Seq 0: none
	next   uint64
	pause  time.Duration
	until  time.Duration // nothing is written before
	freed  bool          // segments were given up for a full disk since the last write
}

// NewPlan returns a plan for a spool that holds these segments, in the order of
// their numbers.
func NewPlan(l Limits, have []Segment) *Plan {
	p := &Plan{limits: l, old: append([]Segment(nil), have...), next: 1}
	if n := len(have); n > 0 {
		p.next = have[n-1].Seq + 1
	}
	return p
}

// Total is the bytes of all segments.
func (p *Plan) Total() int64 {
	sum := p.now.Size
	for _, s := range p.old {
		sum += s.Size
	}
	return sum
}

// Before says what must be done so that n more bytes can be written. The plan
// takes the step for done: what fails in it is told by Failed.
func (p *Plan) Before(now time.Duration, n int64) Step {
	switch {
	case n > p.limits.Segment || n > p.limits.Total:
		return Step{Drop: DropTooLong}
	case now < p.until:
		return Step{Drop: DropPaused}
	}
	var s Step
	if p.now.Seq == 0 || p.now.Size+n > p.limits.Segment {
		if p.now.Seq != 0 {
			p.old = append(p.old, p.now)
		}
		p.now = Segment{Seq: p.next}
		p.next++
		s.Open = p.now.Seq
	}
	for len(p.old) > 0 && p.Total()+n > p.limits.Total {
		s.Remove = append(s.Remove, p.old[0].Seq)
		p.old = p.old[1:]
	}
	return s
}

// Wrote counts n bytes that were written, a segment's header included.
func (p *Plan) Wrote(n int64) {
	p.now.Size += n
	p.pause, p.freed = 0, false
}

// Failed takes a failure to write n bytes in. The present segment ends: its
// tail may be torn. Where the disk is full the oldest segments go that make
// room for as much, the last of them apart, and again says that the record may
// be tried once more at once; else nothing is written for a while.
func (p *Plan) Failed(now time.Duration, full bool, n int64) (remove []uint64, again bool) {
	if p.now.Seq != 0 {
		p.old = append(p.old, p.now)
		p.now = Segment{}
	}
	if full && !p.freed {
		for room := int64(0); room < n && len(p.old) > 1; {
			room += p.old[0].Size
			remove = append(remove, p.old[0].Seq)
			p.old = p.old[1:]
		}
		if len(remove) > 0 {
			p.freed = true
			return remove, true
		}
	}
	p.freed = false
	p.pause = min(max(2*p.pause, p.limits.Back), p.limits.Most)
	p.until = now + p.pause
	return nil, false
}

// Paused says until when nothing is written; 0: it is.
func (p *Plan) Paused(now time.Duration) time.Duration {
	if now >= p.until {
		return 0
	}
	return p.until
}
