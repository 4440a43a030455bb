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

	"onyxsail/broker"
	"onyxsail/internal/http1"
)

// MaxBody is the largest body of a request.
const MaxBody = 64 << 10

const (
	maxParts = 1024
	maxName  = 128 // bytes of a request's id or key
)

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

type target struct {
	Partition *int     `json:"partition"`
	Share     *float64 `json:"share"`
	EstUs     *float64 `json:"est_us"`
	Route     string   `json:"route"`
}

type body struct {
	Targets []target `json:"targets"`
	Query   *string  `json:"query"`
}

// Class is what the front knows of a class.
type Class struct {
	Name  string
	Index int
	Keyed bool
}

// decode turns a request into a query.
func decode(m *http1.Message, classes map[string]Class, shards int, now time.Time) (*broker.Query, error) {
	path, _, _ := strings.Cut(m.Target, "?")
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	class, ok := classes[name]
	if !ok {
		return nil, &fault{http.StatusNotFound, "no such class"}
	}
	if m.Method != http.MethodPost {
		return nil, &fault{http.StatusMethodNotAllowed, "a query is a POST"}
	}
	if c := m.Get("x-class"); c != "" && c != name {
		return nil, bad("X-Class and the path name two classes")
	}
	q := &broker.Query{Name: m.Get("x-request-id"), Class: class.Index, Retry: m.Get("x-retry") == "1", Came: now}
	if !plain(q.Name) {
		return nil, bad("X-Request-Id: want 1 to %d letters, digits, '-' or '_'", maxName)
	}
	ms, err := strconv.ParseUint(m.Get("x-deadline-ms"), 10, 31)
	if err != nil || ms == 0 {
		return nil, bad("X-Deadline-Ms: want whole milliseconds above 0")
	}
	q.Budget = time.Duration(ms) * time.Millisecond
	if class.Keyed {
		if q.Key = m.Get("idempotency-key"); !plain(q.Key) {
			return nil, bad("Idempotency-Key: want 1 to %d letters, digits, '-' or '_'", maxName)
		}
	}
	return q, decodeBody(q, m.Body, shards)
}

func decodeBody(q *broker.Query, data []byte, shards int) error {
	var b body
	if err := json.Unmarshal(data, &b); err != nil {
		return bad("body: %v", err)
	}
	if b.Query == nil {
		return bad("query: missing")
	}
	if len(b.Targets) == 0 || len(b.Targets) > maxParts {
		return bad("targets: %d of them, want 1 to %d", len(b.Targets), maxParts)
	}
	q.Text = []byte(*b.Query)
	seen := make(map[int]bool, len(b.Targets))
	for i, t := range b.Targets {
		if t.Partition == nil || *t.Partition < 0 || shards > 0 && *t.Partition >= shards || seen[*t.Partition] {
			return bad("targets[%d].partition: want a shard, each once", i)
		}
		if t.Share == nil || !(*t.Share >= 0 && *t.Share <= 1) {
			return bad("targets[%d].share: want a number from 0 to 1", i)
		}
		seen[*t.Partition] = true
		p := broker.Part{Shard: *t.Partition, Share: *t.Share}
		if t.EstUs != nil {
			if !(*t.EstUs >= 0 && *t.EstUs < 1e12) {
				return bad("targets[%d].est_us: want microseconds", i)
			}
			p.WorkMs, p.Hinted = *t.EstUs/1000, true
		}
		if t.Route != "" {
			route, err := strconv.ParseUint(t.Route, 16, 64)
			if err != nil || len(t.Route) != 16 {
				return bad("targets[%d].route: want 16 hex digits", i)
			}
			p.Route = route
		}
		q.Parts = append(q.Parts, p)
	}
	return nil
}

// plain says whether s can stand in a frame's line.
func plain(s string) bool {
	for i := range len(s) {
		c := s[i]
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_') {
			return false
		}
	}
	return s != "" && len(s) <= maxName
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
			a.Results[i] = result{v.Shard, string(v.Data)}
		}
		data, err := json.Marshal(a)
		if err != nil { // strings and numbers only: cannot be
			return encode(dst, http.StatusInternalServerError, "encoding failed", 0, last)
		}
		return frame(dst, http.StatusOK, "application/json", data, 0, last)
	case broker.Refused:
		return encode(dst, http.StatusServiceUnavailable, "refused", r.RetryAfter, last)
	case broker.Expired:
		return encode(dst, http.StatusGatewayTimeout, "out of time", 0, last)
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
