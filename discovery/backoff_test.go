package discovery

import (
	"slices"
	"testing"
	"time"
)

// overloadedServer models a discovery of limited capacity: it serves one request at a time,
// each within serviceTime. A request that has waited for queueTimeout is refused, and
// processed all the same.
type overloadedServer struct {
	serviceTime, queueTimeout time.Duration
	idleAt                    time.Duration // when it will have processed all requests so far
}

// request returns the time at which a request sent at the given time is answered or refused,
// and whether it is answered.
func (s *overloadedServer) request(at time.Duration) (time.Duration, bool) {
	s.idleAt = max(s.idleAt, at) + s.serviceTime
	if s.idleAt-at > s.queueTimeout {
		return at + s.queueTimeout, false
	}
	return s.idleAt, true
}

// runUntilAnswered lets one broker for each backoff send requests until all are answered or a
// minute is over; it returns the times of the answers.
func runUntilAnswered(server *overloadedServer, backoffs []*Backoff) []time.Duration {
	type scheduled struct {
		at      time.Duration
		backoff *Backoff
	}
	var pending []scheduled
	for _, b := range backoffs {
		pending = append(pending, scheduled{b.StartDelay(), b})
	}
	var answered []time.Duration
	for len(pending) > 0 && pending[0].at < time.Minute {
		slices.SortFunc(pending, func(a, b scheduled) int { return int(a.at - b.at) })
		next := pending[0]
		pending = pending[1:]
		if at, ok := server.request(next.at); ok {
			next.backoff.Reset()
			answered = append(answered, at)
		} else {
			pending = append(pending, scheduled{at + next.backoff.NextPause(true), next.backoff})
		}
	}
	return answered
}

// 56 of 80 brokers restart at the same moment, and discovery can answer some 7, 13 or 100
// requests a second. All of them must get an answer: if they sent their requests at once, and
// retried together when refused, discovery would process only requests that no broker waits
// for any more.
func TestAllBrokersAreAnsweredAfterMassRestart(t *testing.T) {
	for _, c := range []struct {
		serviceTime time.Duration
		deadline    time.Duration // time by which each broker has its answer
	}{{75 * time.Millisecond, 12 * time.Second}, {10 * time.Millisecond, 5 * time.Second}, {150 * time.Millisecond, 45 * time.Second}} {
		var backoffs []*Backoff
		for i := range 56 {
			backoffs = append(backoffs, NewBackoff(80, maxPauseFor(6*time.Second), uint64(i+1)))
		}
		answered := runUntilAnswered(&overloadedServer{serviceTime: c.serviceTime, queueTimeout: 2 * time.Second}, backoffs)
		if len(answered) < len(backoffs) || slices.Max(answered) > c.deadline {
			t.Errorf("%v per request: %d of %d answered, the last after %v", c.serviceTime, len(answered), len(backoffs), slices.Max(answered))
		}
	}
}

// Few brokers need no long pauses: they send their first request at once and soon notice
// that discovery is back.
func TestFewBrokersAreNotDelayed(t *testing.T) {
	for _, brokers := range []int{0, 1, 3, unpacedBrokers} {
		backoff := NewBackoff(brokers, 5*time.Second, 7)
		if d := backoff.StartDelay(); d != 0 {
			t.Errorf("%d brokers: the first request is delayed by %v, want no delay", brokers, d)
		}
		if d := backoff.NextPause(false); d > 2*defaultInitialPause {
			t.Errorf("%d brokers: the first pause is %v", brokers, d)
		}
		for range 20 {
			if d := backoff.NextPause(false); d > 2*defaultMaxPause {
				t.Errorf("%d brokers: pause of %v", brokers, d)
			}
		}
		if backoff.Reset(); backoff.NextPause(false) > 2*defaultInitialPause {
			t.Error("an answer does not reset the pauses")
		}
	}
	for range 20 { // with many brokers the limit bounds the start delay and the first pause
		backoff := NewBackoff(1000, 5*time.Second, 3)
		if a, b := backoff.StartDelay(), backoff.NextPause(false); a > 5*time.Second || b > 8*time.Second {
			t.Errorf("1,000 brokers: start delay %v, first pause %v, want 5 s and 8 s at most", a, b)
		}
	}
}

// The operators' notes require that a change is known 6 s after discovery had it and could
// be reached, whatever requests have failed. If more than 32 brokers share one discovery
// that has refused each of them twice from its queue, the third pause exceeds this bound to
// relieve it, and a broker learns of a change later. With pauses bounded to 3.25 s, 35 of
// 56 brokers get no answer within a minute from a discovery that answers 6.7 requests a
// second, which cannot answer all of them within 6 s
// (TestAllBrokersAreAnsweredAfterMassRestart, run with that bound). The operators have been
// asked whether a discovery that refuses counts as reached (docs/questions.md).
func TestRefusalsInARowKeepNoBrokerAway(t *testing.T) {
	for _, brokers := range []int{33, 80, 350} {
		for seed := range uint64(20) {
			backoff := NewBackoff(brokers, maxPauseFor(6*time.Second), seed)
			for refusal := range 6 {
				if pause := backoff.NextPause(true); pause > maxPauseFor(6*time.Second) {
					t.Fatalf("%d brokers, seed %d: pause of %v after %d refusals, want %v at most",
						brokers, seed, pause, refusal+1, maxPauseFor(6*time.Second))
				}
			}
		}
	}
}
