package decide

// Every decision, in reading order, from the tuned values to the list. The interface stands in api.go.

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
)

// The tuned values. All but the design's own are ratios, to follow what a deployment shows of itself.
const (
	pMax     = 0.1  // the design's cap on p, and p until samples exist
	mu       = 0.1  // the design's bound on extra busy time in rule (19)
	pSteps   = 5    // candidates above zero for p: a fine grid gains nothing over noise
	pSamples = 200  // first-send times kept per class: some tens of seconds at usual rates
	pDraws   = 60   // bootstrap rounds: enough to rank six candidates, cheap
	pEveryMs = 3000 // between looks at p: a few seconds, as the design asks

	smooth   = 0.12 // weight of one answer in a replica's latency: parts differ, some eight make a change
	fade     = 30   // old news of a replica fades over this many typical latencies
	fadeNews = 8    // or, where we are one root among many, over as many sends to it
	fadeMost = 40   // shortest aims over which it does at most
	rareMost = 0.4  // weight of one answer where they are rare: what it tells is old before eight have come
	rareFrom = 1    // they are where this share of news has faded between two sends

	priceCare = 20   // latency we would pay for each unit of a told price, of another zone or a new connection
	silent    = 5.0  // answers overdue by this many typical latencies make a replica suspect or slow
	overdue   = 1.5  // a part this many typical latencies old at a suspect replica is tried elsewhere
	blame     = 0.35 // how far one failure moves the evidence towards certainty
	suspectAt = 0.5  // two failures close together pass it, one does not
	groupBad  = 0.7  // share of a zone and kind's attempts without answer at which all of it is doubted
	trustAt   = 0.2  // two or three answers in a row restore trust
	livedMin  = 1.5  // so many broken connections, each with an answer after it,
	livedPer  = 4.0  // and so many for each that was refused next, tell nothing of the query
	warySpan  = 20   // shortest aims for which what a replica died of may come again
	letIn     = 5    // shortest aims without news over which latencies fade to calm: few tries go in vain
	trialPart = 10   // one part in so many, and one, may try a replica in doubt
	trialGap  = 8.0  // typical latencies before a suspect replica is tried again
	trialNews = 4.0  // or, where we are one root among many, so many sends to one
	fullRest  = 4.0  // typical latencies, half of them to one and a half times, that a full replica is spared
	rareBlame = 0.7  // blame where answers are rare: one tells as much as will be known
	flakyMost = 0.95 // a replica that fails parts at once may be asked first while it fails no larger share

	roomAim   = 0.8  // on a pressed fleet a query of usual worth must be predicted within this share of its aim
	roomLeast = 0.5  // and one of little worth within this share: the first to go
	givenMax  = 20   // times given to tries, kept to tell a habit from what is left to one client
	lateMost  = 0.15 // share of late queries at which predictions are scaled in full
	slipMax   = 3    // one query's time counts as this many times its predicted at most
	usualOver = 50   // queries over which the usual worth for work is smoothed

	copyShare  = 0.5   // copies leave the rest of the budget to tries after failures
	ownShare   = 0.15  // further attempts a part earns where no budget is told: modest
	ownFloor   = 10    // and those that need no earning
	ownSpanMs  = 10000 // over this window
	coldShare  = 0.75  // of the told fall budget: other roots may carry more traffic than we do
	coldSaved  = 0.25  // of the told fall time, over which a root saves up what it does not send
	rateSpanMs = 5000  // window of the usual send rate: long beside gaps between sends
	askFirstMs = 100   // first pause before asking for the list again; doubles, with jitter
	calmRise   = 0.05  // the calm level is relearned upwards by this share at each look at p
	sweepTicks = 4     // ticks between looks at what is open
	endTicks   = 2     // ticks kept between the final answer and the end of a query's use, at least
	fetchTimes = 2     // usual second steps' times, or typical latencies, kept for a second step
)

type attempt struct {
	p            *part
	at           *replica
	sent, woke   float64 // when it was sent, by the clock and by our waking time
	load         float64 // parts out at the replica, this one included
	turn         uint64  // sends of one turn to one replica share a call
	until        float64 // ended without an answer, its work may go on until then
	open, off    bool    // its outcome has not come; cancelled
	unrun, quick bool    // proved never to have run; it found no connection, or failed in next to no time
}

type part struct {
	id           uint64
	q            *query
	shard        int
	weight, in   float64 // in: when its answer came
	tries        []*attempt
	first        *replica // picked for the first send
	got, dropped bool     // answered; its query has ended or moved to the next step
	scarce       bool     // needed, and when it was placed no holder was sound and had room
}

type query struct {
	came, predicted               float64
	id                            uint64
	number, aim, end, weight      float64 // weight: of the parts that are in
	giveUp                        float64 // when it is given up for want of time
	class, answered, left         int     // left: parts still out at the fork; 0: no fork
	parts                         []*part
	trials, broken                int  // parts first sent to replicas in doubt; under which a replica died
	over, again, forked, wary     bool // over: beyond its tenant's share; wary: one part goes ahead
	second, between, whole, ended bool // steps: at the second, between the two, the first was whole
}

type replica struct {
	Member
	group              *group
	since, told        float64 // start of its life as we judge it, -Inf: long past; when we heard of it
	heard, suspect     bool
	lat, load          float64 // smoothed latency, and parts out at the sends that it speaks of
	quiet              float64 // how long it has answered nothing, with work of ours
	faded, soon, level float64 // its latency, old news faded: for the choice, predictions, with its silence
	out                []*attempt
	lastNews           float64
	fullTill           float64   // it turned a part away; sooner the next would be as well
	mayTake, filledAt  float64   // parts that we may send while it is cold, and when that was reckoned
	bad                float64   // evidence of failure, 0 to 1
	shunned            []float64 // by class: till when, as it lost a part while it answered others
	mute, down         bool      // suspect for its silence, which any answer ends; refused the last connection
	brokeAt            float64   // when a connection broke, till the next answer or refusal tells why
	fails, failMs      float64   // smoothed share of attempts that fail, and how soon they do
	trialAt            float64   // when a suspect gets its next trial
}

