package decide

// A final answer passes through the root's turn, the socket and the client's own turn, and
// each of these may be delayed on a busy machine. A client that stops waiting at its deadline
// does not see an answer that arrives later, so a root that runs out of time gives a query up
// some time before the deadline.
const (
	maxReserveMs = 50   // the tolerance of the protocol on each time limit at sockets
	reserveShare = 0.02 // share of the time that a query has; less than maxReserveMs for short deadlines
)

// reserveMs returns how long before its deadline a query with the given time is given up, in
// milliseconds. It is at least minReserveTicks ticks.
func (s *Settings) reserveMs(timeLeftMs float64) float64 {
	return max(minReserveTicks*s.TickMs, min(maxReserveMs, reserveShare*timeLeftMs))
}

// GiveUpAfterMs returns how long after its arrival a query is given up whose client waits for
// the given time, both in milliseconds. The result is negative if the time is shorter than the
// reserve.
func (s *Settings) GiveUpAfterMs(timeLeftMs float64) float64 {
	return timeLeftMs - s.reserveMs(timeLeftMs)
}
