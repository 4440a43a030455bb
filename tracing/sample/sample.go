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
	reasonBits = 16 // bits of record.Reasons
	// maxGroups bounds the groups of one window; beyond it nodes are not told
	// apart.
	maxReservoirs = 4096
	// Latencies are kept in units of unit up to longest, over spans of span.
	latencyUnit        = 100 * time.Microsecond
	maxLatency         = time.Minute
	histogramInterval  = 10 * time.Second
	histogramIntervals = 6
	significantDigits  = 2
)

// Config is what a Sampler is told.
type Config struct {
	Window       time.Duration // how long decisions are held; 0: a second
	MaxTraces    int           // traces kept in a window
	MaxBytes     int           // traces held in a window, in bytes
	GoodRate     float64       // share of the good ones that is kept
	MaxRequested int           // traces kept in a window because the caller asked
	Classes      int
	// Slow is the quantile of its class's recent latencies beyond which a query
	// is unusually slow, from SlowLeast latencies on; 0: none is.
	SlowQuantile   float64
	SlowMinSamples int
	Seed           uint64
}

// Item is a query at its end.
type Query struct {
	Key       uint64        // the caller's name of the trace
	EndedAt   time.Duration // since a moment of the caller's; a step back counts as none
	Class     int
	Node      string // at which it lost its time
	Latency   time.Duration
	Served    bool
	Reasons   record.Reasons // as record.Trace.Judge gives them
	Requested bool
	Size      int // of the trace, in bytes
}

// Kept is a trace that is kept.
type Selection struct {
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
	cfg             Config
	rng             *rand.Rand
	now             time.Duration
	windowEnd       time.Duration // the window's end
	reservoirs      map[reservoirKey]*reservoir
	held            int
	bytes           int
	requested       int
	reasonFrequency [reasonBits]float64 // how often each reason came of late
	reasons         [reasonBits]*reasonTotals
	classes         []classLatency
	counts          Counts
	shedByReason    [reasonBits]int64
	oversized       int64
	dropped         []uint64
}

// group is what traces are told apart by.
type reservoirKey struct {
	reason record.Reasons
	class  int
	node   string
}

// tier counts what is held under one reason and under each of its classes.
type reasonTotals struct {
	held    int
	byClass map[int]*classTotals
}

type classTotals struct {
	held   int
	byNode map[string]*reservoir
}

// pool is one group's share of the window: a heap with the greatest priority
// on top.
type reservoir struct {
	reservoirKey
	seen int
	held []entry
}

type entry struct {
	key      uint64
	priority float64
	size     int
	reasons  record.Reasons
}

func (p *reservoir) Len() int           { return len(p.held) }
func (p *reservoir) Less(i, j int) bool { return p.held[i].priority > p.held[j].priority }
func (p *reservoir) Swap(i, j int)      { p.held[i], p.held[j] = p.held[j], p.held[i] }
func (p *reservoir) Push(x any)         { p.held = append(p.held, x.(entry)) }
func (p *reservoir) Pop() any {
	last := p.held[len(p.held)-1]
	p.held = p.held[:len(p.held)-1]
	return last
}

// class is the recent latencies of one class.
type classLatency struct {
	histogram     *hdrhistogram.WindowedHistogram
	rotatedAt     time.Duration // when the present span began
	sinceUpdate   int           // latencies since slow was reckoned
	total         int64
	slowThreshold time.Duration // 0: not known yet
}

// New returns a sampler.
func New(cfg Config) *Sampler {
	if cfg.Window <= 0 {
		cfg.Window = time.Second
	}
	s := &Sampler{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x7261636573)), windowEnd: cfg.Window,
		reservoirs: map[reservoirKey]*reservoir{}, classes: make([]classLatency, max(1, cfg.Classes)),
	}
	for i := range s.classes {
		s.classes[i].histogram = hdrhistogram.NewWindowed(histogramIntervals, 1, int64(maxLatency/latencyUnit), significantDigits)
	}
	return s
}

