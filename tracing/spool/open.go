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

// The table of open queries is a file of slots, mapped into memory: a write is
// a few stores, and what was stored is in the file also when the process is
// killed right after. A slot holds the query and up to slotTries attempts; of
// further ones the number alone.
const (
	openName  = "open.tab"
	openMagic = "gchopen1"
	openHead  = 64 // magic, slots, size of a slot; the rest is zero
	slotHead  = 192
	trySize   = 64 // a cache line
	slotTries = 61
	slotSize  = slotHead + slotTries*trySize // a page
)

// Invariants of a slot: its first word is slotFree unless all of its head is
// written, and the count of attempts goes up only after the attempt's bytes
// are there. A process dies between two stores, never in one of them.
const (
	slotFree = 0
	slotUsed = 0x7573656e
)

// Offsets in a slot's head.
const (
	hState   = 0
	hTries   = 4 // uint32
	hUnseen  = 8 // uint32
	hParts   = 12
	hTrace   = 16
	hSpan    = 32
	hParent  = 40
	hCame    = 48 // Unix nanoseconds
	hWanted  = 56
	hBudget  = 64
	hTaken   = 72
	hEnded   = 80
	hVerdict = 88
	hFlags   = 89
	hClass   = 90 // length, then up to maxClass bytes
	hQuery   = 123
	maxClass = 32
	maxQuery = 68
)

// Offsets in an attempt. Moments are microseconds after the query came, plus
// one, and stop at an hour and eleven minutes.
const (
	tID      = 0
	tOpened  = 8 // uint32, as those behind it
	tDialed  = 12
	tUp      = 16
	tGone    = 20
	tEnded   = 24
	tShard   = 28
	tN       = 32 // uint16
	tCell    = 34 // uint16
	tWhy     = 36
	tOutcome = 37
	tFlags   = 38
	tNode    = 39 // length, then up to maxNode bytes
	maxNode  = trySize - tNode - 1
)

// moment is an offset as an attempt stores it.
func moment(o record.Offset) uint32 {
	if !o.IsSet() {
		return 0
	}
	return uint32(min(o.Duration().Microseconds()+1, math.MaxUint32))
}

func offset(m uint32) record.Offset {
	if m == 0 {
		return 0
	}
	return record.OffsetOf(time.Duration(m-1) * time.Microsecond)
}

const (
	flagRetry = 1 << iota
	flagSampled
	flagWhole
)

const (
	flagDoubt = 1 << iota
	flagOurs
	flagMayRun
)

// Table is the table of open queries. It is not safe for concurrent use.
type Table struct {
	file *os.File
	b    []byte // nil: the table is not to be had, or was lost
	free []int
	full int64 // queries that found no slot
	lost error
}

// OpenTable maps the table of a spool's folder, which this process must hold
// by Open, with room for so many queries. What an earlier process left open is
// returned; the file keeps it until Reset. unreadable counts slots that cannot
// be made out.
func OpenTable(dir string, slots int) (t *Table, left []*record.Trace, unreadable int, err error) {
	path := filepath.Join(dir, openName)
	if old, err := os.ReadFile(path); err == nil {
		left, unreadable = readTable(old)
	} else if !errors.Is(err, os.ErrNotExist) {
		unreadable++
	}
	// A file of its own, renamed into place by Reset: until what was left is
	// safe elsewhere, a kill must find the old one whole.
	f, err := os.OpenFile(path+".new", os.O_CREATE|os.O_TRUNC|os.O_RDWR, 0o600)
	if err != nil {
		return nil, left, unreadable, fmt.Errorf("making the table of open queries: %w", err)
	}
	size := openHead + slots*slotSize
	// All blocks now: a store into a hole of a full disk would be a fault.
	if err := unix.Fallocate(int(f.Fd()), 0, 0, int64(size)); errors.Is(err, unix.EOPNOTSUPP) {
		_, err = f.Write(make([]byte, size))
		if err != nil {
			_ = f.Close()
			return nil, left, unreadable, fmt.Errorf("filling the table of open queries: %w", err)
		}
	} else if err != nil {
		_ = f.Close()
		return nil, left, unreadable, fmt.Errorf("reserving the table of open queries: %w", err)
	}
	b, err := unix.Mmap(int(f.Fd()), 0, size, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		_ = f.Close()
		return nil, left, unreadable, fmt.Errorf("mapping the table of open queries: %w", err)
	}
	copy(b, openMagic)
	binary.LittleEndian.PutUint32(b[8:], uint32(slots))
	binary.LittleEndian.PutUint32(b[12:], slotSize)
	t = &Table{file: f, b: b}
	for i := slots - 1; i >= 0; i-- {
		t.free = append(t.free, i)
	}
	return t, left, unreadable, nil
}

