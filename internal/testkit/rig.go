package testkit

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// patience is how long a test waits for what must come; only a failing test
// waits that long.
const patience = 20 * time.Second

// ---- Discovery

// Entry is one line of the list.
type Entry struct {
	ID      string   `json:"id"`
	Addr    string   `json:"addr"`
	Addrs   []string `json:"addrs,omitempty"`
	Zone    string   `json:"zone"`
	Kind    string   `json:"kind"`
	Cell    int      `json:"cell"`
	State   string   `json:"state"`
	Weight  float64  `json:"weight"`
	Started int64    `json:"started_ms"`
}

// Discovery is a stand-in for the agent.
type Discovery struct {
	Addr string

	mu      sync.Mutex
	version int
	list    []Entry
	logged  []Entry // the change that made each version
	changed chan struct{}
	told    map[int]time.Time // when a version was first written to a broker
	calls   []string
	faults  []string
	hush    bool
	// replaced is the version that took the place of the whole list.
	replaced int
	silent   map[*http.Request]bool // watches that will never be answered
}

// NewDiscovery starts discovery with a list.
func NewDiscovery(t testing.TB, list ...Entry) *Discovery {
	t.Helper()
	d := &Discovery{version: 1, list: list, logged: make([]Entry, 2), changed: make(chan struct{}), told: map[int]time.Time{},
		silent: map[*http.Request]bool{}}
	s := httptest.NewServer(d)
	d.Addr = strings.TrimPrefix(s.URL, "http://")
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return d
}

// ServeHTTP answers fetches and watches.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, watch := r.URL.Query().Get("after"), r.URL.Query().Get("wait_ms")
	d.mu.Lock()
	d.calls = append(d.calls, r.URL.String())
	seen, _ := strconv.Atoi(after)
	ms, _ := strconv.Atoi(watch)
	over := time.After(time.Duration(ms) * time.Millisecond)
	for waits := ms > 0; waits && d.version <= seen || d.silent[r]; {
		d.silent[r] = d.silent[r] || d.hush
		changed := d.changed
		if d.silent[r] {
			changed, over = nil, nil
		}
		d.mu.Unlock()
		select {
		case <-changed:
		case <-over:
			waits = false
		case <-r.Context().Done():
			return
		}
		d.mu.Lock()
	}
	full := after == "" || seen < d.replaced
	out := map[string]any{"version": d.version, "full": full, "servers": d.list}
	if !full {
		out["servers"] = d.logged[seen+1:]
	}
	version, fault := d.version, ""
	if len(d.faults) > 0 {
		fault, d.faults = d.faults[0], d.faults[1:]
	}
	d.mu.Unlock()
	data, err := json.Marshal(out)
	if err != nil {
		panic(err)
	}
	switch fault {
	case "refused":
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case "broken":
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
		_, _ = w.Write(data[:len(data)/2])
		panic(http.ErrAbortHandler)
	case "garbled":
		_, _ = w.Write(data[:len(data)-1])
		return
	}
	_, _ = w.Write(data) // the broker may have gone
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.told[version].IsZero() {
		d.told[version] = time.Now()
	}
}

// Fail spoils the next answers, in this order: "refused" has status 503, "broken"
// ends in its middle, "garbled" is whole but no list. A call that waits already
// is spoiled when it is answered.
func (d *Discovery) Fail(faults ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = append(d.faults, faults...)
}

// Hush makes the watches that are open, or are opened before the next change, fall
// silent: they stay open and tell nothing any more.
func (d *Discovery) Hush() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hush = true
	close(d.changed)
	d.changed = make(chan struct{})
}

// Silent counts the watches that have fallen silent so far.
func (d *Discovery) Silent() (n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, is := range d.silent {
		if is {
			n++
		}
	}
	return n
}

// Left counts the answers that are still to be spoiled.
func (d *Discovery) Left() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.faults)
}

