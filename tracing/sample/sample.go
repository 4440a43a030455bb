// Package sample decides at a query's end whether its trace is kept. It does
// no I/O and reads no clock: queries and times go in, verdicts come out, and
// the same seed and inputs give the same verdicts.
//
// Decisions fall in windows. What may be kept is held until its window ends;
// where more comes than the budget or the memory allows, the fullest group
// gives up a trace: of the reasons the one with most held, of its classes the
// one with most, of that one's nodes the one with most. So a reason with few
// traces never loses one to a reason with many (max-min fairness). Inside a
// group each trace draws a random priority once, and those of least priority
// stay: a uniform sample without replacement of all that the group saw (bottom-k
// sampling; Cohen and Kaplan, 2007), so that held over seen is the probability
// that an estimate needs.
package sample

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"onyxsail/tracing/record"
)

const (
	reasons = 16 // bits of record.Reasons
	// maxGroups bounds the groups of one window; beyond it nodes are not told
	// apart.
	maxGroups = 4096
	// Latencies are kept in units of unit up to longest, over spans of span.
	unit    = 100 * time.Microsecond
	longest = time.Minute
	span    = 10 * time.Second
	spans   = 6
	digits  = 2
)

// Config is what a Sampler is told.
type Config struct {
	Window  time.Duration // how long decisions are held; 0: a second
	Budget  int           // traces kept in a window
	Bytes   int           // traces held in a window, in bytes
	Usual   float64       // share of the good ones that is kept
	Asked   int           // traces kept in a window because the caller asked
	Classes int
	// Slow is the quantile of its class's recent latencies beyond which a query
	// is unusually slow, from SlowLeast latencies on; 0: none is.
	Slow      float64
	SlowLeast int
	Seed      uint64
}

// Item is a query at its end.
type Item struct {
	Key     uint64        // the caller's name of the trace
	At      time.Duration // since a moment of the caller's; a step back counts as none
	Class   int
	Node    string // at which it lost its time
	Took    time.Duration
	Served  bool
	Reasons record.Reasons // as record.Trace.Judge gives them
	Asked   bool
	Size    int // of the trace, in bytes
}

// Kept is a trace that is kept.
type Kept struct {
	Key         uint64
	Reasons     record.Reasons // all of them
	Reason      record.Reasons // the one for which it was kept
	Probability float64
}

// Counts are totals since the start.
type Counts struct {
	Seen, Bad, Kept int64
	Shed            map[string]int64 // bad ones not kept, by reason; "size": larger than all the memory
	AskedOver       int64            // traces that callers asked for beyond the bound
}

// Sampler decides. It is not safe for concurrent use.
type Sampler struct {
	cfg     Config
	rng     *rand.Rand
	now     time.Duration
	until   time.Duration // the window's end
	groups  map[group]*pool
	held    int
	bytes   int
	asked   int
	heat    [reasons]float64 // how often each reason came of late
	by      [reasons]*tier
	classes []class
	counts  Counts
	shed    [reasons]int64
	tooBig  int64
	out     []uint64
}

// group is what traces are told apart by.
type group struct {
	reason record.Reasons
	class  int
	node   string
}

// tier counts what is held under one reason and under each of its classes.
type tier struct {
	held    int
	classes map[int]*classTier
}

type classTier struct {
	held  int
	nodes map[string]*pool
}

// pool is one group's share of the window: a heap with the greatest priority
// on top.
type pool struct {
	group
	seen int
	held []entry
}

type entry struct {
	key      uint64
	priority float64
	size     int
	reasons  record.Reasons
}

func (p *pool) Len() int           { return len(p.held) }
func (p *pool) Less(i, j int) bool { return p.held[i].priority > p.held[j].priority }
func (p *pool) Swap(i, j int)      { p.held[i], p.held[j] = p.held[j], p.held[i] }
func (p *pool) Push(x any)         { p.held = append(p.held, x.(entry)) }
func (p *pool) Pop() any {
	last := p.held[len(p.held)-1]
	p.held = p.held[:len(p.held)-1]
	return last
}

