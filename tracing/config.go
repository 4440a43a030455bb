package tracing

import (
	"fmt"
	"net"
	"time"
)

// Config enables tracing and sets its limits. Zero fields take their defaults.
type Config struct {
	// Dir is the spool directory, on persistent storage. If it is empty, traces
	// are kept in memory only.
	Dir          string  `json:"dir"`
	BudgetPerS   int     `json:"budget_per_s"`   // maximum number of traces kept per second; default 50
	MemoryKB     int     `json:"memory_kb"`      // memory for undecided, recent, unwritten and unsent traces, in KiB; default 4096
	GoodShare    float64 `json:"good_share"`     // fraction of good queries whose traces are kept, above 0 and up to 1; default 0.01
	AskedPerS    int     `json:"asked_per_s"`    // maximum number of traces kept per second because the caller requested them; default 5
	SlowQuantile float64 `json:"slow_quantile"`  // quantile of the class's latencies above which a query is slow; default 0.99
	SpoolMB      int     `json:"spool_mb"`       // maximum size of all segments together, in MiB; default 64
	SegmentKB    int     `json:"segment_kb"`     // maximum size of one segment, in KiB; default 4096
	OpenQueries  int     `json:"open_queries"`   // maximum number of open queries that can be reported after a kill; default 256
	OTLP         *OTLP   `json:"otlp,omitempty"` // nil disables the export
}

// OTLP configures the export to an OpenTelemetry collector.
type OTLP struct {
	Endpoint  string `json:"endpoint"`   // host:port, plain HTTP
	Queue     int    `json:"queue"`      // maximum number of queued traces; default 1024
	Batch     int    `json:"batch"`      // maximum number of traces per request; default 64
	WaitMs    int    `json:"wait_ms"`    // longest time to wait for a batch to fill, in milliseconds; default 1000
	TimeoutMs int    `json:"timeout_ms"` // timeout of one request, in milliseconds; default 3000
	Tries     int    `json:"tries"`      // maximum number of requests per batch; default 8
}

// Default values of the fields of Config and OTLP, in the fields' units.
const (
	defaultBudgetPerS   = 50
	defaultMemoryKB     = 4096
	defaultGoodShare    = 0.01
	defaultAskedPerS    = 5
	defaultSlowQuantile = 0.99
	defaultSpoolMB      = 64
	defaultSegmentKB    = 4096
	defaultOpenQueries  = 256
	defaultQueue        = 1024
	defaultBatch        = 64
	defaultWaitMs       = 1000
	defaultTimeoutMs    = 3000
	defaultTries        = 8
)

// FieldError reports a configuration field with an invalid value.
type FieldError struct {
	Field string // as in the JSON form of Config, such as "otlp.queue"
	Err   error  // what is wrong with the value
}

// Error implements error. It returns the field's name and what is wrong with its value.
func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns Err.
func (e *FieldError) Unwrap() error { return e.Err }

func orDefault[T int | float64](value, defaultValue T) T {
	if value == 0 {
		return defaultValue
	}
	return value
}

// WithDefaults returns a copy of c in which zero fields have their defaults.
func (c Config) WithDefaults() Config {
	c.BudgetPerS = orDefault(c.BudgetPerS, defaultBudgetPerS)
	c.MemoryKB = orDefault(c.MemoryKB, defaultMemoryKB)
	c.GoodShare = orDefault(c.GoodShare, defaultGoodShare)
	c.AskedPerS = orDefault(c.AskedPerS, defaultAskedPerS)
	c.SlowQuantile = orDefault(c.SlowQuantile, defaultSlowQuantile)
	c.SpoolMB = orDefault(c.SpoolMB, defaultSpoolMB)
	c.SegmentKB = orDefault(c.SegmentKB, defaultSegmentKB)
	c.OpenQueries = orDefault(c.OpenQueries, defaultOpenQueries)
	if c.OTLP != nil {
		o := *c.OTLP
		o.Queue = orDefault(o.Queue, defaultQueue)
		o.Batch = orDefault(o.Batch, defaultBatch)
		o.WaitMs = orDefault(o.WaitMs, defaultWaitMs)
		o.TimeoutMs = orDefault(o.TimeoutMs, defaultTimeoutMs)
		o.Tries = orDefault(o.Tries, defaultTries)
		c.OTLP = &o
	}
	return c
}

// Validate returns a FieldError for the first invalid field. Defaults must have
// been filled in.
func (c Config) Validate() error {
	for _, field := range []struct {
		field     string
		got       int
		low, high int
	}{
		{"budget_per_s", c.BudgetPerS, 1, 10_000}, {"memory_kb", c.MemoryKB, 64, 1 << 20}, {"asked_per_s", c.AskedPerS, 1, 10_000},
		{"spool_mb", c.SpoolMB, 1, 1 << 16}, {"segment_kb", c.SegmentKB, 64, 1 << 16}, {"open_queries", c.OpenQueries, 1, 1 << 14},
	} {
		if field.got < field.low || field.got > field.high {
			return &FieldError{field.field, fmt.Errorf("got %d, want %d to %d", field.got, field.low, field.high)}
		}
	}
	switch {
	case !(c.GoodShare > 0 && c.GoodShare <= 1):
		return &FieldError{"good_share", fmt.Errorf("got %v, want above 0 and at most 1", c.GoodShare)}
	case !(c.SlowQuantile >= 0.5 && c.SlowQuantile < 1):
		return &FieldError{"slow_quantile", fmt.Errorf("got %v, want at least 0.5 and below 1", c.SlowQuantile)}
	case c.SegmentKB > c.SpoolMB<<10/2:
		return &FieldError{"segment_kb", fmt.Errorf("got %d, want at most half of spool_mb", c.SegmentKB)}
	case c.OTLP == nil:
		return nil
	}
	o := c.OTLP
	if _, port, err := net.SplitHostPort(o.Endpoint); err != nil || port == "" {
		return &FieldError{"otlp.endpoint", fmt.Errorf("got %q, want host:port", o.Endpoint)}
	}
	for _, field := range []struct {
		field     string
		got       int
		low, high int
	}{
		{"otlp.queue", o.Queue, 1, 1 << 20}, {"otlp.batch", o.Batch, 1, 4096}, {"otlp.wait_ms", o.WaitMs, 1, 60_000},
		{"otlp.timeout_ms", o.TimeoutMs, 1, 60_000}, {"otlp.tries", o.Tries, 1, 1000},
	} {
		if field.got < field.low || field.got > field.high {
			return &FieldError{field.field, fmt.Errorf("got %d, want %d to %d", field.got, field.low, field.high)}
		}
	}
	return nil
}

// Backoff limits of the spool and the exporter after failures of the disk or collector.
const (
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 30 * time.Second
	// maxRetryAfter is the longest delay accepted from a collector's Retry-After.
	maxRetryAfter = 10 * time.Minute
)
