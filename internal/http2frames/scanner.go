// Package http2frames follows the frames of one direction of an HTTP/2 connection (RFC 9113,
// section 4.1), for connections whose frames are read and written by a library.
package http2frames

import "golang.org/x/net/http2"

const (
	headerSize   = 9 // bytes of a frame's header
	streamIDMask = 1<<31 - 1
)

// Handler receives the frames that a Scanner finds. An error ends the scan.
type Handler interface {
	// Payload receives some bytes of the current frame's payload.
	Payload(frame http2.FrameHeader, data []byte) error
	// EndFrame is called with the offset in the scanned bytes behind the frame's last byte.
	EndFrame(frame http2.FrameHeader, offset int) error
}

// Scanner finds the frames in a stream of bytes.
type Scanner struct {
	prefaceLeft int // bytes of the connection preface still to come
	header      [headerSize]byte
	headerLen   int // bytes of the frame's header that have come
	payloadLeft int // bytes of the frame's payload still to come
	frame       http2.FrameHeader
}

// NewClientScanner returns a scanner for what a client sends, which begins with the preface.
func NewClientScanner() *Scanner { return &Scanner{prefaceLeft: len(http2.ClientPreface)} }

// NewServerScanner returns a scanner for what a server sends.
func NewServerScanner() *Scanner { return &Scanner{} }

// AtBoundary reports whether the next byte begins a frame.
func (s *Scanner) AtBoundary() bool { return s.prefaceLeft == 0 && s.headerLen == 0 }

// PayloadLeft returns how many bytes of the current frame's payload are still to come.
func (s *Scanner) PayloadLeft() int { return s.payloadLeft }

// Scan reads the next bytes of the stream. The scanner cannot be used after an error of h.
func (s *Scanner) Scan(b []byte, h Handler) error {
	offset := min(s.prefaceLeft, len(b))
	s.prefaceLeft -= offset
	for offset < len(b) {
		if s.headerLen < headerSize {
			n := copy(s.header[s.headerLen:], b[offset:])
			s.headerLen += n
			if offset += n; s.headerLen < headerSize {
				return nil
			}
			s.beginFrame()
		}
		n := min(s.payloadLeft, len(b)-offset)
		if n > 0 {
			if err := h.Payload(s.frame, b[offset:offset+n]); err != nil {
				return err
			}
		}
		offset, s.payloadLeft = offset+n, s.payloadLeft-n
		if s.payloadLeft > 0 {
			return nil
		}
		s.headerLen = 0
		if err := h.EndFrame(s.frame, offset); err != nil {
			return err
		}
	}
	return nil
}

// beginFrame decodes the header of a frame.
func (s *Scanner) beginFrame() {
	h := s.header
	s.payloadLeft = int(h[0])<<16 | int(h[1])<<8 | int(h[2])
	stream := uint32(h[5])<<24 | uint32(h[6])<<16 | uint32(h[7])<<8 | uint32(h[8])
	s.frame = http2.FrameHeader{
		Type: http2.FrameType(h[3]), Flags: http2.Flags(h[4]), Length: uint32(s.payloadLeft), StreamID: stream & streamIDMask,
	}
}
