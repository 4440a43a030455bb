//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

// groupConfig is the replicated configuration, as config.get and config.set return it.
type groupConfig struct {
	Version    uint64 `json:"version"`
	QueueLimit int    `json:"queue_limit"`
	MaxOpen    int    `json:"max_open"`
}

// flightAction runs one operator's action at a broker's Flight address.
func flightAction(addr, action string, body any, result any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy())
	if err != nil {
		return err
	}
	defer conn.Close()
	var data []byte
	if body != nil {
		if data, err = json.Marshal(body); err != nil {
			return err
		}
	}
	stream, err := flight.NewClientFromConn(conn, nil).DoAction(ctx, &flight.Action{Type: action, Body: data})
	if err != nil {
		return err
	}
	answer, err := stream.Recv()
	if err != nil {
		return err
	}
	if _, err := stream.Recv(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("more than one result: %v", err)
	}
	return json.Unmarshal(answer.GetBody(), result)
}

// member is one broker of a group, with its addresses.
type member struct {
	name, listen, flight, raft string
	config                     map[string]any
	process                    *process
}

// group is three brokers with a replicated store, as deploy/operator-n1.json to -n3.json set
// it up.
type group struct {
	e       *env
	members []*member
}

func startGroup(e *env, disc string, known []entry) (*group, error) {
	addrs, err := freePorts(9)
	if err != nil {
		return nil, setupError("%v", err)
	}
	g := &group{e: e}
	var peers []map[string]any
	for i := range 3 {
		m := &member{name: fmt.Sprintf("n%d", i+1), listen: addrs[3*i], flight: addrs[3*i+1], raft: addrs[3*i+2]}
		g.members = append(g.members, m)
		peers = append(peers, map[string]any{"name": m.name, "raft": m.raft, "flight": m.flight})
	}
	for i, m := range g.members {
		m.config = map[string]any{
			"name": m.name, "listen": m.listen, "discovery": disc, "seed": fmt.Sprintf("8c1f30d27a5be96%d", i),
			"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "hand_over_ms": 550, "log_level": "info",
			"known":  map[string]any{"version": 1, "full": true, "servers": known},
			"flight": map[string]any{"listen": m.flight}, "settings": settings(3, i),
			"store": map[string]any{"dir": filepath.Join(e.dir, m.name+".store"), "peers": peers},
		}
		if err := g.start(m); err != nil {
			g.stop()
			return nil, err
		}
	}
	return g, nil
}

// start starts a member's process.
func (g *group) start(m *member) error {
	p, err := startBroker(g.e.root, g.e.dir, m.name, m.config)
	if err != nil {
		return setupError("%v", err)
	}
	m.process = p
	g.e.rec.note("%s: started", m.name)
	return nil
}

// kill kills a member's process.
func (g *group) kill(m *member) {
	m.process.kill()
	g.e.rec.note("%s: SIGKILL", m.name)
}

// stop ends all processes.
func (g *group) stop() {
	for _, m := range g.members {
		if m.process != nil && m.process.running() {
			m.process.kill()
		}
	}
}

// set changes the configuration at whichever member leads.
func (g *group) set(patch map[string]any) (c groupConfig, err error) {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		for _, m := range g.members {
			if err = flightAction(m.flight, "config.set", patch, &c); err == nil {
				g.e.rec.note("%s: config.set %v acknowledged, version %d, max_open %d", m.name, patch, c.Version, c.MaxOpen)
				return c, nil
			}
			if !strings.Contains(err.Error(), "leader") && !strings.Contains(err.Error(), "connection") {
				return c, setupError("config.set: %v", err)
			}
		}
	}
	return c, setupError("no member took the change: %v", err)
}

// waitVersion waits until a member shows a version of the configuration.
func (g *group) waitVersion(m *member, version uint64, timeout time.Duration) error {
	var c groupConfig
	var err error
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if err = flightAction(m.flight, "config.get", nil, &c); err == nil && c.Version >= version {
			g.e.rec.note("%s: config.get shows version %d, max_open %d", m.name, c.Version, c.MaxOpen)
			return nil
		}
	}
	return setupError("%s did not come to version %d: %+v %v", m.name, version, c, err)
}

