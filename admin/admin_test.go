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

type fakeBroker struct{ ready, draining atomic.Bool }

func (f *fakeBroker) Ready() bool               { return f.ready.Load() }
func (f *fakeBroker) SetDraining(draining bool) { f.draining.Store(draining) }
func (f *fakeBroker) Metrics() []Metric {
	return []Metric{{"fulfilled.screen", 812}, {"open_requests", 14}}
}

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

func TestCallsReportReadinessAndMetricsAndSetDraining(t *testing.T) {
	broker, addr := startServer(t)
	call := func(method, path string) (string, error) { return Call(context.Background(), addr, method, path) }
	var statusErr *StatusError
	if _, err := call(http.MethodGet, ReadyPath); !errors.As(err, &statusErr) || statusErr.Status != http.StatusServiceUnavailable {
		t.Errorf("not ready: %v", err)
	}
	broker.ready.Store(true)
	if _, err := call(http.MethodGet, ReadyPath); err != nil {
		t.Errorf("ready: %v", err)
	}
	if text, err := call(http.MethodGet, MetricsPath); err != nil || text != "edge_node.fulfilled.screen=812\nedge_node.open_requests=14\n" {
		t.Errorf("metrics: %q, %v", text, err)
	}
	for _, draining := range []bool{true, true, false, false} {
		path := ResumePath
		if draining {
			path = DrainPath
		}
		if _, err := call(http.MethodPost, path); err != nil || broker.draining.Load() != draining {
			t.Errorf("%s: away %v, %v", path, broker.draining.Load(), err)
		}
	}
}

// Callers that finish no call keep none out, however many they are, and are ended.
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
		_, _ = io.WriteString(c, "GET /-/ready HTTP/1.1\r\n"[:i%20]) // it may have been ended
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if _, err := Call(ctx, addr, http.MethodGet, ReadyPath); err != nil {
			t.Errorf("beside %d callers: %v", i+1, err)
		}
		cancel()
	}
	_ = first.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := first.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("the first caller is kept")
	}
}