type class struct {
	Class
	samples                []float64 // first-send times, the latest
	given                  []float64 // times that the latest tries were given
	slip, late, slipAt     float64   // smoothed ratio of the time taken to the predicted; share that ended late
	k, p, chosenAt, waryTo float64   // parts, smoothed; copy share; last look at p; till when a part goes ahead
	mean, fetch            float64   // smoothed time of a part and of a second step
}

// group is the replicas of one zone and kind: a slow way or kind of machine shows at all of them together.
type group struct {
	lat, level   float64 // smoothed latency; this turn's, with what open attempts prove
	bad, trialAt float64 // smoothed share of attempts that got no answer; when it gets its next trial
}

// flow is a count that fades over rateSpanMs.
type flow struct{ count, at float64 }

func (f *flow) value(now float64) float64 { return f.count * math.Exp(-(now-f.at)/rateSpanMs) }
func (f *flow) add(now float64)           { f.count, f.at = f.value(now)+1, now }

// Root decides for one aggregator.
type Root struct {
	s               Settings
	rng             *rand.Rand
	now             float64
	stalled, absent float64 // how long this root stood still before this turn, and in all
	turn            uint64
	processes       int // of this root's broker that run, this one included
	out             []Action
	replicas        map[Addr]*replica
	groups          map[[2]int]*group // by zone and kind
	listed          []*replica        // by address
	cells           [][]*replica      // ready holders of the shards of each cell
	parts           map[uint64]*part
	byNumber        map[float64]*query
	open, fresh     []*query // fresh: to be sent this turn
	classes         []class

	tenants                []flow    // what each tenant sent here inside its allowance
	usualV, seen           float64   // smoothed worth for work of the queries that come; how many
	extras, taken          []float64 // times: further attempts, and what was taken in
	sent, called, died     flow      // sends, the calls they were in, and attempts under which a replica died
	borne, units, judgedAt float64   // answers, and warm replicas times ms, fading over ColdMs; when
	lived, lost            flow      // replicas that lived on after a connection broke, or refused the next part
	average, typical       float64   // mean and median latency of replicas
	aim, lastNews, waryTo  float64   // shortest aim of a class; the latest answer; till when a part goes ahead
	born, gap, memory      float64   // first turn; between two sends of ours to a replica; how long news is kept
	fleet, calm            float64   // mean level of the groups; the typical one when little waits
	sweepAt, askAt, askGap float64
	follows, told          bool // told: a list has come
}

// New returns a root that has just started.
func New(s Settings, seed uint64) *Root {
	s.Cells, s.BundleMax = max(1, s.Cells), max(1, s.BundleMax)
	r := &Root{
		s: s, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		replicas: map[Addr]*replica{}, groups: map[[2]int]*group{}, parts: map[uint64]*part{},
		byNumber: map[float64]*query{}, cells: make([][]*replica, s.Cells), tenants: make([]flow, len(s.Tenants)),
		askGap: askFirstMs, askAt: math.Inf(-1), sweepAt: math.Inf(-1), processes: 1,
	}
	for _, c := range s.Classes {
		r.addClass(c)
	}
	if !s.HasBudget {
		r.s.ExtraFloor, r.s.ExtraShare, r.s.ExtraSpanMs = ownFloor, ownShare, ownSpanMs
	}
	return r
}

func (r *Root) addClass(c Class) {
	r.aim = min(cmp.Or(r.aim, c.AimMs), max(1, c.AimMs))
	r.classes = append(r.classes, class{Class: c, p: pMax, slip: 1})
}

// Step applies all events of one turn, as answers that land together must all be known, then decides.
func (r *Root) Step(now float64, events []Event, out []Action) []Action {
	r.out, r.turn, r.now, r.stalled, r.born = out, r.turn+1, now, 0, cmp.Or(r.born, now)
	if late := now - r.sweepAt; len(r.open) > 0 && late > sweepTicks*r.s.TickMs {
		r.stalled, r.absent = late, r.absent+late // our own timer came late: this root stood still
	}
	for i := range events {
		r.apply(&events[i])
	}
	r.follow()
	r.judge()
	for _, q := range r.open {
		r.settle(q)
	}
	for _, q := range slices.DeleteFunc(r.fresh, func(q *query) bool { return q.ended }) {
		r.admit(q)
	}
	r.fresh = r.fresh[:0]
	for _, q := range r.open { // tries after failures come before copies
		r.retry(q)
	}
	for _, q := range r.open {
		r.copies(q)
	}
	r.open = slices.DeleteFunc(r.open, func(q *query) bool { return q.ended })
	for i := range r.classes {
		r.chooseP(&r.classes[i])
	}
	if len(r.open) > 0 && now >= r.sweepAt {
		r.sweepAt = now + sweepTicks*r.s.TickMs
		r.do(Action{Kind: Timer, Ms: sweepTicks * r.s.TickMs})
	}
	return r.out
}

func (r *Root) do(a Action) { r.out = append(r.out, a) }

// awake is the time without this root's own absences, in which no replica can be blamed for what waited.
func (r *Root) awake() float64 { return r.now - r.absent }

