package netio

import "sync"

// worker runs the callbacks of a loop one after the other on a single goroutine: callbacks that
// must not run under a lock of the caller, and system calls that may block. With a goroutine for
// each task, each blocked system call would hold a thread, and the runtime does not end threads
// once they exist. The queue is bounded by the number of connections, as each usually has at most
// two tasks in it: its Closed and its callback of AfterFlush.
type worker struct {
	mu    sync.Mutex
	tasks []func()
	wake  chan struct{} // capacity 1; signals that tasks were added
	quit  chan struct{} // closed by stop
	done  chan struct{} // closed when the goroutine has ended
}

// newWorker returns a worker whose goroutine is running.
func newWorker() *worker {
	w := &worker{wake: make(chan struct{}, 1), quit: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// enqueue queues a task. It does not block and may be called under any lock.
func (w *worker) enqueue(task func()) {
	w.mu.Lock()
	w.tasks = append(w.tasks, task)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *worker) run() {
	defer close(w.done)
	for {
		w.mu.Lock()
		tasks := w.tasks
		w.tasks = nil
		w.mu.Unlock()
		for _, task := range tasks {
			task()
		}
		if len(tasks) > 0 {
			continue
		}
		select {
		case <-w.wake:
		case <-w.quit:
			w.mu.Lock()
			remaining := len(w.tasks)
			w.mu.Unlock()
			if remaining == 0 {
				return
			}
		}
	}
}

// stop runs all queued tasks and then ends the goroutine.
func (w *worker) stop() {
	close(w.quit)
	<-w.done
}
