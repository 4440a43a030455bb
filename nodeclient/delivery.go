package nodeclient

import (
	"time"

	"onyxsail/dial"
)

// isDelivered reports whether the node's kernel has acknowledged all bytes up to a stream
// position. Where the local kernel does not report acknowledgements, all bytes written
// count as acknowledged.
func (cn *conn) isDelivered(end int64) bool {
	return end <= cn.sock.Written()-cn.sock.UnackedBytes()
}

// abortIfUndelivered resets the connection if the frame of a cancelled part is not
// acknowledged within dial.DeliveryTimeout. The local kernel would keep retransmitting it, and the
// part would begin although it is no longer wanted once the link is back or the node reads
// again. The other attempts on the connection are blocked as well: their frames are behind
// that one, or their answers cannot arrive. The client's mu is held.
func (cn *conn) abortIfUndelivered(att *openAttempt) {
	end := att.frameEnd
	if cn.isDelivered(end) {
		return
	}
	time.AfterFunc(dial.DeliveryTimeout, func() {
		cn.client.mu.Lock()
		defer cn.client.mu.Unlock()
		if !cn.closed && !cn.isDelivered(end) {
			cn.close()
		}
	})
}

// close closes the connection from this side. Bytes that have not reached the node yet are
// discarded. The client's mu is held, and the connection has a socket.
func (cn *conn) close() {
	cn.closedLocally = true
	if cn.sock.UnackedBytes() > 0 {
		cn.sock.Abort()
		return
	}
	cn.sock.Close()
}
