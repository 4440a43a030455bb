// Package testkit holds what the tests with real sockets share: stand-ins for
// nodes, discovery and clients, written from their protocols and not from the
// code under test, and a rig that starts a broker among them.
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

// Call is one part as a node got it.
type Call struct {
	ID    string
	Shard int
	Key   string
	Text  string
	Wait  time.Duration
	At    time.Time
	// The headers of the trace, on Flight.
	Traceparent, Tracestate string
}

// The ways in which a stand-in ends a part.
const (
	Done   = "done"
	Fail   = "failed"
	Full   = "full"
	Break  = "break"  // cut the connection in the middle of the answer
	Silent = "silent" // answer nothing until the part is given up
	Raw    = "raw:"   // write what follows as it is
)

// Frame renders one frame of the nodes' protocol.
func Frame(letter byte, rest string) string {
	b := binary.BigEndian.AppendUint32(nil, uint32(len(rest)+1))
	return string(append(append(b, letter), rest...))
}

// Node is a stand-in for a node of either kind.
type Node struct {
	ID, Addr string
	Addrs    []string // further ones
	Cell     int

	mu       sync.Mutex
	work     func(Call) string // how a part ends; runs outside the lock
	calls    []Call
	given    []string // ids of parts that were given up
	conns    map[net.Conn]bool
	listener net.Listener
	more     []net.Listener
	server   *grpc.Server
	changed  chan struct{} // closed and remade at every change
}

// NewNode starts a node that serves all it gets.
func NewNode(t testing.TB, id string, flightKind bool) *Node {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &Node{
		ID: id, Addr: l.Addr().String(), listener: l, conns: map[net.Conn]bool{}, changed: make(chan struct{}),
		work: func(Call) string { return Done },
	}
	if flightKind {
		n.Addr = broker.FlightScheme + n.Addr
		n.server = grpc.NewServer()
		flight.RegisterFlightServiceServer(n.server, &flightNode{node: n})
		go func() { _ = n.server.Serve(tracked{l, n}) }() // ends with Stop
	} else {
		go n.accept(l)
	}
	t.Cleanup(n.Stop)
	return n
}

// Also makes a node listen at a further address, which it returns in the list's
// form.
func (n *Node) Also(t testing.TB, network, addr string) string {
	t.Helper()
	l, err := net.Listen(network, addr)
	if err != nil {
		t.Fatal(err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.more = append(n.more, l)
	text := l.Addr().String()
	if network == "unix" {
		text = "unix:" + text
	}
	if n.server != nil {
		if text = "grpc+" + text; network != "unix" {
			text = broker.FlightScheme + l.Addr().String()
		}
		go func() { _ = n.server.Serve(tracked{l, n}) }() // ends with Stop
	} else {
		go n.accept(l)
	}
	n.Addrs = append(n.Addrs, text)
	return text
}

// Work sets how parts end.
func (n *Node) Work(f func(Call) string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.work = f
}

// Always makes every part end so.
func (n *Node) Always(end string) { n.Work(func(Call) string { return end }) }

// Calls returns the parts that came.
func (n *Node) Calls() []Call {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]Call(nil), n.calls...)
}

// GivenUp returns the ids of parts that the broker gave up.
func (n *Node) GivenUp() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.given...)
}

// Stop closes the node as a dying process would.
func (n *Node) Stop() {
	_ = n.listener.Close()
	n.mu.Lock()
	for _, l := range n.more {
		_ = l.Close()
	}
	n.mu.Unlock()
	n.Cut()
	if n.server != nil {
		n.server.Stop()
	}
}

// Cut breaks all its connections.
func (n *Node) Cut() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (n *Node) note(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *Node) begin(c Call) string {
	var work func(Call) string
	n.note(func() { n.calls, work = append(n.calls, c), n.work })
	return work(c)
}

// Wait returns once ok holds for the node, checked at each change.
func (n *Node) Wait(t testing.TB, what string, ok func() bool) {
	t.Helper()
	limit := time.After(patience)
	for {
		n.mu.Lock()
		changed := n.changed
		n.mu.Unlock()
		if ok() {
			return
		}
		select {
		case <-changed:
		case <-limit:
			t.Fatalf("node %s: never saw %s", n.ID, what)
		}
	}
}

// Value is what a node answers for a shard.
func Value(shard int) string { return fmt.Sprintf("v%d", shard) }

