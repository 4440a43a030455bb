package nodeclient

import (
	"fmt"
	"time"

	"onyxsail/broker"
	"onyxsail/decide"
	"onyxsail/internal/netio"
	"onyxsail/reach"
)

type conn struct {
	c         *Client
	node      *node
	addr      string
	sock      *netio.Conn // nil while it is being made
	gone      bool
	counted   bool // it takes one of the client's places
	buf       []byte
	calls     map[string]*call            // by the part's id
	abandoned map[string]broker.AttemptID // given up; an answer may still come
	dialed    time.Time                   // when its making began
	began     time.Time                   // when the first byte of what is in buf came
	probes    []time.Time
	used      time.Time
	stuck     time.Time // since when bytes have waited
	heard     time.Time // when it was last read from
	waiting   time.Time // since when parts wait with nothing read; zero: none do
	spoilt    bool      // nothing more is sent on it
	ours      bool      // we have closed it
	blamed    bool      // the planner knows of its present silence
	trial     bool      // its address is on trial: it carries no parts yet
	local     bool      // it could not be made for want of something on this machine
	last      string    // id of the latest answer
}

// call is one attempt that is out.
type call struct {
	broker.Attempt
	sent  time.Time
	id    string
	on    *conn
	first int64     // position before its frame's first byte
	end   int64     // position of its frame's last byte, 0 before it is queued
	since time.Time // when the core sent it
	moves int       // addresses that it was sent to before, with nothing left for them
	gone  bool      // its last byte has left, and that is counted
	mate  []broker.Attempt
}

// release gives a connection's place back, once.
func (cn *conn) release() {
	if cn.counted {
		cn.counted = false
		cn.c.conns--
	}
}

// pick chooses a connection that the node has not closed. It may have, right
// behind its last answer: a part sent there would end as a reset, and may not
// be repeated then.
func (n *node) pick(streams int, calls []broker.Attempt, alone bool) *conn {
	for {
		cn := n.choose(streams, calls, alone)
		if cn == nil || cn.sock == nil || !cn.sock.AtEOF() {
			return cn
		}
		cn.spoilt = true
		cn.sock.Close()
	}
}

// choose finds a connection with room, an open one before one in the making.
// One that has given up the same part, or still carries it, would mix up the
// answers; one with bytes waiting may be cut off. One that is silent may be cut
// off without a word: what is sent there would only time out. It is used again
// once it speaks, or where so many are silent that it must be the node.
//
// alone asks for one that carries nothing at all: where a node closes
// connections behind its answers, whatever else waits there is lost with them.
func (n *node) choose(streams int, calls []broker.Attempt, alone bool) *conn {
	var best, mute *conn
	silent, now := 0, time.Now()
	for _, cn := range n.conns {
		if cn.gone || cn.spoilt || cn.trial || !cn.leads() {
			continue
		}
		cn.blame(now)
		quiet := cn.silent(now) || cn.doubtful(now)
		if quiet {
			silent++
		}
		if len(cn.calls)+len(calls) > max(streams, len(calls)) ||
			len(cn.abandoned) >= maxAbandoned || cn.sock != nil && cn.sock.Backlog() > 0 ||
			alone && len(cn.calls)+len(cn.abandoned) > 0 {
			continue
		}
		clash := false
		for i := range calls {
			id := partID(&calls[i])
			_, off := cn.abandoned[id]
			clash = clash || off || cn.calls[id] != nil
		}
		switch {
		case clash:
		case quiet:
			mute = cn // the latest one
		case best == nil || best.sock == nil && cn.sock != nil:
			best = cn
		}
	}
	if best == nil && silent >= maxSilent {
		return mute
	}
	return best
}

// silent says whether parts have waited on the connection for unusually long.
func (cn *conn) silent(now time.Time) bool {
	return cn.sock != nil && !cn.waiting.IsZero() && now.Sub(cn.waiting) > max(silentLeast, silentTimes*cn.node.usual)
}

