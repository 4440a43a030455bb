package testkit

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"onyxsail/internal/flightwire"
)

// Query is what a client asks.
type Query struct {
	Class, ID, Key string
	Shards         []int
	Within         time.Duration
	Traceparent    []string // each as a header of its own
	Tracestate     string
}

// Loss is why a client has no answer.
type Loss string

// The losses.
const (
	NoConnection Loss = "no connection"                 // none came up
	WasReset     Loss = "reset"                         // the connection broke before an answer began
	EndedEarly   Loss = "ended before an answer"        // it was ended in order, with nothing said
	TimeOver     Loss = "the client's own time is over" // nothing came until the client gave up
	ShortBody    Loss = "an answer cut short"           // the answer's head came, its body did not come whole
	NotSaid      Loss = "unknown"
)

// Reply is what a client got.
type Reply struct {
	Err        error  // with Kind none: why there is no answer
	Loss       Loss   // the same, told apart
	Path       string // with Kind none: what is known of the connection
	Kind       string // served, refused, failed, expired, invalid or none
	Whole      bool
	Values     map[int]string
	RetryAfter time.Duration
	Took       time.Duration
}

func (q *Query) body() map[string]any {
	targets := []map[string]any{}
	for _, s := range q.Shards {
		targets = append(targets, map[string]any{"partition": s, "share": 1 / float64(len(q.Shards)), "est_us": 9000})
	}
	return map[string]any{"targets": targets, "query": "c41e77d0"}
}

// made is when the client's connections were made, by their own addresses. A number that is
// used again takes the place of the old one.
var made sync.Map

// journey notes what becomes of one request on its way.
type journey struct {
	mu                  sync.Mutex
	began               time.Time
	got, wrote, replied time.Duration // since began; 0: did not happen
	tries               int           // connections that the request was given
	reused              bool
	age, rested         time.Duration // of the latest connection, when the request got it
	local               string        // its address
}

func (j *journey) trace() *httptrace.ClientTrace {
	since := func(at *time.Duration) {
		j.mu.Lock()
		defer j.mu.Unlock()
		*at = time.Since(j.began)
	}
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			since(&j.got)
			j.mu.Lock()
			defer j.mu.Unlock()
			j.tries++
			j.reused, j.rested, j.local = info.Reused, info.IdleTime, info.Conn.LocalAddr().String()
			if !info.Reused {
				made.Store(j.local, time.Now())
			}
			if at, ok := made.Load(j.local); ok {
				j.age = time.Since(at.(time.Time))
			}
		},
		WroteRequest:         func(httptrace.WroteRequestInfo) { since(&j.wrote) },
		GotFirstResponseByte: func() { since(&j.replied) },
	}
}

// String says what happened, in milliseconds since the request began.
func (j *journey) String() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	at := func(d time.Duration) string {
		if d == 0 {
			return "never"
		}
		return fmt.Sprintf("at %.1f ms", float64(d)/float64(time.Millisecond))
	}
	return fmt.Sprintf("%d connections, the last from %s, reused %v after %v of rest, aged %v; got %s, request written %s, answer begun %s",
		j.tries, j.local, j.reused, j.rested, j.age, at(j.got), at(j.wrote), at(j.replied))
}

func (j *journey) connected() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.got != 0
}

// lossOf tells apart why a request has no answer.
func lossOf(ctx context.Context, err error, connected bool) Loss {
	switch {
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return WasReset
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return EndedEarly
	case ctx.Err() != nil:
		return TimeOver
	case !connected:
		return NoConnection
	}
	return NotSaid
}

// AskHTTP asks on the platform's protocol.
func AskHTTP(ctx context.Context, addr string, q Query) Reply {
	body, err := json.Marshal(q.body())
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(ctx, q.Within)
	defer cancel()
	way := &journey{began: time.Now()}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, way.trace()), http.MethodPost, "http://"+addr+"/"+q.Class, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("X-Request-Id", q.ID)
	req.Header.Set("X-Class", q.Class)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(q.Within.Milliseconds(), 10))
	if q.Key != "" {
		req.Header.Set("Idempotency-Key", q.Key)
	}
	req.Header["Traceparent"] = q.Traceparent
	if q.Tracestate != "" {
		req.Header.Set("Tracestate", q.Tracestate)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return Reply{Kind: "none", Err: err, Loss: lossOf(ctx, err, way.connected()), Path: way.String(), Took: time.Since(way.began)}
	}
	defer res.Body.Close()
	r := readReply(res)
	if r.Took = time.Since(way.began); r.Kind == "none" {
		r.Path = way.String()
	}
	return r
}

// readReply reads an answer whole.
func readReply(res *http.Response) Reply {
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return Reply{Kind: "none", Err: fmt.Errorf("status %d, %d bytes of its body: %w", res.StatusCode, len(text), err), Loss: ShortBody}
	}
	r := Reply{Kind: "failed", Values: map[int]string{}}
	switch res.StatusCode {
	case http.StatusOK:
		var a struct {
			Whole   bool
			Results []struct {
				Partition int
				Value     string
			}
		}
		if err := json.Unmarshal(text, &a); err != nil {
			return Reply{Kind: "none", Err: fmt.Errorf("an answer of %d bytes: %w", len(text), err), Loss: ShortBody}
		}
		r.Kind, r.Whole = "served", a.Whole
		for _, x := range a.Results {
			r.Values[x.Partition] = x.Value
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		r.Kind = "refused"
		if s, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
			r.RetryAfter = time.Duration(s * float64(time.Second))
		}
	case http.StatusGatewayTimeout:
		r.Kind = "expired"
	case http.StatusBadRequest, http.StatusNotFound:
		r.Kind = "invalid"
	}
	return r
}

// AskFlight asks in Arrow Flight.
func AskFlight(ctx context.Context, addr string, q Query) Reply {
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	body := q.body()
	body["id"], body["class"], body["key"] = q.ID, q.Class, q.Key
	ticket, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(ctx, q.Within)
	defer cancel()
	for _, p := range q.Traceparent {
		ctx = metadata.AppendToOutgoingContext(ctx, "traceparent", p)
	}
	if q.Tracestate != "" {
		ctx = metadata.AppendToOutgoingContext(ctx, "tracestate", q.Tracestate)
	}
	start := time.Now()
	r := Reply{Values: map[int]string{}}
	stream, err := flight.NewClientFromConn(conn, nil).DoGet(ctx, &flight.Ticket{Ticket: ticket})
	if err == nil {
		whole, values, rerr := flightwire.ReadValues(stream)
		err, r.Whole = rerr, whole
		for _, v := range values {
			r.Values[v.Shard] = string(v.Data)
		}
	}
	r.Took = time.Since(start)
	var s interface{ GRPCStatus() *status.Status }
	switch {
	case err == nil:
		r.Kind = "served"
	case ctx.Err() != nil || !errors.As(err, &s):
		r.Kind = "none"
	default:
		r.Kind = map[codes.Code]string{
			codes.Unavailable: "refused", codes.Aborted: "failed", codes.DeadlineExceeded: "expired",
			codes.InvalidArgument: "invalid", codes.NotFound: "invalid",
		}[s.GRPCStatus().Code()]
		for _, d := range s.GRPCStatus().Details() {
			if info, ok := d.(*errdetails.RetryInfo); ok {
				r.RetryAfter = info.GetRetryDelay().AsDuration()
			}
		}
	}
	return r
}
