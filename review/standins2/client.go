//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is a client's request on a connection of its own.
type request struct {
	raw  string        // what is written
	wait time.Duration // how long it waits for the answer
}

// answer is what a client got.
type answer struct {
	status           int // 0: no whole answer
	header           http.Header
	body             string
	err              error
	sentAt, answered time.Time // when the request's last byte was written; when the answer was whole, or the client gave up
}

// took returns the time from the request's last byte to the end.
func (a *answer) took() time.Duration { return a.answered.Sub(a.sentAt) }

// retryAfter returns when the answer says to come back.
func (a *answer) retryAfter() time.Duration {
	seconds, _ := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	return time.Duration(seconds * float64(time.Second))
}

// send opens a connection, sends the request and waits for the answer. The connection is closed.
func (r *request) send(addr string) (a answer) {
	a.sentAt = time.Now()
	c, err := net.DialTimeout("tcp", addr, r.wait)
	if err != nil {
		a.err, a.answered = err, time.Now()
		return a
	}
	defer c.Close()
	r.on(c, &a)
	return a
}

// on sends the request on a connection and reads its answer.
func (r *request) on(c net.Conn, a *answer) {
	_, err := io.WriteString(c, r.raw)
	a.sentAt = time.Now()
	if err == nil {
		err = c.SetReadDeadline(a.sentAt.Add(r.wait))
	}
	var res *http.Response
	if err == nil {
		res, err = http.ReadResponse(bufio.NewReader(c), nil)
	}
	if err == nil {
		var body []byte
		if body, err = io.ReadAll(res.Body); err == nil {
			a.status, a.header, a.body = res.StatusCode, res.Header, string(body)
		}
	}
	a.err, a.answered = err, time.Now()
}

// query returns the text of a query over HTTP. body replaces the usual body unless it is empty.
func query(class, id, key string, shards []int, deadlineMs int, body string) string {
	if body == "" {
		var targets []string
		for _, s := range shards {
			targets = append(targets, fmt.Sprintf(`{"partition":%d,"share":%.6f,"est_us":9000}`, s, 1/float64(len(shards))))
		}
		body = `{"targets":[` + strings.Join(targets, ",") + `],"query":"c41e77d0"}`
	}
	head := fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Deadline-Ms: %d\r\n", class, id, class, deadlineMs)
	if key != "" {
		head += "Idempotency-Key: " + key + "\r\n"
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// whole reports whether an answer is a served one, marked whole, with the value of each shard.
func (a *answer) whole(id string, shards []int) bool {
	if a.status != 200 || !strings.Contains(a.body, `"whole":true`) {
		return false
	}
	for _, s := range shards {
		if !strings.Contains(a.body, fmt.Sprintf(`{"partition":%d,"value":%q}`, s, value(fmt.Sprintf("%s.%d", id, s)))) {
			return false
		}
	}
	return true
}

// slack is how long after a request's time its final answer still only earns nothing: half a second,
// and the 50 ms by which every limit is longer on sockets.
const slack = 550 * time.Millisecond

// settings returns those of a small deployment.
func settings(edit func(map[string]any)) map[string]any {
	class := func(name, idempotency string, objective, deadline, window float64) map[string]any {
		return map[string]any{"name": name, "idempotency": idempotency, "objectiveMs": objective, "deadlineMs": deadline,
			"lateShare": 0.1, "windowMs": window, "worth": 1.0}
	}
	s := map[string]any{
		"index": 0, "balancers": 3, "tickMs": 5.0, "myZone": 0, "discovery": "pushed", "worthBy": "work",
		"zones": []string{"neihu", "banqiao"}, "kinds": []string{"std-2c"},
		"classes": []any{class("screen", "safe", 2000, 4000, 5000), class("multi-quote", "safe", 1000, 3000, 5000),
			class("watchlist-edit", "keyed", 1200, 2500, 1200)},
		"caps": map[string]any{"cancel": true, "probes": true, "secondCopies": true, "retryAfter": true, "maxAttempts": 3,
			"maxOpen": 356, "maxRetryAfterMs": 2000.0, "streamsPerConn": 32, "connectTimeoutMs": 250.0, "connIdleMs": 30000.0},
		"domain": map[string]any{"cells": 3, "inARow": 1, "ranges": 18, "bundleMax": 1, "needByClass": []float64{1, 1, 1},
			"minShare": []float64{1, 1, 1}, "partialEarns": []float64{0.9, 0.9, 0.9}},
		"safety": map[string]any{"graceToAnswerMs": 20.0, "drainGraceMs": 500.0, "coldFrom": 0.18, "coldMs": 15000.0,
			"fallMs": 2000.0, "fallMultiple": 3.0},
		"penalties": map[string]any{"crossZone": 0.008, "probe": 0.012, "waste": 0.03},
	}
	if edit != nil {
		edit(s)
	}
	return s
}

// config returns a broker's configuration.
func config(name, listen, discovery string, known *list, limits map[string]any, s map[string]any) map[string]any {
	c := map[string]any{
		"name": name, "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964", "limits": limits, "settings": s,
	}
	if known != nil {
		c["known"] = known
	}
	return c
}
