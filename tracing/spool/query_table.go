package spool

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync/atomic"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"

	"onyxsail/broker"
	"onyxsail/tracing/record"
)

// The table of open queries is a memory-mapped file of fixed-size slots, one per
// query. A write takes a few stores, and what was stored is in the file even if
// the process is killed right afterwards. A slot holds the query and up to
// attemptsPerSlot attempts; further attempts are only counted. Integers are
// little-endian. Sizes are in bytes.
const (
	tableName       = "open.tab"
	tableMagic      = "gchopen1"
	tableHeaderSize = 64 // magic, number of slots, slot size; the rest is zero
	slotHeaderSize  = 192
	attemptSize     = 64 // a cache line
	attemptsPerSlot = 61
	slotSize        = slotHeaderSize + attemptsPerSlot*attemptSize // 4096, the size of a page
)

// The values of the first word of a slot. Invariants: the word is slotFree unless
// the whole slot header is written, and the attempt count is increased only after
// the attempt has been stored. A kill takes effect between two stores, never within
// one.
const (
	slotFree = 0
	slotUsed = 0x7573656e
)

// Byte offsets in the slot header and maximum text lengths in bytes. Durations are
// 64-bit, in nanoseconds; accepted and ended are stored as record.Offset.
const (
	offSlotState       = 0
	offAttemptCount    = 4  // uint32
	offUnrecordedCount = 8  // uint32
	offParts           = 12 // uint32
	offTraceID         = 16
	offSpan            = 32
	offParent          = 40
	offReceived        = 48 // Unix nanoseconds
	offObjective       = 56
	offBudget          = 64
	offAccepted        = 72
	offEnded           = 80
	offVerdict         = 88
	offFlags           = 89  // bits such as flagRetry
	offClass           = 90  // length byte, then up to maxClassBytes
	offQuery           = 123 // length byte, then up to maxQueryBytes
	maxClassBytes      = 32
	maxQueryBytes      = 68
)

// Byte offsets in a stored attempt. Times are 32-bit, in microseconds after the
// query's arrival plus one, and saturate after an hour and eleven minutes.
const (
	offAttemptID          = 0
	offAttemptOpened      = 8 // uint32, like the following ones
	offAttemptDialStarted = 12
	offAttemptConnected   = 16
	offAttemptSent        = 20
	offAttemptEnded       = 24
	offAttemptShard       = 28
	offAttemptNumber      = 32 // uint16
	offAttemptCell        = 34 // uint16
	offAttemptReason      = 36
	offAttemptOutcome     = 37
	offAttemptFlags       = 38 // bits such as flagSuspected
	offAttemptNode        = 39 // length byte, then up to maxNodeBytes
	maxNodeBytes          = attemptSize - offAttemptNode - 1
)

// encodeOffset converts an offset to the form in which an attempt stores it, 0 if the
// event did not happen.
func encodeOffset(o record.Offset) uint32 {
	if !o.IsSet() {
		return 0
	}
	return uint32(min(o.Duration().Microseconds()+1, math.MaxUint32))
}

// decodeOffset is the inverse of encodeOffset.
func decodeOffset(stored uint32) record.Offset {
	if stored == 0 {
		return 0
	}
	return record.OffsetOf(time.Duration(stored-1) * time.Microsecond)
}

// Bits of the flags of a query.
const (
	flagRetry = 1 << iota
	flagSampled
	flagComplete
)

// Bits of the flags of an attempt.
const (
	flagSuspected = 1 << iota
	flagEndedByBroker
	flagMayStillRun
)

// QueryTable is the table of open queries. It is not safe for concurrent use. Methods
// that take a slot ignore a negative one, and once a write has faulted, nothing is
// stored any more.
type QueryTable struct {
	file      *os.File
	mapped    []byte // nil: the table is closed, or a write to it faulted
	free      []int  // indexes of the free slots
	overflows int64  // queries for which no slot was free
	fault     error  // why the table can no longer be written
}

