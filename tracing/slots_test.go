package tracing

import (
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// A directMap must behave like a map, also for keys that share an index in its array.
func TestDirectMapBehavesLikeMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, want := newDirectMap[int](4), map[uint64]int{}
		for range rapid.IntRange(0, 80).Draw(t, "steps") {
			key := rapid.Uint64Range(1, 16).Draw(t, "key")
			_, have := want[key]
			switch {
			case rapid.Bool().Draw(t, "remove"):
				s.remove(key)
				delete(want, key)
			case !have:
				want[key] = int(key) * 3
				s.put(key, int(key)*3)
			}
			got := map[uint64]int{}
			s.forEach(func(v int) { got[uint64(v/3)] = v })
			if s.count != len(want) || !maps.Equal(got, want) {
				t.Fatalf("forEach visits %v, count is %d, want %v", got, s.count, want)
			}
			for key := uint64(1); key <= 16; key++ {
				if v, ok := s.get(key); v != want[key] || ok != (want[key] != 0) {
					t.Fatalf("get(%d): got %d, %v", key, v, ok)
				}
			}
		}
	})
}
