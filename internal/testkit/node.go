// Package testkit provides the fixtures of the tests that use real sockets: fake nodes,
// a fake discovery agent, a fake trace collector, clients, a proxy that injects faults, and
// broker configurations. The fakes are written from the protocols and not from the code
// under test, so that an error in that code does not go unnoticed on both sides.
package testkit

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"onyxsail/broker"
	"onyxsail/internal/flightwire"
)

// Part is one part of a query as a node received it.
type Part struct {
	ID         string
	Shard      int
	Key        string        // idempotency key
	Query      string        // the query's body, as the broker passes it on
	Timeout    time.Duration // the time left for the part, as the broker states it
	ReceivedAt time.Time
	// The trace context headers; set on Flight only.
	Traceparent, Tracestate string
}

// The responses of a Node to a part.
const (
	Done        = "done"   // the shard's value
	Failed      = "failed" // the part failed
	Full        = "full"   // refused: the node's queue is full
	Disconnect  = "break"  // close the connection in the middle of the response
	NeverAnswer = "silent" // do not respond; wait until the broker cancels the part
	RawResponse = "raw:"   // as a prefix: write the rest of the string to the connection unchanged (frames only)
)

// Frame encodes one frame of the node protocol: the length of the rest, the type and the payload.
func Frame(frameType byte, payload string) string {
	b := binary.BigEndian.AppendUint32(nil, uint32(len(payload)+1))
	return string(append(append(b, frameType), payload...))
}

// Node is a fake node that speaks either the frame protocol or Arrow Flight.
type Node struct {
	ID, Addr string   // Addr is in the form used in the discovery list
	Addrs    []string // additional addresses, in the same form
	Cell     int

	mu             sync.Mutex
	responder      func(Part) string // returns the response to a part; called without holding mu
	flightFilter   FlightFilter      // nil: messages are sent as they are
	flightTrailer  metadata.MD       // trailers of all answers on Flight
	parts          []Part
	cancelled      []string          // IDs of cancelled parts
	conns          map[net.Conn]bool // open connections
	listener       net.Listener
	extraListeners []net.Listener
	grpcServer     *grpc.Server
	changed        chan struct{} // closed and replaced on every change
}

// NewNode starts a node that responds to all parts with Done, on Flight if useFlight is set and
// on frames otherwise. It stops when the test ends.
func NewNode(t testing.TB, id string, useFlight bool) *Node {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &Node{
		ID: id, Addr: l.Addr().String(), listener: l, conns: map[net.Conn]bool{}, changed: make(chan struct{}),
		responder: func(Part) string { return Done },
	}
	if useFlight {
		n.Addr = broker.FlightScheme + n.Addr
		n.grpcServer = grpc.NewServer()
		flight.RegisterFlightServiceServer(n.grpcServer, &flightServer{node: n})
		go func() { _ = n.grpcServer.Serve(trackingListener{l, n}) }() // ends with Stop
	} else {
		go n.acceptFrameConns(l)
	}
	t.Cleanup(n.Stop)
	return n
}

// AddAddress makes the node listen at an additional address, which it returns in the form
// used in the discovery list.
func (n *Node) AddAddress(t testing.TB, network, addr string) string {
	t.Helper()
	l, err := net.Listen(network, addr)
	if err != nil {
		t.Fatal(err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.extraListeners = append(n.extraListeners, l)
	text := l.Addr().String()
	if network == "unix" {
		text = "unix:" + text
	}
	if n.grpcServer != nil {
		if text = "grpc+" + text; network != "unix" {
			text = broker.FlightScheme + l.Addr().String()
		}
		go func() { _ = n.grpcServer.Serve(trackingListener{l, n}) }() // ends with Stop
	} else {
		go n.acceptFrameConns(l)
	}
	n.Addrs = append(n.Addrs, text)
	return text
}

// SetResponder sets the function that chooses the response to each part.
func (n *Node) SetResponder(responder func(Part) string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.responder = responder
}

// FlightFilter changes the messages of an answer to a part on Flight.
type FlightFilter func(Part, *flight.FlightData)

// SetFlightFilter makes the node pass the messages of its answers through filter.
func (n *Node) SetFlightFilter(filter FlightFilter) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.flightFilter = filter
}

// SetTrailer makes the node end its answers on Flight with these trailers.
func (n *Node) SetTrailer(trailer metadata.MD) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.flightTrailer = trailer
}

