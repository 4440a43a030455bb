package httpfront

import (
	"time"

	"onyxsail/internal/query"
)

// classVersion is one version of the configured classes.
type classVersion struct {
	byName        map[string]query.Class
	effectiveFrom time.Time
	// previous is the version before; nil: none, or every request that started under it must
	// have been received or timed out.
	previous *classVersion
}

// SetClasses replaces the configured classes. A request that is already being received
// keeps the classes that were in effect when it started. SetClasses must not be called
// concurrently.
func (f *Front) SetClasses(byName map[string]query.Class) {
	now := time.Now()
	for version := f.classes.Load(); version != nil; version = version.previous {
		if now.Sub(version.effectiveFrom) > requestReadTimeout { // requests started under earlier versions have timed out
			version.previous = nil
		}
	}
	f.classes.Store(&classVersion{byName: byName, effectiveFrom: now, previous: f.classes.Load()})
}

// classesAt returns the classes that were in effect when a request started.
func (f *Front) classesAt(startedAt time.Time) map[string]query.Class {
	version := f.classes.Load()
	for version.previous != nil && startedAt.Before(version.effectiveFrom) {
		version = version.previous
	}
	return version.byName
}
