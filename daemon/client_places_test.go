package daemon_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"onyxsail/config"
	"onyxsail/daemon"
	"onyxsail/internal/testkit"
)

// Guards against too few places for clients: they may hold a third of the descriptors with requests,
// on whichever front, and Flight clients had an eighth. Two thirds of them wait for a block whose
// nodes hang; the others must be answered meanwhile.
func TestClientsOnEitherFrontMayHoldAThirdOfTheDescriptors(t *testing.T) {
	const (
		sockets = 256
		third   = sockets / 3
		hanging = third * 2 / 3
	)
	for _, front := range []string{"http", "flight"} {
		t.Run(front, func(t *testing.T) {
			node := testkit.NewNode(t, "s-0", false)
			node.SetResponder(func(part testkit.Part) string {
				if part.Shard == 0 {
					return testkit.NeverAnswer
				}
				return testkit.Done
			})
			discovery := testkit.NewDiscovery(t, node.Entry())
			data := testkit.Config(discovery.Addr, []testkit.Entry{node.Entry()}, testkit.Settings(nil), map[string]any{
				"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": sockets}, "flight": map[string]any{"listen": "127.0.0.1:0"},
			})
			cfg, err := config.Parse(data, func(string) string { return "" })
			if err != nil {
				t.Fatal(err)
			}
			broker, err := daemon.Start(cfg, zerolog.New(io.Discard))
			if err != nil {
				t.Fatal(err)
			}
			ask := func(id string, shard int, timeout time.Duration) testkit.Reply {
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				defer cancel()
				q := testkit.Query{Class: "screen", ID: id, Shards: []int{shard}, Timeout: timeout}
				if front == "flight" {
					return testkit.QueryFlight(ctx, broker.FlightAddr().String(), q)
				}
				return testkit.QueryHTTP(ctx, broker.Addr().String(), q)
			}
			var asking sync.WaitGroup
			for i := range hanging {
				asking.Go(func() { ask(fmt.Sprintf("hangs%d", i), 0, 4*time.Second) })
			}
			testkit.Eventually(t, "all queries of the block that hangs are open", func() bool { return broker.Stats().Open == hanging })
			for i := range third - hanging {
				asking.Go(func() {
					if reply := ask(fmt.Sprintf("other%d", i), 1, 1800*time.Millisecond); reply.Outcome != "served" {
						t.Errorf("query %d of another block was %s (%v), want it served", i, reply.Outcome, reply.Err)
					}
				})
			}
			asking.Wait()
			if err := broker.Stop(context.Background()); err != nil {
				t.Error(err)
			}
		})
	}
}
