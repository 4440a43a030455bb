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

// Bounds of what a node may send. A client's whole answer holds at most 64 KiB,
// so no value of a part may be larger.
const (
	maxValue = 64 << 10
	maxLine  = 1 << 10
	maxFrame = 1 + maxLine + maxValue
)

var errFrame = errors.New("malformed frame")

// result is one R frame. The report of the load, which the platform's nodes
// leave empty, is not read.
type result struct {
	id    string
	end   decide.Outcome
	value []byte
}

// nextFrame splits the first whole frame off b. n is what it took; 0 means
// that more is needed. What can be told from the first bytes is not waited for:
// a length or a letter that can't be, a line that does not end.
func nextFrame(b []byte) (letter byte, rest []byte, n int, err error) {
	if len(b) < 4 {
		return 0, nil, 0, nil
	}
	size := binary.BigEndian.Uint32(b)
	if size < 1 || size > maxFrame {
		return 0, nil, 0, fmt.Errorf("%w: length %d", errFrame, size)
	}
	if len(b) < 5 {
		return 0, nil, 0, nil
	}
	n = 4 + int(size)
	head := b[5:min(n, len(b))]
	switch letter = b[4]; letter {
	case 'R':
		if line := head[:min(maxLine, len(head))]; len(head) >= maxLine && bytes.IndexByte(line, '\n') < 0 {
			return 0, nil, 0, fmt.Errorf("%w: a line over %d bytes", errFrame, maxLine)
		}
	case 'H', 'M', 'F':
		if size > maxLine {
			return 0, nil, 0, fmt.Errorf("%w: %q of %d bytes", errFrame, letter, size)
		}
	default:
		return 0, nil, 0, fmt.Errorf("%w: letter %q", errFrame, letter)
	}
	if len(b) < n {
		return 0, nil, 0, nil
	}
	return letter, b[5:n], n, nil
}

// ends are the words for how a part ended.
var ends = map[string]decide.Outcome{"done": decide.OK, "failed": decide.Failed, "full": decide.Rejected}

// parseResult reads the rest of an R frame; the value is a copy. All of the
// line but the report must be right: an answer of which one word is spoilt may
// be spoilt in its value too, and that must not be served.
func parseResult(rest []byte) (result, error) {
	line, value, ok := bytes.Cut(rest, []byte{'\n'})
	words := bytes.SplitN(line, []byte{' '}, 4)
	if !ok || len(words) != 4 || len(words[0]) == 0 {
		return result{}, fmt.Errorf("%w: result line %.80q", errFrame, line)
	}
	end, known := ends[string(words[1])]
	if _, err := strconv.ParseFloat(string(words[2]), 64); err != nil || !known {
		return result{}, fmt.Errorf("%w: result line %.80q", errFrame, line)
	}
	// A value stands in a JSON text to the client, so it is text. A wrong length
	// that swallows the next frame shows by that one's length, which has a zero.
	if len(value) > maxValue || !utf8.Valid(value) || bytes.IndexByte(value, 0) >= 0 {
		return result{}, fmt.Errorf("%w: value of %d bytes that is no text", errFrame, len(value))
	}
	return result{string(words[0]), end, bytes.Clone(value)}, nil
}

// partID is the id of a part on this wire.
func partID(a *broker.Attempt) string { return a.RequestID + "." + strconv.Itoa(a.Shard) }

// appendCall renders one S frame.
func appendCall(dst []byte, calls []broker.Attempt) []byte {
	dst, at := open(dst, 'S')
	for i := range calls {
		a := &calls[i]
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
	return shut(dst, at)
}

// appendCancel renders one C frame.
func appendCancel(dst []byte, id string) []byte {
	dst, at := open(dst, 'C')
	return shut(append(dst, id...), at)
}

// appendProbe renders one H frame.
func appendProbe(dst []byte) []byte {
	dst, at := open(dst, 'H')
	return shut(dst, at)
}

func open(dst []byte, letter byte) ([]byte, int) {
	at := len(dst)
	return append(dst, 0, 0, 0, 0, letter), at
}

func shut(dst []byte, at int) []byte {
	binary.BigEndian.PutUint32(dst[at:], uint32(len(dst)-at-4))
	return dst
}
