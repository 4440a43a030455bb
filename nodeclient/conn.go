package nodeclient

import (
	"fmt"
	"time"

	"onyxsail/broker"
	"onyxsail/decide"
	"onyxsail/internal/netio"
	"onyxsail/reach"
)

// conn is one connection to a node, open or being opened. Its fields are guarded by the
// client's mu.
type conn struct {
	client            *Client
	node              *node
	addr              string                      // the node's address that it leads to; "": connecting to one of several
	sock              *netio.Conn                 // nil while the connection is being opened
	closed            bool                        // terminate was called
	holdsSlot         bool                        // it counts against the client's MaxConns
	buf               []byte                      // received bytes that are no whole frame yet
	attempts          map[string]*openAttempt     // by part id
	cancelled         map[string]broker.AttemptID // cancelled parts whose answer may still arrive
	dialedAt          time.Time                   // when connecting began
	frameBeganAt      time.Time                   // when the first byte of the frame in buf arrived
	probesSentAt      []time.Time                 // when each probe without an answer was requested
	lastUsedAt        time.Time                   // time of the latest read, call, cancel or probe
	writeBlockedSince time.Time                   // since when written bytes have waited for the socket; zero: none wait
	lastReadAt        time.Time                   // time of the latest read
	unansweredSince   time.Time                   // since when attempts have waited with nothing read; zero: none wait
	unusable          bool                        // nothing more is sent on it
	closedLocally     bool                        // closed by this client, not by the node
	silenceReported   bool                        // the address planner has been told of the current silence
	onProbation       bool                        // its address is being tested after a suspicion; it carries no parts yet
	localFailure      bool                        // it could not be opened because of a failure on this machine
	lastAnswerID      string                      // part id of the latest answer
}

// openAttempt is one attempt that has no outcome yet.
type openAttempt struct {
	broker.Attempt
	sentAt      time.Time // when its frame was queued
	partID      string
	conn        *conn
	frameStart  int64     // stream position before the first byte of its frame
	frameEnd    int64     // stream position of the last byte of its frame; 0 before it is queued
	requestedAt time.Time // when it was passed to the client, or resent
	resends     int       // how often it was resent on another connection, with nothing written before
	written     bool      // its frame has been written whole and counted in writtenAttempts
	// pendingCall holds all attempts of a call that waits for the connection. It is set at
	// one of them, the first that has not been cancelled, and nil at the others.
	pendingCall []broker.Attempt
}

// releaseSlot stops counting the connection against MaxConns; it may be called again.
func (cn *conn) releaseSlot() {
	if cn.holdsSlot {
		cn.holdsSlot = false
		cn.client.openConns--
	}
}

// pickConn returns a connection as found by findConn that the node has not closed, nil if
// there is none. It closes those that the node has closed: a node may do so right after its
// last answer, and a part sent there would end in a reset and could not be retried. The
// client's mu is held.
func (n *node) pickConn(streams int, attempts []broker.Attempt, exclusive bool) *conn {
	for {
		cn := n.findConn(streams, attempts, exclusive)
		if cn == nil || cn.sock == nil || !cn.sock.AtEOF() {
			return cn
		}
		cn.unusable = true
		cn.sock.Close()
	}
}

