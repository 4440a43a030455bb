package httpfront

import (
	"container/list"
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"

	"onyxsail/broker"
	"onyxsail/internal/connlimit"
	"onyxsail/internal/http1"
	"onyxsail/internal/membudget"
	"onyxsail/internal/netio"
	"onyxsail/internal/tracecontext"
)

// conn is one client connection. Responses are written in the order of their requests. A
// goroutine that needs both locks takes c.mu before the front's.
type conn struct {
	front      *Front
	sock       *netio.Conn // set when the connection is attached to the loop
	acceptedAt time.Time

	mu              sync.Mutex
	parser          http1.Parser
	account         membudget.Account
	exchanges       []*exchange // those whose responses are not written yet, in the order of their requests
	requestStart    time.Time   // when the current request started to arrive or, before its first byte, the wait for it
	lastDataAt      time.Time   // when the latest bytes arrived
	dataReceived    bool        // at least one byte has been received
	requestReceived bool        // at least one complete request has been received
	queuedBytes     int         // total size of the queued requests
	writeResumedAt  time.Time   // when the socket last took all waiting responses while more were due
	inData          bool        // Data is running
	output          []byte      // responses that Data has produced so far, in the front's buffer
	inputIgnored    bool        // further input is read and discarded
	writeClosed     bool        // our side of the stream is closed, or will be once all is written
	clientLeft      bool        // the client had left before one of its requests was submitted
	closed          bool        // the connection is closed, or will be without further output

	// The following fields are guarded by the front's lock.
	queueElem  *list.Element // in the queue of queueState; nil: in none
	queueState connState
	queuedAt   time.Time // when the connection entered queueState; for a reader, when its request started
	hadRequest bool      // copy of requestReceived
	progressAt time.Time // copy of lastDataAt
	// incomingSince is a copy of requestStart.
	incomingSince time.Time
	held          [3]int64 // bytes by kind, a copy of account
	// unreadSince is since when responses have been held while the client read nothing; zero: none
	// are held.
	unreadSince time.Time
}

// ReadLimit implements netio.ReadLimiter. Requests cost far more than the bytes of a body, so that
// few are read at once.
func (c *conn) ReadLimit() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inputIgnored {
		return maxBodyTurnBytes
	}
	return min(max(requestTurnBytes, c.parser.BodyRemaining()), maxBodyTurnBytes)
}

// Data implements netio.Handler.
func (c *conn) Data(data []byte) {
	c.receive(data)
	if c.front.memory.Exceeded(membudget.Incoming) {
		c.front.memory.Relieve(membudget.Incoming)
	}
}

// receive processes bytes of the client.
func (c *conn) receive(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inputIgnored {
		return // still read: closing with unread input would send a reset and destroy responses in transit
	}
	defer c.updateQueue()
	c.inData, c.output = true, c.front.outputBuffer[:0]
	defer func() {
		c.flushOutput()
		c.inData, c.output = false, nil
	}()
	c.lastDataAt = time.Now()
	if !c.dataReceived { // the first bytes may have arrived before the connection was accepted
		if sinceReceived := c.sock.SinceLastReceive(); sinceReceived < maxAcceptWait {
			c.lastDataAt = c.lastDataAt.Add(-sinceReceived)
		}
	}
	if !c.parser.InMessage() {
		c.requestStart = c.lastDataAt
	}
	c.dataReceived = true
	c.parser.Feed(data)
	c.parseRequests()
	c.parser.Detach()
	if c.clientLeft || len(c.exchanges) > 0 && c.parser.InMessage() && c.sock.PeerClosed() {
		c.handlePeerEnd()
	}
	c.sendContinue()
}

