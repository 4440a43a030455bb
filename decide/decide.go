package decide

// This file holds the decisions; Step runs one turn of them. The types of the interface are in api.go.

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
)

// Tuning constants. Apart from those that the design prescribes, they are ratios wherever possible, so that
// they follow the latencies and rates of a deployment. A name that ends in Latencies, Objectives, Sends or Ticks
// gives a time as a multiple of a latency, of the shortest objective of all classes, of the interval between two
// sends to one replica or of Settings.TickMs.
const (
	maxCopyFraction        = 0.1  // the design's bound on p, the fraction of parts that is copied; p starts with it
	maxExtraWork           = 0.1  // share by which copies may increase the work: the design's bound in its rule (19)
	copyFractionSteps      = 5    // number of candidates for p above zero; a finer grid gains nothing over the noise
	maxLatencySamples      = 200  // latencies of first attempts kept per class: some tens of seconds at usual rates
	bootstrapRounds        = 60   // number of rounds: enough to rank six candidates, and cheap
	copyFractionIntervalMs = 3000 // between two choices of p; the design asks for a few seconds

	// Measurements of a replica lose weight with a time constant of decayLatencies mean latencies. At one root
	// among many it is decaySends intervals between sends to a replica, if that is longer, but no more than
	// maxDecayObjectives shortest objectives.
	smoothingFactor    = 0.12 // weight of one outcome: parts differ in work, so it takes some eight to make a change
	decayLatencies     = 30   // mean latencies
	decaySends         = 8    // intervals between sends to one replica
	maxDecayObjectives = 40   // shortest objectives
	maxSparseSmoothing = 0.4  // weight of one answer if they are sparse: the first of eight would be outdated by the last
	sparseThreshold    = 1    // answers are fully sparse if this many times decayLatencies pass between two sends

	penaltyWeight          = 20   // share added to a replica's score for each unit of a zone or connection penalty
	silenceLatencies       = 5.0  // expected latencies without an answer that make a replica suspected or slow
	overdueLatencies       = 1.5  // expected latencies after which a part at an unhealthy replica is sent elsewhere
	failureWeight          = 0.35 // weight of one failure in a replica's suspicion
	suspectThreshold       = 0.5  // suspicion from 0 to 1: two failures in quick succession exceed it, one does not
	groupFailureThreshold  = 0.7  // share of failed attempts above which all replicas of a zone and kind are unhealthy
	trustThreshold         = 0.2  // suspicion from 0 to 1: three or four successive answers restore trust
	minHarmlessLosses      = 1.5  // no query is blamed for lost connections while more replicas than this number, and
	harmlessLossesPerCrash = 4.0  // than this multiple of those that crashed, have lately answered after a loss

	cautionObjectives          = 20   // shortest objectives for which the cause of a replica's crash may recur
	idleDecayObjectives        = 5    // shortest objectives without any answer: the time constant back to the baseline
	partsPerProbation          = 10   // a query may have one probation attempt, and one more for each of this many parts
	probationIntervalLatencies = 8.0  // median latencies between two probation attempts at a suspected replica,
	probationIntervalSends     = 4.0  // or this many intervals between sends to one replica, at one root among many
	fullBackoffLatencies       = 4.0  // median latencies, with a jitter of half, for which a full replica gets no parts
	sparseFailureWeight        = 0.7  // weight of one failure if outcomes are sparse: there will hardly be further evidence
	maxFlakyFailureRate        = 0.95 // share of failed attempts up to which a replica that fails fast may be tried first

	usualAdmissionShare    = 0.8  // share of its objective that a query of mean worth must be predicted within under load
	minAdmissionShare      = 0.5  // the same share for a query of little worth, which is shed first
	maxTimeoutSamples      = 20   // latest client timeouts kept per class, to tell a usual one from the rest of a deadline
	fullCorrectionLateRate = 0.15 // share of late queries from which predictions are corrected in full
	maxOverrun             = 3    // highest ratio of actual to predicted time that one query counts with
	worthSamples           = 50   // number of queries over which the mean worth per work is smoothed

	copyBudgetShare           = 0.5   // share of the retry budget open to copies; the rest is for retries after failures
	defaultRetryRatio         = 0.15  // further attempts per arriving query or part if no budget is configured: modest
	defaultRetryFloor         = 10    // number of further attempts that are always allowed if no budget is configured
	defaultRetryWindowMs      = 10000 // window over which both are counted
	coldBudgetShare           = 0.75  // share of the configured overload budget: other roots may carry more traffic
	coldBurstShare            = 0.25  // share of ColdOverloadMs over which unused budget accumulates
	rateDecayMs               = 5000  // time constant of a decayingCounter: long compared with the gaps between sends
	initialSubscribeBackoffMs = 100   // doubles with each try to subscribe, with jitter
	baselineRise              = 0.05  // share by which the baseline latency may rise at each choice of p
	sweepIntervalTicks        = 4     // ticks between two checks of the open queries
	minReserveTicks           = 2     // ticks, at least, between a final answer and the time when it is worthless
	secondStepReserve         = 2     // mean times of a second step, or median latencies, that are reserved for it
)

// attempt is one send of a part to a replica.
type attempt struct {
	part                 *part
	replica              *replica
	sentAt, sentActive   float64 // time of the send, by the clock and by activeTime
	loadAtSend           float64 // parts in flight at the replica, this one included
	turn                 uint64  // attempts sent to one replica in the same turn share a call
	busyUntil            float64 // until when the replica may work on an attempt that ended without an answer
	open, cancelled      bool    // open: its outcome is not known yet, even if it is cancelled
	neverRan, failedFast bool    // failedFast: it found no connection, was not sent, or failed almost at once
}

// part is one part of a query, for one shard.
type part struct {
	id                 uint64
	query              *query
	shard              int
	weight, answeredAt float64 // answeredAt: 0: not answered
	attempts           []*attempt
	firstReplica       *replica // chosen for the first attempt; nil: none is available
	answered, dropped  bool     // dropped: its query has ended or moved to the second step
	atRisk             bool     // required, and no holder was healthy and had room when it was placed
}

// query is an open query with the parts of its current step.
type query struct {
	startedAt, predictedMs                         float64 // of the current step
	id                                             uint64
	number, objectiveAt, expiresAt, answeredWeight float64 // expiresAt: an answer is worth nothing from then on
	giveUpAt                                       float64 // when the root gives up for lack of time
	classIndex, answeredParts, forkParts           int     // forkParts: unanswered parts at the fork; 0: no fork
	parts                                          []*part
	probations, presumedCrashes                    int  // probation attempts; attempts that seem to have crashed a replica
	overQuota, retried, forked, cautious           bool // cautious: one part is sent ahead of the others
	secondStep, betweenSteps, firstComplete, ended bool // firstComplete: the first step's answer was complete
}

// replica is what the root knows of one node.
type replica struct {
	Member
	group                  *group
	startedAt, listedAt    float64 // its assumed start, -Inf: long ago; when the root learned of it
	hasAnswered, suspected bool
	latency, latencyLoad   float64 // smoothed latency, and number of parts in flight when the parts it is based on were sent
	silentMs               float64 // how long it has not answered while parts were in flight

	// The latency with old measurements decayed, for comparisons; the same decayed as fast as queues drain, for
	// predictions; and the longer of decayedLatency and silentMs, for the choice of replicas.
	decayedLatency, queueLatency, rankLatency float64

	inFlight                  []*attempt
	lastAnswerAt              float64   // by activeTime; without an answer, when it was listed
	fullUntil                 float64   // set by a rejection: earlier attempts would probably be rejected as well
	coldTokens, tokensAt      float64   // parts that may be sent while it is cold, and when that was computed
	suspicion                 float64   // evidence of failure, from 0 to 1
	avoidedUntil              []float64 // by class: set when a part of the class seems lost there while others are answered
	silent, refusedConnection bool      // suspected for silence, which any answer ends; refused the last connection
	connectionLostAt          float64   // 0 once an answer or a refused connection has shown whether it crashed
	failureRate, failureMs    float64   // smoothed share of failed attempts, and time until they fail
	nextProbationAt           float64   // when it may get its next probation attempt, if unhealthy
}

