package flightfront

import (
	"sync/atomic"
	"time"
)

// Bounds of the frames that are read. Frames cost far more than their bytes: one may open a call, end it
// or ask for an answer.
const (
	frameBurst      = 64                     // frames of one connection that are read without a pause
	newConnDebt     = 32                     // of these, what a new connection has used up, as it costs work too
	frameCostBytes  = 4 << 10                // of payload count as one more frame
	frameInterval   = 500 * time.Microsecond // between the frames of a connection that sends more
	pacedTogether   = 8                      // connections that may send at that rate at the same time
	maxPause        = 100 * time.Millisecond // before some bytes are read
	readChunkBytes  = 1 << 10                // read at once between frames
	largeFrameBytes = 8 << 10                // read at once inside a frame
)

// framePace spaces out the frames of one connection, so that a client that sends them at full speed
// leaves the processor to the others.
type framePace struct {
	debt      float64 // frames that were read beyond the rate
	updatedAt time.Time
}

// pause returns how long to wait before more is read, after some frames. paced is the number of
// connections that wait: together they may send no more than pacedTogether would.
func (p *framePace) pause(frames int, now time.Time, paced int) time.Duration {
	interval := frameInterval * time.Duration(max(1, paced/pacedTogether))
	p.debt = max(0, p.debt-float64(now.Sub(p.updatedAt))/float64(interval)) + float64(frames)
	p.updatedAt = now
	if p.debt <= frameBurst {
		return 0
	}
	return min(maxPause, time.Duration((p.debt-frameBurst)*float64(interval)))
}

// pacedConns counts the connections of a front that wait.
type pacedConns struct{ count atomic.Int64 }

// wait pauses until the time is over or the connection is closed.
func (p *pacedConns) wait(pause time.Duration, closed <-chan struct{}) {
	p.count.Add(1)
	defer p.count.Add(-1)
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-closed:
	}
}
