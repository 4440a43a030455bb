// Package view formats traces and lost-time reports as text for a terminal.
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

// barWidth is the width of the bars of a waterfall, in characters.
const barWidth = 60

// The characters of a bar, by what the attempt was waiting for.
const (
	markWaiting = '.' // in the broker or waiting for a connection
	markNode    = '=' // at the node, for the first byte of the answer
	markRead    = '#' // for the rest of the answer
	markSending = '~' // until its last byte was sent
)

// formatDuration formats a duration in milliseconds, from 10 s on in seconds.
func formatDuration(d time.Duration) string {
	if d >= 10*time.Second {
		return fmt.Sprintf("%.2f s", d.Seconds())
	}
	return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond))
}

// sanitize replaces control characters in text from clients and nodes, which might
// contain escape sequences for the terminal.
func sanitize(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f || r >= 0x80 && r < 0xa0 {
			return '?'
		}
		return r
	}, text)
}

// writeTable writes rows as aligned columns.
func writeTable(w io.Writer, rows [][]string) error {
	tabs := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(tabs, strings.Join(row, "\t"))
	}
	if err := tabs.Flush(); err != nil {
		return fmt.Errorf("writing a table: %w", err)
	}
	return nil
}

// ListRow returns the columns of a trace in a list: arrival, trace ID, class,
// query, verdict, elapsed time, objective, reasons, and the longest segment of its
// critical path.
func ListRow(t *record.Trace) []string {
	verdict := t.Verdict.String()
	if broker.Verdict(t.Verdict) == broker.Served && !t.Complete {
		verdict += " in part"
	}
	return []string{
		t.Received.UTC().Format("15:04:05.000"), t.ID.String()[:16], sanitize(t.Class), sanitize(t.Query), verdict, formatDuration(t.Elapsed()), formatDuration(t.Objective),
		t.Reasons.String(), describeLongestSegment(t),
	}
}

// describeLongestSegment describes the longest segment of the critical path, "-"
// if the path is empty.
func describeLongestSegment(t *record.Trace) string {
	path := critical.PathOf(t)
	var longest critical.Segment
	for _, s := range path.Segments {
		if s.Duration() > longest.Duration() {
			longest = s
		}
	}
	if longest.Phase == "" {
		return "-"
	}
	text := fmt.Sprintf("%s %s", longest.Phase, formatDuration(longest.Duration()))
	if longest.Attempt >= 0 {
		a := &t.Attempts[longest.Attempt]
		text += fmt.Sprintf(" (%s, %s)", sanitize(a.Node), a.Reason)
	}
	return text
}

// WriteList writes traces as a table.
func WriteList(w io.Writer, traces []*record.Trace) error {
	rows := [][]string{{"CAME (UTC)", "TRACE", "CLASS", "QUERY", "END", "TOOK", "WANTED", "REASONS", "MOST TIME"}}
	for _, t := range traces {
		rows = append(rows, ListRow(t))
	}
	return writeTable(w, rows)
}

// WriteTrace writes one trace: its properties, a waterfall of its attempts and its
// critical path.
func WriteTrace(w io.Writer, t *record.Trace) error {
	path := critical.PathOf(t)
	onPath := map[int]bool{}
	for _, s := range path.Segments {
		onPath[s.Attempt] = true
	}
	completeness := ""
	if broker.Verdict(t.Verdict) == broker.Served && !t.Complete {
		completeness = " in part"
	}
	fmt.Fprintf(w, "trace %s, query %s of class %s, broker %s\n", t.ID, sanitize(t.Query), sanitize(t.Class), sanitize(t.Broker))
	fmt.Fprintf(w, "received %s, %d parts, %s%s after %s; objective %s, deadline after %s\n",
		t.Received.UTC().Format(time.RFC3339Nano), t.Parts, t.Verdict, completeness, formatDuration(t.Elapsed()), formatDuration(t.Objective), formatDuration(t.Budget))
	fmt.Fprintf(w, "reasons %s; kept for %s, sampling probability %.3g\n", t.Reasons, t.KeepReason, t.Probability)
	if t.Parent != (record.SpanID{}) {
		fmt.Fprintf(w, "parent span %s\n", t.Parent)
	}
	if t.RetryAfter > 0 {
		fmt.Fprintf(w, "the client was told to retry after %s\n", formatDuration(t.RetryAfter))
	}
	if len(t.Attempts) == 0 {
		fmt.Fprintln(w, "no attempts were made")
	} else {
		rows := [][]string{{"", "PART", "N", "WHY", "NODE", "0 " + strings.Repeat(" ", barWidth-2-len(formatDuration(t.Elapsed()))) + formatDuration(t.Elapsed()), "END"}}
		for i := range t.Attempts {
			a := &t.Attempts[i]
			mark := ""
			if onPath[i] {
				mark = "*"
			}
			rows = append(rows, []string{
				mark, fmt.Sprint(a.Shard), fmt.Sprint(a.Number), a.Reason.String(), fmt.Sprintf("%s (cell %d)", sanitize(a.Node), a.Cell), timelineBar(t, a), describeOutcome(t, a),
			})
		}
		if err := writeTable(w, rows); err != nil {
			return err
		}
		fmt.Fprintf(w, "%c in the broker or waiting for a connection  %c until its last byte was sent  %c at the node  %c until the answer was complete  * on the critical path\n",
			markWaiting, markSending, markNode, markRead)
	}
	if t.Unrecorded > 0 {
		fmt.Fprintf(w, "%d more attempts were made, of which no details were recorded\n", t.Unrecorded)
	}
	rows := [][]string{{"CRITICAL PATH", "FROM", "TOOK", "ATTEMPT"}}
	for _, s := range path.Segments {
		attempt := "-"
		if s.Attempt >= 0 {
			a := &t.Attempts[s.Attempt]
			attempt = fmt.Sprintf("part %d, %s at %s", a.Shard, a.Reason, sanitize(a.Node))
			if a.Addr != "" {
				attempt += " (" + sanitize(a.Addr) + ")"
			}
		}
		rows = append(rows, []string{string(s.Phase), formatDuration(s.From), formatDuration(s.Duration()), attempt})
	}
	return writeTable(w, rows)
}

