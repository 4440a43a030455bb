package decide

import "testing"

// The only part of an unsafe query gets no answer and must not be sent again. The failure must
// reach the client before it stops waiting at the deadline. A reserve of 10 ms was too short: on
// a busy machine a request was read 10 ms after it was written, and its client, with a deadline
// of 3 s, disconnected 2,992 ms after the broker had read the request, without an answer.
// TestProofAddresses of package daemon lost a query this way.
func TestFailureIsSentBeforeClientGivesUp(t *testing.T) {
	for _, c := range []struct{ deadline, reserve float64 }{
		{4000, 50}, {3000, 50}, {2500, 50}, {1000, 20}, {480, 10}, {60, 10},
	} {
		s := testSettings()
		s.Classes[0].Effect, s.Classes[0].DeadlineMs, s.Classes[0].ObjectiveMs = Unsafe, c.deadline, c.deadline/2
		b := newTestbed(t, s, 2, 5)
		query, parts := b.addQuery(0, 1)
		b.advance(0)
		arrivedAt := b.now
		if b.attemptCount[parts[0]] == 0 {
			t.Fatalf("deadline %v ms: the part was not sent", c.deadline)
		}
		for ended := false; !ended && b.now < arrivedAt+c.deadline; _, ended = b.ends[query] {
			b.advanceWithoutTurns(1)
		}
		if took := b.now - arrivedAt; b.ends[query] != Abort || took > c.deadline-c.reserve {
			t.Errorf("deadline %v ms: query ended by action kind %v after %v ms, want a failure %v ms before the deadline",
				c.deadline, b.ends[query], took, c.reserve)
		}
	}
}

// A query of a class that earns nothing after its objective may be answered until two turns
// before the objective: the longer reserve of 50 ms is for the deadline only.
func TestReserveAppliesToDeadlineNotObjective(t *testing.T) {
	s := testSettings()
	s.Classes[0].LateWorthShare = 0
	b := newTestbed(t, s, 2, 5)
	query, parts := b.addQuery(0, 1)
	b.advance(0)
	b.advance(985)
	for a := range b.sentTo[parts[0]] {
		b.endAttempt(parts[0], a, OK)
	}
	b.advance(0)
	if b.ends[query] != Answer {
		t.Errorf("query answered 15 ms before its objective of 1,000 ms: ended by action kind %v (0: not ended), want an answer",
			b.ends[query])
	}
}