// trailer returns the trailers of an answer on Flight.
func (n *Node) trailer() metadata.MD {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.flightTrailer
}

// filteredStream passes the messages of one answer through a filter.
type filteredStream struct {
	flight.FlightService_DoGetServer
	part   Part
	filter FlightFilter
}

// Send implements flight.DataStreamWriter.
func (s filteredStream) Send(message *flight.FlightData) error {
	s.filter(s.part, message)
	return s.FlightService_DoGetServer.Send(message)
}

// filtered returns the stream of an answer, behind the node's filter if it has one.
func (n *Node) filtered(part Part, stream flight.FlightService_DoGetServer) flight.FlightService_DoGetServer {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.flightFilter == nil {
		return stream
	}
	return filteredStream{stream, part, n.flightFilter}
}

// SetResponse makes the node respond to every part in the same way.
func (n *Node) SetResponse(response string) { n.SetResponder(func(Part) string { return response }) }

// Parts returns the parts received so far.
func (n *Node) Parts() []Part {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]Part(nil), n.parts...)
}

// Cancelled returns the IDs of the parts that the broker has cancelled. On Flight these are the
// parts whose stream ended before the node's response was complete, for whatever cause.
func (n *Node) Cancelled() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.cancelled...)
}

// Stop stops the node as a crashing process would: it closes the listeners and resets all
// connections.
func (n *Node) Stop() {
	_ = n.listener.Close()
	n.mu.Lock()
	for _, l := range n.extraListeners {
		_ = l.Close()
	}
	n.mu.Unlock()
	n.ResetConnections()
	if n.grpcServer != nil {
		n.grpcServer.Stop()
	}
}

// ResetConnections resets all connections of the node.
func (n *Node) ResetConnections() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// update runs f under the lock and notifies WaitFor of a change.
func (n *Node) update(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

// receive records a part and returns the response to it.
func (n *Node) receive(part Part) string {
	var responder func(Part) string
	n.update(func() { n.parts, responder = append(n.parts, part), n.responder })
	return responder(part)
}

// WaitFor waits until condition holds, which it checks on each change of the node, and fails the
// test if it does not within waitTimeout.
func (n *Node) WaitFor(t testing.TB, description string, condition func() bool) {
	t.Helper()
	timeout := time.After(waitTimeout)
	for {
		n.mu.Lock()
		changed := n.changed
		n.mu.Unlock()
		if condition() {
			return
		}
		select {
		case <-changed:
		case <-timeout:
			t.Fatalf("node %s: timed out waiting for: %s", n.ID, description)
		}
	}
}

// ShardValue returns the value with which a node responds for a shard.
func ShardValue(shard int) string { return fmt.Sprintf("v%d", shard) }

// ---- Frame protocol

// acceptFrameConns serves the connections of a listener until that is closed.
func (n *Node) acceptFrameConns(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		n.update(func() { n.conns[c] = true })
		go n.serveFrames(c)
	}
}

