package daemon

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync/atomic"

	"onyxsail/admin"
	"onyxsail/broker"
)

// reloadCounters counts the reloads of the configuration file by whether it was accepted.
type reloadCounters struct{ accepted, invalid atomic.Int64 }

// CountInvalidReload counts a reload whose configuration file was rejected, so that Reload was
// not called.
func (d *Daemon) CountInvalidReload() { d.reloadCounts.invalid.Add(1) }

// Ready implements admin.Broker.
func (d *Daemon) Ready() bool { return d.httpFront.Ready() }

// SetDraining implements admin.Broker.
func (d *Daemon) SetDraining(draining bool) { d.httpFront.SetOperatorDrain(draining) }

// Metrics implements admin.Broker.
func (d *Daemon) Metrics() []admin.Metric {
	ctx, cancel := context.WithTimeout(context.Background(), broker.RosterCountsTimeout)
	defer cancel()
	rosterCounts := d.core.RosterCounts(ctx)
	var metrics []admin.Metric
	for _, c := range d.countsByClassName() {
		metrics = append(metrics, admin.Metric{Name: "fulfilled." + c.name, Value: c.Fulfilled},
			admin.Metric{Name: "throttled." + c.name, Value: c.Throttled},
			admin.Metric{Name: "faulted." + c.name, Value: c.Faulted})
	}
	metrics = append(metrics, d.loadMetrics()...)
	return append(metrics,
		admin.Metric{Name: "relayed", Value: d.frameNodes.WrittenAttempts() + d.flightNodes.WrittenAttempts()},
		admin.Metric{Name: "open_requests", Value: d.core.Stats().Open},
		admin.Metric{Name: "registry_entries", Value: int64(rosterCounts.Listed)},
		admin.Metric{Name: "out_of_rotation", Value: int64(rosterCounts.OutOfRotation)},
		admin.Metric{Name: "cfg_accepted", Value: d.reloadCounts.accepted.Load()},
		admin.Metric{Name: "cfg_invalid", Value: d.reloadCounts.invalid.Load()},
	)
}

// loadMetrics returns the figures of what clients make the process hold and do.
func (d *Daemon) loadMetrics() []admin.Metric {
	usage := d.clientMemory.Usage()
	metrics := []admin.Metric{
		{Name: "client_memory_limit_bytes", Value: usage.Limit},
		{Name: "longest_turn_us.clients", Value: d.clientLoop.LongestTurn().Microseconds()},
		{Name: "longest_turn_us.nodes", Value: d.nodeLoop.LongestTurn().Microseconds()},
		{Name: "evicted_connections.http", Value: d.httpFront.Conns().Evicted},
	}
	for _, kind := range slices.Sorted(maps.Keys(usage.Held)) {
		metrics = append(metrics, admin.Metric{Name: "client_memory_bytes." + kind, Value: usage.Held[kind]},
			admin.Metric{Name: "ended_for_memory." + kind, Value: usage.Ended[kind]})
	}
	rejected := d.httpFront.Rejected()
	for _, status := range slices.Sorted(maps.Keys(rejected)) {
		metrics = append(metrics, admin.Metric{Name: "rejected." + strconv.Itoa(status), Value: rejected[status]})
	}
	return metrics
}

// namedClassCounts are the sums of the counters of all classes that have had the same name.
type namedClassCounts struct {
	name string
	broker.ClassCounts
}

// countsByClassName sums up the counters of the classes by name, including those of retired
// classes, in the order of each name's first index.
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
