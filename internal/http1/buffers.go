package http1

import "sync"

// Sizes of the buffers of a BufferPool.
const (
	smallBody  = 4 << 10 // bodies up to here are not pooled
	mediumBody = 16 << 10
	largeBody  = 64 << 10
	maxFree    = 4 // unused buffers of each size
)

// BufferPool reuses the memory of large bodies, so that clients that send them and are turned down do
// not keep the garbage collector running. It holds a few unused buffers at most. The zero value is
// ready for use, by any goroutine.
type BufferPool struct {
	mu   sync.Mutex
	free [2][][]byte // of mediumBody and largeBody bytes
}

// class returns the index of the smallest buffers that hold n bytes, and their size; size 0 means that
// none do.
func class(n int) (index, size int) {
	switch {
	case n <= mediumBody:
		return 0, mediumBody
	case n <= largeBody:
		return 1, largeBody
	}
	return 0, 0
}

// appendTo is append, with memory of the pool. What body had before is given back.
func (p *BufferPool) appendTo(body, data []byte) []byte {
	need := len(body) + len(data)
	if p == nil || need <= max(smallBody, cap(body)) {
		return append(body, data...)
	}
	index, size := class(need)
	if size == 0 {
		return append(body, data...)
	}
	grown := append(append(p.get(index, size), body...), data...)
	p.put(body)
	return grown
}

// get returns an empty buffer of a size.
func (p *BufferPool) get(index, size int) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.free[index]); n > 0 {
		buffer := p.free[index][n-1]
		p.free[index] = p.free[index][:n-1]
		return buffer
	}
	return make([]byte, 0, size)
}

// put gives a buffer back, which must not be used any more.
func (p *BufferPool) put(buffer []byte) {
	index, size := class(cap(buffer))
	if p == nil || size == 0 || cap(buffer) != size {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.free[index]) < maxFree {
		p.free[index] = append(p.free[index], buffer[:0])
	}
}
