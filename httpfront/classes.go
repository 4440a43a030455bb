package httpfront

import (
	"time"

	"onyxsail/internal/query"
)

// classTable holds the classes by name as they are from a moment on.
type classTable struct {
	byName map[string]query.Class
	since  time.Time
	before *classTable // until when a request that began under it must have become whole
}

// SetClasses puts other classes in the place of those in use. A request that has begun
// keeps the ones that it began under. One caller at a time.
func (f *Front) SetClasses(byName map[string]query.Class) {
	now := time.Now()
	for t := f.classes.Load(); t != nil; t = t.before {
		if now.Sub(t.since) > wholeWithin { // of those before it nothing can have begun that still comes
			t.before = nil
		}
	}
	f.classes.Store(&classTable{byName: byName, since: now, before: f.classes.Load()})
}

// classesAt returns the classes of a request that began at a moment.
func (f *Front) classesAt(began time.Time) map[string]query.Class {
	t := f.classes.Load()
	for t.before != nil && began.Before(t.since) {
		t = t.before
	}
	return t.byName
}