// findConn returns a connection that carries at most streams attempts together with the
// new ones, preferring open connections to those being opened; nil if there is none. A
// call of more than streams attempts gets a connection without others. It skips
// connections that carry the same part or have cancelled it, as the answers could not be
// told apart, and those with bytes waiting for the socket, as they may be closed. It also
// skips silent ones and those to a suspected address, where a part would probably only
// time out: they are used again once the node answers there, or if there are so many of
// them that the node itself must be silent.
//
// exclusive asks for a connection that carries no part and has no cancelled one: if a node
// closes connections after an answer, everything else waiting there is lost.
func (n *node) findConn(streams int, attempts []broker.Attempt, exclusive bool) *conn {
	var best, suspectConn *conn
	suspectCount, now := 0, time.Now()
	for _, cn := range n.conns {
		if cn.closed || cn.unusable || cn.onProbation || !cn.addrIsListed() {
			continue
		}
		cn.reportSilence(now)
		suspect := cn.isSilent(now) || cn.addrIsSuspected(now)
		if suspect {
			suspectCount++
		}
		if len(cn.attempts)+len(attempts) > max(streams, len(attempts)) ||
			len(cn.cancelled) >= maxCancelledParts || cn.sock != nil && cn.sock.Backlog() > 0 ||
			exclusive && len(cn.attempts)+len(cn.cancelled) > 0 {
			continue
		}
		clash := false
		for i := range attempts {
			id := partID(&attempts[i])
			_, isCancelled := cn.cancelled[id]
			clash = clash || isCancelled || cn.attempts[id] != nil
		}
		switch {
		case clash:
		case suspect:
			suspectConn = cn // the latest one
		case best == nil || best.sock == nil && cn.sock != nil:
			best = cn
		}
	}
	if best == nil && suspectCount >= silentConnThreshold {
		return suspectConn
	}
	return best
}

// isSilent reports whether the connection counts as silent: attempts have waited on it for
// unusually long with nothing read (see silenceFactor).
func (cn *conn) isSilent(now time.Time) bool {
	return cn.sock != nil && !cn.unansweredSince.IsZero() && now.Sub(cn.unansweredSince) > max(minSilence, silenceFactor*cn.node.smoothedLatency)
}

// established sets the socket of a connection that has been opened, and sends the probes and
// calls that waited for it. It closes the socket if the connection is no longer wanted.
func (cn *conn) established(sock *netio.Conn) {
	cn.client.mu.Lock()
	defer cn.client.mu.Unlock()
	if cn.closed {
		sock.Close()
		return
	}
	cn.sock = sock
	if cn.onProbation && !cn.beginProbation() {
		return
	}
	if !cn.addrIsListed() || !cn.node.listed { // the address may no longer be that of a listed node
		cn.closedLocally = true
		sock.Close()
		return
	}
	for range cn.probesSentAt {
		if _, err := cn.sock.Write(appendProbe(nil)); err != nil {
			return
		}
	}
	if cn.client.opts.Observer != nil {
		now := time.Now()
		for _, att := range cn.attempts {
			cn.client.opts.Observer.PhaseReached(att.ID, broker.WireConnected, cn.addr, now)
		}
	}
	for _, att := range cn.attempts {
		if att.frameEnd == 0 && att.pendingCall != nil {
			cn.writeCall(att.pendingCall)
		}
	}
}

// writeCall queues one frame with those of the attempts that may still begin, and ends the
// others. On an error it closes the socket; terminate then ends the attempts according to how
// much of the frame was written. The client's mu is held.
func (cn *conn) writeCall(attempts []broker.Attempt) {
	now := time.Now()
	live := attempts[:0:0]
	for i := range attempts {
		id := partID(&attempts[i])
		att := cn.attempts[id]
		if att == nil || att.ID != attempts[i].ID { // cancelled while it waited
			continue
		}
		if att.MustNotStart(cn.node.latestStart, now) {
			delete(cn.attempts, id)
			delete(cn.client.attempts, att.ID)
			cn.client.opts.Sink.AttemptOutcome(att.ID, decide.NotSent, broker.Response{})
			continue
		}
		remaining := attempts[i]
		remaining.Timeout -= now.Sub(att.requestedAt) // the node gets the time that remains now, without the wait for the connection
		live = append(live, remaining)
	}
	if len(live) == 0 {
		return
	}
	cn.lastUsedAt = now
	frame := appendCall(nil, live)
	end, err := cn.sock.Write(frame)
	written := end <= cn.sock.Written()
	for i := range live {
		if att := cn.attempts[partID(&live[i])]; att != nil {
			att.frameStart, att.frameEnd, att.pendingCall, att.sentAt = end-int64(len(frame)), end, nil, cn.lastUsedAt
			cn.markWritten(att, cn.lastUsedAt)
		}
	}
	if cn.unansweredSince.IsZero() {
		cn.unansweredSince = cn.lastUsedAt
	}
	if err == nil && end > cn.sock.Written() {
		cn.limitFrameWrite(end, live)
	}
	if err != nil {
		cn.sock.Close()
	} else if !written {
		cn.sock.AfterFlush(func() {
			cn.client.mu.Lock()
			defer cn.client.mu.Unlock()
			for _, att := range cn.attempts {
				cn.markWritten(att, time.Now())
			}
		})
	}
}

