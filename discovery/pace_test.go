package discovery

import (
	"sort"
	"testing"
	"time"
)

// Eighty brokers whose calls all failed at one moment, and go on failing, must
// neither ask in step nor press discovery with more than a few calls a second
// each; two or three still hear at once of a discovery that is back.
func TestBrokersDoNotAskInStep(t *testing.T) {
	for _, c := range []struct {
		brokers          int
		inStep, inSecond int           // calls of all within 10 ms, and within a second once pauses have grown
		back             time.Duration // the longest that any one stays away
	}{{80, 12, 40, 6 * time.Second}, {3, 3, 9, 1500 * time.Millisecond}} {
		var calls []time.Duration
		for i := range c.brokers {
			p, at := NewPace(c.brokers, uint64(i+1)), time.Duration(0)
			for at < 60*time.Second {
				pause := p.Failed()
				if pause > c.back {
					t.Errorf("%d brokers: one stays away for %v", c.brokers, pause)
				}
				at += pause
				calls = append(calls, at)
			}
		}
		sort.Slice(calls, func(i, j int) bool { return calls[i] < calls[j] })
		within := func(span, from time.Duration) (most int) {
			first := 0
			for last, at := range calls {
				for at-calls[first] >= span {
					first++
				}
				if calls[first] >= from {
					most = max(most, last-first+1)
				}
			}
			return most
		}
		if n := within(10*time.Millisecond, 0); n > c.inStep {
			t.Errorf("%d brokers: %d calls within 10 ms", c.brokers, n)
		}
		if n := within(time.Second, 20*time.Second); n > c.inSecond {
			t.Errorf("%d brokers: %d calls within a second", c.brokers, n)
		}
	}
	p := NewPace(80, 1)
	for range 20 {
		p.Failed()
	}
	if p.Answered(); p.Failed() > 600*time.Millisecond {
		t.Error("an answer does not end the long pauses")
	}
}
