// Package wire translates between the simulator's binary frames and the
// events and actions of package decide. It decides nothing.
package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"onyxsail/decide"
)

// Sizes of the parts of a frame, in bytes.
const (
	batchHeaderSize = 20 // header of a batch
	eventSize       = 56
	replyHeaderSize = 12 // header of a reply
	actionSize      = 32
	listEntrySize   = 24 // one entry of a CENSUS
	maxLoadValues   = 4  // values in a load report
	listSlots       = 16 // CENSUS lists that can be known at once
)

// Event codes.
const (
	eventBegin   = 1
	eventList    = 2
	eventCall    = 3
	eventHeaders = 4
	eventSettled = 5
	eventHangup  = 6
	eventWakeup  = 7
	eventPong    = 8
	eventMail    = 9
	eventHalt    = 10
	eventCensus  = 11
)

// Op says what an Item asks of the adapter.
type Op uint8

// The operations.
const (
	OpDeliver Op = iota // hand Event to the root
	OpStart             // start the root with Settings and Seed
	OpStop              // drop the root
)

// Item is one thing in a batch, for one root.
type Item struct {
	Op       Op
	Root     uint32
	Event    decide.Event
	Settings decide.Settings
	Seed     uint64
}

// Batch is one decoded frame.
type Batch struct {
	Now   float64
	Seq   uint32
	Items []Item
}

// Decoder reads batches. It keeps the numbered lists between them.
type Decoder struct {
	r      io.Reader
	buf    bytes.Buffer
	lists  [listSlots][]decide.Member
	filled [listSlots]bool
	loads  []float64
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{r: r} }

var le = binary.LittleEndian

func readFloat64(b []byte) float64 { return math.Float64frombits(le.Uint64(b)) }
func readFloat32(b []byte) float64 { return float64(math.Float32frombits(le.Uint32(b))) }

// addr reads four address bytes and a port.
func readAddr(b []byte) decide.Addr {
	return decide.Addr(uint64(le.Uint32(b)) | uint64(le.Uint16(b[4:]))<<32)
}

// Next reads one batch into b, whose slices are reused. It returns io.EOF at a
// clean end of input.
func (d *Decoder) Next(b *Batch) error {
	d.buf.Reset()
	if n, err := io.CopyN(&d.buf, d.r, batchHeaderSize); err != nil {
		if err == io.EOF && n == 0 {
			return io.EOF
		}
		return truncated("batch header", n, batchHeaderSize, err)
	}
	h := d.buf.Bytes()
	count, size := le.Uint32(h), le.Uint32(h[4:])
	b.Now, b.Seq = readFloat64(h[8:]), le.Uint32(h[16:])
	if want := batchHeaderSize + uint64(count)*eventSize; uint64(size) < want {
		return fmt.Errorf("batch %d: length %d, want at least %d for %d records", b.Seq, size, want, count)
	}
	if b.Now != b.Now || math.IsInf(b.Now, 0) {
		return fmt.Errorf("batch %d: clock is not a finite number", b.Seq)
	}
	if n, err := io.CopyN(&d.buf, d.r, int64(size)-batchHeaderSize); err != nil {
		return truncated(fmt.Sprintf("batch %d", b.Seq), n+batchHeaderSize, int64(size), err)
	}
	body := d.buf.Bytes()[batchHeaderSize:]
	tail := body[int(count)*eventSize:]
	b.Items = b.Items[:0]
	d.loads = d.loads[:0]
	for i := range int(count) {
		if err := d.decodeRecord(b, body[i*eventSize:(i+1)*eventSize], tail); err != nil {
			return fmt.Errorf("batch %d, record %d: %w", b.Seq, i, err)
		}
	}
	return nil
}

func truncated(what string, got, want int64, err error) error {
	if err == io.EOF || errors.Is(err, io.ErrUnexpectedEOF) {
		return fmt.Errorf("%s: input ended after %d bytes, want %d", what, got, want)
	}
	return fmt.Errorf("%s: %w", what, err)
}

// span returns the piece of the tail that an offset and a length name.
func tailRange(tail, field []byte, unit uint64) ([]byte, error) {
	off, n := uint64(le.Uint32(field)), uint64(le.Uint32(field[4:]))*unit
	if off+n > uint64(len(tail)) {
		return nil, fmt.Errorf("tail range %d+%d, want within %d bytes", off, n, len(tail))
	}
	return tail[off : off+n], nil
}

