package flightfront

// The memory that a connection holds.

import (
	"encoding/binary"
	"time"

	"onyxsail/internal/connlimit"
	"onyxsail/internal/membudget"
)

const (
	grpcPrefixBytes = 5        // of a message: a flag and its length
	callBytes       = 16 << 10 // of one open call in gRPC and the front, beside its message
	connBytes       = 48 << 10 // of one connection in gRPC
	minConns        = 16       // connections that are allowed however small the memory is
	// unreadAge is how long a client must have taken no answer before those that wait are dropped to
	// release memory.
	unreadAge = 250 * time.Millisecond
	// weightAge is added to the age of what a connection holds, so that of two that are new the
	// larger one weighs more.
	weightAge = 10 * time.Millisecond
	// memoryPause is how often a connection looks whether it may be read again, and maxMemoryWait how
	// long it waits at most.
	memoryPause   = 5 * time.Millisecond
	maxMemoryWait = 250 * time.Millisecond
	// lastResort divides the weight of a connection that also has whole calls, whose answers would be
	// lost with it.
	lastResort = 1000
)

// openCall is a call that has not ended.
type openCall struct {
	whole     bool // it has come whole
	prefix    [grpcPrefixBytes]byte
	prefixLen int // bytes of the prefix of its message that have come
}

// scan follows the payload of the call's frames.
func (c *openCall) scan(data []byte) {
	c.prefixLen += copy(c.prefix[c.prefixLen:], data)
}

// heldBytes returns how much memory the call holds. gRPC allocates its message as soon as it knows the
// length, unless that is too large.
func (c *openCall) heldBytes() int {
	if c.prefixLen < grpcPrefixBytes {
		return callBytes
	}
	announced := binary.BigEndian.Uint32(c.prefix[1:])
	return callBytes + int(min(announced, maxMessageBytes))
}

// updateAccount records what the connection holds now; c.mu is held.
func (c *clientConn) updateAccount() {
	if c.ended {
		c.account.Close()
		return
	}
	if len(c.open) == 0 {
		c.responses = 0 // the rest were of calls that were cancelled
	}
	incoming, requests := 0, 0
	for _, call := range c.open {
		if call.whole {
			requests += call.heldBytes()
		} else {
			incoming += call.heldBytes()
		}
	}
	c.account.Set(membudget.Incoming, incoming)
	c.account.Set(membudget.Requests, requests)
	c.account.Set(membudget.Responses, c.responses)
}

// addResponse records an answer that gRPC is given to write.
func (c *clientConn) addResponse(bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.responses == 0 {
		c.answeredAt = time.Now()
	}
	c.responses += bytes
	c.updateAccount()
}

// responseWritten records that the client has been sent some of its answers; c.mu is held.
func (c *clientConn) responseWritten(bytes int) {
	c.responses = max(0, c.responses-bytes)
	c.answeredAt = time.Now()
}

// admits reports whether a call may be worked on. What it holds counts already.
func (c *clientConn) admits() bool {
	c.mu.Lock()
	ahead := c.handled > 1
	c.mu.Unlock()
	return c.listener.memory.Admits(0, ahead)
}

// weight returns how much the connection holds of a kind, in bytes times seconds; 0 if it may not be
// ended for it.
func (c *clientConn) weight(kind membudget.Kind, now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := float64(c.account.Held(kind))
	switch {
	case c.ended || held == 0:
		return 0
	case kind == membudget.Incoming && c.state == stateActive:
		return held * (now.Sub(c.acceptedAt) + weightAge).Seconds() / lastResort
	case kind == membudget.Incoming:
		return held * (now.Sub(c.stateSince) + weightAge).Seconds()
	case now.Sub(c.answeredAt) < unreadAge:
		return 0
	}
	return held * now.Sub(c.answeredAt).Seconds()
}

// Heaviest implements membudget.Holder. The connection is closed, with what is held for it: a client
// whose calls have not come whole is told that none of them was taken, if that can be sent.
func (l *connListener) Heaviest(kind membudget.Kind) (weight float64, end func() bool) {
	var heaviest *clientConn
	now := time.Now()
	for _, c := range l.openConns() {
		if w := c.weight(kind, now); w > weight {
			heaviest, weight = c, w
		}
	}
	return weight, func() bool {
		heaviest.endIfInState(stateReading)
		_ = heaviest.Close() // a socket that fails to close is released all the same
		return true
	}
}

// maxConns returns how many connections may be open: their memory in gRPC comes out of the budget too.
func (l *connListener) maxConns() int {
	return int(max(minConns, l.memory.Limit()/connBytes))
}

// makeRoom ends the least useful connection if there are too many for the memory, and reports whether
// another one may be accepted.
func (l *connListener) makeRoom() bool {
	if len(l.openConns()) < l.maxConns() {
		return true
	}
	l.evictAny()
	return len(l.openConns()) < l.maxConns()
}

// evictAny ends the least useful connection and reports whether there was one.
func (l *connListener) evictAny() bool {
	for _, level := range connlimit.Levels() {
		if l.EvictOne(level) {
			return true
		}
	}
	return false
}

// endExcess ends connections that are too many since the limit was lowered.
func (l *connListener) endExcess() {
	for excess := len(l.openConns()) - l.maxConns(); excess > 0 && l.evictAny(); excess-- {
	}
}
