package export

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	coltracepb "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/protobuf/proto"

	"onyxsail/tracing/record"
)

// Options make an Exporter.
type Options struct {
	Endpoint string // host:port of a collector that takes OTLP over plain HTTP
	Broker   string // the instance's name
	Limits   Limits
	Timeout  time.Duration // of one request
	Seed     uint64
	Log      zerolog.Logger
	Now      func() time.Duration // since a moment of the caller's
}

// Exporter owns the queue and the one goroutine that sends.
type Exporter struct {
	opts   Options
	client otlptrace.Client
	seen   *watcher
	stop   context.CancelFunc
	done   sync.WaitGroup
	wake   chan struct{}

	mu    sync.Mutex
	plan  *Plan
	queue []*record.Trace
	told  Answer // the state of the collector that the log knows
}

// watcher keeps what the collector last answered: the library's client tells
// a failure's kind and Retry-After in words only.
type watcher struct {
	next     http.RoundTripper
	status   atomic.Int64
	after    atomic.Int64 // nanoseconds
	rejected atomic.Int64 // spans of an accepted request
}

// maxAnswer bounds what is read of a collector's answer.
const maxAnswer = 64 << 10

// RoundTrip implements http.RoundTripper.
func (w *watcher) RoundTrip(r *http.Request) (*http.Response, error) {
	w.status.Store(0)
	w.after.Store(0)
	w.rejected.Store(0)
	res, err := w.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	_ = res.Body.Close()
	w.status.Store(int64(res.StatusCode))
	w.after.Store(int64(retryAfter(res.Header.Get("Retry-After"), time.Now())))
	var answer coltracepb.ExportTraceServiceResponse
	if err == nil && res.Header.Get("Content-Type") == "application/x-protobuf" && proto.Unmarshal(body, &answer) == nil {
		w.rejected.Store(max(0, answer.GetPartialSuccess().GetRejectedSpans()))
	}
	res.Body = io.NopCloser(bytes.NewReader(body))
	return res, nil
}

// retryAfter reads the header of RFC 9110, section 10.2.3: seconds, or a date.
// What cannot be read counts for nothing.
func retryAfter(text string, now time.Time) time.Duration {
	if s, err := strconv.ParseUint(text, 10, 31); err == nil {
		return time.Duration(s) * time.Second
	}
	if t, err := http.ParseTime(text); err == nil {
		return max(0, t.Sub(now))
	}
	return 0
}

// New starts an exporter. The collector need not be there.
func New(o Options) (*Exporter, error) {
	w := &watcher{next: &http.Transport{MaxIdleConns: 1, MaxConnsPerHost: 1, IdleConnTimeout: 30 * time.Second}}
	client := otlptracehttp.NewClient(
		otlptracehttp.WithEndpoint(o.Endpoint), otlptracehttp.WithInsecure(), otlptracehttp.WithTimeout(o.Timeout),
		otlptracehttp.WithRetry(otlptracehttp.RetryConfig{Enabled: false}), // the plan's to decide
		otlptracehttp.WithHTTPClient(&http.Client{Transport: w, Timeout: o.Timeout,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}),
	)
	ctx, stop := context.WithCancel(context.Background())
	if err := client.Start(ctx); err != nil {
		stop()
		return nil, fmt.Errorf("starting the exporter: %w", err)
	}
	e := &Exporter{opts: o, client: client, seen: w, stop: stop, wake: make(chan struct{}, 1), plan: NewPlan(o.Limits, o.Seed)}
	e.done.Add(1)
	go e.run(ctx)
	return e, nil
}

// Put queues a trace, which must not change any more. It never blocks.
func (e *Exporter) Put(t *record.Trace) {
	e.mu.Lock()
	if e.plan.Put(e.opts.Now(), t.MemoryBytes()) {
		e.queue = append(e.queue, t)
	}
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Counts returns the totals.
func (e *Exporter) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.plan.Counts()
}

// Close gives what waits a last request, within ctx, and ends the goroutine.
func (e *Exporter) Close(ctx context.Context) {
	e.stop()
	e.done.Wait()
	e.mu.Lock()
	e.plan.until = 0
	e.plan.limits.Wait = 0
	e.mu.Unlock()
	for ctx.Err() == nil {
		if sent, _ := e.once(ctx); !sent {
			break
		}
	}
	e.mu.Lock()
	e.plan.Stop()
	e.queue = nil
	e.mu.Unlock()
	_ = e.client.Stop(ctx) // it holds nothing by now
}

func (e *Exporter) run(ctx context.Context) {
	defer e.done.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.wake:
		case <-timer.C:
		}
		for ctx.Err() == nil {
			sent, at := e.once(ctx)
			if sent {
				continue
			}
			if at > 0 {
				timer.Reset(max(0, at-e.opts.Now()))
			}
			break
		}
	}
}

// once sends a batch if one is due; else at is when one may be, 0 for not
// before a trace comes.
func (e *Exporter) once(ctx context.Context) (sent bool, at time.Duration) {
	e.mu.Lock()
	n, at := e.plan.Next(e.opts.Now())
	batch := append([]*record.Trace(nil), e.queue[:n]...)
	e.mu.Unlock()
	if n == 0 {
		return false, at
	}
	spans := Spans(e.opts.Broker, batch)
	err := e.client.UploadTraces(ctx, spans)
	answer, after, rejected := e.classify(len(spans[0].ScopeSpans[0].Spans), n)
	e.mu.Lock()
	gone := e.plan.Answered(e.opts.Now(), answer, after, rejected)
	e.queue = append(e.queue[:0:0], e.queue[gone:]...)
	changed := answer != e.told
	e.told = answer
	e.mu.Unlock()
	if changed && answer == Accepted {
		e.opts.Log.Info().Str("event", "trace-export").Str("endpoint", e.opts.Endpoint).Msg("the collector takes traces again")
	} else if changed {
		e.opts.Log.Warn().Str("event", "trace-export").Str("endpoint", e.opts.Endpoint).Int64("status", e.seen.status.Load()).
			Dur("retry_after", after).Err(err).Msg("the collector did not take traces; they wait, and beyond the queue are dropped")
	}
	return true, 0
}

// classify reads the last answer as the protocol's page says (OTLP 1.x, section
// "OTLP/HTTP Response").
func (e *Exporter) classify(spans, traces int) (a Answer, after time.Duration, rejected int) {
	switch status := e.seen.status.Load(); {
	case status == 0:
		return Lost, 0, 0
	case status >= 200 && status < 300:
		// The collector counts spans; as traces that is an estimate, rounded up.
		n := min(int(e.seen.rejected.Load()), spans)
		return Accepted, 0, (n*traces + spans - 1) / max(1, spans)
	case status == http.StatusTooManyRequests || status == http.StatusBadGateway ||
		status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout:
		return Busy, time.Duration(e.seen.after.Load()), 0
	}
	return Never, 0, 0
}
