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
	headSize   = 20 // header of a batch
	eventSize  = 56
	replySize  = 12 // header of a reply
	actionSize = 32
	entrySize  = 24 // one entry of a CENSUS
	loadMax    = 4  // values in a load report
	slots      = 16 // CENSUS lists that can be known at once
)

// Event codes.
const (
	evBegin   = 1
	evList    = 2
	evCall    = 3
	evHeaders = 4
	evSettled = 5
	evHangup  = 6
	evWakeup  = 7
	evPong    = 8
	evMail    = 9
	evHalt    = 10
	evCensus  = 11
)

// Op says what an Item asks of the adapter.
type Op uint8

// The operations.
const (
	Deliver Op = iota // hand Event to the root
	Begin             // start the root with Settings and Seed
	Halt              // drop the root
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
	r     io.Reader
	buf   bytes.Buffer
	lists [slots][]decide.Member
	known [slots]bool
	loads []float64
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{r: r} }

var le = binary.LittleEndian

func f64(b []byte) float64 { return math.Float64frombits(le.Uint64(b)) }
func f32(b []byte) float64 { return float64(math.Float32frombits(le.Uint32(b))) }

// addr reads four address bytes and a port.
func addr(b []byte) decide.Addr {
	return decide.Addr(uint64(le.Uint32(b)) | uint64(le.Uint16(b[4:]))<<32)
}

// Next reads one batch into b, whose slices are reused. It returns io.EOF at a
// clean end of input.
func (d *Decoder) Next(b *Batch) error {
	d.buf.Reset()
	if n, err := io.CopyN(&d.buf, d.r, headSize); err != nil {
		if err == io.EOF && n == 0 {
			return io.EOF
		}
		return short("batch header", n, headSize, err)
	}
	h := d.buf.Bytes()
	count, size := le.Uint32(h), le.Uint32(h[4:])
	b.Now, b.Seq = f64(h[8:]), le.Uint32(h[16:])
	if want := headSize + uint64(count)*eventSize; uint64(size) < want {
		return fmt.Errorf("batch %d: length %d, want at least %d for %d records", b.Seq, size, want, count)
	}
	if b.Now != b.Now || math.IsInf(b.Now, 0) {
		return fmt.Errorf("batch %d: clock is not a finite number", b.Seq)
	}
	if n, err := io.CopyN(&d.buf, d.r, int64(size)-headSize); err != nil {
		return short(fmt.Sprintf("batch %d", b.Seq), n+headSize, int64(size), err)
	}
	body := d.buf.Bytes()[headSize:]
	tail := body[int(count)*eventSize:]
	b.Items = b.Items[:0]
	d.loads = d.loads[:0]
	for i := range int(count) {
		if err := d.record(b, body[i*eventSize:(i+1)*eventSize], tail); err != nil {
			return fmt.Errorf("batch %d, record %d: %w", b.Seq, i, err)
		}
	}
	return nil
}

func short(what string, got, want int64, err error) error {
	if err == io.EOF || errors.Is(err, io.ErrUnexpectedEOF) {
		return fmt.Errorf("%s: input ended after %d bytes, want %d", what, got, want)
	}
	return fmt.Errorf("%s: %w", what, err)
}

// span returns the piece of the tail that an offset and a length name.
func span(tail, field []byte, unit uint64) ([]byte, error) {
	off, n := uint64(le.Uint32(field)), uint64(le.Uint32(field[4:]))*unit
	if off+n > uint64(len(tail)) {
		return nil, fmt.Errorf("tail range %d+%d, want within %d bytes", off, n, len(tail))
	}
	return tail[off : off+n], nil
}

