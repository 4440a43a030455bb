package nodeclient

import "time"

// deliveredWithin is how long a frame may take to be confirmed by the node's system. A
// confirmation may be held back for 40 ms; a part must not begin 0.1 s after its client has
// left.
const deliveredWithin = 60 * time.Millisecond

// delivered says whether the node's system has confirmed all bytes up to a position. Where
// our system does not tell, it counts as confirmed what has left.
func (cn *conn) delivered(end int64) bool {
	return end <= cn.sock.Written()-cn.sock.UnackedBytes()
}

// watchDelivery resets the connection where the frame of a part that has been given up is
// not delivered in time. The system would go on to send it, and it would begin once the link
// is back or the node reads again, for nobody. What else is out there waits as long, behind
// it or without an answer that could come. c.mu is held.
func (cn *conn) watchDelivery(cl *call) {
	end := cl.end
	if cn.delivered(end) {
		return
	}
	time.AfterFunc(deliveredWithin, func() {
		cn.c.mu.Lock()
		defer cn.c.mu.Unlock()
		if !cn.gone && !cn.delivered(end) {
			cn.hangUp()
		}
	})
}

// hangUp closes the connection by ourselves. What the node has not got yet it never gets.
func (cn *conn) hangUp() {
	cn.ours = true
	if cn.sock.UnackedBytes() > 0 {
		cn.sock.Abort()
		return
	}
	cn.sock.Close()
}