// limitFrameWrite closes the connection if a frame that waits for a full socket has not
// been written whole within the frame timeout, or by the time after which one of its parts
// may not begin.
func (cn *conn) limitFrameWrite(end int64, attempts []broker.Attempt) {
	deadline := cn.lastUsedAt.Add(cn.client.frameTimeout)
	for i := range attempts {
		if latest := attempts[i].LatestStart; !latest.IsZero() && latest.Before(deadline) {
			deadline = latest
		}
	}
	if latest := cn.node.latestStart; !latest.IsZero() && latest.Before(deadline) {
		deadline = latest
	}
	time.AfterFunc(time.Until(deadline), func() {
		cn.client.mu.Lock()
		defer cn.client.mu.Unlock()
		if !cn.closed && cn.sock.Written() < end {
			cn.close()
		}
	})
}

// markWritten counts an attempt once its frame has been written whole, and notifies the
// observer; the client's mu is held.
func (cn *conn) markWritten(att *openAttempt, now time.Time) {
	if att.written || att.frameEnd == 0 || att.frameEnd > cn.sock.Written() {
		return
	}
	att.written = true
	cn.client.writtenAttempts.Add(1)
	if cn.client.opts.Observer != nil {
		cn.client.opts.Observer.PhaseReached(att.ID, broker.WireSent, cn.addr, now)
	}
}

// frameIsUnwanted reports whether the frame of a cancelled part still waits for a full
// socket and carries no other open part: if it were written, the part would begin although it
// is no longer wanted. Closing the connection then costs little, as the other parts on it wait
// for a node that reads nothing anyway.
func (cn *conn) frameIsUnwanted(att *openAttempt) bool {
	if att.frameEnd <= cn.sock.Written() {
		return false
	}
	for _, other := range cn.attempts {
		if other.frameEnd == att.frameEnd {
			return false
		}
	}
	return true
}

// isIdle reports whether the connection is open and carries no attempts and no probes.
func (cn *conn) isIdle() bool {
	return cn.sock != nil && !cn.closed && len(cn.attempts) == 0 && len(cn.probesSentAt) == 0
}

// Data implements netio.Handler.
func (cn *conn) Data(b []byte) {
	cn.client.mu.Lock()
	defer cn.client.mu.Unlock()
	if cn.closed {
		return
	}
	cn.lastUsedAt = time.Now()
	cn.lastReadAt, cn.node.lastReadAt, cn.unansweredSince = cn.lastUsedAt, cn.lastUsedAt, time.Time{}
	if cn.silenceReported = false; cn.node.multiAddr && !cn.onProbation {
		cn.client.multiDialer.ReportAnswer(cn.node.id, cn.addr, cn.lastUsedAt)
	}
	defer func() {
		if len(cn.attempts) > 0 {
			cn.unansweredSince = cn.lastUsedAt
		}
	}()
	if len(cn.buf) == 0 {
		cn.frameBeganAt = cn.lastUsedAt
	}
	cn.buf = append(cn.buf, b...)
	for rest := cn.buf; ; {
		frameType, body, n, err := nextFrame(rest)
		if err == nil && n > 0 {
			err = cn.handleFrame(frameType, body)
			rest = rest[n:]
			cn.frameBeganAt = cn.lastUsedAt
		}
		if err != nil {
			cn.closeMalformed(err)
			return
		}
		if n == 0 {
			if cn.buf = append(cn.buf[:0], rest...); len(rest) == 0 {
				cn.buf = nil
			}
			return
		}
	}
}