func (d *Decoder) record(b *Batch, r, tail []byte) error {
	it := Item{Root: le.Uint32(r[1:])}
	e := &it.Event
	var err error
	switch r[0] {
	case evCensus:
		return d.census(r, tail)
	case evBegin:
		it.Op, it.Seed = Begin, le.Uint64(r[5:])
		text, err := span(tail, r[13:], 1)
		if err != nil {
			return err
		}
		if it.Settings, err = ParseSettings(string(text)); err != nil {
			return err
		}
	case evHalt:
		it.Op = Halt
	case evList:
		e.Kind = decide.ListUpdate
		slot := le.Uint16(r[14:])
		switch r[5] {
		case 0:
			e.List = decide.ListCached
		case 1:
			e.List = decide.ListFull
		case 2:
			e.List = decide.ListDelta
		case 3:
			e.List = decide.ListFailed
		default:
			return fmt.Errorf("list kind %d, want 0 to 3", r[5])
		}
		if e.List != decide.ListFailed {
			if slot >= slots || !d.known[slot] {
				return fmt.Errorf("list slot %d, want one that a census has filled", slot)
			}
			e.Members = d.lists[slot]
		}
	case evCall:
		e.Kind, e.ID = decide.QueryArrived, le.Uint64(r[5:])
		e.Class, e.Tenant, e.Key = int(r[13]), int(le.Uint16(r[14:])), le.Uint64(r[16:])
		e.TimeLeftMs, e.EstimatedWorkMs, e.Number = f64(r[24:]), f64(r[32:]), f32(r[40:])
		shard, measure := f32(r[44:]), f32(r[48:])
		if !(e.TimeLeftMs >= -1e12 && e.TimeLeftMs <= 1e12) || !(shard > -1e9 && shard < 1e9) || !(measure > -1e9 && measure < 1e9) {
			return fmt.Errorf("call %d: time left, shard or measure is not a plausible number", e.ID)
		}
		if shard >= 0 {
			e.Kind, e.Shard, e.Weight = decide.PartArrived, int(shard), measure
		} else {
			e.Parts = int(measure)
		}
		e.HasEstimate, e.Retry, e.Write = r[52]&1 != 0, r[52]&2 != 0, r[52]&4 != 0
	case evHeaders:
		e.Kind, e.ID = decide.StreamStarted, le.Uint64(r[5:])
		e.Addr, e.Attempt, e.ElapsedMs = addr(r[13:]), int(le.Uint16(r[19:])), f64(r[21:])
	case evSettled:
		e.Kind, e.ID, e.ElapsedMs = decide.AttemptDone, le.Uint64(r[5:]), f64(r[13:])
		e.Addr, e.Attempt = addr(r[22:]), int(le.Uint16(r[28:]))
		if e.Outcome, err = outcome(le.Uint16(r[30:])); err == nil {
			e.Load, err = d.load(r[32:])
		}
	case evHangup:
		e.Kind, e.ID = decide.ClientDisconnected, le.Uint64(r[5:])
	case evWakeup:
		e.Kind, e.Token = decide.TimerFired, le.Uint64(r[5:])
	case evPong:
		e.Kind, e.Addr, e.ElapsedMs = decide.ProbeDone, addr(r[5:]), f64(r[11:])
		if e.Outcome, err = outcome(le.Uint16(r[19:])); err == nil {
			e.Load, err = d.load(r[21:])
		}
	case evMail:
		e.Kind, e.Peer = decide.PeerMessage, int(le.Uint16(r[5:]))
		var text []byte
		text, err = span(tail, r[7:], 1)
		e.Text = bytes.Clone(text)
	default:
		return fmt.Errorf("event code %d, want 1 to %d", r[0], evCensus)
	}
	b.Items = append(b.Items, it)
	return err
}

