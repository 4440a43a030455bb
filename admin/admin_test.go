package admin

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// fakeBroker is a Broker whose readiness the test sets.
type fakeBroker struct{ ready, draining atomic.Bool }

func (f *fakeBroker) Ready() bool               { return f.ready.Load() }
func (f *fakeBroker) SetDraining(draining bool) { f.draining.Store(draining) }
func (f *fakeBroker) Metrics() []Metric {
	return []Metric{{"fulfilled.screen", 812}, {"open_requests", 14}}
}

// startServer serves a fake broker and returns it with the address of its admin port.
func startServer(t *testing.T) (*fakeBroker, string) {
	t.Helper()
	f := &fakeBroker{}
	s, err := Listen("127.0.0.1:0", f, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return f, s.Addr().String()
}

// Each call must reach the broker, and a repeated drain or resume must change nothing. A broker
// that is not ready must give a StatusError, which the command line turns into a failure.
func TestCallsReportReadinessAndMetricsAndSetDraining(t *testing.T) {
	broker, addr := startServer(t)
	call := func(method, path string) (string, error) { return Call(context.Background(), addr, method, path) }
	var statusErr *StatusError
	if _, err := call(http.MethodGet, ReadyPath); !errors.As(err, &statusErr) || statusErr.Status != http.StatusServiceUnavailable {
		t.Errorf("broker that is not ready: %v, want status 503", err)
	}
	broker.ready.Store(true)
	if _, err := call(http.MethodGet, ReadyPath); err != nil {
		t.Errorf("broker that is ready: %v, want no error", err)
	}
	if text, err := call(http.MethodGet, MetricsPath); err != nil || text != "edge_node.fulfilled.screen=812\nedge_node.open_requests=14\n" {
		t.Errorf("metrics: got %q, %v, want a line for each metric", text, err)
	}
	for _, draining := range []bool{true, true, false, false} {
		path := ResumePath
		if draining {
			path = DrainPath
		}
		if _, err := call(http.MethodPost, path); err != nil || broker.draining.Load() != draining {
			t.Errorf("after a call of %s: draining is %v, error %v", path, broker.draining.Load(), err)
		}
	}
}

// Callers that never finish a call must not keep others out, however many they are: their
// connections are closed, the oldest first.
func TestStalledCallersDoNotKeepOthersOut(t *testing.T) {
	broker, addr := startServer(t)
	broker.ready.Store(true)
	var first net.Conn
	for i := range 3 * maxConnections {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if first == nil {
			first = c
		}
		_, _ = io.WriteString(c, "GET /-/ready HTTP/1.1\r\n"[:i%20]) // fails if the server has closed the connection
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if _, err := Call(ctx, addr, http.MethodGet, ReadyPath); err != nil {
			t.Errorf("a call beside %d stalled callers: %v", i+1, err)
		}
		cancel()
	}
	_ = first.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := first.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("the connection of the first stalled caller is still open")
	}
}
