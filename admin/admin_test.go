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

type fake struct{ ready, away atomic.Bool }

func (f *fake) Ready() bool        { return f.ready.Load() }
func (f *fake) SendAway(away bool) { f.away.Store(away) }
func (f *fake) Figures() []Figure  { return []Figure{{"fulfilled.screen", 812}, {"open_requests", 14}} }

func serve(t *testing.T) (*fake, string) {
	t.Helper()
	f := &fake{}
	s, err := Listen("127.0.0.1:0", f, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return f, s.Addr().String()
}

func TestCalls(t *testing.T) {
	f, addr := serve(t)
	call := func(method, path string) (string, error) { return Call(context.Background(), addr, method, path) }
	var refused *RefusedError
	if _, err := call(http.MethodGet, ReadyPath); !errors.As(err, &refused) || refused.Status != http.StatusServiceUnavailable {
		t.Errorf("not ready: %v", err)
	}
	f.ready.Store(true)
	if _, err := call(http.MethodGet, ReadyPath); err != nil {
		t.Errorf("ready: %v", err)
	}
	if text, err := call(http.MethodGet, MetricsPath); err != nil || text != "edge_node.fulfilled.screen=812\nedge_node.open_requests=14\n" {
		t.Errorf("metrics: %q, %v", text, err)
	}
	for _, away := range []bool{true, true, false, false} {
		path := ResumePath
		if away {
			path = DrainPath
		}
		if _, err := call(http.MethodPost, path); err != nil || f.away.Load() != away {
			t.Errorf("%s: away %v, %v", path, f.away.Load(), err)
		}
	}
}

// Callers that finish no call keep none out, however many they are, and are ended.
func TestCallersThatFinishNoCall(t *testing.T) {
	f, addr := serve(t)
	f.ready.Store(true)
	var first net.Conn
	for i := range 3 * maxCallers {
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
