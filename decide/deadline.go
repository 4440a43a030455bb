package decide

// A final answer has its way to go: the root's turn, the socket, and the client's own turn,
// each of which may wait on a busy machine. A client that stops waiting at its deadline has
// no answer when one comes behind it. What a root gives up for want of time it therefore
// gives up a reserve before the deadline.
const (
	reserveMostMs = 50   // as much as the protocol lengthens each time limit on sockets
	reserveShare  = 0.02 // of the time that a query has, where deadlines are short
)

// reserve is how long before its deadline a query of so much time, in milliseconds, is given
// up. It is endTicks turns at least.
func (s *Settings) reserve(leftMs float64) float64 {
	return max(endTicks*s.TickMs, min(reserveMostMs, reserveShare*leftMs))
}

// GivenUpAfter is how long after it came a query of so much time is given up for want of
// time, both in milliseconds.
func (s *Settings) GivenUpAfter(leftMs float64) float64 { return leftMs - s.reserve(leftMs) }
