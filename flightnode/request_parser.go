package flightnode

import (
	"fmt"
	"strconv"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"onyxsail/broker"
)

// attemptHeader is the request header with the attempt's ID. requestParser recognizes the requests
// of attempts by it; a node may use it in its log.
const attemptHeader = "attempt-id"

const (
	frameHeaderSize      = 9    // of an HTTP/2 frame (RFC 9113, section 4.1)
	initialHPACKTable    = 4096 // bytes; default of SETTINGS_HEADER_TABLE_SIZE
	maxHPACKTable        = 1<<32 - 1
	streamIDMask         = 1<<31 - 1
	flagsOfUnusedPadding = http2.FlagHeadersPadded | http2.FlagHeadersPriority
)

// requestParser follows the HTTP/2 frames that a client writes on one connection. It finds where
// the requests of attempts end, as the library does not report when it passes a message on.
type requestParser struct {
	prefaceLeft int // bytes of the connection preface still to come
	header      []byte
	frame       http2.FrameHeader
	payloadLeft int // bytes of the frame's payload still to come
	decoder     *hpack.Decoder
	attempt     string // attemptHeader of the header block that is being read; "": none so far
	lookup      func(broker.AttemptID) *ticket
	tickets     map[uint32]*ticket // by stream, of the requests whose last byte is still to come
	pruneAt     int                // number of tickets at which finished ones are removed
}

// minPruneAt is the least number of tickets at which a parser removes finished ones.
const minPruneAt = 64

// requestEnd is the end of an attempt's request in some written bytes.
type requestEnd struct {
	ticket *ticket
	offset int // after its last byte
}

// newRequestParser returns a parser for a new connection. lookup returns the ticket of an attempt.
func newRequestParser(lookup func(broker.AttemptID) *ticket) *requestParser {
	p := &requestParser{prefaceLeft: len(http2.ClientPreface), lookup: lookup, tickets: map[uint32]*ticket{}, pruneAt: minPruneAt}
	p.decoder = hpack.NewDecoder(initialHPACKTable, func(field hpack.HeaderField) {
		if field.Name == attemptHeader {
			p.attempt = field.Value
		}
	})
	p.decoder.SetAllowedMaxDynamicTableSize(maxHPACKTable) // the node's setting bounds it
	return p
}

// parse reads the next bytes of the stream and returns the requests whose last byte is among them.
// An error means that the stream cannot be followed any further.
func (p *requestParser) parse(b []byte) (ends []requestEnd, err error) {
	offset := min(p.prefaceLeft, len(b))
	p.prefaceLeft -= offset
	for offset < len(b) {
		if len(p.header) < frameHeaderSize {
			n := min(frameHeaderSize-len(p.header), len(b)-offset)
			p.header = append(p.header, b[offset:offset+n]...)
			if offset += n; len(p.header) < frameHeaderSize {
				break
			}
			p.beginFrame()
		}
		n := min(p.payloadLeft, len(b)-offset)
		if err := p.readPayload(b[offset : offset+n]); err != nil {
			return nil, err
		}
		offset, p.payloadLeft = offset+n, p.payloadLeft-n
		if p.payloadLeft > 0 {
			break
		}
		ended, err := p.endFrame()
		if err != nil {
			return nil, err
		}
		if ended != nil {
			ends = append(ends, requestEnd{ended, offset})
		}
	}
	return ends, nil
}

// beginFrame decodes the header of a frame.
func (p *requestParser) beginFrame() {
	h := p.header
	p.payloadLeft = int(h[0])<<16 | int(h[1])<<8 | int(h[2])
	stream := uint32(h[5])<<24 | uint32(h[6])<<16 | uint32(h[7])<<8 | uint32(h[8])
	p.frame = http2.FrameHeader{Type: http2.FrameType(h[3]), Flags: http2.Flags(h[4]), StreamID: stream & streamIDMask}
}

// carriesHeaders reports whether the current frame has a part of a header block.
func (p *requestParser) carriesHeaders() bool {
	return p.frame.Type == http2.FrameHeaders || p.frame.Type == http2.FrameContinuation
}

// readPayload reads some of the current frame's payload.
func (p *requestParser) readPayload(b []byte) error {
	if !p.carriesHeaders() {
		return nil
	}
	if p.frame.Type == http2.FrameHeaders && p.frame.Flags&flagsOfUnusedPadding != 0 {
		return fmt.Errorf("headers of stream %d are padded or have a priority, which is not expected", p.frame.StreamID)
	}
	if _, err := p.decoder.Write(b); err != nil {
		return fmt.Errorf("decoding headers of stream %d: %w", p.frame.StreamID, err)
	}
	return nil
}

// endFrame handles the end of the current frame. It returns the ticket of the attempt whose request
// ends with it, nil if there is none.
func (p *requestParser) endFrame() (ended *ticket, err error) {
	p.header = p.header[:0]
	stream, flags := p.frame.StreamID, p.frame.Flags
	switch {
	case p.carriesHeaders() && flags.Has(http2.FlagHeadersEndHeaders):
		return nil, p.endHeaders()
	case p.frame.Type == http2.FrameData && flags.Has(http2.FlagDataEndStream):
		ended = p.tickets[stream]
		delete(p.tickets, stream)
	case p.frame.Type == http2.FrameRSTStream:
		delete(p.tickets, stream)
	}
	return ended, nil
}

// endHeaders handles the end of a header block.
func (p *requestParser) endHeaders() error {
	if err := p.decoder.Close(); err != nil {
		return fmt.Errorf("decoding headers of stream %d: %w", p.frame.StreamID, err)
	}
	value := p.attempt
	if p.attempt = ""; value == "" {
		return nil // not of an attempt
	}
	id, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		return fmt.Errorf("header %s: %w", attemptHeader, err)
	}
	p.prune()
	p.tickets[p.frame.StreamID] = p.lookup(broker.AttemptID(id))
	return nil
}

// prune removes tickets of attempts that the node ended before it had their requests whole: nothing
// more is written for these.
func (p *requestParser) prune() {
	if len(p.tickets) < p.pruneAt {
		return
	}
	for stream, t := range p.tickets {
		if t.endedByNode() {
			delete(p.tickets, stream)
		}
	}
	p.pruneAt = max(minPruneAt, 2*len(p.tickets))
}
