//go:build review2

package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// flightClient is a client that asks over Arrow Flight, on one HTTP/2 connection. It writes its
// first request right behind its own preface, as RFC 9113, section 3.4, allows, so that it is
// known when the request's last byte was written.
type flightClient struct {
	conn   net.Conn
	framer *http2.Framer
	next   uint32 // number of the next stream
}

// dialFlight opens a connection and sends the preface.
func dialFlight(addr string) (*flightClient, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	c := &flightClient{conn: conn, framer: http2.NewFramer(conn, conn), next: 1}
	c.framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	if _, err = io.WriteString(conn, http2.ClientPreface); err == nil {
		err = c.framer.WriteSettings()
	}
	return c, err
}

// flightAnswer is how a call ended.
type flightAnswer struct {
	status string // grpc-status; "": no end came
	data   []byte // of the messages
	err    error
	took   time.Duration // from the request's last byte
}

// ask sends a DoGet and waits for its end.
func (c *flightClient) ask(class, id string, shards []int, deadline, wait time.Duration) (a flightAnswer) {
	var targets []map[string]any
	for _, s := range shards {
		targets = append(targets, map[string]any{"partition": s, "share": 1 / float64(len(shards))})
	}
	ticket, err := json.Marshal(map[string]any{"id": id, "class": class, "targets": targets, "query": "c41e77d0"})
	if err != nil {
		return flightAnswer{err: err}
	}
	stream := c.next
	c.next += 2
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	for _, h := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", "/arrow.flight.protocol.FlightService/DoGet"},
		{":authority", "broker"}, {"content-type", "application/grpc"}, {"te", "trailers"},
		{"grpc-timeout", fmt.Sprintf("%dm", deadline.Milliseconds())}} {
		_ = encoder.WriteField(hpack.HeaderField{Name: h[0], Value: h[1]}) // a buffer takes all
	}
	message := append(binary.AppendUvarint([]byte{0x0a}, uint64(len(ticket))), ticket...) // field 1 of Ticket
	body := append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(message))), message...)
	err = c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block.Bytes(), EndHeaders: true})
	if err == nil {
		err = c.framer.WriteData(stream, true, body)
	}
	sentAt := time.Now()
	_ = c.conn.SetReadDeadline(sentAt.Add(wait))
	for err == nil {
		var frame http2.Frame
		if frame, err = c.framer.ReadFrame(); err != nil {
			break
		}
		switch f := frame.(type) {
		case *http2.SettingsFrame:
			if !f.IsAck() {
				err = c.framer.WriteSettingsAck()
			}
		case *http2.PingFrame:
			if !f.IsAck() {
				err = c.framer.WritePing(true, f.Data)
			}
		case *http2.DataFrame:
			if f.StreamID == stream {
				a.data = append(a.data, f.Data()...)
			}
			if n := uint32(len(f.Data())); n > 0 {
				err = c.framer.WriteWindowUpdate(0, n)
			}
		case *http2.MetaHeadersFrame:
			for _, h := range f.Fields {
				if f.StreamID == stream && h.Name == "grpc-status" {
					a.status = h.Value
				}
			}
			if f.StreamID == stream && f.StreamEnded() {
				a.took = time.Since(sentAt)
				return a
			}
		case *http2.RSTStreamFrame:
			if f.StreamID == stream {
				err = fmt.Errorf("reset: %v", f.ErrCode)
			}
		}
	}
	a.err, a.took = err, time.Since(sentAt)
	return a
}

// keep keeps the connection open and at rest until the broker ends it: it answers pings, and closes
// when it is told to go.
func (c *flightClient) keep() {
	defer c.conn.Close()
	_ = c.conn.SetReadDeadline(time.Time{})
	for {
		frame, err := c.framer.ReadFrame()
		if err != nil {
			return
		}
		switch f := frame.(type) {
		case *http2.PingFrame:
			if !f.IsAck() && c.framer.WritePing(true, f.Data) != nil {
				return
			}
		case *http2.GoAwayFrame:
			return
		}
	}
}
