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

// Query is a query as a client sends it. Key is its idempotency key, empty for none.
type Query struct {
	Class, ID, Key string
	Shards         []int
	Timeout        time.Duration // how long the client waits; it is also sent as the deadline
	Traceparent    []string      // each value is sent as a separate header
	Tracestate     string
}

// NoReplyReason classifies why a client received no reply.
type NoReplyReason string

// The reasons for a missing reply.
const (
	NoConnection     NoReplyReason = "no connection"                    // no connection was established
	ConnectionReset  NoReplyReason = "connection reset"                 // the connection was reset before the reply began
	ConnectionClosed NoReplyReason = "connection closed before a reply" // the connection was closed in an orderly way without a reply
	ClientTimeout    NoReplyReason = "client timeout"                   // nothing arrived within the client's timeout
	TruncatedReply   NoReplyReason = "truncated reply"                  // the head of the reply arrived, but not all of its body
	UnknownReason    NoReplyReason = "unknown"                          // none of the above
)

// Reply is the result of a query as its client sees it.
type Reply struct {
	Err           error          // for Outcome "none": why there is no reply (HTTP only)
	NoReplyReason NoReplyReason  // for Outcome "none": the kind of Err (HTTP only)
	ConnTrace     string         // for Outcome "none": timings of the connection (HTTP only)
	Outcome       string         // "served", "refused", "failed", "expired", "invalid" or "none"
	Complete      bool           // as the reply says; false for a partial result
	Values        map[int]string // by shard
	RetryAfter    time.Duration  // 0: not set by the reply
	Latency       time.Duration  // until the reply was complete, or was given up
}

// requestBody returns the fields that the HTTP body and the Flight ticket have in common.
func (q *Query) requestBody() map[string]any {
	targets := []map[string]any{}
	for _, shard := range q.Shards {
		targets = append(targets, map[string]any{"partition": shard, "share": 1 / float64(len(q.Shards)), "est_us": 9000})
	}
	return map[string]any{"targets": targets, "query": "c41e77d0"}
}

// connCreatedAt maps the local address of each client connection to the time at which it was
// created. When a local port is reused, the new connection replaces the old entry.
var connCreatedAt sync.Map

// connTrace records the connection events of one request.
type connTrace struct {
	mu                                      sync.Mutex
	started                                 time.Time
	connAfter, requestAfter, firstByteAfter time.Duration // since started; 0: did not happen
	connCount                               int           // number of connections tried for the request
	reused                                  bool
	connAge, connIdle                       time.Duration // of the last connection, when the request obtained it
	localAddr                               string        // of the last connection
}

// clientTrace returns the callbacks that record the events in t.
func (t *connTrace) clientTrace() *httptrace.ClientTrace {
	record := func(elapsed *time.Duration) {
		t.mu.Lock()
		defer t.mu.Unlock()
		*elapsed = time.Since(t.started)
	}
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			record(&t.connAfter)
			t.mu.Lock()
			defer t.mu.Unlock()
			t.connCount++
			t.reused, t.connIdle, t.localAddr = info.Reused, info.IdleTime, info.Conn.LocalAddr().String()
			if !info.Reused {
				connCreatedAt.Store(t.localAddr, time.Now())
			}
			if createdAt, ok := connCreatedAt.Load(t.localAddr); ok {
				t.connAge = time.Since(createdAt.(time.Time))
			}
		},
		WroteRequest:         func(httptrace.WroteRequestInfo) { record(&t.requestAfter) },
		GotFirstResponseByte: func() { record(&t.firstByteAfter) },
	}
}

// String formats the recorded events, with times in milliseconds since the request started.
func (t *connTrace) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	format := func(d time.Duration) string {
		if d == 0 {
			return "never"
		}
		return fmt.Sprintf("at %.1f ms", float64(d)/float64(time.Millisecond))
	}
	return fmt.Sprintf("%d connections, last from %s (reused: %v, idle for %v, age %v); obtained %s, request written %s, first byte of the reply %s",
		t.connCount, t.localAddr, t.reused, t.connIdle, t.connAge, format(t.connAfter), format(t.requestAfter), format(t.firstByteAfter))
}

// connected reports whether the request obtained a connection.
func (t *connTrace) connected() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.connAfter != 0
}