// class is a Class with what the root has learned about its queries.
type class struct {
	Class
	firstAttemptMs               []float64 // latest latencies of first attempts
	timeoutsMs                   []float64 // latest timeouts of clients
	overrun, lateRate, overrunAt float64   // smoothed ratio of actual to predicted time; share of late queries; last update

	// The smoothed number of parts; p, the fraction of them that is copied, and when it was chosen; until when
	// queries of the class send one part ahead, since one of them seems to have crashed replicas.
	meanParts, copyFraction, fractionChosenAt, cautiousUntil float64

	meanPartMs, secondStepMs float64 // smoothed time of a part and of a second step
}

// group is the replicas of one zone and kind: a slow link or a slow kind of machine affects all of them.
type group struct {
	latency, decayedLatency      float64 // smoothed latency; the same decayed, and raised by the ages of open attempts
	failureRate, nextProbationAt float64 // smoothed share of failed attempts; when it may get its next probation attempt
}

// decayingCounter is a count that decays with the time constant rateDecayMs.
type decayingCounter struct{ count, updatedAt float64 }

// value returns the count at the given time, in milliseconds.
func (c *decayingCounter) value(now float64) float64 {
	return c.count * math.Exp(-(now-c.updatedAt)/rateDecayMs)
}

// add adds 1 at the given time, in milliseconds.
func (c *decayingCounter) add(now float64) { c.count, c.updatedAt = c.value(now)+1, now }

// Root makes the decisions of one aggregator. It is not safe for concurrent use. Its times and latencies are in
// milliseconds, times by the clock of Step or by activeTime.
type Root struct {
	settings                  Settings
	rng                       *rand.Rand
	now                       float64
	stalledMs, totalStalledMs float64 // how long this root stood still before this turn, and in total
	turn                      uint64
	processes                 int // of this root's broker that run, this one included
	actions                   []Action
	replicas                  map[Addr]*replica
	groups                    map[[2]int]*group // by zone and kind
	listedReplicas            []*replica        // by address
	holdersByCell             [][]*replica      // ready holders of the shards of each cell
	parts                     map[uint64]*part
	queriesByNumber           map[float64]*query
	openQueries, newQueries   []*query // newQueries: to be sent in this turn
	classes                   []class

	tenantUsage                   []decayingCounter // by tenant: its queries that were within its allowance at this root
	meanWorth, worthCount         float64           // smoothed worth per work of arriving queries; how many it is based on
	extraAttempts, arrivals       []float64         // times of further attempts, and of arriving queries and parts
	sends, calls, presumedCrashes decayingCounter   // attempts sent; their calls; those that seem to have crashed a replica

	// Answered parts, and the time of ready replicas weighted by their share of a warm one's capacity, in
	// milliseconds, both decaying with WarmUpMs; when they were updated.
	servedParts, warmReplicaMs, assessedAt float64

	harmlessLosses, confirmedCrashes decayingCounter // losses of connections after which the replica answered; or refused one
	meanLatency, medianLatency       float64         // over the replicas that have answered

	// The shortest objective of a class; the latest answer, by activeTime; until when every query sends one part ahead.
	shortestObjectiveMs, lastAnswerAt, cautiousUntil float64

	// Time of the first turn; mean time between two sends to one replica; time constant of measurements.
	firstStepAt, sendIntervalMs, decayMs float64

	fleetLatency, baselineLatency float64 // mean over replicas of their groups' latencies; the latency while queues are short

	nextSweepAt, nextSubscribeAt, subscribeBackoffMs float64
	subscribed, hasList                              bool
}

// New returns a root that has just started and has no list of replicas. The seed determines its random choices.
func New(s Settings, seed uint64) *Root {
	s.Cells, s.MaxPartsPerCall = max(1, s.Cells), max(1, s.MaxPartsPerCall)
	r := &Root{
		settings: s, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		replicas: map[Addr]*replica{}, groups: map[[2]int]*group{}, parts: map[uint64]*part{},
		queriesByNumber: map[float64]*query{}, holdersByCell: make([][]*replica, s.Cells),
		tenantUsage:        make([]decayingCounter, len(s.Tenants)),
		subscribeBackoffMs: initialSubscribeBackoffMs, nextSubscribeAt: math.Inf(-1), nextSweepAt: math.Inf(-1),
		processes: 1,
	}
	for _, c := range s.Classes {
		r.addClass(c)
	}
	if !s.HasRetryBudget {
		r.settings.RetryBudgetFloor, r.settings.RetryBudgetRatio, r.settings.RetryBudgetWindowMs =
			defaultRetryFloor, defaultRetryRatio, defaultRetryWindowMs
	}
	return r
}

// addClass adds a class without measurements.
func (r *Root) addClass(c Class) {
	r.shortestObjectiveMs = min(cmp.Or(r.shortestObjectiveMs, c.ObjectiveMs), max(1, c.ObjectiveMs))
	r.classes = append(r.classes, class{Class: c, copyFraction: maxCopyFraction, overrun: 1})
}

// Step runs one turn at the time now, in milliseconds, which must not be earlier than in the turn before. It
// applies all events before it decides, so that answers that arrive together are all taken into account. It appends
// the resulting actions to out, which may be nil, and returns the extended slice.
func (r *Root) Step(now float64, events []Event, out []Action) []Action {
	r.actions, r.turn, r.now, r.stalledMs, r.firstStepAt = out, r.turn+1, now, 0, cmp.Or(r.firstStepAt, now)
	if lateBy := now - r.nextSweepAt; len(r.openQueries) > 0 && lateBy > sweepIntervalTicks*r.settings.TickMs {
		r.stalledMs, r.totalStalledMs = lateBy, r.totalStalledMs+lateBy // the timer came late: this root stood still
	}
	for i := range events {
		r.apply(&events[i])
	}
	r.subscribe()
	r.assessReplicas()
	for _, q := range r.openQueries {
		r.endIfDue(q)
	}
	for _, q := range slices.DeleteFunc(r.newQueries, func(q *query) bool { return q.ended }) {
		r.admit(q)
	}
	r.newQueries = r.newQueries[:0]
	for _, q := range r.openQueries { // retries after failures come before copies
		r.retryParts(q)
	}
	for _, q := range r.openQueries {
		r.copyParts(q)
	}
	r.openQueries = slices.DeleteFunc(r.openQueries, func(q *query) bool { return q.ended })
	for i := range r.classes {
		r.chooseCopyFraction(&r.classes[i])
	}
	if len(r.openQueries) > 0 && now >= r.nextSweepAt {
		r.nextSweepAt = now + sweepIntervalTicks*r.settings.TickMs
		r.emit(Action{Kind: Timer, Ms: sweepIntervalTicks * r.settings.TickMs})
	}
	return r.actions
}

// emit adds an action to those of this turn.
func (r *Root) emit(a Action) { r.actions = append(r.actions, a) }

// activeTime returns the current time less the periods in which this root itself stood still, in milliseconds: no
// replica is to blame for what waited in them.
func (r *Root) activeTime() float64 { return r.now - r.totalStalledMs }

// apply applies one event. Events that it does not know, or that refer to what has ended, have no effect.
func (r *Root) apply(e *Event) {
	switch e.Kind {
	case QueryArrived:
		r.arrivals = append(timesSince(r.arrivals, r.now-r.settings.RetryBudgetWindowMs), r.now)
		if uint(e.Class) >= uint(len(r.classes)) { // unknown class; nothing was sent, so a retry is safe
			r.emit(Action{Kind: Refuse, ID: e.ID})
			return
		}
		q := &query{id: e.ID, number: e.Number, classIndex: e.Class, expiresAt: r.now + e.TimeLeftMs}
		c := &r.classes[e.Class]
		q.retried = e.Retry && e.TimeLeftMs >= c.ObjectiveMs // a shorter timeout means an impatient client
		q.objectiveAt, q.overQuota = min(r.now+c.objective(e, r.settings.TickMs), q.expiresAt), r.exceedsQuota(e.Tenant)
		if c.LateWorthShare == 0 { // an answer past the objective is worth nothing
			q.expiresAt = min(q.expiresAt, q.objectiveAt)
		}
		q.giveUpAt = min(r.now+r.settings.GiveUpAfterMs(e.TimeLeftMs), q.expiresAt-minReserveTicks*r.settings.TickMs)
		r.queriesByNumber[q.number], r.newQueries = q, append(r.newQueries, q)
	case PartArrived:
		r.arrivals = append(r.arrivals, r.now)
		q := r.queriesByNumber[e.Number]
		if q == nil || q.ended {
			return
		}
		if q.betweenSteps { // the second step begins
			q.betweenSteps, q.secondStep, q.answeredWeight, q.answeredParts, q.forked = false, true, 0, 0, false
			r.newQueries = append(r.newQueries, q)
		}
		p := &part{id: e.ID, query: q, shard: e.Shard, weight: e.Weight}
		q.parts, r.parts[p.id] = append(q.parts, p), p
	case AttemptDone:
		if p := r.parts[e.ID]; p != nil && uint(e.Attempt) < uint(len(p.attempts)) && p.attempts[e.Attempt].open {
			r.attemptEnded(p, e)
		}
	case ClientDisconnected:
		queries := slices.Concat(r.openQueries, r.newQueries)
		if i := slices.IndexFunc(queries, func(q *query) bool { return q.id == e.ID && !q.ended }); i >= 0 {
			r.close(queries[i])
		}
	case ListUpdate:
		r.updateList(e)
	}
}

