package nodeclient

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"unicode/utf8"

	"onyxsail/broker"
	"onyxsail/decide"
)

// Limits on what a node may send, in bytes. The whole answer to a client is limited to 64 KiB,
// so no value of a part may be larger. maxFrameBytes is the limit of a frame's length field.
const (
	maxValueBytes = 64 << 10
	maxLineBytes  = 1 << 10
	maxFrameBytes = 1 + maxLineBytes + maxValueBytes
)

var errMalformedFrame = errors.New("malformed frame")

// result is the content of one R frame. The load report in it, which the platform's nodes
// leave empty, is ignored.
type result struct {
	partID  string
	outcome decide.Outcome
	value   []byte
}

// nextFrame splits the first whole frame off b. n is the number of bytes consumed; 0 without
// an error means that more are needed. body is a part of b. Malformed frames are reported as
// early as the bytes at hand allow: an impossible length or type, or a line that does not end.
func nextFrame(b []byte) (frameType byte, body []byte, n int, err error) {
	if len(b) < 4 {
		return 0, nil, 0, nil
	}
	size := binary.BigEndian.Uint32(b)
	if size < 1 || size > maxFrameBytes {
		return 0, nil, 0, fmt.Errorf("%w: length %d", errMalformedFrame, size)
	}
	if len(b) < 5 {
		return 0, nil, 0, nil
	}
	n = 4 + int(size)
	head := b[5:min(n, len(b))]
	switch frameType = b[4]; frameType {
	case 'R':
		if line := head[:min(maxLineBytes, len(head))]; len(head) >= maxLineBytes && bytes.IndexByte(line, '\n') < 0 {
			return 0, nil, 0, fmt.Errorf("%w: line of more than %d bytes", errMalformedFrame, maxLineBytes)
		}
	case 'H', 'M', 'F':
		if size > maxLineBytes {
			return 0, nil, 0, fmt.Errorf("%w: %q of %d bytes", errMalformedFrame, frameType, size)
		}
	default:
		return 0, nil, 0, fmt.Errorf("%w: type %q", errMalformedFrame, frameType)
	}
	if len(b) < n {
		return 0, nil, 0, nil
	}
	return frameType, b[5:n], n, nil
}

// outcomesByWord maps the words of the protocol for how a part ended to outcomes.
var outcomesByWord = map[string]decide.Outcome{"done": decide.OK, "failed": decide.Failed, "full": decide.Rejected}

// parseResult parses the body of an R frame; the value is a copy. Its first line has the part
// id, the outcome, a number and the load report, and the value follows. Everything in the line
// but the report must be valid: if one word of an answer is corrupt, its value may be corrupt
// too and must not be served.
func parseResult(body []byte) (result, error) {
	line, value, ok := bytes.Cut(body, []byte{'\n'})
	words := bytes.SplitN(line, []byte{' '}, 4)
	if !ok || len(words) != 4 || len(words[0]) == 0 {
		return result{}, fmt.Errorf("%w: result line %.80q", errMalformedFrame, line)
	}
	outcome, known := outcomesByWord[string(words[1])]
	if _, err := strconv.ParseFloat(string(words[2]), 64); err != nil || !known {
		return result{}, fmt.Errorf("%w: result line %.80q", errMalformedFrame, line)
	}
	// A value becomes part of a JSON text for the client, so it must be text. If a wrong
	// length makes the value include the next frame, the zero byte in that frame's own length
	// field shows it.
	if len(value) > maxValueBytes || !utf8.Valid(value) || bytes.IndexByte(value, 0) >= 0 {
		return result{}, fmt.Errorf("%w: value of %d bytes is not text", errMalformedFrame, len(value))
	}
	return result{string(words[0]), outcome, bytes.Clone(value)}, nil
}

// partID returns the id of a part in frames: the query's request id, a dot and the shard.
func partID(a *broker.Attempt) string { return a.RequestID + "." + strconv.Itoa(a.Shard) }

// appendCall appends one S frame, which carries the parts of one call.
func appendCall(dst []byte, attempts []broker.Attempt) []byte {
	dst, start := beginFrame(dst, 'S')
	for i := range attempts {
		a := &attempts[i]
		dst = append(dst, a.RequestID...)
		dst = append(dst, '.')
		dst = strconv.AppendInt(dst, int64(a.Shard), 10)
		dst = append(dst, ' ')
		dst = strconv.AppendInt(dst, int64(a.Shard), 10)
		dst = append(dst, " d="...)
		dst = strconv.AppendInt(dst, max(1, a.Timeout.Milliseconds()), 10)
		if a.IdempotencyKey != "" {
			dst = append(dst, ",k="...)
			dst = append(dst, a.IdempotencyKey...)
		}
		dst = append(dst, ' ')
		dst = strconv.AppendInt(dst, int64(len(a.Text)), 10)
		dst = append(dst, '\n')
		dst = append(dst, a.Text...)
	}
	return endFrame(dst, start)
}

// appendCancel appends one C frame, which cancels a part.
func appendCancel(dst []byte, id string) []byte {
	dst, start := beginFrame(dst, 'C')
	return endFrame(append(dst, id...), start)
}

// appendProbe appends one H frame, which asks whether the node answers.
func appendProbe(dst []byte) []byte {
	dst, start := beginFrame(dst, 'H')
	return endFrame(dst, start)
}

// beginFrame appends a frame header with a length of zero, and returns the position at
// which it starts.
func beginFrame(dst []byte, frameType byte) ([]byte, int) {
	start := len(dst)
	return append(dst, 0, 0, 0, 0, frameType), start
}

// endFrame fills in the length of the frame that starts at the given position.
func endFrame(dst []byte, start int) []byte {
	binary.BigEndian.PutUint32(dst[start:], uint32(len(dst)-start-4))
	return dst
}
