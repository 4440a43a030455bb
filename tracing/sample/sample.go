// Package sample decides at a query's end whether its trace is kept (tail-based
// sampling). It does no I/O and reads no clock: queries and times are passed in,
// and the same seed and inputs give the same decisions.
//
// Decisions are made per time window. Candidate traces are held until the window
// ends, grouped into reservoirs by reason, class and node. If they exceed the limit of
// traces or of bytes, the fullest reservoir drops a trace: the reason with the most
// held traces is chosen, then its class with the most, then that class's node with the
// most. So a reason with few traces never loses one to a reason with many (max-min
// fairness). Within a reservoir each trace is given a random priority once, and the
// traces with the lowest values are kept. This is a uniform sample without replacement
// of all traces that the reservoir saw (bottom-k sampling; Cohen and Kaplan, 2007), so
// held divided by seen is the sampling probability. Estimates weight a trace by its
// inverse.
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
	reasonBits = 16 // width of record.Reasons in bits
	// maxReservoirs bounds the reservoirs of one window. Beyond it, traces are
	// grouped by reason and class only, regardless of the node.
	maxReservoirs = 4096
	// Each class has a sliding-window histogram of its latencies, made up of
	// histogramIntervals intervals of histogramInterval each. Latencies are
	// recorded in multiples of latencyUnit, up to maxLatency, with a precision of
	// significantDigits decimal digits.
	latencyUnit        = 100 * time.Microsecond
	maxLatency         = time.Minute
	histogramInterval  = 10 * time.Second
	histogramIntervals = 6
	significantDigits  = 2
)

// Config configures a Sampler.
type Config struct {
	Window       time.Duration // length of a window; 0 means one second
	MaxTraces    int           // traces kept per window
	MaxBytes     int           // size of the traces held at once, in bytes
	GoodRate     float64       // probability that a good query becomes a candidate
	MaxRequested int           // candidates per window because the caller requested a trace
	Classes      int           // number of query classes
	// SlowQuantile is the quantile of its class's recent latencies above which a
	// query counts as slow, once SlowMinSamples latencies are known. 0 disables the
	// detection.
	SlowQuantile   float64
	SlowMinSamples int
	Seed           uint64 // of all random choices
}

// Query describes a query that has ended.
type Query struct {
	Key       uint64        // identifies the trace to the caller
	EndedAt   time.Duration // since an origin of the caller's choice; a step back is ignored
	Class     int           // index of the class
	Node      string        // the node at which the query lost the most time; "": none
	Latency   time.Duration
	Served    bool
	Reasons   record.Reasons // as returned by record.Trace.DeriveReasons; 0: a good query
	Requested bool           // the caller requested a trace
	Size      int            // of the trace, in bytes
}

// Selection is a trace selected to be kept.
type Selection struct {
	Key         uint64
	Reasons     record.Reasons // all reasons that apply
	Reason      record.Reasons // the one for which it was kept
	Probability float64        // sampling probability of the queries with that Reason, class and node
}

// Counts holds totals since the start.
type Counts struct {
	Seen, Bad, Kept int64            // queries offered, those with a reason or slow, and traces selected
	Shed            map[string]int64 // bad queries not kept, by reason; "size" counts any query whose trace alone exceeds MaxBytes
	AskedOver       int64            // requests for a trace beyond MaxRequested
}

// Sampler decides which traces are kept. It is not safe for concurrent use.
type Sampler struct {
	cfg             Config
	rng             *rand.Rand
	now             time.Duration // the latest time passed in
	windowEnd       time.Duration
	reservoirs      map[reservoirKey]*reservoir
	held            int                 // traces held
	bytes           int                 // their size
	requested       int                 // queries of this window that are candidates on request
	reasonFrequency [reasonBits]float64 // occurrences of each reason, halved at the end of each window
	reasons         [reasonBits]*reasonTotals
	classes         []classLatency
	counts          Counts // without Shed
	shedByReason    [reasonBits]int64
	oversized       int64    // Counts.Shed["size"]
	dropped         []uint64 // result buffer of Offer
}

// reservoirKey is what traces are grouped by. node is "" for traces without a node, and
// for those beyond maxReservoirs.
type reservoirKey struct {
	reason record.Reasons
	class  int
	node   string
}