// class is the recent latencies of one class.
type class struct {
	recent *hdrhistogram.WindowedHistogram
	turned time.Duration // when the present span began
	fresh  int           // latencies since slow was reckoned
	count  int64
	slow   time.Duration // 0: not known yet
}

// New returns a sampler.
func New(c Config) *Sampler {
	if c.Window <= 0 {
		c.Window = time.Second
	}
	s := &Sampler{
		cfg: c, rng: rand.New(rand.NewPCG(c.Seed, 0x7261636573)), until: c.Window,
		groups: map[group]*pool{}, classes: make([]class, max(1, c.Classes)),
	}
	for i := range s.classes {
		s.classes[i].recent = hdrhistogram.NewWindowed(spans, 1, int64(longest/unit), digits)
	}
	return s
}

// Offer decides on a query. hold says that its trace may be kept: Due tells
// later, or a drop does. The keys in drop, valid until the next call, were held
// before and are not kept after all; an offered key is never among them.
func (s *Sampler) Offer(it Item) (hold bool, drop []uint64) {
	s.out = s.out[:0]
	s.now = max(s.now, it.At)
	s.counts.Seen++
	if s.held == 0 && s.now >= s.until { // a window begins with what comes first
		s.begin()
	}
	r := it.Reasons
	if it.Served && s.slow(it.Class, it.Took) {
		r |= record.Slow
	}
	if r != 0 {
		s.counts.Bad++
	}
	if it.Asked {
		if s.asked < s.cfg.Asked {
			s.asked++
			r |= record.Requested
		} else {
			s.counts.AskedOver++
		}
	}
	if r == 0 {
		if s.rng.Float64() >= s.cfg.Usual {
			return false, nil
		}
		r = record.Baseline
	}
	if it.Size > s.cfg.Bytes || s.cfg.Budget < 1 {
		s.tooBig++
		return false, nil
	}
	p := s.pool(s.rarest(r), it.Class, it.Node)
	p.seen++
	heap.Push(p, entry{key: it.Key, priority: s.rng.Float64(), size: it.Size, reasons: r})
	s.count(p, 1, it.Size)
	hold = true
	for s.held > s.cfg.Budget || s.bytes > s.cfg.Bytes {
		p := s.fullest()
		e := heap.Pop(p).(entry)
		s.count(p, -1, -e.size)
		if p.reason != record.Baseline && p.reason != record.Requested {
			s.shed[index(p.reason)]++
		}
		if e.key == it.Key {
			hold = false
		} else {
			s.out = append(s.out, e.key)
		}
	}
	return hold, s.out
}

// rarest picks the reason that came least of late, the graver of equals: by
// its commonest reason a rare failure would be lost among the common.
func (s *Sampler) rarest(r record.Reasons) record.Reasons {
	var best record.Reasons
	r.ForEach(func(one record.Reasons) {
		if best == 0 || s.heat[index(one)] < s.heat[index(best)] {
			best = one
		}
	})
	r.ForEach(func(one record.Reasons) { s.heat[index(one)]++ })
	return best
}

func index(r record.Reasons) int {
	for i := range reasons {
		if r == 1<<i {
			return i
		}
	}
	return reasons - 1
}

func (s *Sampler) pool(r record.Reasons, class int, node string) *pool {
	g := group{r, class, node}
	if s.groups[g] == nil && len(s.groups) >= maxGroups {
		g.node = ""
	}
	p := s.groups[g]
	if p != nil {
		return p
	}
	p = &pool{group: g}
	s.groups[g] = p
	t := s.by[index(r)]
	if t == nil {
		t = &tier{classes: map[int]*classTier{}}
		s.by[index(r)] = t
	}
	c := t.classes[class]
	if c == nil {
		c = &classTier{nodes: map[string]*pool{}}
		t.classes[class] = c
	}
	c.nodes[g.node] = p
	return p
}

