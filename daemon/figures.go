package daemon

import (
	"context"
	"sync/atomic"

	"onyxsail/admin"
	"onyxsail/broker"
)

// reloads counts the configuration files that were read while the broker runs.
type reloads struct{ accepted, invalid atomic.Int64 }

// TurnedDown counts a file that could not be taken at a reload.
func (d *Daemon) TurnedDown() { d.reloads.invalid.Add(1) }

// Ready implements admin.Broker.
func (d *Daemon) Ready() bool { return d.front.Ready() }

// SendAway implements admin.Broker.
func (d *Daemon) SetDraining(away bool) { d.front.SendAway(away) }

// Figures implements admin.Broker.
func (d *Daemon) Metrics() []admin.Metric {
	ctx, cancel := context.WithTimeout(context.Background(), broker.SurveyWithin)
	defer cancel()
	list := d.core.Survey(ctx)
	var all []admin.Metric
	for _, c := range d.byClass() {
		all = append(all, admin.Metric{Name: "fulfilled." + c.name, Value: c.Fulfilled},
			admin.Metric{Name: "throttled." + c.name, Value: c.Throttled},
			admin.Metric{Name: "faulted." + c.name, Value: c.Faulted})
	}
	return append(all,
		admin.Metric{Name: "relayed", Value: d.nodes.Relayed() + d.remote.Relayed()},
		admin.Metric{Name: "open_requests", Value: d.core.Stats().Open},
		admin.Metric{Name: "registry_entries", Value: int64(list.Listed)},
		admin.Metric{Name: "out_of_rotation", Value: int64(list.Avoided)},
		admin.Metric{Name: "cfg_accepted", Value: d.reloads.accepted.Load()},
		admin.Metric{Name: "cfg_invalid", Value: d.reloads.invalid.Load()},
	)
}

// namedCounts are the counts of all that has borne one class's name.
type namedCounts struct {
	name string
	broker.ClassCounts
}

// byClass adds up the counts of the classes by name, in the order of their first index.
func (d *Daemon) byClass() (all []namedCounts) {
	byIndex := d.core.Classes()
	d.mu.Lock()
	classes := d.cfg.Classes // all that the core has, as a reload puts them here first
	d.mu.Unlock()
	at := make(map[string]int, len(classes))
	for i, counts := range byIndex {
		name := classes[i].Name
		k, known := at[name]
		if !known {
			k = len(all)
			at[name] = k
			all = append(all, namedCounts{name: name})
		}
		all[k].Fulfilled += counts.Fulfilled
		all[k].Throttled += counts.Throttled
		all[k].Faulted += counts.Faulted
	}
	return all
}