// objective returns for how long an answer earns the full worth, in milliseconds from now. A client's last try has
// only the rest of its deadline, and so only the rest of the objective, which may be negative. Such a try is
// recognized by a timeout that no other recent query has.
func (c *class) objective(e *Event, tickMs float64) float64 {
	objectiveMs := min(c.ObjectiveMs+c.ObjectiveWorkFactor*e.EstimatedWorkMs, c.DeadlineMs)
	isKnown := func(ms float64) bool { return math.Abs(e.TimeLeftMs-ms) < tickMs }
	if len(c.timeoutsMs) > 0 && !slices.ContainsFunc(c.timeoutsMs, isKnown) {
		objectiveMs -= max(0, c.DeadlineMs-e.TimeLeftMs)
	}
	c.timeoutsMs = append(c.timeoutsMs[max(0, len(c.timeoutsMs)-maxTimeoutSamples+1):], e.TimeLeftMs)
	return objectiveMs
}

// attemptEnded records the outcome of one attempt of p.
func (r *Root) attemptEnded(p *part, e *Event) {
	a := p.attempts[e.Attempt]
	a.open, a.neverRan = false, e.Outcome == Rejected || e.Outcome == Unreachable || e.Outcome == NotSent
	a.failedFast = a.neverRan && e.Outcome != Rejected ||
		e.Outcome == Failed && r.activeTime()-a.sentActive < r.medianLatency/2
	rep, c, age := a.replica, &r.classes[p.query.classIndex], r.activeTime()-a.sentActive
	// OK, Failed and Rejected, the first three outcomes, show that the replica accepts connections.
	rep.refusedConnection = rep.refusedConnection && e.Outcome > Rejected
	switch e.Outcome {
	case OK:
		r.servedParts++
		if r.stalledMs == 0 { // else it arrived at an unknown time during the stall
			r.recordLatency(a, age)
		}
		r.recordSuccess(rep)
		if rep.connectionLostAt > 0 && a.sentAt > rep.connectionLostAt {
			rep.connectionLostAt = 0
			if r.harmlessLosses.add(r.now); r.connectionLossIsHarmless() {
				r.cautiousUntil = 0
			}
		}
		rep.failureRate, rep.avoidedUntil[p.query.classIndex] = (1-smoothingFactor)*rep.failureRate, 0
		if e.Attempt == 0 && !a.cancelled && r.stalledMs == 0 {
			c.recordFirstAttempt(age)
		}
		if !p.answered && !p.dropped {
			p.answered, p.answeredAt = true, r.now
			p.query.answeredWeight += p.weight
			p.query.answeredParts++
			r.cancelAttempts(p)
		}
	case TimedOut:
		r.recordAbandoned(a)
		rep.group.failureRate += smoothingFactor * (1 - rep.group.failureRate)
	case ConnectionLost:
		if !r.connectionLossIsHarmless() {
			p.query.presumedCrashes++
			if r.presumedCrashes.add(r.now); r.presumedCrashes.count > 1.5 { // more than one recently
				r.cautiousUntil = r.now + cautionObjectives*r.shortestObjectiveMs
			}
			r.recordFailure(rep)
		} else if rep.connectionLostAt > 0 { // it has not answered since
			r.recordFailure(rep)
		}
		rep.connectionLostAt = r.now
	case Failed:
		rep.failureRate, rep.failureMs = rep.failureRate+smoothingFactor*(1-rep.failureRate),
			smoothed(rep.failureMs, age, smoothingFactor)
		r.recordFailure(rep)
	case Unreachable:
		if rep.connectionLostAt > 0 {
			r.confirmedCrashes.add(r.now)
		}
		rep.connectionLostAt, rep.refusedConnection = 0, true
		r.recordFailure(rep)
	case Rejected:
		r.recordFailure(rep)
		rep.fullUntil = r.now + (0.5+r.rng.Float64())*fullBackoffLatencies*r.medianLatency
	}
	if a.busyUntil <= r.now {
		rep.inFlight = slices.DeleteFunc(rep.inFlight, func(b *attempt) bool { return b == a })
	}
	r.removeIfDone(p)
}

// recordLatency updates the latencies of a replica and its group with the time that an attempt took, in
// milliseconds.
func (r *Root) recordLatency(a *attempt, elapsed float64) {
	rep := a.replica
	r.lastAnswerAt = r.activeTime()
	if !r.isCold(rep) {
		r.addToGroupMean(&rep.group.latency, elapsed, a)
	}
	weight := max(smoothingFactor, maxSparseSmoothing*r.sparseness())
	if !rep.hasAnswered {
		weight = 1
	}
	rep.hasAnswered, rep.latency, rep.latencyLoad = true, rep.latency+weight*(elapsed-rep.latency),
		rep.latencyLoad+weight*(a.loadAtSend-rep.latencyLoad)
}

// sparseness returns from 0 to 1 how far the measurements of a replica decay between two sends of this root to it.
// The sparser they are, the more weight each outcome needs.
func (r *Root) sparseness() float64 {
	return min(1, r.sendIntervalMs/(sparseThreshold*decayLatencies*r.meanLatency+1))
}

// addToGroupMean updates the mean of a group with one part. All parts of a query together have about the weight
// of one value, since the slowest parts of each query arrive last.
func (r *Root) addToGroupMean(mean *float64, elapsed float64, a *attempt) {
	*mean = smoothed(*mean, elapsed, 1/max(1, r.classes[a.part.query.classIndex].meanParts))
}

// smoothed returns the exponentially smoothed mean after one more value, which has the given weight. A mean of 0
// has no value yet, and the first one becomes the mean.
func smoothed(mean, value, weight float64) float64 {
	return cmp.Or(mean, value) + weight*(value-cmp.Or(mean, value))
}

// isCold reports whether a replica is in slow start.
func (r *Root) isCold(rep *replica) bool { return r.now-rep.startedAt < r.settings.WarmUpMs }

// capacityShare returns the share of its capacity that a replica has at least. It grows to 1 while the replica is
// cold.
func (r *Root) capacityShare(rep *replica) float64 {
	return min(1, r.settings.ColdCapacityShare+
		(1-r.settings.ColdCapacityShare)*max(0, r.now-rep.startedAt)/max(1, r.settings.WarmUpMs))
}

// recordAbandoned records an attempt that timed out or is cancelled and that the replica may still work on. One
// that is cancelled because its part is not needed any more would have taken at least its age, which counts as a
// latency if it is above the replica's; a timeout says nothing about the latency.
func (r *Root) recordAbandoned(a *attempt) {
	if age := r.activeTime() - a.sentActive; age > a.replica.latency && a.cancelled &&
		(a.part.answered || a.part.dropped) {
		r.recordLatency(a, age)
	}
	a.busyUntil = r.now + a.replica.latency
}

// recordFirstAttempt records the latency of a part's first attempt, or its age if it is cancelled, in milliseconds.
func (c *class) recordFirstAttempt(ms float64) {
	c.firstAttemptMs = append(c.firstAttemptMs[max(0, len(c.firstAttemptMs)-maxLatencySamples+1):], ms)
	c.meanPartMs += max(smoothingFactor, 1/float64(len(c.firstAttemptMs))) * (ms - c.meanPartMs)
}

