package tracing

import (
	"onyxsail/tracing/record"
	"onyxsail/tracing/spool"
)

// spoolRecord is a record to be written to the spool.
type spoolRecord struct {
	kind    spool.Kind
	payload []byte
	cause   spool.DropCause // counted for it while it is queued, and if it is evicted
}

// writeQueue holds the records that have not yet been written to the spool's disk,
// oldest first, up to maxBytes. Only the tracer's writer goroutine uses it.
type writeQueue struct {
	records  []spoolRecord
	bytes    int // size of the payloads
	maxBytes int // upper bound of bytes
}

// push appends a record. To stay within maxBytes it removes the oldest records, which may
// include the new one, and returns them.
func (q *writeQueue) push(r spoolRecord) (evicted []spoolRecord) {
	q.records = append(q.records, r)
	q.bytes += len(r.payload)
	for q.bytes > q.maxBytes {
		evicted = append(evicted, q.popOldest())
	}
	return evicted
}

// popOldest removes and returns the oldest record. The queue must not be empty.
func (q *writeQueue) popOldest() spoolRecord {
	r := q.records[0]
	q.records[0] = spoolRecord{} // so that the backing array does not retain the payload
	q.records = q.records[1:]
	q.bytes -= len(r.payload)
	return r
}

// isTransient reports whether a record that was not written for this cause may be
// written later.
func isTransient(cause spool.DropCause) bool {
	return cause == spool.DropPaused || cause == spool.DropFailed
}

// writeToSpool writes traces and late outcomes to the spool, after the records still
// queued from an earlier disk failure. What cannot be written now is queued.
func (t *Tracer) writeToSpool(traces []*record.Trace, lateOutcomes []record.LateOutcome) {
	for _, tr := range traces {
		if data, err := record.Encode(tr); err == nil {
			t.queueWrite(spoolRecord{kind: spool.KindTrace, payload: data})
		}
	}
	for _, late := range lateOutcomes {
		if data, err := spool.EncodeLateOutcome(late); err == nil {
			t.queueWrite(spoolRecord{kind: spool.KindLateOutcome, payload: data})
		}
	}
	t.flushQueue()
}

// queueWrite appends a record to the write queue and counts what the queue evicts for it
// as dropped.
func (t *Tracer) queueWrite(r spoolRecord) {
	r.cause = spool.DropPaused
	for _, evicted := range t.spoolQueue.push(r) {
		t.spool.CountDropped(evicted.cause)
	}
}

// flushQueue writes queued records to the spool until the queue is empty or a write fails
// for a transient cause. Records that can never be written are dropped and counted.
func (t *Tracer) flushQueue() {
	for len(t.spoolQueue.records) > 0 {
		oldest := &t.spoolQueue.records[0]
		cause := t.spool.TryAppend(oldest.kind, oldest.payload)
		if isTransient(cause) {
			if cause == spool.DropFailed || oldest.cause != spool.DropFailed {
				oldest.cause = cause
			}
			return
		}
		t.spoolQueue.popOldest()
		if cause != spool.DropNone {
			t.spool.CountDropped(cause)
		}
	}
}

// spoolCounts returns the spool's counts. Queued records count as dropped as long as
// they are not on disk.
func (t *Tracer) spoolCounts() spool.Counts {
	c := t.spool.Counts()
	for _, r := range t.spoolQueue.records {
		c.Dropped[r.cause]++
	}
	return c
}