func (r *Root) apply(e *Event) {
	switch e.Kind {
	case QueryCame:
		r.taken = append(since(r.taken, r.now-r.s.ExtraSpanMs), r.now)
		if uint(e.Class) >= uint(len(r.classes)) { // of no class we know: nothing was sent, so it may come again
			r.do(Action{Kind: Refuse, ID: e.ID})
			return
		}
		q := &query{id: e.ID, number: e.Number, class: e.Class, end: r.now + e.LeftMs}
		c := &r.classes[e.Class]
		q.again = e.Retry && e.LeftMs >= c.AimMs // else it is impatience that repeats
		q.aim, q.over = min(r.now+c.aim(e, r.s.TickMs), q.end), r.overShare(e.Tenant)
		if c.LateShare == 0 { // past the aim nothing is earned: end there
			q.end = min(q.end, q.aim)
		}
		q.giveUp = min(r.now+r.s.GivenUpAfter(e.LeftMs), q.end-endTicks*r.s.TickMs)
		r.byNumber[q.number], r.fresh = q, append(r.fresh, q)
	case PartCame:
		r.taken = append(r.taken, r.now)
		q := r.byNumber[e.Number]
		if q == nil || q.ended {
			return
		}
		if q.between { // the second step begins
			q.between, q.second, q.weight, q.answered, q.forked = false, true, 0, 0, false
			r.fresh = append(r.fresh, q)
		}
		p := &part{id: e.ID, q: q, shard: e.Shard, weight: e.Weight}
		q.parts, r.parts[p.id] = append(q.parts, p), p
	case AttemptDone:
		if p := r.parts[e.ID]; p != nil && uint(e.Attempt) < uint(len(p.tries)) && p.tries[e.Attempt].open {
			r.finished(p, e)
		}
	case ClientLeft:
		all := slices.Concat(r.open, r.fresh)
		if i := slices.IndexFunc(all, func(q *query) bool { return q.id == e.ID && !q.ended }); i >= 0 {
			r.close(all[i])
		}
	case ListNews:
		r.news(e)
	}
}

// aim is how long the full worth lasts: a last try, told by a time that no others get, has what is left.
func (c *class) aim(e *Event, tick float64) float64 {
	aim := min(c.AimMs+c.AimStretch*e.WorkMs, c.DeadlineMs)
	seen := func(t float64) bool { return math.Abs(e.LeftMs-t) < tick }
	if len(c.given) > 0 && !slices.ContainsFunc(c.given, seen) {
		aim -= max(0, c.DeadlineMs-e.LeftMs)
	}
	c.given = append(c.given[max(0, len(c.given)-givenMax+1):], e.LeftMs)
	return aim
}

// finished takes in the outcome of one attempt.
func (r *Root) finished(p *part, e *Event) {
	a := p.tries[e.Attempt]
	a.open, a.unrun = false, e.Outcome == Rejected || e.Outcome == Unreachable || e.Outcome == NotSent
	a.quick = a.unrun && e.Outcome != Rejected || e.Outcome == Failed && r.awake()-a.woke < r.typical/2
	h, c, age := a.at, &r.classes[p.q.class], r.awake()-a.woke
	h.down = h.down && e.Outcome > Rejected
	switch e.Outcome {
	case OK:
		r.borne++
		if r.stalled == 0 { // else it came at some time of our absence
			r.learn(a, age)
		}
		r.good(h)
		if h.brokeAt > 0 && a.sent > h.brokeAt {
			h.brokeAt = 0
			if r.lived.add(r.now); r.harmless() {
				r.waryTo = 0
			}
		}
		h.fails, h.shunned[p.q.class] = (1-smooth)*h.fails, 0
		if e.Attempt == 0 && !a.off && r.stalled == 0 {
			c.sample(age)
		}
		if !p.got && !p.dropped {
			p.got, p.in = true, r.now
			p.q.weight += p.weight
			p.q.answered++
			r.callOff(p)
		}
	case TimedOut:
		r.late(a)
		h.group.bad += smooth * (1 - h.group.bad)
	case Broken:
		if !r.harmless() {
			p.q.broken++
			if r.died.add(r.now); r.died.count > 1.5 {
				r.waryTo = r.now + warySpan*r.aim
			}
			r.fault(h)
		} else if h.brokeAt > 0 { // it has not answered since
			r.fault(h)
		}
		h.brokeAt = r.now
	case Failed:
		h.fails, h.failMs = h.fails+smooth*(1-h.fails), toward(h.failMs, age, smooth)
		r.fault(h)
	case Unreachable:
		if h.brokeAt > 0 {
			r.lost.add(r.now)
		}
		h.brokeAt, h.down = 0, true
		r.fault(h)
	case Rejected:
		r.fault(h)
		h.fullTill = r.now + (0.5+r.rng.Float64())*fullRest*r.typical
	}
	if a.until <= r.now {
		h.out = slices.DeleteFunc(h.out, func(b *attempt) bool { return b == a })
	}
	r.forget(p)
}

// learn takes an answer's time into the latencies of a replica and its group.
func (r *Root) learn(a *attempt, took float64) {
	h := a.at
	r.lastNews = r.awake()
	if !r.cold(h) {
		r.blend(&h.group.lat, took, a)
	}
	w := max(smooth, rareMost*r.rare())
	if !h.heard {
		w = 1
	}
	h.heard, h.lat, h.load = true, h.lat+w*(took-h.lat), h.load+w*(a.load-h.load)
}

// rare is 1 where news of a replica fades between two sends of ours, so that each outcome must weigh more.
func (r *Root) rare() float64 { return min(1, r.gap/(rareFrom*fade*r.average+1)) }

// blend takes one part into the mean of its group, weighed by query: the slowest parts of each come last.
func (r *Root) blend(mean *float64, took float64, a *attempt) {
	*mean = toward(*mean, took, 1/max(1, r.classes[a.p.q.class].k))
}

// toward moves a smoothed mean by the share w to x; the first x is taken whole.
func toward(mean, x, w float64) float64 { return cmp.Or(mean, x) + w*(x-cmp.Or(mean, x)) }

func (r *Root) cold(h *replica) bool { return r.now-h.since < r.s.ColdMs }

// warmth is the least share of its capacity that a replica has.
func (r *Root) warmth(h *replica) float64 {
	return min(1, r.s.ColdFrom+(1-r.s.ColdFrom)*max(0, r.now-h.since)/max(1, r.s.ColdMs))
}

// late notes an attempt whose work may go on: called off, it took its age at least; a time-out teaches none.
func (r *Root) late(a *attempt) {
	if age := r.awake() - a.woke; age > a.at.lat && a.off && (a.p.got || a.p.dropped) {
		r.learn(a, age)
	}
	a.until = r.now + a.at.lat
}

func (c *class) sample(t float64) {
	c.samples = append(c.samples[max(0, len(c.samples)-pSamples+1):], t)
	c.mean += max(smooth, 1/float64(len(c.samples))) * (t - c.mean)
}