// begin sends what waited for the connection.
func (cn *conn) begin(sock *netio.Conn) {
	cn.c.mu.Lock()
	defer cn.c.mu.Unlock()
	if cn.gone {
		sock.Close()
		return
	}
	cn.sock = sock
	if cn.trial && !cn.try() {
		return
	}
	if !cn.leads() || !cn.node.listed { // nobody of the list may be there any more
		cn.ours = true
		sock.Close()
		return
	}
	for range cn.probes {
		if _, err := cn.sock.Write(appendProbe(nil)); err != nil {
			return
		}
	}
	if cn.c.opts.Observer != nil {
		now := time.Now()
		for _, cl := range cn.calls {
			cn.c.opts.Observer.PhaseReached(cl.ID, broker.WireConnected, cn.addr, now)
		}
	}
	for _, cl := range cn.calls {
		if cl.end == 0 && cl.mate != nil {
			cn.write(cl.mate)
		}
	}
}

// write queues one call, but for those of its parts that may not begin any more.
// An error closes the socket, and its Closed then ends the attempts by what had
// left.
func (cn *conn) write(calls []broker.Attempt) {
	now := time.Now()
	out := calls[:0:0]
	for i := range calls {
		id := partID(&calls[i])
		cl := cn.calls[id]
		if cl == nil || cl.ID != calls[i].ID { // given up while it waited
			continue
		}
		if cl.MustNotStart(cn.node.latest, now) {
			delete(cn.calls, id)
			delete(cn.c.where, cl.ID)
			cn.c.opts.Sink.AttemptOutcome(cl.ID, decide.NotSent, broker.Response{})
			continue
		}
		told := calls[i]
		told.Timeout -= now.Sub(cl.since) // the node is told what is left, not what was before the connection
		out = append(out, told)
	}
	if len(out) == 0 {
		return
	}
	cn.used = now
	frame := appendCall(nil, out)
	end, err := cn.sock.Write(frame)
	gone := end <= cn.sock.Written()
	for i := range out {
		if cl := cn.calls[partID(&out[i])]; cl != nil {
			cl.first, cl.end, cl.mate, cl.sent = end-int64(len(frame)), end, nil, cn.used
			cn.left(cl, cn.used)
		}
	}
	if cn.waiting.IsZero() {
		cn.waiting = cn.used
	}
	if err == nil && end > cn.sock.Written() {
		cn.watchFrame(end, out)
	}
	if err != nil {
		cn.sock.Close()
	} else if !gone {
		cn.sock.AfterFlush(func() {
			cn.c.mu.Lock()
			defer cn.c.mu.Unlock()
			for _, cl := range cn.calls {
				cn.left(cl, time.Now())
			}
		})
	}
}

// watchFrame closes the connection where a frame that waits for a full socket has not left
// whole when one of its parts may not begin any more, and after frameWithin.
func (cn *conn) watchFrame(end int64, calls []broker.Attempt) {
	until := cn.used.Add(cn.c.frame)
	for i := range calls {
		if latest := calls[i].LatestStart; !latest.IsZero() && latest.Before(until) {
			until = latest
		}
	}
	if latest := cn.node.latest; !latest.IsZero() && latest.Before(until) {
		until = latest
	}
	time.AfterFunc(time.Until(until), func() {
		cn.c.mu.Lock()
		defer cn.c.mu.Unlock()
		if !cn.gone && cn.sock.Written() < end {
			cn.hangUp()
		}
	})
}

// left counts an attempt whose last byte has left, once, and tells the observer; c.mu is
// held.
func (cn *conn) left(cl *call, now time.Time) {
	if cl.gone || cl.end == 0 || cl.end > cn.sock.Written() {
		return
	}
	cl.gone = true
	cn.c.relayed.Add(1)
	if cn.c.opts.Observer != nil {
		cn.c.opts.Observer.PhaseReached(cl.ID, broker.WireSent, cn.addr, now)
	}
}

