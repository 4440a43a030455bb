//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["pipeline-drain"] = pipelineDrain }

// pipelineDrain: a broker is told to end (SIGTERM) while clients send requests ahead on their
// connections. The server of the first request of each stands still for half a second.
func pipelineDrain(e *env) (broken []string, err error) {
	for round := range 3 {
		inRound, err := playDrain(e, round)
		if broken = append(broken, inRound...); err != nil {
			return broken, err
		}
	}
	return broken, nil
}

// playDrain plays one broker and its end.
func playDrain(e *env, round int) (broken []string, err error) {
	const cells, serversPerCell, clients, stillFor = 2, 4, 4, 500 * time.Millisecond
	var entries []entry
	var nodes []*frameNode
	for i := range cells * serversPerCell {
		n, err := startFrameNode(e.rec, fmt.Sprintf("s-%d-%d", round, i), 30*time.Millisecond)
		if err != nil {
			return nil, setupError("%v", err)
		}
		n.workOf = func(query string, _ int) time.Duration {
			if strings.HasSuffix(query, "-first") {
				n.standStill(stillFor)
			}
			return n.work
		}
		nodes = append(nodes, n)
		entries = append(entries, entry{ID: n.id, Addr: n.addr, Zone: "neihu", Kind: "std-2c", Cell: i % cells, State: "in_service", Weight: 1})
	}
	disc, err := startDiscovery(entries)
	if err != nil {
		return nil, setupError("%v", err)
	}
	addrs, err := freePorts(1)
	if err != nil {
		return nil, setupError("%v", err)
	}
	site := settings(1, 0)
	site["domain"].(map[string]any)["cells"] = cells
	p, err := startBroker(e.root, e.dir, fmt.Sprintf("n%d", round+1), map[string]any{
		"name": "n1", "listen": addrs[0], "discovery": disc.addr, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  map[string]any{"version": 1, "full": true, "servers": entries}, "settings": site,
	})
	if err != nil {
		return nil, setupError("%v", err)
	}
	defer p.kill()
	if err := p.waitReady(addrs[0], 15*time.Second); err != nil {
		return nil, err
	}
	var all []*pipeliningClient
	for c := range clients { // their connections have served a request before
		client, err := dialPipelining(e, addrs[0], fmt.Sprintf("c%d-%d", round, c))
		if err != nil {
			return nil, err
		}
		defer client.conn.Close()
		before := &pipelinedRequest{id: client.name + "-before", class: "multi-quote", deadline: 3 * time.Second}
		if err := client.send([]*pipelinedRequest{before}, []int{c}); err != nil {
			return nil, setupError("%v", err)
		}
		if client.readAnswers(); before.status != http.StatusOK {
			return nil, setupError("a request before the disruption got %d", before.status)
		}
		all = append(all, client)
	}
	stopped := time.Now()
	if e.trouble {
		p.signal(syscall.SIGTERM)
		e.rec.note("SIGTERM")
	}
	time.Sleep(50 * time.Millisecond)
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, client := range all {
		wg.Go(func() {
			edit := func(name string) *pipelinedRequest {
				return &pipelinedRequest{id: client.name + "-" + name, class: "watchlist-edit", deadline: 2500 * time.Millisecond}
			}
			first, third := edit("first"), edit("third")
			second := &pipelinedRequest{id: client.name + "-second", class: "multi-quote", deadline: 3 * time.Second}
			if err := client.send([]*pipelinedRequest{first, second}, []int{0, 1}); err != nil { // shard 0 is in the one cell, 1 in the other
				e.rec.note("%s: the connection had ended: %v", client.name, err)
				return
			}
			time.Sleep(150 * time.Millisecond)
			if err := client.send([]*pipelinedRequest{third}, []int{3}); err != nil {
				e.rec.note("%s: the connection had ended: %v", client.name, err)
			}
			client.readAnswers()
			mu.Lock()
			defer mu.Unlock()
			for _, r := range []*pipelinedRequest{first, second, third} {
				if r.status != 0 || r.sent.IsZero() {
					continue
				}
				ran := 0
				for _, n := range nodes {
					n.mu.Lock()
					for id, times := range n.runs {
						if strings.HasPrefix(id, r.id+".") {
							ran += times
						}
					}
					n.mu.Unlock()
				}
				broken = append(broken, fmt.Sprintf("request %s (%s) got no answer; its part ran %d times", r.id, r.class, ran))
			}
		})
	}
	wg.Wait()
	if e.trouble { // as early as the platform may kill it
		time.Sleep(time.Until(stopped.Add(3700 * time.Millisecond)))
	}
	e.rec.note("the broker runs: %v", p.running())
	return broken, nil
}
