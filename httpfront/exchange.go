package httpfront

// Exchanges: the requests of a connection that wait for their turn, and the responses that wait for
// those before them or for the socket.

import (
	"time"

	"onyxsail/broker"
	"onyxsail/internal/http1"
	"onyxsail/internal/membudget"
)

// exchange is one request and its response.
type exchange struct {
	queryID        broker.QueryID // 0: not submitted
	startedAt      time.Time      // when the first byte of the request arrived, as far as known
	receivedAt     time.Time      // when the request was complete; its deadline counts from here
	queuedRequest  *http1.Message // not yet processed; nil: processing has started
	render         renderFunc     // nil: the response is not known yet
	heldBytes      int            // memory held for the request or, once it is known, the response
	closeRequested bool           // the request has Connection: close, or no request can follow it
}

// renderFunc returns a response. closeAfter says whether the connection ends behind it, which is
// known only when it is written.
type renderFunc func(closeAfter bool) []byte

// hasRoomFor reports whether another request of the client may be taken; c.mu is held. One that is sent
// ahead of answers needs room, whatever becomes of it: its own answer waits for those before it.
func (c *conn) hasRoomFor(m *http1.Message) bool {
	switch {
	case len(c.exchanges) == 0:
		return true
	case !c.front.memory.Admits(int64(requestOverheadBytes+m.HeldBytes()), true):
		return false
	case len(c.exchanges) < maxActivePerConn:
		return true
	}
	return len(c.exchanges) < maxPipelined && c.queuedBytes+m.HeldBytes() <= maxQueuedBytes
}

// queue keeps a request until earlier ones are answered; c.mu is held.
func (c *conn) queue(e *exchange, m *http1.Message) {
	e.queuedRequest, e.heldBytes = m, requestOverheadBytes+m.HeldBytes()
	c.queuedBytes += m.HeldBytes()
	c.account.Set(membudget.Requests, int(c.account.Held(membudget.Requests))+e.heldBytes)
}

// startQueued processes queued requests, as far as the limit of active ones permits; c.mu is
// held. One that is answered at once makes room for the next, as it changes the list.
func (c *conn) startQueued() {
	for e := c.nextQueued(); e != nil; e = c.nextQueued() {
		m := e.queuedRequest
		e.queuedRequest, c.queuedBytes = nil, c.queuedBytes-m.HeldBytes()
		c.dispatch(e, m)
	}
}

// nextQueued returns the first queued request that may be processed now, nil if there is none; c.mu
// is held.
func (c *conn) nextQueued() *exchange {
	for _, e := range c.exchanges[:min(len(c.exchanges), maxActivePerConn)] {
		if e.queuedRequest != nil {
			return e
		}
	}
	return nil
}

// textResponse returns a plain-text response; see encodeText.
func textResponse(status int, text string) renderFunc {
	return func(closeAfter bool) []byte { return encodeText(nil, status, text, 0, closeAfter) }
}

// replyResponse returns the response for the final reply to a query; see encodeReply.
func replyResponse(reply broker.Reply) renderFunc {
	return func(closeAfter bool) []byte { return encodeReply(nil, reply, closeAfter) }
}

// complete sets the response of an exchange and writes what can be written; c.mu is held.
func (c *conn) complete(e *exchange, render renderFunc) {
	e.render = render
	c.writeCompleted()
}

// writeCompleted writes the responses of the completed exchanges up to the first open one; c.mu is
// held. If many become due at once, it goes on when the socket has taken those written so far.
func (c *conn) writeCompleted() {
	for len(c.exchanges) > 0 && c.exchanges[0].render != nil && !c.closed && !c.writeClosed {
		if c.backlog() > maxResponseBacklog {
			c.flushOutput()
			c.sock.AfterFlush(c.resumeWriting)
			return
		}
		e := c.exchanges[0]
		c.exchanges = c.exchanges[1:]
		closeAfter := c.endsBehind(e)
		c.write(e.render(closeAfter))
		if closeAfter {
			c.ignoreInput()
			c.closeWriteAfterFlush()
			return
		}
	}
}

// resumeWriting writes the responses that waited for the socket.
func (c *conn) resumeWriting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.updateQueue()
	c.writeResumedAt = time.Now()
	c.writeCompleted()
	c.startQueued()
	c.sendContinue()
}

// endsBehind decides whether the connection ends behind the response of an exchange that is about to
// be written and has been taken from the list; c.mu is held. It is the only place that does. While
// the front drains or connections are scarce, the connection ends if no request is left: neither
// in work, nor read in part, nor waiting to be read. One that is read while the response waits for
// those before it is answered as well. Nor does it end while earlier responses wait for the socket:
// what is read until they are written could not be answered.
func (c *conn) endsBehind(e *exchange) bool {
	if e.closeRequested {
		return true // nothing is read behind it
	}
	if !c.front.drainRequested() && !c.front.nearConnLimit() {
		return false
	}
	c.flushOutput()
	return len(c.exchanges) == 0 && c.sock.Backlog() == 0 && c.parser.Buffered() == 0 && !c.sock.HasUnread(c.inData)
}
