// Package wire translates between the simulator's binary frames and the events and actions of
// package decide, and makes no decisions of its own. All numbers in a frame are little-endian.
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

// Sizes of the parts of a frame, in bytes but for two counts.
const (
	batchHeaderSize = 20
	eventSize       = 56
	replyHeaderSize = 12
	actionSize      = 32
	listEntrySize   = 24 // a node in the list of a CENSUS event
	maxLoadValues   = 4  // a count: the values in a load report
	listSlots       = 16 // a count: the numbered slots for node lists
)

// The codes of the events, named as in the simulator's protocol.
const (
	eventBegin   = 1  // a root starts
	eventList    = 2  // a root receives the node list of a numbered slot
	eventCall    = 3  // a root receives a query or a part
	eventHeaders = 4  // the response stream of an attempt has begun
	eventSettled = 5  // an attempt has ended
	eventHangup  = 6  // a client has disconnected
	eventWakeup  = 7  // a timer has fired
	eventPong    = 8  // a probe has ended
	eventMail    = 9  // a root receives a message of a peer
	eventHalt    = 10 // a root stops
	eventCensus  = 11 // fills a numbered slot with a node list, for the LIST events that follow
)

// Op is what the adapter must do with an Item.
type Op uint8

// The operations.
const (
	// OpDeliver passes Event to the root.
	OpDeliver Op = iota
	// OpStart starts the root, anew if it runs, with Settings and Seed.
	OpStart
	// OpStop stops the root.
	OpStop
)

// Item is one decoded event of a batch, for one root.
type Item struct {
	Op       Op
	Root     uint32
	Event    decide.Event    // for OpDeliver
	Settings decide.Settings // for OpStart
	Seed     uint64          // for OpStart
}

// Batch is one decoded frame: the events that occur at the same time, in order.
type Batch struct {
	Now   float64 // the simulator's clock, in milliseconds
	Seq   uint32  // the number that the reply must repeat
	Items []Item
}

// Decoder reads batches. It keeps the node lists of the numbered slots between them.
type Decoder struct {
	r      io.Reader
	buf    bytes.Buffer
	lists  [listSlots][]decide.Member
	filled [listSlots]bool
	loads  []float64 // the storage of the current batch's load reports
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{r: r} }

// le is the byte order of all numbers in a frame.
var le = binary.LittleEndian

// readFloat64 reads a number of eight bytes.
func readFloat64(b []byte) float64 { return math.Float64frombits(le.Uint64(b)) }

// readFloat32 reads a number of four bytes.
func readFloat32(b []byte) float64 { return float64(math.Float32frombits(le.Uint32(b))) }

// readAddr reads an IPv4 address of four bytes and a port of two.
func readAddr(b []byte) decide.Addr {
	return decide.Addr(uint64(le.Uint32(b)) | uint64(le.Uint16(b[4:]))<<32)
}

// Next reads one batch into b, whose slice of items is reused. The load reports of its events
// are valid until the next call. It returns io.EOF if the input ends between two batches; after
// any other error b is incomplete.
func (d *Decoder) Next(b *Batch) error {
	d.buf.Reset()
	if n, err := io.CopyN(&d.buf, d.r, batchHeaderSize); err != nil {
		if err == io.EOF && n == 0 {
			return io.EOF
		}
		return truncated("batch header", n, batchHeaderSize, err)
	}
	header := d.buf.Bytes()
	count, size := le.Uint32(header), le.Uint32(header[4:])
	b.Now, b.Seq = readFloat64(header[8:]), le.Uint32(header[16:])
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

// truncated returns the error for a read that ended after got of want bytes.
func truncated(what string, got, want int64, err error) error {
	if err == io.EOF || errors.Is(err, io.ErrUnexpectedEOF) {
		return fmt.Errorf("%s: input ended after %d bytes, want %d", what, got, want)
	}
	return fmt.Errorf("%s: %w", what, err)
}

// tailRange returns the part of the tail that the field gives: an offset in bytes and a length
// in units of the given number of bytes.
func tailRange(tail, field []byte, unit uint64) ([]byte, error) {
	offset, length := uint64(le.Uint32(field)), uint64(le.Uint32(field[4:]))*unit
	if offset+length > uint64(len(tail)) {
		return nil, fmt.Errorf("tail range %d+%d, want within %d bytes", offset, length, len(tail))
	}
	return tail[offset : offset+length], nil
}

// decodeRecord decodes one record and appends its item to b; a CENSUS event gives no item.
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
		event.Kind = decide.ListUpdate
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
				return fmt.Errorf("list slot %d, want one that a CENSUS event has filled", slot)
			}
			event.Members = d.lists[slot]
		}
	case eventCall:
		event.Kind, event.ID = decide.QueryArrived, le.Uint64(record[5:])
		event.Class, event.Tenant, event.Key = int(record[13]), int(le.Uint16(record[14:])), le.Uint64(record[16:])
		event.TimeLeftMs, event.EstimatedWorkMs, event.Number = readFloat64(record[24:]), readFloat64(record[32:]), readFloat32(record[40:])
		shard, measure := readFloat32(record[44:]), readFloat32(record[48:])
		if !(event.TimeLeftMs >= -1e12 && event.TimeLeftMs <= 1e12) || !(shard > -1e9 && shard < 1e9) || !(measure > -1e9 && measure < 1e9) {
			return fmt.Errorf("call %d: time left, shard or measure is out of range or not a number", event.ID)
		}
		if shard >= 0 {
			event.Kind, event.Shard, event.Weight = decide.PartArrived, int(shard), measure
		} else {
			event.Parts = int(measure)
		}
		event.HasEstimate, event.Retry, event.Write = record[52]&1 != 0, record[52]&2 != 0, record[52]&4 != 0
	case eventHeaders:
		event.Kind, event.ID = decide.StreamStarted, le.Uint64(record[5:])
		event.Addr, event.Attempt, event.ElapsedMs = readAddr(record[13:]), int(le.Uint16(record[19:])), readFloat64(record[21:])
	case eventSettled:
		event.Kind, event.ID, event.ElapsedMs = decide.AttemptDone, le.Uint64(record[5:]), readFloat64(record[13:])
		event.Addr, event.Attempt = readAddr(record[22:]), int(le.Uint16(record[28:]))
		if event.Outcome, err = parseOutcome(le.Uint16(record[30:])); err == nil {
			event.Load, err = d.appendLoad(record[32:])
		}
	case eventHangup:
		event.Kind, event.ID = decide.ClientDisconnected, le.Uint64(record[5:])
	case eventWakeup:
		event.Kind, event.Token = decide.TimerFired, le.Uint64(record[5:])
	case eventPong:
		event.Kind, event.Addr, event.ElapsedMs = decide.ProbeDone, readAddr(record[5:]), readFloat64(record[11:])
		if event.Outcome, err = parseOutcome(le.Uint16(record[19:])); err == nil {
			event.Load, err = d.appendLoad(record[21:])
		}
	case eventMail:
		event.Kind, event.Peer = decide.PeerMessage, int(le.Uint16(record[5:]))
		var text []byte
		text, err = tailRange(tail, record[7:], 1)
		event.Text = bytes.Clone(text)
	default:
		return fmt.Errorf("event code %d, want 1 to %d", record[0], eventCensus)
	}
	b.Items = append(b.Items, item)
	return err
}

