package tracing

// directMap is a map for sequentially assigned keys of which few are in use at
// once. An entry is stored in an array at the index given by the key's low bits,
// and in an overflow map only if that index is still taken by an older key. Keys are
// above 0. A plain map would account for most of the time that tracing costs the
// core's goroutine.
type directMap[V any] struct {
	entries  []directMapEntry[V]
	overflow map[uint64]V
	count    int // entries in both
}

type directMapEntry[V any] struct {
	key   uint64 // 0 if the entry is free
	value V
}

// newDirectMap returns an empty map. size must be a power of two.
func newDirectMap[V any](size int) directMap[V] {
	return directMap[V]{entries: make([]directMapEntry[V], size), overflow: map[uint64]V{}}
}

// get returns the value of a key, and whether the key is present.
func (m *directMap[V]) get(key uint64) (v V, ok bool) {
	if e := &m.entries[key&uint64(len(m.entries)-1)]; e.key == key {
		return e.value, true
	}
	if len(m.overflow) > 0 {
		v, ok = m.overflow[key]
	}
	return v, ok
}

// put adds a key, which must be neither present nor 0.
func (m *directMap[V]) put(key uint64, v V) {
	m.count++
	if e := &m.entries[key&uint64(len(m.entries)-1)]; e.key == 0 {
		e.key, e.value = key, v
		return
	}
	m.overflow[key] = v
}

// remove removes a key; it does nothing if the key is not present.
func (m *directMap[V]) remove(key uint64) {
	if e := &m.entries[key&uint64(len(m.entries)-1)]; e.key == key {
		*e = directMapEntry[V]{}
		m.count--
		return
	}
	if len(m.overflow) > 0 {
		if _, ok := m.overflow[key]; ok {
			delete(m.overflow, key)
			m.count--
		}
	}
}

// forEach calls visit with every value, in unspecified order.
func (m *directMap[V]) forEach(visit func(V)) {
	for i := range m.entries {
		if m.entries[i].key != 0 {
			visit(m.entries[i].value)
		}
	}
	for _, v := range m.overflow {
		visit(v)
	}
}
