package store

import (
	"context"
	"net"
	"testing"
)

// Guards against connections that say nothing keeping instances from each other: each held one of
// the slots of the Raft address for firstByteTimeout.
func TestSilentConnectionsDoNotLockOutPeers(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := newStatusListener(l, func(peerRequest) (peerStatus, error) { return peerStatus{Name: "n1", LastIndex: 7}, nil })
	t.Cleanup(func() { listener.Close() })
	for range 2 * maxUnsortedConns {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
	}
	status, err := askPeer(context.Background(), Peer{Name: "n1", Raft: l.Addr().String()}, requestStatus)
	if err != nil || status.LastIndex != 7 {
		t.Errorf("got %+v, error %v, want the status within %v", status, err, statusTimeout)
	}
}