// harmless says that connections break of late under replicas that live on: dead ones refuse what comes next.
func (r *Root) harmless() bool {
	return r.lived.value(r.now) > max(livedMin, livedPer*r.lost.value(r.now))
}

func (r *Root) forget(p *part) {
	if n, _ := p.running(); p.dropped && n == 0 {
		delete(r.parts, p.id)
	}
}

func (r *Root) good(h *replica) {
	h.lastNews = r.awake()
	h.bad *= 1 - max(blame, rareBlame*r.rare())
	h.group.bad = min(groupBad/2, h.group.bad*(1-smooth)) // all of it may be back
	if h.suspect && (h.bad < trustAt || h.mute) {
		h.suspect, h.mute, h.bad = false, false, min(h.bad, trustAt)
		r.do(Action{Kind: Log, Addr: h.Addr, Text: fmt.Sprintf("replica %x trusted again", uint64(h.Addr))})
	}
}

// fault holds evidence of failure against a replica. An error is never news of a short latency.
func (r *Root) fault(h *replica) {
	h.bad += max(blame, rareBlame*r.rare()) * (1 - h.bad)
	h.group.bad += smooth * (1 - h.group.bad)
	if h.bad > suspectAt && !h.suspect {
		h.suspect = true
		r.do(Action{Kind: Log, Addr: h.Addr, Doubt: true, Text: fmt.Sprintf("replica %x suspected", h.Addr)})
	}
	h.trialAt = r.now + r.trialGap()
}

// trialGap is how long a suspect replica is left alone: the more roots try it, the longer each waits.
func (r *Root) trialGap() float64 {
	return max(trialGap*r.typical, min(trialNews*r.gap, warySpan*r.aim))
}

// judge looks at every listed replica afresh, for silence of any cause, by the fleet's median.
func (r *Root) judge() {
	heard, sum, passed := 0, 0.0, r.now-cmp.Or(r.judgedAt, r.now)
	kept := math.Exp(-passed / max(1, r.s.ColdMs))
	r.borne, r.units, r.judgedAt = r.borne*kept, r.units*kept, r.now
	for _, h := range r.listed {
		if h.State == Ready {
			r.units += r.warmth(h) * passed
		}
		h.out = slices.DeleteFunc(h.out, func(a *attempt) bool { return !a.open && a.until <= r.now })
		if h.heard {
			heard, sum = heard+1, sum+h.lat
		}
	}
	for _, g := range r.groups {
		g.level = r.stale(g.lat)
	}
	r.average = r.stale(sum / float64(max(1, heard)))
	for _, h := range r.listed {
		for _, a := range h.out {
			age := r.awake() - a.woke
			if a.open && !a.off && a.p.q.answered > 0 && age > h.group.level && !h.suspect && !r.cold(h) {
				r.blend(&h.group.level, age, a)
			}
		}
	}
	// A root among many hears of each replica seldom: then some answers' worth of news is kept, however old.
	span := rateSpanMs * (1 - math.Exp(-(r.now-r.born+1)/rateSpanMs))
	r.gap = span * float64(len(r.listed)) / max(1, r.sent.value(r.now))
	r.memory = max(fade*r.average+1, min(fadeNews*r.gap, fadeMost*r.aim))
	var levels []float64
	r.fleet = 0
	for _, h := range r.listed {
		fresh, old, soon := 0.0, cmp.Or(h.group.level, r.average), 0.0
		if h.heard {
			age := r.awake() - h.lastNews
			fresh, soon = math.Exp(-age/r.memory), math.Exp(-age/(fade*r.average+1))
		}
		h.faded, h.quiet = old+(h.lat-old)*fresh, r.silence(h)
		h.soon, h.level = old+(h.lat-old)*soon, max(h.faded, h.quiet)
		r.fleet += old / float64(len(r.listed))
		if h.State == Ready && h.heard && !h.suspect {
			levels = append(levels, max(r.average+(h.lat-r.average)*fresh, h.quiet))
		}
	}
	if len(levels) > 0 {
		slices.Sort(levels)
		r.typical = levels[(len(levels)-1)/2]
	}
	for _, h := range r.listed {
		if h.quiet > silent*max(r.usual(h), h.lat) && heard > 0 && !h.suspect {
			h.bad, h.mute = 1, true
			r.fault(h)
		}
	}
}

// stale fades a mean to the calm level where nothing is heard, or who refuses all would do so for ever.
func (r *Root) stale(mean float64) float64 {
	calm := min(r.calm, mean)
	return calm + (mean-calm)*math.Exp(-(r.awake()-r.lastNews)/(letIn*r.aim+1))
}

// usual is what a replica's latency is judged by: longer where its zone and kind are, as over a slow link.
func (r *Root) usual(h *replica) float64 { return r.typical * max(1, h.group.level/max(1, r.fleet)) }

// silence is how long a replica answers nothing. A part without an answered sibling may just be heavy.
func (r *Root) silence(h *replica) float64 {
	for _, a := range h.out {
		if q := a.p.q; a.open && !a.off && (q.answered > 0 || len(q.parts) < 2) {
			return r.awake() - max(a.woke, h.lastNews)
		}
	}
	return 0
}

// calls counts our calls at a replica with one more part; joining one counts less, so that neighbours gather.
func (r *Root) calls(h *replica) float64 {
	n, shared := 1.0, r.s.BundleMax > 1
	for i, a := range h.out {
		if !shared || i == 0 || a.turn != h.out[i-1].turn {
			n++
		}
	}
	if r.joins(h) {
		n -= 1 + 1e-5
	}
	return n
}

// predict estimates one more part's latency. Refusals bring no news: it fades as fast as queues drain.
func (r *Root) predict(h *replica) float64 {
	return max(h.quiet, h.soon*float64(len(h.out)+1)/max(1, h.load))
}

