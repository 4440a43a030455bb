package decide

import "testing"

// An order's only part hangs and may not be sent again. Its client stops waiting 3 s after
// it has asked. The answer used to be given up 10 ms before that: on a busy machine the
// request had been read 10 ms late (the client's journey: "request written at 0.1 ms", gone
// after 3,002 ms; the broker's account of fault4-1006: "left after 2992.3 ms"), so the client
// left without an answer. That was the query which TestProofAddresses lost.
func TestAnswerLeavesTimeForItsWay(t *testing.T) {
	for _, c := range []struct{ deadline, reserve float64 }{
		{4000, 50}, {3000, 50}, {2500, 50}, {1000, 20}, {480, 10}, {60, 10},
	} {
		s := settings()
		s.Classes[0].Effect, s.Classes[0].DeadlineMs, s.Classes[0].ObjectiveMs = Unsafe, c.deadline, c.deadline/2
		b := start(t, s, 2, 5)
		q, parts := b.query(0, 1)
		b.step(0)
		came := b.now
		if b.out[parts[0]] == 0 {
			t.Fatalf("deadline %v: the part was not sent", c.deadline)
		}
		for over := false; !over && b.now < came+c.deadline; _, over = b.final[q] {
			b.stall(1)
		}
		if took := b.now - came; b.final[q] != Abort || took > c.deadline-c.reserve {
			t.Errorf("deadline %v: ended as %v after %v ms, want a failure %v before", c.deadline, b.final[q], took, c.reserve)
		}
	}
}

// What comes within its use is answered, up to the reserve: where nothing is earned past the
// aim, two turns before that and no sooner.
func TestReserveIsOfTheDeadlineNotOfTheAim(t *testing.T) {
	s := settings()
	s.Classes[0].LateWorthShare = 0
	b := start(t, s, 2, 5)
	q, parts := b.query(0, 1)
	b.step(0)
	b.step(985)
	for a := range b.where[parts[0]] {
		b.done(parts[0], a, OK)
	}
	b.step(0)
	if b.final[q] != Answer {
		t.Errorf("an answer 15 ms before the aim of 1,000 ended as %v", b.final[q])
	}
}
