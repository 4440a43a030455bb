package broker

import (
	"time"

	"onyxsail/decide"
)

// startTimeEstimator converts the reported start times of nodes to the core's monotonic
// clock.
//
// A start is reported as a Unix time (PROTOCOL, started_ms). Wall clocks may be stepped: the
// one of this machine, before the broker starts or while it runs, and those of other
// machines. The node age computed from such a time may therefore be off by seconds or an
// hour, and a node that has just started must not count as warm. Once the list is live, a
// start is reported soon after it happens. The smallest age at which any start was reported
// is thus an upper bound of the clock offset and is used to correct the others. For starts
// reported before that there is no reference, and the reported time is used as it is.
type startTimeEstimator struct {
	warmUp       time.Duration // duration of slow start
	rosterLive   bool          // discovery has sent a list and nodes are known: starts reported later are recent
	hasMinAge    bool
	minAge       time.Duration         // smallest age, by the wall clocks, at which a start was reported
	removedNodes map[string]*nodeState // nodes that the core removed, by ID
}

// maxNormalLag is the largest minAge that is still explained by the lag of the list rather
// than by a clock offset. While nodes joined the full fleet, 1,920 starts were reported with
// a lag of 1.6 to 3.0 s. A clock step hidden in this range makes a node seem less than two
// seconds too old.
const maxNormalLag = 3 * time.Second

// maxRemovedNodes is the maximum number of removed nodes whose start times are kept. Once it
// is reached, all of them are dropped.
const maxRemovedNodes = 4096

// remember keeps the start time of a node that the core removes, as the node may be listed
// again without having restarted.
func (s *startTimeEstimator) remember(n *nodeState) {
	if s.removedNodes == nil || len(s.removedNodes) >= maxRemovedNodes {
		s.removedNodes = map[string]*nodeState{}
	}
	s.removedNodes[n.ID] = n
}

// observeStarts updates minAge with the starts that are reported for the first time, at
// wallNow. It must be called before estimateAge is called for them.
func (s *startTimeEstimator) observeStarts(wallNow time.Time, starts []time.Time) {
	if !s.rosterLive {
		return
	}
	for _, started := range starts {
		if age := wallNow.Sub(started); !s.hasMinAge || age < s.minAge {
			s.hasMinAge, s.minAge = true, age
		}
	}
}

// estimateAge returns the age of a node whose start is reported for the first time, at wallNow.
// It corrects a clock offset and never returns a negative age. Once the list is live, an age
// of more than half of the slow start can only come from a clock step and counts as 0.
func (s *startTimeEstimator) estimateAge(wallNow, started time.Time) time.Duration {
	age := wallNow.Sub(started)
	if s.hasMinAge && (s.minAge < 0 || s.minAge > maxNormalLag) { // clock offset
		age -= s.minAge
	}
	if s.rosterLive && age > s.warmUp/2 { // the list never lags that much
		return 0
	}
	return max(0, age)
}

// startTimesOf returns the start times of a roster's nodes in milliseconds on the module's
// clock, in the roster's order, with 0 for long ago. A start that is reported again keeps its
// time.
func (c *Core) startTimesOf(roster *Roster, now time.Time) []float64 {
	wallNow := c.wallTime(now)
	lookup := func(n *Node) *nodeState {
		if known := c.nodes[c.addrByNodeID[n.ID]]; known != nil {
			return known
		}
		return c.startTimes.removedNodes[n.ID]
	}
	var newStarts []time.Time
	for i := range roster.Nodes {
		n := &roster.Nodes[i]
		if known := lookup(n); !n.Started.IsZero() && (known == nil || !known.Started.Equal(n.Started)) {
			newStarts = append(newStarts, n.Started)
		}
	}
	c.startTimes.observeStarts(wallNow, newStarts)
	readyAtMs := make([]float64, len(roster.Nodes))
	for i := range roster.Nodes {
		n := &roster.Nodes[i]
		if n.Started.IsZero() {
			continue
		}
		known := lookup(n)
		if known != nil && known.Started.Equal(n.Started) {
			readyAtMs[i] = known.readyAtMs
			continue
		}
		readyAtMs[i] = c.moduleTimeMs(now.Add(-c.startTimes.estimateAge(wallNow, n.Started)))
		if known != nil && readyAtMs[i] <= known.readyAtMs { // it has restarted since, whatever the clocks say
			readyAtMs[i] = c.moduleTimeMs(now)
		}
	}
	if roster.Kind != decide.ListCached && len(c.nodes)+len(roster.Nodes) > 0 {
		c.startTimes.rosterLive = true
	}
	return readyAtMs
}

// wallTime converts a time to the wall clock as read at the core's start and advanced by the
// monotonic clock.
func (c *Core) wallTime(now time.Time) time.Time { return c.start.Round(0).Add(now.Sub(c.start)) }