// pick chooses the holder with the least latency times (own calls out + 1). Replicas where p is running are
// avoided; suspect ones and those where p failed come last, but one due for a trial gets one real part.
func (r *Root) pick(p *part, first bool) *replica {
	var best *replica
	bestRank, bestScore := math.MaxInt, 0.0
	for _, h := range r.holders(p) {
		tried := slices.ContainsFunc(p.tries, func(a *attempt) bool { return a.at == h })
		if slices.ContainsFunc(p.tries, func(a *attempt) bool { return a.at == h && a.open }) || !r.coldRoom(h) {
			continue
		}
		rank := 1
		switch {
		case r.dead(h):
			rank = 6
		case r.now < h.fullTill:
			rank = 5
		case tried:
			rank = 4
		case r.doubted(h) && first && r.trial(h, p.q) && r.mayCopy(p):
			rank = 0
		case r.doubted(h):
			rank = 3
		case r.now < h.shunned[p.q.class]:
			rank = 2
		}
		score := r.score(h)
		if rank < bestRank || rank == bestRank && score < bestScore {
			best, bestRank, bestScore = h, rank, score
		}
	}
	if best != nil && bestRank > 0 && r.mayCopy(p) && len(p.tries)+2 <= cmp.Or(r.s.MaxAttempts, math.MaxInt) {
		return r.flaky(p, best, bestScore)
	}
	return best
}

func (r *Root) score(h *replica) float64 {
	score := max(h.level, 1e-3) * r.calls(h) * (1 + 1e-6*r.rng.Float64()) // random among equals
	if h.Zone != r.s.Zone {
		score *= 1 + priceCare*r.s.PriceCross
	}
	if !h.heard && !r.cold(h) { // most likely a connection has to be made; cold ones are spared anyway
		score *= 1 + priceCare*r.s.PriceHandshake
	}
	return score
}

// flaky gives one that fails parts, but at once, in place of best where that is quicker, all tries counted.
func (r *Root) flaky(p *part, best *replica, bestScore float64) *replica {
	least := bestScore
	for _, h := range r.holders(p) {
		if !h.suspect || h.mute || h.fails == 0 || h.fails > flakyMost || h.failMs > r.typical || h == best ||
			slices.ContainsFunc(p.tries, func(a *attempt) bool { return a.at == h }) || !r.coldRoom(h) ||
			r.s.HasBudget && !r.budget(copyShare) {
			continue
		}
		if t := (1-h.fails)*r.score(h) + h.fails*(h.failMs+bestScore); t < least {
			best, least = h, t
		}
	}
	return best
}

// doubted says that h is suspect, or that next to nothing of its zone and kind answers.
func (r *Root) doubted(h *replica) bool { return h.suspect || h.group.bad > groupBad }

// dead says that h refused the last connection, no single mishap, and still rests.
func (r *Root) dead(h *replica) bool { return h.down && h.suspect && r.now < h.trialAt }

// trial says whether one in doubt is due for a real part: few in a query, and one where all its kind are.
func (r *Root) trial(h *replica, q *query) bool {
	few := q.trials <= len(q.parts)/trialPart && (h.group.bad <= groupBad || r.now >= h.group.trialAt)
	return few && r.now >= h.trialAt && len(h.out) == 0
}

// holders are the ready replicas that hold the part's shard.
func (r *Root) holders(p *part) []*replica { return r.cells[uint(p.shard)%uint(len(r.cells))] }

// joins says that what h is sent now joins a call of this turn which has room for it.
func (r *Root) joins(h *replica) bool {
	begun := 0 // parts of this turn
	for i := len(h.out) - 1; i >= 0 && h.out[i].turn == r.turn; i-- {
		begun++
	}
	return begun%r.s.BundleMax != 0
}

// coldRoom keeps a cold replica from being pushed over: a root sends it, on average, its part of the told
// budget, by what warm ones have borne, and at first a random share of a call; what joins a call is owed.
func (r *Root) coldRoom(h *replica) bool {
	if r.joins(h) || !r.cold(h) {
		return true
	}
	may := coldShare * r.s.FallTimes * r.warmth(h) * r.borne / max(1, r.units) / float64(r.processes)
	if h.filledAt < h.told { // what it was sent before is not ours to know, or was sent as to a warm one
		size := (float64(r.s.BundleMax) + r.sent.value(r.now)) / (1 + r.called.value(r.now)) // of a call
		h.filledAt, h.mayTake = h.told, 1-size*r.rng.Float64()
	}
	h.mayTake, h.filledAt = min(h.mayTake+may*(r.now-h.filledAt), max(1, coldSaved*may*r.s.FallMs)), r.now
	return h.mayTake >= 1
}

// send opens an attempt of p at h. It times out when an answer would earn nothing more.
func (r *Root) send(p *part, h *replica) {
	a := &attempt{p: p, at: h, sent: r.now, woke: r.awake(), turn: r.turn, open: true}
	if len(p.tries) > 0 && !r.cheap(p) {
		r.extras = append(r.extras, r.now)
	}
	if !r.joins(h) {
		r.called.add(r.now)
	}
	p.tries, h.out, a.load = append(p.tries, a), append(h.out, a), float64(len(h.out)+1)
	h.trialAt, h.mayTake = r.now+r.trialGap(), h.mayTake-1 // the latter counts while it is cold
	r.sent.add(r.now)
	ms := max(r.s.TickMs, p.q.giveUp-r.now)
	r.do(Action{Kind: Send, ID: p.id, Addr: h.Addr, Ms: ms, Doubt: r.doubted(h)})
}

// cheap says that p's last attempt took no work: the next is none extra, unless a budget counts it.
func (r *Root) cheap(p *part) bool { return !r.s.HasBudget && p.tries[len(p.tries)-1].quick }

// callOff cancels what is still out of a part. A first send counts as its age, for Algorithm 1 too.
func (r *Root) callOff(p *part) {
	for i := range p.tries {
		r.stop(p, i)
	}
}

func (r *Root) stop(p *part, i int) {
	a := p.tries[i]
	runs := a.open && !a.off
	if runs && i == 0 {
		r.classes[p.q.class].sample(r.awake() - a.woke)
	}
	if a.off = a.off || runs && r.s.MayCancel; runs && a.off {
		r.late(a)
		r.do(Action{Kind: Cancel, ID: p.id, Attempt: i})
	}
}

func (p *part) running() (n int, last *attempt) {
	for _, a := range p.tries {
		if a.open {
			n, last = n+1, a
		}
	}
	return n, last
}

