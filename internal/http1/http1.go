// Package http1 parses HTTP/1.1 messages as they arrive: requests for the
// front, answers for the roster's client. Bodies carry a length or come in
// chunks; everything is bounded.
package http1

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// Bounds of one message.
const (
	MaxHead    = 16 << 10 // start line and headers
	MaxHeaders = 64
	MaxLine    = 4 << 10 // a chunk's size line
)

// What can be wrong with a message. After each of these the framing is lost.
var (
	ErrMalformed = errors.New("malformed message")
	ErrHeadSize  = errors.New("head too large")
	ErrBodySize  = errors.New("body too large")
)

// Header is one header field; the name is in lower case.
type Header struct{ Name, Value string }

// Message is one parsed request or answer.
type Message struct {
	Method, Target string // of a request
	Status         int    // of an answer
	Headers        []Header
	Body           []byte
	Close          bool // the sender keeps the connection no longer
	Expect         bool // the sender waits for 100 Continue
}

// Get returns the value of a header, "" where it is absent.
func (m *Message) Get(name string) string {
	for _, h := range m.Headers {
		if h.Name == name {
			return h.Value
		}
	}
	return ""
}

// All returns the values of a header, as often as it stands.
func (m *Message) All(name string) []string {
	var values []string
	for _, h := range m.Headers {
		if h.Name == name {
			values = append(values, h.Value)
		}
	}
	return values
}

// Count says how many headers of a name there are.
func (m *Message) Count(name string) int {
	n := 0
	for _, h := range m.Headers {
		if h.Name == name {
			n++
		}
	}
	return n
}

type state uint8

const (
	inHead state = iota
	inBody
	inUntilEnd
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
)

// Parser turns a stream into messages. The zero value with MaxBody set parses
// requests; Answers makes it parse answers.
type Parser struct {
	MaxBody int
	Answers bool

	buf     []byte
	at      state
	msg     *Message
	left    int
	trailer int
	err     error
	asked   bool
}

// Feed adds what was read.
func (p *Parser) Feed(b []byte) { p.buf = append(p.buf, b...) }

// Buffered is how many bytes wait to be parsed.
func (p *Parser) Buffered() int { return len(p.buf) }

// Mid says whether a message has begun and is not complete.
func (p *Parser) Mid() bool { return p.at != inHead || len(p.buf) > 0 }

// WantsContinue reports once that the message in work waits for 100 Continue.
func (p *Parser) WantsContinue() bool {
	if p.at == inHead || p.msg == nil || !p.msg.Expect || p.asked {
		return false
	}
	p.asked = true
	return true
}

// Next returns the next whole message, or nil when more input is needed.
func (p *Parser) Next() (*Message, error) {
	if p.err != nil {
		return nil, p.err
	}
	m, err := p.next()
	p.err = err
	if len(p.buf) == 0 && cap(p.buf) > 4<<10 {
		p.buf = nil // a large message's room is not kept by an idle connection
	}
	return m, err
}

func (p *Parser) next() (*Message, error) {
	for {
		switch p.at {
		case inHead:
			for len(p.buf) > 0 && (p.buf[0] == '\r' || p.buf[0] == '\n') { // empty lines before a start line
				p.buf = p.buf[1:]
			}
			end, skip := headEnd(p.buf)
			if end > MaxHead || end < 0 && len(p.buf) > MaxHead {
				return nil, ErrHeadSize
			}
			if end < 0 {
				return nil, nil
			}
			head := p.buf[:end]
			p.buf = p.buf[end+skip:]
			if err := p.head(string(head)); err != nil {
				return nil, err
			}
		case inBody, inChunk:
			n := min(p.left, len(p.buf))
			p.msg.Body = append(p.msg.Body, p.buf[:n]...)
			p.buf, p.left = p.buf[n:], p.left-n
			if p.left > 0 {
				return nil, nil
			}
			if p.at == inBody {
				return p.done(), nil
			}
			p.at = inChunkEnd
		case inUntilEnd:
			p.msg.Body = append(p.msg.Body, p.buf...)
			p.buf = p.buf[:0]
			if len(p.msg.Body) > p.MaxBody {
				return nil, ErrBodySize
			}
			return nil, nil
		case inChunkSize, inChunkEnd, inTrailer:
			line, ok, err := p.line()
			if err != nil || !ok {
				return nil, err
			}
			switch {
			case p.at == inChunkEnd && line != "":
				return nil, ErrMalformed
			case p.at == inChunkEnd:
				p.at = inChunkSize
			case p.at == inTrailer && line == "":
				return p.done(), nil
			case p.at == inTrailer:
				if p.trailer += len(line); p.trailer > MaxHead {
					return nil, ErrHeadSize
				}
			default:
				if err := p.chunk(line); err != nil {
					return nil, err
				}
			}
		}
	}
}

