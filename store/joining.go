package store

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
)

// An instance with an empty directory may be one of a new group, or one that has lost its disk. In the
// second case its vote could elect an instance that lacks changes which the lost disk had helped to
// commit. So it is joining until it has caught up with a leader: it does not stand for election, and
// votes only where no other instance can know more than the candidate. A group begins only when all
// of its instances are there and empty.

const (
	// joiningFileName is the file in the store's directory that marks an instance as joining.
	joiningFileName = "joining"
	// bootstrapInterval is the pause between two looks whether a new group can begin.
	bootstrapInterval = 100 * time.Millisecond
	// catchUpInterval is the pause between two looks whether a joining instance has caught up.
	catchUpInterval = 50 * time.Millisecond
)

// Raft's keys in its stable store; see its requestVote.
var (
	currentTermKey = []byte("CurrentTerm")
	voteTermKey    = []byte("LastVoteTerm")
	votedForKey    = []byte("LastVoteCand")
)

// errJoining is the error of a request for a vote that a joining instance does not make.
var errJoining = errors.New("this instance is joining and does not stand for election")

// joiningMark tells whether the instance is joining, over restarts.
type joiningMark struct {
	path string
	set  atomic.Bool
}

// loadJoiningMark returns the mark of an instance with its data in a directory. It is set at the first
// start with an empty one.
func loadJoiningMark(dir string, hasState bool) (*joiningMark, error) {
	m := &joiningMark{path: filepath.Join(dir, joiningFileName)}
	_, err := os.Stat(m.path)
	switch {
	case err == nil:
		m.set.Store(true)
		return m, nil
	case !errors.Is(err, fs.ErrNotExist):
		return nil, fmt.Errorf("looking for the mark of a joining instance: %w", err)
	case hasState:
		return m, nil
	}
	if err := errors.Join(writeSynced(m.path, nil), syncDir(dir)); err != nil {
		return nil, fmt.Errorf("marking a joining instance: %w", err)
	}
	m.set.Store(true)
	return m, nil
}

// clear ends the joining.
func (m *joiningMark) clear() error {
	if err := errors.Join(os.Remove(m.path), syncDir(filepath.Dir(m.path))); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("removing the mark of a joining instance: %w", err)
	}
	m.set.Store(false)
	return nil
}

// voteRequest is a candidate's request for a vote, or for a promise of one.
type voteRequest struct {
	candidate                 string // name
	term, lastTerm, lastIndex uint64
}

// isSafeVote reports whether a joining instance may vote. others are all other instances except the
// candidate: none may have a log that goes on behind the candidate's, and none may have been a
// candidate in that term itself, as this instance may have voted for it before it lost its disk.
func isSafeVote(request voteRequest, others []peerStatus, addrOf func(name string) string) bool {
	for _, other := range others {
		knowsMore := other.LastTerm > request.lastTerm || other.LastTerm == request.lastTerm && other.LastIndex > request.lastIndex
		stoodToo := other.Term > request.term || other.VoteTerm == request.term && other.VotedFor == addrOf(other.Name)
		if knowsMore || stoodToo {
			return false
		}
	}
	return true
}

