//go:build review2

package main

import (
	"fmt"
	"time"
)

// fleet is the shard servers of a case.
type fleet struct {
	servers []*server
	entries []entry
}

// newFleet starts servers, spread over the cells, each of which holds every cells-th shard.
func (w *world) newFleet(count, cells int, work time.Duration) *fleet {
	f := &fleet{}
	for i := range count {
		s := w.newServer(fmt.Sprintf("s-%03d", i), i%cells, work)
		f.servers, f.entries = append(f.servers, s), append(f.entries, s.entry())
	}
	return f
}

// client is a client that asks over HTTP, on a new connection for each request.
type client struct {
	w          *world
	listen     string
	class      string
	shards     []int
	deadlineMs int
}

// ask sends a query and waits for its answer until it would be lost.
func (c *client) ask(id, key string) answer {
	deadline := time.Duration(c.deadlineMs) * time.Millisecond
	a := (&request{raw: query(c.class, id, key, c.shards, c.deadlineMs, ""), wait: deadline + slack}).send(c.listen)
	c.w.logf("client: %s %s key %q shards %v, time %d ms: %d %q retry-after %v, error %v, after %v", c.class, id, key, c.shards, c.deadlineMs,
		a.status, a.body, a.retryAfter(), a.err, a.took().Round(time.Millisecond))
	return a
}