func (d *Decoder) decodeRecord(b *Batch, record, tail []byte) error {
	item := Item{Root: le.Uint32(record[1:])}
	event := &item.Event
	var err error
	switch record[0] {
	case eventCensus:
		return d.decodeCensus(record, tail)
	case eventBegin:
		item.Op, item.Seed = OpStart, le.Uint64(record[5:])
		text, err := tailRange(tail, record[13:], 1)
		if err != nil {
			return err
		}
		if item.Settings, err = ParseSettings(string(text)); err != nil {
			return err
		}
	case eventHalt:
		item.Op = OpStop
	case eventList:
		event.Kind = decide.ListNews
		slot := le.Uint16(record[14:])
		switch record[5] {
		case 0:
			event.List = decide.ListCached
		case 1:
			event.List = decide.ListFull
		case 2:
			event.List = decide.ListDelta
		case 3:
			event.List = decide.ListFailed
		default:
			return fmt.Errorf("list kind %d, want 0 to 3", record[5])
		}
		if event.List != decide.ListFailed {
			if slot >= listSlots || !d.filled[slot] {
				return fmt.Errorf("list slot %d, want one that a census has filled", slot)
			}
			event.Members = d.lists[slot]
		}
	case eventCall:
		event.Kind, event.ID = decide.QueryCame, le.Uint64(record[5:])
		event.Class, event.Tenant, event.Key = int(record[13]), int(le.Uint16(record[14:])), le.Uint64(record[16:])
		event.LeftMs, event.WorkMs, event.Number = readFloat64(record[24:]), readFloat64(record[32:]), readFloat32(record[40:])
		shard, measure := readFloat32(record[44:]), readFloat32(record[48:])
		if !(event.LeftMs >= -1e12 && event.LeftMs <= 1e12) || !(shard > -1e9 && shard < 1e9) || !(measure > -1e9 && measure < 1e9) {
			return fmt.Errorf("call %d: time left, shard or measure is not a plausible number", event.ID)
		}
		if shard >= 0 {
			event.Kind, event.Shard, event.Weight = decide.PartCame, int(shard), measure
		} else {
			event.Parts = int(measure)
		}
		event.Hinted, event.Retry, event.Write = record[52]&1 != 0, record[52]&2 != 0, record[52]&4 != 0
	case eventHeaders:
		event.Kind, event.ID = decide.StreamBegan, le.Uint64(record[5:])
		event.Addr, event.Attempt, event.TookMs = readAddr(record[13:]), int(le.Uint16(record[19:])), readFloat64(record[21:])
	case eventSettled:
		event.Kind, event.ID, event.TookMs = decide.AttemptDone, le.Uint64(record[5:]), readFloat64(record[13:])
		event.Addr, event.Attempt = readAddr(record[22:]), int(le.Uint16(record[28:]))
		if event.Outcome, err = parseOutcome(le.Uint16(record[30:])); err == nil {
			event.Load, err = d.appendLoad(record[32:])
		}
	case eventHangup:
		event.Kind, event.ID = decide.ClientLeft, le.Uint64(record[5:])
	case eventWakeup:
		event.Kind, event.Token = decide.TimerFired, le.Uint64(record[5:])
	case eventPong:
		event.Kind, event.Addr, event.TookMs = decide.ProbeDone, readAddr(record[5:]), readFloat64(record[11:])
		if event.Outcome, err = parseOutcome(le.Uint16(record[19:])); err == nil {
			event.Load, err = d.appendLoad(record[21:])
		}
	case eventMail:
		event.Kind, event.Peer = decide.PeerSaid, int(le.Uint16(record[5:]))
		var text []byte
		text, err = tailRange(tail, record[7:], 1)
		event.Text = bytes.Clone(text)
	default:
		return fmt.Errorf("event code %d, want 1 to %d", record[0], eventCensus)
	}
	b.Items = append(b.Items, item)
	return err
}

func (d *Decoder) decodeCensus(record, tail []byte) error {
	slot := le.Uint16(record[1:])
	if slot >= listSlots {
		return fmt.Errorf("census slot %d, want 0 to %d", slot, listSlots-1)
	}
	list, err := tailRange(tail, record[3:], listEntrySize)
	if err != nil {
		return err
	}
	members := make([]decide.Member, 0, len(list)/listEntrySize) // events may hold the old one
	for ; len(list) > 0; list = list[listEntrySize:] {
		m := decide.Member{
			Addr: readAddr(list), Zone: int(le.Uint16(list[6:])), Kind: int(list[8]),
			Cell: int(le.Uint16(list[9:])), Size: readFloat32(list[12:]), ReadyAt: readFloat64(list[16:]),
		}
		switch list[11] {
		case 1:
			m.State = decide.Ready
		case 2:
			m.State = decide.Gone
		case 3:
			m.State = decide.Draining
		default:
			return fmt.Errorf("census slot %d: state %d, want 1 to 3", slot, list[11])
		}
		members = append(members, m)
	}
	d.lists[slot], d.filled[slot] = members, true
	return nil
}