// reasonTotals counts the traces held for one reason, in total and by class.
type reasonTotals struct {
	held    int
	byClass map[int]*classTotals
}

// classTotals counts the traces held for one reason and class.
type classTotals struct {
	held   int
	byNode map[string]*reservoir
}

// reservoir holds the sampled traces of one reason, class and node in the current
// window, as a heap whose top has the highest priority value: the next to be dropped.
type reservoir struct {
	reservoirKey
	seen int // traces of this window, including dropped ones
	held []heldTrace
}

// heldTrace is a trace that is held until its window ends.
type heldTrace struct {
	key      uint64
	priority float64 // random, from 0 to 1; the trace with the highest value is dropped first
	size     int     // in bytes
	reasons  record.Reasons
}

func (r *reservoir) Len() int           { return len(r.held) }
func (r *reservoir) Less(i, j int) bool { return r.held[i].priority > r.held[j].priority }
func (r *reservoir) Swap(i, j int)      { r.held[i], r.held[j] = r.held[j], r.held[i] }
func (r *reservoir) Push(x any)         { r.held = append(r.held, x.(heldTrace)) }
func (r *reservoir) Pop() any {
	last := r.held[len(r.held)-1]
	r.held = r.held[:len(r.held)-1]
	return last
}

// classLatency tracks the recent latencies of one class.
type classLatency struct {
	histogram     *hdrhistogram.WindowedHistogram
	rotatedAt     time.Duration // when the current interval began
	sinceUpdate   int           // latencies recorded since slowThreshold was last due
	total         int64         // latencies recorded since the start
	slowThreshold time.Duration // the SlowQuantile; 0 until SlowMinSamples latencies are known
}

// New returns a sampler. Its first window begins at time 0.
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

// Offer submits a query that has ended. If hold is true, its trace is held as a
// candidate: a later call of Offer drops it, or the end of the window selects it.
// Otherwise it is not kept. dropped lists the keys that were held until now and are not
// kept. It never contains the offered key, and is valid until the next call.
func (s *Sampler) Offer(query Query) (hold bool, dropped []uint64) {
	s.dropped = s.dropped[:0]
	s.now = max(s.now, query.EndedAt)
	s.counts.Seen++
	if s.held == 0 && s.now >= s.windowEnd { // an empty window restarts at its first query
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
			reasons |= record.Requested
		} else {
			s.counts.AskedOver++
		}
	}
	if reasons == 0 {
		if s.rng.Float64() >= s.cfg.GoodRate {
			return false, nil
		}
		reasons = record.Baseline
	}
	if query.Size > s.cfg.MaxBytes || s.cfg.MaxTraces < 1 {
		s.oversized++
		return false, nil
	}
	res := s.reservoirFor(s.rarestReason(reasons), query.Class, query.Node)
	res.seen++
	heap.Push(res, heldTrace{key: query.Key, priority: s.rng.Float64(), size: query.Size, reasons: reasons})
	s.addHeld(res, 1, query.Size)
	hold = true
	for s.held > s.cfg.MaxTraces || s.bytes > s.cfg.MaxBytes {
		res := s.fullestReservoir()
		removed := heap.Pop(res).(heldTrace)
		s.addHeld(res, -1, -removed.size)
		if res.reason != record.Baseline && res.reason != record.Requested {
			s.shedByReason[reasonIndex(res.reason)]++
		}
		if removed.key == query.Key {
			hold = false
		} else {
			s.dropped = append(s.dropped, removed.key)
		}
	}
	return hold, s.dropped
}

// rarestReason returns the reason of a non-empty set with the fewest recent occurrences,
// of equals the most severe one, and counts an occurrence of each. Under its most common
// reason, a trace of a rare failure would be lost among those of common ones.
func (s *Sampler) rarestReason(reasons record.Reasons) record.Reasons {
	var rarest record.Reasons
	reasons.ForEach(func(reason record.Reasons) {
		if rarest == 0 || s.reasonFrequency[reasonIndex(reason)] < s.reasonFrequency[reasonIndex(rarest)] {
			rarest = reason
		}
	})
	reasons.ForEach(func(reason record.Reasons) { s.reasonFrequency[reasonIndex(reason)]++ })
	return rarest
}

