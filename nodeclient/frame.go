package nodeclient

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"

	"onyxsail/broker"
)

// maxFrame bounds what a node may send as one frame.
const maxFrame = 1 << 20

var errFrame = errors.New("malformed frame")

// result is one R frame.
type result struct {
	id, end string
	value   []byte
}

// nextFrame splits the first whole frame off b. n is what it took; 0 means
// that more is needed.
func nextFrame(b []byte) (letter byte, rest []byte, n int, err error) {
	if len(b) < 4 {
		return 0, nil, 0, nil
	}
	size := binary.BigEndian.Uint32(b)
	if size < 1 || size > maxFrame {
		return 0, nil, 0, fmt.Errorf("%w: length %d", errFrame, size)
	}
	n = 4 + int(size)
	if len(b) < n {
		return 0, nil, 0, nil
	}
	return b[4], b[5:n], n, nil
}

// parseResult reads the rest of an R frame; the value is a copy.
func parseResult(rest []byte) (result, error) {
	line, value, ok := bytes.Cut(rest, []byte{'\n'})
	words := bytes.Split(line, []byte{' '})
	if !ok || len(words) != 4 || len(words[0]) == 0 {
		return result{}, fmt.Errorf("%w: result line %.80q", errFrame, line)
	}
	return result{string(words[0]), string(words[1]), bytes.Clone(value)}, nil
}

// partID is the id of a part on this wire.
func partID(a *broker.Attempt) string { return a.Query + "." + strconv.Itoa(a.Shard) }

// appendCall renders one S frame.
func appendCall(dst []byte, calls []broker.Attempt) []byte {
	dst, at := open(dst, 'S')
	for i := range calls {
		a := &calls[i]
		dst = append(dst, a.Query...)
		dst = append(dst, '.')
		dst = strconv.AppendInt(dst, int64(a.Shard), 10)
		dst = append(dst, ' ')
		dst = strconv.AppendInt(dst, int64(a.Shard), 10)
		dst = append(dst, " d="...)
		dst = strconv.AppendInt(dst, max(1, a.Wait.Milliseconds()), 10)
		if a.Key != "" {
			dst = append(dst, ",k="...)
			dst = append(dst, a.Key...)
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
