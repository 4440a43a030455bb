package broker

// Timers of the core and of the module.

import (
	"time"
)

// timer is a timer of the module, the timeout of an attempt or the answer deadline.
type timer struct {
	at             time.Time
	token          uint64    // the module's token of its timer, if the two fields below are zero
	attemptID      AttemptID // attempt that times out; 0: none
	answerDeadline bool      // this is the core's answer deadline
}

// timerHeap is a min-heap ordered by time; it implements heap.Interface.
type timerHeap []timer

// Len returns the number of timers.
func (t timerHeap) Len() int { return len(t) }

// Less reports whether timer i is due before timer j.
func (t timerHeap) Less(i, j int) bool { return t[i].at.Before(t[j].at) }

// Swap exchanges two timers.
func (t timerHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push appends a timer; it is called by heap.Push.
func (t *timerHeap) Push(x any) { *t = append(*t, x.(timer)) }

// Pop removes the last timer; it is called by heap.Pop.
func (t *timerHeap) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}