// Reset puts the new table in the place of the old one, whose queries are in a
// segment by now.
func (t *Table) Reset() error {
	path := t.file.Name()
	if err := os.Rename(path, path[:len(path)-len(".new")]); err != nil {
		return fmt.Errorf("replacing the table of open queries: %w", err)
	}
	return nil
}

// Lost says why the table can no longer be written, nil while it can.
func (t *Table) Lost() error { return t.lost }

// Full counts the queries that found no slot.
func (t *Table) Full() int64 { return t.full }

// guard turns a fault in a store, as when somebody cut the file short, into
// the loss of the table: tracing degrades, serving does not.
func (t *Table) guard() {
	if r := recover(); r != nil {
		err, ok := r.(error)
		if _, fault := r.(interface{ Addr() uintptr }); !ok || !fault {
			panic(r)
		}
		t.lost = fmt.Errorf("writing the table of open queries: %w", err)
		t.b = nil // stays mapped until the process ends
	}
}

func (t *Table) slot(i int) []byte {
	return t.b[openHead+i*slotSize : openHead+(i+1)*slotSize : openHead+(i+1)*slotSize]
}

func store32(b []byte, at int, v uint32) {
	atomic.StoreUint32((*uint32)(unsafe.Pointer(&b[at])), v) // slots and words are aligned
}

