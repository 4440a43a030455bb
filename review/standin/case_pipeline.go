//go:build review

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// playPipeline sends 18 requests at once on one connection, and reads the answers until half a
// second after the last one's time. The first takes longer than the others. The 17th is of the
// class that vanishes.
func playPipeline(e *env, addr, name string) ([]*pipelinedRequest, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, setupError("%v", err)
	}
	defer conn.Close()
	var all []*pipelinedRequest
	var data bytes.Buffer
	for i := 1; i <= 18; i++ {
		r := &pipelinedRequest{id: fmt.Sprintf("%s-%d", name, i), class: "multi-quote", deadline: 3 * time.Second}
		text, key := "light", ""
		switch i {
		case 1:
			r.class, text = "screen", "heavy"
			r.deadline = 4 * time.Second
		case 17:
			r.class, key = "watchlist-edit", "key-"+name
			r.deadline = 2500 * time.Millisecond
		}
		encodeRequest(&data, r, key, text, i%18)
		all = append(all, r)
	}
	sent := time.Now()
	if _, err := conn.Write(data.Bytes()); err != nil {
		return nil, setupError("%v", err)
	}
	e.rec.note("%s: 18 requests sent at once", name)
	_ = conn.SetReadDeadline(sent.Add(4*time.Second + 500*time.Millisecond))
	reader := bufio.NewReader(conn)
	for _, r := range all {
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			e.rec.note("%s: no answer to %s (%s): %v", name, r.id, r.class, err)
			break
		}
		body, err := io.ReadAll(res.Body)
		res.Body.Close()
		if err != nil {
			e.rec.note("%s: half an answer to %s: %v", name, r.id, err)
			break
		}
		r.status, r.answered = res.StatusCode, time.Now()
		e.rec.note("%s: %s (%s) answered %d after %d ms: %.60s", name, r.id, r.class, r.status, r.answered.Sub(sent).Milliseconds(), body)
		if late := r.answered.Sub(sent) - r.deadline - 500*time.Millisecond; late > 0 {
			e.rec.note("%s: %s was answered %v too late", name, r.id, late)
			r.status = 0
		}
	}
	return all, nil
}

func init() { cases["pipeline-reload"] = pipelineReload }

// pipelineReload: clients send 18 requests at once on a connection. Before, a new configuration
// has taken away a class that they still ask for.
func pipelineReload(e *env) (broken []string, err error) {
	var entries []entry
	work := func(query string, _ int) time.Duration {
		if query == "heavy" {
			return 400 * time.Millisecond
		}
		return 90 * time.Millisecond
	}
	for i := range 2 {
		n, err := startFrameNode(e.rec, fmt.Sprintf("s-%d", i), 0)
		if err != nil {
			return nil, setupError("%v", err)
		}
		n.workOf = work
		entries = append(entries, entry{ID: n.id, Addr: n.addr, Zone: "neihu", Kind: "std-2c", State: "in_service", Weight: 1})
	}
	disc, err := startDiscovery(entries)
	if err != nil {
		return nil, setupError("%v", err)
	}
	addrs, err := freePorts(1)
	if err != nil {
		return nil, setupError("%v", err)
	}
	config := map[string]any{
		"name": "n1", "listen": addrs[0], "discovery": disc.addr, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  map[string]any{"version": 1, "full": true, "servers": entries}, "settings": settings(1, 0),
	}
	p, err := startBroker(e.root, e.dir, "n1", config)
	if err != nil {
		return nil, setupError("%v", err)
	}
	defer p.kill()
	if err := p.waitReady(addrs[0], 15*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(1500 * time.Millisecond)
	if e.trouble { // the class watchlist-edit vanishes
		s := settings(1, 0)
		s["classes"] = s["classes"].([]any)[:2]
		domain := s["domain"].(map[string]any)
		for _, name := range []string{"needByClass", "minShare", "partialEarns"} {
			domain[name] = domain[name].([]float64)[:2]
		}
		config["settings"] = s
		data, _ := json.MarshalIndent(config, "", "  ")
		path := filepath.Join(e.dir, "n1.json")
		if err := os.WriteFile(path+".new", data, 0o600); err != nil {
			return nil, setupError("%v", err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			return nil, setupError("%v", err)
		}
		p.signal(syscall.SIGHUP)
		e.rec.note("SIGHUP: the class watchlist-edit has vanished")
	}
	time.Sleep(1500 * time.Millisecond)
	var wg sync.WaitGroup
	var mu sync.Mutex
	for c := range 3 {
		wg.Go(func() {
			all, playErr := playPipeline(e, addrs[0], fmt.Sprintf("c%d", c))
			mu.Lock()
			defer mu.Unlock()
			if playErr != nil {
				err = playErr
			}
			for _, r := range all {
				if r.status == 0 {
					broken = append(broken, fmt.Sprintf("request %s (%s) got no final answer", r.id, r.class))
				}
			}
		})
	}
	wg.Wait()
	if p.crashed() {
		broken = append(broken, "the broker's process ended by itself")
	}
	return broken, err
}
