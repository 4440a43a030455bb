// Package http1 is an incremental parser for HTTP/1.x messages: requests for the front,
// responses for the discovery client. A body may have a length, be chunked or, in a response,
// end with the stream. The sizes of heads, lines and bodies are limited.
package http1

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// Limits of one message.
const (
	MaxHeadBytes = 16 << 10 // start line and headers; the same limit holds for all trailers
	MaxHeaders   = 64       // number of header fields
	MaxLineBytes = 4 << 10  // one chunk size line or trailer line
)

// Parse errors. After any of them the rest of the stream cannot be parsed.
var (
	ErrMalformed    = errors.New("malformed message")
	ErrHeadTooLarge = errors.New("head too large")
	ErrBodyTooLarge = errors.New("body too large")
	ErrDiscarded    = errors.New("input discarded")
)

// Header is one header field. Name is in lower case; Value has no spaces or tabs around it.
type Header struct{ Name, Value string }

// Message is a parsed request or response.
type Message struct {
	Method, Target  string // of a request; empty in a response
	Status          int    // of a response; 0 in a request
	Headers         []Header
	Body            []byte
	Close           bool // the sender closes the connection after this message
	ExpectsContinue bool // the sender waits for 100 Continue
	headBytes       int  // length of the head, which Method, Target and Headers share
}

// HeldBytes returns how much memory the message holds.
func (m *Message) HeldBytes() int { return m.headBytes + cap(m.Body) }

// Get returns the first value of a header, whose name is given in lower case, or "" if it is
// absent.
func (m *Message) Get(name string) string {
	for _, h := range m.Headers {
		if h.Name == name {
			return h.Value
		}
	}
	return ""
}

// All returns all values of a header, whose name is given in lower case.
func (m *Message) All(name string) []string {
	var values []string
	for _, h := range m.Headers {
		if h.Name == name {
			values = append(values, h.Value)
		}
	}
	return values
}

// Count returns how often a header, whose name is given in lower case, is present.
func (m *Message) Count(name string) int {
	n := 0
	for _, h := range m.Headers {
		if h.Name == name {
			n++
		}
	}
	return n
}

// state says which part of a message the parser expects next.
type state uint8

const (
	inHead state = iota // also between messages
	inBody
	inBodyUntilClose // a response body that ends with the stream
	inChunkSize
	inChunkData
	inChunkEnd // the line break after a chunk's data
	inTrailer
)

// Parser splits a stream into messages. It parses requests, or responses if Responses is set.
type Parser struct {
	MaxBodyBytes int         // limit of a message's body
	Responses    bool        // parse responses instead of requests
	Buffers      *BufferPool // for large bodies; nil: none

	buf              []byte
	borrowed         bool // buf is the caller's, and must be copied before Next returns
	head             headScanner
	state            state
	msg              *Message
	remaining        int   // bytes missing from the body or chunk
	trailerBytes     int   // total length of the trailer lines so far
	err              error // what Next returned; every later call returns it as well
	continueReported bool  // WantsContinue has returned true for msg
}

// Feed adds input. The parser uses data until Next has returned nil, or until Detach.
func (p *Parser) Feed(data []byte) {
	if len(p.buf) == 0 {
		p.buf, p.borrowed = data[:len(data):len(data)], true
		return
	}
	p.buf, p.borrowed = append(p.buf, data...), false // a borrowed buffer has no room, so it is copied
}

// Detach makes the parser keep what is left of the input in memory of its own.
func (p *Parser) Detach() {
	if p.borrowed {
		p.buf, p.borrowed = bytes.Clone(p.buf), false
	}
}

// Buffered returns the number of input bytes not yet parsed.
func (p *Parser) Buffered() int { return len(p.buf) }

// BodyRemaining returns how many bytes are missing from the body or chunk that is being received;
// 0 if there is none.
func (p *Parser) BodyRemaining() int {
	if p.state == inBody || p.state == inChunkData {
		return p.remaining
	}
	return 0
}

// HeldBytes returns how much memory the parser holds for input that is no whole message yet.
func (p *Parser) HeldBytes() int {
	held := 0
	if !p.borrowed {
		held = cap(p.buf)
	}
	if p.msg != nil {
		held += p.msg.HeldBytes()
	}
	return held
}

// Recycle gives the memory of a message's body back, which must not be used any more.
func (p *Parser) Recycle(m *Message) {
	p.Buffers.put(m.Body)
	m.Body = nil
}

// Discard drops all input and the message that is being received. Nothing can be parsed after it.
func (p *Parser) Discard() {
	if p.msg != nil {
		p.Recycle(p.msg)
	}
	if p.err == nil {
		p.err = ErrDiscarded
	}
	p.buf, p.borrowed, p.msg, p.state = nil, false, nil, inHead
}

// InMessage reports whether a message has been received in part, or complete ones have not been
// taken with Next.
func (p *Parser) InMessage() bool { return p.state != inHead || len(p.buf) > 0 }