// End says that the stream has ended; it returns the message that this
// completes, if any.
func (p *Parser) End() (*Message, error) {
	if p.at == inUntilEnd {
		return p.done(), nil
	}
	if p.Mid() {
		return nil, ErrMalformed
	}
	return nil, nil
}

func (p *Parser) done() *Message {
	m := p.msg
	p.msg, p.at, p.asked = nil, inHead, false
	return m
}

func headEnd(b []byte) (end, skip int) {
	for i := 0; ; {
		j := bytes.IndexByte(b[i:], '\n')
		if j < 0 {
			return -1, 0
		}
		i += j + 1
		if i < len(b) && b[i] == '\n' {
			return i - 1, 2
		}
		if i+1 < len(b) && b[i] == '\r' && b[i+1] == '\n' {
			return i - 1, 3
		}
	}
}

func (p *Parser) line() (string, bool, error) {
	i := bytes.IndexByte(p.buf, '\n')
	if i < 0 {
		if len(p.buf) > MaxLine {
			return "", false, ErrMalformed
		}
		return "", false, nil
	}
	if i > MaxLine {
		return "", false, ErrMalformed
	}
	line := strings.TrimSuffix(string(p.buf[:i]), "\r")
	p.buf = p.buf[i+1:]
	return line, true, nil
}

func (p *Parser) chunk(line string) error {
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
	if len(p.msg.Body)+int(n) > p.MaxBody {
		return ErrBodySize
	}
	if p.left, p.at = int(n), inChunk; n == 0 {
		p.at = inTrailer
	}
	return nil
}

// head parses the start line and the headers and decides the body's framing.
func (p *Parser) head(text string) error {
	lines := strings.Split(text, "\n")
	m := &Message{}
	p.msg, p.trailer = m, 0
	version, err := p.startLine(m, strings.TrimSuffix(lines[0], "\r"))
	if err != nil {
		return err
	}
	if len(lines)-1 > MaxHeaders {
		return ErrHeadSize
	}
	length, chunked, keep := -1, false, false
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(strings.TrimSuffix(line, "\r"), ":")
		if !ok || !isToken(name) || strings.ContainsAny(value, "\r\x00") {
			return ErrMalformed
		}
		h := Header{strings.ToLower(name), strings.Trim(value, " \t")}
		m.Headers = append(m.Headers, h)
		switch h.Name {
		case "content-length":
			n, err := parseLength(h.Value)
			if err != nil || length >= 0 && length != n {
				return ErrMalformed
			}
			length = n
		case "transfer-encoding":
			if chunked || !strings.EqualFold(h.Value, "chunked") {
				return ErrMalformed
			}
			chunked = true
		case "connection":
			for _, word := range strings.Split(strings.ToLower(h.Value), ",") {
				m.Close = m.Close || strings.TrimSpace(word) == "close"
				keep = keep || strings.TrimSpace(word) == "keep-alive"
			}
		case "expect":
			m.Expect = strings.EqualFold(h.Value, "100-continue")
		}
	}
	m.Close = m.Close || version == "HTTP/1.0" && !keep
	if chunked && (length >= 0 || version == "HTTP/1.0") {
		return ErrMalformed // two framings are how requests are smuggled
	}
	if length > p.MaxBody {
		return ErrBodySize
	}
	switch {
	case p.Answers && (m.Status == 204 || m.Status == 304 || m.Status < 200):
		p.at, p.left = inBody, 0
	case chunked:
		p.at = inChunkSize
	case length >= 0:
		p.at, p.left = inBody, length
	case p.Answers:
		p.at, m.Close = inUntilEnd, true
	default:
		p.at, p.left = inBody, 0
	}
	return nil
}

func (p *Parser) startLine(m *Message, line string) (version string, err error) {
	a, rest, ok1 := strings.Cut(line, " ")
	b, c, ok2 := strings.Cut(rest, " ")
	if p.Answers {
		if m.Status, err = strconv.Atoi(b); !ok1 || err != nil || len(b) != 3 || m.Status < 100 || !isVersion(a) {
			return "", ErrMalformed
		}
		return a, nil
	}
	if !ok1 || !ok2 || !isToken(a) || b == "" || strings.ContainsAny(b, "\t\r\x00") || !isVersion(c) {
		return "", ErrMalformed
	}
	m.Method, m.Target = a, b
	return c, nil
}

func isVersion(s string) bool { return s == "HTTP/1.1" || s == "HTTP/1.0" }

func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte("\"(),/:;<=>?@[\\]{}", c) >= 0 {
			return false
		}
	}
	return s != ""
}

func parseLength(s string) (int, error) {
	if len(s) == 0 || len(s) > 9 || strings.Trim(s, "0123456789") != "" {
		return 0, ErrMalformed
	}
	return strconv.Atoi(s)
}