// Change tells one entry anew.
func (d *Discovery) Change(e Entry) (version int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := d.list[:0:0]
	for _, x := range d.list {
		if x.ID != e.ID {
			kept = append(kept, x)
		}
	}
	if e.State != "terminated" {
		kept = append(kept, e)
	}
	d.list, d.logged, d.version, d.hush = kept, append(d.logged, e), d.version+1, false
	close(d.changed)
	d.changed = make(chan struct{})
	return d.version
}

// Replace tells a whole new list.
func (d *Discovery) Replace(list []Entry) (version int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.list, d.logged, d.replaced = list, append(d.logged, Entry{}), d.version
	close(d.changed)
	d.changed = make(chan struct{})
	return d.version
}

// Told says when a version was written to a broker.
func (d *Discovery) Told(version int) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.told[version]
}

// Calls returns the calls so far.
func (d *Discovery) Calls() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.calls...)
}

// Entry is the line of a node in service.
func (n *Node) Entry() Entry {
	return Entry{ID: n.ID, Addr: n.Addr, Addrs: n.Addrs, Zone: "neihu", Kind: "std-2c", Cell: n.Cell, State: "in_service", Weight: 1}
}

// ---- Configuration

// Settings are those of a small deployment in which each node holds all
// shards; change edits them.
func Settings(change func(map[string]any)) map[string]any {
	class := func(name, kind string, windowMs float64) map[string]any {
		return map[string]any{"name": name, "objectiveMs": 1500.0, "deadlineMs": 3000.0, "idempotency": kind,
			"windowMs": windowMs, "worth": 1.0, "lateShare": 0.1}
	}
	s := map[string]any{
		"balancers": 1, "index": 0, "tickMs": 5.0, "myZone": 0, "discovery": "pushed",
		"zones": []string{"neihu", "banqiao"}, "kinds": []string{"std-2c"},
		"classes": []any{class("screen", "safe", 5000), class("edit", "keyed", 1200), class("order", "unsafe", 0),
			class("part", "safe", 5000)},
		"caps": map[string]any{"cancel": true, "maxAttempts": 3, "maxOpen": 356, "maxRetryAfterMs": 2000.0,
			"retryAfter": true, "secondCopies": true, "streamsPerConn": 32, "connectTimeoutMs": 250.0,
			"connIdleMs": 30000.0, "probes": true},
		"domain": map[string]any{"cells": 1, "inARow": 1, "ranges": 18, "bundleMax": 1,
			"needByClass": []float64{1, 1, 1, 1}, "minShare": []float64{1, 1, 1, 0.5}, "partialEarns": []float64{0.9, 0.9, 0.9, 0.9}},
		"safety": map[string]any{"graceToAnswerMs": 20.0, "drainGraceMs": 500.0, "coldFrom": 0.18, "coldMs": 15000.0,
			"fallMs": 2000.0, "fallMultiple": 3.0},
		"penalties": map[string]any{"crossZone": 0.008},
	}
	if change != nil {
		change(s)
	}
	return s
}

// Config renders a broker's configuration; extra fields are added to it.
func Config(discovery string, known []Entry, settings map[string]any, extra map[string]any) []byte {
	c := map[string]any{
		"name": "n1", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    map[string]any{"version": 1, "full": true, "servers": known},
		"settings": settings, "hand_over_ms": 50, "log_level": "warn",
	}
	for k, v := range extra {
		c[k] = v
	}
	data, err := json.Marshal(c)
	if err != nil {
		panic(fmt.Sprintf("rendering a configuration: %v", err))
	}
	return data
}

// WriteFile puts data into a file of the test's own.
func WriteFile(t testing.TB, data []byte) string {
	t.Helper()
	path := t.TempDir() + "/config.json"
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Eventually returns once ok holds.
func Eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for limit := time.Now().Add(patience); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("never: %s", what)
		}
	}
}

// Edit changes a configuration's tree.
func Edit(t testing.TB, cfg []byte, change func(file map[string]any)) []byte {
	t.Helper()
	var file map[string]any
	if err := json.Unmarshal(cfg, &file); err != nil {
		t.Fatal(err)
	}
	change(file)
	out, err := json.Marshal(file)
	if err != nil {
		t.Fatal(err)
	}
	return out
}
