package broker

import (
	"time"

	"onyxsail/decide"
)

// startTimes dates the starts of nodes on the core's own clock, which runs on evenly.
//
// A start is told as a Unix time (PROTOCOL, started_ms). Wall clocks may be stepped, that
// of this machine before or while the broker runs as well as those of others, so what
// such a time says of a node's age may be off by seconds or by an hour, and a node that
// has just started must not pass for a warm one. While the list is followed a start is
// told soon after it was made; the one that was told the soonest shows by how much the
// clocks differ at the most, and the others are dated by it. Until then, and for what was
// told before, nothing else is to be had: the told time is believed.
type startTimes struct {
	warmUp   time.Duration // after a start
	followed bool          // an answer with nodes has been taken in: what comes now is news
	sampled  bool
	soonest  time.Duration // the least age, by the wall clocks, at which a start was told
	former   map[string]*node
}

// usualLag is how late a list may tell the soonest start while the clocks agree: over 1,920
// tellings on the full fleet's join day it was 1.6 to 3.0 s. A step that hides in it makes
// a node less than two seconds too old.
const usualLag = 3 * time.Second

// maxFormer bounds the nodes off the list whose starts are remembered.
const maxFormer = 4096

// remember keeps the start of a node that the core forgets: it may come back as it was.
func (s *startTimes) remember(n *node) {
	if s.former == nil || len(s.former) >= maxFormer {
		s.former = map[string]*node{}
	}
	s.former[n.ID] = n
}

// sample takes in the news of starts, told at wall, before they are dated.
func (s *startTimes) sample(wall time.Time, starts []time.Time) {
	if !s.followed {
		return
	}
	for _, started := range starts {
		if age := wall.Sub(started); !s.sampled || age < s.soonest {
			s.sampled, s.soonest = true, age
		}
	}
}

// age is how old a node is whose start is told at wall.
func (s *startTimes) age(wall, started time.Time) time.Duration {
	age := wall.Sub(started)
	if s.sampled && (s.soonest < 0 || s.soonest > usualLag) { // the clocks differ
		age -= s.soonest
	}
	if s.followed && age > s.warmUp/2 { // no list is so late: one of the clocks has been stepped
		return 0
	}
	return max(0, age)
}

// dateStarts gives the starts in a roster's nodes their times on the core's clock, 0 for
// long ago, in the roster's order. A start that is told once more keeps its time.
func (c *Core) dateStarts(r *Roster, now time.Time) []float64 {
	wall := c.wall(now)
	own := func(n *Node) *node {
		if known := c.nodes[c.names[n.ID]]; known != nil {
			return known
		}
		return c.starts.former[n.ID]
	}
	var news []time.Time
	for i := range r.Nodes {
		n := &r.Nodes[i]
		if known := own(n); !n.Started.IsZero() && (known == nil || !known.Started.Equal(n.Started)) {
			news = append(news, n.Started)
		}
	}
	c.starts.sample(wall, news)
	dated := make([]float64, len(r.Nodes))
	for i := range r.Nodes {
		n := &r.Nodes[i]
		if n.Started.IsZero() {
			continue
		}
		known := own(n)
		if known != nil && known.Started.Equal(n.Started) {
			dated[i] = known.readyAt
			continue
		}
		dated[i] = c.ms(now.Add(-c.starts.age(wall, n.Started)))
		if known != nil && dated[i] <= known.readyAt { // it has started again since, whatever the clocks say
			dated[i] = c.ms(now)
		}
	}
	if r.Kind != decide.ListCached && len(c.nodes)+len(r.Nodes) > 0 {
		c.starts.followed = true
	}
	return dated
}

// wall is what this machine's wall clock showed at the core's start, run on evenly.
func (c *Core) wall(now time.Time) time.Time { return c.start.Round(0).Add(now.Sub(c.start)) }
