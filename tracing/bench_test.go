package tracing

import (
	"context"
	"io"
	"testing"
	"time"

	"onyxsail/broker"
	"onyxsail/decide"
)

// BenchmarkGoodQuery measures the tracer's own cost of a good query of four parts, once
// in memory only and once with the table of open queries.
func BenchmarkGoodQuery(b *testing.B) {
	for _, c := range []struct {
		name string
		dir  string
	}{{"memory", ""}, {"table", b.TempDir()}} {
		b.Run(c.name, func(b *testing.B) {
			tr := startWithoutWriter(b, Config{Dir: c.dir}, io.Discard, nil)
			q := newQuery("a-query-of-usual-length", tr.start)
			q.Parts = make([]broker.Part, 4)
			reply := &broker.Reply{Complete: true}
			at := tr.start.Add(time.Millisecond)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				id := broker.QueryID(i + 1)
				tr.QueryReceived(id, q, at)
				for n := range 4 {
					tr.AttemptOpened(broker.AttemptInfo{ID: broker.AttemptID(4*i + n + 1), QueryID: id, Shard: n, Node: "s-5be2a07c", OpenedAt: at})
				}
				for n := range 4 {
					attempt := broker.AttemptID(4*i + n + 1)
					tr.PhaseReached(attempt, broker.WireSent, "127.0.0.1:8000", at)
					tr.AttemptEnded(attempt, decide.OK, broker.EndedByNode, at, at)
				}
				tr.QueryEnded(id, reply, at)
			}
			b.StopTimer()
			tr.Close(context.Background())
		})
	}
}
