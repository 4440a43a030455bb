package cli

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// logLines wait at most for whoever reads the log; then the oldest are lost.
	logLines = 1024
	// logFlush is how long the program's end waits for that reader.
	logFlush = 500 * time.Millisecond
)

// logTo returns the logger of a broker that writes to w, and what writes out the
// rest and ends it. A line only waits in a bounded ring: the core logs in its turns,
// and a reader that stands still, or a full disk, must not hold up its queries.
func logTo(w io.Writer) (zerolog.Logger, func()) {
	lines := diode.NewWriter(struct{ io.Writer }{w}, logLines, 0, func(missed int) {
		fmt.Fprintf(w, `{"level":"warn","event":"log-lost","lines":%d,"message":"the log was not read in time"}`+"\n", missed)
	})
	return zerolog.New(lines).With().Timestamp().Logger(), func() {
		over := make(chan struct{})
		go func() {
			defer close(over)
			_ = lines.Close() // what it wraps has no end
		}()
		select {
		case <-over:
		case <-time.After(logFlush):
		}
	}
}