// OpenQueryTable creates and maps a table with the given number of slots in the
// directory of a spool, which this process must have locked by Open. It returns
// the queries that were open, or ended but not yet written to a segment, when an
// earlier process ended; the old file keeps them until Commit. unreadable counts
// the slots that cannot be decoded, and 1 for a file that cannot be read. Both are
// returned even with an error, when table is nil.
func OpenQueryTable(dir string, slots int) (table *QueryTable, recovered []*record.Trace, unreadable int, err error) {
	path := filepath.Join(dir, tableName)
	if old, err := os.ReadFile(path); err == nil {
		recovered, unreadable = decodeTable(old)
	} else if !errors.Is(err, os.ErrNotExist) {
		unreadable++
	}
	// The new table is a separate file that Commit renames into place. Until the
	// recovered queries are stored elsewhere, the old file must stay intact, in
	// case this process is killed too.
	file, err := os.OpenFile(path+".new", os.O_CREATE|os.O_TRUNC|os.O_RDWR, 0o600)
	if err != nil {
		return nil, recovered, unreadable, fmt.Errorf("creating the table of open queries: %w", err)
	}
	size := tableHeaderSize + slots*slotSize
	// Allocate all blocks now: a store to an unallocated page of a sparse file
	// raises SIGBUS if the disk is full.
	if err := unix.Fallocate(int(file.Fd()), 0, 0, int64(size)); errors.Is(err, unix.EOPNOTSUPP) {
		_, err = file.Write(make([]byte, size))
		if err != nil {
			_ = file.Close()
			return nil, recovered, unreadable, fmt.Errorf("writing the initial table of open queries: %w", err)
		}
	} else if err != nil {
		_ = file.Close()
		return nil, recovered, unreadable, fmt.Errorf("allocating disk space for the table of open queries: %w", err)
	}
	mapped, err := unix.Mmap(int(file.Fd()), 0, size, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		_ = file.Close()
		return nil, recovered, unreadable, fmt.Errorf("mapping the table of open queries: %w", err)
	}
	copy(mapped, tableMagic)
	binary.LittleEndian.PutUint32(mapped[8:], uint32(slots))
	binary.LittleEndian.PutUint32(mapped[12:], slotSize)
	table = &QueryTable{file: file, mapped: mapped}
	for i := slots - 1; i >= 0; i-- {
		table.free = append(table.free, i)
	}
	return table, recovered, unreadable, nil
}

// Commit replaces the old table file by the new one, by renaming it. The recovered
// queries must have been stored in a segment or in the new table before. Commit is
// called once.
func (t *QueryTable) Commit() error {
	path := t.file.Name()
	if err := os.Rename(path, path[:len(path)-len(".new")]); err != nil {
		return fmt.Errorf("replacing the table of open queries: %w", err)
	}
	return nil
}

// Fault returns why the table can no longer be written, nil while it can.
func (t *QueryTable) Fault() error { return t.fault }

// Overflows returns the number of queries for which no slot was free.
func (t *QueryTable) Overflows() int64 { return t.overflows }

// recoverFault, when deferred, handles a memory fault in a store, which occurs
// for example after the file was truncated: the table is disabled, and the
// process continues to serve queries. Other panics continue.
func (t *QueryTable) recoverFault() {
	if cause := recover(); cause != nil {
		err, ok := cause.(error)
		if _, isFault := cause.(interface{ Addr() uintptr }); !ok || !isFault {
			panic(cause)
		}
		t.fault = fmt.Errorf("writing the table of open queries: %w", err)
		t.mapped = nil // the mapping remains until the process ends
	}
}

// slotBytes returns the i-th slot.
func (t *QueryTable) slotBytes(i int) []byte {
	return t.mapped[tableHeaderSize+i*slotSize : tableHeaderSize+(i+1)*slotSize : tableHeaderSize+(i+1)*slotSize]
}

// storeUint32 stores a word of a slot in a single store, ordered after earlier ones.
func storeUint32(slot []byte, off int, value uint32) {
	atomic.StoreUint32((*uint32)(unsafe.Pointer(&slot[off])), value) // slots and words are aligned
}