// watch reads a member's configuration every 10 ms for a time and returns what it showed
// below the version, and for how long.
func (g *group) watch(m *member, version uint64, duration time.Duration) (older []groupConfig, first, last time.Time) {
	var shown *groupConfig
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		var c groupConfig
		if err := flightAction(m.flight, "config.get", nil, &c); err != nil {
			continue
		}
		if shown == nil || *shown != c {
			g.e.rec.note("%s: config.get shows version %d, max_open %d", m.name, c.Version, c.MaxOpen)
			shown = &c
		}
		if c.Version < version {
			if older == nil {
				first = time.Now()
			}
			older, last = append(older, c), time.Now()
		}
	}
	return older, first, last
}

// burst sends four queries of four parts to a member at the same moment and returns how many
// were served.
func (g *group) burst(m *member, name string) (served int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i := range 4 {
		wg.Go(func() {
			id := fmt.Sprintf("%s-%d", name, i)
			r := newHTTPClient(m.listen).query(id, "multi-quote", "", 3*time.Second, []int{4 * i, 4*i + 1, 4*i + 2, 4*i + 3}, "q"+id)
			g.e.rec.note("%s: request %s: status %d %v after %d ms", m.name, id, r.status, r.err, r.done.Sub(r.sent).Milliseconds())
			mu.Lock()
			defer mu.Unlock()
			if r.status == http.StatusOK {
				served++
			}
		})
	}
	wg.Wait()
	return served
}

func init() { cases["config-rollback"] = configRollback }

// configRollback: a group of three agrees on a lower max_open. Then one member after another
// is lost and comes back, and two at once.
func configRollback(e *env) (broken []string, err error) {
	var entries []entry
	for i := range 2 {
		n, err := startFrameNode(e.rec, fmt.Sprintf("s-%d", i), 300*time.Millisecond)
		if err != nil {
			return nil, setupError("%v", err)
		}
		entries = append(entries, entry{ID: n.id, Addr: n.addr, Zone: "neihu", Kind: "std-2c", State: "in_service", Weight: 1})
	}
	disc, err := startDiscovery(entries)
	if err != nil {
		return nil, setupError("%v", err)
	}
	g, err := startGroup(e, disc.addr, entries)
	if err != nil {
		return nil, err
	}
	defer g.stop()
	for _, m := range g.members {
		if err := m.process.waitReady(m.listen, 15*time.Second); err != nil {
			return nil, err
		}
	}
	// Five open queries and parts: one query of four parts at a time.
	agreed, err := g.set(map[string]any{"max_open": 5})
	if err != nil {
		return nil, err
	}
	for _, m := range g.members {
		if err := g.waitVersion(m, agreed.Version, 10*time.Second); err != nil {
			return nil, err
		}
	}
	n3 := g.members[2]
	check := func(when string, watchFor time.Duration) {
		served := make(chan int, 1)
		go func() { served <- g.burst(n3, strings.ReplaceAll(when, " ", "-")) }()
		older, first, last := g.watch(n3, agreed.Version, watchFor)
		if len(older) > 0 {
			broken = append(broken, fmt.Sprintf("%s: n3 had version %d, and showed version %d, max_open %d for %v, while ready",
				when, agreed.Version, older[0].Version, older[0].MaxOpen, last.Sub(first).Round(10*time.Millisecond)))
		}
		if n := <-served; n > 1 {
			broken = append(broken, fmt.Sprintf("%s: n3 served %d queries at once, the agreed max_open of %d allows one", when, n, agreed.MaxOpen))
		}
	}
	check("before", time.Second)
	if e.trouble {
		g.kill(n3)
	}
	time.Sleep(5 * time.Second)
	if e.trouble {
		if err := g.start(n3); err != nil {
			return broken, err
		}
	}
	if err := n3.process.waitReady(n3.listen, 15*time.Second); err != nil {
		return broken, err
	}
	e.rec.note("n3: ready")
	check("one restarted", 8*time.Second)
	if err := g.waitVersion(n3, agreed.Version, 15*time.Second); err != nil {
		return broken, err
	}
	if e.trouble { // two of three lost at once, then the third one comes back first
		g.kill(g.members[0])
		g.kill(g.members[1])
	}
	check("two lost", 2*time.Second)
	if e.trouble {
		g.kill(n3)
		time.Sleep(time.Second)
		if err := g.start(n3); err != nil {
			return broken, err
		}
	}
	if err := n3.process.waitReady(n3.listen, 15*time.Second); err != nil {
		return broken, err
	}
	e.rec.note("n3: ready")
	check("two lost and one restarted", 6*time.Second)
	for _, m := range g.members {
		if m.process.running() {
			m.process.signal(syscall.SIGTERM)
		}
	}
	return broken, nil
}
