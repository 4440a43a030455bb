//go:build review

package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"google.golang.org/grpc"

	"onyxsail/broker"
	"onyxsail/internal/flightwire"
)

// flightNode is a server that speaks Arrow Flight. It answers each part with its value.
type flightNode struct {
	flight.BaseFlightServer
	id, addr string
	rec      *record
	work     time.Duration
	spoil    func(body []byte) []byte // changes the body of an answer; nil: nothing is changed
	spoilNow atomic.Bool
	spoilt   atomic.Int64
	mu       sync.Mutex
	runs     map[string]int // by part id
}

func startFlightNode(rec *record, id string, work time.Duration) (*flightNode, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &flightNode{id: id, addr: "grpc+tcp://" + l.Addr().String(), rec: rec, work: work, runs: map[string]int{}}
	server := grpc.NewServer()
	flight.RegisterFlightServiceServer(server, n)
	go func() { _ = server.Serve(l) }()
	return n, nil
}

// spoilingStream changes the bodies of the messages that a server sends.
type spoilingStream struct {
	flight.FlightService_DoGetServer
	spoil func([]byte) []byte
}

func (s spoilingStream) Send(d *flight.FlightData) error {
	if len(d.DataBody) > 0 {
		d.DataBody = s.spoil(append([]byte(nil), d.DataBody...))
	}
	return s.FlightService_DoGetServer.Send(d)
}

// DoGet runs one part.
func (n *flightNode) DoGet(ticket *flight.Ticket, stream flight.FlightService_DoGetServer) error {
	var request flightwire.PartTicket
	if err := json.Unmarshal(ticket.GetTicket(), &request); err != nil {
		return err
	}
	n.mu.Lock()
	n.runs[request.ID]++
	n.mu.Unlock()
	select {
	case <-time.After(n.work):
	case <-stream.Context().Done():
		n.rec.note("%s: part %s was given up", n.id, request.ID)
		return stream.Context().Err()
	}
	value := partValue(string(request.Query), request.Partition)
	values := []broker.Value{{Shard: request.Partition, Data: []byte(value)}}
	if n.spoil != nil && n.spoilNow.Load() {
		n.spoilt.Add(1)
		n.rec.note("%s: part %s ran, its answer is spoilt", n.id, request.ID)
		return flightwire.WriteValues(spoilingStream{stream, n.spoil}, true, values)
	}
	n.rec.note("%s: part %s ran, value %s", n.id, request.ID, value)
	return flightwire.WriteValues(stream, true, values)
}

// partValue is the value that every server has for a part.
func partValue(query string, shard int) string { return fmt.Sprintf("%s-%d", query, shard) }

// misfit makes the start of the one value lie behind its end: a length that does not fit.
func misfit(body []byte) []byte {
	// The body of the batch has the shard numbers in its first 8 or 64 bytes, then the offsets
	// of the values, then the values; the second offset is the length of the one value.
	for _, align := range []int{8, 64} {
		if len(body) >= align+8 && binary.LittleEndian.Uint32(body[align:]) == 0 && binary.LittleEndian.Uint32(body[align+4:]) > 0 {
			binary.LittleEndian.PutUint32(body[align:], 1000)
			return body
		}
	}
	return body
}
