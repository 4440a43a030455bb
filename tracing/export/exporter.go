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

// Options configure an Exporter.
type Options struct {
	Endpoint string // host:port of a collector that accepts OTLP over plain HTTP
	Broker   string // name of the broker instance
	Limits   Limits
	Timeout  time.Duration // of one request
	Seed     uint64        // of the backoff's jitter
	Log      zerolog.Logger
	Now      func() time.Duration // time since an origin of the caller's choice
}

// Exporter queues traces and sends them in batches from one goroutine.
type Exporter struct {
	opts     Options
	client   otlptrace.Client
	recorder *responseRecorder
	cancel   context.CancelFunc
	done     sync.WaitGroup
	wake     chan struct{}

	mu           sync.Mutex
	scheduler    *Scheduler
	queue        []*record.Trace // the traces whose sizes scheduler holds, in the same order
	loggedResult Result          // last result, so that only changes are logged
}

// responseRecorder is a transport that records the collector's response to the last
// request, as the OTLP client returns status and Retry-After of a failure only in an
// error text.
type responseRecorder struct {
	next          http.RoundTripper
	status        atomic.Int64 // HTTP status; 0 if there was no response
	retryAfterNs  atomic.Int64 // delay that the response asked for; 0 if none
	rejectedSpans atomic.Int64 // spans of the request that the collector did not accept
}

// maxResponseBytes bounds how much of a collector's response body is read.
const maxResponseBytes = 64 << 10

// RoundTrip implements http.RoundTripper. It records the response.
func (rec *responseRecorder) RoundTrip(req *http.Request) (*http.Response, error) {
	rec.status.Store(0)
	rec.retryAfterNs.Store(0)
	rec.rejectedSpans.Store(0)
	resp, err := rec.next.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	_ = resp.Body.Close()
	rec.status.Store(int64(resp.StatusCode))
	rec.retryAfterNs.Store(int64(parseRetryAfter(resp.Header.Get("Retry-After"), time.Now())))
	var exportResponse coltracepb.ExportTraceServiceResponse
	if err == nil && resp.Header.Get("Content-Type") == "application/x-protobuf" && proto.Unmarshal(body, &exportResponse) == nil {
		rec.rejectedSpans.Store(max(0, exportResponse.GetPartialSuccess().GetRejectedSpans()))
	}
	resp.Body = io.NopCloser(bytes.NewReader(body))
	return resp, nil
}

// parseRetryAfter parses a Retry-After header (RFC 9110, section 10.2.3): seconds or
// a date. It returns 0 if the header is missing or malformed or the date is past.
func parseRetryAfter(header string, now time.Time) time.Duration {
	if seconds, err := strconv.ParseUint(header, 10, 31); err == nil {
		return time.Duration(seconds) * time.Second
	}
	if date, err := http.ParseTime(header); err == nil {
		return max(0, date.Sub(now))
	}
	return 0
}

// New starts an exporter. The collector need not be reachable yet.
func New(opts Options) (*Exporter, error) {
	recorder := &responseRecorder{next: &http.Transport{MaxIdleConns: 1, MaxConnsPerHost: 1, IdleConnTimeout: 30 * time.Second}}
	client := otlptracehttp.NewClient(
		otlptracehttp.WithEndpoint(opts.Endpoint), otlptracehttp.WithInsecure(), otlptracehttp.WithTimeout(opts.Timeout),
		otlptracehttp.WithRetry(otlptracehttp.RetryConfig{Enabled: false}), // the Scheduler decides on retries
		otlptracehttp.WithHTTPClient(&http.Client{Transport: recorder, Timeout: opts.Timeout,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}),
	)
	ctx, cancel := context.WithCancel(context.Background())
	if err := client.Start(ctx); err != nil {
		cancel()
		return nil, fmt.Errorf("starting the exporter: %w", err)
	}
	e := &Exporter{opts: opts, client: client, recorder: recorder, cancel: cancel, wake: make(chan struct{}, 1), scheduler: NewScheduler(opts.Limits, opts.Seed)}
	e.done.Add(1)
	go e.run(ctx)
	return e, nil
}