// begins says whether a part that has been given up would begin only now: its frame waits
// for a full socket and carries nothing else that is still wanted. A node that reads
// nothing for so long has the others that are out hang too.
func (cn *conn) begins(cl *call) bool {
	if cl.end <= cn.sock.Written() {
		return false
	}
	for _, other := range cn.calls {
		if other.end == cl.end {
			return false
		}
	}
	return true
}

func (cn *conn) idle() bool {
	return cn.sock != nil && !cn.gone && len(cn.calls) == 0 && len(cn.probes) == 0
}

// Data implements netio.Handler.
func (cn *conn) Data(b []byte) {
	cn.c.mu.Lock()
	defer cn.c.mu.Unlock()
	if cn.gone {
		return
	}
	cn.used = time.Now()
	cn.heard, cn.node.heard, cn.waiting = cn.used, cn.used, time.Time{}
	if cn.blamed = false; cn.node.several && !cn.trial {
		cn.c.paths.Answered(cn.node.id, cn.addr, cn.used)
	}
	defer func() {
		if len(cn.calls) > 0 {
			cn.waiting = cn.used
		}
	}()
	if len(cn.buf) == 0 {
		cn.began = cn.used
	}
	cn.buf = append(cn.buf, b...)
	for rest := cn.buf; ; {
		letter, body, n, err := nextFrame(rest)
		if err == nil && n > 0 {
			err = cn.frame(letter, body)
			rest = rest[n:]
			cn.began = cn.used
		}
		if err != nil {
			cn.spoil(err)
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

// spoil ends a connection whose stream cannot be read any further; c.mu is
// held. Nothing that is out on it will get an answer, and all of it may have
// run: one attempt has failed, its node's fault, and the others are called off.
// Where nothing is out, more than an answer came behind a good one.
func (cn *conn) spoil(err error) {
	if cn.gone || cn.spoilt {
		return
	}
	cn.spoilt = true
	n, now := cn.node, time.Now()
	if n.unsaid++; now.Sub(n.complained) >= complainEvery { // a noisy node must not flood the log
		cn.c.opts.Log.Warn().Str("event", "frame").Str("node", n.id).Int("waiting", len(cn.calls)).Int("times", n.unsaid).
			Err(err).Msg("a node sent what cannot be read; its connection is closed")
		n.complained, n.unsaid = now, 0
	}
	cn.drop(decide.Failed)
}

// drop closes the connection and ends what had left on it, the first with the
// given outcome and the others as called off; all of it may have run.
func (cn *conn) drop(outcome decide.Outcome) {
	written := cn.sock.Written()
	cn.hangUp()
	for id, cl := range cn.calls {
		if cl.end == 0 || cl.end > written {
			continue // never whole at the node: Closed tells it so
		}
		cn.left(cl, time.Now())
		delete(cn.calls, id)
		delete(cn.c.where, cl.ID)
		cn.c.opts.Sink.AttemptOutcome(cl.ID, outcome, broker.Response{})
		outcome = decide.Cancelled
	}
}

func (cn *conn) frame(letter byte, rest []byte) error {
	switch letter {
	case 'R':
		r, err := parseResult(rest)
		if err != nil {
			return err
		}
		cl := cn.calls[r.id]
		late, off := cn.abandoned[r.id]
		if cl == nil && !off && r.id != cn.last {
			return fmt.Errorf("%w: the answer of part %.80q, which is not out", errFrame, r.id)
		}
		delete(cn.abandoned, r.id)
		if cn.last = r.id; cl == nil {
			if off && cn.c.opts.Observer != nil {
				cn.c.opts.Observer.LateOutcome(late, r.end, cn.heard)
			}
			return nil // it was given up, or is a copy of the latest answer
		}
		cn.left(cl, cn.heard)
		delete(cn.calls, r.id)
		delete(cn.c.where, cl.ID)
		if took := cn.heard.Sub(cl.sent); cn.node.usual == 0 {
			cn.node.usual = took
		} else {
			cn.node.usual += time.Duration(smooth * float64(took-cn.node.usual))
		}
		cn.c.opts.Sink.AttemptOutcome(cl.ID, r.end, broker.Response{Value: r.value, FirstByteAt: cn.began})
	case 'H', 'M':
		if cn.trial {
			cn.stand(string(rest) == "done")
			return nil
		}
		if len(cn.probes) > 0 {
			sent := cn.probes[0]
			cn.probes = cn.probes[1:]
			outcome := decide.Failed
			if string(rest) == "done" {
				outcome = decide.OK
			}
			cn.c.opts.Sink.ProbeOutcome(cn.node.id, outcome, time.Since(sent))
		}
	case 'F':
		return fmt.Errorf("a node could not use a frame of ours: %.200q", rest)
	default:
		return errFrame
	}
	return nil
}

// Closed implements netio.Handler.
func (cn *conn) Closed(error) { cn.fail() }

// fail ends a connection and all that is out on it. A frame whose last byte
// the kernel had not taken cannot have been read whole, so it never ran; any
// other may have.
func (cn *conn) fail() {
	cn.c.mu.Lock()
	defer cn.c.mu.Unlock()
	broke := cn.sock != nil && !cn.ours && !cn.gone
	if cn.gone {
		return
	}
	cn.gone = true
	cn.release()
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
	if now := time.Now(); cn.sock != nil && !cn.ours && (len(cn.calls) > 1 || now.Before(cn.node.shy)) {
		cn.node.shy = now.Add(shyFor)
	}
	if broke && cn.node.several {
		cn.c.paths.Reset(cn.node.id, cn.addr, time.Now())
	}
	for _, cl := range cn.calls {
		if cn.sock != nil {
			cn.left(cl, time.Now())
		}
		delete(cn.c.where, cl.ID)
		r := reach.DispositionOf(reach.ClassifyClose(cl.first, cl.end, written))
		if r.TryOtherAddress && cn.sock != nil && cn.move(cl) {
			continue
		}
		if cn.local { // tells nothing of the node
			r.Outcome = decide.NotSent
		}
		cn.c.opts.Sink.AttemptOutcome(cl.ID, r.Outcome, broker.Response{})
	}
	for _, sent := range cn.probes {
		cn.c.opts.Sink.ProbeOutcome(cn.node.id, decide.Unreachable, time.Since(sent))
	}
	cn.calls, cn.probes = nil, nil
}

func (cn *conn) look(now time.Time) {
	if cn.sock == nil || cn.gone || cn.spoilt {
		return
	}
	cn.blame(now)
	if cn.trial && now.Sub(cn.dialed) > cn.c.opts.ConnectTimeout+deadFor {
		cn.stand(false)
		return
	}
	if len(cn.buf) > 0 && now.Sub(cn.heard) > halfFor {
		cn.spoil(fmt.Errorf("%w: %d bytes of one that never became whole", errFrame, len(cn.buf)))
		return
	}
	if quiet := now.Sub(cn.waiting); cn.silent(now) && quiet > deadFor &&
		(len(cn.calls) == 0 || cn.node.heard.Sub(cn.waiting) > deadFor) {
		// The node speaks, but not here: a machine between may have forgotten the
		// connection. Its parts need not wait for their time-outs.
		cn.c.opts.Log.Info().Str("event", "silent").Str("node", cn.node.id).Int("waiting", len(cn.calls)).
			Dur("quiet", quiet).Msg("a connection has gone silent; it is closed")
		cn.spoilt = true
		cn.drop(decide.Cancelled)
		return
	}
	if cn.sock.Backlog() == 0 {
		cn.stuck = time.Time{}
	} else if cn.stuck.IsZero() {
		cn.stuck = now
	}
	idle := time.Duration(idleShare * float64(cn.c.opts.ConnIdle))
	old := !cn.leads() || !cn.node.listed || idle > 0 && now.Sub(cn.used) > idle ||
		len(cn.abandoned) >= maxAbandoned
	if !cn.stuck.IsZero() && now.Sub(cn.stuck) > cn.c.frame+stuckFor-frameWithin || cn.idle() && old {
		cn.hangUp()
	}
}
