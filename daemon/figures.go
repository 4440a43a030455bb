package daemon

import (
	"context"
	"sync/atomic"

	"onyxsail/admin"
	"onyxsail/broker"
)

// reloadCounters counts the reloads of the configuration file by their result.
type reloadCounters struct{ accepted, invalid atomic.Int64 }

// CountInvalidReload counts a reload whose configuration file was rejected.
func (d *Daemon) CountInvalidReload() { d.reloadCounts.invalid.Add(1) }

// Ready implements admin.Broker.
func (d *Daemon) Ready() bool { return d.httpFront.Ready() }

// SendAway implements admin.Broker.
func (d *Daemon) SetDraining(away bool) { d.httpFront.SetOperatorDrain(away) }

// Figures implements admin.Broker.
func (d *Daemon) Metrics() []admin.Metric {
	ctx, cancel := context.WithTimeout(context.Background(), broker.RosterCountsTimeout)
	defer cancel()
	survey := d.core.RosterCounts(ctx)
	var figures []admin.Metric
	for _, c := range d.countsByClassName() {
		figures = append(figures, admin.Metric{Name: "fulfilled." + c.name, Value: c.Fulfilled},
			admin.Metric{Name: "throttled." + c.name, Value: c.Throttled},
			admin.Metric{Name: "faulted." + c.name, Value: c.Faulted})
	}
	return append(figures,
		admin.Metric{Name: "relayed", Value: d.frameNodes.WrittenAttempts() + d.flightNodes.WrittenAttempts()},
		admin.Metric{Name: "open_requests", Value: d.core.Stats().Open},
		admin.Metric{Name: "registry_entries", Value: int64(survey.Listed)},
		admin.Metric{Name: "out_of_rotation", Value: int64(survey.OutOfRotation)},
		admin.Metric{Name: "cfg_accepted", Value: d.reloadCounts.accepted.Load()},
		admin.Metric{Name: "cfg_invalid", Value: d.reloadCounts.invalid.Load()},
	)
}

// namedClassCounts are the counters of all classes that have had the same name, summed up.
type namedClassCounts struct {
	name string
	broker.ClassCounts
}

// countsByClassName sums up the counters of the classes by name, in the order of their
// first index.
func (d *Daemon) countsByClassName() (totals []namedClassCounts) {
	byIndex := d.core.ClassCounts()
	d.mu.Lock()
	classes := d.cfg.Classes // includes all classes of the core, as a reload sets d.cfg first
	d.mu.Unlock()
	position := make(map[string]int, len(classes))
	for i, counts := range byIndex {
		name := classes[i].Name
		index, known := position[name]
		if !known {
			index = len(totals)
			position[name] = index
			totals = append(totals, namedClassCounts{name: name})
		}
		totals[index].Fulfilled += counts.Fulfilled
		totals[index].Throttled += counts.Throttled
		totals[index].Faulted += counts.Faulted
	}
	return totals
}
