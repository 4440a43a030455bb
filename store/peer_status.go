package store

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

const (
	// The requests of one instance to another, each the first byte of a connection. Raft's own
	// connections begin with the number of an RPC, which is small. Both are answered with a
	// peerStatus.
	requestStatus    = peerRequest(0x7f)
	requestFounding  = peerRequest(0x7e)      // a new group begins: an empty instance is one of its first voters
	statusTimeout    = 250 * time.Millisecond // for one request, from the dial to the response
	firstByteTimeout = 3 * time.Second        // for the first byte of an accepted connection
	maxStatusBytes   = 4 << 10
	maxUnsortedConns = 64 // accepted connections whose first byte is awaited
	acceptRetryPause = 10 * time.Millisecond
)

// peerStatus is what an instance tells the others about its part of the group's log.
type peerStatus struct {
	Name      string `json:"name"`
	Term      uint64 `json:"term"`       // the latest that it has seen
	VoteTerm  uint64 `json:"vote_term"`  // the term of its latest vote
	VotedFor  string `json:"voted_for"`  // the Raft address of the instance that got that vote
	LastTerm  uint64 `json:"last_term"`  // the term of its last log entry
	LastIndex uint64 `json:"last_index"` // 0: it has no entry and no snapshot
}

// peerRequest is a request of one instance to another.
type peerRequest byte

// askPeer makes a request to a peer.
func askPeer(ctx context.Context, peer Peer, request peerRequest) (status peerStatus, err error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", peer.Raft)
	if err != nil {
		return status, fmt.Errorf("asking %s for its status: %w", peer.Name, err)
	}
	defer conn.Close()
	deadline, _ := ctx.Deadline()
	err = conn.SetDeadline(deadline)
	if err == nil {
		_, err = conn.Write([]byte{byte(request)})
	}
	if err == nil {
		err = json.NewDecoder(io.LimitReader(conn, maxStatusBytes)).Decode(&status)
	}
	if err == nil && status.Name != peer.Name {
		err = fmt.Errorf("it calls itself %q", status.Name)
	}
	if err != nil {
		return peerStatus{}, fmt.Errorf("asking %s for its status: %w", peer.Name, err)
	}
	return status, nil
}

// askAll makes a request to several peers at the same time. It fails if one does not answer.
func askAll(ctx context.Context, peers []Peer, request peerRequest) ([]peerStatus, error) {
	statuses, failures := make([]peerStatus, len(peers)), make([]error, len(peers))
	var asking sync.WaitGroup
	for i, peer := range peers {
		asking.Go(func() { statuses[i], failures[i] = askPeer(ctx, peer, request) })
	}
	asking.Wait()
	return statuses, errors.Join(failures...)
}

// statusListener accepts the connections of an instance's Raft address. It answers those that make a
// peerRequest and delivers the others to Raft.
type statusListener struct {
	net.Listener
	status func(peerRequest) (peerStatus, error)
	conns  chan net.Conn // for Raft
	// raftConns are those that Raft has or is about to get.
	raftConns *raftConns
	slots     chan struct{} // held by connections until Raft has them
	closed    chan struct{}
	once      sync.Once
	wg        sync.WaitGroup

	mu     sync.Mutex
	silent []net.Conn // those whose first byte is awaited, the oldest first
}

// newStatusListener starts to accept connections of a group of some peers; Close ends that.
func newStatusListener(l net.Listener, peers int, status func(peerRequest) (peerStatus, error)) *statusListener {
	s := &statusListener{
		Listener: l, status: status, raftConns: newRaftConns(peers), conns: make(chan net.Conn), slots: make(chan struct{}, maxUnsortedConns), closed: make(chan struct{}),
	}
	s.wg.Go(s.acceptAll)
	return s
}

// acceptAll accepts connections until the listener is closed.
func (s *statusListener) acceptAll() {
	for {
		if !s.acquireSlot() {
			return
		}
		conn, err := s.Listener.Accept()
		if err == nil {
			s.addSilent(conn)
			s.wg.Go(func() { s.sort(conn) })
			continue
		}
		<-s.slots
		if errors.Is(err, net.ErrClosed) {
			return
		}
		select {
		case <-time.After(acceptRetryPause):
		case <-s.closed:
			return
		}
	}
}

// acquireSlot waits for a slot; it returns false once the listener is closed. If all slots are held,
// the connection that has been silent for the longest makes room: it would keep out those that
// speak.
func (s *statusListener) acquireSlot() bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	s.closeOldestSilent()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-s.closed:
		return false
	}
}

// addSilent adds a connection whose first byte is awaited.
func (s *statusListener) addSilent(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = append(s.silent, conn)
}

// removeSilent removes a connection whose first byte is not awaited any more.
func (s *statusListener) removeSilent(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = slices.DeleteFunc(s.silent, func(other net.Conn) bool { return other == conn })
}

// closeOldestSilent closes the connection that has been silent for the longest, if there is one.
func (s *statusListener) closeOldestSilent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.silent) > 0 {
		_ = s.silent[0].Close() // its reader ends and removes it
	}
}

// sort reads a connection's first byte and answers or delivers it.
func (s *statusListener) sort(conn net.Conn) {
	defer func() { <-s.slots }()
	stopWatch := make(chan struct{})
	defer close(stopWatch)
	go func() {
		select {
		case <-s.closed:
			_ = conn.SetReadDeadline(time.Now())
		case <-stopWatch:
		}
	}()
	reader := bufio.NewReader(conn)
	_ = conn.SetReadDeadline(time.Now().Add(firstByteTimeout)) // fails if the connection is closed; then Peek fails too
	first, err := reader.Peek(1)
	s.removeSilent(conn)
	switch {
	case err != nil:
		_ = conn.Close()
	case peerRequest(first[0]) == requestStatus, peerRequest(first[0]) == requestFounding:
		s.answer(conn, peerRequest(first[0]))
	default:
		_ = conn.SetReadDeadline(time.Time{})
		raftConn := s.raftConns.add(conn, reader)
		select {
		case s.conns <- raftConn:
		case <-s.closed:
			_ = raftConn.Close()
		}
	}
}

// answer answers a request and closes the connection.
func (s *statusListener) answer(conn net.Conn, request peerRequest) {
	defer conn.Close()
	status, err := s.status(request)
	if err != nil {
		return
	}
	_ = conn.SetWriteDeadline(time.Now().Add(statusTimeout))
	_ = json.NewEncoder(conn).Encode(status) // the asking instance asks again
}

// Accept implements net.Listener.
func (s *statusListener) Accept() (net.Conn, error) {
	select {
	case conn := <-s.conns:
		return conn, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (s *statusListener) Close() (err error) {
	s.once.Do(func() {
		close(s.closed)
		err = s.Listener.Close()
		s.wg.Wait()
	})
	return err
}

// streamLayer is a raft.StreamLayer that accepts on an open listener and dials over TCP.
type streamLayer struct{ net.Listener }

// Dial implements raft.StreamLayer.
func (l *streamLayer) Dial(addr raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	return d.DialContext(context.Background(), "tcp", string(addr))
}
