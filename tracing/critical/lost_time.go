package critical

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"onyxsail/tracing/record"
)

// Key identifies a row of a LostTimeReport: what lost time is attributed to. Fields
// that the row does not distinguish are empty.
type Key struct {
	Class         string `json:"class,omitempty"`
	Phase         Phase  `json:"phase,omitempty"`
	Node          string `json:"node,omitempty"`
	Cell          string `json:"cell,omitempty"` // "": no node is involved
	AttemptReason string `json:"why,omitempty"`  // why the attempt was opened
}

// Row is the lost time that is attributed to a Key.
type Row struct {
	Key
	LostTime   time.Duration `json:"lost"`    // estimate for all bad queries, with or without a kept trace
	Share      float64       `json:"share"`   // of the total lost time, 0 to 1
	Queries    float64       `json:"queries"` // estimated number of affected queries
	KeptTraces int           `json:"kept"`    // number of traces that the estimate is based on
}

// LostTimeReport attributes the lost time of a set of traces to phases, nodes,
// cells and reasons of attempts.
type LostTimeReport struct {
	Traces    int            `json:"traces"`  // number of all traces
	BadTraces int            `json:"bad"`     // number of traces of bad queries
	Queries   float64        `json:"queries"` // estimated number of bad queries
	LostTime  time.Duration  `json:"lost"`    // estimate for all bad queries
	Reasons   map[string]int `json:"reasons"` // number of bad traces by reason; one may have several
	// BaselineTraces is the number of good traces from which the mean time of
	// each phase is computed.
	BaselineTraces int   `json:"usual"`
	Phases         []Row `json:"phases"`
	Nodes          []Row `json:"nodes"`
	Cells          []Row `json:"cells"`
	AttemptReasons []Row `json:"whys"`
	Combined       []Row `json:"top"` // by class, phase, node, cell and reason together
}

// maxRows is the maximum number of rows in each list of a LostTimeReport; keys
// that would exceed it are left out.
const maxRows = 1 << 12

// rowSum accumulates the values of a Row.
type rowSum struct {
	lostNs     float64
	queries    float64
	keptTraces int
	lastTrace  int // index of the trace that was counted last
}

// AttributeLostTime sums up where bad queries lost time. The mean time that a phase
// takes in good queries of the same class does not count as lost. Each trace stands for
// 1/Probability queries (the Horvitz-Thompson estimator), or for one if the probability
// is unknown.
func AttributeLostTime(traces []*record.Trace) LostTimeReport {
	report := LostTimeReport{Reasons: map[string]int{}}
	baseline := meanBaselineTimes(traces, &report.BaselineTraces)
	sums := [5]map[Key]*rowSum{}
	for i := range sums {
		sums[i] = map[Key]*rowSum{}
	}
	for traceIndex, tr := range traces {
		report.Traces++
		bad := tr.Reasons &^ (record.Baseline | record.Requested)
		if bad == 0 {
			continue
		}
		report.BadTraces++
		bad.ForEach(func(r record.Reasons) { report.Reasons[r.String()]++ })
		weight := 1.0
		if tr.Probability > 0 {
			weight = 1 / tr.Probability
		}
		report.Queries += weight
		path := PathOf(tr)
		spent := map[Phase]time.Duration{}
		for _, s := range path.Segments {
			// The baseline of a phase is subtracted once per query, from the first
			// segments of the phase.
			expected := baseline[tr.Class][s.Phase]
			excess := max(0, spent[s.Phase]+s.Duration()-expected) - max(0, spent[s.Phase]-expected)
			if spent[s.Phase] += s.Duration(); excess <= 0 {
				continue
			}
			combined := Key{Class: tr.Class, Phase: s.Phase}
			if s.Attempt >= 0 {
				a := &tr.Attempts[s.Attempt]
				combined.Node, combined.Cell, combined.AttemptReason = a.Node, strconv.Itoa(a.Cell), a.Reason.String()
			}
			lostNs := weight * float64(excess)
			report.LostTime += time.Duration(lostNs)
			for i, key := range []Key{{Phase: combined.Phase}, {Node: combined.Node}, {Cell: combined.Cell}, {AttemptReason: combined.AttemptReason}, combined} {
				row := sums[i][key]
				if row == nil {
					if len(sums[i]) >= maxRows {
						continue
					}
					row = &rowSum{lastTrace: -1}
					sums[i][key] = row
				}
				row.lostNs += lostNs
				if row.lastTrace != traceIndex {
					row.lastTrace = traceIndex
					row.queries += weight
					row.keptTraces++
				}
			}
		}
	}
	for i, rows := range []*[]Row{&report.Phases, &report.Nodes, &report.Cells, &report.AttemptReasons, &report.Combined} {
		*rows = sortedRows(sums[i], float64(report.LostTime))
	}
	return report
}

// meanBaselineTimes returns the mean time of each phase in the good traces of each
// class, and adds the number of these traces to baselineTraces.
func meanBaselineTimes(traces []*record.Trace, baselineTraces *int) map[string]map[Phase]time.Duration {
	sums, counts := map[string]map[Phase]time.Duration{}, map[string]int{}
	for _, tr := range traces {
		if tr.Reasons&^record.Requested != record.Baseline {
			continue
		}
		if sums[tr.Class] == nil {
			sums[tr.Class] = map[Phase]time.Duration{}
		}
		counts[tr.Class]++
		*baselineTraces++
		for _, s := range PathOf(tr).Segments {
			sums[tr.Class][s.Phase] += s.Duration()
		}
	}
	for class, phases := range sums {
		for p := range phases {
			phases[p] /= time.Duration(counts[class])
		}
	}
	return sums
}

// sortedRows returns the rows by lost time, in descending order. totalNs is the total
// lost time, of which Row.Share is a fraction.
func sortedRows(sums map[Key]*rowSum, totalNs float64) []Row {
	rows := make([]Row, 0, len(sums))
	for k, s := range sums {
		row := Row{Key: k, LostTime: time.Duration(s.lostNs), Queries: s.queries, KeptTraces: s.keptTraces}
		if totalNs > 0 {
			row.Share = s.lostNs / totalNs
		}
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.LostTime, a.LostTime), cmp.Compare(fmt.Sprint(a.Key), fmt.Sprint(b.Key)))
	})
	return rows
}