// connectionLossIsHarmless reports whether replicas that lost connections have recently gone on to answer: one that
// has crashed refuses the next connection instead.
func (r *Root) connectionLossIsHarmless() bool {
	return r.harmlessLosses.value(r.now) > max(minHarmlessLosses, harmlessLossesPerCrash*r.confirmedCrashes.value(r.now))
}

// removeIfDone forgets a part that is dropped and has no open attempt.
func (r *Root) removeIfDone(p *part) {
	if open, _ := p.openAttempts(); p.dropped && open == 0 {
		delete(r.parts, p.id)
	}
}

// recordSuccess lowers the suspicion of a replica that has answered and the failure rate of its group.
func (r *Root) recordSuccess(rep *replica) {
	rep.lastAnswerAt = r.activeTime()
	rep.suspicion *= 1 - max(failureWeight, sparseFailureWeight*r.sparseness())
	// One answer means that the whole group may be back.
	rep.group.failureRate = min(groupFailureThreshold/2, rep.group.failureRate*(1-smoothingFactor))
	if rep.suspected && (rep.suspicion < trustThreshold || rep.silent) {
		rep.suspected, rep.silent, rep.suspicion = false, false, min(rep.suspicion, trustThreshold)
		r.emit(Action{Kind: Log, Addr: rep.Addr, Text: fmt.Sprintf("replica %x trusted again", uint64(rep.Addr))})
	}
}

// recordFailure raises the suspicion of a replica and the failure rate of its group, and postpones its next probation
// attempt. The time until a failure never counts as a latency.
func (r *Root) recordFailure(rep *replica) {
	rep.suspicion += max(failureWeight, sparseFailureWeight*r.sparseness()) * (1 - rep.suspicion)
	rep.group.failureRate += smoothingFactor * (1 - rep.group.failureRate)
	if rep.suspicion > suspectThreshold && !rep.suspected {
		rep.suspected = true
		r.emit(Action{Kind: Log, Addr: rep.Addr, Unhealthy: true, Text: fmt.Sprintf("replica %x suspected", rep.Addr)})
	}
	rep.nextProbationAt = r.now + r.probationIntervalMs()
}

// probationIntervalMs returns the time between two probation attempts at a suspected replica: the more roots there
// are to send them, the longer each of them waits.
func (r *Root) probationIntervalMs() float64 {
	return max(probationIntervalLatencies*r.medianLatency,
		min(probationIntervalSends*r.sendIntervalMs, cautionObjectives*r.shortestObjectiveMs))
}

// assessReplicas updates the latencies of all listed replicas for this turn and suspects those that have been
// silent, for whatever cause, for too long in comparison with the median latency.
func (r *Root) assessReplicas() {
	measured, sum, elapsed := 0, 0.0, r.now-cmp.Or(r.assessedAt, r.now)
	remaining := math.Exp(-elapsed / max(1, r.settings.WarmUpMs))
	r.servedParts, r.warmReplicaMs, r.assessedAt = r.servedParts*remaining, r.warmReplicaMs*remaining, r.now
	for _, rep := range r.listedReplicas {
		if rep.State == Ready {
			r.warmReplicaMs += r.capacityShare(rep) * elapsed
		}
		rep.inFlight = slices.DeleteFunc(rep.inFlight, func(a *attempt) bool {
			return !a.open && a.busyUntil <= r.now
		})
		if rep.hasAnswered {
			measured, sum = measured+1, sum+rep.latency
		}
	}
	for _, g := range r.groups {
		g.decayedLatency = r.decayToBaseline(g.latency)
	}
	r.meanLatency = r.decayToBaseline(sum / float64(max(1, measured)))
	for _, rep := range r.listedReplicas {
		for _, a := range rep.inFlight {
			age := r.activeTime() - a.sentActive
			if a.open && !a.cancelled && a.part.query.answeredParts > 0 && age > rep.group.decayedLatency &&
				!rep.suspected && !r.isCold(rep) {
				r.addToGroupMean(&rep.group.decayedLatency, age, a)
			}
		}
	}
	// A root among many rarely hears from each replica: it then keeps the measurements of several sends,
	// although they are old.
	windowMs := rateDecayMs * (1 - math.Exp(-(r.now-r.firstStepAt+1)/rateDecayMs))
	r.sendIntervalMs = windowMs * float64(len(r.listedReplicas)) / max(1, r.sends.value(r.now))
	r.decayMs = max(decayLatencies*r.meanLatency+1,
		min(decaySends*r.sendIntervalMs, maxDecayObjectives*r.shortestObjectiveMs))
	var latencies []float64
	r.fleetLatency = 0
	for _, rep := range r.listedReplicas {
		freshness, groupLatency, queueFreshness := 0.0, cmp.Or(rep.group.decayedLatency, r.meanLatency), 0.0
		if rep.hasAnswered {
			age := r.activeTime() - rep.lastAnswerAt
			freshness, queueFreshness = math.Exp(-age/r.decayMs), math.Exp(-age/(decayLatencies*r.meanLatency+1))
		}
		rep.decayedLatency, rep.silentMs = groupLatency+(rep.latency-groupLatency)*freshness, r.silence(rep)
		rep.queueLatency, rep.rankLatency = groupLatency+(rep.latency-groupLatency)*queueFreshness,
			max(rep.decayedLatency, rep.silentMs)
		r.fleetLatency += groupLatency / float64(len(r.listedReplicas))
		if rep.State == Ready && rep.hasAnswered && !rep.suspected {
			latencies = append(latencies, max(r.meanLatency+(rep.latency-r.meanLatency)*freshness, rep.silentMs))
		}
	}
	if len(latencies) > 0 {
		slices.Sort(latencies)
		r.medianLatency = latencies[(len(latencies)-1)/2]
	}
	for _, rep := range r.listedReplicas {
		if rep.silentMs > silenceLatencies*max(r.expectedLatency(rep), rep.latency) && measured > 0 && !rep.suspected {
			rep.suspicion, rep.silent = 1, true
			r.recordFailure(rep)
		}
	}
}

// decayToBaseline returns a mean latency, decayed to the baseline by the time since the last answer: otherwise a
// root that refuses all queries would never admit one again. The decay is quick enough that clients need few
// retries.
func (r *Root) decayToBaseline(mean float64) float64 {
	baseline := min(r.baselineLatency, mean)
	return baseline + (mean-baseline)*
		math.Exp(-(r.activeTime()-r.lastAnswerAt)/(idleDecayObjectives*r.shortestObjectiveMs+1))
}

// expectedLatency returns the latency that a replica is compared with: the median, or longer if its zone and
// kind are slower than the fleet, for example behind a slow link.
func (r *Root) expectedLatency(rep *replica) float64 {
	return r.medianLatency * max(1, rep.group.decayedLatency/max(1, r.fleetLatency))
}

// silence returns for how long a replica with open attempts has not answered, in milliseconds, or 0 without any.
// Parts of a query that has no answer yet do not count, unless it has one part only: the query may just be
// expensive.
func (r *Root) silence(rep *replica) float64 {
	for _, a := range rep.inFlight {
		if q := a.part.query; a.open && !a.cancelled && (q.answeredParts > 0 || len(q.parts) < 2) {
			return r.activeTime() - max(a.sentActive, rep.lastAnswerAt)
		}
	}
	return 0
}

// callsWith counts the calls of this root in flight at a replica, with one more part. A part that joins a call
// counts slightly less than nothing, so that parts for neighbouring shards share calls.
func (r *Root) callsWith(rep *replica) float64 {
	count, shared := 1.0, r.settings.MaxPartsPerCall > 1
	for i, a := range rep.inFlight {
		if !shared || i == 0 || a.turn != rep.inFlight[i-1].turn {
			count++
		}
	}
	if r.joinsCall(rep) {
		count -= 1 + 1e-5
	}
	return count
}

// predictLatency estimates the latency of one more part, in proportion to the parts in flight. It uses
// queueLatency, which decays as fast as queues drain, since a root that refuses queries gets no new measurements.
func (r *Root) predictLatency(rep *replica) float64 {
	return max(rep.silentMs, rep.queueLatency*float64(len(rep.inFlight)+1)/max(1, rep.latencyLoad))
}