// WantsContinue reports, once per message, that the sender of the current message waits for
// 100 Continue.
func (p *Parser) WantsContinue() bool {
	if p.state == inHead || p.msg == nil || !p.msg.ExpectsContinue || p.continueReported {
		return false
	}
	p.continueReported = true
	return true
}

// Next returns the next complete message, or nil if more input is needed. After an error, every
// later call returns the same error.
func (p *Parser) Next() (*Message, error) {
	if p.err != nil {
		return nil, p.err
	}
	m, err := p.next()
	switch {
	case err != nil:
		p.err = err
		p.buf, p.borrowed = nil, false
	case len(p.buf) == 0:
		p.buf, p.borrowed = nil, false // an idle connection must hold no buffer
	case m == nil:
		p.Detach()
	}
	return m, err
}

// next is Next without the handling of errors and of the buffer.
func (p *Parser) next() (*Message, error) {
	for {
		switch p.state {
		case inHead:
			if len(p.buf) > 0 && p.head.searched == 0 {
				p.skipEmptyLines()
			}
			end, terminatorLen, err := p.head.findEnd(p.buf)
			if err != nil || end < 0 {
				return nil, err
			}
			text := string(p.buf[:end])
			p.buf = p.buf[end+terminatorLen:]
			lines := p.head.lines
			p.head = headScanner{}
			if err := p.parseHead(text, lines); err != nil {
				return nil, err
			}
		case inBody, inChunkData:
			n := min(p.remaining, len(p.buf))
			p.msg.Body = p.Buffers.appendTo(p.msg.Body, p.buf[:n])
			p.buf, p.remaining = p.buf[n:], p.remaining-n
			if p.remaining > 0 {
				return nil, nil
			}
			if p.state == inBody {
				return p.takeMessage(), nil
			}
			p.state = inChunkEnd
		case inBodyUntilClose:
			p.msg.Body = append(p.msg.Body, p.buf...)
			p.buf = nil
			if len(p.msg.Body) > p.MaxBodyBytes {
				return nil, ErrBodyTooLarge
			}
			return nil, nil
		case inChunkSize, inChunkEnd, inTrailer:
			line, ok, err := p.readLine()
			if err != nil || !ok {
				return nil, err
			}
			switch {
			case p.state == inChunkEnd && line != "":
				return nil, ErrMalformed
			case p.state == inChunkEnd:
				p.state = inChunkSize
			case p.state == inTrailer && line == "":
				return p.takeMessage(), nil
			case p.state == inTrailer:
				if p.trailerBytes += len(line); p.trailerBytes > MaxHeadBytes {
					return nil, ErrHeadTooLarge
				}
			default:
				if err := p.parseChunkSize(line); err != nil {
					return nil, err
				}
			}
		}
	}
}

// EndOfStream tells the parser that the stream has ended, after Next has returned all complete
// messages. It returns the response whose body ends with the stream, if there is one, and
// otherwise nil. If the stream has ended inside a message, the error is ErrMalformed.
func (p *Parser) EndOfStream() (*Message, error) {
	if p.state == inBodyUntilClose {
		return p.takeMessage(), nil
	}
	if p.InMessage() {
		return nil, ErrMalformed
	}
	return nil, nil
}

// takeMessage returns the current message and prepares the parser for the next.
func (p *Parser) takeMessage() *Message {
	m := p.msg
	p.msg, p.state, p.continueReported = nil, inHead, false
	return m
}

// readLine returns the next line without its line break. The result is false if the line is not
// complete yet.
func (p *Parser) readLine() (string, bool, error) {
	i := bytes.IndexByte(p.buf, '\n')
	if i < 0 {
		if len(p.buf) > MaxLineBytes {
			return "", false, ErrMalformed
		}
		return "", false, nil
	}
	if i > MaxLineBytes {
		return "", false, ErrMalformed
	}
	line := strings.TrimSuffix(string(p.buf[:i]), "\r")
	p.buf = p.buf[i+1:]
	return line, true, nil
}

// parseChunkSize parses the line before a chunk's data; a size of 0 starts the trailers.
func (p *Parser) parseChunkSize(line string) error {
	size, _, _ := strings.Cut(line, ";")
	size = strings.TrimRight(size, " \t")
	if size == "" || len(size) > 8 {
		return ErrMalformed
	}
	for i := range len(size) {
		if !strings.ContainsRune("0123456789abcdefABCDEF", rune(size[i])) {
			return ErrMalformed
		}
	}
	n, err := strconv.ParseUint(size, 16, 32)
	if err != nil {
		return ErrMalformed
	}
	if len(p.msg.Body)+int(n) > p.MaxBodyBytes {
		return ErrBodyTooLarge
	}
	if p.remaining, p.state = int(n), inChunkData; n == 0 {
		p.state = inTrailer
	}
	return nil
}
