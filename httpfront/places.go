package httpfront

import "sync"

// places bounds the connections that may be open. The bound may change: where it falls
// below those that are taken, none is given until enough are back.
type places struct {
	mu    sync.Mutex
	taken int
	limit int
	back  chan struct{} // holds one: a place has come back, or the bound has risen
}

func newPlaces(limit int) *places {
	return &places{limit: max(1, limit), back: make(chan struct{}, 1)}
}

// take takes a place if there is one.
func (p *places) take() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.taken >= p.limit {
		return false
	}
	p.taken++
	return true
}

// release gives a place back.
func (p *places) release() {
	p.mu.Lock()
	p.taken--
	p.mu.Unlock()
	p.wake()
}

// setLimit changes the bound.
func (p *places) setLimit(limit int) {
	p.mu.Lock()
	p.limit = max(1, limit)
	p.mu.Unlock()
	p.wake()
}

func (p *places) wake() {
	select {
	case p.back <- struct{}{}:
	default:
	}
}

// scarcer says whether more than a share of the places is taken, in eighths.
func (p *places) scarcer(eighths int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.taken > p.limit*eighths/8
}

// held is how many are taken.
func (p *places) held() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.taken
}

// excess is how many more are taken than there may be.
func (p *places) excess() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(0, p.taken-p.limit)
}
