package daemon

import (
	"testing"

	"onyxsail/broker"
)

// Guards against two processes of one broker together exceeding its limits: each gets half
// of the open queries, and the decision module is given the number of processes.
func TestSiblingProcessesShareLimits(t *testing.T) {
	for _, c := range []struct {
		limits    broker.Limits
		processes int
		want      broker.Limits
	}{
		{broker.Limits{MaxOpen: 356}, 1, broker.Limits{MaxOpen: 356, Processes: 1}},
		{broker.Limits{MaxOpen: 356}, 2, broker.Limits{MaxOpen: 178, Processes: 2}},
		{broker.Limits{MaxOpen: 1}, 2, broker.Limits{MaxOpen: 1, Processes: 2}},
		{broker.Limits{}, 2, broker.Limits{Processes: 2}}, // no limit stays unlimited
	} {
		if got := limitsPerProcess(c.limits, c.processes); got != c.want {
			t.Errorf("%+v, %d processes: %+v, want %+v", c.limits, c.processes, got, c.want)
		}
	}
	siblings := siblingProcesses{predecessor: true}
	if siblings.processCount() != 2 {
		t.Errorf("%d processes with a predecessor, want 2", siblings.processCount())
	}
	if siblings.successor = true; siblings.processCount() != 3 {
		t.Errorf("%d processes with a predecessor and a successor, want 3", siblings.processCount())
	}
	if siblings = (siblingProcesses{}); siblings.processCount() != 1 {
		t.Errorf("%d processes without siblings, want 1", siblings.processCount())
	}
}
