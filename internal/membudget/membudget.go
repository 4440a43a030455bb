// Package membudget bounds the memory that clients make the process hold, over all fronts. What
// has arrived of requests that are not whole and what is held for whole ones are two pools, so
// that clients that never complete a request leave the others their share.
package membudget

import (
	"sync"
	"sync/atomic"
)

// Kind is what some memory is held for.
type Kind uint8

// The kinds of held memory.
const (
	Incoming  Kind = iota // requests that are not whole
	Requests              // whole requests that are queued or in work
	Responses             // responses that their clients have not taken
	kindCount
)

// String returns the kind's name in figures and logs.
func (k Kind) String() string { return [kindCount]string{"incoming", "requests", "responses"}[k] }

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Incoming, Requests, Responses} }

// Holder is a front whose clients hold memory.
type Holder interface {
	// Heaviest returns the weight of the client that holds the most of a kind, in bytes times
	// seconds, and a function that ends it, so that its memory is released, and reports whether it
	// did. A weight of 0 means that there is none.
	Heaviest(Kind) (weight float64, end func() bool)
}

// Budget is the limit of the memory held and its use. Its methods may be called from any
// goroutine; Relieve calls the holders, so no lock of theirs may be held.
type Budget struct {
	limit atomic.Int64 // of each of the two pools, in bytes
	used  [kindCount]atomic.Int64
	peak  [kindCount]atomic.Int64 // since ResetPeaks
	ended [kindCount]atomic.Int64 // clients ended to release memory, since the start

	mu      sync.Mutex
	holders []Holder
	relief  sync.Mutex // serializes Relieve
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget {
	b := &Budget{}
	b.SetLimit(limit)
	return b
}

// SetLimit changes the limit. What is held beyond it is released by the next Relieve.
func (b *Budget) SetLimit(limit int64) { b.limit.Store(limit / 2) }

// Limit returns the limit in bytes.
func (b *Budget) Limit() int64 { return 2 * b.limit.Load() }

// Register adds a front whose clients can be ended.
func (b *Budget) Register(h Holder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holders = append(b.holders, h)
}

// Used returns the bytes held of a kind.
func (b *Budget) Used(k Kind) int64 { return b.used[k].Load() }

// Ended returns how many clients were ended to release memory of a kind.
func (b *Budget) Ended(k Kind) int64 { return b.ended[k].Load() }

// Usage is a snapshot of a budget.
type Usage struct {
	Limit     int64            `json:"limit"` // bytes
	Held      map[string]int64 `json:"held"`  // bytes by kind
	Ended     map[string]int64 `json:"ended"` // clients ended to release memory, by kind, since the start
	PeakShare float64          `json:"-"`     // of the fuller pool since ResetPeaks; 1 is all of it
}

// Usage returns the current use.
func (b *Budget) Usage() Usage {
	usage := Usage{Limit: b.Limit(), Held: map[string]int64{}, Ended: map[string]int64{}}
	for _, k := range Kinds() {
		usage.Held[k.String()], usage.Ended[k.String()] = b.Used(k), b.Ended(k)
	}
	usage.PeakShare = float64(max(b.peak[Incoming].Load(), b.peak[Requests].Load()+b.peak[Responses].Load())) / float64(max(1, b.limit.Load()))
	return usage
}

// ResetPeaks makes the peaks begin anew with the current use.
func (b *Budget) ResetPeaks() {
	for k := range b.peak {
		b.peak[k].Store(b.used[k].Load())
	}
}

// add changes what is held of a kind.
func (b *Budget) add(k Kind, bytes int64) {
	used := b.used[k].Add(bytes)
	for peak := b.peak[k].Load(); used > peak && !b.peak[k].CompareAndSwap(peak, used); peak = b.peak[k].Load() {
	}
}

// working returns the use of the pool for whole requests and their responses.
func (b *Budget) working() int64 { return b.used[Requests].Load() + b.used[Responses].Load() }

// Exceeded reports whether more is held than the pool of a kind has.
func (b *Budget) Exceeded(k Kind) bool {
	if k == Incoming {
		return b.used[Incoming].Load() > b.limit.Load()
	}
	return b.working() > b.limit.Load()
}

// Admits reports whether a whole request of some bytes may be taken. Requests that a client sends
// ahead of its answers are limited to half of the pool, so that each client can have one.
func (b *Budget) Admits(bytes int64, ahead bool) bool {
	limit := b.limit.Load()
	if ahead {
		limit /= 2
	}
	return b.working()+bytes <= limit
}

// Relieve ends clients, the heaviest of any front first, until the pool of a kind is within its
// limit. It reports whether it is.
func (b *Budget) Relieve(k Kind) bool {
	b.relief.Lock()
	defer b.relief.Unlock()
	for b.Exceeded(k) {
		if !b.endHeaviest(k) {
			return false
		}
		b.ended[k].Add(1)
	}
	return true
}

// endHeaviest ends the heaviest client of all fronts.
func (b *Budget) endHeaviest(k Kind) bool {
	b.mu.Lock()
	holders := b.holders
	b.mu.Unlock()
	var endHeaviest func() bool
	heaviest := 0.0
	for _, h := range holders {
		if weight, end := h.Heaviest(k); weight > heaviest {
			heaviest, endHeaviest = weight, end
		}
	}
	return endHeaviest != nil && endHeaviest()
}

// Account is what one client holds. The zero value holds nothing and belongs to no budget. Its
// methods must not be called concurrently.
type Account struct {
	budget *Budget
	bytes  [kindCount]int64
}

// NewAccount returns an account that holds nothing; b may be nil for one without a limit.
func NewAccount(b *Budget) Account { return Account{budget: b} }

// Set sets how many bytes of a kind the client holds.
func (a *Account) Set(k Kind, bytes int) {
	delta := int64(bytes) - a.bytes[k]
	if delta == 0 {
		return
	}
	a.bytes[k] = int64(bytes)
	if a.budget != nil {
		a.budget.add(k, delta)
	}
}

// Held returns the bytes of a kind that the client holds.
func (a *Account) Held(k Kind) int64 { return a.bytes[k] }

// Close releases all that the client holds.
func (a *Account) Close() {
	for _, k := range Kinds() {
		a.Set(k, 0)
	}
}
