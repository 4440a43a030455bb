package testkit

import (
	"compress/gzip"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	coltracepb "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	tracepb "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/proto"
)

// The actions of a Collector at an export request.
const (
	Accept     = "accept" // store all spans
	Hang       = "hang"   // send no response until the client disconnects
	Reset      = "reset"  // read a few bytes of the body and reset the connection
	RejectHalf = "half"   // store half of the spans and report the others as rejected
)

// Collector is a fake OpenTelemetry collector that receives OTLP over HTTP.
type Collector struct {
	Addr string

	mu       sync.Mutex
	script   []ScriptedResponse // pending responses; Accept once all are used
	spans    []*tracepb.Span
	requests int
	changed  chan struct{}
}

// ScriptedResponse is the response to one export request.
type ScriptedResponse struct {
	Action     string // one of the actions above; "": respond with Status
	Status     int    // HTTP status
	RetryAfter string // the header Retry-After, with Status only; empty: none
}

// NewCollector starts a collector that answers the first requests by the script, in order, and
// accepts all later ones. It is closed when the test ends.
func NewCollector(t testing.TB, script ...ScriptedResponse) *Collector {
	t.Helper()
	c := &Collector{script: script, changed: make(chan struct{}, 1)}
	s := httptest.NewServer(c)
	c.Addr = strings.TrimPrefix(s.URL, "http://")
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return c
}

// Spans returns the spans that were accepted so far.
func (c *Collector) Spans() []*tracepb.Span {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*tracepb.Span(nil), c.spans...)
}

// Requests returns the number of export requests received, including those that were not accepted.
func (c *Collector) Requests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests
}

// ServeHTTP handles one export request.
func (c *Collector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	c.requests++
	response := ScriptedResponse{Action: Accept}
	if len(c.script) > 0 {
		response, c.script = c.script[0], c.script[1:]
	}
	c.mu.Unlock()
	switch response.Action {
	case Hang:
		_, _ = io.Copy(io.Discard, r.Body) // the server notices a disconnect only once the body has been read
		<-r.Context().Done()
		return
	case Reset:
		_, _ = io.ReadFull(r.Body, make([]byte, 8))
		if h, ok := w.(http.Hijacker); ok {
			if conn, _, err := h.Hijack(); err == nil {
				if tcp, ok := conn.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0)
				}
				_ = conn.Close()
			}
		}
		return
	case "":
		if response.RetryAfter != "" {
			w.Header().Set("Retry-After", response.RetryAfter)
		}
		w.WriteHeader(response.Status)
		return
	}
	body := io.Reader(r.Body)
	if r.Header.Get("Content-Encoding") == "gzip" {
		unzipped, err := gzip.NewReader(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		body = unzipped
	}
	data, err := io.ReadAll(body)
	var req coltracepb.ExportTraceServiceRequest
	if err != nil || r.URL.Path != "/v1/traces" || proto.Unmarshal(data, &req) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var spans []*tracepb.Span
	for _, rs := range req.GetResourceSpans() {
		for _, ss := range rs.GetScopeSpans() {
			spans = append(spans, ss.GetSpans()...)
		}
	}
	reply := &coltracepb.ExportTraceServiceResponse{}
	if response.Action == RejectHalf {
		rejected := len(spans) / 2
		spans = spans[rejected:]
		reply.PartialSuccess = &coltracepb.ExportTracePartialSuccess{RejectedSpans: int64(rejected), ErrorMessage: "half is enough"}
	}
	c.mu.Lock()
	c.spans = append(c.spans, spans...)
	c.mu.Unlock()
	out, err := proto.Marshal(reply)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/x-protobuf")
	_, _ = w.Write(out) // the client may have disconnected
}