func (d *Decoder) census(r, tail []byte) error {
	slot := le.Uint16(r[1:])
	if slot >= slots {
		return fmt.Errorf("census slot %d, want 0 to %d", slot, slots-1)
	}
	list, err := span(tail, r[3:], entrySize)
	if err != nil {
		return err
	}
	members := make([]decide.Member, 0, len(list)/entrySize) // events may hold the old one
	for ; len(list) > 0; list = list[entrySize:] {
		m := decide.Member{
			Addr: addr(list), Zone: int(le.Uint16(list[6:])), Kind: int(list[8]),
			Cell: int(le.Uint16(list[9:])), Size: f32(list[12:]), ReadyAt: f64(list[16:]),
		}
		switch list[11] {
		case 1:
			m.State = decide.Ready
		case 2:
			m.State = decide.Removed
		case 3:
			m.State = decide.Draining
		default:
			return fmt.Errorf("census slot %d: state %d, want 1 to 3", slot, list[11])
		}
		members = append(members, m)
	}
	d.lists[slot], d.known[slot] = members, true
	return nil
}

func outcome(code uint16) (decide.Outcome, error) {
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

func (d *Decoder) load(r []byte) ([]float64, error) {
	n := int(r[0])
	if n > loadMax {
		return nil, fmt.Errorf("load report of %d values, want %d at most", n, loadMax)
	}
	from := len(d.loads)
	for i := range n {
		d.loads = append(d.loads, f32(r[1+4*i:]))
	}
	return d.loads[from:len(d.loads):len(d.loads)], nil
}

// Encoder builds one reply. It is reset by Bytes.
type Encoder struct {
	recs, tail []byte
	count      uint32
}

// Action codes, by kind of action.
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

// Add appends an action of a root.
func (w *Encoder) Add(root uint32, a decide.Action) {
	if w.count == 0 {
		w.recs = append(w.recs[:0], make([]byte, replySize)...)
		w.tail = w.tail[:0]
	}
	var r [actionSize]byte
	r[0] = actionCodes[a.Kind]
	le.PutUint32(r[1:], root)
	switch a.Kind {
	case decide.Send:
		le.PutUint64(r[5:], a.ID)
		putAddr(r[13:], a.Addr)
		le.PutUint64(r[19:], math.Float64bits(a.Ms))
	case decide.Cancel:
		le.PutUint64(r[5:], a.ID)
		le.PutUint16(r[13:], uint16(a.Attempt))
	case decide.Timer:
		le.PutUint64(r[5:], math.Float64bits(a.Ms))
		le.PutUint64(r[13:], a.Token)
	case decide.Answer:
		le.PutUint64(r[5:], a.ID)
		r[13] = bit(a.Complete)
	case decide.Refuse:
		le.PutUint64(r[5:], a.ID)
		le.PutUint64(r[13:], math.Float64bits(a.Ms))
	case decide.Abort:
		le.PutUint64(r[5:], a.ID)
	case decide.Probe, decide.CloseIdle:
		putAddr(r[5:], a.Addr)
	case decide.MessagePeer:
		le.PutUint32(r[5:], uint32(int32(a.Peer)))
		w.text(r[9:], a.Text)
	case decide.Log:
		w.text(r[5:], a.Text)
	case decide.Subscribe:
		r[5] = bit(a.Complete)
	}
	w.recs = append(w.recs, r[:]...)
	w.count++
}

func bit(b bool) byte {
	if b {
		return 1
	}
	return 0
}

func putAddr(r []byte, a decide.Addr) {
	le.PutUint32(r, uint32(a))
	le.PutUint16(r[4:], uint16(a>>32))
}

func (w *Encoder) text(r []byte, s string) {
	le.PutUint32(r, uint32(len(w.tail)))
	le.PutUint32(r[4:], uint32(len(s)))
	w.tail = append(w.tail, s...)
}

// Bytes returns the reply to batch seq and resets the Encoder. The slice is
// valid until the next Add.
func (w *Encoder) Bytes(seq uint32) []byte {
	if w.count == 0 {
		w.recs = append(w.recs[:0], make([]byte, replySize)...)
		w.tail = w.tail[:0]
	}
	w.recs = append(w.recs, w.tail...)
	le.PutUint32(w.recs, uint32(len(w.recs)))
	le.PutUint32(w.recs[4:], w.count)
	le.PutUint32(w.recs[8:], seq)
	w.count = 0
	return w.recs
}
