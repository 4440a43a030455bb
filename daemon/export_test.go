package daemon

import "onyxsail/tracing/record"

// Traces returns the broker's own account of queries, where tracing is on.
func (d *Daemon) Traces(f record.Filter) ([]*record.Trace, error) {
	traces, _, err := d.tracer.Read(f)
	return traces, err
}
