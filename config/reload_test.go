package config

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"testing"

	"onyxsail/internal/testkit"
)

// running is a configuration in use and the file that it came from, as the platform writes
// it.
func running(t testing.TB, change func(settings map[string]any)) (*Config, []byte) {
	t.Helper()
	data := testkit.Config("127.0.0.1:1", nil, testkit.Settings(change), map[string]any{"console": "127.0.0.1:2"})
	c, err := Parse(data, none)
	if err != nil {
		t.Fatal(err)
	}
	return c, data
}

func reload(t testing.TB, data []byte, old *Config) (*Config, error) {
	t.Helper()
	path := testkit.WriteTempFile(t, data)
	return Reload(path, none, old)
}

// edit changes a file's tree.
func edit(t *testing.T, data []byte, change func(file, settings map[string]any)) []byte {
	t.Helper()
	return testkit.EditConfig(t, data, func(file map[string]any) { change(file, file["settings"].(map[string]any)) })
}

// A file without a key that the one in use has is turned down whole, whichever it is, and
// so is one with a figure that no query could run under.
func TestReloadTurnsDown(t *testing.T) {
	old, data := running(t, nil)
	if _, err := reload(t, data, old); err != nil {
		t.Fatalf("unchanged: %v", err)
	}
	first := func(settings map[string]any) map[string]any {
		return settings["classes"].([]any)[0].(map[string]any)
	}
	for _, name := range []string{"name", "listen", "discovery", "console", "seed", "limits", "known", "settings"} {
		got, err := reload(t, edit(t, data, func(file, _ map[string]any) { delete(file, name) }), old)
		if err == nil || got != nil || !strings.Contains(err.Error(), name) {
			t.Errorf("without %s: %v", name, err)
		}
	}
	var all map[string]any
	_ = json.Unmarshal(data, &all)
	for name := range all["settings"].(map[string]any) {
		_, err := reload(t, edit(t, data, func(_, s map[string]any) { delete(s, name) }), old)
		if err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("without settings.%s: %v", name, err)
		}
	}
	for name := range first(all["settings"].(map[string]any)) {
		_, err := reload(t, edit(t, data, func(_, s map[string]any) { delete(first(s), name) }), old)
		if err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("without settings.classes[].%s: %v", name, err)
		}
	}
	for _, value := range []any{0, -1, "soon", "1000", nil, true, []any{1}, map[string]any{}} {
		_, err := reload(t, edit(t, data, func(_, s map[string]any) { first(s)["deadlineMs"] = value }), old)
		if err == nil || !strings.Contains(err.Error(), "deadlineMs") {
			t.Errorf("a deadline of %v: %v", value, err)
		}
		_, err = reload(t, edit(t, data, func(_, s map[string]any) { s["caps"].(map[string]any)["maxAttempts"] = value }), old)
		if err == nil || !strings.Contains(err.Error(), "maxAttempts") {
			t.Errorf("%v attempts: %v", value, err)
		}
	}
	own := testkit.Config("127.0.0.1:1", nil, testkit.Settings(nil), map[string]any{"console": "127.0.0.1:2", "log_level": "debug"})
	verbose, err := Parse(own, none)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := reload(t, edit(t, own, func(file, _ map[string]any) { delete(file, "log_level") }), verbose); err != nil {
		t.Errorf("without a field of the operator's own: %v", err)
	}
}

// Classes keep their indexes by name and description through a series of files.
func TestReloadFollowsClasses(t *testing.T) {
	old, data := running(t, nil)
	class := func(s map[string]any, i int) map[string]any { return s["classes"].([]any)[i].(map[string]any) }
	// screen goes, edit has a stricter effect, bulk comes, the rest change places
	second := edit(t, data, func(_, s map[string]any) {
		edited, order, part := class(s, 1), class(s, 2), class(s, 3)
		edited["idempotency"] = "unsafe"
		bulk := map[string]any{}
		for k, v := range part {
			bulk[k] = v
		}
		bulk["name"] = "bulk"
		s["classes"] = []any{bulk, order, edited, part}
		s["domain"].(map[string]any)["minShare"] = []any{1.0, 1.0, 1.0, 0.5}
	})
	c, err := reload(t, second, old)
	if err != nil {
		t.Fatal(err)
	}
	want := []struct {
		name    string
		retired bool
	}{{"screen", true}, {"edit", true}, {"order", false}, {"part", false}, {"bulk", false}, {"edit", false}}
	check := func(c *Config) {
		t.Helper()
		if len(c.Classes) != len(want) || len(c.Settings.Classes) != len(want) {
			t.Fatalf("got %+v", c.Classes)
		}
		for i, w := range want {
			if got := c.Classes[i]; got.Name != w.name || got.Retired != w.retired || got.settings != c.Settings.Classes[i] {
				t.Errorf("%d: got %+v, want %+v", i, got, w)
			}
		}
	}
	check(c)
	if c.Classes[1].Keyed == c.Classes[5].Keyed {
		t.Error("the stricter effect is not told apart")
	}
	for range 3 { // back and forth: no further index
		if c, err = reload(t, data, c); err != nil {
			t.Fatal(err)
		}
		for i := range want {
			want[i].retired = i > 3
		}
		check(c)
		if c, err = reload(t, second, c); err != nil {
			t.Fatal(err)
		}
		for i := range want {
			want[i].retired = i < 2
		}
		check(c)
	}
	for i := 0; ; i++ { // but for ever new ones there is an end
		next, err := reload(t, edit(t, data, func(_, s map[string]any) { class(s, 0)["objectiveMs"] = 1 + i }), c)
		if err != nil {
			if len(c.Classes) < maxClasses-1 || !strings.Contains(err.Error(), "settings.classes") {
				t.Errorf("after %d classes: %v", len(c.Classes), err)
			}
			break
		}
		if c = next; len(c.Classes) > maxClasses {
			t.Fatalf("%d classes", len(c.Classes))
		}
	}
}

// A file cut at any byte is never half taken.
func FuzzReload(f *testing.F) {
	old, data := running(f, nil)
	for _, n := range []uint16{0, 1, 17, uint16(len(data) / 2), uint16(len(data) - 1)} {
		f.Add(n, byte(' '))
	}
	path := testkit.WriteTempFile(f, data)
	f.Fuzz(func(t *testing.T, cut uint16, last byte) {
		n := int(cut) % len(data)
		short := append(bytes.Clone(data[:n]), last)
		if bytes.Equal(short, data) {
			return
		}
		if err := os.WriteFile(path, short, 0o600); err != nil {
			t.Fatal(err)
		}
		if c, err := Reload(path, none, old); err == nil || c != nil {
			t.Errorf("cut at %d, then %q: taken", n, last)
		}
	})
}
