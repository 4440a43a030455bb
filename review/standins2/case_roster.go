//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// member is one instance of a group with a replicated store.
type member struct {
	name, listen, flight, raft string
	discovery                  *discovery
	config                     map[string]any
	process                    *process
}

// startGroup starts a group of three with a discovery agent each.
func (w *world) startGroup(version int64, entries []entry, edit func(map[string]any)) []*member {
	var members []*member
	var peers []map[string]any
	for i := range 3 {
		m := &member{name: fmt.Sprintf("n%d", i+1), listen: w.freeAddr(), flight: w.freeAddr(), raft: w.freeAddr(), discovery: w.newDiscovery(version, entries)}
		members = append(members, m)
		peers = append(peers, map[string]any{"name": m.name, "raft": m.raft, "flight": m.flight})
	}
	for i, m := range members {
		m.config = config(m.name, m.listen, m.discovery.addr, nil, map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
			settings(func(s map[string]any) {
				s["index"] = i
				if edit != nil {
					edit(s)
				}
			}))
		m.config["flight"] = map[string]any{"listen": m.flight}
		m.config["store"] = map[string]any{"dir": filepath.Join(w.dir, "store-"+m.name), "peers": peers}
		w.startMember(m)
	}
	for _, m := range members {
		w.awaitReady(m.process, m.listen)
	}
	return members
}

// startMember starts a member.
func (w *world) startMember(m *member) {
	m.process = w.startBroker(m.name, m.config, filepath.Join(w.dir, "tmp-"+m.name))
}

// role returns a member's role in the group, "" if it does not answer.
func (w *world) role(m *member) string {
	out, err := exec.Command("bin/gannetchute", "status", "--addr", m.flight).Output()
	var status struct {
		Store struct {
			Role string `json:"role"`
		} `json:"store"`
	}
	if err != nil || json.Unmarshal(out, &status) != nil {
		return ""
	}
	return status.Store.Role
}

// awaitLeader returns the leader and a follower.
func (w *world) awaitLeader(members []*member) (leader, follower *member) {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		leader, follower = nil, nil
		for _, m := range members {
			switch w.role(m) {
			case "Leader":
				leader = m
			case "Follower":
				follower = m
			}
		}
		if leader != nil && follower != nil {
			w.logf("%s leads, %s follows", leader.name, follower.name)
			return leader, follower
		}
	}
	w.cannot("the group has no leader after 20 s")
	return nil, nil
}

// playRoster: a follower is told that a server drains, some seconds before the others are. Discovery
// goes down, and the follower is killed and comes back with its store.
func playRoster(w *world) (broken []string) {
	const drainGrace = 550 * time.Millisecond // 500 ms, and 50 ms on sockets
	f := w.newFleet(4, 1, 30*time.Millisecond)
	members := w.startGroup(41, f.entries, func(s map[string]any) { s["domain"].(map[string]any)["cells"] = 1 })
	_, follower := w.awaitLeader(members)
	time.Sleep(3 * time.Second) // the first list is stored
	stop := make(chan struct{})
	asked := make(chan struct{})
	go func() {
		defer close(asked)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(40 * time.Millisecond):
			}
			c := &client{w: w, listen: follower.listen, class: "multi-quote", shards: []int{i % 18, (i + 5) % 18, (i + 10) % 18}, deadlineMs: 1800}
			go c.ask(fmt.Sprintf("r%04d", i), "")
		}
	}()
	time.Sleep(time.Second)
	drained := f.servers[0]
	later := append([]entry(nil), f.entries...)
	later[0].State = "terminating"
	told := time.Now()
	follower.discovery.set(42, later)
	time.Sleep(2 * time.Second)
	for _, m := range members {
		m.discovery.silent.Store(true)
	}
	w.logf("discovery is down")
	if w.trouble {
		w.signal(follower.process, syscall.SIGKILL)
		<-follower.process.ended
		time.Sleep(time.Second)
		w.startMember(follower)
		w.awaitReady(follower.process, follower.listen)
	}
	time.Sleep(3 * time.Second)
	for _, m := range members {
		m.discovery.silent.Store(false)
		m.discovery.set(43, later)
	}
	w.logf("discovery is back")
	time.Sleep(time.Second)
	close(stop)
	<-asked
	count := 0
	var first, last part
	for _, p := range drained.got() {
		if p.at.Sub(told) > drainGrace {
			if count == 0 {
				first = p
			}
			count, last = count+1, p
		}
	}
	if count > 0 {
		broken = append(broken, fmt.Sprintf("%s was sent %d parts by %s from %.3f to %.3f s after %s had been told that it drains, the first one %s",
			drained.id, count, follower.name, first.at.Sub(told).Seconds(), last.at.Sub(told).Seconds(), follower.name, first.id))
	}
	return broken
}
