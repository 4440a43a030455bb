package store

import (
	"path/filepath"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// toldRosterRetryInterval is the time after which a list that the disk did not take is saved again.
const toldRosterRetryInterval = time.Second

// toldRoster keeps the latest list of an instance's own broker on the instance's disk. The replicated
// list is the leader's, which may have been told less; a broker must not act on less than it was
// told, over a restart too.
type toldRoster struct {
	file     *jsonFile[Roster]
	log      zerolog.Logger
	restored Roster        // as it was saved when the instance was last running
	changed  chan struct{} // capacity 1

	mu      sync.Mutex
	current *Roster // nil: none recorded yet
	records int     // calls of record
	saved   int     // records that the disk has
}

// openToldRoster reads what is saved in a directory. What cannot be read is left out: discovery has
// a newer list.
func openToldRoster(dir string, log zerolog.Logger) *toldRoster {
	t := &toldRoster{
		file: &jsonFile[Roster]{filepath.Join(dir, "told.json"), "last list"}, log: log, changed: make(chan struct{}, 1),
	}
	var err error
	if t.restored, err = t.file.load(Roster{}); err != nil {
		log.Warn().Str("event", "store-roster").Err(err).Msg("ignoring the list that was saved")
		t.restored = Roster{}
	}
	return t
}

// record sets the latest list.
func (t *toldRoster) record(r Roster) {
	t.mu.Lock()
	previous := t.current
	if previous == nil {
		previous = &t.restored
	}
	r.Restarted = len(previous.Nodes) > 0 && uint64(r.Version) < uint64(previous.Version) || t.current != nil && t.current.Restarted
	t.current = &r
	t.records++
	t.mu.Unlock()
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// latest returns the latest list; nil if there is none.
func (t *toldRoster) latest() *Roster {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// markStored records that a list has become the replicated one: later ones are compared with it by
// their versions.
func (t *toldRoster) markStored(r *Roster) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current == r {
		stored := *r
		stored.Restarted = false
		t.current = &stored
	}
}

// keepSaved saves the latest list whenever it changes, until stop is closed.
func (t *toldRoster) keepSaved(stop <-chan struct{}) {
	tick := time.NewTicker(toldRosterRetryInterval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.changed:
		case <-tick.C: // in case the disk did not take it before
		}
		if err := t.saveIfUnsaved(); err != nil {
			t.log.Warn().Str("event", "store-roster").Err(err).Msg("saving the list failed; a restart would begin with an older one")
		}
	}
}

// saveIfUnsaved saves the latest list if the disk does not have it yet. Only keepSaved calls it.
func (t *toldRoster) saveIfUnsaved() error {
	t.mu.Lock()
	current, records, saved := t.current, t.records, t.saved
	t.mu.Unlock()
	if records == saved {
		return nil
	}
	if err := t.file.save(*current); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.saved = records
	return nil
}