// sendContinue sends 100 Continue if the client waits for it and all earlier requests have
// been answered; c.mu is held.
func (c *conn) sendContinue() {
	if len(c.exchanges) == 0 && !c.inputIgnored && c.parser.WantsContinue() {
		c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// PeerEnded implements netio.PeerEndHandler.
func (c *conn) PeerEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handlePeerEnd()
}

// handlePeerEnd answers all requests read from a client that has closed its side of the
// stream; c.mu is held. This cannot be told from a full close, so the client counts as gone and
// nothing is started for it; but it may still be reading, so each request gets a final
// response. Closed is called next and abandons the open queries.
func (c *conn) handlePeerEnd() {
	if c.writeClosed || c.closed {
		return
	}
	c.ignoreInput()
	for i, e := range c.exchanges {
		render := e.render
		if render == nil { // the exchange stays open, so that Closed abandons its query
			render = textResponse(http.StatusInternalServerError, "the client ended its side")
		}
		c.write(render(i == len(c.exchanges)-1)) // a client reads no response behind one with Connection: close
	}
	c.flushOutput()
	c.closed = true
}

// parseRequests processes the requests that have been received completely; c.mu is held.
// Clients normally send one at a time; pipelining is bounded, as one connection could otherwise
// hold any number of requests.
func (c *conn) parseRequests() {
	for !c.inputIgnored {
		m, err := c.parser.Next()
		switch {
		case err != nil:
			c.reject(framingErrorStatus(err), err.Error())
		case m == nil:
			return
		case !c.hasRoomFor(m):
			c.reject(http.StatusTooManyRequests, "too many requests were sent ahead")
		default:
			e := &exchange{closeRequested: m.Close, startedAt: c.requestStart, receivedAt: c.lastDataAt}
			c.requestStart, c.requestReceived = time.Now(), true // buffered data belongs to the next request
			c.exchanges = append(c.exchanges, e)
			if m.Close {
				c.ignoreInput()
			}
			if len(c.exchanges) > maxActivePerConn {
				c.queue(e, m)
				continue
			}
			c.dispatch(e, m)
		}
	}
}

// currentState returns what the connection is waiting for; c.mu is held.
func (c *conn) currentState() connState {
	switch {
	case c.writeClosed:
		return stateHalfClosed
	case len(c.exchanges) > 0 && c.exchanges[0].render != nil:
		return stateWriting
	case len(c.exchanges) > 0:
		return stateActive
	case c.parser.InMessage():
		return stateReading
	case !c.dataReceived:
		return stateNew
	}
	return stateIdle
}

// updateQueue moves the connection to the queue of its current state, or to the end of its queue
// if a new request has started or the client has read responses; c.mu is held. A closed connection
// is removed from its queue.
func (c *conn) updateQueue() {
	c.updateAccount()
	f, current := c.front, c.currentState()
	f.mu.Lock()
	defer f.mu.Unlock()
	c.noteUnread(time.Now())
	for _, kind := range membudget.Kinds() {
		c.held[kind] = c.account.Held(kind)
	}
	c.progressAt, c.incomingSince = c.lastDataAt, c.requestStart
	if c.queueElem != nil {
		progressed := current == stateReading && c.queuedAt.Before(c.requestStart) ||
			current == stateWriting && c.queuedAt.Before(c.writeResumedAt)
		if c.queueState == current && !progressed {
			return
		}
		f.queues[c.queueState].Remove(c.queueElem)
		c.queueElem = nil
	}
	c.hadRequest = c.hadRequest || c.requestReceived
	if _, open := f.conns[c]; open && !c.closed {
		c.queueElem, c.queueState, c.queuedAt = f.queues[current].PushBack(c), current, time.Now()
	}
}

// endIfInState ends the connection if it is still in the given state, and reports whether it
// did. As a request may arrive at any moment, a new or idle connection only has its sending
// side closed, and a partly received request gets an error response. A half-closed connection, or
// one with responses that the client does not read, is closed, unless the client still has time to
// read them.
func (c *conn) endIfInState(state connState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.updateQueue()
	if c.currentState() != state || c.closed {
		return false
	}
	switch state {
	case stateNew, stateIdle:
		return c.endIdle()
	case stateReading:
		c.reject(http.StatusRequestTimeout, "the request did not become whole")
	case stateHalfClosed, stateWriting:
		if c.backlog() > 0 && time.Since(c.queuedAt) < unreadResponseTimeout {
			return false
		}
		c.closed = true
		c.sock.Close()
	}
	return true
}

// endIdle closes the sending side of a connection without open requests, unless a request may
// have arrived, and reports whether the connection was ended; c.mu is held. A response that is
// not written completely, as the client does not read, keeps the connection open for at most
// unreadResponseTimeout; then it is closed.
func (c *conn) endIdle() bool {
	if c.sock.CloseWriteIfIdle() {
		c.ignoreInput()
		c.writeClosed = true
		return true
	}
	if c.backlog() > 0 && time.Since(c.queuedAt) > unreadResponseTimeout {
		c.ignoreInput()
		c.closed = true
		c.sock.Close()
		return true
	}
	return false
}

// evict ends the connection if it is still in a state, and reports whether it did. One on which no
// whole request has come is closed at once, as its slot is needed: there is nothing that its client
// is owed, and nothing unread that would destroy the error on its way.
func (c *conn) evict(state connState) bool {
	if state == stateReading && c.sock.HasUnread(false) || !c.endIfInState(state) {
		return false
	}
	if state == stateNew || state == stateReading {
		c.closeIfUnused()
	}
	return true
}

// closeIfUnused closes a half-closed connection on which no whole request was ever received, once
// all has been written.
func (c *conn) closeIfUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeClosed && !c.requestReceived && !c.closed && c.sock.Backlog() == 0 {
		c.closed = true
		c.sock.Close()
	}
}

// ignoreInput makes the connection drop all further input; c.mu is held.
func (c *conn) ignoreInput() {
	c.inputIgnored = true
	c.parser.Discard()
}

// reject sends an error response, after those to earlier requests, and ends the connection, as
// it is not known where the next request starts; c.mu is held.
func (c *conn) reject(status int, message string) {
	c.ignoreInput()
	c.front.countRejection(status)
	c.exchanges = append(c.exchanges, &exchange{closeRequested: true, render: textResponse(status, message)})
	c.writeCompleted()
}

