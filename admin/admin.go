// Package admin serves the admin port, on which operators read a broker's state and drain it.
// It speaks HTTP/1.1 with one call per connection and is separate from the clients' front, so
// that it answers however busy that is.
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
	// maxConnections bounds the open connections: one more closes the oldest of them. A call
	// takes milliseconds, so the oldest is one whose caller stalls.
	maxConnections = 16
	// callTimeout is how long a caller may take to send its call, and how long the response
	// may take after that.
	callTimeout = 5 * time.Second
	// maxHeaderBytes bounds the size of a call's header.
	maxHeaderBytes = 4 << 10
	// metricPrefix begins the name of each metric.
	metricPrefix = "edge_node."
)

// The paths of the calls.
const (
	// ReadyPath is the path of the readiness check, a GET.
	ReadyPath = "/-/ready"
	// MetricsPath is the path of the metrics, a GET.
	MetricsPath = "/-/metrics"
	// DrainPath is the path that starts a drain, a POST.
	DrainPath = "/-/drain"
	// ResumePath is the path that ends a drain, a POST.
	ResumePath = "/-/resume"
)

// Metric is a named value. The name has no metricPrefix.
type Metric struct {
	Name  string
	Value int64
}

// Broker is what the admin port reports on and controls. Its methods may be called
// concurrently and must return within some 0.5 s.
type Broker interface {
	// Ready reports whether the broker is ready for new clients.
	Ready() bool
	// Metrics returns the metrics in the order in which they are printed.
	Metrics() []Metric
	// SetDraining starts or ends an operator's drain. A repeated call changes nothing.
	SetDraining(draining bool)
}

// Server serves the admin port.
type Server struct {
	server   http.Server
	listener *boundedListener
	done     chan struct{}
}

// Listen opens the admin port at addr, a host and port, and starts to serve. It fails only if
// it cannot listen there.
func Listen(addr string, broker Broker, logger zerolog.Logger) (*Server, error) {
	inner, err := netio.Listen(addr)
	if err != nil {
		return nil, fmt.Errorf("opening the admin port: %w", err)
	}
	s := &Server{listener: &boundedListener{Listener: inner}, done: make(chan struct{})}
	s.server = http.Server{
		Handler: newHandler(broker, logger), ReadTimeout: callTimeout, WriteTimeout: callTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: log.New(io.Discard, "", 0), // the server would log each caller that disconnects
	}
	s.server.SetKeepAlivesEnabled(false)
	go func() {
		defer close(s.done)
		if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
			logger.Error().Str("event", "operators").Err(err).Msg("admin port stopped serving")
		}
	}()
	return s, nil
}

// Addr returns the address at which the admin port listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Close closes the admin port and all its connections.
func (s *Server) Close() {
	_ = s.server.Close() // an error of closing a socket has no consequence
	<-s.done
}

// newHandler returns the handler of all calls.
func newHandler(broker Broker, logger zerolog.Logger) http.Handler {
	drainHandler := func(name string, draining bool) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			logger.Info().Str("event", name).Msg("operator call")
			broker.SetDraining(draining)
			_, _ = io.WriteString(w, name+"\n") // fails if the caller has disconnected
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

// AppendMetrics appends the metrics to text, a line "name=value" each, and returns the result.
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

// boundedListener is a listener with at most maxConnections open connections.
type boundedListener struct {
	net.Listener
	mu   sync.Mutex
	open []*trackedConn // oldest first
}

// trackedConn is a connection that is removed from its listener's open ones when it is closed.
type trackedConn struct {
	net.Conn
	listener *boundedListener
}

// Accept implements net.Listener. It closes the oldest connection if there are too many.
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

// Call makes one call to the admin port at addr and returns the response body. A response with
// a status other than 2xx is returned as a *StatusError.
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
		return "", fmt.Errorf("reading the response of %s: %w", addr, err)
	}
	if resp.StatusCode/100 != 2 {
		return "", &StatusError{resp.StatusCode, string(body)}
	}
	return string(body), nil
}

// StatusError is a response with a status other than 2xx.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the broker responded with status %d: %s", e.Status, e.Body)
}
