package httpfront

// The memory that a connection holds.

import (
	"net/http"
	"time"

	"onyxsail/broker"
	"onyxsail/internal/http1"
	"onyxsail/internal/membudget"
)

const (
	requestOverheadBytes = 1 << 10 // of one request, beside what its client sent
	partOverheadBytes    = 256     // of one part of a query in the core
)

// queryBytes returns how much memory a query holds until it is answered.
func queryBytes(m *http1.Message, q *broker.Query) int {
	return requestOverheadBytes + len(m.Body) + len(q.Parts)*partOverheadBytes
}

// replyBytes returns how much memory a reply holds until it is written.
func replyBytes(reply *broker.Reply) int { return requestOverheadBytes + reply.ValueBytes() }

// updateAccount records what the connection holds now; c.mu is held.
func (c *conn) updateAccount() {
	if c.closed {
		c.account.Close()
		return
	}
	requests, responses := 0, int(c.sock.Backlog())
	for _, e := range c.exchanges {
		if e.render == nil {
			requests += e.heldBytes
		} else {
			responses += e.heldBytes
		}
	}
	c.account.Set(membudget.Incoming, c.parser.HeldBytes())
	c.account.Set(membudget.Requests, requests)
	c.account.Set(membudget.Responses, responses)
}

// endForMemory releases what a connection holds of a kind, and reports whether it did. A request that
// is not whole gets an error, behind the responses to earlier ones, and ends the connection. Responses
// are dropped with the connection.
func (c *conn) endForMemory(kind membudget.Kind) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.updateQueue()
	before := c.account.Held(kind)
	if c.updateAccount(); c.account.Held(kind) < before { // the client has read some of it
		return true
	}
	switch {
	case c.closed || c.account.Held(kind) == 0:
		return false
	case kind == membudget.Incoming:
		if c.inputIgnored {
			return false
		}
		c.reject(http.StatusServiceUnavailable, "the broker is short of memory for requests that are not whole")
	default:
		c.ignoreInput()
		c.closed = true
		c.sock.Close()
	}
	return true
}

// admit reports whether a query may be submitted; c.mu is held. One that may not is refused.
func (c *conn) admit(e *exchange, q *broker.Query) bool {
	if !c.front.memory.Admits(int64(e.heldBytes), len(c.exchanges) > 1) {
		c.front.countRejection(http.StatusServiceUnavailable)
		c.front.opts.Core.TurnAway(q)
		return false
	}
	c.account.Set(membudget.Requests, int(c.account.Held(membudget.Requests))+e.heldBytes)
	return true
}

// relieveResponses asks the sweeper to release memory if too much is held for responses.
func (c *conn) relieveResponses() {
	if !c.front.memory.Exceeded(membudget.Responses) {
		return
	}
	select {
	case c.front.relieve <- struct{}{}:
	default:
	}
}

// noteUnread records since when the client has had responses to read; c.mu and the front's lock are
// held.
func (c *conn) noteUnread(now time.Time) {
	held := c.account.Held(membudget.Responses)
	switch {
	case held == 0:
		c.unreadSince = time.Time{}
	case c.held[membudget.Responses] == 0 || c.unreadSince.Before(c.writeResumedAt):
		c.unreadSince = now
	}
}