// reasonIndex returns the bit number of a single reason, from 0.
func reasonIndex(r record.Reasons) int {
	for i := range reasonBits {
		if r == 1<<i {
			return i
		}
	}
	return reasonBits - 1
}

// reservoirFor returns the reservoir of a reason, class and node, and creates it if
// needed. With maxReservoirs reached, a new one is shared by all nodes.
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
	totalsOfClass := totals.byClass[class]
	if totalsOfClass == nil {
		totalsOfClass = &classTotals{byNode: map[string]*reservoir{}}
		totals.byClass[class] = totalsOfClass
	}
	totalsOfClass.byNode[key.node] = res
	return res
}

// addHeld adds to the totals of held traces; the arguments may be negative.
func (s *Sampler) addHeld(res *reservoir, traces, bytes int) {
	s.held += traces
	s.bytes += bytes
	totals := s.reasons[reasonIndex(res.reason)]
	totals.held += traces
	totals.byClass[res.class].held += traces
}

// fullestReservoir returns the reservoir to drop a trace from. Ties are broken by
// the order of reasons, classes and node names, as the iteration order of a map would
// make decisions differ between runs.
func (s *Sampler) fullestReservoir() *reservoir {
	var fullestReason *reasonTotals
	for _, x := range s.reasons {
		if x != nil && (fullestReason == nil || x.held >= fullestReason.held) { // of equals, the less severe
			fullestReason = x
		}
	}
	var fullestClass *classTotals
	fullestClassIndex := 0
	for class, x := range fullestReason.byClass {
		if fullestClass == nil || x.held > fullestClass.held || x.held == fullestClass.held && class > fullestClassIndex {
			fullestClass, fullestClassIndex = x, class
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

// observeLatency records a latency and reports whether it is above its class's
// SlowQuantile, which is computed anew after each SlowMinSamples latencies.
func (s *Sampler) observeLatency(class int, latency time.Duration) bool {
	if class < 0 || class >= len(s.classes) || s.cfg.SlowQuantile <= 0 {
		return false
	}
	recent := &s.classes[class]
	if s.now-recent.rotatedAt >= histogramInterval {
		recent.histogram.Rotate()
		recent.rotatedAt = s.now
	}
	// The histogram's range ends at maxLatency; anything above is slow in any case.
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

// WindowEnd returns when the window ends, and whether any trace is held.
func (s *Sampler) WindowEnd() (end time.Duration, held bool) { return s.windowEnd, s.held > 0 }

// CloseDueWindow ends the window if it is over at time now, and returns its selected
// traces in key order. Otherwise it returns nil.
func (s *Sampler) CloseDueWindow(now time.Duration) []Selection {
	if s.now = max(s.now, now); s.now < s.windowEnd {
		return nil
	}
	return s.endWindow()
}

// Flush ends the window early, as on shutdown, and returns its selected traces in
// key order.
func (s *Sampler) Flush() []Selection { return s.endWindow() }

// endWindow returns the traces that are held, in key order, and starts a new window.
func (s *Sampler) endWindow() []Selection {
	var selected []Selection
	for i := range s.reasons {
		if s.reasons[i] == nil {
			continue
		}
		for _, class := range s.reasons[i].byClass {
			for _, res := range class.byNode {
				for _, held := range res.held {
					selection := Selection{Key: held.key, Reasons: held.reasons, Reason: res.reason, Probability: float64(len(res.held)) / float64(res.seen)}
					if res.reason == record.Baseline {
						selection.Probability *= s.cfg.GoodRate
					}
					selected = append(selected, selection)
				}
			}
		}
	}
	slices.SortFunc(selected, func(a, b Selection) int { return cmp.Compare(a.Key, b.Key) })
	s.counts.Kept += int64(len(selected))
	s.startWindow()
	return selected
}

// startWindow forgets all held traces and starts a new window at time s.now.
func (s *Sampler) startWindow() {
	clear(s.reservoirs)
	clear(s.reasons[:])
	for i := range s.reasonFrequency {
		s.reasonFrequency[i] /= 2
	}
	s.held, s.bytes, s.requested = 0, 0, 0
	s.windowEnd = s.now + s.cfg.Window
}

// Counts returns the totals since the start.
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
