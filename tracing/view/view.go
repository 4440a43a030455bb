// Package view renders traces for a terminal.
package view

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"onyxsail/broker"
	"onyxsail/tracing/critical"
	"onyxsail/tracing/record"
)

// barWidth is the columns of a waterfall's bars.
const barWidth = 60

// The marks of a bar, by what the attempt waited for.
const (
	markCore    = '.' // in the core or for a connection
	markNode    = '=' // at the node
	markRead    = '#' // for the rest of the answer
	markBlocked = '~' // for its last byte to leave
)

func ms(d time.Duration) string {
	if d >= 10*time.Second {
		return fmt.Sprintf("%.2f s", d.Seconds())
	}
	return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond))
}

// safe keeps a text of a client's or node's from steering the terminal.
func safe(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f || r >= 0x80 && r < 0xa0 {
			return '?'
		}
		return r
	}, text)
}

// table writes rows in columns.
func table(w io.Writer, rows [][]string) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		fmt.Fprintln(tw, strings.Join(r, "\t"))
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("writing a table: %w", err)
	}
	return nil
}

// Line is one trace on one line: when, id, class, end, time, reasons, and the
// heaviest stretch of its critical path.
func Line(t *record.Trace) []string {
	end := t.Verdict.String()
	if broker.Verdict(t.Verdict) == broker.Served && !t.Complete {
		end += " in part"
	}
	return []string{
		t.Received.UTC().Format("15:04:05.000"), t.ID.String()[:16], safe(t.Class), safe(t.Query), end, ms(t.Elapsed()), ms(t.Objective),
		t.Reasons.String(), heaviest(t),
	}
}

func heaviest(t *record.Trace) string {
	path := critical.PathOf(t)
	var most critical.Segment
	for _, s := range path.Segments {
		if s.Duration() > most.Duration() {
			most = s
		}
	}
	if most.Phase == "" {
		return "-"
	}
	text := fmt.Sprintf("%s %s", most.Phase, ms(most.Duration()))
	if most.Attempt >= 0 {
		a := &t.Attempts[most.Attempt]
		text += fmt.Sprintf(" (%s, %s)", safe(a.Node), a.Reason)
	}
	return text
}

// List writes traces as a table.
func List(w io.Writer, traces []*record.Trace) error {
	rows := [][]string{{"CAME (UTC)", "TRACE", "CLASS", "QUERY", "END", "TOOK", "WANTED", "REASONS", "MOST TIME"}}
	for _, t := range traces {
		rows = append(rows, Line(t))
	}
	return table(w, rows)
}

// Show writes one trace as a waterfall, with its critical path.
func Show(w io.Writer, t *record.Trace) error {
	path := critical.PathOf(t)
	on := map[int]bool{}
	for _, s := range path.Segments {
		on[s.Attempt] = true
	}
	whole := ""
	if broker.Verdict(t.Verdict) == broker.Served && !t.Complete {
		whole = " in part"
	}
	fmt.Fprintf(w, "trace %s, query %s of class %s, broker %s\n", t.ID, safe(t.Query), safe(t.Class), safe(t.Broker))
	fmt.Fprintf(w, "came %s, %d parts, %s%s after %s; wanted within %s, given up at %s\n",
		t.Received.UTC().Format(time.RFC3339Nano), t.Parts, t.Verdict, whole, ms(t.Elapsed()), ms(t.Objective), ms(t.Budget))
	fmt.Fprintf(w, "reasons %s; kept as %s, with probability %.3g\n", t.Reasons, t.KeepReason, t.Probability)
	if t.Parent != (record.SpanID{}) {
		fmt.Fprintf(w, "called from span %s\n", t.Parent)
	}
	if t.RetryAfter > 0 {
		fmt.Fprintf(w, "the client was told to come back after %s\n", ms(t.RetryAfter))
	}
	if len(t.Attempts) == 0 {
		fmt.Fprintln(w, "no attempt was made")
	} else {
		rows := [][]string{{"", "PART", "N", "WHY", "NODE", "0 " + strings.Repeat(" ", barWidth-2-len(ms(t.Elapsed()))) + ms(t.Elapsed()), "END"}}
		for i := range t.Attempts {
			a := &t.Attempts[i]
			mark := ""
			if on[i] {
				mark = "*"
			}
			rows = append(rows, []string{
				mark, fmt.Sprint(a.Shard), fmt.Sprint(a.Number), a.Reason.String(), fmt.Sprintf("%s (cell %d)", safe(a.Node), a.Cell), bar(t, a), outcome(t, a),
			})
		}
		if err := table(w, rows); err != nil {
			return err
		}
		fmt.Fprintf(w, "%c in the broker or for a connection  %c until its last byte left  %c at the node  %c until the answer was whole  * on the critical path\n",
			markCore, markBlocked, markNode, markRead)
	}
	if t.Unrecorded > 0 {
		fmt.Fprintf(w, "%d more attempts were made, of which nothing is known\n", t.Unrecorded)
	}
	rows := [][]string{{"CRITICAL PATH", "FROM", "TOOK", "ATTEMPT"}}
	for _, s := range path.Segments {
		what := "-"
		if s.Attempt >= 0 {
			a := &t.Attempts[s.Attempt]
			what = fmt.Sprintf("part %d, %s at %s", a.Shard, a.Reason, safe(a.Node))
			if a.Addr != "" {
				what += " (" + safe(a.Addr) + ")"
			}
		}
		rows = append(rows, []string{string(s.Phase), ms(s.From), ms(s.Duration()), what})
	}
	return table(w, rows)
}

