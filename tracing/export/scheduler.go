// Package export sends kept traces to an OpenTelemetry collector by OTLP over HTTP.
package export

import (
	"math/rand/v2"
	"time"
)

// Limits bounds an Exporter's queue, batches and retries.
type Limits struct {
	MaxTraces      int           // queued traces
	MaxBytes       int           // size of the queued traces, in bytes
	MaxBatch       int           // traces per request
	MaxBatchDelay  time.Duration // longest time to wait for a batch to fill
	InitialBackoff time.Duration // backoff after the first failure, doubled after each further one
	MaxBackoff     time.Duration // longest backoff
	// MaxRetryAfter is the longest delay accepted from a collector's Retry-After.
	MaxRetryAfter time.Duration
	MaxAttempts   int // requests per batch, the first included
}

// DropCause says why a trace was dropped.
type DropCause string

// The causes for which traces are dropped.
const (
	QueueFull         DropCause = "queue-full" // the queue was full
	Refused           DropCause = "refused"    // the collector answered with an error that is not retryable
	AttemptsExhausted DropCause = "gave-up"    // MaxAttempts requests failed
	Rejected          DropCause = "rejected"   // the collector accepted only part of the batch
	Stopped           DropCause = "stopped"    // the exporter was closed first
)

// Result is the outcome of an export request.
type Result uint8

// The outcomes of an export request.
const (
	Accepted       Result = iota // status 2xx, even if the collector rejected some spans
	RetryableError               // a status that OTLP defines as retryable: 429, 502, 503 or 504
	NoResponse                   // connection failed or reset, or request timed out; retried as well
	PermanentError               // any other status
)

// Scheduler decides when batches are sent, how large they are, when they are retried
// and which traces are dropped. It does no I/O and reads no clock. The queue itself
// is kept by the caller, in the same order.
type Scheduler struct {
	limits       Limits
	rng          *rand.Rand
	sizes        []int         // of the queued traces, in bytes, in order
	bytes        int           // sum of sizes
	waitingSince time.Duration // when the MaxBatchDelay of the next batch began
	inFlight     int           // queued traces in the request that is in flight
	attempts     int           // requests made for the current batch
	batchSize    int           // traces in the current batch, the same for all its attempts
	backoff      time.Duration // current backoff, before jitter; 0 after an accepted batch
	notBefore    time.Duration // earliest time of the next request
	dropped      map[DropCause]int64
	sent         int64 // traces that the collector accepted
	retries      int64 // failed requests whose batch was retried
}

// NewScheduler returns a Scheduler with an empty queue. seed determines the jitter of
// the backoff.
func NewScheduler(limits Limits, seed uint64) *Scheduler {
	return &Scheduler{limits: limits, rng: rand.New(rand.NewPCG(seed, 0x6f746c70)), dropped: map[DropCause]int64{}}
}

// Enqueue adds a trace of the given size in bytes to the queue and returns true. If the
// trace does not fit, Enqueue counts it as dropped and returns false.
func (s *Scheduler) Enqueue(now time.Duration, size int) bool {
	if len(s.sizes) >= s.limits.MaxTraces || s.bytes+size > s.limits.MaxBytes {
		s.dropped[QueueFull]++
		return false
	}
	if len(s.sizes) == s.inFlight {
		s.waitingSince = now
	}
	s.sizes = append(s.sizes, size)
	s.bytes += size
	return true
}

// NextBatch returns how many traces, from the front of the queue, are to be sent now.
// If n is 0, wakeAt is when to call again; if that is 0 too, not before Enqueue or
// Complete. After a batch, Complete must be called before the next one.
func (s *Scheduler) NextBatch(now time.Duration) (n int, wakeAt time.Duration) {
	if s.inFlight > 0 || len(s.sizes) == 0 {
		return 0, 0
	}
	if now < s.notBefore {
		return 0, s.notBefore
	}
	if s.batchSize == 0 { // a new batch, not a retry
		if due := s.waitingSince + s.limits.MaxBatchDelay; len(s.sizes) < s.limits.MaxBatch && now < due {
			return 0, due
		}
		s.batchSize = min(len(s.sizes), s.limits.MaxBatch)
	}
	s.inFlight = s.batchSize
	s.attempts++
	return s.inFlight, 0
}

// Complete records the result of the batch in flight. retryAfter is the delay that
// the collector asked for with a RetryableError, or 0; rejected is the number of traces
// of an Accepted batch that it did not accept. Complete returns how many traces to
// remove from the front of the queue: none if they are to be retried.
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
		// Exponential backoff with equal jitter (Brooker, "Exponential Backoff And
		// Jitter", 2015), so that many brokers do not retry at the same time.
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
	s.waitingSince = now
	return removed
}

// Stop drops all queued traces and counts them as Stopped.
func (s *Scheduler) Stop() {
	s.drop(Stopped, len(s.sizes))
	s.sizes, s.bytes, s.inFlight, s.batchSize = nil, 0, 0, 0
}

// drop counts n dropped traces.
func (s *Scheduler) drop(cause DropCause, n int) {
	if n > 0 {
		s.dropped[cause] += int64(n)
	}
}

// Counts holds totals since the start and the current size of the queue.
type Counts struct {
	Sent    int64               `json:"sent"`              // traces that the collector accepted
	Retries int64               `json:"again"`             // failed requests whose batch was retried
	Queued  int                 `json:"waiting"`           // traces, including those in flight
	Bytes   int                 `json:"bytes"`             // size of the queued traces
	Dropped map[DropCause]int64 `json:"dropped,omitempty"` // traces
}

// Counts returns the totals since the start and the current size of the queue.
func (s *Scheduler) Counts() Counts {
	c := Counts{Sent: s.sent, Retries: s.retries, Queued: len(s.sizes), Bytes: s.bytes, Dropped: map[DropCause]int64{}}
	for cause, n := range s.dropped {
		c.Dropped[cause] = n
	}
	return c
}
