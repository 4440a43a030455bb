package httpfront

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"onyxsail/broker"
	"onyxsail/internal/http1"
	"onyxsail/internal/query"
)

// MaxBody is the largest body of a request, and of an answer.
const MaxBody = 64 << 10

// fault is a request that cannot be taken, with the status that says so.
type fault struct {
	status int
	why    string
}

func (f *fault) Error() string { return f.why }

func bad(format string, args ...any) error {
	return &fault{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// statusOf gives the status of a request whose framing could not be read.
func statusOf(err error) int {
	switch {
	case errors.Is(err, http1.ErrBodySize):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, http1.ErrHeadSize):
		return http.StatusRequestHeaderFieldsTooLarge
	}
	return http.StatusBadRequest
}

// decode turns a request into a query.
func decode(m *http1.Message, classes map[string]query.Class, shards int, now time.Time) (*broker.Query, error) {
	path, _, _ := strings.Cut(m.Target, "?")
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	class, ok := classes[name]
	if !ok {
		return nil, &fault{http.StatusNotFound, "no such class"}
	}
	if m.Method != http.MethodPost {
		return nil, &fault{http.StatusMethodNotAllowed, "a query is a POST"}
	}
	for _, h := range []string{"x-class", "x-request-id", "x-deadline-ms", "idempotency-key"} {
		if m.Count(h) > 1 { // which of them counts would be anybody's guess
			return nil, bad("%s: stands %d times", h, m.Count(h))
		}
	}
	if m.Get("x-class") != name {
		return nil, bad("X-Class and the path must name one class")
	}
	q := &broker.Query{RequestID: m.Get("x-request-id"), Class: class.Index, Retry: m.Get("x-retry") == "1", ArrivedAt: now}
	if err := query.CheckName("X-Request-Id", q.RequestID); err != nil {
		return nil, bad("%v", err)
	}
	ms, err := strconv.ParseUint(m.Get("x-deadline-ms"), 10, 31)
	if err != nil || ms == 0 {
		return nil, bad("X-Deadline-Ms: want whole milliseconds above 0")
	}
	// No client of the class waits longer: a larger figure would only hold the
	// query's place, here and while the program is told to stop.
	if q.Budget = time.Duration(ms) * time.Millisecond; class.DeadlineMs > 0 {
		q.Budget = min(q.Budget, time.Duration(class.DeadlineMs*float64(time.Millisecond)))
	}
	if class.Keyed {
		q.IdempotencyKey = m.Get("idempotency-key")
		if err := query.CheckName("Idempotency-Key", q.IdempotencyKey); err != nil {
			return nil, bad("%v", err)
		}
	}
	if err := query.DecodeBody(q, m.Body, shards); err != nil {
		return nil, bad("%v", err)
	}
	return q, nil
}

type result struct {
	Partition int    `json:"partition"`
	Value     string `json:"value"`
}

type answer struct {
	Whole   bool     `json:"whole"`
	Results []result `json:"results"`
}

// encodeReply renders the final answer of a query.
func encodeReply(dst []byte, r broker.Reply, last bool) []byte {
	switch r.Verdict {
	case broker.Served:
		a := answer{Whole: r.Whole, Results: make([]result, len(r.Values))}
		for i, v := range r.Values {
			if !utf8.Valid(v.Data) { // the encoder would replace what is not: no node made that value
				return encode(dst, http.StatusBadGateway, "a value is no text", 0, last)
			}
			a.Results[i] = result{v.Shard, string(v.Data)}
		}
		data, err := json.Marshal(a)
		if err != nil { // strings and numbers only: cannot be
			return encode(dst, http.StatusInternalServerError, "encoding failed", 0, last)
		}
		if len(data) > MaxBody {
			return encode(dst, http.StatusBadGateway, "the answer is too large", 0, last)
		}
		return frame(dst, http.StatusOK, "application/json", data, 0, last)
	case broker.Refused:
		return encode(dst, http.StatusServiceUnavailable, "refused", r.RetryAfter, last)
	case broker.Expired:
		return encode(dst, http.StatusGatewayTimeout, "out of time", 0, last)
	case broker.Duplicate:
		return encode(dst, http.StatusConflict, "a request of this id is open", 0, last)
	}
	return encode(dst, http.StatusInternalServerError, "failed", 0, last)
}

// encode renders a plain answer.
func encode(dst []byte, status int, text string, retry time.Duration, last bool) []byte {
	return frame(dst, status, "text/plain; charset=utf-8", []byte(text+"\n"), retry, last)
}

func frame(dst []byte, status int, kind string, data []byte, retry time.Duration, last bool) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, http.StatusText(status)...)
	dst = append(dst, "\r\nContent-Type: "...)
	dst = append(dst, kind...)
	dst = append(dst, "\r\nContent-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(data)), 10)
	if status == http.StatusMethodNotAllowed {
		dst = append(dst, "\r\nAllow: POST"...)
	}
	if retry > 0 {
		dst = append(dst, "\r\nRetry-After: "...)
		dst = strconv.AppendFloat(dst, math.Ceil(retry.Seconds()*1000)/1000, 'f', -1, 64)
	}
	if last {
		dst = append(dst, "\r\nConnection: close"...)
	}
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, data...)
}