// closeMalformed closes a connection whose stream cannot be parsed any further; the
// client's mu is held. None of the open attempts will be answered, and any of them may have
// run: one is reported as failed by the node, the others as cancelled. If no attempt is
// open, the malformed bytes followed a valid answer and no outcome is reported.
func (cn *conn) closeMalformed(err error) {
	if cn.closed || cn.unusable {
		return
	}
	cn.unusable = true
	n, now := cn.node, time.Now()
	if n.unloggedMalformed++; now.Sub(n.malformedLoggedAt) >= warnLogInterval { // a node that keeps sending malformed frames must not flood the log
		cn.client.opts.Log.Warn().Str("event", "frame").Str("node", n.id).Int("waiting", len(cn.attempts)).Int("times", n.unloggedMalformed).
			Err(err).Msg("malformed frame from a node; closing its connection")
		n.malformedLoggedAt, n.unloggedMalformed = now, 0
	}
	cn.abortSent(decide.Failed)
}

// abortSent closes the connection and ends the attempts that had been written whole, all of
// which may have run: any one of them with the given outcome and the others as cancelled. The
// client's mu is held.
func (cn *conn) abortSent(outcome decide.Outcome) {
	written := cn.sock.Written()
	cn.close()
	for id, att := range cn.attempts {
		if att.frameEnd == 0 || att.frameEnd > written {
			continue // cannot have been received whole: terminate ends it as never run
		}
		cn.markWritten(att, time.Now())
		delete(cn.attempts, id)
		delete(cn.client.attempts, att.ID)
		cn.client.opts.Sink.AttemptOutcome(att.ID, outcome, broker.Response{})
		outcome = decide.Cancelled
	}
}

// handleFrame processes one frame from the node; an error means that the stream cannot be
// parsed any further.
func (cn *conn) handleFrame(frameType byte, body []byte) error {
	switch frameType {
	case 'R': // result of a part
		r, err := parseResult(body)
		if err != nil {
			return err
		}
		att := cn.attempts[r.partID]
		attemptID, isCancelled := cn.cancelled[r.partID]
		if att == nil && !isCancelled && r.partID != cn.lastAnswerID {
			return fmt.Errorf("%w: answer for part %.80q, which is not open", errMalformedFrame, r.partID)
		}
		delete(cn.cancelled, r.partID)
		if cn.lastAnswerID = r.partID; att == nil {
			if isCancelled && cn.client.opts.Observer != nil {
				cn.client.opts.Observer.LateOutcome(attemptID, r.outcome, cn.lastReadAt)
			}
			return nil // it was cancelled, or repeats the latest answer
		}
		cn.markWritten(att, cn.lastReadAt)
		delete(cn.attempts, r.partID)
		delete(cn.client.attempts, att.ID)
		if latency := cn.lastReadAt.Sub(att.sentAt); cn.node.smoothedLatency == 0 {
			cn.node.smoothedLatency = latency
		} else {
			cn.node.smoothedLatency += time.Duration(latencySmoothing * float64(latency-cn.node.smoothedLatency))
		}
		cn.client.opts.Sink.AttemptOutcome(att.ID, r.outcome, broker.Response{Value: r.value, FirstByteAt: cn.frameBeganAt})
	case 'H', 'M': // answer to a probe
		if cn.onProbation {
			cn.endProbation(string(body) == "done")
			return nil
		}
		if len(cn.probesSentAt) > 0 {
			sentAt := cn.probesSentAt[0]
			cn.probesSentAt = cn.probesSentAt[1:]
			outcome := decide.Failed
			if string(body) == "done" {
				outcome = decide.OK
			}
			cn.client.opts.Sink.ProbeOutcome(cn.node.id, outcome, time.Since(sentAt))
		}
	case 'F': // the node could not parse a frame
		return fmt.Errorf("the node rejected a frame: %.200q", body)
	default:
		return errMalformedFrame
	}
	return nil
}

// Closed implements netio.Handler.
func (cn *conn) Closed(error) { cn.terminate() }

