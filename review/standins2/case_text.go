//go:build review2

package main

import (
	"fmt"
	"path/filepath"
	"time"
)

// playText: a client sends a query whose text is no text: half of a surrogate pair.
func playText(w *world) (broken []string) {
	f := w.newFleet(6, 3, 20*time.Millisecond)
	d := w.newDiscovery(41, f.entries)
	listen := w.freeAddr()
	p := w.startBroker("n1", config("n1", listen, d.addr, &list{41, true, f.entries},
		map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, settings(nil)), filepath.Join(w.dir, "tmp"))
	w.awaitReady(p, listen)
	good := []struct{ escaped, text string }{{`c41e\ud83d\udcc877d0`, "c41e\U0001F4C877d0"}, {"c41e77d0", "c41e77d0"}}
	asked := map[string]string{} // by id: the text that a client asked for
	ask := func(i int, escaped string) answer {
		id := fmt.Sprintf("t%02d", i)
		r := &request{wait: 3*time.Second + slack, raw: query("screen", id, "", nil, 3000,
			fmt.Sprintf(`{"targets":[{"partition":%d,"share":1}],"query":"%s"}`, i%18, escaped))}
		a := r.send(listen)
		w.logf("client: %s asks for \"%s\": %d %q, error %v", id, escaped, a.status, a.body, a.err)
		return a
	}
	for i := range 12 {
		asked[fmt.Sprintf("t%02d", i)] = good[i%2].text
		ask(i, good[i%2].escaped)
	}
	if w.trouble {
		for i, escaped := range []string{`c41e\ud83d77d0`, `c41e\udcc877d0`, `\ud83d`, `a\ud83d\ud83db`} {
			if a := ask(20+i, escaped); a.status == 200 {
				broken = append(broken, fmt.Sprintf("t%d, whose text cannot be read, was served: %d %s", 20+i, a.status, a.body))
			}
		}
	}
	for _, s := range f.servers {
		for _, part := range s.got() {
			if text, ok := asked[part.id[:3]]; !ok || text != part.text {
				broken = append(broken, fmt.Sprintf("server %s got part %s with the text %q, which no client asked for", s.id, part.id, part.text))
			}
		}
	}
	return broken
}