func parseOutcome(code uint16) (decide.Outcome, error) {
	switch code {
	case 200:
		return decide.OK, nil
	case 500:
		return decide.Failed, nil
	case 503:
		return decide.Rejected, nil
	case 504:
		return decide.TimedOut, nil
	case 502:
		return decide.Unreachable, nil
	case 598:
		return decide.Broken, nil
	case 499:
		return decide.Cancelled, nil
	case 410:
		return decide.NotSent, nil
	}
	return 0, fmt.Errorf("outcome code %d, want 200, 410, 499, 500, 502, 503, 504 or 598", code)
}

func (d *Decoder) appendLoad(report []byte) ([]float64, error) {
	n := int(report[0])
	if n > maxLoadValues {
		return nil, fmt.Errorf("load report of %d values, want %d at most", n, maxLoadValues)
	}
	start := len(d.loads)
	for i := range n {
		d.loads = append(d.loads, readFloat32(report[1+4*i:]))
	}
	return d.loads[start:len(d.loads):len(d.loads)], nil
}

// Encoder builds one reply. It is reset by Bytes.
type Encoder struct {
	records, tail []byte
	count         uint32
}

// Action codes, by kind of action.
var actionCodes = [...]byte{
	decide.Send:      65,
	decide.Refuse:    66,
	decide.Abort:     67,
	decide.Cancel:    68,
	decide.Timer:     69,
	decide.Probe:     70,
	decide.CloseIdle: 71,
	decide.Tell:      72,
	decide.Log:       73,
	decide.Subscribe: 75,
	decide.FetchList: 76,
	decide.Answer:    77,
}

// Add appends an action of a root.
func (e *Encoder) Add(root uint32, a decide.Action) {
	if e.count == 0 {
		e.records = append(e.records[:0], make([]byte, replyHeaderSize)...)
		e.tail = e.tail[:0]
	}
	var record [actionSize]byte
	record[0] = actionCodes[a.Kind]
	le.PutUint32(record[1:], root)
	switch a.Kind {
	case decide.Send:
		le.PutUint64(record[5:], a.ID)
		putAddr(record[13:], a.Addr)
		le.PutUint64(record[19:], math.Float64bits(a.Ms))
	case decide.Cancel:
		le.PutUint64(record[5:], a.ID)
		le.PutUint16(record[13:], uint16(a.Attempt))
	case decide.Timer:
		le.PutUint64(record[5:], math.Float64bits(a.Ms))
		le.PutUint64(record[13:], a.Token)
	case decide.Answer:
		le.PutUint64(record[5:], a.ID)
		record[13] = boolByte(a.Whole)
	case decide.Refuse:
		le.PutUint64(record[5:], a.ID)
		le.PutUint64(record[13:], math.Float64bits(a.Ms))
	case decide.Abort:
		le.PutUint64(record[5:], a.ID)
	case decide.Probe, decide.CloseIdle:
		putAddr(record[5:], a.Addr)
	case decide.Tell:
		le.PutUint32(record[5:], uint32(int32(a.Peer)))
		e.putText(record[9:], a.Text)
	case decide.Log:
		e.putText(record[5:], a.Text)
	case decide.Subscribe:
		record[5] = boolByte(a.Whole)
	}
	e.records = append(e.records, record[:]...)
	e.count++
}

func boolByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}

func putAddr(field []byte, a decide.Addr) {
	le.PutUint32(field, uint32(a))
	le.PutUint16(field[4:], uint16(a>>32))
}

func (e *Encoder) putText(field []byte, s string) {
	le.PutUint32(field, uint32(len(e.tail)))
	le.PutUint32(field[4:], uint32(len(s)))
	e.tail = append(e.tail, s...)
}

// Bytes returns the reply to batch seq and resets the Encoder. The slice is
// valid until the next Add.
func (e *Encoder) Bytes(seq uint32) []byte {
	if e.count == 0 {
		e.records = append(e.records[:0], make([]byte, replyHeaderSize)...)
		e.tail = e.tail[:0]
	}
	e.records = append(e.records, e.tail...)
	le.PutUint32(e.records, uint32(len(e.records)))
	le.PutUint32(e.records[4:], e.count)
	le.PutUint32(e.records[8:], seq)
	e.count = 0
	return e.records
}