// pickReplica chooses the holder with the least score for an attempt of p, or returns nil if there is none. Replicas
// with an open attempt of p, or without budget in slow start, are excluded. Replicas that the class avoids, that are
// unhealthy, where p has been tried, that are full or that are down come last, in this order. Before all others
// comes an unhealthy one that is due for a probation attempt, which is the first attempt of a real part that may be
// copied. A replica that fails fast may take the place of the choice; see pickFlaky.
func (r *Root) pickReplica(p *part, firstAttempt bool) *replica {
	var best *replica
	bestRank, bestScore := math.MaxInt, 0.0
	for _, rep := range r.holders(p) {
		tried := slices.ContainsFunc(p.attempts, func(a *attempt) bool { return a.replica == rep })
		if slices.ContainsFunc(p.attempts, func(a *attempt) bool { return a.replica == rep && a.open }) ||
			!r.hasColdBudget(rep) {
			continue
		}
		rank := 1
		switch {
		case r.isDown(rep):
			rank = 6
		case r.now < rep.fullUntil:
			rank = 5
		case tried:
			rank = 4
		case r.unhealthy(rep) && firstAttempt && r.dueForProbation(rep, p.query) && r.mayCopy(p):
			rank = 0
		case r.unhealthy(rep):
			rank = 3
		case r.now < rep.avoidedUntil[p.query.classIndex]:
			rank = 2
		}
		score := r.score(rep)
		if rank < bestRank || rank == bestRank && score < bestScore {
			best, bestRank, bestScore = rep, rank, score
		}
	}
	if best != nil && bestRank > 0 && r.mayCopy(p) && len(p.attempts)+2 <= cmp.Or(r.settings.MaxAttempts, math.MaxInt) {
		return r.pickFlaky(p, best, bestScore)
	}
	return best
}

// score returns the cost of one more part at a replica, by which holders are compared: its latency times this
// root's calls in flight there, with that of the part, increased by the configured penalties.
func (r *Root) score(rep *replica) float64 {
	score := max(rep.rankLatency, 1e-3) * r.callsWith(rep) * (1 + 1e-6*r.rng.Float64()) // breaks ties at random
	if rep.Zone != r.settings.Zone {
		score *= 1 + penaltyWeight*r.settings.CrossZonePenalty
	}
	if !rep.hasAnswered && !r.isCold(rep) { // probably needs a new connection; cold replicas have their own limit
		score *= 1 + penaltyWeight*r.settings.HandshakePenalty
	}
	return score
}

// pickFlaky returns a suspected replica that fails parts fast, if the expected time there is shorter than at best,
// with the retry after a failure included, or else best.
func (r *Root) pickFlaky(p *part, best *replica, bestScore float64) *replica {
	leastScore := bestScore
	for _, rep := range r.holders(p) {
		if !rep.suspected || rep.silent || rep.failureRate == 0 || rep.failureRate > maxFlakyFailureRate ||
			rep.failureMs > r.medianLatency || rep == best ||
			slices.ContainsFunc(p.attempts, func(a *attempt) bool { return a.replica == rep }) || !r.hasColdBudget(rep) ||
			r.settings.HasRetryBudget && !r.withinRetryBudget(copyBudgetShare) {
			continue
		}
		if score := (1-rep.failureRate)*r.score(rep) + rep.failureRate*(rep.failureMs+bestScore); score < leastScore {
			best, leastScore = rep, score
		}
	}
	return best
}

// unhealthy reports whether a replica is suspected, or hardly any replica of its zone and kind answers.
func (r *Root) unhealthy(rep *replica) bool {
	return rep.suspected || rep.group.failureRate > groupFailureThreshold
}

// isDown reports whether a replica refused the last connection and is not due for a probation attempt yet. It must
// be suspected as well, since a single refused connection may be an exception.
func (r *Root) isDown(rep *replica) bool {
	return rep.refusedConnection && rep.suspected && r.now < rep.nextProbationAt
}

// dueForProbation reports whether an unhealthy replica may be sent a part of q as a probation attempt. Few parts of
// a query may be used for that, and only one at a time goes to a group that is unhealthy as a whole.
func (r *Root) dueForProbation(rep *replica, q *query) bool {
	few := q.probations <= len(q.parts)/partsPerProbation &&
		(rep.group.failureRate <= groupFailureThreshold || r.now >= rep.group.nextProbationAt)
	return few && r.now >= rep.nextProbationAt && len(rep.inFlight) == 0
}

// holders returns the ready replicas that hold the part's shard, healthy or not.
func (r *Root) holders(p *part) []*replica {
	return r.holdersByCell[uint(p.shard)%uint(len(r.holdersByCell))]
}

// joinsCall reports whether a part sent to the replica now would join a call of this turn that has room for it.
func (r *Root) joinsCall(rep *replica) bool {
	partsThisTurn := 0
	for i := len(rep.inFlight) - 1; i >= 0 && rep.inFlight[i].turn == r.turn; i-- {
		partsThisTurn++
	}
	return partsThisTurn%r.settings.MaxPartsPerCall != 0
}

// hasColdBudget reports whether a replica may be sent one more part without the risk of overload while it is cold; a
// warm one always may. The budget is a token bucket. Its rate is this process's part of the configured overload
// budget, based on what warm replicas have served. It starts with a random share of a call used up, so that the roots
// do not all send at once. Parts that join a call are always allowed and are charged afterwards.
func (r *Root) hasColdBudget(rep *replica) bool {
	if r.joinsCall(rep) || !r.isCold(rep) {
		return true
	}
	partsPerMs := coldBudgetShare * r.settings.ColdOverloadFactor * r.capacityShare(rep) *
		r.servedParts / max(1, r.warmReplicaMs) / float64(r.processes)
	if rep.tokensAt < rep.listedAt { // earlier sends are unknown, or were not limited
		partsPerCall := (float64(r.settings.MaxPartsPerCall) + r.sends.value(r.now)) / (1 + r.calls.value(r.now))
		rep.tokensAt, rep.coldTokens = rep.listedAt, 1-partsPerCall*r.rng.Float64()
	}
	rep.coldTokens, rep.tokensAt = min(rep.coldTokens+partsPerMs*(r.now-rep.tokensAt),
		max(1, coldBurstShare*partsPerMs*r.settings.ColdOverloadMs)), r.now
	return rep.coldTokens >= 1
}

// send sends an attempt of p to a replica. It times out when the query is given up.
func (r *Root) send(p *part, rep *replica) {
	a := &attempt{part: p, replica: rep, sentAt: r.now, sentActive: r.activeTime(), turn: r.turn, open: true}
	if len(p.attempts) > 0 && !r.nextAttemptIsFree(p) {
		r.extraAttempts = append(r.extraAttempts, r.now)
	}
	if !r.joinsCall(rep) {
		r.calls.add(r.now)
	}
	p.attempts, rep.inFlight, a.loadAtSend =
		append(p.attempts, a), append(rep.inFlight, a), float64(len(rep.inFlight)+1)
	rep.nextProbationAt, rep.coldTokens = r.now+r.probationIntervalMs(), rep.coldTokens-1 // tokens matter while it is cold
	r.sends.add(r.now)
	timeoutMs := max(r.settings.TickMs, p.query.giveUpAt-r.now)
	r.emit(Action{Kind: Send, ID: p.id, Addr: rep.Addr, Ms: timeoutMs, Unhealthy: r.unhealthy(rep)})
}

// nextAttemptIsFree reports whether the next attempt of p, which has had one, does not use up retry budget, since
// the last attempt caused hardly any work. A configured budget counts all of them.
func (r *Root) nextAttemptIsFree(p *part) bool {
	return !r.settings.HasRetryBudget && p.attempts[len(p.attempts)-1].failedFast
}

// cancelAttempts cancels the open attempts of a part, if cancelling is allowed.
func (r *Root) cancelAttempts(p *part) {
	for i := range p.attempts {
		r.cancelAttempt(p, i)
	}
}

// cancelAttempt cancels one attempt of a part, if it is open and cancelling is allowed. An open first attempt is
// recorded with its age in either case, as Algorithm 1 of the design also does.
func (r *Root) cancelAttempt(p *part, index int) {
	a := p.attempts[index]
	active := a.open && !a.cancelled
	if active && index == 0 {
		r.classes[p.query.classIndex].recordFirstAttempt(r.activeTime() - a.sentActive)
	}
	if a.cancelled = a.cancelled || active && r.settings.AllowCancel; active && a.cancelled {
		r.recordAbandoned(a)
		r.emit(Action{Kind: Cancel, ID: p.id, Attempt: index})
	}
}