// Add stores an open query in a free slot and returns its index, -1 if none is free or
// the table has faulted. Attempts are stored by PutAttempt. The table never holds the
// broker, TraceState, RetryAfter, the sampler's decision or, of attempts, Addr,
// FirstByte, Abandoned and the late outcome. Times of attempts are rounded down to
// microseconds, and long names are truncated.
func (t *QueryTable) Add(tr *record.Trace) (slot int) {
	if t.mapped == nil {
		return -1
	}
	if len(t.free) == 0 {
		t.overflows++
		return -1
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer t.recoverFault()
	slot = t.free[len(t.free)-1]
	header, le := t.slotBytes(slot), binary.LittleEndian
	storeUint32(header, offSlotState, slotFree)
	storeUint32(header, offAttemptCount, 0)
	storeUint32(header, offUnrecordedCount, 0)
	le.PutUint32(header[offParts:], uint32(tr.Parts))
	copy(header[offTraceID:], tr.ID[:])
	copy(header[offSpan:], tr.Span[:])
	copy(header[offParent:], tr.Parent[:])
	le.PutUint64(header[offReceived:], uint64(tr.Received.UnixNano()))
	le.PutUint64(header[offObjective:], uint64(tr.Objective))
	le.PutUint64(header[offBudget:], uint64(tr.Budget))
	le.PutUint64(header[offAccepted:], uint64(tr.Accepted))
	le.PutUint64(header[offEnded:], 0)
	header[offVerdict] = byte(record.VerdictOpen)
	header[offFlags] = flagIf(tr.Retry, flagRetry) | flagIf(tr.Sampled, flagSampled)
	putText(header[offClass:offClass+1+maxClassBytes], tr.Class)
	putText(header[offQuery:offQuery+1+maxQueryBytes], tr.Query)
	storeUint32(header, offSlotState, slotUsed)
	t.free = t.free[:len(t.free)-1]
	return slot
}

// PutAttempt stores the i-th attempt of a slot, replacing what was stored of it. An
// attempt beyond attemptsPerSlot is only counted.
func (t *QueryTable) PutAttempt(slot, i int, a *record.Attempt) {
	if slot < 0 || t.mapped == nil {
		return
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer t.recoverFault()
	slotData := t.slotBytes(slot)
	if i >= attemptsPerSlot {
		storeUint32(slotData, offUnrecordedCount, uint32(i+1-attemptsPerSlot))
		return
	}
	data, le := slotData[slotHeaderSize+i*attemptSize:slotHeaderSize+(i+1)*attemptSize], binary.LittleEndian
	le.PutUint64(data[offAttemptID:], a.ID)
	le.PutUint32(data[offAttemptOpened:], encodeOffset(a.Opened))
	le.PutUint32(data[offAttemptDialStarted:], encodeOffset(a.DialStarted))
	le.PutUint32(data[offAttemptConnected:], encodeOffset(a.Connected))
	le.PutUint32(data[offAttemptSent:], encodeOffset(a.Sent))
	le.PutUint32(data[offAttemptEnded:], encodeOffset(a.Ended))
	le.PutUint32(data[offAttemptShard:], uint32(a.Shard))
	le.PutUint16(data[offAttemptNumber:], uint16(min(a.Number, math.MaxUint16)))
	le.PutUint16(data[offAttemptCell:], uint16(min(max(a.Cell, 0), math.MaxUint16)))
	data[offAttemptReason], data[offAttemptOutcome] = byte(a.Reason), byte(a.Outcome)
	data[offAttemptFlags] = attemptFlags(a)
	putText(data[offAttemptNode:], a.Node)
	if n := uint32(i + 1); le.Uint32(slotData[offAttemptCount:]) < n {
		storeUint32(slotData, offAttemptCount, n)
	}
}

// PutSent stores when the last byte of the i-th attempt of a slot was sent, if the slot
// holds that attempt.
func (t *QueryTable) PutSent(slot, i int, at record.Offset) {
	if slot < 0 || t.mapped == nil || i >= attemptsPerSlot {
		return
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer t.recoverFault()
	binary.LittleEndian.PutUint32(t.slotBytes(slot)[slotHeaderSize+i*attemptSize+offAttemptSent:], encodeOffset(at))
}

// PutOutcome stores the outcome, the flags and the end of the i-th attempt of a slot, if
// the slot holds that attempt.
func (t *QueryTable) PutOutcome(slot, i int, a *record.Attempt) {
	if slot < 0 || t.mapped == nil || i >= attemptsPerSlot {
		return
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer t.recoverFault()
	data := t.slotBytes(slot)[slotHeaderSize+i*attemptSize : slotHeaderSize+(i+1)*attemptSize]
	data[offAttemptOutcome] = byte(a.Outcome)
	data[offAttemptFlags] = attemptFlags(a)
	binary.LittleEndian.PutUint32(data[offAttemptEnded:], encodeOffset(a.Ended))
}

// EndQuery stores that a query has ended. Its slot stays in use until Free, as the
// trace has not yet been written to a segment or dropped.
func (t *QueryTable) EndQuery(slot int, tr *record.Trace) {
	if slot < 0 || t.mapped == nil {
		return
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer t.recoverFault()
	header := t.slotBytes(slot)
	header[offVerdict] = byte(tr.Verdict)
	header[offFlags] |= flagIf(tr.Complete, flagComplete)
	binary.LittleEndian.PutUint64(header[offEnded:], uint64(tr.Ended))
}

// CarryOver stores a recovered trace again, so that the next process finds it. Its
// slot is not freed by this process. If no slot is free, the trace is not stored.
func (t *QueryTable) CarryOver(tr *record.Trace) {
	slot := t.Add(tr)
	for i := range tr.Attempts {
		t.PutAttempt(slot, i, &tr.Attempts[i])
	}
	if tr.Ended.IsSet() {
		t.EndQuery(slot, tr)
	}
}

// Free marks a slot as free.
func (t *QueryTable) Free(slot int) {
	if slot < 0 || t.mapped == nil {
		return
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer t.recoverFault()
	storeUint32(t.slotBytes(slot), offSlotState, slotFree)
	t.free = append(t.free, slot)
}

// Close unmaps the table, which must not be used afterwards.
func (t *QueryTable) Close() error {
	mapped := t.mapped
	t.mapped = nil
	var err error
	if mapped != nil {
		err = unix.Munmap(mapped)
	}
	if err = errors.Join(err, t.file.Close()); err != nil {
		return fmt.Errorf("closing the table of open queries: %w", err)
	}
	return nil
}

// attemptFlags returns the flags that an attempt stores.
func attemptFlags(a *record.Attempt) byte {
	return flagIf(a.Suspected, flagSuspected) | flagIf(a.EndedByBroker, flagEndedByBroker) | flagIf(a.MayStillRun, flagMayStillRun)
}

// flagIf returns flag if set is true, else 0.
func flagIf(set bool, flag byte) byte {
	if set {
		return flag
	}
	return 0
}

// putText stores a length byte and as much of the text as fits into dst.
func putText(dst []byte, text string) { dst[0] = byte(copy(dst[1:], text)) }

// getText returns a text that putText stored. It fails if the length byte exceeds src.
func getText(src []byte) (string, error) {
	if int(src[0]) >= len(src) {
		return "", fmt.Errorf("text of %d bytes, want at most %d", src[0], len(src)-1)
	}
	return string(src[1 : 1+src[0]]), nil
}

// ReadOpenQueries returns the queries in the table of a spool's directory. If a broker
// runs there, these are its open queries and the ended ones that it has not yet written
// to a segment; otherwise, those that were so when the last broker ended. unreadable
// counts the slots that cannot be decoded. Without a table there are no queries.
func ReadOpenQueries(dir string) (open []*record.Trace, unreadable int, err error) {
	data, err := os.ReadFile(filepath.Join(dir, tableName))
	if errors.Is(err, os.ErrNotExist) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("reading the table of open queries: %w", err)
	}
	open, unreadable = decodeTable(data)
	return open, unreadable, nil
}

// decodeTable decodes every readable slot of a table and counts the others. An invalid
// table header counts as one slot, and so do all slots that a truncation cut off.
func decodeTable(data []byte) (queries []*record.Trace, unreadable int) {
	if len(data) < tableHeaderSize || string(data[:8]) != tableMagic || binary.LittleEndian.Uint32(data[12:]) != slotSize {
		if len(data) > 0 {
			unreadable++
		}
		return nil, unreadable
	}
	slots := int(binary.LittleEndian.Uint32(data[8:]))
	for i := range slots {
		start := tableHeaderSize + i*slotSize
		if start+slotSize > len(data) {
			return queries, unreadable + 1
		}
		tr, err := decodeSlot(data[start : start+slotSize])
		switch {
		case err != nil:
			unreadable++
		case tr != nil:
			queries = append(queries, tr)
		}
	}
	return queries, unreadable
}

// decodeSlot returns the query in a slot, nil if the slot is free.
func decodeSlot(data []byte) (*record.Trace, error) {
	le := binary.LittleEndian
	switch le.Uint32(data[offSlotState:]) {
	case slotFree:
		return nil, nil
	case slotUsed:
	default:
		return nil, fmt.Errorf("invalid slot state %x", le.Uint32(data[offSlotState:]))
	}
	t := &record.Trace{
		Parts: int(le.Uint32(data[offParts:])), Received: time.Unix(0, int64(le.Uint64(data[offReceived:]))),
		Objective: time.Duration(le.Uint64(data[offObjective:])), Budget: time.Duration(le.Uint64(data[offBudget:])),
		Accepted: record.Offset(le.Uint64(data[offAccepted:])), Ended: record.Offset(le.Uint64(data[offEnded:])),
		Verdict: record.Verdict(data[offVerdict]), Unrecorded: int(le.Uint32(data[offUnrecordedCount:])), Probability: 1,
		Retry: data[offFlags]&flagRetry != 0, Sampled: data[offFlags]&flagSampled != 0, Complete: data[offFlags]&flagComplete != 0,
	}
	copy(t.ID[:], data[offTraceID:])
	copy(t.Span[:], data[offSpan:])
	copy(t.Parent[:], data[offParent:])
	var classErr, queryErr error
	t.Class, classErr = getText(data[offClass : offClass+1+maxClassBytes])
	t.Query, queryErr = getText(data[offQuery : offQuery+1+maxQueryBytes])
	attempts := int(le.Uint32(data[offAttemptCount:]))
	if err := errors.Join(classErr, queryErr); err != nil {
		return nil, err
	}
	if attempts > attemptsPerSlot || broker.Verdict(t.Verdict) > record.VerdictOpen {
		return nil, fmt.Errorf("invalid slot: %d attempts, verdict %d", attempts, t.Verdict)
	}
	for i := range attempts {
		a, err := decodeAttempt(data[slotHeaderSize+i*attemptSize : slotHeaderSize+(i+1)*attemptSize])
		if err != nil {
			return nil, fmt.Errorf("attempt %d: %w", i, err)
		}
		a.Span = record.AttemptSpan(t.Span, a.ID)
		t.Attempts = append(t.Attempts, a)
	}
	return t, t.Validate()
}

// decodeAttempt decodes a stored attempt, except for its span ID, which is derived.
func decodeAttempt(data []byte) (record.Attempt, error) {
	le := binary.LittleEndian
	a := record.Attempt{
		ID: le.Uint64(data[offAttemptID:]), Shard: int(le.Uint32(data[offAttemptShard:])), Number: int(le.Uint16(data[offAttemptNumber:])),
		Reason:  record.AttemptReason(data[offAttemptReason]),
		Outcome: record.Outcome(data[offAttemptOutcome]), Cell: int(le.Uint16(data[offAttemptCell:])),
		Opened: decodeOffset(le.Uint32(data[offAttemptOpened:])), DialStarted: decodeOffset(le.Uint32(data[offAttemptDialStarted:])),
		Connected: decodeOffset(le.Uint32(data[offAttemptConnected:])),
		Sent:      decodeOffset(le.Uint32(data[offAttemptSent:])), Ended: decodeOffset(le.Uint32(data[offAttemptEnded:])),
		Suspected: data[offAttemptFlags]&flagSuspected != 0, EndedByBroker: data[offAttemptFlags]&flagEndedByBroker != 0,
		MayStillRun: data[offAttemptFlags]&flagMayStillRun != 0,
	}
	if a.Outcome > record.OutcomePending || a.Reason > record.AttemptReason(broker.ReasonProbation) {
		return a, fmt.Errorf("invalid attempt: outcome %d, reason %d", a.Outcome, a.Reason)
	}
	var err error
	a.Node, err = getText(data[offAttemptNode:])
	return a, err
}
