// Package admin is the operators' port: HTTP/1.1 with one call a connection, apart from
// the clients' front, so that it answers however busy that is.
package admin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"onyxsail/internal/netio"
)

const (
	// maxCallers bounds the connections: the next caller ends the oldest of them. A call
	// takes milliseconds, so the oldest has not finished its own.
	maxConnections = 16
	// callWithin is how long a caller may take with its call, and with reading the answer.
	callTimeout    = 5 * time.Second
	maxHeaderBytes = 4 << 10 // bytes
	// prefix begins the name of each figure.
	metricPrefix = "edge_node."
)

// Paths of the calls.
const (
	ReadyPath   = "/-/ready"
	MetricsPath = "/-/metrics"
	DrainPath   = "/-/drain"
	ResumePath  = "/-/resume"
)

// Figure is one metric.
type Metric struct {
	Name  string
	Value int64
}

// Broker is what the port shows and steers. Its methods may be called at once and must
// return within some 0.5 s.
type Broker interface {
	// Ready says whether the process takes clients.
	Ready() bool
	// Figures returns the metrics in the order in which they are shown.
	Metrics() []Metric
	// SendAway begins an operator's drain, or ends it; doing so twice changes nothing.
	SetDraining(draining bool)
}

// Server is the operators' port.
type Server struct {
	server   http.Server
	listener *boundedListener
	done     chan struct{}
}

// Listen opens the port at addr, a host and port, and begins to serve. An error is that of
// the address.
func Listen(addr string, broker Broker, logger zerolog.Logger) (*Server, error) {
	inner, err := netio.Listen(addr)
	if err != nil {
		return nil, fmt.Errorf("listening for operators: %w", err)
	}
	s := &Server{listener: &boundedListener{Listener: inner}, done: make(chan struct{})}
	s.server = http.Server{
		Handler: newHandler(broker, logger), ReadTimeout: callTimeout, WriteTimeout: callTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: log.New(io.Discard, "", 0), // of callers that break off
	}
	s.server.SetKeepAlivesEnabled(false)
	go func() {
		defer close(s.done)
		if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
			logger.Error().Str("event", "operators").Err(err).Msg("the operators' port has ended")
		}
	}()
	return s, nil
}

// Addr is where the port listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Close ends the port and all calls.
func (s *Server) Close() {
	_ = s.server.Close() // of sockets that carry nothing more
	<-s.done
}

func newHandler(broker Broker, logger zerolog.Logger) http.Handler {
	drainHandler := func(name string, draining bool) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			logger.Info().Str("event", name).Msg("an operator has called")
			broker.SetDraining(draining)
			_, _ = io.WriteString(w, name+"\n") // the caller may have gone
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !broker.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
	mux.HandleFunc("GET "+MetricsPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = w.Write(AppendMetrics(nil, broker.Metrics()))
	})
	mux.HandleFunc("POST "+DrainPath, drainHandler("drain", true))
	mux.HandleFunc("POST "+ResumePath, drainHandler("resume", false))
	return mux
}

// Render appends the figures to text, a line each.
func AppendMetrics(text []byte, metrics []Metric) []byte {
	for _, metric := range metrics {
		text = append(text, metricPrefix...)
		text = append(text, metric.Name...)
		text = append(text, '=')
		text = strconv.AppendInt(text, metric.Value, 10)
		text = append(text, '\n')
	}
	return text
}

// callers is a listener whose open connections are bounded.
type boundedListener struct {
	net.Listener
	mu   sync.Mutex
	open []*trackedConn // the oldest first
}

type trackedConn struct {
	net.Conn
	listener *boundedListener
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &trackedConn{inner, l}
	l.mu.Lock()
	l.open = append(l.open, conn)
	var oldest *trackedConn
	if len(l.open) > maxConnections {
		oldest = l.open[0]
	}
	l.mu.Unlock()
	if oldest != nil {
		_ = oldest.Close()
	}
	return conn, nil
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	for i, open := range c.listener.open {
		if open == c {
			c.listener.open = append(c.listener.open[:i], c.listener.open[i+1:]...)
			break
		}
	}
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// Call makes one call to the port at addr and returns its text. An answer that is no yes is
// an error with that text.
func Call(ctx context.Context, addr, method, path string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, nil)
	if err != nil {
		return "", fmt.Errorf("calling %s: %w", addr, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", fmt.Errorf("calling %s: %w", addr, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", fmt.Errorf("reading the answer of %s: %w", addr, err)
	}
	if resp.StatusCode/100 != 2 {
		return "", &StatusError{resp.StatusCode, string(body)}
	}
	return string(body), nil
}

// RefusedError is an answer that is no yes.
type StatusError struct {
	Status int
	Body   string
}

func (e *StatusError) Error() string { return fmt.Sprintf("refused with %d: %s", e.Status, e.Body) }
