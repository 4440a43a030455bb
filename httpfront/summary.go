package httpfront

// What the front counts and logs about requests that it rejects and connections that it ends.

import (
	"maps"
	"strconv"

	"github.com/rs/zerolog"

	"onyxsail/internal/connlimit"
)

// minLoggedQuarters is how many quarters of the memory for clients must be used for the log to say so.
const minLoggedQuarters = 2

// Conns returns the numbers of connections.
func (f *Front) Conns() connlimit.Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return connlimit.Counts{Open: len(f.conns), Idle: f.queues[stateIdle].Len(), Evicted: f.evictedTotal}
}

// Rejected returns how many requests were rejected since the start, by HTTP status.
func (f *Front) Rejected() map[int]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.rejectedTotal)
}

// countRejection counts a rejected request.
func (f *Front) countRejection(status int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rejectedByStatus[status]++
	f.rejectedTotal[status]++
}

// logSummary logs how many requests were rejected and connections evicted since the last
// summary. Single events are not logged, as one faulty client could flood the log.
func (f *Front) logSummary() {
	f.mu.Lock()
	rejected := f.rejectedByStatus
	evicted := f.evictedByState
	f.rejectedByStatus, f.evictedByState = map[int]int{}, [stateCount]int{}
	f.loggedQuarters = 0
	openCount := len(f.conns)
	f.mu.Unlock()
	f.memory.ResetPeaks()
	longestTurn := f.opts.Loop.LongestTurn()
	if evicted != [stateCount]int{} {
		f.opts.Log.Warn().Str("event", "crowded").Int("conns", openCount).Int("silent", evicted[stateNew]).Int("idle", evicted[stateIdle]).
			Int("reading", evicted[stateReading]).Int("leaving", evicted[stateHalfClosed]).Dur("longest_turn", longestTurn).
			Msg("evicted connections to free slots for new ones")
	}
	if len(rejected) == 0 {
		return
	}
	byStatus := zerolog.Dict()
	for status, n := range rejected {
		byStatus.Int(strconv.Itoa(status), n)
	}
	f.opts.Log.Info().Str("event", "turned-away").Dict("by_status", byStatus).Int("conns", openCount).Dur("longest_turn", longestTurn).
		Msg("rejected requests")
}

// logMemory logs once for each quarter of the memory for clients, from minLoggedQuarters on, that comes
// into use between two summaries.
func (f *Front) logMemory() {
	usage := f.memory.Usage()
	quarters := min(4, int(4*usage.PeakShare))
	f.mu.Lock()
	news := quarters > f.loggedQuarters && quarters >= minLoggedQuarters
	f.loggedQuarters = max(f.loggedQuarters, quarters)
	openCount := len(f.conns)
	f.mu.Unlock()
	if !news {
		return
	}
	f.opts.Log.Warn().Str("event", "memory").Int("percent", int(100*usage.PeakShare)).Int64("limit", usage.Limit).
		Interface("held", usage.Held).Interface("ended", usage.Ended).Int("conns", openCount).Dur("longest_turn", f.opts.Loop.LongestTurn()).
		Msg("clients make the broker hold much memory")
}
