package tracing

import (
	"fmt"
	"net"
	"time"
)

// Config switches tracing on and bounds it. Zero fields take their defaults.
type Config struct {
	// Dir is the spool's folder, on a disk that lasts; "": traces are kept in
	// memory alone.
	Dir          string  `json:"dir"`
	BudgetPerS   int     `json:"budget_per_s"`   // traces kept a second; default 50
	MemoryKB     int     `json:"memory_kb"`      // for traces that wait, are recent or are to be sent; default 4096
	GoodShare    float64 `json:"good_share"`     // share of the good queries that is kept; default 0.01
	AskedPerS    int     `json:"asked_per_s"`    // traces kept a second for callers that ask; default 5
	SlowQuantile float64 `json:"slow_quantile"`  // of the class's latencies, beyond which a query is slow; default 0.99
	SpoolMB      int     `json:"spool_mb"`       // of all segments; default 64
	SegmentKB    int     `json:"segment_kb"`     // of one; default 4096
	OpenQueries  int     `json:"open_queries"`   // that a kill leaves evidence of; default 256
	OTLP         *OTLP   `json:"otlp,omitempty"` // nil: nothing is exported
}

// OTLP sets up the export to a collector.
type OTLP struct {
	Endpoint  string `json:"endpoint"`   // host:port, plain HTTP
	Queue     int    `json:"queue"`      // traces that wait; default 1024
	Batch     int    `json:"batch"`      // traces of one request; default 64
	WaitMs    int    `json:"wait_ms"`    // how long a trace waits for others; default 1000
	TimeoutMs int    `json:"timeout_ms"` // of one request; default 3000
	Tries     int    `json:"tries"`      // requests for one batch; default 8
}

// Defaults.
const (
	defaultBudget    = 50
	defaultMemoryKB  = 4096
	defaultGood      = 0.01
	defaultAsked     = 5
	defaultQuantile  = 0.99
	defaultSpoolMB   = 64
	defaultSegmentKB = 4096
	defaultOpen      = 256
	defaultQueue     = 1024
	defaultBatch     = 64
	defaultWaitMs    = 1000
	defaultTimeoutMs = 3000
	defaultTries     = 8
)

// FieldError is a field that cannot be used.
type FieldError struct {
	Field string
	Err   error
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap gives the cause.
func (e *FieldError) Unwrap() error { return e.Err }

func or[T int | float64](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// WithDefaults fills in what is zero.
func (c Config) WithDefaults() Config {
	c.BudgetPerS = or(c.BudgetPerS, defaultBudget)
	c.MemoryKB = or(c.MemoryKB, defaultMemoryKB)
	c.GoodShare = or(c.GoodShare, defaultGood)
	c.AskedPerS = or(c.AskedPerS, defaultAsked)
	c.SlowQuantile = or(c.SlowQuantile, defaultQuantile)
	c.SpoolMB = or(c.SpoolMB, defaultSpoolMB)
	c.SegmentKB = or(c.SegmentKB, defaultSegmentKB)
	c.OpenQueries = or(c.OpenQueries, defaultOpen)
	if c.OTLP != nil {
		o := *c.OTLP
		o.Queue = or(o.Queue, defaultQueue)
		o.Batch = or(o.Batch, defaultBatch)
		o.WaitMs = or(o.WaitMs, defaultWaitMs)
		o.TimeoutMs = or(o.TimeoutMs, defaultTimeoutMs)
		o.Tries = or(o.Tries, defaultTries)
		c.OTLP = &o
	}
	return c
}

// Check names the first field that cannot be used, of a configuration with its
// defaults filled in.
func (c Config) Check() error {
	for _, f := range []struct {
		field     string
		got       int
		low, high int
	}{
		{"budget_per_s", c.BudgetPerS, 1, 10_000}, {"memory_kb", c.MemoryKB, 64, 1 << 20}, {"asked_per_s", c.AskedPerS, 1, 10_000},
		{"spool_mb", c.SpoolMB, 1, 1 << 16}, {"segment_kb", c.SegmentKB, 64, 1 << 16}, {"open_queries", c.OpenQueries, 1, 1 << 14},
	} {
		if f.got < f.low || f.got > f.high {
			return &FieldError{f.field, fmt.Errorf("got %d, want %d to %d", f.got, f.low, f.high)}
		}
	}
	switch {
	case !(c.GoodShare > 0 && c.GoodShare <= 1):
		return &FieldError{"good_share", fmt.Errorf("got %v, want over 0 to 1", c.GoodShare)}
	case !(c.SlowQuantile >= 0.5 && c.SlowQuantile < 1):
		return &FieldError{"slow_quantile", fmt.Errorf("got %v, want 0.5 to under 1", c.SlowQuantile)}
	case c.SegmentKB > c.SpoolMB<<10/2:
		return &FieldError{"segment_kb", fmt.Errorf("got %d, want half of spool_mb at most", c.SegmentKB)}
	case c.OTLP == nil:
		return nil
	}
	o := c.OTLP
	if _, port, err := net.SplitHostPort(o.Endpoint); err != nil || port == "" {
		return &FieldError{"otlp.endpoint", fmt.Errorf("got %q, want host:port", o.Endpoint)}
	}
	for _, f := range []struct {
		field     string
		got       int
		low, high int
	}{
		{"otlp.queue", o.Queue, 1, 1 << 20}, {"otlp.batch", o.Batch, 1, 4096}, {"otlp.wait_ms", o.WaitMs, 1, 60_000},
		{"otlp.timeout_ms", o.TimeoutMs, 1, 60_000}, {"otlp.tries", o.Tries, 1, 1000},
	} {
		if f.got < f.low || f.got > f.high {
			return &FieldError{f.field, fmt.Errorf("got %d, want %d to %d", f.got, f.low, f.high)}
		}
	}
	return nil
}

// Back-offs of the spool and the exporter.
const (
	backFirst = 500 * time.Millisecond
	backMost  = 30 * time.Second
	// backLongest is the longest pause that a collector can ask for.
	backLongest = 10 * time.Minute
)
