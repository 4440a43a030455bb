// Package export sends kept traces to a collector by OTLP.
package export

import (
	"math/rand/v2"
	"time"
)

// Limits bound an exporter.
type Limits struct {
	MaxTraces      int           // traces that wait
	MaxBytes       int           // and their bytes
	MaxBatch       int           // traces of one request
	MaxBatchDelay  time.Duration // how long a trace waits for others at most
	InitialBackoff time.Duration // first pause after a failure; doubled at each further one
	MaxBackoff     time.Duration // longest of these pauses
	// Longest bounds the pause that a collector asks for.
	MaxRetryAfter time.Duration
	MaxAttempts   int // requests for one batch
}

// Cause says why a trace was not delivered.
type DropCause string

// The causes.
const (
	QueueFull         DropCause = "queue-full" // it came while the queue was full
	Refused           DropCause = "refused"    // the collector will never take it
	AttemptsExhausted DropCause = "gave-up"    // all tries failed
	Rejected          DropCause = "rejected"   // the collector took its batch, but not all of it
	Stopped           DropCause = "stopped"    // the broker ended first
)

// Answer is what became of a request.
type Result uint8

// The answers.
const (
	Accepted       Result = iota
	RetryableError        // the collector asks for another try (429, 502, 503 and 504, by OTLP)
	NoResponse            // no answer: not reached, reset, or out of time
	PermanentError        // any other answer
)

// Plan decides when batches leave, how large they are, when they are sent again
// and which traces are dropped. It does no I/O and reads no clock.
type Scheduler struct {
	limits     Limits
	rng        *rand.Rand
	sizes      []int // of the traces that wait, the first to leave first
	bytes      int
	batchStart time.Duration // when the longest waiting trace came
	inFlight   int           // of those waiting, the size of the batch that is out
	attempts   int           // of the present batch
	batchSize  int           // its size, kept over its tries
	backoff    time.Duration
	notBefore  time.Duration
	dropped    map[DropCause]int64
	sent       int64
	retries    int64
}

// NewPlan returns a plan with an empty queue.
func NewScheduler(limits Limits, seed uint64) *Scheduler {
	return &Scheduler{limits: limits, rng: rand.New(rand.NewPCG(seed, 0x6f746c70)), dropped: map[DropCause]int64{}}
}

// Put asks for room for one more trace of so many bytes; false says that it is
// dropped.
func (s *Scheduler) Enqueue(now time.Duration, size int) bool {
	if len(s.sizes) >= s.limits.MaxTraces || s.bytes+size > s.limits.MaxBytes {
		s.dropped[QueueFull]++
		return false
	}
	if len(s.sizes) == s.inFlight {
		s.batchStart = now
	}
	s.sizes = append(s.sizes, size)
	s.bytes += size
	return true
}

// Next says how many traces leave now, from the front of the queue; 0: none,
// and at is when to ask again, 0 where only a new trace or an answer can change
// that. Answered must follow a batch before the next one.
func (s *Scheduler) NextBatch(now time.Duration) (n int, retryAt time.Duration) {
	if s.inFlight > 0 || len(s.sizes) == 0 {
		return 0, 0
	}
	if now < s.notBefore {
		return 0, s.notBefore
	}
	if s.batchSize == 0 { // a new one, and not a further try
		if due := s.batchStart + s.limits.MaxBatchDelay; len(s.sizes) < s.limits.MaxBatch && now < due {
			return 0, due
		}
		s.batchSize = min(len(s.sizes), s.limits.MaxBatch)
	}
	s.inFlight = s.batchSize
	s.attempts++
	return s.inFlight, 0
}

// Answered takes in what became of the batch that is out. after is when the
// collector wants the next request, 0 for no word; rejected is how many traces
// of an accepted batch it did not take. It returns how many traces leave the
// front of the queue: none where they are to be sent again.
func (s *Scheduler) Complete(now time.Duration, result Result, retryAfter time.Duration, rejected int) (removed int) {
	removed = s.inFlight
	s.inFlight = 0
	switch result {
	case Accepted:
		rejected = min(max(0, rejected), removed)
		s.sent += int64(removed - rejected)
		s.drop(Rejected, rejected)
		s.backoff, s.notBefore = 0, 0
	case PermanentError:
		s.drop(Refused, removed)
	default:
		// Full jitter (Brooker, "Exponential Backoff And Jitter", 2015) over the
		// upper half, so that many brokers do not come back together.
		s.backoff = min(max(2*s.backoff, s.limits.InitialBackoff), s.limits.MaxBackoff)
		backoff := s.backoff/2 + time.Duration(s.rng.Float64()*float64(s.backoff/2))
		s.notBefore = now + max(backoff, min(retryAfter, s.limits.MaxRetryAfter))
		if s.attempts < s.limits.MaxAttempts {
			s.retries++
			return 0
		}
		s.drop(AttemptsExhausted, removed)
	}
	for _, size := range s.sizes[:removed] {
		s.bytes -= size
	}
	s.sizes = append(s.sizes[:0], s.sizes[removed:]...)
	s.batchSize, s.attempts = 0, 0
	s.batchStart = now
	return removed
}

// Stop drops all that waits.
func (s *Scheduler) Stop() {
	s.drop(Stopped, len(s.sizes))
	s.sizes, s.bytes, s.inFlight, s.batchSize = nil, 0, 0, 0
}

func (s *Scheduler) drop(cause DropCause, n int) {
	if n > 0 {
		s.dropped[cause] += int64(n)
	}
}

// Counts are totals since the start, and what waits.
type Counts struct {
	Sent    int64               `json:"sent"`
	Retries int64               `json:"again"` // requests that had to be sent again
	Queued  int                 `json:"waiting"`
	Bytes   int                 `json:"bytes"`
	Dropped map[DropCause]int64 `json:"dropped,omitempty"`
}

// Counts returns the totals.
func (s *Scheduler) Counts() Counts {
	c := Counts{Sent: s.sent, Retries: s.retries, Queued: len(s.sizes), Bytes: s.bytes, Dropped: map[DropCause]int64{}}
	for cause, n := range s.dropped {
		c.Dropped[cause] = n
	}
	return c
}
