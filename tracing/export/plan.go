// Package export sends kept traces to a collector by OTLP.
package export

import (
	"math/rand/v2"
	"time"
)

// Limits bound an exporter.
type Limits struct {
	Queue int           // traces that wait
	Bytes int           // and their bytes
	Batch int           // traces of one request
	Wait  time.Duration // how long a trace waits for others at most
	Back  time.Duration // first pause after a failure; doubled at each further one
	Most  time.Duration // longest of these pauses
	// Longest bounds the pause that a collector asks for.
	Longest time.Duration
	Tries   int // requests for one batch
}

// Cause says why a trace was not delivered.
type Cause string

// The causes.
const (
	QueueFull Cause = "queue-full" // it came while the queue was full
	Refused   Cause = "refused"    // the collector will never take it
	GaveUp    Cause = "gave-up"    // all tries failed
	Rejected  Cause = "rejected"   // the collector took its batch, but not all of it
	Stopped   Cause = "stopped"    // the broker ended first
)

// Answer is what became of a request.
type Answer uint8

// The answers.
const (
	Accepted Answer = iota
	Busy            // the collector asks for another try (429, 502, 503 and 504, by OTLP)
	Lost            // no answer: not reached, reset, or out of time
	Never           // any other answer
)

// Plan decides when batches leave, how large they are, when they are sent again
// and which traces are dropped. It does no I/O and reads no clock.
type Plan struct {
	limits  Limits
	rng     *rand.Rand
	sizes   []int // of the traces that wait, the first to leave first
	bytes   int
	since   time.Duration // when the longest waiting trace came
	sending int           // of those waiting, the size of the batch that is out
	tries   int           // of the present batch
	batch   int           // its size, kept over its tries
	pause   time.Duration
	until   time.Duration
	dropped map[Cause]int64
	sent    int64
	again   int64
}

// NewPlan returns a plan with an empty queue.
func NewPlan(l Limits, seed uint64) *Plan {
	return &Plan{limits: l, rng: rand.New(rand.NewPCG(seed, 0x6f746c70)), dropped: map[Cause]int64{}}
}

// Put asks for room for one more trace of so many bytes; false says that it is
// dropped.
func (p *Plan) Put(now time.Duration, size int) bool {
	if len(p.sizes) >= p.limits.Queue || p.bytes+size > p.limits.Bytes {
		p.dropped[QueueFull]++
		return false
	}
	if len(p.sizes) == p.sending {
		p.since = now
	}
	p.sizes = append(p.sizes, size)
	p.bytes += size
	return true
}

// Next says how many traces leave now, from the front of the queue; 0: none,
// and at is when to ask again, 0 where only a new trace or an answer can change
// that. Answered must follow a batch before the next one.
func (p *Plan) Next(now time.Duration) (n int, at time.Duration) {
	if p.sending > 0 || len(p.sizes) == 0 {
		return 0, 0
	}
	if now < p.until {
		return 0, p.until
	}
	if p.batch == 0 { // a new one, and not a further try
		if due := p.since + p.limits.Wait; len(p.sizes) < p.limits.Batch && now < due {
			return 0, due
		}
		p.batch = min(len(p.sizes), p.limits.Batch)
	}
	p.sending = p.batch
	p.tries++
	return p.sending, 0
}

// Answered takes in what became of the batch that is out. after is when the
// collector wants the next request, 0 for no word; rejected is how many traces
// of an accepted batch it did not take. It returns how many traces leave the
// front of the queue: none where they are to be sent again.
func (p *Plan) Answered(now time.Duration, a Answer, after time.Duration, rejected int) (gone int) {
	gone = p.sending
	p.sending = 0
	switch a {
	case Accepted:
		rejected = min(max(0, rejected), gone)
		p.sent += int64(gone - rejected)
		p.drop(Rejected, rejected)
		p.pause, p.until = 0, 0
	case Never:
		p.drop(Refused, gone)
	default:
		// Full jitter (Brooker, "Exponential Backoff And Jitter", 2015) over the
		// upper half, so that many brokers do not come back together.
		p.pause = min(max(2*p.pause, p.limits.Back), p.limits.Most)
		wait := p.pause/2 + time.Duration(p.rng.Float64()*float64(p.pause/2))
		p.until = now + max(wait, min(after, p.limits.Longest))
		if p.tries < p.limits.Tries {
			p.again++
			return 0
		}
		p.drop(GaveUp, gone)
	}
	for _, size := range p.sizes[:gone] {
		p.bytes -= size
	}
	p.sizes = append(p.sizes[:0], p.sizes[gone:]...)
	p.batch, p.tries = 0, 0
	p.since = now
	return gone
}

// Stop drops all that waits.
func (p *Plan) Stop() {
	p.drop(Stopped, len(p.sizes))
	p.sizes, p.bytes, p.sending, p.batch = nil, 0, 0, 0
}

func (p *Plan) drop(c Cause, n int) {
	if n > 0 {
		p.dropped[c] += int64(n)
	}
}

// Counts are totals since the start, and what waits.
type Counts struct {
	Sent    int64           `json:"sent"`
	Again   int64           `json:"again"` // requests that had to be sent again
	Waiting int             `json:"waiting"`
	Bytes   int             `json:"bytes"`
	Dropped map[Cause]int64 `json:"dropped,omitempty"`
}

// Counts returns the totals.
func (p *Plan) Counts() Counts {
	c := Counts{Sent: p.sent, Again: p.again, Waiting: len(p.sizes), Bytes: p.bytes, Dropped: map[Cause]int64{}}
	for cause, n := range p.dropped {
		c.Dropped[cause] = n
	}
	return c
}
