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

// The ways in which a collector answers a request; a number is a status.
const (
	Accept   = "accept"
	Hang     = "hang"  // answer nothing until the client goes
	Reset    = "reset" // read half of the body and cut the connection
	HalfDone = "half"  // accept, and reject half of the spans
)

// Collector is a stand-in for one that takes OTLP over HTTP.
type Collector struct {
	Addr string

	mu       sync.Mutex
	script   []Scripted // answers to come; then Accept
	spans    []*tracepb.Span
	requests int
	changed  chan struct{}
}

// Scripted is one answer.
type Scripted struct {
	Do         string // of the ways above, or "" for Status
	Status     int
	RetryAfter string
}

// NewCollector starts a collector that takes all but what the script says.
func NewCollector(t testing.TB, script ...Scripted) *Collector {
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

// Spans returns what was taken.
func (c *Collector) Spans() []*tracepb.Span {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*tracepb.Span(nil), c.spans...)
}

// Requests is how many came, also those that were not taken.
func (c *Collector) Requests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests
}

// ServeHTTP answers one export.
func (c *Collector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	c.requests++
	do := Scripted{Do: Accept}
	if len(c.script) > 0 {
		do, c.script = c.script[0], c.script[1:]
	}
	c.mu.Unlock()
	switch do.Do {
	case Hang:
		_, _ = io.Copy(io.Discard, r.Body) // or the server never sees that the client went
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
		if do.RetryAfter != "" {
			w.Header().Set("Retry-After", do.RetryAfter)
		}
		w.WriteHeader(do.Status)
		return
	}
	body := io.Reader(r.Body)
	if r.Header.Get("Content-Encoding") == "gzip" {
		z, err := gzip.NewReader(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		body = z
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
	answer := &coltracepb.ExportTraceServiceResponse{}
	if do.Do == HalfDone {
		n := len(spans) / 2
		spans = spans[n:]
		answer.PartialSuccess = &coltracepb.ExportTracePartialSuccess{RejectedSpans: int64(n), ErrorMessage: "half is enough"}
	}
	c.mu.Lock()
	c.spans = append(c.spans, spans...)
	c.mu.Unlock()
	out, err := proto.Marshal(answer)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/x-protobuf")
	_, _ = w.Write(out) // the client may have gone
}
