package decide

// Unhealthy reports whether the replica at addr is avoided: it is suspected itself, or hardly
// any replica of its zone and kind answers. An unknown replica is not unhealthy.
func (r *Root) Unhealthy(addr Addr) bool {
	rep := r.replicas[addr]
	return rep != nil && r.unhealthy(rep)
}

// Reconfigure adds classes and changes the limit of attempts per part. Like every method of
// Root, it must not be called during a Step. The given classes begin with those that the root
// has, in the same order and unchanged. The limit also applies to parts that are already open;
// 0 means no limit.
func (r *Root) Reconfigure(classes []Class, maxAttempts int) {
	for _, c := range classes[min(len(r.classes), len(classes)):] {
		r.addClass(c)
	}
	for _, rep := range r.replicas {
		rep.avoidedUntil = append(rep.avoidedUntil, make([]float64, len(r.classes)-len(rep.avoidedUntil))...)
	}
	r.settings.MaxAttempts = maxAttempts
}

// SetProcesses sets how many processes of this root's broker run, this one included; less than
// 1 counts as 1, as before the first call. Each process uses an equal part of what the broker
// may send to a replica in slow start.
func (r *Root) SetProcesses(processes int) { r.processes = max(1, processes) }
