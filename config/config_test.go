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

// noEnv is a getenv without any variable set.
func noEnv(string) string { return "" }

// Guards against values of the platform's file being lost or converted to a wrong unit, and
// against NODE_NAME not taking precedence over the file.
func TestParsePlatformFile(t *testing.T) {
	n := testkit.Entry{ID: "a", Addr: "127.0.0.1:9", Zone: "banqiao", Kind: "std-2c", State: "in_service", Weight: 1}
	data := testkit.Config("127.0.0.1:1", []testkit.Entry{n}, testkit.Settings(nil), nil)
	c, err := Parse(data, func(name string) string { return map[string]string{"NODE_NAME": "n9"}[name] })
	if err != nil {
		t.Fatal(err)
	}
	s := c.Settings
	if c.Name != "n9" || c.Seed != 0x8c1f30d27a5be964 || c.Limits.MemoryMB != 192 || c.StreamsPerConn != 32 ||
		c.ConnectTimeout != 250*time.Millisecond || c.ServerIdleTimeout != 30*time.Second || len(c.Known.Nodes) != 1 || c.Known.Nodes[0].Zone != 1 {
		t.Errorf("got %+v, want the values of the file with the name of NODE_NAME", c)
	}
	if len(s.Classes) != 4 || s.Classes[1].Effect != decide.Keyed || s.Classes[3].MinShare != 0.5 || s.MaxAttempts != 3 ||
		!s.AllowCopies || s.Shards != 18 || c.Classes[1].Name != "edit" || !c.Classes[1].Keyed || c.Classes[0].Keyed {
		t.Errorf("got settings %+v, want those of the file", s)
	}
}

// Guards against a field that the platform adds to its file preventing the start: all
// brokers once refused to start because of "admin", and later of "console". Such a field
// gives a warning that names it. check-config, which is for authors of files, reports it
// as an error.
func TestUnknownPlatformFieldsAreOnlyWarnings(t *testing.T) {
	for path, extra := range map[string]map[string]any{
		"admin":   {"admin": "10.0.0.14:9901"},
		"console": {"console": map[string]any{"any": []int{1}}},
		"known":   {"known": map[string]any{"version": 1}},
		"settings.domain.classFetch": {"settings": testkit.Settings(func(s map[string]any) {
			s["domain"].(map[string]any)["classFetch"] = []int{0, 2, 0, 0}
		})},
	} {
		data := testkit.Config("127.0.0.1:1", nil, testkit.Settings(nil), extra)
		c, err := Parse(data, noEnv)
		if err != nil || len(c.Warnings) != 1 || c.Warnings[0].Path != path || c.Settings.Classes[1].SecondStepParts != 0 {
			t.Errorf("%s: got %+v, %v, want one warning with this path", path, c, err)
		}
		if _, err := LoadStrict(testkit.WriteTempFile(t, data), noEnv); err == nil || !strings.Contains(err.Error(), path) {
			t.Errorf("%s: LoadStrict returned %v, want an error with this path", path, err)
		}
	}
}