// openAttempts returns the number of open attempts and the last of them, nil if there is none.
func (p *part) openAttempts() (n int, last *attempt) {
	for _, a := range p.attempts {
		if a.open {
			n, last = n+1, a
		}
	}
	return n, last
}

// mayRetry reports whether p is still needed and may get a further attempt, by the limit of attempts and the effect
// of its class. The retry budget is checked separately.
func (r *Root) mayRetry(p *part) bool {
	if r.settings.MaxAttempts > 0 && len(p.attempts) >= r.settings.MaxAttempts || p.answered || p.dropped {
		return false
	}
	c := &r.classes[p.query.classIndex]
	first := slices.IndexFunc(p.attempts, (*attempt).mayHaveRun)
	return c.Effect == Safe || first < 0 ||
		c.Effect == Keyed && r.now-p.attempts[first].sentAt < c.DedupWindowMs-r.settings.TickMs
}

// mayHaveRun reports whether the replica may have run the attempt, or may still run it.
func (a *attempt) mayHaveRun() bool { return !a.neverRan }

// mayCopy reports whether p may get a further attempt while another is open: only parts of Safe classes may.
func (r *Root) mayCopy(p *part) bool {
	return r.settings.AllowCopies && r.mayRetry(p) && r.classes[p.query.classIndex].Effect == Safe
}

// retryParts sends the parts of q that have no open attempt: they failed, were held back, or found no replica
// before. It refuses q if a required part has only holders that are down.
func (r *Root) retryParts(q *query) {
	underWay := func(p *part) bool {
		n, a := p.openAttempts()
		return n > 0 && r.activeTime()-a.sentActive < silenceLatencies*r.expectedLatency(a.replica)
	}
	for _, p := range q.parts {
		if q.inactive() || q.mayCrashReplicas() && slices.ContainsFunc(q.parts, underWay) {
			return
		}
		n, attempts := 0, len(p.attempts)
		if n, _ = p.openAttempts(); p.answered || n > 0 || r.waitsForAtRiskSibling(p) ||
			attempts > 0 && (!r.mayRetry(p) || !r.nextAttemptIsFree(p) && !r.withinRetryBudget(1)) ||
			attempts > 0 && attempts == r.settings.MaxAttempts-1 &&
				r.now < p.attempts[attempts-1].replica.fullUntil { // the last attempt that is allowed waits for a replica that was full
			continue
		}
		switch rep := r.pickReplica(p, false); {
		case rep == nil || r.now < rep.fullUntil: // all are cold or full for now: the part can wait
		case r.isDown(rep) && r.isRequired(p): // and so are all other holders
			r.refuse(q, max(r.medianLatency, rep.nextProbationAt-r.now))
		default:
			r.send(p, rep)
		}
	}
}

// mayCrashReplicas reports whether q, at its first step and with no part answered yet, might crash the replicas that
// run it. Its parts are then sent one by one.
func (q *query) mayCrashReplicas() bool {
	return (q.cautious || q.presumedCrashes > 0) && q.answeredParts == 0 && !q.secondStep
}

// crashesReplicas reports whether so many replicas seem to have crashed during attempts of q that it must be ended:
// further attempts would crash more.
func (q *query) crashesReplicas() bool {
	return q.mayCrashReplicas() && q.presumedCrashes > 0 &&
		(q.cautious || q.presumedCrashes > 1 && 2*q.presumedCrashes >= len(q.parts))
}

// inactive reports whether q has no parts to send, as it has ended or its second step has not begun.
func (q *query) inactive() bool { return q.ended || q.betweenSteps }

// copyParts sends the copies of q's parts. At the fork, when all but q.forkParts parts are answered, each open part
// gets the one copy of the design, if there is a healthy replica where this root has nothing in flight and where the
// copy should take less time than the original has taken so far. A part does not wait for the fork if it is stuck,
// because its replica is silent, failing, slow or removed from the list, or if it seems lost while half of the parts
// are answered. If both attempts of a part are stuck, the older is cancelled for a third. If all other holders are
// unhealthy, a stuck part is sent to one with nothing in flight, as that may have recovered.
func (r *Root) copyParts(q *query) {
	forksNow := !q.inactive() && !q.forked && q.forkParts > 0 && len(q.parts)-q.answeredParts <= q.forkParts
	q.forked = q.forked || forksNow
	for _, p := range q.parts {
		n, a := p.openAttempts()
		if q.inactive() || n == 0 || n > 2 || a.sentAt == r.now || !r.mayCopy(p) {
			continue
		}
		age, expected := r.activeTime()-a.sentActive, r.expectedLatency(a.replica)
		stuck := a.replica.State == Removed || r.unhealthy(a.replica) && age > overdueLatencies*expected ||
			a.replica.rankLatency > silenceLatencies*expected && age > silenceLatencies*expected
		older := slices.IndexFunc(p.attempts, func(b *attempt) bool { return b.open })
		lost := age > silenceLatencies*max(expected, a.replica.latency) && 2*q.answeredParts >= len(q.parts)
		if lost {
			a.replica.avoidedUntil[q.classIndex] = r.now + cautionObjectives*r.shortestObjectiveMs
		}
		// With two attempts open, one of them may still answer.
		if n == 2 && !(stuck && r.unhealthy(p.attempts[older].replica) && r.settings.AllowCancel) ||
			!(stuck && r.withinRetryBudget(1)) && !((forksNow || lost) && r.withinRetryBudget(copyBudgetShare)) {
			continue
		}
		rep := r.pickReplica(p, false)
		idle := rep != nil && len(rep.inFlight) == 0 && r.predictLatency(rep) < age
		lastResort := stuck && idle && r.now >= rep.fullUntil && !r.isDown(rep)
		if lastResort || rep != nil && !r.unhealthy(rep) &&
			(idle || stuck && rep.rankLatency < silenceLatencies*r.medianLatency) {
			if n == 2 { // at most two may be open
				r.cancelAttempt(p, older)
			}
			r.send(p, rep)
		}
	}
}

// exceedsQuota reports whether a query exceeds its tenant's allowance at this root, and counts it if it does not. An
// unknown tenant, or one without an allowance, has no limit.
func (r *Root) exceedsQuota(tenant int) bool {
	if uint(tenant) >= uint(len(r.tenantUsage)) || r.settings.Tenants[tenant].QueriesPerSecond <= 0 {
		return false
	}
	usage, allowedPerMs := &r.tenantUsage[tenant],
		r.settings.Tenants[tenant].QueriesPerSecond/1000/float64(r.settings.Roots)
	if usage.value(r.now)+1 > max(1, allowedPerMs*rateDecayMs) {
		return true
	}
	usage.add(r.now)
	return false
}

// placeParts picks a replica for the first attempt of each part of q, with the parts before it counted as load. It
// returns the predicted time until enough parts are answered, in milliseconds, or infinity if too few have a replica.
func (r *Root) placeParts(q *query) float64 {
	c, predictions := &r.classes[q.classIndex], make([]float64, len(q.parts))
	for i, p := range q.parts {
		predictions[i], p.firstReplica = math.Inf(1), r.pickReplica(p, true)
		p.atRisk = r.isRequired(p) && !slices.ContainsFunc(r.holders(p), r.hasRoom)
		if rep := p.firstReplica; rep != nil {
			if predictions[i] = r.predictLatency(rep) + max(0, rep.fullUntil-r.now); r.isDown(rep) {
				predictions[i] = math.Inf(1) // and so are all other holders of the shard
			} else if r.unhealthy(rep) { // a probation attempt that is overdue is sent elsewhere
				predictions[i] = min(predictions[i], (1+overdueLatencies)*r.medianLatency)
				q.probations++
				rep.group.nextProbationAt = r.now + max(probationIntervalLatencies*r.medianLatency,
					min(r.sendIntervalMs, cautionObjectives*r.shortestObjectiveMs))
			}
			rep.inFlight = append(rep.inFlight, &attempt{turn: r.turn, open: true})
			rep.coldTokens--
		}
	}
	for _, p := range q.parts {
		if rep := p.firstReplica; rep != nil {
			rep.inFlight, rep.coldTokens = rep.inFlight[:len(rep.inFlight)-1], rep.coldTokens+1
		}
	}
	slices.Sort(predictions)
	needed := int(math.Ceil(c.CompleteShare*float64(len(predictions)) - 1e-4))
	if placeable, _ := slices.BinarySearch(predictions, math.Inf(1)); float64(placeable) >=
		c.MinShare*float64(len(predictions)) {
		needed = min(needed, placeable) // no replica is available for the others: a partial answer
	}
	if needed < 1 || needed > len(predictions) {
		return math.Inf(1)
	}
	return predictions[needed-1]
}