// mayRepeat says whether p may get a further attempt, by the told number and the class's kind.
func (r *Root) mayRepeat(p *part) bool {
	if r.s.MaxAttempts > 0 && len(p.tries) >= r.s.MaxAttempts || p.got || p.dropped {
		return false
	}
	c := &r.classes[p.q.class]
	i := slices.IndexFunc(p.tries, (*attempt).mayHaveRun)
	return c.Effect == Safe || i < 0 || c.Effect == Keyed && r.now-p.tries[i].sent < c.WindowMs-r.s.TickMs
}

func (a *attempt) mayHaveRun() bool { return !a.unrun }

func (r *Root) mayCopy(p *part) bool {
	return r.s.SecondCopies && r.mayRepeat(p) && r.classes[p.q.class].Effect == Safe
}

// retry sends the parts that have nothing out: they failed, or no replica could be had before.
func (r *Root) retry(q *query) {
	ahead := func(p *part) bool {
		n, a := p.running()
		return n > 0 && r.awake()-a.woke < silent*r.usual(a.at)
	}
	for _, p := range q.parts {
		if q.idle() || q.dubious() && slices.ContainsFunc(q.parts, ahead) {
			return
		}
		n, tried := 0, len(p.tries)
		if n, _ = p.running(); p.got || n > 0 || r.holds(p) ||
			tried > 0 && (!r.mayRepeat(p) || !r.cheap(p) && !r.budget(1)) ||
			tried > 0 && tried == r.s.MaxAttempts-1 && r.now < p.tries[tried-1].at.fullTill { // the last waits
			continue
		}
		switch h := r.pick(p, false); {
		case h == nil || r.now < h.fullTill: // cold, or full for now: the part can wait
		case r.dead(h) && r.needs(p): // and so are all others
			r.refuse(q, max(r.typical, h.trialAt-r.now))
		default:
			r.send(p, h)
		}
	}
}

// dubious says that q, of which nothing is in, may kill replicas: its parts go one by one, or it ends.
func (q *query) dubious() bool { return (q.wary || q.broken > 0) && q.answered == 0 && !q.second }
func (q *query) deadly() bool {
	return q.dubious() && q.broken > 0 && (q.wary || q.broken > 1 && 2*q.broken >= len(q.parts))
}

func (q *query) idle() bool { return q.ended || q.between }

// copies gives each part still running, once all but q.left have answered, the design's one copy, where that
// joins no load of ours and should take less than the original has. Parts at a replica silent, failing, slow
// or delisted, or lost while half of the others answered, do not wait; where both hang, the older makes way.
// Where all other holders are in doubt, a stuck part tries one that has nothing out: it may be back.
func (r *Root) copies(q *query) {
	forks := !q.idle() && !q.forked && q.left > 0 && len(q.parts)-q.answered <= q.left
	q.forked = q.forked || forks
	for _, p := range q.parts {
		n, a := p.running()
		if q.idle() || n == 0 || n > 2 || a.sent == r.now || !r.mayCopy(p) {
			continue
		}
		age, usual := r.awake()-a.woke, r.usual(a.at)
		stuck := a.at.State == Gone || r.doubted(a.at) && age > overdue*usual ||
			a.at.level > silent*usual && age > silent*usual
		older := slices.IndexFunc(p.tries, func(b *attempt) bool { return b.open })
		lost := age > silent*max(usual, a.at.lat) && 2*q.answered >= len(q.parts)
		if lost {
			a.at.shunned[q.class] = r.now + warySpan*r.aim
		}
		if n == 2 && !(stuck && r.doubted(p.tries[older].at) && r.s.MayCancel) || // one of the two may still answer
			!(stuck && r.budget(1)) && !((forks || lost) && r.budget(copyShare)) {
			continue
		}
		h := r.pick(p, false)
		free := h != nil && len(h.out) == 0 && r.predict(h) < age
		last := stuck && free && r.now >= h.fullTill && !r.dead(h)
		if last || h != nil && !r.doubted(h) && (free || stuck && h.level < silent*r.typical) {
			if n == 2 { // two are out at most
				r.stop(p, older)
			}
			r.send(p, h)
		}
	}
}

// overShare counts a query against its tenant's allowance at this root.
func (r *Root) overShare(t int) bool {
	if uint(t) >= uint(len(r.tenants)) || r.s.Tenants[t].PerS <= 0 {
		return false
	}
	inside, perMs := &r.tenants[t], r.s.Tenants[t].PerS/1000/float64(r.s.Roots)
	if inside.value(r.now)+1 > max(1, perMs*rateSpanMs) {
		return true
	}
	inside.add(r.now)
	return false
}

// place picks a replica for each part, siblings weighing on each other, and predicts when the last is in.
func (r *Root) place(q *query) float64 {
	c, times := &r.classes[q.class], make([]float64, len(q.parts))
	for i, p := range q.parts {
		times[i], p.first = math.Inf(1), r.pick(p, true)
		p.scarce = r.needs(p) && !slices.ContainsFunc(r.holders(p), r.free)
		if h := p.first; h != nil {
			if times[i] = r.predict(h) + max(0, h.fullTill-r.now); r.dead(h) {
				times[i] = math.Inf(1) // and so are all others that hold the shard
			} else if r.doubted(h) { // a trial is tried elsewhere when overdue
				times[i] = min(times[i], (1+overdue)*r.typical)
				q.trials++
				h.group.trialAt = r.now + max(trialGap*r.typical, min(r.gap, warySpan*r.aim))
			}
			h.out = append(h.out, &attempt{turn: r.turn, open: true})
			h.mayTake--
		}
	}
	for _, p := range q.parts {
		if h := p.first; h != nil {
			h.out, h.mayTake = h.out[:len(h.out)-1], h.mayTake+1
		}
	}
	slices.Sort(times)
	needed := int(math.Ceil(c.Need*float64(len(times)) - 1e-4))
	if n, _ := slices.BinarySearch(times, math.Inf(1)); float64(n) >= c.Floor*float64(len(times)) {
		needed = min(needed, n) // the others cannot be had: a partial answer then
	}
	if needed < 1 || needed > len(times) {
		return math.Inf(1)
	}
	return times[needed-1]
}

