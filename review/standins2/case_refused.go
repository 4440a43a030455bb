//go:build review2

package main

import (
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// playRefused: an edit is applied, its answer is lost, the broker refuses it, and the client asks
// again as the refusal allows. The servers drop a repeat of a key for the told window and apply it
// again after that.
func playRefused(w *world) (broken []string) {
	const windowMs = 1200
	f := w.newFleet(30, 3, 40*time.Millisecond)
	edits := newLedger(w, windowMs*time.Millisecond)
	for _, s := range f.servers {
		s.applies = edits
	}
	d := w.newDiscovery(41, f.entries)
	listen := w.freeAddr()
	p := w.startBroker("n1", config("n1", listen, d.addr, &list{41, true, f.entries},
		map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, settings(nil)), filepath.Join(w.dir, "tmp"))
	w.awaitReady(p, listen)
	var asking sync.WaitGroup
	ask := func(i int) {
		if i%2 == 1 { // half of the traffic is look-ups
			lookUp := &client{w: w, listen: listen, class: "multi-quote", shards: []int{i % 18, (i + 5) % 18, (i + 10) % 18}, deadlineMs: 3000}
			asking.Go(func() { lookUp.ask(fmt.Sprintf("look%03d", i), "") })
			return
		}
		asking.Go(func() {
			key := fmt.Sprintf("key%03d", i)
			edit := &client{w: w, listen: listen, class: "watchlist-edit", shards: []int{i / 2 % 18}, deadlineMs: 2500}
			a := edit.ask(fmt.Sprintf("edit%03d", i), key)
			if a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests {
				return // not refused: the window may be over, the client does not ask again
			}
			time.Sleep(max(a.retryAfter(), clientWait))
			edit.ask(fmt.Sprintf("edit%03d-again", i), key)
		})
	}
	const perSecond = 40
	for i := range 20 * perSecond { // two troubles of 6 s: from 2 s to 8 s, and from 12 s to 18 s
		for n, from := range []int{2, 12} {
			if i != from*perSecond && i != (from+6)*perSecond || !w.trouble {
				continue
			}
			for _, s := range f.servers[6*n : 6*n+len(f.servers)/5] { // a fifth, two of each cell
				s.answersLost.Store(i == from*perSecond)
				w.logf("server %s: its answers are lost: %v", s.id, i == from*perSecond)
			}
		}
		ask(i)
		time.Sleep(time.Second / perSecond)
	}
	asking.Wait()
	for key, times := range edits.applied() {
		if len(times) > 1 {
			broken = append(broken, fmt.Sprintf("the edit %s was refused and took effect %d times: at %s", key, len(times), strings.Join(times, " and ")))
		}
	}
	return broken
}

// clientWait is how long a client waits at least before it asks again.
const clientWait = 200 * time.Millisecond