// admit sends the parts of a query's new step. At the first step, it refuses the query instead if its answer is
// predicted too late, and sends one part only if the query may crash replicas; retryParts sends the others.
func (r *Root) admit(q *query) {
	c, parts := &r.classes[q.classIndex], float64(len(q.parts))
	predicted := r.placeParts(q)
	q.startedAt, q.predictedMs = r.now, predicted
	if !q.secondStep {
		r.openQueries, c.meanParts = append(r.openQueries, q), smoothed(c.meanParts, parts, 0.1)
		worth, dueAt := c.Worth, q.objectiveAt
		if !r.settings.WorthIsPerWork {
			worth /= max(1, parts*c.meanPartMs)
		}
		if c.meanPartMs > 0 {
			r.worthCount = min(r.worthCount+1, worthSamples)
			r.meanWorth += (worth - r.meanWorth) / r.worthCount
		}
		if q.overQuota {
			worth *= r.settings.OverShareWorth
		}
		if r.now >= q.objectiveAt {
			worth, dueAt = worth*c.LateWorthShare, q.expiresAt
		}
		// Pressure rises from 0 at the baseline latency to 1 at twice the baseline.
		pressure := max(0, min(1, r.fleetLatency/cmp.Or(r.baselineLatency, r.fleetLatency, 1)-1))
		admissionShare := min(1, max(minAdmissionShare,
			usualAdmissionShare*math.Sqrt(math.Sqrt(worth/max(worth/10, r.meanWorth, 1e-9)))))
		allowed := (1 - pressure*(1-admissionShare)) * (dueAt - r.now)
		// Once queries end late, predictions are scaled by the overrun of recent queries, and by more if
		// measurements are old. The correction decays.
		overrun := c.overrun * (1 + c.lateRate*min(1, r.sendIntervalMs/(decayLatencies*r.baselineLatency+1)))
		predicted *= 1 + min(1, c.lateRate/fullCorrectionLateRate)*(overrun-1)*math.Exp(-(r.now-c.overrunAt)/r.decayMs)
		if predicted > allowed || q.giveUpAt-r.now <= minReserveTicks*r.settings.TickMs {
			r.refuse(q, predicted-allowed)
			return
		}
		r.emit(Action{Kind: Timer, Ms: q.giveUpAt - r.now})
		q.cautious = r.now < max(r.cautiousUntil, c.cautiousUntil) || q.retried
	}
	q.forkParts = int(c.copyFraction*parts + r.rng.Float64())
	for _, p := range q.parts {
		if rep := p.firstReplica; rep != nil && r.now >= rep.fullUntil &&
			(p == q.parts[0] || !q.mayCrashReplicas()) && !r.waitsForAtRiskSibling(p) {
			r.send(p, rep)
		}
	}
}

// isRequired reports whether the query of p cannot have even a partial answer without p. The margin allows for
// weights that are rounded.
func (r *Root) isRequired(p *part) bool {
	return 1-p.weight < r.classes[p.query.classIndex].MinShare-5e-5
}

// hasRoom reports whether a replica is healthy, as far as the root knows, and can take a part.
func (r *Root) hasRoom(rep *replica) bool {
	return !r.unhealthy(rep) && r.now >= rep.fullUntil && r.hasColdBudget(rep)
}

// waitsForAtRiskSibling reports whether p is held back because a part at risk of the same query may still fail: the
// query would then be lost, and the work of p wasted.
func (r *Root) waitsForAtRiskSibling(p *part) bool {
	return !p.atRisk && slices.ContainsFunc(p.query.parts, func(sibling *part) bool {
		n, a := sibling.openAttempts()
		return sibling.atRisk && !sibling.answered && (n == 0 ||
			r.activeTime()-a.sentActive < max(r.medianLatency/2, a.replica.decayedLatency-r.medianLatency))
	})
}

// endIfDue answers the step of a query if enough of its parts are answered. If time is up, the query seems to crash
// replicas, or the missing parts cannot be answered any more, it ends the step with a partial answer, if the class
// allows that, or the query with a refusal. Around the objective it also gives a partial answer that
// earns more than a late complete one.
func (r *Root) endIfDue(q *query) {
	c := &r.classes[q.classIndex]
	completeWeight, minWeight := c.CompleteShare-5e-5, c.MinShare-5e-5 // weights are rounded
	if q.secondStep {
		if completeWeight = 1 - 5e-5; c.MinShare >= c.CompleteShare {
			minWeight = completeWeight
		}
	}
	reachable, allAnswered := 0.0, q.answeredParts == len(q.parts)
	for _, p := range q.parts {
		n, _ := p.openAttempts()
		if p.answered || n > 0 || r.mayRetry(p) && len(r.holders(p)) > 0 {
			reachable += p.weight
		}
	}
	mustEnd := r.now >= q.giveUpAt || q.crashesReplicas()
	if q.crashesReplicas() {
		c.cautiousUntil = r.now + cautionObjectives*r.shortestObjectiveMs
	}
	sufficient, secondStepMs := q.answeredParts > 0 && q.answeredWeight >= minWeight, 0.0
	if c.SecondStepParts > 0 && !q.secondStep { // a lost part must not use up the time of the second step
		secondStepMs = secondStepReserve * cmp.Or(c.secondStepMs, r.medianLatency)
	}
	// Around the objective, a partial answer now may earn more than a complete one that is late.
	partialDue := r.now >= q.objectiveAt-(sweepIntervalTicks+minReserveTicks)*r.settings.TickMs-secondStepMs &&
		c.PartialWorth*q.answeredWeight > c.LateWorthShare*c.CompleteShare
	switch {
	case q.ended, q.betweenSteps && !mustEnd:
	case q.betweenSteps:
		r.refuse(q, 0)
	case q.answeredParts > 0 && (q.answeredWeight >= completeWeight && (allAnswered || !q.secondStep) ||
		allAnswered && q.answeredWeight >= minWeight):
		r.answer(q, q.answeredWeight >= completeWeight && (!q.secondStep || q.firstComplete))
	case !mustEnd && reachable >= minWeight && !(partialDue && sufficient):
	case sufficient:
		r.answer(q, false)
	default:
		r.refuse(q, r.medianLatency)
	}
}

// refuse ends a query by a refusal, if a retry is safe, with a hint when to retry unless the settings exclude hints.
// Otherwise the query fails.
func (r *Root) refuse(q *query, retryAfterMs float64) {
	mayHaveRun := func(p *part) bool { return slices.ContainsFunc(p.attempts, (*attempt).mayHaveRun) }
	if !r.settings.SendRetryAfter {
		retryAfterMs = 0
	}
	if r.classes[q.classIndex].Effect == Unsafe && slices.ContainsFunc(q.parts, mayHaveRun) {
		r.emit(Action{Kind: Abort, ID: q.id})
	} else {
		r.emit(Action{Kind: Refuse, ID: q.id, Ms: max(0, min(retryAfterMs, r.settings.MaxRetryAfterMs))})
	}
	r.close(q)
}

// answer answers the current step of a query, which ends the query after its last step.
func (r *Root) answer(q *query, complete bool) {
	r.emit(Action{Kind: Answer, ID: q.id, Complete: complete})
	if r.classes[q.classIndex].SecondStepParts > 0 && !q.secondStep {
		q.betweenSteps, q.firstComplete = true, complete
		r.dropParts(q)
		return
	}
	r.close(q)
}

// close ends a query without an action of its own and cancels its open attempts.
func (r *Root) close(q *query) {
	if took := q.healthyDuration(r.now); took > 0 && q.predictedMs > 0 {
		r.classes[q.classIndex].recordEnd(q, r.now, took,
			q.startedAt+took > q.objectiveAt-2*minReserveTicks*r.settings.TickMs)
	}
	q.ended = true
	if r.queriesByNumber[q.number] == q {
		delete(r.queriesByNumber, q.number)
	}
	r.dropParts(q)
}