// Offer decides on a query. hold says that its trace may be kept: Due tells
// later, or a drop does. The keys in drop, valid until the next call, were held
// before and are not kept after all; an offered key is never among them.
func (s *Sampler) Offer(query Query) (hold bool, dropped []uint64) {
	s.dropped = s.dropped[:0]
	s.now = max(s.now, query.EndedAt)
	s.counts.Seen++
	if s.held == 0 && s.now >= s.windowEnd { // a window begins with what comes first
		s.startWindow()
	}
	reasons := query.Reasons
	if query.Served && s.observeLatency(query.Class, query.Latency) {
		reasons |= record.Slow
	}
	if reasons != 0 {
		s.counts.Bad++
	}
	if query.Requested {
		if s.requested < s.cfg.MaxRequested {
			s.requested++
			reasons |= record.Asked
		} else {
			s.counts.AskedOver++
		}
	}
	if reasons == 0 {
		if s.rng.Float64() >= s.cfg.GoodRate {
			return false, nil
		}
		reasons = record.Usual
	}
	if query.Size > s.cfg.MaxBytes || s.cfg.MaxTraces < 1 {
		s.oversized++
		return false, nil
	}
	res := s.reservoirFor(s.rarestReason(reasons), query.Class, query.Node)
	res.seen++
	heap.Push(res, entry{key: query.Key, priority: s.rng.Float64(), size: query.Size, reasons: reasons})
	s.addHeld(res, 1, query.Size)
	hold = true
	for s.held > s.cfg.MaxTraces || s.bytes > s.cfg.MaxBytes {
		res := s.fullestReservoir()
		e := heap.Pop(res).(entry)
		s.addHeld(res, -1, -e.size)
		if res.reason != record.Usual && res.reason != record.Asked {
			s.shedByReason[reasonIndex(res.reason)]++
		}
		if e.key == query.Key {
			hold = false
		} else {
			s.dropped = append(s.dropped, e.key)
		}
	}
	return hold, s.dropped
}

// rarest picks the reason that came least of late, the graver of equals: by
// its commonest reason a rare failure would be lost among the common.
func (s *Sampler) rarestReason(reasons record.Reasons) record.Reasons {
	var rarest record.Reasons
	reasons.Each(func(reason record.Reasons) {
		if rarest == 0 || s.reasonFrequency[reasonIndex(reason)] < s.reasonFrequency[reasonIndex(rarest)] {
			rarest = reason
		}
	})
	reasons.Each(func(reason record.Reasons) { s.reasonFrequency[reasonIndex(reason)]++ })
	return rarest
}

func reasonIndex(r record.Reasons) int {
	for i := range reasonBits {
		if r == 1<<i {
			return i
		}
	}
	return reasonBits - 1
}

func (s *Sampler) reservoirFor(reason record.Reasons, class int, node string) *reservoir {
	key := reservoirKey{reason, class, node}
	if s.reservoirs[key] == nil && len(s.reservoirs) >= maxReservoirs {
		key.node = ""
	}
	res := s.reservoirs[key]
	if res != nil {
		return res
	}
	res = &reservoir{reservoirKey: key}
	s.reservoirs[key] = res
	totals := s.reasons[reasonIndex(reason)]
	if totals == nil {
		totals = &reasonTotals{byClass: map[int]*classTotals{}}
		s.reasons[reasonIndex(reason)] = totals
	}
	classSum := totals.byClass[class]
	if classSum == nil {
		classSum = &classTotals{byNode: map[string]*reservoir{}}
		totals.byClass[class] = classSum
	}
	classSum.byNode[key.node] = res
	return res
}

func (s *Sampler) addHeld(res *reservoir, traces, bytes int) {
	s.held += traces
	s.bytes += bytes
	totals := s.reasons[reasonIndex(res.reason)]
	totals.held += traces
	totals.byClass[res.class].held += traces
}