func (s *Sampler) count(p *pool, n, bytes int) {
	s.held += n
	s.bytes += bytes
	t := s.by[index(p.reason)]
	t.held += n
	t.classes[p.class].held += n
}

// fullest finds the group that gives up a trace. Ties go by the order of
// reasons, classes and names, so that the verdict does not hang on a map's.
func (s *Sampler) fullest() *pool {
	var t *tier
	for _, x := range s.by {
		if x != nil && (t == nil || x.held >= t.held) { // of equals the less grave
			t = x
		}
	}
	var c *classTier
	at := 0
	for class, x := range t.classes {
		if c == nil || x.held > c.held || x.held == c.held && class > at {
			c, at = x, class
		}
	}
	var p *pool
	for node, x := range c.nodes {
		if p == nil || len(x.held) > len(p.held) || len(x.held) == len(p.held) && node > p.node {
			p = x
		}
	}
	return p
}

// slow says whether a latency lies beyond its class's quantile, and learns it.
func (s *Sampler) slow(at int, took time.Duration) bool {
	if at < 0 || at >= len(s.classes) || s.cfg.Slow <= 0 {
		return false
	}
	c := &s.classes[at]
	if s.now-c.turned >= span {
		c.recent.Rotate()
		c.turned = s.now
	}
	// Beyond longest it is slow by any measure; the histogram holds no more.
	_ = c.recent.Current.RecordValue(min(int64(took/unit), int64(longest/unit)))
	c.fresh++
	c.count++
	if least := max(1, s.cfg.SlowLeast); c.fresh >= least {
		c.fresh = 0
		all := c.recent.Merge()
		if all.TotalCount() >= int64(least) {
			c.slow = time.Duration(all.ValueAtQuantile(s.cfg.Slow*100)) * unit
		}
	}
	return c.slow > 0 && took > c.slow+unit
}

// Next is when the window ends; held says whether anything waits for it.
func (s *Sampler) Next() (at time.Duration, held bool) { return s.until, s.held > 0 }

// Due ends the window if its time has come, and returns what is kept of it, in
// the order of the keys.
func (s *Sampler) Due(now time.Duration) []Kept {
	if s.now = max(s.now, now); s.now < s.until {
		return nil
	}
	return s.flush()
}

// Flush ends the window now, as at the end of the program.
func (s *Sampler) Flush() []Kept { return s.flush() }

func (s *Sampler) flush() []Kept {
	var kept []Kept
	for i := range s.by {
		if s.by[i] == nil {
			continue
		}
		for _, c := range s.by[i].classes {
			for _, p := range c.nodes {
				for _, e := range p.held {
					k := Kept{Key: e.key, Reasons: e.reasons, Reason: p.reason, Probability: float64(len(p.held)) / float64(p.seen)}
					if p.reason == record.Baseline {
						k.Probability *= s.cfg.Usual
					}
					kept = append(kept, k)
				}
			}
		}
	}
	slices.SortFunc(kept, func(a, b Kept) int { return cmp.Compare(a.Key, b.Key) })
	s.counts.Kept += int64(len(kept))
	s.begin()
	return kept
}

// begin empties the window and starts the next.
func (s *Sampler) begin() {
	clear(s.groups)
	clear(s.by[:])
	for i := range s.heat {
		s.heat[i] /= 2
	}
	s.held, s.bytes, s.asked = 0, 0, 0
	s.until = s.now + s.cfg.Window
}

// Counts returns the totals.
func (s *Sampler) Counts() Counts {
	c := s.counts
	c.Shed = map[string]int64{}
	for i, n := range s.shed {
		if n > 0 {
			c.Shed[record.Reasons(1<<i).String()] = n
		}
	}
	if s.tooBig > 0 {
		c.Shed["size"] = s.tooBig
	}
	return c
}
