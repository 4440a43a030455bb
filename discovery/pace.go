package discovery

import (
	"math/rand/v2"
	"time"
)

const (
	defaultInitialPause = 20 * time.Millisecond // where few brokers share discovery; doubles up to defaultMaxPause
	defaultMaxPause     = time.Second
	// pausePerBroker is the share of the initial pause, and of the start delay, that each
	// broker adds once more than unpacedBrokers share one discovery. Repeated failures
	// double it.
	pausePerBroker = 50 * time.Millisecond
	// unpacedBrokers is the number of brokers that may send requests at the same moment.
	unpacedBrokers = 4
	// toleratedRefusals is the number of refusals in a row that still count as a passing
	// failure; after more of them discovery counts as overloaded.
	toleratedRefusals = 2
)

// Backoff computes the pauses between requests to discovery. It does no I/O and reads no
// clock.
//
// All brokers share one discovery, and whatever makes one of them send a request, or its
// request fail, does so for the others at the same moment. Requests wait in discovery's
// queue until they time out, and those given up are processed all the same: if brokers
// retried too early, discovery would work only through requests that nobody waits for any
// more, and answer none. So each pause grows with the number of brokers and has jitter. It
// is also bounded, as a change must be known within a given time once discovery has it and
// can be reached.
type Backoff struct {
	maxStartDelay, initialPause, maxGrownPause, nextPause time.Duration
	limit                                                 time.Duration // upper bound on pauses; 0: none
	limitTooLow                                           bool          // so many brokers need longer pauses than limit allows
	overloads                                             int           // refusals from a full queue, in a row
	rng                                                   *rand.Rand
}

// NewBackoff returns the backoff of one of so many brokers that share a discovery. No pause
// exceeds limit, unless that is 0, or discovery keeps refusing requests from its queue and
// so many brokers need longer pauses. Each broker needs a seed of its own.
func NewBackoff(brokers int, limit time.Duration, seed uint64) *Backoff {
	n := time.Duration(max(1, brokers))
	b := &Backoff{
		maxStartDelay: max(0, n-unpacedBrokers) * pausePerBroker, initialPause: defaultInitialPause, maxGrownPause: defaultMaxPause, limit: limit,
		rng: rand.New(rand.NewPCG(seed, 0x9ace)),
	}
	if n > unpacedBrokers {
		b.initialPause, b.maxGrownPause = n*pausePerBroker, max(defaultMaxPause, 2*n*pausePerBroker)
	}
	if limit > 0 {
		b.limitTooLow = b.maxGrownPause > limit
		b.maxStartDelay, b.initialPause = min(b.maxStartDelay, limit), min(b.initialPause, limit)
	}
	b.Reset()
	return b
}

// StartDelay returns how long a broker that has just started waits before its first
// request: brokers that are restarted together would otherwise all send it at once.
func (b *Backoff) StartDelay() time.Duration {
	return time.Duration(b.rng.Float64() * float64(b.maxStartDelay))
}

// ReopenDelay returns the pause before a watch that fell silent is opened again: watches of
// many brokers that fell silent together must not all be reopened at once.
func (b *Backoff) ReopenDelay() time.Duration {
	return time.Duration(b.rng.Float64() * float64(maxReopenDelay))
}

// Reset notes that discovery has answered: the pauses start from the initial one again.
func (b *Backoff) Reset() { b.nextPause, b.overloads = b.initialPause, 0 }

// NextPause returns the pause before the next request after one has failed: 0.5 to 1.5
// times a base that doubles each time, bounded by the limit. A pause at the limit is drawn
// from the upper quarter below it, so that no broker sends requests more often than it
// must. queueOverload says that discovery refused the request after it had waited in its
// queue: if that goes on and many brokers share discovery, they send more requests than it
// can answer, and the limit would keep it overloaded.
func (b *Backoff) NextPause(queueOverload bool) time.Duration {
	if b.overloads++; !queueOverload {
		b.overloads = 0
	}
	pause := time.Duration((0.5 + b.rng.Float64()) * float64(b.nextPause))
	if b.limit > 0 && pause > b.limit && (b.overloads <= toleratedRefusals || !b.limitTooLow) {
		pause = time.Duration((0.75 + 0.25*b.rng.Float64()) * float64(b.limit))
	}
	b.nextPause = min(2*b.nextPause, b.maxGrownPause)
	return pause
}
