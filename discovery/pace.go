package discovery

import (
	"math/rand/v2"
	"time"
)

const (
	firstPause = 20 * time.Millisecond // for one broker alone
	longPause  = time.Second
	// Where many brokers ask one discovery, each gives the others this much
	// room: together they then ask some firstPer and longPer apart.
	firstPer = 5 * time.Millisecond
	longPer  = 50 * time.Millisecond
)

// Pace says how long a broker waits before it asks discovery again. It does no
// I/O and reads no clock.
//
// All brokers ask one discovery, and what makes one call fail makes theirs fail
// at the same moment. Pauses therefore grow with the number of brokers and are
// drawn at random: a discovery that can answer only some of them is asked less
// and less often, instead of by all in step for as long as it is short.
type Pace struct {
	first, longest, next time.Duration
	rng                  *rand.Rand
}

// NewPace returns the pace of one broker of so many. Brokers are given
// different seeds.
func NewPace(brokers int, seed uint64) *Pace {
	n := time.Duration(max(1, brokers))
	p := &Pace{
		first: max(firstPause, n*firstPer), longest: max(longPause, n*longPer),
		rng: rand.New(rand.NewPCG(seed, 0x9ace)),
	}
	p.Answered()
	return p
}

// Answered notes that discovery has answered.
func (p *Pace) Answered() { p.next = p.first }

// Failed returns the pause before the next call after one that failed: half to
// one and a half times a figure that doubles up to the longest.
func (p *Pace) Failed() time.Duration {
	pause := time.Duration((0.5 + p.rng.Float64()) * float64(p.next))
	p.next = min(2*p.next, p.longest)
	return pause
}
