package flightnode

import (
	"bytes"
	"context"
	"errors"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"onyxsail/broker"
)

// requestWriter writes the frames of requests as a client does, to a buffer.
type requestWriter struct {
	bytes.Buffer
	framer  *http2.Framer
	encoder *hpack.Encoder
	block   bytes.Buffer
}

func newRequestWriter() *requestWriter {
	w := &requestWriter{}
	w.WriteString(http2.ClientPreface)
	w.framer, w.encoder = http2.NewFramer(&w.Buffer, nil), hpack.NewEncoder(&w.block)
	return w
}

// headers writes the headers of a request, in two frames. attempt is left out if it is negative.
func (w *requestWriter) headers(t *testing.T, stream uint32, attempt int) {
	t.Helper()
	w.block.Reset()
	fields := []hpack.HeaderField{{Name: ":method", Value: "POST"}, {Name: "filler", Value: strings.Repeat("f", 300)}}
	if attempt >= 0 {
		fields = append(fields, hpack.HeaderField{Name: attemptHeader, Value: strconv.Itoa(attempt)})
	}
	for _, field := range fields {
		if err := w.encoder.WriteField(field); err != nil {
			t.Fatal(err)
		}
	}
	block := w.block.Bytes()
	half := len(block) / 2
	err := errors.Join(w.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block[:half]}),
		w.framer.WriteContinuation(stream, true, block[half:]))
	if err != nil {
		t.Fatal(err)
	}
}

// data writes some of a request's body.
func (w *requestWriter) data(t *testing.T, stream uint32, size int, end bool) {
	t.Helper()
	if err := w.framer.WriteData(stream, end, make([]byte, size)); err != nil {
		t.Fatal(err)
	}
}

// openLimit permits all attempts to start.
func openLimit() *atomic.Pointer[startLimit] {
	limit := &atomic.Pointer[startLimit]{}
	limit.Store(&startLimit{listed: true})
	return limit
}

// ticketsByID returns tickets that may be written, made when they are first looked up.
func ticketsByID() (byID map[broker.AttemptID]*ticket, lookup func(broker.AttemptID) *ticket) {
	byID = map[broker.AttemptID]*ticket{}
	return byID, func(id broker.AttemptID) *ticket {
		if byID[id] == nil {
			_, cancel := context.WithCancel(context.Background())
			byID[id] = &ticket{attempt: broker.Attempt{ID: id}, node: openLimit(), cancel: cancel, settled: make(chan struct{}), written: func(time.Time) {}}
		}
		return byID[id]
	}
}

// The ends of requests must be found at the right positions however the stream is cut into writes.
func TestRequestEndsAreFoundInAnyPieces(t *testing.T) {
	w := newRequestWriter()
	var want []int // position after the last byte of each attempt's request, in order
	if err := w.framer.WriteSettings(); err != nil {
		t.Fatal(err)
	}
	for i, attempt := range []int{7, -1, 8, 9, 10} { // the second is no attempt, the fourth is reset
		stream := uint32(2*i + 1)
		w.headers(t, stream, attempt)
		w.data(t, stream, 100, false)
		if attempt == 9 {
			if err := w.framer.WriteRSTStream(stream, http2.ErrCodeCancel); err != nil {
				t.Fatal(err)
			}
			continue
		}
		w.data(t, stream, 20, true)
		if attempt >= 0 {
			want = append(want, w.Len())
		}
	}
	stream := w.Bytes()
	for size := 1; size <= len(stream); size++ {
		_, lookup := ticketsByID()
		parser := newRequestParser(lookup)
		var ids []broker.AttemptID
		var got []int
		for start := 0; start < len(stream); start += size {
			ends, err := parser.parse(stream[start:min(start+size, len(stream))])
			if err != nil {
				t.Fatal(err)
			}
			for _, end := range ends {
				ids, got = append(ids, end.ticket.attempt.ID), append(got, start+end.offset)
			}
		}
		if len(ids) != 3 || ids[0] != 7 || ids[1] != 8 || ids[2] != 10 || got[0] != want[0] || got[1] != want[1] || got[2] != want[2] {
			t.Fatalf("pieces of %d bytes: got attempts %v ending at %v, want 7, 8 and 10 at %v", size, ids, got, want)
		}
		if len(parser.tickets) != 0 {
			t.Fatalf("%d requests are still followed, want none", len(parser.tickets))
		}
	}
}

