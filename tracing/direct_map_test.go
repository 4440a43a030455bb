package tracing

import (
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// A directMap must behave like a map, also for keys that share an index in its array of
// four entries.
func TestDirectMapBehavesLikeMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, want := newDirectMap[int](4), map[uint64]int{}
		for range rapid.IntRange(0, 80).Draw(t, "steps") {
			key := rapid.Uint64Range(1, 16).Draw(t, "key")
			_, present := want[key]
			switch {
			case rapid.Bool().Draw(t, "remove"):
				m.remove(key)
				delete(want, key)
			case !present:
				want[key] = int(key) * 3
				m.put(key, int(key)*3)
			}
			got := map[uint64]int{}
			m.forEach(func(v int) { got[uint64(v/3)] = v })
			if m.count != len(want) || !maps.Equal(got, want) {
				t.Fatalf("forEach visits %v and count is %d, want the entries %v", got, m.count, want)
			}
			for key := uint64(1); key <= 16; key++ {
				if v, ok := m.get(key); v != want[key] || ok != (want[key] != 0) {
					t.Fatalf("get(%d): got %d, %v", key, v, ok)
				}
			}
		}
	})
}
