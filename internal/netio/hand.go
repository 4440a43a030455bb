package netio

import "sync"

// hand is the one goroutine that does a loop's small errands in turn: what must not
// run under the lock of whoever asks, and system calls that may take their time. A
// goroutine for each of them would make a thread of the system for each that the
// system lets wait, and threads once made stay. What is queued goes with the
// connections: two errands a connection at most.
type hand struct {
	mu   sync.Mutex
	jobs []func()
	wake chan struct{} // holds one
	quit chan struct{}
	done chan struct{}
}

func newHand() *hand {
	h := &hand{wake: make(chan struct{}, 1), quit: make(chan struct{}), done: make(chan struct{})}
	go h.run()
	return h
}

// do queues an errand; it may be called under any lock and does not wait.
func (h *hand) do(f func()) {
	h.mu.Lock()
	h.jobs = append(h.jobs, f)
	h.mu.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

func (h *hand) run() {
	defer close(h.done)
	for {
		h.mu.Lock()
		jobs := h.jobs
		h.jobs = nil
		h.mu.Unlock()
		for _, f := range jobs {
			f()
		}
		if len(jobs) > 0 {
			continue
		}
		select {
		case <-h.wake:
		case <-h.quit:
			h.mu.Lock()
			left := len(h.jobs)
			h.mu.Unlock()
			if left == 0 {
				return
			}
		}
	}
}

// stop ends the goroutine once all that is queued is done.
func (h *hand) stop() {
	close(h.quit)
	<-h.done
}
