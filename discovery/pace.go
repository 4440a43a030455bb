package discovery

import (
	"math/rand/v2"
	"time"
)

const (
	firstPause = 20 * time.Millisecond // for one broker alone
	longPause  = time.Second
	// Where many brokers ask one discovery, each leaves the others this much
	// time, and twice that once calls fail again and again.
	perBroker = 50 * time.Millisecond
	// few brokers may ask at the same moment.
	few = 4
	// patient is how many refusals in a row are taken for a discovery that is overbooked
	// rather than in some passing trouble.
	patient = 2
)

// Pace says when a broker asks discovery: it does no I/O and reads no clock.
//
// All brokers ask one discovery, and what makes one of them ask, or fail, makes
// the others do the same at that moment. Calls wait in its queue until their
// time is up, and what has given up is served all the same: asked anew too
// early, discovery works through calls that nobody waits for any more, and then
// answers none. So each broker leaves room for the others, by their number, and
// draws its moment at random. It must not stay away for long all the same: what
// discovery has counts as told some time after it could be reached.
type Pace struct {
	start, first, longest, next time.Duration
	most                        time.Duration // bounds each pause; 0: nothing does
	crowded                     bool          // room for so many brokers asks for longer ones
	refusals                    int           // in a row
	rng                         *rand.Rand
}

// NewPace returns the pace of one of so many brokers that ask the same
// discovery. No pause is longer than longest, if that is given, but where discovery
// refuses again and again and the room for so many brokers asks for longer ones.
// Brokers are given different seeds.
func NewPace(brokers int, longest time.Duration, seed uint64) *Pace {
	n := time.Duration(max(1, brokers))
	p := &Pace{
		start: max(0, n-few) * perBroker, first: firstPause, longest: longPause, most: longest,
		rng: rand.New(rand.NewPCG(seed, 0x9ace)),
	}
	if n > few {
		p.first, p.longest = n*perBroker, max(longPause, 2*n*perBroker)
	}
	if longest > 0 {
		p.crowded = p.longest > longest
		p.start, p.first = min(p.start, longest), min(p.first, longest)
	}
	p.Answered()
	return p
}

// Start returns how long a broker that has just started waits before its first
// call. Where most of them are restarted together, all would ask at once.
func (p *Pace) Start() time.Duration { return time.Duration(p.rng.Float64() * float64(p.start)) }

// Anew returns the pause before a watch is opened in place of one that fell silent:
// watches of many brokers that did so at one moment must not come back at one.
func (p *Pace) Anew() time.Duration { return time.Duration(p.rng.Float64() * float64(anew)) }

// Answered notes that discovery has answered.
func (p *Pace) Answered() { p.next, p.refusals = p.first, 0 }

// Failed returns the pause before the next call after one that failed: half to
// one and a half times a figure that doubles, and no longer than allowed. Near that
// it is drawn from the upper quarter, so that none comes oftener than it must.
// refused says that discovery turned the call away after it had stood in its queue: where
// it goes on to and many share it, more ask than it can answer, and to ask as often as ever
// would help none.
func (p *Pace) Failed(refused bool) time.Duration {
	if p.refusals++; !refused {
		p.refusals = 0
	}
	pause := time.Duration((0.5 + p.rng.Float64()) * float64(p.next))
	if p.most > 0 && pause > p.most && (p.refusals <= patient || !p.crowded) {
		pause = time.Duration((0.75 + 0.25*p.rng.Float64()) * float64(p.most))
	}
	p.next = min(2*p.next, p.longest)
	return pause
}