// Enqueue queues a trace, which must not be modified any more, or drops and counts it
// if the queue is full. It does not wait for the collector. It must not be called after
// Close.
func (e *Exporter) Enqueue(t *record.Trace) {
	e.mu.Lock()
	if e.scheduler.Enqueue(e.opts.Now(), t.MemoryBytes()) {
		e.queue = append(e.queue, t)
	}
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Counts returns the totals since the start and the current size of the queue.
func (e *Exporter) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.scheduler.Counts()
}

// Close stops the goroutine, sends the queued traces until ctx ends or a request
// would have to be retried, and drops the rest.
func (e *Exporter) Close(ctx context.Context) {
	e.cancel()
	e.done.Wait()
	e.mu.Lock()
	e.scheduler.notBefore = 0
	e.scheduler.limits.MaxBatchDelay = 0
	e.mu.Unlock()
	for ctx.Err() == nil {
		if sent, _ := e.sendBatch(ctx); !sent {
			break
		}
	}
	e.mu.Lock()
	e.scheduler.Stop()
	e.queue = nil
	e.mu.Unlock()
	_ = e.client.Stop(ctx) // the client holds no traces of its own
}

// run sends batches as they become due, until ctx ends.
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
			sent, wakeAt := e.sendBatch(ctx)
			if sent {
				continue
			}
			if wakeAt > 0 {
				timer.Reset(max(0, wakeAt-e.opts.Now()))
			}
			break
		}
	}
}

// sendBatch sends a batch if one is due, and reports whether it tried to. If not, wakeAt
// is when to call again, or 0 if not before a trace is queued.
func (e *Exporter) sendBatch(ctx context.Context) (sent bool, wakeAt time.Duration) {
	e.mu.Lock()
	n, wakeAt := e.scheduler.NextBatch(e.opts.Now())
	batch := append([]*record.Trace(nil), e.queue[:n]...)
	e.mu.Unlock()
	if n == 0 {
		return false, wakeAt
	}
	spans := Spans(e.opts.Broker, batch)
	err := e.client.UploadTraces(ctx, spans)
	result, retryAfter, rejected := e.classifyResponse(len(spans[0].ScopeSpans[0].Spans), n)
	e.mu.Lock()
	removed := e.scheduler.Complete(e.opts.Now(), result, retryAfter, rejected)
	e.queue = append(e.queue[:0:0], e.queue[removed:]...)
	changed := result != e.loggedResult
	e.loggedResult = result
	e.mu.Unlock()
	if changed && result == Accepted {
		e.opts.Log.Info().Str("event", "trace-export").Str("endpoint", e.opts.Endpoint).Msg("the collector accepts traces again")
	} else if changed {
		e.opts.Log.Warn().Str("event", "trace-export").Str("endpoint", e.opts.Endpoint).Int64("status", e.recorder.status.Load()).
			Dur("retry_after", retryAfter).Err(err).Msg("exporting traces to the collector failed; they are retried, or dropped if it refuses them or the queue is full")
	}
	return true, 0
}

// classifyResponse interprets the recorded response to a request of the given numbers of
// spans and traces, as specified by OTLP 1.x, section "OTLP/HTTP Response". rejected is
// the number of traces that count as rejected.
func (e *Exporter) classifyResponse(spans, traces int) (result Result, retryAfter time.Duration, rejected int) {
	switch status := e.recorder.status.Load(); {
	case status == 0:
		return NoResponse, 0, 0
	case status >= 200 && status < 300:
		// The collector reports the number of rejected spans. The number of traces
		// is estimated in proportion, rounded up.
		rejectedSpans := min(int(e.recorder.rejectedSpans.Load()), spans)
		return Accepted, 0, (rejectedSpans*traces + spans - 1) / max(1, spans)
	case status == http.StatusTooManyRequests || status == http.StatusBadGateway ||
		status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout:
		return RetryableError, time.Duration(e.recorder.retryAfterNs.Load()), 0
	}
	return PermanentError, 0, 0
}
