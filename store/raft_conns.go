package store

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// maxRaftConnsPerPeer is the number of connections that Raft may hold for each other instance: its pool,
// a pipeline, heartbeats and some that are being replaced. Raft takes 256 KiB for each.
const maxRaftConnsPerPeer = 8

// raftConns are the connections that were delivered to Raft. If there are too many, the one that has
// been silent for the longest is closed: a stranger may open any number, and an instance opens
// another one where it needs it.
type raftConns struct {
	limit int
	start time.Time // has the monotonic clock reading that all times are relative to

	mu   sync.Mutex
	open map[*raftConn]struct{}
}

// newRaftConns returns the connections of an instance with some peers, itself included.
func newRaftConns(peers int) *raftConns {
	return &raftConns{limit: maxRaftConnsPerPeer * max(1, peers-1), start: time.Now(), open: map[*raftConn]struct{}{}}
}

// add returns a connection for Raft, of which a reader has buffered the first bytes.
func (r *raftConns) add(conn net.Conn, reader *bufio.Reader) *raftConn {
	added := &raftConn{Conn: conn, reader: reader, conns: r}
	added.lastRead.Store(int64(time.Since(r.start)))
	r.mu.Lock()
	var silent *raftConn
	if len(r.open) >= r.limit {
		silent = r.longestSilent()
	}
	r.open[added] = struct{}{}
	r.mu.Unlock()
	if silent != nil {
		_ = silent.Close() // Raft's reader ends
	}
	return added
}

// longestSilent returns the connection whose latest read is the oldest; r.mu is held.
func (r *raftConns) longestSilent() (silent *raftConn) {
	for conn := range r.open {
		if silent == nil || conn.lastRead.Load() < silent.lastRead.Load() {
			silent = conn
		}
	}
	return silent
}

// count returns the number of open connections.
func (r *raftConns) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.open)
}

// raftConn is a connection of which a reader has buffered the first bytes.
type raftConn struct {
	net.Conn
	reader   *bufio.Reader
	conns    *raftConns
	lastRead atomic.Int64 // nanoseconds since the start of conns
}

// Read implements net.Conn.
func (c *raftConn) Read(b []byte) (int, error) {
	n, err := c.reader.Read(b)
	if n > 0 {
		c.lastRead.Store(int64(time.Since(c.conns.start)))
	}
	return n, err
}

// Close implements net.Conn.
func (c *raftConn) Close() error {
	c.conns.mu.Lock()
	delete(c.conns.open, c)
	c.conns.mu.Unlock()
	return c.Conn.Close()
}
