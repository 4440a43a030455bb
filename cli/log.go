package cli

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// maxBufferedLines is the number of log lines that may wait for the log's reader; beyond
	// it the oldest are dropped.
	maxBufferedLines = 1024
	// logFlushTimeout is how long the program waits at its exit for that reader.
	logFlushTimeout = 500 * time.Millisecond
)

// newLogger returns a broker's logger, which writes to w, and a function that flushes and
// closes it. Lines go through a bounded ring buffer: the decision module logs during its
// turns, and a stalled log reader or a full disk must not delay queries.
func newLogger(w io.Writer) (zerolog.Logger, func()) {
	lines := diode.NewWriter(struct{ io.Writer }{w}, maxBufferedLines, 0, func(dropped int) {
		fmt.Fprintf(w, `{"level":"warn","event":"log-lost","lines":%d,"message":"log output is too slow; the oldest lines were dropped"}`+"\n", dropped)
	})
	return zerolog.New(lines).With().Timestamp().Logger(), func() {
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			_ = lines.Close() // cannot fail: the wrapped writer is no io.Closer
		}()
		select {
		case <-closed:
		case <-time.After(logFlushTimeout):
		}
	}
}