// Begin gives a query a slot; -1 where there is none. State, Addr, Answer and
// RetryAfter are not kept, moments are whole microseconds, and long names are
// cut.
func (t *Table) Begin(tr *record.Trace) (slot int) {
	if t.b == nil {
		return -1
	}
	if len(t.free) == 0 {
		t.full++
		return -1
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer t.guard()
	slot = t.free[len(t.free)-1]
	b, le := t.slot(slot), binary.LittleEndian
	store32(b, hState, slotFree)
	store32(b, hTries, 0)
	store32(b, hUnseen, 0)
	le.PutUint32(b[hParts:], uint32(tr.Parts))
	copy(b[hTrace:], tr.ID[:])
	copy(b[hSpan:], tr.Span[:])
	copy(b[hParent:], tr.Parent[:])
	le.PutUint64(b[hCame:], uint64(tr.Received.UnixNano()))
	le.PutUint64(b[hWanted:], uint64(tr.Objective))
	le.PutUint64(b[hBudget:], uint64(tr.Budget))
	le.PutUint64(b[hTaken:], uint64(tr.Accepted))
	le.PutUint64(b[hEnded:], 0)
	b[hVerdict] = byte(record.VerdictOpen)
	b[hFlags] = bit(tr.Retry, flagRetry) | bit(tr.Sampled, flagSampled)
	putText(b[hClass:hClass+1+maxClass], tr.Class)
	putText(b[hQuery:hQuery+1+maxQuery], tr.Query)
	store32(b, hState, slotUsed)
	t.free = t.free[:len(t.free)-1]
	return slot
}

// Attempt writes the i-th attempt of a slot anew.
func (t *Table) Attempt(slot, i int, a *record.Attempt) {
	if slot < 0 || t.b == nil {
		return
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer t.guard()
	s := t.slot(slot)
	if i >= slotTries {
		store32(s, hUnseen, uint32(i+1-slotTries))
		return
	}
	b, le := s[slotHead+i*trySize:slotHead+(i+1)*trySize], binary.LittleEndian
	le.PutUint64(b[tID:], a.ID)
	le.PutUint32(b[tOpened:], moment(a.Opened))
	le.PutUint32(b[tDialed:], moment(a.DialStarted))
	le.PutUint32(b[tUp:], moment(a.Connected))
	le.PutUint32(b[tGone:], moment(a.Sent))
	le.PutUint32(b[tEnded:], moment(a.Ended))
	le.PutUint32(b[tShard:], uint32(a.Shard))
	le.PutUint16(b[tN:], uint16(min(a.Number, math.MaxUint16)))
	le.PutUint16(b[tCell:], uint16(min(max(a.Cell, 0), math.MaxUint16)))
	b[tWhy], b[tOutcome] = byte(a.Reason), byte(a.Outcome)
	b[tFlags] = flags(a)
	putText(b[tNode:], a.Node)
	if n := uint32(i + 1); le.Uint32(s[hTries:]) < n {
		store32(s, hTries, n)
	}
}

// Gone notes that the last byte of a slot's i-th attempt has left.
func (t *Table) Gone(slot, i int, at record.Offset) {
	if slot < 0 || t.b == nil || i >= slotTries {
		return
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer t.guard()
	binary.LittleEndian.PutUint32(t.slot(slot)[slotHead+i*trySize+tGone:], moment(at))
}

// Ended notes the outcome of a slot's i-th attempt.
func (t *Table) Ended(slot, i int, a *record.Attempt) {
	if slot < 0 || t.b == nil || i >= slotTries {
		return
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer t.guard()
	b := t.slot(slot)[slotHead+i*trySize : slotHead+(i+1)*trySize]
	b[tOutcome] = byte(a.Outcome)
	b[tFlags] = flags(a)
	binary.LittleEndian.PutUint32(b[tEnded:], moment(a.Ended))
}

// End notes a query's end: it is over, but not yet written or dropped.
func (t *Table) End(slot int, tr *record.Trace) {
	if slot < 0 || t.b == nil {
		return
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer t.guard()
	b := t.slot(slot)
	b[hVerdict] = byte(tr.Verdict)
	b[hFlags] |= bit(tr.Complete, flagWhole)
	binary.LittleEndian.PutUint64(b[hEnded:], uint64(tr.Ended))
}

// Carry keeps a trace that an earlier process left, for the next start to find
// again. Its slot is never given back.
func (t *Table) Carry(tr *record.Trace) {
	slot := t.Begin(tr)
	for i := range tr.Attempts {
		t.Attempt(slot, i, &tr.Attempts[i])
	}
	if tr.Ended.IsSet() {
		t.End(slot, tr)
	}
}

// Free gives a slot back.
func (t *Table) Free(slot int) {
	if slot < 0 || t.b == nil {
		return
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer t.guard()
	store32(t.slot(slot), hState, slotFree)
	t.free = append(t.free, slot)
}

// Close unmaps the table; nothing may be written to it afterwards.
func (t *Table) Close() error {
	b := t.b
	t.b = nil
	var err error
	if b != nil {
		err = unix.Munmap(b)
	}
	if err = errors.Join(err, t.file.Close()); err != nil {
		return fmt.Errorf("closing the table of open queries: %w", err)
	}
	return nil
}

func flags(a *record.Attempt) byte {
	return bit(a.Suspected, flagDoubt) | bit(a.EndedByBroker, flagOurs) | bit(a.MayStillRun, flagMayRun)
}

func bit(on bool, flag byte) byte {
	if on {
		return flag
	}
	return 0
}

// putText stores a length and as much of the text as there is room for.
func putText(b []byte, text string) { b[0] = byte(copy(b[1:], text)) }

func getText(b []byte) (string, error) {
	if int(b[0]) >= len(b) {
		return "", fmt.Errorf("a text of %d bytes, want %d at most", b[0], len(b)-1)
	}
	return string(b[1 : 1+b[0]]), nil
}

// ReadOpen returns the queries of a folder's table, as a live broker has them
// open or a dead one left them.
func ReadOpen(dir string) (open []*record.Trace, unreadable int, err error) {
	b, err := os.ReadFile(filepath.Join(dir, openName))
	if errors.Is(err, os.ErrNotExist) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("reading the table of open queries: %w", err)
	}
	open, unreadable = readTable(b)
	return open, unreadable, nil
}

// readTable makes out what it can of a table's bytes.
func readTable(b []byte) (left []*record.Trace, unreadable int) {
	if len(b) < openHead || string(b[:8]) != openMagic || binary.LittleEndian.Uint32(b[12:]) != slotSize {
		if len(b) > 0 {
			unreadable++
		}
		return nil, unreadable
	}
	slots := int(binary.LittleEndian.Uint32(b[8:]))
	for i := range slots {
		from := openHead + i*slotSize
		if from+slotSize > len(b) {
			return left, unreadable + 1
		}
		tr, err := readSlot(b[from : from+slotSize])
		switch {
		case err != nil:
			unreadable++
		case tr != nil:
			left = append(left, tr)
		}
	}
	return left, unreadable
}

func readSlot(b []byte) (*record.Trace, error) {
	le := binary.LittleEndian
	switch le.Uint32(b[hState:]) {
	case slotFree:
		return nil, nil
	case slotUsed:
	default:
		return nil, fmt.Errorf("state %x", le.Uint32(b[hState:]))
	}
	t := &record.Trace{
		Parts: int(le.Uint32(b[hParts:])), Received: time.Unix(0, int64(le.Uint64(b[hCame:]))),
		Objective: time.Duration(le.Uint64(b[hWanted:])), Budget: time.Duration(le.Uint64(b[hBudget:])),
		Accepted: record.Offset(le.Uint64(b[hTaken:])), Ended: record.Offset(le.Uint64(b[hEnded:])),
		Verdict: record.Verdict(b[hVerdict]), Unrecorded: int(le.Uint32(b[hUnseen:])), Probability: 1,
		Retry: b[hFlags]&flagRetry != 0, Sampled: b[hFlags]&flagSampled != 0, Complete: b[hFlags]&flagWhole != 0,
	}
	copy(t.ID[:], b[hTrace:])
	copy(t.Span[:], b[hSpan:])
	copy(t.Parent[:], b[hParent:])
	var err1, err2 error
	t.Class, err1 = getText(b[hClass : hClass+1+maxClass])
	t.Query, err2 = getText(b[hQuery : hQuery+1+maxQuery])
	tries := int(le.Uint32(b[hTries:]))
	if err := errors.Join(err1, err2); err != nil {
		return nil, err
	}
	if tries > slotTries || broker.Verdict(t.Verdict) > record.VerdictOpen {
		return nil, fmt.Errorf("%d attempts, verdict %d", tries, t.Verdict)
	}
	for i := range tries {
		a, err := readTry(b[slotHead+i*trySize : slotHead+(i+1)*trySize])
		if err != nil {
			return nil, fmt.Errorf("attempt %d: %w", i, err)
		}
		a.Span = record.AttemptSpan(t.Span, a.ID)
		t.Attempts = append(t.Attempts, a)
	}
	return t, t.Validate()
}

func readTry(b []byte) (record.Attempt, error) {
	le := binary.LittleEndian
	a := record.Attempt{
		ID: le.Uint64(b[tID:]), Shard: int(le.Uint32(b[tShard:])), Number: int(le.Uint16(b[tN:])), Reason: record.AttemptReason(b[tWhy]),
		Outcome: record.Outcome(b[tOutcome]), Cell: int(le.Uint16(b[tCell:])),
		Opened: offset(le.Uint32(b[tOpened:])), DialStarted: offset(le.Uint32(b[tDialed:])), Connected: offset(le.Uint32(b[tUp:])),
		Sent: offset(le.Uint32(b[tGone:])), Ended: offset(le.Uint32(b[tEnded:])),
		Suspected: b[tFlags]&flagDoubt != 0, EndedByBroker: b[tFlags]&flagOurs != 0, MayStillRun: b[tFlags]&flagMayRun != 0,
	}
	if a.Outcome > record.OutcomePending || a.Reason > record.AttemptReason(broker.Trial) {
		return a, fmt.Errorf("outcome %d, reason %d", a.Outcome, a.Reason)
	}
	var err error
	a.Node, err = getText(b[tNode:])
	return a, err
}
