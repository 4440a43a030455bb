package decide

// InDoubt says whether a replica is avoided for what is known of it: it is suspect, or next
// to nothing of its zone and kind answers. One that is not known is not in doubt.
func (r *Root) InDoubt(addr Addr) bool {
	h := r.replicas[addr]
	return h != nil && r.doubted(h)
}

// Reconfigure takes further classes and another limit of attempts into use, between two
// steps. Classes keep their places: all begins with those that the root has, unchanged. The
// limit holds for the parts under way too; 0 is none.
func (r *Root) Reconfigure(all []Class, maxAttempts int) {
	for _, c := range all[min(len(r.classes), len(all)):] {
		r.addClass(c)
	}
	for _, h := range r.replicas {
		h.shunned = append(h.shunned, make([]float64, len(r.classes)-len(h.shunned))...)
	}
	r.s.MaxAttempts = maxAttempts
}

// Beside says how many processes of this root's broker run, itself included: each of them
// may send a replica in slow start its part of what the broker may.
func (r *Root) Beside(processes int) { r.processes = max(1, processes) }
