package flightfront

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/rs/zerolog"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/protobuf/proto"

	"onyxsail/broker"
	"onyxsail/internal/connlimit"
	"onyxsail/internal/query"
	"onyxsail/internal/testkit"
)

// rawClient speaks HTTP/2 frames, so that it can open a call whenever it likes.
type rawClient struct {
	t      *testing.T
	framer *http2.Framer
}

// dialRaw connects to a front and exchanges settings with it.
func dialRaw(t *testing.T, f *Front) *rawClient {
	t.Helper()
	client, _ := dialRawConn(t, f)
	return client
}

// dialRawConn is like dialRaw and returns the connection too.
func dialRawConn(t *testing.T, f *Front) (*rawClient, net.Conn) {
	t.Helper()
	conn, err := net.Dial("tcp", f.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, http2.ClientPreface); err != nil {
		t.Fatal(err)
	}
	c := &rawClient{t: t, framer: http2.NewFramer(conn, conn)}
	c.framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	if err := c.framer.WriteSettings(); err != nil {
		t.Fatal(err)
	}
	return c, conn
}

// openHeaders sends the headers of a DoGet.
func (c *rawClient) openHeaders(stream uint32) {
	c.t.Helper()
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	for _, field := range []hpack.HeaderField{
		{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":authority", Value: "broker"},
		{Name: ":path", Value: "/arrow.flight.protocol.FlightService/DoGet"},
		{Name: "content-type", Value: "application/grpc"}, {Name: "te", Value: "trailers"},
	} {
		if err := encoder.WriteField(field); err != nil {
			c.t.Fatal(err)
		}
	}
	if err := c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block.Bytes(), EndHeaders: true}); err != nil {
		c.t.Fatal(err)
	}
}

// openCall sends a DoGet whole.
func (c *rawClient) openCall(stream uint32, ticket string) {
	c.t.Helper()
	c.openHeaders(stream)
	message, err := proto.Marshal(&flight.Ticket{Ticket: []byte(ticket)})
	if err != nil {
		c.t.Fatal(err)
	}
	prefixed := append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(message))), message...)
	if err := c.framer.WriteData(stream, true, prefixed); err != nil {
		c.t.Fatal(err)
	}
}

// readUntil reads frames until found says that one is wanted.
func (c *rawClient) readUntil(found func(http2.Frame) bool) {
	c.t.Helper()
	for {
		frame, err := c.framer.ReadFrame()
		if err != nil {
			c.t.Fatalf("reading frames: %v", err)
		}
		if settings, ok := frame.(*http2.SettingsFrame); ok && !settings.IsAck() {
			_ = c.framer.WriteSettingsAck()
		}
		if found(frame) {
			return
		}
	}
}

// A call that a client opens before it can have seen the GOAWAY of a drain must be answered.
func TestCallOpenedBehindGoAwayIsAnswered(t *testing.T) {
	core := &fakeCore{}
	f, err := Listen("127.0.0.1:0", Options{
		Core: core, Conns: connlimit.New(4), Shards: 18, Log: zerolog.New(io.Discard), Classes: map[string]query.Class{"screen": {Name: "screen", DeadlineMs: 4000}},
	})
	if err != nil {
		t.Fatal(err)
	}
	client := dialRaw(t, f)
	client.openCall(1, validTicket) // stays open
	testkit.Eventually(t, "the first query is submitted", func() bool {
		core.mu.Lock()
		defer core.mu.Unlock()
		return len(core.submitted) == 1
	})
	core.mu.Lock()
	core.reply = &broker.Reply{Complete: true, Values: []broker.Value{{Shard: 3, Data: []byte("v")}}}
	core.mu.Unlock()
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		f.Drain(context.Background())
	}()
	var ping [8]byte
	client.readUntil(func(frame http2.Frame) bool {
		_, isGoAway := frame.(*http2.GoAwayFrame)
		return isGoAway
	})
	client.readUntil(func(frame http2.Frame) bool {
		p, isPing := frame.(*http2.PingFrame)
		if isPing {
			ping = p.Data
		}
		return isPing && !p.IsAck()
	})
	client.openCall(3, validTicket) // the front has not heard yet that the client knows of the drain
	if err := client.framer.WritePing(true, ping); err != nil {
		t.Fatal(err)
	}
	gotStatus := ""
	client.readUntil(func(frame http2.Frame) bool {
		headers, ok := frame.(*http2.MetaHeadersFrame)
		if !ok || headers.StreamID != 3 || !headers.StreamEnded() {
			return false
		}
		for _, field := range headers.Fields {
			if field.Name == "grpc-status" {
				gotStatus = field.Value
			}
		}
		return true
	})
	if gotStatus != "0" {
		t.Errorf("the second call ended with status %q, want 0", gotStatus)
	}
	if err := client.framer.WriteRSTStream(1, http2.ErrCodeCancel); err != nil {
		t.Fatal(err)
	}
	<-drained
}
