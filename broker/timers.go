package broker

// The timers of the core and the module.

import (
	"time"
)

type timer struct {
	at    time.Time
	token uint64
	try   AttemptID // 0: the module's own
	end   bool      // that of Core.endBy
}

// timers is a heap by time.
type timers []timer

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }

func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}