// serveFrames reads the frames of one connection and responds to them until it ends.
func (n *Node) serveFrames(c net.Conn) {
	defer n.update(func() { delete(n.conns, c) })
	defer c.Close()
	var writeMu sync.Mutex
	write := func(text string) {
		writeMu.Lock()
		defer writeMu.Unlock()
		_, _ = io.WriteString(c, text) // the peer may have disconnected
	}
	send := func(frameType byte, payload string) { write(Frame(frameType, payload)) }
	reader := bufio.NewReader(c)
	for {
		var size uint32
		if binary.Read(reader, binary.BigEndian, &size) != nil {
			return
		}
		frame := make([]byte, size)
		if _, err := io.ReadFull(reader, frame); err != nil {
			return
		}
		switch payload := string(frame[1:]); frame[0] {
		case 'H', 'M': // probes
			send(frame[0], Done)
		case 'C': // cancel
			n.update(func() { n.cancelled = append(n.cancelled, payload) })
		case 'S': // parts
			for payload != "" {
				line, after, _ := strings.Cut(payload, "\n")
				part, size, err := parsePartHeader(line)
				if err != nil || size > len(after) {
					send('F', "bad call")
					return
				}
				part.Query, payload = after[:size], after[size:]
				go func() {
					response := n.receive(part)
					if raw, ok := strings.CutPrefix(response, RawResponse); ok {
						write(raw)
						return
					}
					switch response {
					case NeverAnswer:
					case Disconnect:
						_, _ = c.Write([]byte{0, 0, 0, 40, 'R'}) // a truncated frame
						_ = c.Close()
					default:
						value := ""
						if response == Done {
							value = ShardValue(part.Shard)
						}
						send('R', fmt.Sprintf("%s %s 1 -\n%s", part.ID, response, value))
					}
				}()
			}
		}
	}
}

// parsePartHeader parses the line that precedes a part's query in a frame: id, shard, options
// and the size of the query in bytes.
func parsePartHeader(line string) (part Part, size int, err error) {
	fields := strings.Split(line, " ")
	if len(fields) != 4 {
		return part, 0, fmt.Errorf("part header %q: want 4 fields", line)
	}
	part.ID, part.ReceivedAt = fields[0], time.Now()
	if part.Shard, err = strconv.Atoi(fields[1]); err != nil {
		return part, 0, err
	}
	for _, option := range strings.Split(fields[2], ",") {
		switch k, v, _ := strings.Cut(option, "="); k {
		case "d":
			ms, err := strconv.Atoi(v)
			if err != nil {
				return part, 0, err
			}
			part.Timeout = time.Duration(ms) * time.Millisecond
		case "k":
			part.Key = v
		}
	}
	size, err = strconv.Atoi(fields[3])
	return part, size, err
}

// ---- Arrow Flight

// trackingListener records the accepted connections in a Node, so that they can be reset.
type trackingListener struct {
	net.Listener
	node *Node
}

// Accept implements net.Listener.
func (l trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.node.update(func() { l.node.conns[c] = true })
	}
	return c, err
}

// flightServer implements the Arrow Flight service of a Node.
type flightServer struct {
	flight.BaseFlightServer
	node *Node
}

// DoGet responds to one part.
func (f *flightServer) DoGet(ticket *flight.Ticket, stream flight.FlightService_DoGetServer) error {
	var request flightwire.PartTicket
	if err := json.Unmarshal(ticket.GetTicket(), &request); err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	part := Part{ID: request.ID, Shard: request.Partition, Key: request.Key, Query: string(request.Query),
		Timeout: time.Duration(request.WaitMs) * time.Millisecond, ReceivedAt: time.Now()}
	if md, ok := metadata.FromIncomingContext(stream.Context()); ok {
		part.Traceparent, part.Tracestate = strings.Join(md.Get("traceparent"), " "), strings.Join(md.Get("tracestate"), " ")
	}
	stream.SetTrailer(f.node.trailer())
	recordCancelled := func() { f.node.update(func() { f.node.cancelled = append(f.node.cancelled, request.ID) }) }
	switch f.node.receive(part) {
	case Done:
		return flightwire.WriteValues(f.node.filtered(part, stream), true, []broker.Value{{Shard: request.Partition, Data: []byte(ShardValue(request.Partition))}})
	case Full:
		stream.SetTrailer(metadata.Pairs(flightwire.PartEndKey, flightwire.PartEndQueueFull))
		return status.Error(codes.ResourceExhausted, "full")
	case Failed:
		return status.Error(codes.Internal, "failed")
	case Disconnect: // the value is sent, but not the end of the stream
		if err := flightwire.WriteValues(stream, true, []broker.Value{{Shard: request.Partition, Data: []byte("cut")}}); err != nil {
			return err
		}
		f.node.ResetConnections()
	}
	<-stream.Context().Done()
	recordCancelled()
	return context.Cause(stream.Context())
}
