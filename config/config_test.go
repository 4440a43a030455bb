package config

import (
	"encoding/json"
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"onyxsail/decide"
	"onyxsail/internal/testkit"
)

func none(string) string { return "" }

func TestParse(t *testing.T) {
	n := testkit.Entry{ID: "a", Addr: "127.0.0.1:9", Zone: "banqiao", Kind: "std-2c", State: "in_service", Weight: 1}
	data := testkit.Config("127.0.0.1:1", []testkit.Entry{n}, testkit.Settings(nil), nil)
	c, err := Parse(data, func(name string) string { return map[string]string{"NODE_NAME": "n9"}[name] })
	if err != nil {
		t.Fatal(err)
	}
	s := c.Settings
	if c.Name != "n9" || c.Seed != 0x8c1f30d27a5be964 || c.Limits.MemoryMB != 192 || c.StreamsPerConn != 32 ||
		c.ConnectTimeout != 250*time.Millisecond || c.ConnIdle != 30*time.Second || len(c.Known.Nodes) != 1 || c.Known.Nodes[0].Zone != 1 {
		t.Errorf("got %+v", c)
	}
	if len(s.Classes) != 4 || s.Classes[1].Effect != decide.Keyed || s.Classes[3].Floor != 0.5 || s.MaxAttempts != 3 ||
		!s.SecondCopies || s.Shards != 18 || c.Classes[1].Name != "edit" || !c.Classes[1].Keyed || c.Classes[0].Keyed {
		t.Errorf("settings %+v", s)
	}
}

// The platform's file may name an operators' port. All brokers refused to start
// when it first did.
func TestAdminIsNoFault(t *testing.T) {
	data := testkit.Config("127.0.0.1:1", nil, testkit.Settings(nil), map[string]any{"admin": "10.0.0.14:9901"})
	if c, err := Parse(data, none); err != nil || c.Admin != "10.0.0.14:9901" {
		t.Errorf("got %+v, %v", c, err)
	}
}

// A fault names its field.
func TestFaults(t *testing.T) {
	flight := map[string]any{"listen": "127.0.0.1:1"}
	peers := func(p ...map[string]any) map[string]any { return map[string]any{"dir": "/tmp/x", "peers": p} }
	for _, c := range []struct {
		field string
		extra map[string]any
	}{
		{"name", map[string]any{"name": ""}},
		{"listen", map[string]any{"listen": "127.0.0.1"}},
		{"discovery", map[string]any{"discovery": "nowhere"}},
		{"admin", map[string]any{"admin": "nowhere"}},
		{"admin", map[string]any{"admin": 9901}},
		{"seed", map[string]any{"seed": "xyz"}},
		{"limits.memory_mb", map[string]any{"limits": map[string]any{"memory_mb": -1}}},
		{"limits.sockets", map[string]any{"limits": map[string]any{"sockets": 3}}},
		{"limits.cores", map[string]any{"limits": map[string]any{"cores": "one"}}},
		{"hand_over_ms", map[string]any{"hand_over_ms": -1}},
		{"log_level", map[string]any{"log_level": "loud"}},
		{"lisen", map[string]any{"lisen": "x"}},
		{"tracing.good_share", map[string]any{"tracing": map[string]any{"good_share": 2}}},
		{"tracing.slow_quantile", map[string]any{"tracing": map[string]any{"slow_quantile": 0.2}}},
		{"tracing.budget_per_s", map[string]any{"tracing": map[string]any{"budget_per_s": -1}}},
		{"tracing.segment_kb", map[string]any{"tracing": map[string]any{"segment_kb": 4096, "spool_mb": 4}}},
		{"tracing.otlp.endpoint", map[string]any{"tracing": map[string]any{"otlp": map[string]any{"endpoint": "collector"}}}},
		{"tracing.otlp.batch", map[string]any{"tracing": map[string]any{"otlp": map[string]any{"endpoint": "127.0.0.1:1", "batch": -1}}}},
		{"budget", map[string]any{"tracing": map[string]any{"budget": 5}}},
		{"known", map[string]any{"known": map[string]any{"version": 1}}},
		{"settings", map[string]any{"settings": nil}},
		{"settings.classes", map[string]any{"settings": map[string]any{}}},
		{"settings.classes[0].name", map[string]any{"settings": map[string]any{"classes": []any{map[string]any{}}}}},
		{"caps.maxAttempts", map[string]any{"settings": testkit.Settings(func(s map[string]any) {
			s["caps"].(map[string]any)["maxAttempts"] = "many"
		})}},
		{"caps.connIdleMs", map[string]any{"settings": testkit.Settings(func(s map[string]any) {
			s["caps"].(map[string]any)["connIdleMs"] = -5
		})}},
		{"domain.classFetch", map[string]any{"settings": testkit.Settings(func(s map[string]any) {
			s["domain"].(map[string]any)["classFetch"] = []int{0, 2, 0, 0}
		})}},
		{"flight.listen", map[string]any{"flight": map[string]any{"listen": "10.0.0.1:1"}}},
		{"flight", map[string]any{"store": peers()}},
		{"store.dir", map[string]any{"flight": flight, "store": map[string]any{}}},
		{"store.peers", map[string]any{"flight": flight, "store": peers()}},
		{"store.peers[0].raft", map[string]any{"flight": flight, "store": peers(map[string]any{"name": "n1", "raft": "0.0.0.0:1"})}},
	} {
		_, err := Parse(testkit.Config("127.0.0.1:1", nil, testkit.Settings(nil), c.extra), none)
		if err == nil || !strings.Contains(err.Error(), c.field) {
			t.Errorf("%s: got %v", c.field, err)
		}
	}
	if _, err := Load("", none); err == nil || !strings.Contains(err.Error(), "NODE_CONFIG") {
		t.Errorf("no file: got %v", err)
	}
	var f *Field
	if _, err := Load("/nowhere/at/all", none); !errors.As(err, &f) || !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a file that is not there: got %v", err)
	}
}

// The operator's files of the repository are sound, and make one group.
func TestOperatorFiles(t *testing.T) {
	for _, name := range []string{"n1", "n2", "n3"} {
		c, err := Load("../deploy/operator-"+name+".json", none)
		if err != nil {
			t.Fatal(err)
		}
		peers, err := json.Marshal(c.Store.Peers)
		if err != nil || c.Name != name || c.Flight == nil || len(c.Store.Peers) != 3 || !strings.Contains(string(peers), c.Flight.Listen) {
			t.Errorf("%s: %+v %v", name, c, err)
		}
	}
}
