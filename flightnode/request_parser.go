package flightnode

import (
	"fmt"
	"strconv"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"onyxsail/broker"
	"onyxsail/internal/http2frames"
)

// attemptHeader is the request header with the attempt's ID. requestParser recognizes the requests
// of attempts by it; a node may use it in its log.
const attemptHeader = "attempt-id"

const (
	initialHPACKTable    = 4096 // bytes; default of SETTINGS_HEADER_TABLE_SIZE
	maxHPACKTable        = 1<<32 - 1
	flagsOfUnusedPadding = http2.FlagHeadersPadded | http2.FlagHeadersPriority
)

// requestParser follows the HTTP/2 frames that a client writes on one connection. It finds where
// the requests of attempts end, as the library does not report when it passes a message on.
type requestParser struct {
	scanner *http2frames.Scanner
	ends    []requestEnd // in the bytes that are being parsed
	decoder *hpack.Decoder
	attempt string // attemptHeader of the header block that is being read; "": none so far
	lookup  func(broker.AttemptID) *ticket
	tickets map[uint32]*ticket // by stream, of the requests whose last byte is still to come
	pruneAt int                // number of tickets at which finished ones are removed
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
	p := &requestParser{scanner: http2frames.NewClientScanner(), lookup: lookup, tickets: map[uint32]*ticket{}, pruneAt: minPruneAt}
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
func (p *requestParser) parse(b []byte) ([]requestEnd, error) {
	p.ends = nil
	if err := p.scanner.Scan(b, p); err != nil {
		return nil, err
	}
	return p.ends, nil
}

// carriesHeaders reports whether a frame has a part of a header block.
func carriesHeaders(frame http2.FrameHeader) bool {
	return frame.Type == http2.FrameHeaders || frame.Type == http2.FrameContinuation
}

// Payload implements http2frames.Handler.
func (p *requestParser) Payload(frame http2.FrameHeader, b []byte) error {
	if !carriesHeaders(frame) {
		return nil
	}
	if frame.Type == http2.FrameHeaders && frame.Flags&flagsOfUnusedPadding != 0 {
		return fmt.Errorf("headers of stream %d are padded or have a priority, which is not expected", frame.StreamID)
	}
	if _, err := p.decoder.Write(b); err != nil {
		return fmt.Errorf("decoding headers of stream %d: %w", frame.StreamID, err)
	}
	return nil
}

// EndFrame implements http2frames.Handler.
func (p *requestParser) EndFrame(frame http2.FrameHeader, offset int) error {
	switch {
	case carriesHeaders(frame) && frame.Flags.Has(http2.FlagHeadersEndHeaders):
		return p.endHeaders(frame.StreamID)
	case frame.Type == http2.FrameData && frame.Flags.Has(http2.FlagDataEndStream):
		if ended := p.tickets[frame.StreamID]; ended != nil {
			p.ends = append(p.ends, requestEnd{ended, offset})
		}
		delete(p.tickets, frame.StreamID)
	case frame.Type == http2.FrameRSTStream:
		delete(p.tickets, frame.StreamID)
	}
	return nil
}

// endHeaders handles the end of a stream's header block.
func (p *requestParser) endHeaders(stream uint32) error {
	if err := p.decoder.Close(); err != nil {
		return fmt.Errorf("decoding headers of stream %d: %w", stream, err)
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
	p.tickets[stream] = p.lookup(broker.AttemptID(id))
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
