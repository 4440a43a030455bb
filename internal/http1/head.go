package http1

// The head of a message: finding its end, the start line and the headers.

import (
	"bytes"
	"strconv"
	"strings"
)

// headScanner finds the end of a head that arrives in pieces. It searches each byte once.
type headScanner struct {
	searched int // bytes at the start of the buffer that need not be searched again
	lines    int // complete lines among them
}

// findEnd returns the length of the head at the start of b without its last line feed, and
// the number of bytes from that line feed to the end of the blank line. end is -1 if the head is
// incomplete. A head that is too large is an error as soon as that is known.
func (s *headScanner) findEnd(b []byte) (end, terminatorLen int, err error) {
	for {
		i := bytes.IndexByte(b[s.searched:], '\n')
		if i < 0 {
			s.searched = len(b)
			break
		}
		lineEnd := s.searched + i
		next := b[lineEnd+1:]
		if len(next) == 0 || len(next) == 1 && next[0] == '\r' { // the next bytes tell whether a blank line follows
			s.searched = lineEnd
			break
		}
		if s.lines++; lineEnd > MaxHeadBytes || s.lines > 1+MaxHeaders {
			return -1, 0, ErrHeadTooLarge
		}
		switch {
		case next[0] == '\n':
			return lineEnd, 2, nil
		case next[0] == '\r' && next[1] == '\n':
			return lineEnd, 3, nil
		}
		s.searched = lineEnd + 1
	}
	if len(b) > MaxHeadBytes {
		return -1, 0, ErrHeadTooLarge
	}
	return -1, 0, nil
}

// skipEmptyLines drops empty lines before the start line.
func (p *Parser) skipEmptyLines() {
	p.buf = bytes.TrimLeft(p.buf, "\r\n")
}

// parseHead parses the start line and the headers, lineCount lines in all, and determines how the
// body is framed.
func (p *Parser) parseHead(text string, lineCount int) error {
	message := &Message{Headers: make([]Header, 0, lineCount-1), headBytes: len(text)}
	p.msg, p.trailerBytes = message, 0
	line, rest, more := strings.Cut(text, "\n")
	version, err := p.parseStartLine(message, strings.TrimSuffix(line, "\r"))
	if err != nil {
		return err
	}
	length, chunked, keepAlive := -1, false, false
	for more {
		line, rest, more = strings.Cut(rest, "\n")
		name, value, ok := strings.Cut(strings.TrimSuffix(line, "\r"), ":")
		if !ok || !isToken(name) || strings.ContainsAny(value, "\r\x00") {
			return ErrMalformed
		}
		h := Header{strings.ToLower(name), strings.Trim(value, " \t")}
		message.Headers = append(message.Headers, h)
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
			for _, option := range strings.Split(strings.ToLower(h.Value), ",") {
				message.Close = message.Close || strings.TrimSpace(option) == "close"
				keepAlive = keepAlive || strings.TrimSpace(option) == "keep-alive"
			}
		case "expect":
			message.ExpectsContinue = strings.EqualFold(h.Value, "100-continue")
		}
	}
	message.Close = message.Close || version == "HTTP/1.0" && !keepAlive
	if chunked && (length >= 0 || version == "HTTP/1.0") {
		return ErrMalformed // ambiguous framing would permit request smuggling
	}
	if length > p.MaxBodyBytes {
		return ErrBodyTooLarge
	}
	switch {
	case p.Responses && (message.Status == 204 || message.Status == 304 || message.Status < 200):
		p.state, p.remaining = inBody, 0
	case chunked:
		p.state = inChunkSize
	case length >= 0:
		p.state, p.remaining = inBody, length
	case p.Responses:
		p.state, message.Close = inBodyUntilClose, true
	default:
		p.state, p.remaining = inBody, 0
	}
	return nil
}

// parseStartLine parses a request line or a status line into message, and returns the protocol
// version.
func (p *Parser) parseStartLine(message *Message, line string) (version string, err error) {
	first, rest, ok1 := strings.Cut(line, " ")
	second, third, ok2 := strings.Cut(rest, " ")
	if p.Responses {
		if message.Status, err = strconv.Atoi(second); !ok1 || err != nil || len(second) != 3 || message.Status < 100 || !isVersion(first) {
			return "", ErrMalformed
		}
		return first, nil
	}
	if !ok1 || !ok2 || !isToken(first) || second == "" || strings.ContainsAny(second, "\t\r\x00") || !isVersion(third) {
		return "", ErrMalformed
	}
	message.Method, message.Target = first, second
	return third, nil
}

// isVersion reports whether s is a supported protocol version.
func isVersion(s string) bool { return s == "HTTP/1.1" || s == "HTTP/1.0" }

// isToken reports whether s is a token as RFC 9110, section 5.6.2, defines it.
func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte("\"(),/:;<=>?@[\\]{}", c) >= 0 {
			return false
		}
	}
	return s != ""
}

// parseLength parses a Content-Length of at most 9 digits.
func parseLength(s string) (int, error) {
	if len(s) == 0 || len(s) > 9 || strings.Trim(s, "0123456789") != "" {
		return 0, ErrMalformed
	}
	return strconv.Atoi(s)
}
