//go:build review2

package main

import (
	"bytes"
	"fmt"
	"path/filepath"
	"time"
)

// playFlight: clients ask once over Flight and keep their connection, and later clients ask.
func playFlight(w *world) (broken []string) {
	const sockets, deadline = 256, 3 * time.Second
	f := w.newFleet(12, 3, 40*time.Millisecond)
	d := w.newDiscovery(41, f.entries)
	listen, flightListen := w.freeAddr(), w.freeAddr()
	c := config("n1", listen, d.addr, &list{41, true, f.entries}, map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": sockets}, settings(nil))
	c["flight"] = map[string]any{"listen": flightListen}
	p := w.startBroker("n1", c, filepath.Join(w.dir, "tmp"))
	w.awaitReady(p, listen)
	for i := range 40 { // fewer than a sixth of the descriptors
		id := fmt.Sprintf("f%02d", i)
		shards := []int{i % 18, (i + 5) % 18, (i + 10) % 18}
		client, err := dialFlight(flightListen)
		if err != nil {
			w.cannot("a Flight client: %v", err)
		}
		a := client.ask("multi-quote", id, shards, deadline, deadline+slack)
		whole := a.status == "0"
		for _, s := range shards {
			whole = whole && bytes.Contains(a.data, []byte(value(fmt.Sprintf("%s.%d", id, s))))
		}
		w.logf("Flight client %s: shards %v, time %v: grpc-status %q, whole %v, error %v, after %v", id, shards, deadline, a.status, whole, a.err, a.took)
		switch {
		case a.status == "":
			broken = append(broken, fmt.Sprintf("%s got no final answer within its time and half a second: %v", id, a.err))
			_ = client.conn.Close()
		case w.trouble:
			go client.keep()
		default:
			_ = client.conn.Close()
		}
	}
	return broken
}
