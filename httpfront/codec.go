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

// MaxBodyBytes is the maximum size of a request body and of a response body, in bytes.
const MaxBodyBytes = 64 << 10

// requestError is the rejection of a request, with the HTTP status of its response.
type requestError struct {
	status  int
	message string
}

func (e *requestError) Error() string { return e.message }

// badRequest returns a requestError with status 400.
func badRequest(format string, args ...any) error {
	return &requestError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// framingErrorStatus returns the HTTP status for an error of the parser.
func framingErrorStatus(err error) int {
	switch {
	case errors.Is(err, http1.ErrBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, http1.ErrHeadTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	}
	return http.StatusBadRequest
}

// decodeQuery converts an HTTP request to a query. now is the time at which the request was
// received completely; shardCount is the number of shards, 0 if unknown. The error is a
// requestError.
func decodeQuery(m *http1.Message, classes map[string]query.Class, shardCount int, now time.Time) (*broker.Query, error) {
	path, _, _ := strings.Cut(m.Target, "?")
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	class, ok := classes[name]
	if !ok {
		return nil, &requestError{http.StatusNotFound, "no such class"}
	}
	if m.Method != http.MethodPost {
		return nil, &requestError{http.StatusMethodNotAllowed, "a query is a POST"}
	}
	if class.SecondStep {
		return nil, &requestError{http.StatusNotImplemented, query.ErrSecondStep.Error()}
	}
	for _, header := range []string{"x-class", "x-request-id", "x-deadline-ms", "idempotency-key"} {
		if m.Count(header) > 1 { // it would be ambiguous which value applies
			return nil, badRequest("%s: stands %d times", header, m.Count(header))
		}
	}
	if m.Get("x-class") != name {
		return nil, badRequest("X-Class and the path must name one class")
	}
	q := &broker.Query{RequestID: strings.Clone(m.Get("x-request-id")), // the head must not stay for the sake of its id
		Class: class.Index, Retry: m.Get("x-retry") == "1", ArrivedAt: now}
	if err := query.ValidateName("X-Request-Id", q.RequestID); err != nil {
		return nil, badRequest("%v", err)
	}
	deadlineMs, err := strconv.ParseUint(m.Get("x-deadline-ms"), 10, 31)
	if err != nil || deadlineMs == 0 {
		return nil, badRequest("X-Deadline-Ms: want whole milliseconds above 0")
	}
	// No client of the class waits longer than the class's deadline. A larger value would
	// only keep the query open for longer, here and during a shutdown.
	if q.Budget = time.Duration(deadlineMs) * time.Millisecond; class.DeadlineMs > 0 {
		q.Budget = min(q.Budget, time.Duration(class.DeadlineMs*float64(time.Millisecond)))
	}
	if class.Keyed {
		q.IdempotencyKey = strings.Clone(m.Get("idempotency-key"))
		if err := query.ValidateName("Idempotency-Key", q.IdempotencyKey); err != nil {
			return nil, badRequest("%v", err)
		}
	}
	if err := query.DecodeBody(q, m.Body, shardCount); err != nil {
		return nil, badRequest("%v", err)
	}
	return q, nil
}

// partResult is the value of one partition in the response body.
type partResult struct {
	Partition int    `json:"partition"`
	Value     string `json:"value"`
}

// queryResponse is the response body of a served query.
type queryResponse struct {
	Complete bool         `json:"whole"`
	Results  []partResult `json:"results"`
}

// encodeReply appends the HTTP response for the final reply to a query. An answer that cannot
// be encoded, or exceeds MaxBodyBytes, becomes an error response.
func encodeReply(dst []byte, reply broker.Reply, closeAfter bool) []byte {
	switch reply.Verdict {
	case broker.Served:
		response := queryResponse{Complete: reply.Complete, Results: make([]partResult, len(reply.Values))}
		for i, v := range reply.Values {
			if !utf8.Valid(v.Data) { // the JSON encoder would replace invalid bytes and return a value that no node sent
				return encodeText(dst, http.StatusBadGateway, "a value is no text", 0, closeAfter)
			}
			response.Results[i] = partResult{v.Shard, string(v.Data)}
		}
		data, err := json.Marshal(response)
		if err != nil { // cannot happen: the response has only strings and numbers
			return encodeText(dst, http.StatusInternalServerError, "encoding failed", 0, closeAfter)
		}
		if len(data) > MaxBodyBytes {
			return encodeText(dst, http.StatusBadGateway, "the answer is too large", 0, closeAfter)
		}
		return encodeResponse(dst, http.StatusOK, "application/json", data, 0, closeAfter)
	case broker.Refused:
		return encodeText(dst, http.StatusServiceUnavailable, "refused", reply.RetryAfter, closeAfter)
	case broker.Expired:
		return encodeText(dst, http.StatusGatewayTimeout, "out of time", 0, closeAfter)
	case broker.Duplicate:
		return encodeText(dst, http.StatusConflict, "a request of this id is open", 0, closeAfter)
	}
	return encodeText(dst, http.StatusInternalServerError, "failed", 0, closeAfter)
}

// encodeText appends a plain-text HTTP response; see encodeResponse.
func encodeText(dst []byte, status int, text string, retryAfter time.Duration, closeAfter bool) []byte {
	return encodeResponse(dst, status, "text/plain; charset=utf-8", []byte(text+"\n"), retryAfter, closeAfter)
}

// encodeResponse appends an HTTP response. A positive retryAfter adds a Retry-After header in
// seconds, rounded up to whole milliseconds; closeAfter adds Connection: close.
func encodeResponse(dst []byte, status int, contentType string, body []byte, retryAfter time.Duration, closeAfter bool) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, http.StatusText(status)...)
	dst = append(dst, "\r\nContent-Type: "...)
	dst = append(dst, contentType...)
	dst = append(dst, "\r\nContent-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(body)), 10)
	if status == http.StatusMethodNotAllowed {
		dst = append(dst, "\r\nAllow: POST"...)
	}
	if retryAfter > 0 {
		dst = append(dst, "\r\nRetry-After: "...)
		dst = strconv.AppendFloat(dst, math.Ceil(retryAfter.Seconds()*1000)/1000, 'f', -1, 64)
	}
	if closeAfter {
		dst = append(dst, "\r\nConnection: close"...)
	}
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, body...)
}