// dispatch answers a request or submits its query; c.mu is held. The request is not used any more
// after it.
func (c *conn) dispatch(e *exchange, m *http1.Message) {
	defer c.parser.Recycle(m)
	if path, _, _ := strings.Cut(m.Target, "?"); path == "/ready" {
		status, text := http.StatusOK, "ready"
		if m.Method != http.MethodGet {
			status, text = http.StatusMethodNotAllowed, "want GET"
		} else if !c.front.Ready() {
			status, text = http.StatusServiceUnavailable, "not ready"
		}
		c.complete(e, textResponse(status, text))
		return
	}
	q, err := decodeQuery(m, c.front.classesAt(e.startedAt), c.front.opts.Shards, e.receivedAt)
	if err != nil {
		status := http.StatusBadRequest
		if rejected := (*requestError)(nil); errors.As(err, &rejected) {
			status = rejected.status
		}
		c.front.countRejection(status)
		c.complete(e, textResponse(status, err.Error()))
		return
	}
	if c.front.opts.Trace && m.Get(tracecontext.TraceparentHeader) != "" {
		q.Trace = tracecontext.Parse(m.All(tracecontext.TraceparentHeader), strings.Join(m.All(tracecontext.TracestateHeader), ","))
	}
	// The client may have left while the request waited, for the accept or behind other
	// requests of the connection. Closed is called in that case and drops the exchanges.
	if c.sock.PeerClosed() {
		c.clientLeft = true
		return
	}
	e.heldBytes = queryBytes(m, q)
	admitted := c.admit(e, q)
	id, ok := broker.QueryID(0), false
	if admitted {
		id, ok = c.front.opts.Core.Submit(q, c)
	}
	if !ok {
		c.complete(e, replyResponse(broker.Reply{Verdict: broker.Refused}))
		return
	}
	e.queryID = id
}

// ClientGone implements broker.DisconnectChecker.
func (c *conn) ClientGone() bool { return c.sock.PeerClosed() }

// Reply implements broker.Replier.
func (c *conn) Reply(id broker.QueryID, reply broker.Reply) {
	defer c.relieveResponses()
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.updateQueue()
	for _, e := range c.exchanges {
		if e.queryID == id && e.render == nil {
			e.heldBytes = replyBytes(&reply)
			c.complete(e, replyResponse(reply))
			c.startQueued()
			c.sendContinue()
			return
		}
	}
}

// write sends data unless the connection is closed; c.mu is held. While Data runs, small responses
// are collected and sent together.
func (c *conn) write(data []byte) {
	if !c.inData || len(data) > outputBufferBytes {
		c.flushOutput()
		c.send(data)
		return
	}
	if len(c.output)+len(data) > outputBufferBytes {
		c.flushOutput()
	}
	c.output = append(c.output, data...)
}

// flushOutput sends the responses that were collected; c.mu is held.
func (c *conn) flushOutput() {
	if len(c.output) > 0 {
		c.send(c.output)
		c.output = c.output[:0]
	}
}

// send passes data to the socket unless the connection is closed; c.mu is held.
func (c *conn) send(data []byte) {
	if c.closed {
		return
	}
	if _, err := c.sock.Write(data); err != nil {
		c.closed = true // Closed is called next
	} else if c.sock.Backlog() > 0 {
		c.sock.AfterFlush(c.resumeWriting)
	}
}

// backlog returns the number of bytes of responses that the system has not taken yet; c.mu is held.
func (c *conn) backlog() int64 { return c.sock.Backlog() + int64(len(c.output)) }

// closeWriteAfterFlush closes our side of the stream once all data has been written; c.mu is
// held. The connection itself is closed when the client has closed its side, or on a timeout:
// closing it at once could destroy a response that the client has not read yet.
func (c *conn) closeWriteAfterFlush() {
	c.writeClosed = true
	c.flushOutput()
	c.sock.AfterFlush(func() {
		_ = c.sock.CloseWrite() // fails only if the socket is closed already
	})
}

// endForDrain ends a connection without open requests during a drain, unless it is so new that
// its first request may be in transit. A partly received request has drainReadTimeout to
// arrive completely, as one that never does must not block the shutdown.
func (c *conn) endForDrain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.updateQueue()
	switch {
	case len(c.exchanges) > 0 || c.inputIgnored || c.closed:
	case !c.parser.InMessage():
		if c.dataReceived || time.Since(c.requestStart) > connlimit.MinEvictionAge {
			c.endIdle()
		}
	case time.Since(c.requestStart) > drainReadTimeout:
		c.reject(http.StatusRequestTimeout, "the request did not become whole")
	}
}

// Closed implements netio.Handler: it abandons the open queries and releases the slot.
func (c *conn) Closed(error) {
	c.mu.Lock()
	c.closed = true
	c.ignoreInput()
	exchanges := c.exchanges
	c.exchanges = nil
	c.account.Close()
	c.mu.Unlock()
	for _, e := range exchanges {
		if e.render == nil && e.queryID != 0 {
			c.front.opts.Core.Leave(e.queryID)
		}
	}
	c.front.mu.Lock()
	delete(c.front.conns, c)
	if c.queueElem != nil {
		c.front.queues[c.queueState].Remove(c.queueElem)
		c.queueElem = nil
	}
	c.front.mu.Unlock()
	c.front.connSlots.Release()
}
