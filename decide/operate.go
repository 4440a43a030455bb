package decide

// InDoubt says whether a replica is avoided for what is known of it: it is suspect, or next
// to nothing of its zone and kind answers. One that is not known is not in doubt.
func (r *Root) InDoubt(addr Addr) bool {
	h := r.replicas[addr]
	return h != nil && r.doubted(h)
}
