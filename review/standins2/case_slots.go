//go:build review2

package main

import (
	"fmt"
	"path/filepath"
	"sync"
	"time"
)

// playSlots: the holders of three blocks hang, queries that need these blocks wait for them, and
// clients of other blocks ask meanwhile on new connections. Together they hold a third of the
// descriptors.
func playSlots(w *world) (broken []string) {
	const (
		sockets   = 256
		servers   = 132
		cells     = 6  // one of them hangs: 22 servers of 132, 16.7%
		hungAsked = 76 // queries that need a block of the cell that hangs
		asked     = sockets / 3
	)
	f := w.newFleet(servers, cells, 60*time.Millisecond)
	d := w.newDiscovery(41, f.entries)
	listen := w.freeAddr()
	p := w.startBroker("n1", config("n1", listen, d.addr, &list{41, true, f.entries}, map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": sockets},
		settings(func(s map[string]any) {
			s["domain"].(map[string]any)["cells"] = cells
		})), filepath.Join(w.dir, "tmp"))
	w.awaitReady(p, listen)
	var asking sync.WaitGroup
	var mu sync.Mutex
	count := 0
	ask := func(class string, shards []int, deadlineMs int) {
		count++
		id := fmt.Sprintf("q%03d", count)
		c := &client{w: w, listen: listen, class: class, shards: shards, deadlineMs: deadlineMs}
		asking.Go(func() {
			if a := c.ask(id, ""); a.status == 0 {
				mu.Lock()
				defer mu.Unlock()
				broken = append(broken, fmt.Sprintf("%s (%s, %d ms) got no final answer within its time and half a second: %v", id, class, deadlineMs, a.err))
			}
		})
	}
	for i := range 60 { // usual traffic
		ask("multi-quote", []int{i % 18, (i + 5) % 18, (i + 9) % 18, (i + 13) % 18}, 3000)
		time.Sleep(30 * time.Millisecond)
	}
	asking.Wait()
	if w.trouble {
		for _, s := range f.servers {
			s.hangs.Store(s.cell == 0)
		}
		w.logf("the servers of cell 0 hang from now on")
	}
	for i := range hungAsked {
		ask("screen", []int{i % 3 * 6, 1 + i%5, 7 + i%5, 13 + i%5}, 4000)
		time.Sleep(15 * time.Millisecond)
	}
	for i := range asked - hungAsked {
		ask("multi-quote", []int{1 + i%5, 7 + (i+1)%5, 13 + (i+2)%5}, 1800) // none of the cell that hangs
	}
	asking.Wait()
	return broken
}
