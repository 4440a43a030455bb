//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["flight-spoilt"] = flightSpoilt }

// flightSpoilt: two servers speak frames, two speak Flight. Clients ask for ten seconds. From
// the third second on, one Flight server sends some answers spoilt.
func flightSpoilt(e *env) (broken []string, err error) {
	const clients, playFor = 6, 10 * time.Second
	var entries []entry
	add := func(id, addr, zone string) {
		entries = append(entries, entry{ID: id, Addr: addr, Zone: zone, Kind: "std-2c", State: "in_service", Weight: 1})
	}
	for i := range 2 {
		n, err := startFrameNode(e.rec, fmt.Sprintf("frame-%d", i), 20*time.Millisecond)
		if err != nil {
			return nil, setupError("%v", err)
		}
		add(n.id, n.addr, "neihu")
	}
	var flightNodes []*flightNode
	for i := range 2 {
		n, err := startFlightNode(e.rec, fmt.Sprintf("flight-%d", i), 20*time.Millisecond)
		if err != nil {
			return nil, setupError("%v", err)
		}
		n.spoil = misfit
		flightNodes = append(flightNodes, n)
		add(n.id, n.addr, "neihu")
	}
	disc, err := startDiscovery(entries)
	if err != nil {
		return nil, setupError("%v", err)
	}
	addrs, err := freePorts(1)
	if err != nil {
		return nil, setupError("%v", err)
	}
	p, err := startBroker(e.root, e.dir, "n1", map[string]any{
		"name": "n1", "listen": addrs[0], "discovery": disc.addr, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  map[string]any{"version": 1, "full": true, "servers": entries}, "settings": settings(1, 0),
	})
	if err != nil {
		return nil, setupError("%v", err)
	}
	defer p.kill()
	if err := p.waitReady(addrs[0], 15*time.Second); err != nil {
		return nil, err
	}
	e.rec.note("the broker is ready")
	start := time.Now()
	if e.trouble {
		time.AfterFunc(3*time.Second, func() {
			e.rec.note("%s begins to spoil answers", flightNodes[0].id)
			flightNodes[0].spoilNow.Store(true)
		})
	}
	var mu sync.Mutex
	var replies []reply
	var wg sync.WaitGroup
	for c := range clients {
		wg.Go(func() {
			client := newHTTPClient(addrs[0])
			for i := 0; time.Since(start) < playFor && p.running(); i++ {
				id := fmt.Sprintf("c%d-%d", c, i)
				shards := rand.Perm(18)[:4]
				r := client.query(id, "multi-quote", "", 3*time.Second, shards, "q"+id)
				e.rec.note("client %d: request %s: status %d, whole %v, %v after %d ms", c, id, r.status, r.whole, r.err, r.done.Sub(r.sent).Milliseconds())
				mu.Lock()
				replies = append(replies, r)
				mu.Unlock()
				time.Sleep(time.Duration(100+rand.IntN(100)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	crashed := p.crashed()
	counts := map[int]int{}
	lost := 0
	for _, r := range replies {
		counts[r.status]++
		if r.status == 0 {
			lost++
		}
		if r.status == http.StatusOK {
			for shard, v := range r.values {
				if v != partValue("q"+r.id, shard) {
					broken = append(broken, fmt.Sprintf("request %s was served with %q for shard %d", r.id, v, shard))
				}
			}
		}
	}
	e.rec.say("%d requests, by status %v; spoilt answers %d", len(replies), counts, flightNodes[0].spoilt.Load())
	if crashed {
		broken = append(broken, fmt.Sprintf("the broker's process ended by itself (%v)", p.cmd.ProcessState))
		e.rec.say("last lines of its log:\n%s", p.logTail(1500))
	} else {
		p.signal(syscall.SIGTERM)
	}
	if lost > 0 {
		broken = append(broken, fmt.Sprintf("%d requests got no final answer", lost))
	}
	return broken, nil
}
