//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// playSecondStep: a new configuration brings a class with a second step, and clients use it. An answer
// marked whole must have the values of the second step.
func playSecondStep(w *world) (broken []string) {
	const fetched = 2 // parts of the second step
	f := w.newFleet(12, 3, 30*time.Millisecond)
	d := w.newDiscovery(41, f.entries)
	listen := w.freeAddr()
	limits := map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}
	p := w.startBroker("n1", config("n1", listen, d.addr, &list{41, true, f.entries}, limits, settings(nil)), filepath.Join(w.dir, "tmp"))
	w.awaitReady(p, listen)
	ask := func(class, id string, shards []int, deadlineMs int) answer {
		return (&client{w: w, listen: listen, class: class, shards: shards, deadlineMs: deadlineMs}).ask(id, "")
	}
	for i := range 10 {
		ask("multi-quote", fmt.Sprintf("before%d", i), []int{i, i + 4, i + 8}, 3000)
	}
	time.Sleep(time.Second) // never in the first second
	if w.trouble {
		next := config("n1", listen, d.addr, &list{41, true, f.entries}, limits, settings(func(s map[string]any) {
			s["classes"] = append(s["classes"].([]any), map[string]any{"name": "district-report", "idempotency": "safe", "objectiveMs": 3000.0,
				"deadlineMs": 7500.0, "lateShare": 0.3, "windowMs": 5000.0, "worth": 2.0})
			domain := s["domain"].(map[string]any)
			domain["needByClass"], domain["minShare"] = []float64{1, 1, 1, 1}, []float64{1, 1, 1, 1}
			domain["partialEarns"], domain["classFetch"] = []float64{0.9, 0.9, 0.9, 0.9}, []int{0, 0, 0, fetched}
		}))
		data, err := json.MarshalIndent(next, "", "  ")
		if err == nil {
			err = os.WriteFile(filepath.Join(w.dir, "next.json"), data, 0o600)
		}
		if err == nil { // whole, by a rename
			err = os.Rename(filepath.Join(w.dir, "next.json"), filepath.Join(w.dir, "n1.json"))
		}
		if err != nil {
			w.cannot("the new configuration: %v", err)
		}
		w.signal(p, syscall.SIGHUP)
	}
	time.Sleep(1500 * time.Millisecond) // a class is used after 1.2 s
	for i := range 10 {
		id := fmt.Sprintf("report%d", i)
		a := ask("district-report", id, []int{i, i + 3, i + 5, i + 7}, 5000)
		if a.status != 200 || !strings.Contains(a.body, `"whole":true`) {
			continue // refused, failed, or not marked whole
		}
		steps, values := 0, 0
		for _, s := range f.servers {
			for _, part := range s.got() {
				if strings.HasPrefix(part.id, id+".") && strings.HasSuffix(part.id, ".p2") {
					steps++
					if strings.Contains(a.body, value(part.id)) {
						values++
					}
				}
			}
		}
		if values < fetched {
			broken = append(broken, fmt.Sprintf("%s was answered as whole with the values of %d parts of its second step, of %d; servers got %d such parts", id, values, fetched, steps))
		}
	}
	return broken
}
