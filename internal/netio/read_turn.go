package netio

// Read turns: how much is read from one connection before the others have their turn.

import (
	"errors"
	"sync/atomic"
	"syscall"
	"time"
)

// turnWindow is the least time for which the longest turn is remembered.
const turnWindow = 10 * time.Second

// turnClock remembers the longest turn of the current and the previous window.
type turnClock struct {
	windowStart       time.Time // used only by the loop's goroutine, as it alone records
	current, previous atomic.Int64
}

// record notes the length of a turn that ended now.
func (t *turnClock) record(took time.Duration, now time.Time) {
	if now.Sub(t.windowStart) >= turnWindow {
		t.windowStart = now
		t.previous.Store(t.current.Swap(0))
	}
	if int64(took) > t.current.Load() {
		t.current.Store(int64(took))
	}
}

// LongestTurn returns how long the longest turn of a connection took lately, reading and handling.
func (l *Loop) LongestTurn() time.Duration {
	return time.Duration(max(l.turns.current.Load(), l.turns.previous.Load()))
}

// runReadTurn reads from a connection that the system reports as readable, and delivers the data.
// The turn ends when nothing more is there, or once the connection has had its share; the
// system then reports the connection again, behind all others. If the peer has ended its stream, all
// that it sent before is delivered, as the engine closes the connection after this turn.
func (l *Loop) runReadTurn(c *Conn) {
	start := time.Now()
	c.setReading(true)
	for turnBytes := 0; ; {
		limit := c.readLimit(turnBytes)
		if limit <= 0 {
			if !c.PeerClosed() {
				break
			}
			limit = readSize
		}
		buffer := l.readBuffer[:min(limit, readSize)]
		n, err := c.nbConn.Read(buffer)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if n > 0 && !c.closed.Load() && !c.closing.Load() {
			c.handler.Data(buffer[:n])
		}
		if err != nil && !errors.Is(err, syscall.EAGAIN) {
			_ = c.nbConn.CloseWithError(err) // the connection is broken, its descriptor is only released
			break
		}
		if n < len(buffer) {
			if err == nil && n == 0 {
				defer c.notifyPeerEnded()
			}
			break
		}
		turnBytes += n
	}
	c.setReading(false)
	end := time.Now()
	l.turns.record(end.Sub(start), end)
}

// readLimit returns how many bytes may still be read in a turn in which turnBytes were read.
func (c *Conn) readLimit(turnBytes int) int {
	if limiter, ok := c.handler.(ReadLimiter); ok {
		return limiter.ReadLimit() - turnBytes
	}
	return maxTurnBytes - turnBytes
}

// notifyPeerEnded calls PeerEnded at the end of the peer's stream.
func (c *Conn) notifyPeerEnded() {
	if p, ok := c.handler.(PeerEndHandler); ok && !c.closed.Load() && !c.closing.Load() {
		p.PeerEnded()
	}
}