// admit sends all parts of a query, or turns it away at once when its end is predicted too late.
func (r *Root) admit(q *query) {
	c, k := &r.classes[q.class], float64(len(q.parts))
	ms := r.place(q)
	q.came, q.predicted = r.now, ms
	if !q.second {
		r.open, c.k = append(r.open, q), toward(c.k, k, 0.1)
		v, until := c.Worth, q.aim
		if !r.s.WorthByWork {
			v /= max(1, k*c.mean)
		}
		if c.mean > 0 {
			r.seen = min(r.seen+1, usualOver)
			r.usualV += (v - r.usualV) / r.seen
		}
		if q.over {
			v *= r.s.OverShareWorth
		}
		if r.now >= q.aim {
			v, until = v*c.LateShare, q.end
		}
		pressed := max(0, min(1, r.fleet/cmp.Or(r.calm, r.fleet, 1)-1)) // full at twice the calm level
		share := min(1, max(roomLeast, roomAim*math.Sqrt(math.Sqrt(v/max(v/10, r.usualV, 1e-9)))))
		room := (1 - pressed*(1-share)) * (until - r.now)
		// Once some end late, means are scaled by how those took, by more where what we know is old. This fades.
		slip := c.slip * (1 + c.late*min(1, r.gap/(fade*r.calm+1)))
		ms *= 1 + min(1, c.late/lateMost)*(slip-1)*math.Exp(-(r.now-c.slipAt)/r.memory)
		if ms > room || q.giveUp-r.now <= endTicks*r.s.TickMs {
			r.refuse(q, ms-room)
			return
		}
		r.do(Action{Kind: Timer, Ms: q.giveUp - r.now})
		q.wary = r.now < max(r.waryTo, c.waryTo) || q.again
	}
	q.left = int(c.p*k + r.rng.Float64())
	for _, p := range q.parts {
		if h := p.first; h != nil && r.now >= h.fullTill && (p == q.parts[0] || !q.dubious()) && !r.holds(p) {
			r.send(p, h)
		}
	}
}

// needs says that without p its query has no answer, not even in part. Weights are rounded.
func (r *Root) needs(p *part) bool { return 1-p.weight < r.classes[p.q.class].Floor-5e-5 }

// free says that h is sound, as far as we know, and has room.
func (r *Root) free(h *replica) bool { return !r.doubted(h) && r.now >= h.fullTill && r.coldRoom(h) }

// holds keeps p back till no scarce sibling has still to be taken in: one that fails loses q, and its work.
func (r *Root) holds(p *part) bool {
	return !p.scarce && slices.ContainsFunc(p.q.parts, func(o *part) bool {
		n, a := o.running()
		return o.scarce && !o.got && (n == 0 || r.awake()-a.woke < max(r.typical/2, a.at.faded-r.typical))
	})
}

// settle answers a query whose weight is in; out of time or hope it ends one, with a part where allowed.
func (r *Root) settle(q *query) {
	c := &r.classes[q.class]
	need, floor := c.Need-5e-5, c.Floor-5e-5 // weights are rounded
	if q.second {
		if need = 1 - 5e-5; c.Floor >= c.Need {
			floor = need
		}
	}
	hope, all := 0.0, q.answered == len(q.parts)
	for _, p := range q.parts {
		n, _ := p.running()
		if p.got || n > 0 || r.mayRepeat(p) && len(r.holders(p)) > 0 {
			hope += p.weight
		}
	}
	late := r.now >= q.giveUp || q.deadly()
	if q.deadly() {
		c.waryTo = r.now + warySpan*r.aim
	}
	enough, fetch := q.answered > 0 && q.weight >= floor, 0.0
	if c.Fetch > 0 && !q.second { // what is lost in a first step must not cost the time for a second
		fetch = fetchTimes * cmp.Or(c.fetch, r.typical)
	}
	// Past the aim a partial answer now may earn more than a whole one to come.
	due := r.now >= q.aim-(sweepTicks+endTicks)*r.s.TickMs-fetch && c.Partial*q.weight > c.LateShare*c.Need
	switch {
	case q.ended, q.between && !late:
	case q.between:
		r.refuse(q, 0)
	case q.answered > 0 && (q.weight >= need && (all || !q.second) || all && q.weight >= floor):
		r.answer(q, q.weight >= need && (!q.second || q.whole))
	case !late && hope >= floor && !(due && enough):
	case enough:
		r.answer(q, false)
	default:
		r.refuse(q, r.typical)
	}
}

// refuse ends a query by a refusal where it is safe to ask again, with a hint when to, else by a failure.
func (r *Root) refuse(q *query, hint float64) {
	ran := func(p *part) bool { return slices.ContainsFunc(p.tries, (*attempt).mayHaveRun) }
	if !r.s.RetryAfter {
		hint = 0
	}
	if r.classes[q.class].Effect == Unsafe && slices.ContainsFunc(q.parts, ran) {
		r.do(Action{Kind: Abort, ID: q.id})
	} else {
		r.do(Action{Kind: Refuse, ID: q.id, Ms: max(0, min(hint, r.s.MaxRetryAfterMs))})
	}
	r.close(q)
}

func (r *Root) answer(q *query, whole bool) {
	r.do(Action{Kind: Answer, ID: q.id, Whole: whole})
	if r.classes[q.class].Fetch > 0 && !q.second {
		q.between, q.whole = true, whole
		r.dropParts(q)
		return
	}
	r.close(q)
}

// close forgets a query; what is still out is cancelled.
func (r *Root) close(q *query) {
	if took := q.sound(r.now); took > 0 && q.predicted > 0 {
		r.classes[q.class].ended(q, r.now, took, q.came+took > q.aim-2*endTicks*r.s.TickMs)
	}
	q.ended = true
	if r.byNumber[q.number] == q {
		delete(r.byNumber, q.number)
	}
	r.dropParts(q)
}

