//go:build review2

package main

import (
	"fmt"
	"strconv"
	"sync"
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

// loseAnswers says whether the answers of all servers are lost on the way.
func (f *fleet) loseAnswers(lost bool) {
	for _, s := range f.servers {
		s.answersLost.Store(lost)
	}
}

// ledger is the state that edits change, which the servers share: a repeat of a key is dropped
// for the window after the key was first applied, and takes effect after that.
type ledger struct {
	w      *world
	window time.Duration

	mu    sync.Mutex
	times map[string][]time.Time // by key: when it took effect
}

// newLedger returns a ledger without edits.
func newLedger(w *world, window time.Duration) *ledger {
	return &ledger{w: w, window: window, times: map[string][]time.Time{}}
}

// apply applies an edit, unless it is a repeat within the window.
func (l *ledger) apply(server string, p *part) {
	key := p.option("k")
	if l == nil || key == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if times := l.times[key]; len(times) > 0 && p.at.Sub(times[len(times)-1]) <= l.window {
		l.w.logf("server %s: repeat of %s dropped", server, key)
		return
	}
	l.times[key] = append(l.times[key], p.at)
	l.w.logf("server %s: APPLIED %s (part %s), time %d", server, key, p.id, len(l.times[key]))
}

// applied returns by key when it took effect, as seconds of the run.
func (l *ledger) applied() map[string][]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	texts := map[string][]string{}
	for key, times := range l.times {
		for _, t := range times {
			texts[key] = append(texts[key], strconv.FormatFloat(t.Sub(l.w.start).Seconds(), 'f', 3, 64)+" s")
		}
	}
	return texts
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