// ---- The kind that speaks frames

func (n *Node) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		n.note(func() { n.conns[c] = true })
		go n.frames(c)
	}
}

func (n *Node) frames(c net.Conn) {
	defer n.note(func() { delete(n.conns, c) })
	defer c.Close()
	var writing sync.Mutex
	write := func(text string) {
		writing.Lock()
		defer writing.Unlock()
		_, _ = io.WriteString(c, text) // the other side may have gone
	}
	send := func(letter byte, rest string) { write(Frame(letter, rest)) }
	in := bufio.NewReader(c)
	for {
		var size uint32
		if binary.Read(in, binary.BigEndian, &size) != nil {
			return
		}
		frame := make([]byte, size)
		if _, err := io.ReadFull(in, frame); err != nil {
			return
		}
		switch rest := string(frame[1:]); frame[0] {
		case 'H', 'M':
			send(frame[0], Done)
		case 'C':
			n.note(func() { n.given = append(n.given, rest) })
		case 'S':
			for rest != "" {
				line, after, _ := strings.Cut(rest, "\n")
				call, size, err := parseLine(line)
				if err != nil || size > len(after) {
					send('F', "bad call")
					return
				}
				call.Text, rest = after[:size], after[size:]
				go func() {
					end := n.begin(call)
					if raw, ok := strings.CutPrefix(end, Raw); ok {
						write(raw)
						return
					}
					switch end {
					case Silent:
					case Break:
						_, _ = c.Write([]byte{0, 0, 0, 40, 'R'}) // a frame cut short
						_ = c.Close()
					default:
						value := ""
						if end == Done {
							value = Value(call.Shard)
						}
						send('R', fmt.Sprintf("%s %s 1 -\n%s", call.ID, end, value))
					}
				}()
			}
		}
	}
}

func parseLine(line string) (c Call, size int, err error) {
	words := strings.Split(line, " ")
	if len(words) != 4 {
		return c, 0, fmt.Errorf("line %q", line)
	}
	c.ID, c.At = words[0], time.Now()
	if c.Shard, err = strconv.Atoi(words[1]); err != nil {
		return c, 0, err
	}
	for _, item := range strings.Split(words[2], ",") {
		switch k, v, _ := strings.Cut(item, "="); k {
		case "d":
			ms, err := strconv.Atoi(v)
			if err != nil {
				return c, 0, err
			}
			c.Wait = time.Duration(ms) * time.Millisecond
		case "k":
			c.Key = v
		}
	}
	size, err = strconv.Atoi(words[3])
	return c, size, err
}

// ---- The kind that speaks Flight

type tracked struct {
	net.Listener
	n *Node
}

func (l tracked) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.n.note(func() { l.n.conns[c] = true })
	}
	return c, err
}

type flightNode struct {
	flight.BaseFlightServer
	node *Node
}

// DoGet answers one part.
func (f *flightNode) DoGet(ticket *flight.Ticket, stream flight.FlightService_DoGetServer) error {
	var p flightwire.PartTicket
	if err := json.Unmarshal(ticket.GetTicket(), &p); err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	call := Call{ID: p.ID, Shard: p.Partition, Key: p.Key, Text: string(p.Query),
		Wait: time.Duration(p.WaitMs) * time.Millisecond, At: time.Now()}
	if md, ok := metadata.FromIncomingContext(stream.Context()); ok {
		call.Traceparent, call.Tracestate = strings.Join(md.Get("traceparent"), " "), strings.Join(md.Get("tracestate"), " ")
	}
	left := func() { f.node.note(func() { f.node.given = append(f.node.given, p.ID) }) }
	switch f.node.begin(call) {
	case Done:
		return flightwire.WriteValues(stream, true, []broker.Value{{Shard: p.Partition, Data: []byte(Value(p.Partition))}})
	case Full:
		stream.SetTrailer(metadata.Pairs(flightwire.PartEndKey, flightwire.PartEndQueueFull))
		return status.Error(codes.ResourceExhausted, "full")
	case Fail:
		return status.Error(codes.Internal, "failed")
	case Break: // the value leaves, its stream's end does not
		if err := flightwire.WriteValues(stream, true, []broker.Value{{Shard: p.Partition, Data: []byte("cut")}}); err != nil {
			return err
		}
		f.node.Cut()
	}
	<-stream.Context().Done()
	left()
	return context.Cause(stream.Context())
}