// terminate ends a connection and all attempts and probes open on it; it may be called again.
// A frame whose last byte the kernel had not taken cannot have been received whole, so its
// parts never ran; any other may have run.
func (cn *conn) terminate() {
	cn.client.mu.Lock()
	defer cn.client.mu.Unlock()
	brokenByPeer := cn.sock != nil && !cn.closedLocally && !cn.closed
	if cn.closed {
		return
	}
	cn.closed = true
	cn.releaseSlot()
	for i, other := range cn.node.conns {
		if other == cn {
			cn.node.conns = append(cn.node.conns[:i], cn.node.conns[i+1:]...)
			break
		}
	}
	written := int64(0)
	if cn.sock != nil {
		written = cn.sock.Written()
		cn.sock.Close()
	}
	if now := time.Now(); cn.sock != nil && !cn.closedLocally && (len(cn.attempts) > 1 || now.Before(cn.node.exclusiveUntil)) {
		cn.node.exclusiveUntil = now.Add(exclusivePeriod)
	}
	if brokenByPeer && cn.node.multiAddr {
		cn.client.multiDialer.ReportConnectionBroken(cn.node.id, cn.addr, time.Now())
	}
	for _, att := range cn.attempts {
		if cn.sock != nil {
			cn.markWritten(att, time.Now())
		}
		delete(cn.client.attempts, att.ID)
		disposition := reach.DispositionOf(reach.ClassifyClose(att.frameStart, att.frameEnd, written))
		if disposition.TryOtherAddress && cn.sock != nil && cn.resend(att) {
			continue
		}
		if cn.localFailure { // says nothing about the node
			disposition.Outcome = decide.NotSent
		}
		cn.client.opts.Sink.AttemptOutcome(att.ID, disposition.Outcome, broker.Response{})
	}
	for _, sentAt := range cn.probesSentAt {
		cn.client.opts.Sink.ProbeOutcome(cn.node.id, decide.Unreachable, time.Since(sentAt))
	}
	cn.attempts, cn.probesSentAt = nil, nil
}

// checkState is called at each sweep: it closes the connection if it is silent, its stream
// has stalled in either direction, its address test has timed out, or it is idle and expired
// or no longer needed. The client's mu is held.
func (cn *conn) checkState(now time.Time) {
	if cn.sock == nil || cn.closed || cn.unusable {
		return
	}
	cn.reportSilence(now)
	if cn.onProbation && now.Sub(cn.dialedAt) > cn.client.opts.ConnectTimeout+silentConnTimeout {
		cn.endProbation(false)
		return
	}
	if len(cn.buf) > 0 && now.Sub(cn.lastReadAt) > partialFrameTimeout {
		cn.closeMalformed(fmt.Errorf("%w: incomplete after %d bytes", errMalformedFrame, len(cn.buf)))
		return
	}
	if silence := now.Sub(cn.unansweredSince); cn.isSilent(now) && silence > silentConnTimeout &&
		(len(cn.attempts) == 0 || cn.node.lastReadAt.Sub(cn.unansweredSince) > silentConnTimeout) {
		// The node answers, but not on this connection: a firewall or NAT on the path may
		// have dropped its state. The attempts need not wait for their time-outs.
		cn.client.opts.Log.Info().Str("event", "silent").Str("node", cn.node.id).Int("waiting", len(cn.attempts)).
			Dur("quiet", silence).Msg("closing a connection that has gone silent")
		cn.unusable = true
		cn.abortSent(decide.Cancelled)
		return
	}
	if cn.sock.Backlog() == 0 {
		cn.writeBlockedSince = time.Time{}
	} else if cn.writeBlockedSince.IsZero() {
		cn.writeBlockedSince = now
	}
	idleTimeout := time.Duration(idleTimeoutFraction * float64(cn.client.opts.ServerIdleTimeout))
	expired := !cn.addrIsListed() || !cn.node.listed || idleTimeout > 0 && now.Sub(cn.lastUsedAt) > idleTimeout ||
		len(cn.cancelled) >= maxCancelledParts
	if !cn.writeBlockedSince.IsZero() && now.Sub(cn.writeBlockedSince) > cn.client.frameTimeout+writeStallTimeout-frameWriteTimeout || cn.isIdle() && expired {
		cn.close()
	}
}
