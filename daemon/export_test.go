package daemon

import "onyxsail/tracing/record"

// Traces returns the kept traces of queries that match f. Tracing must be on.
func (d *Daemon) Traces(f record.Filter) ([]*record.Trace, error) {
	traces, _, err := d.tracer.Read(f)
	return traces, err
}
