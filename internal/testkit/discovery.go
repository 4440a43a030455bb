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

// waitTimeout bounds how long a test waits for a condition; only a failing test waits that long.
const waitTimeout = 20 * time.Second

// ---- Discovery

// Entry is one node in the discovery list.
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

// Discovery is a fake discovery agent, which serves the list of nodes over HTTP.
type Discovery struct {
	Addr string

	mu           sync.Mutex
	version      int
	entries      []Entry
	updates      []Entry           // by version: the entry whose change produced it
	changed      chan struct{}     // closed and replaced on every change
	sentAt       map[int]time.Time // by version: when it was first sent to a broker
	requests     []string          // URLs requested so far
	faults       []string          // faults of the next responses, in order
	stallWatches bool              // watches that are open, or are opened before the next Update, are stalled
	// replacedVersion is the version at which the whole list was last replaced.
	replacedVersion int
	stalled         map[*http.Request]bool // watches that are never answered
}

// NewDiscovery starts a discovery agent that serves the given list as version 1. It is closed when
// the test ends.
func NewDiscovery(t testing.TB, entries ...Entry) *Discovery {
	t.Helper()
	d := &Discovery{version: 1, entries: entries, updates: make([]Entry, 2), changed: make(chan struct{}), sentAt: map[int]time.Time{},
		stalled: map[*http.Request]bool{}}
	s := httptest.NewServer(d)
	d.Addr = strings.TrimPrefix(s.URL, "http://")
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return d
}

// ServeHTTP answers list requests: a request with "after" gets the changes since that version,
// and one with "wait_ms" (a watch) is held until there is a newer version or that time is over.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, waitMs := r.URL.Query().Get("after"), r.URL.Query().Get("wait_ms")
	d.mu.Lock()
	d.requests = append(d.requests, r.URL.String())
	seenVersion, _ := strconv.Atoi(after)
	wait, _ := strconv.Atoi(waitMs)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := wait > 0; waiting && d.version <= seenVersion || d.stalled[r]; {
		d.stalled[r] = d.stalled[r] || d.stallWatches
		changed := d.changed
		if d.stalled[r] {
			changed, timeout = nil, nil
		}
		d.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
		d.mu.Lock()
	}
	full := after == "" || seenVersion < d.replacedVersion
	response := map[string]any{"version": d.version, "full": full, "servers": d.entries}
	if !full {
		response["servers"] = d.updates[seenVersion+1:]
	}
	version, fault := d.version, ""
	if len(d.faults) > 0 {
		fault, d.faults = d.faults[0], d.faults[1:]
	}
	d.mu.Unlock()
	data, err := json.Marshal(response)
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
	_, _ = w.Write(data) // the broker may have disconnected
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sentAt[version].IsZero() {
		d.sentAt[version] = time.Now()
	}
}

// InjectFaults makes the next responses fail, one fault each, in this order: "refused" has
// status 503, "broken" is cut off in the middle, "garbled" arrives complete but is malformed.
// A fault also applies to a watch that is already open, when it is answered.
func (d *Discovery) InjectFaults(faults ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = append(d.faults, faults...)
}

// StallWatches stalls the watches that are open or are opened before the next Update: they
// stay open and are never answered.
func (d *Discovery) StallWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stallWatches = true
	close(d.changed)
	d.changed = make(chan struct{})
}

// StalledWatches returns the number of watches that were stalled so far.
func (d *Discovery) StalledWatches() (n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, stalled := range d.stalled {
		if stalled {
			n++
		}
	}
	return n
}

// PendingFaults returns the number of injected faults that have not been used yet.
func (d *Discovery) PendingFaults() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.faults)
}

// Update adds or replaces one entry, or removes it if its state is "terminated", and returns
// the new version.
func (d *Discovery) Update(changed Entry) (version int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := d.entries[:0:0]
	for _, entry := range d.entries {
		if entry.ID != changed.ID {
			kept = append(kept, entry)
		}
	}
	if changed.State != "terminated" {
		kept = append(kept, changed)
	}
	d.entries, d.updates, d.version, d.stallWatches = kept, append(d.updates, changed), d.version+1, false
	close(d.changed)
	d.changed = make(chan struct{})
	return d.version
}

// Replace replaces the whole list and returns the new version.
func (d *Discovery) Replace(entries []Entry) (version int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.entries, d.updates, d.replacedVersion = entries, append(d.updates, Entry{}), d.version
	close(d.changed)
	d.changed = make(chan struct{})
	return d.version
}

// SentAt returns when a version was first sent to a broker; the zero time means not yet.
func (d *Discovery) SentAt(version int) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sentAt[version]
}

// Requests returns the URLs requested so far.
func (d *Discovery) Requests() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.requests...)
}

// Entry returns the node's entry in the discovery list, with the state "in_service".
func (n *Node) Entry() Entry {
	return Entry{ID: n.ID, Addr: n.Addr, Addrs: n.Addrs, Zone: "neihu", Kind: "std-2c", Cell: n.Cell, State: "in_service", Weight: 1}
}

// ---- Configuration

// Settings returns the settings of a small deployment in which each node holds all shards.
// edit, if not nil, changes them first.
func Settings(edit func(map[string]any)) map[string]any {
	class := func(name, idempotency string, windowMs float64) map[string]any {
		return map[string]any{"name": name, "objectiveMs": 1500.0, "deadlineMs": 3000.0, "idempotency": idempotency,
			"windowMs": windowMs, "worth": 1.0, "lateShare": 0.1}
	}
	settings := map[string]any{
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
	if edit != nil {
		edit(settings)
	}
	return settings
}

// Config encodes a broker's configuration file. discovery is the discovery agent's address, known
// the list of nodes at the start, and extra adds or replaces top-level fields.
func Config(discovery string, known []Entry, settings map[string]any, extra map[string]any) []byte {
	file := map[string]any{
		"name": "n1", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    map[string]any{"version": 1, "full": true, "servers": known},
		"settings": settings, "hand_over_ms": 50, "log_level": "warn",
	}
	for k, v := range extra {
		file[k] = v
	}
	data, err := json.Marshal(file)
	if err != nil {
		panic(fmt.Sprintf("encoding a configuration: %v", err))
	}
	return data
}

// WriteTempFile writes data to a file in a temporary directory of the test and returns its path.
func WriteTempFile(t testing.TB, data []byte) string {
	t.Helper()
	path := t.TempDir() + "/config.json"
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Eventually polls condition until it holds and fails the test if it does not within waitTimeout.
func Eventually(t testing.TB, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", description)
		}
	}
}

// EditConfig decodes a configuration file, applies edit to it and encodes it again.
func EditConfig(t testing.TB, cfg []byte, edit func(tree map[string]any)) []byte {
	t.Helper()
	var tree map[string]any
	if err := json.Unmarshal(cfg, &tree); err != nil {
		t.Fatal(err)
	}
	edit(tree)
	out, err := json.Marshal(tree)
	if err != nil {
		t.Fatal(err)
	}
	return out
}