// timelineBar returns the bar of an attempt, on a time axis from the arrival of its
// query to its end.
func timelineBar(t *record.Trace, a *record.Attempt) string {
	total := max(t.Elapsed(), 1)
	column := func(o record.Offset) int { return int(int64(o.Duration()) * barWidth / int64(total)) }
	end := a.Ended
	if !end.IsSet() {
		end = record.OffsetOf(total)
	}
	columns := []rune(strings.Repeat(" ", barWidth))
	next := min(column(a.Opened), barWidth-1)
	fill := func(to record.Offset, mark rune) {
		for until := min(column(to), barWidth); next < until; next++ {
			columns[next] = mark
		}
	}
	lastMark := markWaiting
	if a.Connected.IsSet() || !a.DialStarted.IsSet() {
		if a.Connected.IsSet() {
			fill(a.Connected, markWaiting)
		}
		lastMark = markSending
	}
	if a.Sent.IsSet() {
		fill(a.Sent, markSending)
		lastMark = markNode
	}
	if a.FirstByte.IsSet() {
		fill(a.FirstByte, markNode)
		lastMark = markRead
	}
	start := next
	fill(end, lastMark)
	if next == start && start < barWidth && columns[max(0, start-1)] == ' ' { // shorter than one character
		columns[start] = lastMark
	}
	return string(columns)
}

// describeOutcome describes how an attempt ended, or that it has not ended.
func describeOutcome(t *record.Trace, a *record.Attempt) string {
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
	if winner := t.Winner(a.Shard); winner != nil && winner != a {
		text += fmt.Sprintf(", attempt %d won", winner.Number)
	}
	if a.LateAt.IsSet() && a.LateOutcome != nil {
		text += fmt.Sprintf(", %s after all at %s", a.LateOutcome, formatDuration(a.LateAt.Duration()))
	}
	return text
}

// WriteLostTime writes a lost-time report, with at most maxRows rows per table.
func WriteLostTime(w io.Writer, report critical.LostTimeReport, maxRows int) error {
	fmt.Fprintf(w, "%d traces, %d of them bad, representing an estimated %.0f bad queries and %s of lost time\n", report.Traces, report.BadTraces, report.Queries, formatDuration(report.LostTime))
	if report.BaselineTraces > 0 {
		fmt.Fprintf(w, "lost time is the time beyond the mean of the good queries of the class, of which %d were kept\n", report.BaselineTraces)
	} else {
		fmt.Fprintln(w, "no good queries were kept: all the time of the bad ones counts as lost")
	}
	reasons := [][]string{{"REASON", "KEPT"}}
	for _, name := range record.ReasonNames() {
		if kept := report.Reasons[name]; kept > 0 {
			reasons = append(reasons, []string{name, fmt.Sprint(kept)})
		}
	}
	fmt.Fprintln(w)
	if err := writeTable(w, reasons); err != nil {
		return err
	}
	for _, section := range []struct {
		name string
		rows []critical.Row
		key  func(critical.Row) string
	}{
		{"PHASE", report.Phases, func(row critical.Row) string { return string(row.Phase) }},
		{"NODE", report.Nodes, func(row critical.Row) string { return sanitize(row.Node) }},
		{"CELL", report.Cells, func(row critical.Row) string { return row.Cell }},
		{"ATTEMPT", report.AttemptReasons, func(row critical.Row) string { return row.AttemptReason }},
		{"ALL TOGETHER", report.Combined, func(row critical.Row) string {
			return strings.TrimSpace(fmt.Sprintf("%s: %s %s %s", sanitize(row.Class), row.Phase, sanitize(row.Node), row.AttemptReason))
		}},
	} {
		lines := [][]string{{section.name, "LOST", "SHARE", "QUERIES", "KEPT"}}
		for i, row := range section.rows {
			if i == maxRows {
				lines = append(lines, []string{fmt.Sprintf("(%d more)", len(section.rows)-maxRows), "", "", "", ""})
				break
			}
			key := section.key(row)
			if key == "" {
				key = "-"
			}
			lines = append(lines, []string{key, formatDuration(row.LostTime), fmt.Sprintf("%.1f%%", 100*row.Share), fmt.Sprintf("%.1f", row.Queries), fmt.Sprint(row.KeptTraces)})
		}
		fmt.Fprintln(w)
		if err := writeTable(w, lines); err != nil {
			return err
		}
	}
	return nil
}