// Guards against rejecting configurations that the platform's documentation allows.
func TestLegalConfigurationsAreAccepted(t *testing.T) {
	list := func(zone string) map[string]any {
		return map[string]any{"version": 1, "full": true, "servers": []testkit.Entry{{ID: "a", Addr: "127.0.0.1:9", Zone: zone, State: "in_service"}}}
	}
	settings := func(key string, v any) map[string]any {
		return testkit.Settings(func(s map[string]any) { s[key] = v })
	}
	for name, extra := range map[string]map[string]any{
		"few descriptors":     {"limits": map[string]any{"cores": 0.01, "memory_mb": 1, "sockets": 3}},
		"half a megabyte":     {"limits": map[string]any{"cores": 1, "memory_mb": 47.5, "sockets": 64.0, "disk_mb": 5}},
		"no limits":           {"limits": map[string]any{}},
		"a seed in words":     {"seed": "tonight's seed"},
		"a seed of a number":  {"seed": 12},
		"no seed, no list":    {"seed": nil, "known": nil},
		"no zones":            {"settings": settings("zones", []string{}), "known": list("")},
		"another zone":        {"known": list("neihu-2")},
		"a zone of two words": {"settings": settings("zones", []string{"nei hu, east"}), "known": list("nei hu, east")},
		"no tenants":          {"settings": settings("tenants", []any{})},
		"another key":         {"settings": settings("weather", map[string]any{"rain": []any{map[string]any{"mm": 3}}})},
		"connections for a month": {"settings": testkit.Settings(func(s map[string]any) {
			s["caps"].(map[string]any)["connIdleMs"] = 31 * 86.4e6
		})},
	} {
		c, err := Parse(testkit.Config("127.0.0.1:1", nil, testkit.Settings(nil), extra), noEnv)
		if err != nil || len(c.Warnings) > 0 || c.ServerIdleTimeout <= 0 {
			t.Errorf("%s: got %+v, %v, want no error and no warning", name, c, err)
		}
		if extra["known"] != nil && (c == nil || c.Known == nil || len(c.Known.Nodes) != 1) {
			t.Errorf("%s: the list in known was not read", name)
		}
		if name == "a zone of two words" && c.Known.Nodes[0].Zone != 0 || name == "another zone" && c.Known.Nodes[0].Zone >= 0 {
			t.Errorf("%s: the node is in zone %d", name, c.Known.Nodes[0].Zone)
		}
	}
}

// Guards against names in the file that are read as others: half a surrogate pair was replaced, and
// the last of two equal fields counted.
func TestAmbiguousNamesInTheFileAreErrors(t *testing.T) {
	data := string(testkit.Config("127.0.0.1:1", nil, testkit.Settings(nil), nil))
	for _, c := range []struct{ field, old, replacement string }{
		{"settings.classes[0].name", `"name":"screen"`, `"name":"screen\ud83d"`},
		{"settings.zones[1]", `"banqiao"`, `"banqiao\udcc8"`},
		{"limits.sockets", `"sockets":`, `"sockets":7,"sockets":`},
		{"listen", `"listen":`, `"listen":"127.0.0.1:7","listen":`},
	} {
		changed := strings.Replace(data, c.old, c.replacement, 1)
		if changed == data {
			t.Fatalf("%s is not in the file %s", c.old, data)
		}
		if _, err := Parse([]byte(changed), noEnv); err == nil || !strings.Contains(err.Error(), c.field+":") {
			t.Errorf("%s: got %v, want an error of this field", c.field, err)
		}
	}
}

