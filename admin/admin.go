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
	maxCallers = 16
	// callWithin is how long a caller may take with its call, and with reading the answer.
	callWithin = 5 * time.Second
	maxHeader  = 4 << 10 // bytes
	// prefix begins the name of each figure.
	prefix = "edge_node."
)

// Paths of the calls.
const (
	ReadyPath   = "/-/ready"
	MetricsPath = "/-/metrics"
	DrainPath   = "/-/drain"
	ResumePath  = "/-/resume"
)

// Figure is one metric.
type Figure struct {
	Name  string
	Value int64
}

// Broker is what the port shows and steers. Its methods may be called at once and must
// return within some 0.5 s.
type Broker interface {
	// Ready says whether the process takes clients.
	Ready() bool
	// Figures returns the metrics in the order in which they are shown.
	Figures() []Figure
	// SendAway begins an operator's drain, or ends it; doing so twice changes nothing.
	SendAway(away bool)
}

// Server is the operators' port.
type Server struct {
	http     http.Server
	listener *callers
	done     chan struct{}
}

// Listen opens the port at addr, a host and port, and begins to serve. An error is that of
// the address.
func Listen(addr string, broker Broker, logger zerolog.Logger) (*Server, error) {
	l, err := netio.Listen(addr)
	if err != nil {
		return nil, fmt.Errorf("listening for operators: %w", err)
	}
	s := &Server{listener: &callers{Listener: l}, done: make(chan struct{})}
	s.http = http.Server{
		Handler: routes(broker, logger), ReadTimeout: callWithin, WriteTimeout: callWithin, MaxHeaderBytes: maxHeader,
		ErrorLog: log.New(io.Discard, "", 0), // of callers that break off
	}
	s.http.SetKeepAlivesEnabled(false)
	go func() {
		defer close(s.done)
		if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
			logger.Error().Str("event", "operators").Err(err).Msg("the operators' port has ended")
		}
	}()
	return s, nil
}

// Addr is where the port listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Close ends the port and all calls.
func (s *Server) Close() {
	_ = s.http.Close() // of sockets that carry nothing more
	<-s.done
}

func routes(broker Broker, logger zerolog.Logger) http.Handler {
	steer := func(name string, away bool) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			logger.Info().Str("event", name).Msg("an operator has called")
			broker.SendAway(away)
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
		_, _ = w.Write(Render(nil, broker.Figures()))
	})
	mux.HandleFunc("POST "+DrainPath, steer("drain", true))
	mux.HandleFunc("POST "+ResumePath, steer("resume", false))
	return mux
}

// Render appends the figures to text, a line each.
func Render(text []byte, figures []Figure) []byte {
	for _, f := range figures {
		text = append(text, prefix...)
		text = append(text, f.Name...)
		text = append(text, '=')
		text = strconv.AppendInt(text, f.Value, 10)
		text = append(text, '\n')
	}
	return text
}

// callers is a listener whose open connections are bounded.
type callers struct {
	net.Listener
	mu   sync.Mutex
	open []*caller // the oldest first
}

type caller struct {
	net.Conn
	of *callers
}

// Accept implements net.Listener.
func (l *callers) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	own := &caller{c, l}
	l.mu.Lock()
	l.open = append(l.open, own)
	var oldest *caller
	if len(l.open) > maxCallers {
		oldest = l.open[0]
	}
	l.mu.Unlock()
	if oldest != nil {
		_ = oldest.Close()
	}
	return own, nil
}

// Close implements net.Conn.
func (c *caller) Close() error {
	c.of.mu.Lock()
	for i, other := range c.of.open {
		if other == c {
			c.of.open = append(c.of.open[:i], c.of.open[i+1:]...)
			break
		}
	}
	c.of.mu.Unlock()
	return c.Conn.Close()
}

// Call makes one call to the port at addr and returns its text. An answer that is no yes is
// an error with that text.
func Call(ctx context.Context, addr, method, path string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, nil)
	if err != nil {
		return "", fmt.Errorf("calling %s: %w", addr, err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", fmt.Errorf("calling %s: %w", addr, err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return "", fmt.Errorf("reading the answer of %s: %w", addr, err)
	}
	if res.StatusCode/100 != 2 {
		return "", &RefusedError{res.StatusCode, string(text)}
	}
	return string(text), nil
}

// RefusedError is an answer that is no yes.
type RefusedError struct {
	Status int
	Text   string
}

func (e *RefusedError) Error() string { return fmt.Sprintf("refused with %d: %s", e.Status, e.Text) }
