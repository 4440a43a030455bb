//go:build review2

package main

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// playTraces: a broker that keeps traces in a folder is replaced by a second process; later queries
// miss their time, and the broker is killed.
func playTraces(w *world) (broken []string) {
	f := w.newFleet(6, 3, 30*time.Millisecond)
	d := w.newDiscovery(41, f.entries)
	listen, traces, tmp := w.freeAddr(), filepath.Join(w.dir, "traces"), filepath.Join(w.dir, "tmp")
	start := func(name string) *process {
		c := config("n1", listen, d.addr, &list{41, true, f.entries}, map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, settings(nil))
		c["console"] = w.freeAddr()
		c["tracing"] = map[string]any{"dir": traces}
		p := w.startBroker(name, c, tmp)
		for i := 0; ; i++ {
			a := (&request{raw: "GET /-/ready HTTP/1.1\r\nHost: b\r\n\r\n", wait: time.Second}).send(c["console"].(string))
			if a.status == 200 {
				break
			}
			if i > 300 {
				w.cannot("%s does not say yes: %s", name, tail(p.out()))
			}
			time.Sleep(20 * time.Millisecond)
		}
		w.logf("%s says yes", name)
		return p
	}
	running := start("first")
	ask := func(id string) answer {
		return (&client{w: w, listen: listen, class: "multi-quote", shards: []int{1, 5, 9}, deadlineMs: 900}).ask(id, "")
	}
	for i := range 5 {
		ask(fmt.Sprintf("before%d", i))
	}
	if w.trouble {
		second := start("second")
		w.signal(running, syscall.SIGTERM)
		select {
		case <-running.ended:
		case <-time.After(4 * time.Second):
			w.cannot("the first process does not end")
		}
		running = second
	}
	for _, s := range f.servers {
		s.hangs.Store(true)
	}
	w.logf("all servers hang")
	var bad []string
	for i := range 5 {
		id := fmt.Sprintf("bad%d", i)
		if a := ask(id); a.status != 200 {
			bad = append(bad, id)
		}
	}
	time.Sleep(3 * time.Second) // a trace can be read about a second after its query ended
	w.signal(running, syscall.SIGKILL)
	<-running.ended
	out, err := exec.Command("bin/gannetchute", "trace", "list", "--dir", traces, "--open", "--json").CombinedOutput()
	w.logf("trace list: %v: %s", err, out)
	if err != nil {
		w.cannot("trace list: %v %s", err, out)
	}
	for _, id := range bad {
		if !strings.Contains(string(out), id) {
			broken = append(broken, fmt.Sprintf("%s failed, and no trace of it is left", id))
		}
	}
	return broken
}
