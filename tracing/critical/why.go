package critical

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"onyxsail/tracing/record"
)

// Key names one row of a Table: what carries lost time.
type Key struct {
	Class string `json:"class,omitempty"`
	Phase Phase  `json:"phase,omitempty"`
	Node  string `json:"node,omitempty"`
	Cell  string `json:"cell,omitempty"` // "" where no node is at fault
	Why   string `json:"why,omitempty"`  // reason of the attempt
}

// Row is one carrier of lost time.
type Row struct {
	Key
	Lost    time.Duration `json:"lost"`    // estimated over all queries, kept or not
	Share   float64       `json:"share"`   // of all the lost time
	Queries float64       `json:"queries"` // estimated
	Kept    int           `json:"kept"`    // traces that the estimate rests on
}

// Table tells which phase, node, cell and attempt reason carry the lost time
// of a set of traces.
type Table struct {
	Traces  int            `json:"traces"`
	Bad     int            `json:"bad"`
	Queries float64        `json:"queries"` // estimated bad ones
	Lost    time.Duration  `json:"lost"`
	Reasons map[string]int `json:"reasons"` // kept bad traces by each of their reasons
	// Usual is the number of good traces that tell what a phase usually takes.
	Usual  int   `json:"usual"`
	Phases []Row `json:"phases"`
	Nodes  []Row `json:"nodes"`
	Cells  []Row `json:"cells"`
	Whys   []Row `json:"whys"`
	Top    []Row `json:"top"` // by all of these together
}

// maxRows bounds each list of a Table; the longest of the rest are dropped.
const maxRows = 1 << 12

type sum struct {
	lost    float64
	queries float64
	kept    int
	last    int // the trace that was counted last
}

// Why adds up where bad queries lost their time. What a phase takes in the
// good queries of the class, on average, is no loss. Each trace counts for
// 1/Probability queries (the Horvitz-Thompson estimator).
func Why(traces []*record.Trace) Table {
	t := Table{Reasons: map[string]int{}}
	usual := usualTimes(traces, &t.Usual)
	by := [5]map[Key]*sum{}
	for i := range by {
		by[i] = map[Key]*sum{}
	}
	for n, tr := range traces {
		t.Traces++
		bad := tr.Reasons &^ (record.Baseline | record.Requested)
		if bad == 0 {
			continue
		}
		t.Bad++
		bad.ForEach(func(r record.Reasons) { t.Reasons[r.String()]++ })
		weight := 1.0
		if tr.Probability > 0 {
			weight = 1 / tr.Probability
		}
		t.Queries += weight
		path := Of(tr)
		spent := map[Phase]time.Duration{}
		for _, s := range path.Segments {
			// The usual time is taken off a phase once, from its first segments.
			allowed := usual[tr.Class][s.Phase]
			over := max(0, spent[s.Phase]+s.Took()-allowed) - max(0, spent[s.Phase]-allowed)
			if spent[s.Phase] += s.Took(); over <= 0 {
				continue
			}
			k := Key{Class: tr.Class, Phase: s.Phase}
			if s.Attempt >= 0 {
				a := &tr.Attempts[s.Attempt]
				k.Node, k.Cell, k.Why = a.Node, strconv.Itoa(a.Cell), a.Reason.String()
			}
			lost := weight * float64(over)
			t.Lost += time.Duration(lost)
			for i, key := range []Key{{Phase: k.Phase}, {Node: k.Node}, {Cell: k.Cell}, {Why: k.Why}, k} {
				x := by[i][key]
				if x == nil {
					if len(by[i]) >= maxRows {
						continue
					}
					x = &sum{last: -1}
					by[i][key] = x
				}
				x.lost += lost
				if x.last != n {
					x.last = n
					x.queries += weight
					x.kept++
				}
			}
		}
	}
	for i, rows := range []*[]Row{&t.Phases, &t.Nodes, &t.Cells, &t.Whys, &t.Top} {
		*rows = sorted(by[i], float64(t.Lost))
	}
	return t
}

// usualTimes is what each phase takes in the good queries of each class.
func usualTimes(traces []*record.Trace, n *int) map[string]map[Phase]time.Duration {
	sums, counts := map[string]map[Phase]time.Duration{}, map[string]int{}
	for _, tr := range traces {
		if tr.Reasons&^record.Requested != record.Baseline {
			continue
		}
		if sums[tr.Class] == nil {
			sums[tr.Class] = map[Phase]time.Duration{}
		}
		counts[tr.Class]++
		*n++
		for _, s := range Of(tr).Segments {
			sums[tr.Class][s.Phase] += s.Took()
		}
	}
	for class, phases := range sums {
		for p := range phases {
			phases[p] /= time.Duration(counts[class])
		}
	}
	return sums
}

func sorted(sums map[Key]*sum, all float64) []Row {
	rows := make([]Row, 0, len(sums))
	for k, s := range sums {
		r := Row{Key: k, Lost: time.Duration(s.lost), Queries: s.queries, Kept: s.kept}
		if all > 0 {
			r.Share = s.lost / all
		}
		rows = append(rows, r)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.Lost, a.Lost), cmp.Compare(fmt.Sprint(a.Key), fmt.Sprint(b.Key)))
	})
	return rows
}
