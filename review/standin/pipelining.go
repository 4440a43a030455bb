//go:build review

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// pipelinedRequest is one of the requests that a client sends at once.
type pipelinedRequest struct {
	id, class string
	deadline  time.Duration
	sent      time.Time
	status    int       // 0: no answer
	answered  time.Time // when its last byte came
}

// encodeRequest appends a query of one part.
func encodeRequest(dst *bytes.Buffer, r *pipelinedRequest, key, text string, shard int) {
	body, _ := json.Marshal(map[string]any{"targets": []part{{shard, 1, 20000}}, "query": text})
	fmt.Fprintf(dst, "POST /%s HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Deadline-Ms: %d\r\n",
		r.class, r.id, r.class, r.deadline.Milliseconds())
	if key != "" {
		fmt.Fprintf(dst, "Idempotency-Key: %s\r\n", key)
	}
	fmt.Fprintf(dst, "Content-Length: %d\r\n\r\n%s", len(body), body)
}

// pipeliningClient is a client that sends requests ahead on one connection.
type pipeliningClient struct {
	e      *env
	name   string
	conn   net.Conn
	reader *bufio.Reader
	open   []*pipelinedRequest // sent and not answered, in order
}

func dialPipelining(e *env, addr, name string) (*pipeliningClient, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, setupError("%v", err)
	}
	return &pipeliningClient{e: e, name: name, conn: conn, reader: bufio.NewReader(conn)}, nil
}

// send sends requests of one part at once. shards has the shard of each.
func (c *pipeliningClient) send(requests []*pipelinedRequest, shards []int) error {
	var data bytes.Buffer
	for i, r := range requests {
		key := ""
		if r.class == "watchlist-edit" {
			key = "key-" + r.id
		}
		r.sent = time.Now()
		encodeRequest(&data, r, key, r.id, shards[i])
	}
	if _, err := c.conn.Write(data.Bytes()); err != nil {
		return err
	}
	for _, r := range requests {
		c.e.rec.note("%s: %s (%s) is sent", c.name, r.id, r.class)
	}
	c.open = append(c.open, requests...)
	return nil
}

// readAnswers reads the answers to all open requests, each until half a second after its time.
func (c *pipeliningClient) readAnswers() {
	for _, r := range c.open {
		_ = c.conn.SetReadDeadline(r.sent.Add(r.deadline + 500*time.Millisecond))
		res, err := http.ReadResponse(c.reader, nil)
		var body []byte
		if err == nil {
			body, err = io.ReadAll(res.Body)
			res.Body.Close()
		}
		if err != nil {
			c.e.rec.note("%s: no answer to %s (%s) after %d ms: %v", c.name, r.id, r.class, time.Since(r.sent).Milliseconds(), err)
			return
		}
		r.status, r.answered = res.StatusCode, time.Now()
		c.e.rec.note("%s: %s (%s) answered %d after %d ms, the connection ends %v: %.80s", c.name, r.id, r.class, r.status,
			r.answered.Sub(r.sent).Milliseconds(), res.Close, body)
	}
	c.open = nil
}
