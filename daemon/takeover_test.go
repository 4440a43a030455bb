package daemon

import (
	"testing"

	"onyxsail/broker"
)

// Each of two processes of a broker keeps to half of the open queries, and the module is told
// that there are two; one alone has all.
func TestProcessesShareLimits(t *testing.T) {
	for _, c := range []struct {
		limits    broker.Limits
		processes int
		want      broker.Limits
	}{
		{broker.Limits{MaxOpen: 356}, 1, broker.Limits{MaxOpen: 356, Processes: 1}},
		{broker.Limits{MaxOpen: 356}, 2, broker.Limits{MaxOpen: 178, Processes: 2}},
		{broker.Limits{MaxOpen: 1}, 2, broker.Limits{MaxOpen: 1, Processes: 2}},
		{broker.Limits{}, 2, broker.Limits{Processes: 2}}, // no bound stays none
	} {
		if got := sharedLimits(c.limits, c.processes); got != c.want {
			t.Errorf("%+v, %d processes: %+v, want %+v", c.limits, c.processes, got, c.want)
		}
	}
	n := neighbours{before: true}
	if n.processes() != 2 {
		t.Errorf("%d processes beside the one before, want 2", n.processes())
	}
	if n.next = true; n.processes() != 3 {
		t.Errorf("%d processes between two, want 3", n.processes())
	}
	if n = (neighbours{}); n.processes() != 1 {
		t.Errorf("%d processes alone, want 1", n.processes())
	}
}
