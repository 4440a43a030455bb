package httpfront

import "sync"

// connLimiter bounds the number of open connections. The limit may change at run time: if
// it falls below the number in use, no slot is granted until enough have been released.
type connLimiter struct {
	mu       sync.Mutex
	acquired int
	limit    int
	freed    chan struct{} // capacity 1; signals that a slot was released or the limit was changed
}

// newConnLimiter returns a limiter with all slots free; the minimum limit is 1.
func newConnLimiter(limit int) *connLimiter {
	return &connLimiter{limit: max(1, limit), freed: make(chan struct{}, 1)}
}

// tryAcquire takes a slot if one is free and reports whether it did.
func (l *connLimiter) tryAcquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.acquired >= l.limit {
		return false
	}
	l.acquired++
	return true
}

// release returns a slot.
func (l *connLimiter) release() {
	l.mu.Lock()
	l.acquired--
	l.mu.Unlock()
	l.notify()
}

// setLimit changes the limit; the minimum is 1.
func (l *connLimiter) setLimit(limit int) {
	l.mu.Lock()
	l.limit = max(1, limit)
	l.mu.Unlock()
	l.notify()
}

// notify wakes a goroutine that waits for a slot; a pending signal is enough.
func (l *connLimiter) notify() {
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// usageAbove reports whether more than the given number of eighths of the limit is in use.
func (l *connLimiter) usageAbove(eighths int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.acquired > l.limit*eighths/8
}

// inUse returns the number of slots in use.
func (l *connLimiter) inUse() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.acquired
}

// excess returns by how many slots the limit is exceeded.
func (l *connLimiter) excess() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.acquired-l.limit)
}
