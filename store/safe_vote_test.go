package store

import "testing"

// A joining instance votes only where no other instance can know more than the candidate, or have
// got its vote in that term before it lost its disk.
func TestSafeVotes(t *testing.T) {
	addrOf := func(name string) string { return "addr-" + name }
	request := voteRequest{candidate: "c", term: 5, lastTerm: 4, lastIndex: 20}
	for name, c := range map[string]struct {
		other peerStatus
		want  bool
	}{
		"empty":                          {peerStatus{Name: "a"}, true},
		"the same log":                   {peerStatus{Name: "a", Term: 4, LastTerm: 4, LastIndex: 20}, true},
		"a longer log of an older term":  {peerStatus{Name: "a", Term: 4, LastTerm: 3, LastIndex: 30}, true},
		"a longer log":                   {peerStatus{Name: "a", Term: 4, LastTerm: 4, LastIndex: 21}, false},
		"a log of a newer term":          {peerStatus{Name: "a", Term: 5, LastTerm: 5, LastIndex: 1}, false},
		"a newer term":                   {peerStatus{Name: "a", Term: 6, LastTerm: 4, LastIndex: 20}, false},
		"a candidate of that term":       {peerStatus{Name: "a", Term: 5, VoteTerm: 5, VotedFor: "addr-a", LastTerm: 4, LastIndex: 20}, false},
		"a vote in that term":            {peerStatus{Name: "a", Term: 5, VoteTerm: 5, VotedFor: "addr-c", LastTerm: 4, LastIndex: 20}, true},
		"a candidate of an earlier term": {peerStatus{Name: "a", Term: 4, VoteTerm: 4, VotedFor: "addr-a", LastTerm: 4, LastIndex: 20}, true},
	} {
		if got := isSafeVote(request, []peerStatus{{Name: "b"}, c.other}, addrOf); got != c.want {
			t.Errorf("another instance with %s: got %v, want %v", name, got, c.want)
		}
	}
}