// Guards against an invalid field being accepted, and against errors that do not name it.
func TestErrorsNameTheField(t *testing.T) {
	flight := map[string]any{"listen": "127.0.0.1:1"}
	peers := func(p ...map[string]any) map[string]any { return map[string]any{"dir": "/tmp/x", "peers": p} }
	for _, c := range []struct {
		field string
		extra map[string]any
	}{
		{"name", map[string]any{"name": ""}},
		{"listen", map[string]any{"listen": "127.0.0.1"}},
		{"discovery", map[string]any{"discovery": "nowhere"}},
		{"limits.memory_mb", map[string]any{"limits": map[string]any{"memory_mb": -1}}},
		{"limits.sockets", map[string]any{"limits": map[string]any{"sockets": "few"}}},
		{"limits.cores", map[string]any{"limits": map[string]any{"cores": "one"}}},
		{"hand_over_ms", map[string]any{"hand_over_ms": -1}},
		{"log_level", map[string]any{"log_level": "loud"}},
		{"tracing.good_share", map[string]any{"tracing": map[string]any{"good_share": 2}}},
		{"tracing.slow_quantile", map[string]any{"tracing": map[string]any{"slow_quantile": 0.2}}},
		{"tracing.budget_per_s", map[string]any{"tracing": map[string]any{"budget_per_s": -1}}},
		{"tracing.segment_kb", map[string]any{"tracing": map[string]any{"segment_kb": 4096, "spool_mb": 4}}},
		{"tracing.otlp.endpoint", map[string]any{"tracing": map[string]any{"otlp": map[string]any{"endpoint": "collector"}}}},
		{"tracing.otlp.batch", map[string]any{"tracing": map[string]any{"otlp": map[string]any{"endpoint": "127.0.0.1:1", "batch": -1}}}},
		{"budget", map[string]any{"tracing": map[string]any{"budget": 5}}},
		{"settings", map[string]any{"settings": nil}},
		{"settings.classes", map[string]any{"settings": map[string]any{}}},
		{"settings.classes[0].name", map[string]any{"settings": map[string]any{"classes": []any{map[string]any{}}}}},
		{"caps.maxAttempts", map[string]any{"settings": testkit.Settings(func(s map[string]any) {
			s["caps"].(map[string]any)["maxAttempts"] = "many"
		})}},
		{"caps.connIdleMs", map[string]any{"settings": testkit.Settings(func(s map[string]any) {
			s["caps"].(map[string]any)["connIdleMs"] = -5
		})}},
		{"flight.listen", map[string]any{"flight": map[string]any{"listen": "10.0.0.1:1"}}},
		{"flight", map[string]any{"store": peers()}},
		{"store.dir", map[string]any{"flight": flight, "store": map[string]any{}}},
		{"store.peers", map[string]any{"flight": flight, "store": peers()}},
		{"store.peers[0].raft", map[string]any{"flight": flight, "store": peers(map[string]any{"name": "n1", "raft": "0.0.0.0:1"})}},
	} {
		_, err := Parse(testkit.Config("127.0.0.1:1", nil, testkit.Settings(nil), c.extra), noEnv)
		if err == nil || !strings.Contains(err.Error(), c.field) {
			t.Errorf("%s: got %v, want an error that names this field", c.field, err)
		}
	}
	if _, err := Load("", noEnv); err == nil || !strings.Contains(err.Error(), "NODE_CONFIG") {
		t.Errorf("no file given: got %v, want an error that names NODE_CONFIG", err)
	}
	var f *FieldError
	if _, err := Load("/nowhere/at/all", noEnv); !errors.As(err, &f) || !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a missing file: got %v, want a FieldError for a file that does not exist", err)
	}
}

// Guards against the operator files in deploy being invalid or not forming one store group.
func TestOperatorFilesAreValid(t *testing.T) {
	for _, name := range []string{"n1", "n2", "n3"} {
		c, err := Load("../deploy/operator-"+name+".json", noEnv)
		if err != nil {
			t.Fatal(err)
		}
		peers, err := json.Marshal(c.Store.Peers)
		if err != nil || c.Name != name || c.Flight == nil || len(c.Store.Peers) != 3 || !strings.Contains(string(peers), c.Flight.Listen) {
			t.Errorf("the file of %s: got %+v, %v, want three peers, of which one has its Flight address", name, c, err)
		}
	}
}

// Guards against files that make the parser panic, which would prevent the start of all
// brokers or end them all at a reload, and against accepting inconsistent ones.
func FuzzParse(f *testing.F) {
	n := testkit.Entry{ID: "a", Addr: "127.0.0.1:9", Zone: "banqiao", Kind: "std-2c", State: "in_service", Weight: 1}
	f.Add(testkit.Config("127.0.0.1:1", []testkit.Entry{n}, testkit.Settings(nil), map[string]any{"console": 1}))
	f.Add([]byte(`{"name":"n","listen":"a:1","discovery":"b:2","seed":[],"limits":{"sockets":1e300},"settings":{"classes":[{"name":"x"},3]}}`))
	f.Add([]byte(`{"settings":{"classes":{"count":5},"zones":[1,{}],"tenants":[[],{}]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Parse(data, noEnv)
		if err == nil && (c.Name == "" || len(c.Classes) != len(c.Settings.Classes) || c.Limits.Sockets < 0 || c.Limits.MemoryMB < 0) {
			t.Errorf("%q: accepted an inconsistent configuration: %+v", data, c)
		}
	})
}