// healthyDuration returns how long the slowest part of q took, so far if it is open, of those sent to no replica that
// is now suspected; 0 if there is none. Later queries avoid suspected replicas, so that only these parts say how long
// later queries will take.
func (q *query) healthyDuration(now float64) (took float64) {
	for _, p := range q.parts {
		if len(p.attempts) > 0 &&
			!slices.ContainsFunc(p.attempts, func(a *attempt) bool { return a.replica.suspected }) {
			took = max(took, cmp.Or(p.answeredAt, now)-q.startedAt)
		}
	}
	return took
}

// recordEnd records how the time that an admitted query took compares with the prediction, and whether it was late.
// Times are in milliseconds.
func (c *class) recordEnd(q *query, now, took float64, late bool) {
	if q.secondStep {
		c.secondStepMs = smoothed(c.secondStepMs, now-q.startedAt, smoothingFactor)
	}
	if c.lateRate *= 1 - smoothingFactor; late {
		c.lateRate += smoothingFactor
	}
	c.overrun, c.overrunAt =
		smoothed(c.overrun, min(maxOverrun, took/max(1, q.predictedMs)), smoothingFactor), now
}

// dropParts cancels the parts of a query's current step. Those with open attempts are kept until their outcomes.
func (r *Root) dropParts(q *query) {
	for _, p := range q.parts {
		p.dropped = true
		r.cancelAttempts(p)
		r.removeIfDone(p)
	}
	q.parts = q.parts[:0:0]
}

// chooseCopyFraction sets p, the fraction of a query's parts that get a copy, to the candidate with the least
// estimated latency of those that add at most maxExtraWork to the busy time without copies. It also updates the
// baseline latency: the lower quartile of first attempts, which may only rise by baselineRise at a time. It does
// nothing until there are enough samples and copyFractionIntervalMs have passed.
func (r *Root) chooseCopyFraction(c *class) {
	parts := int(c.meanParts + 0.5)
	if len(c.firstAttemptMs) < 20 || parts < 1 || r.now-c.fractionChosenAt < copyFractionIntervalMs {
		return
	}
	c.fractionChosenAt = r.now
	samples := slices.Sorted(slices.Values(c.firstAttemptMs))
	r.baselineLatency = min(cmp.Or(r.baselineLatency*(1+baselineRise), samples[len(samples)/4]),
		samples[len(samples)/4])
	baseBusy, bestLatency, seed := 0.0, math.Inf(1), r.rng.Uint64()
	for i := range copyFractionSteps + 1 {
		fraction := maxCopyFraction * float64(i) / copyFractionSteps
		latency, busy := estimateLatency(samples, parts, fraction, rand.New(rand.NewPCG(seed, 0))) // same draws for all
		if baseBusy = cmp.Or(baseBusy, busy); busy <= (1+maxExtraWork)*baseBusy && latency < bestLatency {
			bestLatency, c.copyFraction = latency, fraction
		}
	}
}

// estimateLatency is Algorithm 1 of the design, for one copy beside the original. From sorted samples it estimates
// the mean latency of a query and the busy time of all its parts, of which the given fraction is copied.
func estimateLatency(samples []float64, parts int, fraction float64, rng *rand.Rand) (latency, busy float64) {
	draws := make([]float64, parts)
	for range bootstrapRounds {
		copies := min(parts, int(fraction*float64(parts)+rng.Float64()))
		for i := range draws {
			draws[i] = samples[rng.IntN(len(samples))]
		}
		slices.Sort(draws)
		forkAt, afterFork := 0.0, 0.0
		for _, d := range draws[:parts-copies] {
			busy, forkAt = busy+d, d
		}
		above, _ := slices.BinarySearch(samples, math.Nextafter(forkAt, math.Inf(1)))
		for range copies {
			remaining := 0.0
			if above < len(samples) {
				remaining = samples[above+rng.IntN(len(samples)-above)] - forkAt
			}
			wait := min(remaining, samples[rng.IntN(len(samples))])
			busy, afterFork = busy+forkAt+2*wait, max(afterFork, wait)
		}
		latency += forkAt + afterFork
	}
	return latency / bootstrapRounds, busy / bootstrapRounds
}

// withinRetryBudget reports whether one more further attempt stays within the given share of the retry budget.
func (r *Root) withinRetryBudget(share float64) bool {
	windowStart := r.now - r.settings.RetryBudgetWindowMs
	r.extraAttempts, r.arrivals =
		timesSince(r.extraAttempts, windowStart), timesSince(r.arrivals, windowStart+r.settings.TickMs)
	return float64(len(r.extraAttempts)+1) <=
		share*(r.settings.RetryBudgetFloor+r.settings.RetryBudgetRatio*float64(len(r.arrivals)))
}

// timesSince returns the times, which are in ascending order, that are not before from.
func timesSince(times []float64, from float64) []float64 {
	i, _ := slices.BinarySearch(times, from)
	return times[i:]
}

// subscribe subscribes to list changes if the settings require it. It does so again, with backoff and jitter, within
// the configured interval, until an update shows that the subscription works, and after each failure.
func (r *Root) subscribe() {
	if !r.settings.MustSubscribe || r.subscribed || r.now < r.nextSubscribeAt {
		return
	}
	r.emit(Action{Kind: Subscribe, Complete: true})
	backoff := min(r.subscribeBackoffMs, max(initialSubscribeBackoffMs, r.settings.MaxSubscribeIntervalMs/3)) *
		(0.5 + r.rng.Float64())
	r.subscribeBackoffMs, r.nextSubscribeAt = 2*backoff, r.now+backoff
	r.emit(Action{Kind: Timer, Ms: backoff})
}

// updateList applies an update of the list of replicas. A removed replica is forgotten at the first update that finds
// nothing in flight there.
func (r *Root) updateList(e *Event) {
	if r.subscribed = r.subscribed && e.List != ListFailed; e.List == ListFailed {
		return
	}
	listed := make(map[Addr]bool, len(e.Members))
	for _, m := range e.Members {
		listed[m.Addr] = true
	}
	for _, rep := range r.listedReplicas {
		if e.List != ListDelta && !listed[rep.Addr] {
			rep.State = Removed
		}
	}
	if e.List != ListCached {
		r.subscribed, r.subscribeBackoffMs = true, initialSubscribeBackoffMs
	}
	for _, m := range e.Members {
		rep := r.replicas[m.Addr]
		if rep == nil {
			if m.State == Removed {
				continue
			}
			rep = &replica{startedAt: math.Inf(-1), listedAt: r.now, lastAnswerAt: r.activeTime()}
			rep.avoidedUntil = make([]float64, len(r.classes))
			r.replicas[m.Addr] = rep
			if r.hasList && m.ReadyAt == 0 {
				rep.startedAt = r.now // new in the list: taken as cold for its warm-up time
			}
		} else if m.ReadyAt > rep.ReadyAt || rep.State == Removed && m.State == Ready {
			rep.startedAt, rep.listedAt, rep.hasAnswered, rep.lastAnswerAt = r.now, r.now, false, r.activeTime()
			rep.suspicion, rep.suspected, rep.refusedConnection = 0, false, false
		}
		rep.startedAt = cmp.Or(m.ReadyAt, rep.startedAt) // the start in the list, if any, takes precedence
		rep.Member = m
		key := [2]int{m.Zone, m.Kind}
		rep.group = cmp.Or(r.groups[key], &group{})
		r.groups[key] = rep.group
	}
	maps.DeleteFunc(r.replicas, func(_ Addr, rep *replica) bool {
		return rep.State == Removed && len(rep.inFlight) == 0
	})
	r.hasList, r.listedReplicas = true, slices.AppendSeq(r.listedReplicas[:0], maps.Values(r.replicas))
	slices.SortFunc(r.listedReplicas, func(a, b *replica) int { return cmp.Compare(a.Addr, b.Addr) })
	clear(r.holdersByCell)
	for _, rep := range r.listedReplicas { // once per cell that it serves: all cells times replicas would be too many
		for offset := 0; rep.State == Ready && offset < min(r.settings.CellsPerShard, r.settings.Cells); offset++ {
			cell := ((rep.Cell-offset)%r.settings.Cells + r.settings.Cells) % r.settings.Cells
			r.holdersByCell[cell] = append(r.holdersByCell[cell], rep)
		}
	}
}
