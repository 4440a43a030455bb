package broker

import (
	"hash/maphash"
	"time"
)

// Bounds of a recentIDs: a generation ends after idGenerationTime, or with its maxGenerationIDs-th id.
const (
	idGenerationTime = 15 * time.Second
	maxGenerationIDs = 8192
)

// recentIDs remembers the request ids of queries that have ended and may have run, for one to two
// generations. A client whose connection ended before the answer may send an id again, which must
// not run a second time. Ids are kept as hashes under a random seed, so that their length costs
// nothing and clients cannot choose ids that collide.
type recentIDs struct {
	seed              maphash.Seed
	current, previous map[uint64]struct{}
	began             time.Time // of the current generation
}

// newRecentIDs returns an empty recentIDs.
func newRecentIDs(now time.Time) *recentIDs {
	return &recentIDs{seed: maphash.MakeSeed(), current: map[uint64]struct{}{}, began: now}
}

// add remembers an id.
func (r *recentIDs) add(id string, now time.Time) {
	r.expire(now)
	if len(r.current) >= maxGenerationIDs {
		r.beginGeneration(now)
	}
	r.current[maphash.String(r.seed, id)] = struct{}{}
}

// has reports whether an id is remembered.
func (r *recentIDs) has(id string, now time.Time) bool {
	r.expire(now)
	hash := maphash.String(r.seed, id)
	_, inCurrent := r.current[hash]
	_, inPrevious := r.previous[hash]
	return inCurrent || inPrevious
}

// expire ends the current generation if its time is over, and forgets both after twice that time.
func (r *recentIDs) expire(now time.Time) {
	switch age := now.Sub(r.began); {
	case age >= 2*idGenerationTime:
		r.beginGeneration(now)
		r.previous = nil
	case age >= idGenerationTime:
		r.beginGeneration(now)
	}
}

// beginGeneration makes the current generation the previous one.
func (r *recentIDs) beginGeneration(now time.Time) {
	r.previous, r.current, r.began = r.current, map[uint64]struct{}{}, now
}