// Requests that the node ended before it had them whole must not be followed for ever.
func TestRequestsEndedByTheNodeAreForgotten(t *testing.T) {
	w := newRequestWriter()
	byID, lookup := ticketsByID()
	parser := newRequestParser(lookup)
	for i := range 1000 {
		w.headers(t, uint32(2*i+1), i)
		if _, err := parser.parse(w.Next(w.Len())); err != nil {
			t.Fatal(err)
		}
		byID[broker.AttemptID(i)].answered(false, time.Now())
	}
	if len(parser.tickets) > 2*minPruneAt {
		t.Errorf("%d requests are followed, want %d at most", len(parser.tickets), 2*minPruneAt)
	}
}

// limitedConn takes up to a number of bytes and then fails.
type limitedConn struct {
	net.Conn
	room   int
	taken  int
	closed bool
}

var errNoRoom = errors.New("no room")

func (c *limitedConn) Write(b []byte) (int, error) {
	n := min(len(b), c.room-c.taken)
	c.taken += n
	if n < len(b) {
		return n, errNoRoom
	}
	return n, nil
}

func (c *limitedConn) Close() error {
	c.closed = true
	return nil
}

// A write that would end a request which has been taken back, or may not start any more, must be
// refused whole.
func TestWriteThatEndsAWithdrawnRequestIsRefused(t *testing.T) {
	for name, spoil := range map[string]func(*ticket){
		"taken back":           func(held *ticket) { held.withdraw() },
		"past its start":       func(held *ticket) { held.attempt.LatestStart = time.Now().Add(-time.Second) },
		"past the node's":      func(held *ticket) { held.node.Store(&startLimit{listed: true, latest: time.Now().Add(-time.Second)}) },
		"of an unlisted node":  func(held *ticket) { held.node.Store(&startLimit{}) },
		"sent a second time":   func(held *ticket) { held.beginWrite(0); held.endWrite(true, time.Now()) },
		"of a departed client": func(held *ticket) { held.attempt.Client = departedClient{} },
	} {
		t.Run(name, func(t *testing.T) {
			w := newRequestWriter()
			byID, lookup := ticketsByID()
			raw := &limitedConn{room: 1 << 20}
			conn := newTrackedConn(raw, raw, lookup)
			w.headers(t, 1, 1)
			w.headers(t, 3, 2)
			w.data(t, 1, 100, false)
			if _, err := conn.Write(w.Next(w.Len())); err != nil {
				t.Fatal(err)
			}
			spoil(byID[1])
			before := raw.taken
			w.data(t, 3, 10, true)
			w.data(t, 1, 10, true)
			if _, err := conn.Write(w.Next(w.Len())); !errors.Is(err, errWithdrawn) || raw.taken != before || !raw.closed {
				t.Errorf("got error %v, %d bytes written, closed %v; want a refusal, none, and the connection closed", err, raw.taken-before, raw.closed)
			}
			if other := byID[2].currentState(); other != ticketWithdrawn {
				t.Errorf("the other request of that write has state %d, want it never written", other)
			}
		})
	}
}

// departedClient is a client that has left.
type departedClient struct{ broker.DisconnectChecker }

func (departedClient) ClientGone() bool { return true }

// If a write fails, exactly the requests whose last byte was taken count as written.
func TestFailedWriteTellsWhichRequestsLeft(t *testing.T) {
	for _, missing := range []int{0, 1} {
		w := newRequestWriter()
		byID, lookup := ticketsByID()
		w.headers(t, 1, 1)
		w.data(t, 1, 100, true)
		firstEnd := w.Len()
		w.headers(t, 3, 2)
		w.data(t, 3, 100, true)
		raw := &limitedConn{room: firstEnd - missing}
		conn := newTrackedConn(raw, raw, lookup)
		if _, err := conn.Write(w.Bytes()); !errors.Is(err, errNoRoom) {
			t.Fatalf("got error %v, want that of the connection", err)
		}
		want := ticketWritten
		if missing > 0 {
			want = ticketWithdrawn
		}
		if first, second := byID[1].currentState(), byID[2].currentState(); first != want || second != ticketWithdrawn {
			t.Errorf("%d bytes missing: states %d and %d, want %d and %d", missing, first, second, want, ticketWithdrawn)
		}
	}
}
