//go:build review

package main

import (
	"fmt"
	"path/filepath"
	"time"
)

func init() { cases["store-copies"] = storeCopies }

// storeCopies: a group of three agrees on a configuration. Then two of the three copies are lost
// at once: both brokers are killed and start again with an empty store.dir. The third one goes on.
func storeCopies(e *env) (broken []string, err error) {
	const rounds = 9
	for round := range rounds {
		inRound, err := playCopies(e, round)
		if broken = append(broken, inRound...); err != nil {
			return broken, err
		}
	}
	e.rec.say("%d rounds, the agreed configuration was lost in %d", rounds, len(broken))
	return broken, nil
}

// playCopies plays one round with a new group.
func playCopies(e *env, round int) (broken []string, err error) {
	inRound := &env{root: e.root, dir: filepath.Join(e.dir, fmt.Sprint(round)), trouble: e.trouble, rec: e.rec}
	disc, err := startDiscovery(nil)
	if err != nil {
		return nil, setupError("%v", err)
	}
	g, err := startGroup(inRound, disc.addr, []entry{{ID: "s-0", Addr: "127.0.0.1:9", Zone: "neihu", Kind: "std-2c", State: "in_service", Weight: 1}})
	if err != nil {
		return nil, err
	}
	defer g.stop()
	var agreed groupConfig
	for maxOpen := 41; maxOpen <= 43; maxOpen++ {
		if agreed, err = g.set(map[string]any{"max_open": maxOpen}); err != nil {
			return nil, err
		}
	}
	for _, m := range g.members {
		if err := g.waitVersion(m, agreed.Version, 10*time.Second); err != nil {
			return nil, err
		}
	}
	if e.trouble {
		for _, m := range g.members[:2] {
			g.kill(m)
		}
		for _, m := range g.members[:2] {
			m.config["store"].(map[string]any)["dir"] = filepath.Join(inRound.dir, m.name+".empty")
			if err := g.start(m); err != nil {
				return nil, err
			}
		}
	}
	time.Sleep(6 * time.Second)
	shown := map[string]groupConfig{}
	lost := false
	for _, m := range g.members {
		var c groupConfig
		if err := flightAction(m.flight, "config.get", nil, &c); err != nil {
			return nil, setupError("%s: config.get: %v", m.name, err)
		}
		shown[m.name] = c
		lost = lost || c.Version < agreed.Version
	}
	e.rec.note("round %d: agreed %+v, now %+v", round, agreed, shown)
	if lost {
		broken = append(broken, fmt.Sprintf("round %d: agreed on %+v, now %+v", round, agreed, shown))
	}
	return broken, nil
}
