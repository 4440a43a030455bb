package discovery

import (
	"math/rand/v2"
	"time"
)

const (
	// Where few brokers share discovery, the base of the pauses starts at
	// defaultInitialPause and doubles up to defaultMaxPause.
	defaultInitialPause = 20 * time.Millisecond
	defaultMaxPause     = time.Second
	// pausePerBroker is what each broker adds to the initial pause, and to the start delay,
	// once more than unpacedBrokers share one discovery. The base of the pauses then doubles
	// up to twice this initial pause, or up to defaultMaxPause if that is longer.
	pausePerBroker = 50 * time.Millisecond
	// unpacedBrokers is the number of brokers up to which all may send requests at the same
	// moment.
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
// queue until they time out, and are processed even after the broker has given up: if brokers
// retried too early, discovery would process only requests that no broker waits for any more,
// and answer none. So each pause grows with the number of brokers and has jitter. It is also
// bounded, as a change must be known within a given time once discovery has it and can be
// reached.
type Backoff struct {
	// nextPause is the base of the next pause, before jitter; it starts at initialPause and
	// doubles up to maxGrownPause.
	maxStartDelay, initialPause, maxGrownPause, nextPause time.Duration
	limit                                                 time.Duration // upper bound on pauses; 0: none
	limitTooLow                                           bool          // this many brokers need longer pauses than limit allows
	overloads                                             int           // refusals from discovery's queue, in a row
	rng                                                   *rand.Rand
}

// NewBackoff returns the backoff of one broker, where this number of brokers share a
// discovery; 0: its capacity is no concern. A limit of 0 bounds no pause. Otherwise no pause
// exceeds limit, unless discovery keeps refusing requests from its queue and this many brokers
// need longer pauses. The seed must differ between brokers.
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

// StartDelay returns how long a broker that has started with a known list waits before its
// first request: brokers that are restarted together would otherwise all send it at once.
func (b *Backoff) StartDelay() time.Duration {
	return time.Duration(b.rng.Float64() * float64(b.maxStartDelay))
}

// ReopenDelay returns the pause before a silent watch is opened again, up to maxReopenDelay:
// watches of many brokers that went silent together must not all be reopened at once.
func (b *Backoff) ReopenDelay() time.Duration {
	return time.Duration(b.rng.Float64() * float64(maxReopenDelay))
}

// Reset records that discovery has answered: the pauses start from the initial one again.
func (b *Backoff) Reset() { b.nextPause, b.overloads = b.initialPause, 0 }

// NextPause returns the pause before the next request after one has failed: 0.5 to 1.5
// times a base that doubles each time, bounded by the limit. A pause at the limit is drawn
// from the upper quarter below it, so that no broker sends requests more often than it
// must. queueOverload says that discovery refused the request after it had waited in its
// queue. After more than toleratedRefusals of these in a row the limit no longer applies if
// it is too low for the number of brokers: they send more requests than discovery can answer,
// and the limit would keep it overloaded.
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