// decodeCensus decodes a node list into its slot.
func (d *Decoder) decodeCensus(record, tail []byte) error {
	slot := le.Uint16(record[1:])
	if slot >= listSlots {
		return fmt.Errorf("CENSUS slot %d, want 0 to %d", slot, listSlots-1)
	}
	list, err := tailRange(tail, record[3:], listEntrySize)
	if err != nil {
		return err
	}
	members := make([]decide.Member, 0, len(list)/listEntrySize) // a new slice, since earlier events of the batch may refer to the old one
	for ; len(list) > 0; list = list[listEntrySize:] {
		member := decide.Member{
			Addr: readAddr(list), Zone: int(le.Uint16(list[6:])), Kind: int(list[8]),
			Cell: int(le.Uint16(list[9:])), Size: readFloat32(list[12:]), ReadyAt: readFloat64(list[16:]),
		}
		switch list[11] {
		case 1:
			member.State = decide.Ready
		case 2:
			member.State = decide.Removed
		case 3:
			member.State = decide.Draining
		default:
			return fmt.Errorf("CENSUS slot %d: state %d, want 1 to 3", slot, list[11])
		}
		members = append(members, member)
	}
	d.lists[slot], d.filled[slot] = members, true
	return nil
}

// parseOutcome maps an outcome code, which resembles an HTTP status, to an outcome.
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
		return decide.ConnectionLost, nil
	case 499:
		return decide.Cancelled, nil
	case 410:
		return decide.NotSent, nil
	}
	return 0, fmt.Errorf("outcome code %d, want 200, 410, 499, 500, 502, 503, 504 or 598", code)
}

// appendLoad decodes a load report into d.loads and returns its values.
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

// Encoder builds one reply at a time: Bytes ends a reply, and the next Add begins another. The
// zero value is ready for use.
type Encoder struct {
	records, tail []byte
	count         uint32
}

// actionCodes has the protocol's code of each kind of action.
var actionCodes = [...]byte{
	decide.Send:        65,
	decide.Refuse:      66,
	decide.Abort:       67,
	decide.Cancel:      68,
	decide.Timer:       69,
	decide.Probe:       70,
	decide.CloseIdle:   71,
	decide.MessagePeer: 72,
	decide.Log:         73,
	decide.Subscribe:   75,
	decide.FetchList:   76,
	decide.Answer:      77,
}

// Add appends an action of a root to the reply.
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
		record[13] = boolByte(a.Complete)
	case decide.Refuse:
		le.PutUint64(record[5:], a.ID)
		le.PutUint64(record[13:], math.Float64bits(a.Ms))
	case decide.Abort:
		le.PutUint64(record[5:], a.ID)
	case decide.Probe, decide.CloseIdle:
		putAddr(record[5:], a.Addr)
	case decide.MessagePeer:
		le.PutUint32(record[5:], uint32(int32(a.Peer)))
		e.putText(record[9:], a.Text)
	case decide.Log:
		e.putText(record[5:], a.Text)
	case decide.Subscribe:
		record[5] = boolByte(a.Complete)
	}
	e.records = append(e.records, record[:]...)
	e.count++
}

// boolByte returns 1 for true and 0 for false.
func boolByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// putAddr writes an IPv4 address of four bytes and a port of two.
func putAddr(field []byte, a decide.Addr) {
	le.PutUint32(field, uint32(a))
	le.PutUint16(field[4:], uint16(a>>32))
}

// putText appends the text to the tail and writes its offset and length to the field.
func (e *Encoder) putText(field []byte, text string) {
	le.PutUint32(field, uint32(len(e.tail)))
	le.PutUint32(field[4:], uint32(len(text)))
	e.tail = append(e.tail, text...)
}

// Bytes returns the reply to batch seq and resets the Encoder. The slice is valid until the
// next call of Add or Bytes.
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