// sound is how long those parts of q took that met no replica now in doubt: they tell of those that avoid it.
func (q *query) sound(now float64) (took float64) {
	for _, p := range q.parts {
		if len(p.tries) > 0 && !slices.ContainsFunc(p.tries, func(a *attempt) bool { return a.at.suspect }) {
			took = max(took, cmp.Or(p.in, now)-q.came)
		}
	}
	return took
}

// ended learns from a query that was taken in how its time compares with the predicted.
func (c *class) ended(q *query, now, took float64, late bool) {
	if q.second {
		c.fetch = toward(c.fetch, now-q.came, smooth)
	}
	if c.late *= 1 - smooth; late {
		c.late += smooth
	}
	c.slip, c.slipAt = toward(c.slip, min(slipMax, took/max(1, q.predicted)), smooth), now
}

func (r *Root) dropParts(q *query) {
	for _, p := range q.parts {
		p.dropped = true
		r.callOff(p)
		r.forget(p)
	}
	q.parts = q.parts[:0:0]
}

// chooseP takes the candidate of least estimated latency whose busy time stays within 1 + mu of no copies.
func (r *Root) chooseP(c *class) {
	k := int(c.k + 0.5)
	if len(c.samples) < 20 || k < 1 || r.now-c.chosenAt < pEveryMs {
		return
	}
	c.chosenAt = r.now
	x := slices.Sorted(slices.Values(c.samples))
	r.calm = min(cmp.Or(r.calm*(1+calmRise), x[len(x)/4]), x[len(x)/4])
	base, best, seed := 0.0, math.Inf(1), r.rng.Uint64()
	for i := range pSteps + 1 {
		p := pMax * float64(i) / pSteps
		t, busy := estimate(x, k, p, rand.New(rand.NewPCG(seed, 0))) // the same draws for each p
		if base = cmp.Or(base, busy); busy <= (1+mu)*base && t < best {
			best, c.p = t, p
		}
	}
}

// estimate is Algorithm 1, the original kept, one copy: mean latency and busy time of k parts from sorted x.
func estimate(x []float64, k int, p float64, rng *rand.Rand) (latency, busy float64) {
	draw := make([]float64, k)
	for range pDraws {
		left := min(k, int(p*float64(k)+rng.Float64()))
		for i := range draw {
			draw[i] = x[rng.IntN(len(x))]
		}
		slices.Sort(draw)
		t1, t2 := 0.0, 0.0
		for _, d := range draw[:k-left] {
			busy, t1 = busy+d, d
		}
		above, _ := slices.BinarySearch(x, math.Nextafter(t1, math.Inf(1)))
		for range left {
			rest := 0.0
			if above < len(x) {
				rest = x[above+rng.IntN(len(x)-above)] - t1
			}
			w := min(rest, x[rng.IntN(len(x))])
			busy, t2 = busy+t1+2*w, max(t2, w)
		}
		latency += t1 + t2
	}
	return latency / pDraws, busy / pDraws
}

// budget says whether one more further attempt fits, within the given share of what the window allows.
func (r *Root) budget(share float64) bool {
	from := r.now - r.s.ExtraSpanMs
	r.extras, r.taken = since(r.extras, from), since(r.taken, from+r.s.TickMs)
	return float64(len(r.extras)+1) <= share*(r.s.ExtraFloor+r.s.ExtraShare*float64(len(r.taken)))
}

func since(times []float64, from float64) []float64 {
	i, _ := slices.BinarySearch(times, from)
	return times[i:]
}

// follow subscribes where the list must be asked for, again after a failure, within the told limit.
func (r *Root) follow() {
	if !r.s.AskForList || r.follows || r.now < r.askAt {
		return
	}
	r.do(Action{Kind: Subscribe, Whole: true})
	pause := min(r.askGap, max(askFirstMs, r.s.AskWithinMs/3)) * (0.5 + r.rng.Float64())
	r.askGap, r.askAt = 2*pause, r.now+pause
	r.do(Action{Kind: Timer, Ms: pause})
}

func (r *Root) news(e *Event) {
	if r.follows = r.follows && e.List != ListFailed; e.List == ListFailed {
		return
	}
	named := make(map[Addr]bool, len(e.Members))
	for _, m := range e.Members {
		named[m.Addr] = true
	}
	for _, h := range r.listed {
		if e.List != ListDelta && !named[h.Addr] {
			h.State = Gone
		}
	}
	if e.List != ListCached {
		r.follows, r.askGap = true, askFirstMs
	}
	for _, m := range e.Members {
		h := r.replicas[m.Addr]
		if h == nil {
			if m.State == Gone {
				continue
			}
			h = &replica{since: math.Inf(-1), told: r.now, lastNews: r.awake()}
			h.shunned = make([]float64, len(r.classes))
			r.replicas[m.Addr] = h
			if r.told && m.ReadyAt == 0 {
				h.since = r.now // new to the list: cold until it can't be
			}
		} else if m.ReadyAt > h.ReadyAt || h.State == Gone && m.State == Ready {
			h.since, h.told, h.heard, h.lastNews = r.now, r.now, false, r.awake()
			h.bad, h.suspect, h.down = 0, false, false
		}
		h.since = cmp.Or(m.ReadyAt, h.since) // a start that is told
		h.Member = m
		key := [2]int{m.Zone, m.Kind}
		h.group = cmp.Or(r.groups[key], &group{})
		r.groups[key] = h.group
	}
	maps.DeleteFunc(r.replicas, func(_ Addr, h *replica) bool { return h.State == Gone && len(h.out) == 0 })
	r.told, r.listed = true, slices.AppendSeq(r.listed[:0], maps.Values(r.replicas))
	slices.SortFunc(r.listed, func(a, b *replica) int { return cmp.Compare(a.Addr, b.Addr) })
	clear(r.cells)
	for _, h := range r.listed { // once for each set that it holds: sets times replicas would be too many
		for back := 0; h.State == Ready && back < min(r.s.InARow, r.s.Cells); back++ {
			c := ((h.Cell-back)%r.s.Cells + r.s.Cells) % r.s.Cells
			r.cells[c] = append(r.cells[c], h)
		}
	}
}