// gatedTransport is Raft's transport. While the instance is joining it lets only safe votes through,
// and makes no requests for votes.
type gatedTransport struct {
	*raft.NetworkTransport
	store  *Store
	rpcs   chan raft.RPC
	ctx    context.Context // ends with stop
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// newGatedTransport returns a transport on top of another one; stop ends its goroutines.
func newGatedTransport(network *raft.NetworkTransport, s *Store) *gatedTransport {
	t := &gatedTransport{NetworkTransport: network, store: s, rpcs: make(chan raft.RPC)}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.wg.Go(t.forward)
	return t
}

// stop ends the delivery of RPCs, which Raft needs until it has shut down.
func (t *gatedTransport) stop() error {
	t.cancel()
	t.wg.Wait()
	return nil
}

// Consumer implements raft.Transport.
func (t *gatedTransport) Consumer() <-chan raft.RPC { return t.rpcs }

// RequestVote implements raft.Transport.
func (t *gatedTransport) RequestVote(id raft.ServerID, target raft.ServerAddress, request *raft.RequestVoteRequest, response *raft.RequestVoteResponse) error {
	if t.store.joining.set.Load() {
		return errJoining
	}
	return t.NetworkTransport.RequestVote(id, target, request, response)
}

// RequestPreVote implements raft.WithPreVote.
func (t *gatedTransport) RequestPreVote(id raft.ServerID, target raft.ServerAddress, request *raft.RequestPreVoteRequest, response *raft.RequestPreVoteResponse) error {
	if t.store.joining.set.Load() {
		return errJoining
	}
	return t.NetworkTransport.RequestPreVote(id, target, request, response)
}

// forward delivers the RPCs of other instances to Raft until stop is called.
func (t *gatedTransport) forward() {
	for {
		select {
		case <-t.ctx.Done():
			return
		case rpc := <-t.NetworkTransport.Consumer():
			request, isVote := t.voteRequestOf(rpc)
			if isVote && t.store.joining.set.Load() {
				t.wg.Go(func() { t.judge(rpc, request) })
			} else {
				t.deliver(rpc)
			}
		}
	}
}

// deliver passes an RPC to Raft.
func (t *gatedTransport) deliver(rpc raft.RPC) {
	select {
	case t.rpcs <- rpc:
	case <-t.ctx.Done():
	}
}

// voteRequestOf returns the request for a vote that an RPC makes, if it makes one.
func (t *gatedTransport) voteRequestOf(rpc raft.RPC) (request voteRequest, ok bool) {
	switch r := rpc.Command.(type) {
	case *raft.RequestVoteRequest:
		return voteRequest{string(r.ID), r.Term, r.LastLogTerm, r.LastLogIndex}, true
	case *raft.RequestPreVoteRequest:
		return voteRequest{string(r.ID), r.Term, r.LastLogTerm, r.LastLogIndex}, true
	}
	return voteRequest{}, false
}

// judge delivers a request for a vote to Raft if the vote is safe, and denies it otherwise.
func (t *gatedTransport) judge(rpc raft.RPC, request voteRequest) {
	var others []Peer
	for _, peer := range t.store.otherPeers() {
		if peer.Name != request.candidate {
			others = append(others, peer)
		}
	}
	statuses, err := askAll(t.ctx, others, requestStatus)
	if err == nil && isSafeVote(request, statuses, t.store.raftAddrOf) {
		t.deliver(rpc)
		return
	}
	header := raft.RPCHeader{ProtocolVersion: raft.ProtocolVersionMax}
	if _, isPreVote := rpc.Command.(*raft.RequestPreVoteRequest); isPreVote {
		rpc.Respond(&raft.RequestPreVoteResponse{RPCHeader: header, Term: request.term}, nil)
	} else {
		rpc.Respond(&raft.RequestVoteResponse{RPCHeader: header, Term: request.term}, nil)
	}
}

// otherPeers returns all instances but this one.
func (s *Store) otherPeers() (others []Peer) {
	for _, peer := range s.opts.Peers {
		if peer.Name != s.opts.Name {
			others = append(others, peer)
		}
	}
	return others
}

// raftAddrOf returns an instance's Raft address.
func (s *Store) raftAddrOf(name string) string {
	for _, peer := range s.opts.Peers {
		if peer.Name == name {
			return peer.Raft
		}
	}
	return ""
}

// bootstrap begins a new group once all instances are there and empty, and have been told so: each is
// a voter from the start then. Only the first one of the list does that. It ends when the group has
// begun, here or elsewhere, or the store closes.
func (s *Store) bootstrap(members raft.Configuration) {
	tick := time.NewTicker(bootstrapInterval)
	defer tick.Stop()
	for s.raft.LastIndex() == 0 {
		if s.othersAreEmpty(requestStatus) && s.othersAreEmpty(requestFounding) {
			if err := s.raft.BootstrapCluster(members).Error(); err == nil {
				s.endJoining()
				return
			}
		}
		select {
		case <-s.stop:
			return
		case <-tick.C:
		}
	}
}

// othersAreEmpty reports whether all other instances answer a request, and that they have no entry and
// no snapshot.
func (s *Store) othersAreEmpty(request peerRequest) bool {
	statuses, err := askAll(context.Background(), s.otherPeers(), request) // bounded by statusTimeout
	for _, status := range statuses {
		if status.LastIndex > 0 {
			return false
		}
	}
	return err == nil
}

// endJoining ends the joining, or logs why that is not possible yet.
func (s *Store) endJoining() {
	if err := s.joining.clear(); err != nil {
		s.opts.Log.Warn().Str("event", "store-joining").Err(err).Msg("this instance stays without a vote for now")
		return
	}
	s.opts.Log.Info().Str("event", "store-joining").Msg("this instance has joined the group and votes")
}

// awaitCatchUp ends the joining when the instance has caught up, or the store closes.
func (s *Store) awaitCatchUp() {
	tick := time.NewTicker(catchUpInterval)
	defer tick.Stop()
	for s.joining.set.Load() {
		if s.hasCaughtUp() {
			s.endJoining()
		}
		select {
		case <-s.stop:
			return
		case <-tick.C:
		}
	}
}

// hasCaughtUp reports whether an entry of the current term has been applied. Everything that was
// committed before the election of that term's leader comes before it.
func (s *Store) hasCaughtUp() bool {
	applied := s.raft.AppliedIndex()
	var entry raft.Log
	if applied == 0 || s.disk.GetLog(applied, &entry) != nil {
		return false // compacted: a later entry will tell
	}
	term, err := s.disk.GetUint64(currentTermKey)
	return err == nil && entry.Term == term
}

// answerPeer answers a request of another instance with this one's status.
func (s *Store) answerPeer(request peerRequest) (peerStatus, error) {
	r := s.startedRaft.Load()
	if r == nil {
		return peerStatus{}, errors.New("Raft has not started yet")
	}
	if request == requestFounding && r.LastIndex() == 0 && s.joining.set.Load() {
		if err := s.joining.clear(); err != nil {
			return peerStatus{}, err
		}
	}
	status := peerStatus{Name: s.opts.Name, LastIndex: r.LastIndex()}
	var err error
	if status.Term, err = s.stableUint64(currentTermKey); err != nil {
		return peerStatus{}, err
	}
	if status.VoteTerm, err = s.stableUint64(voteTermKey); err != nil {
		return peerStatus{}, err
	}
	votedFor, err := s.disk.Get(votedForKey)
	if err != nil && !isNotFound(err) {
		return peerStatus{}, fmt.Errorf("reading the latest vote: %w", err)
	}
	status.VotedFor = string(votedFor)
	status.LastTerm, err = s.lastTerm(status.LastIndex)
	return status, err
}

// stableUint64 returns a number in Raft's stable store, 0 if it has none.
func (s *Store) stableUint64(key []byte) (uint64, error) {
	value, err := s.disk.GetUint64(key)
	if err != nil && !isNotFound(err) {
		return 0, fmt.Errorf("reading %s: %w", key, err)
	}
	return value, nil
}

// isNotFound reports whether an error of Raft's stable store means that it has no such key.
func isNotFound(err error) bool { return err.Error() == "not found" }

// lastTerm returns the term of the last entry, which may be in a snapshot.
func (s *Store) lastTerm(lastIndex uint64) (uint64, error) {
	if lastIndex == 0 {
		return 0, nil
	}
	var entry raft.Log
	if err := s.disk.GetLog(lastIndex, &entry); err == nil {
		return entry.Term, nil
	}
	snapshots, err := s.snapshots.List()
	if err != nil {
		return 0, fmt.Errorf("listing the snapshots: %w", err)
	}
	for _, snapshot := range snapshots {
		if snapshot.Index == lastIndex {
			return snapshot.Term, nil
		}
	}
	return 0, fmt.Errorf("entry %d is neither in the log nor in a snapshot", lastIndex)
}
