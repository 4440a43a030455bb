package tracing

// slots is a map from numbers that are given out in turn, with few in use at
// once: they fall into an array by their last bits, and into a map only where
// an older one is still there. On the core's path a map alone would cost most of
// what tracing does.
type slots[V any] struct {
	at   []slot[V]
	over map[uint64]V
	n    int
}

type slot[V any] struct {
	key   uint64 // 0: free
	value V
}

// newSlots returns an empty one; size is a power of two.
func newSlots[V any](size int) slots[V] {
	return slots[V]{at: make([]slot[V], size), over: map[uint64]V{}}
}

func (s *slots[V]) get(key uint64) (v V, ok bool) {
	if e := &s.at[key&uint64(len(s.at)-1)]; e.key == key {
		return e.value, true
	}
	if len(s.over) > 0 {
		v, ok = s.over[key]
	}
	return v, ok
}

// put adds a key that is not there, and not 0.
func (s *slots[V]) put(key uint64, v V) {
	s.n++
	if e := &s.at[key&uint64(len(s.at)-1)]; e.key == 0 {
		e.key, e.value = key, v
		return
	}
	s.over[key] = v
}

func (s *slots[V]) remove(key uint64) {
	if e := &s.at[key&uint64(len(s.at)-1)]; e.key == key {
		*e = slot[V]{}
		s.n--
		return
	}
	if len(s.over) > 0 {
		if _, ok := s.over[key]; ok {
			delete(s.over, key)
			s.n--
		}
	}
}

// each calls f with every value, in no order.
func (s *slots[V]) each(f func(V)) {
	for i := range s.at {
		if s.at[i].key != 0 {
			f(s.at[i].value)
		}
	}
	for _, v := range s.over {
		f(v)
	}
}
