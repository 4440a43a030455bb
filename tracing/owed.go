package tracing

import (
	"onyxsail/tracing/record"
	"onyxsail/tracing/spool"
)

// spoolRecord is one record for the spool.
type spoolRecord struct {
	kind    spool.Kind
	payload []byte
	cause   spool.DropCause // why it is not written yet
}

// owed holds the records that the spool's disk has not taken, the oldest first, within a
// bound of bytes. The tracer's goroutine alone uses it.
type owed struct {
	records []spoolRecord
	bytes   int
	most    int // bytes
}

// add takes a record in, and returns those that it pushes out.
func (o *owed) add(r spoolRecord) (out []spoolRecord) {
	o.records = append(o.records, r)
	o.bytes += len(r.payload)
	for o.bytes > o.most {
		out = append(out, o.take())
	}
	return out
}

// take removes the oldest record.
func (o *owed) take() spoolRecord {
	r := o.records[0]
	o.records[0] = spoolRecord{} // or the array's start would keep it
	o.records = o.records[1:]
	o.bytes -= len(r.payload)
	return r
}

// passes says whether a record that was not written may be written later.
func passes(cause spool.DropCause) bool {
	return cause == spool.DropPaused || cause == spool.DropFailed
}

// store writes records to the spool, behind those that a disk which failed still owes.
func (t *Tracer) store(traces []*record.Trace, notes []record.LateOutcome) {
	for _, tr := range traces {
		if data, err := record.Encode(tr); err == nil {
			t.owe(spoolRecord{kind: spool.KindTrace, payload: data})
		}
	}
	for _, n := range notes {
		if data, err := spool.EncodeLateOutcome(n); err == nil {
			t.owe(spoolRecord{kind: spool.KindLateOutcome, payload: data})
		}
	}
	t.settle()
}

// owe puts a record behind all that is to be written.
func (t *Tracer) owe(r spoolRecord) {
	r.cause = spool.DropPaused
	for _, out := range t.owed.add(r) {
		t.spool.CountDropped(out.cause)
	}
}

// settle writes what is owed, until the disk fails.
func (t *Tracer) settle() {
	for len(t.owed.records) > 0 {
		oldest := &t.owed.records[0]
		cause := t.spool.TryAppend(oldest.kind, oldest.payload)
		if passes(cause) {
			if cause == spool.DropFailed || oldest.cause != spool.DropFailed {
				oldest.cause = cause
			}
			return
		}
		t.owed.take()
		if cause != spool.DropNone {
			t.spool.CountDropped(cause)
		}
	}
}

// spoolCounts are the spool's, with what is owed among the dropped: it is on no disk.
func (t *Tracer) spoolCounts() spool.Counts {
	c := t.spool.Counts()
	for _, r := range t.owed.records {
		c.Dropped[r.cause]++
	}
	return c
}