// bar draws an attempt against its query's time.
func bar(t *record.Trace, a *record.Attempt) string {
	all := max(t.Elapsed(), 1)
	column := func(o record.Offset) int { return int(int64(o.Duration()) * barWidth / int64(all)) }
	end := a.Ended
	if !end.IsSet() {
		end = record.OffsetOf(all)
	}
	b := []rune(strings.Repeat(" ", barWidth))
	at := min(column(a.Opened), barWidth-1)
	fill := func(to record.Offset, mark rune) {
		for until := min(column(to), barWidth); at < until; at++ {
			b[at] = mark
		}
	}
	last := markCore
	if a.Connected.IsSet() || !a.DialStarted.IsSet() {
		if a.Connected.IsSet() {
			fill(a.Connected, markCore)
		}
		last = markBlocked
	}
	if a.Sent.IsSet() {
		fill(a.Sent, markBlocked)
		last = markNode
	}
	if a.FirstByte.IsSet() {
		fill(a.FirstByte, markNode)
		last = markRead
	}
	from := at
	fill(end, last)
	if at == from && from < barWidth && b[max(0, from-1)] == ' ' { // shorter than a column
		b[from] = last
	}
	return string(b)
}

func outcome(t *record.Trace, a *record.Attempt) string {
	text := a.Outcome.String()
	if a.EndedByBroker && a.Ended.IsSet() {
		text += " by the broker"
	}
	if a.MayStillRun {
		text += ", may still run"
	}
	if a.Suspected {
		text += ", in doubt"
	}
	if w := t.Winner(a.Shard); w != nil && w != a {
		text += fmt.Sprintf(", attempt %d won", w.Number)
	}
	if a.LateAt.IsSet() && a.LateOutcome != nil {
		text += fmt.Sprintf(", %s after all at %s", a.LateOutcome, ms(a.LateAt.Duration()))
	}
	return text
}

// Why writes a table of lost time.
func Why(w io.Writer, t critical.LostTimeReport, rows int) error {
	fmt.Fprintf(w, "%d traces, %d of them bad, which stand for %.0f bad queries and %s lost\n", t.Traces, t.BadTraces, t.Queries, ms(t.LostTime))
	if t.BaselineTraces > 0 {
		fmt.Fprintf(w, "lost is what goes beyond the good queries of the class, of which %d were kept\n", t.BaselineTraces)
	} else {
		fmt.Fprintln(w, "no good query was kept: all the time of the bad ones counts as lost")
	}
	reasons := [][]string{{"REASON", "KEPT"}}
	for _, name := range record.ReasonNames() {
		if n := t.Reasons[name]; n > 0 {
			reasons = append(reasons, []string{name, fmt.Sprint(n)})
		}
	}
	fmt.Fprintln(w)
	if err := table(w, reasons); err != nil {
		return err
	}
	for _, part := range []struct {
		name string
		rows []critical.Row
		key  func(critical.Row) string
	}{
		{"PHASE", t.Phases, func(r critical.Row) string { return string(r.Phase) }},
		{"NODE", t.Nodes, func(r critical.Row) string { return safe(r.Node) }},
		{"CELL", t.Cells, func(r critical.Row) string { return r.Cell }},
		{"ATTEMPT", t.AttemptReasons, func(r critical.Row) string { return r.AttemptReason }},
		{"ALL TOGETHER", t.Combined, func(r critical.Row) string {
			return strings.TrimSpace(fmt.Sprintf("%s: %s %s %s", safe(r.Class), r.Phase, safe(r.Node), r.AttemptReason))
		}},
	} {
		out := [][]string{{part.name, "LOST", "SHARE", "QUERIES", "KEPT"}}
		for i, r := range part.rows {
			if i == rows {
				out = append(out, []string{fmt.Sprintf("(%d more)", len(part.rows)-rows), "", "", "", ""})
				break
			}
			key := part.key(r)
			if key == "" {
				key = "-"
			}
			out = append(out, []string{key, ms(r.LostTime), fmt.Sprintf("%.1f%%", 100*r.Share), fmt.Sprintf("%.1f", r.Queries), fmt.Sprint(r.KeptTraces)})
		}
		fmt.Fprintln(w)
		if err := table(w, out); err != nil {
			return err
		}
	}
	return nil
}