// fullest finds the group that gives up a trace. Ties go by the order of
// reasons, classes and names, so that the verdict does not hang on a map's.
func (s *Sampler) fullestReservoir() *reservoir {
	var fullestReason *reasonTotals
	for _, x := range s.reasons {
		if x != nil && (fullestReason == nil || x.held >= fullestReason.held) { // of equals the less grave
			fullestReason = x
		}
	}
	var fullestClass *classTotals
	fullestIndex := 0
	for class, x := range fullestReason.byClass {
		if fullestClass == nil || x.held > fullestClass.held || x.held == fullestClass.held && class > fullestIndex {
			fullestClass, fullestIndex = x, class
		}
	}
	var fullest *reservoir
	for node, x := range fullestClass.byNode {
		if fullest == nil || len(x.held) > len(fullest.held) || len(x.held) == len(fullest.held) && node > fullest.node {
			fullest = x
		}
	}
	return fullest
}

// slow says whether a latency lies beyond its class's quantile, and learns it.
func (s *Sampler) observeLatency(class int, latency time.Duration) bool {
	if class < 0 || class >= len(s.classes) || s.cfg.SlowQuantile <= 0 {
		return false
	}
	recent := &s.classes[class]
	if s.now-recent.rotatedAt >= histogramInterval {
		recent.histogram.Rotate()
		recent.rotatedAt = s.now
	}
	// Beyond longest it is slow by any measure; the histogram holds no more.
	_ = recent.histogram.Current.RecordValue(min(int64(latency/latencyUnit), int64(maxLatency/latencyUnit)))
	recent.sinceUpdate++
	recent.total++
	if minSamples := max(1, s.cfg.SlowMinSamples); recent.sinceUpdate >= minSamples {
		recent.sinceUpdate = 0
		merged := recent.histogram.Merge()
		if merged.TotalCount() >= int64(minSamples) {
			recent.slowThreshold = time.Duration(merged.ValueAtQuantile(s.cfg.SlowQuantile*100)) * latencyUnit
		}
	}
	return recent.slowThreshold > 0 && latency > recent.slowThreshold+latencyUnit
}

// Next is when the window ends; held says whether anything waits for it.
func (s *Sampler) WindowEnd() (end time.Duration, held bool) { return s.windowEnd, s.held > 0 }

// Due ends the window if its time has come, and returns what is kept of it, in
// the order of the keys.
func (s *Sampler) CloseDueWindow(now time.Duration) []Selection {
	if s.now = max(s.now, now); s.now < s.windowEnd {
		return nil
	}
	return s.endWindow()
}

// Flush ends the window now, as at the end of the program.
func (s *Sampler) Flush() []Selection { return s.endWindow() }

func (s *Sampler) endWindow() []Selection {
	var selected []Selection
	for i := range s.reasons {
		if s.reasons[i] == nil {
			continue
		}
		for _, c := range s.reasons[i].byClass {
			for _, p := range c.byNode {
				for _, e := range p.held {
					k := Selection{Key: e.key, Reasons: e.reasons, Reason: p.reason, Probability: float64(len(p.held)) / float64(p.seen)}
					if p.reason == record.Usual {
						k.Probability *= s.cfg.GoodRate
					}
					selected = append(selected, k)
				}
			}
		}
	}
	slices.SortFunc(selected, func(a, b Selection) int { return cmp.Compare(a.Key, b.Key) })
	s.counts.Kept += int64(len(selected))
	s.startWindow()
	return selected
}

// begin empties the window and starts the next.
func (s *Sampler) startWindow() {
	clear(s.reservoirs)
	clear(s.reasons[:])
	for i := range s.reasonFrequency {
		s.reasonFrequency[i] /= 2
	}
	s.held, s.bytes, s.requested = 0, 0, 0
	s.windowEnd = s.now + s.cfg.Window
}

// Counts returns the totals.
func (s *Sampler) Counts() Counts {
	c := s.counts
	c.Shed = map[string]int64{}
	for i, n := range s.shedByReason {
		if n > 0 {
			c.Shed[record.Reasons(1<<i).String()] = n
		}
	}
	if s.oversized > 0 {
		c.Shed["size"] = s.oversized
	}
	return c
}