// classifyNoReply returns the reason why a request that failed with err has no reply.
func classifyNoReply(ctx context.Context, err error, connected bool) NoReplyReason {
	switch {
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return ConnectionReset
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return ConnectionClosed
	case ctx.Err() != nil:
		return ClientTimeout
	case !connected:
		return NoConnection
	}
	return UnknownReason
}

// QueryHTTP sends a query over HTTP and waits for the reply.
func QueryHTTP(ctx context.Context, addr string, q Query) Reply {
	body, err := json.Marshal(q.requestBody())
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	trace := &connTrace{started: time.Now()}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace.clientTrace()), http.MethodPost, "http://"+addr+"/"+q.Class, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("X-Request-Id", q.ID)
	req.Header.Set("X-Class", q.Class)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(q.Timeout.Milliseconds(), 10))
	if q.Key != "" {
		req.Header.Set("Idempotency-Key", q.Key)
	}
	req.Header["Traceparent"] = q.Traceparent
	if q.Tracestate != "" {
		req.Header.Set("Tracestate", q.Tracestate)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return Reply{Outcome: "none", Err: err, NoReplyReason: classifyNoReply(ctx, err, trace.connected()), ConnTrace: trace.String(), Latency: time.Since(trace.started)}
	}
	defer res.Body.Close()
	reply := readReply(res)
	if reply.Latency = time.Since(trace.started); reply.Outcome == "none" {
		reply.ConnTrace = trace.String()
	}
	return reply
}

// readReply reads an HTTP response to its end and returns it as a Reply without a Latency.
func readReply(res *http.Response) Reply {
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return Reply{Outcome: "none", Err: fmt.Errorf("reading the response body: status %d, got %d bytes: %w", res.StatusCode, len(text), err), NoReplyReason: TruncatedReply}
	}
	reply := Reply{Outcome: "failed", Values: map[int]string{}}
	switch res.StatusCode {
	case http.StatusOK:
		var answer struct {
			Whole   bool
			Results []struct {
				Partition int
				Value     string
			}
		}
		if err := json.Unmarshal(text, &answer); err != nil {
			return Reply{Outcome: "none", Err: fmt.Errorf("decoding a response of %d bytes: %w", len(text), err), NoReplyReason: TruncatedReply}
		}
		reply.Outcome, reply.Complete = "served", answer.Whole
		for _, result := range answer.Results {
			reply.Values[result.Partition] = result.Value
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		reply.Outcome = "refused"
		if s, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
			reply.RetryAfter = time.Duration(s * float64(time.Second))
		}
	case http.StatusGatewayTimeout:
		reply.Outcome = "expired"
	case http.StatusBadRequest, http.StatusNotFound:
		reply.Outcome = "invalid"
	}
	return reply
}

// QueryFlight sends a query over Arrow Flight and waits for the reply.
func QueryFlight(ctx context.Context, addr string, q Query) Reply {
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	body := q.requestBody()
	body["id"], body["class"], body["key"] = q.ID, q.Class, q.Key
	ticket, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	for _, p := range q.Traceparent {
		ctx = metadata.AppendToOutgoingContext(ctx, "traceparent", p)
	}
	if q.Tracestate != "" {
		ctx = metadata.AppendToOutgoingContext(ctx, "tracestate", q.Tracestate)
	}
	start := time.Now()
	reply := Reply{Values: map[int]string{}}
	stream, err := flight.NewClientFromConn(conn, nil).DoGet(ctx, &flight.Ticket{Ticket: ticket})
	if err == nil {
		whole, values, readErr := flightwire.ReadValues(stream)
		err, reply.Complete = readErr, whole
		for _, v := range values {
			reply.Values[v.Shard] = string(v.Data)
		}
	}
	reply.Latency = time.Since(start)
	var statusErr interface{ GRPCStatus() *status.Status }
	switch {
	case err == nil:
		reply.Outcome = "served"
	case ctx.Err() != nil || !errors.As(err, &statusErr):
		reply.Outcome = "none"
	default:
		reply.Outcome = map[codes.Code]string{
			codes.Unavailable: "refused", codes.Aborted: "failed", codes.DeadlineExceeded: "expired",
			codes.InvalidArgument: "invalid", codes.NotFound: "invalid",
		}[statusErr.GRPCStatus().Code()]
		for _, d := range statusErr.GRPCStatus().Details() {
			if info, ok := d.(*errdetails.RetryInfo); ok {
				reply.RetryAfter = info.GetRetryDelay().AsDuration()
			}
		}
	}
	return reply
}
