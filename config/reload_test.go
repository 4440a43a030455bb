package config

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"testing"

	"onyxsail/internal/testkit"
)

// configInUse returns a parsed configuration and its file, in the platform's form.
func configInUse(t testing.TB, change func(settings map[string]any)) (*Config, []byte) {
	t.Helper()
	data := testkit.Config("127.0.0.1:1", nil, testkit.Settings(change), map[string]any{"console": "127.0.0.1:2"})
	c, err := Parse(data, noEnv)
	if err != nil {
		t.Fatal(err)
	}
	return c, data
}

// reloadData reloads from a file with the given content.
func reloadData(t testing.TB, data []byte, old *Config) (*Config, error) {
	t.Helper()
	path := testkit.WriteTempFile(t, data)
	return Reload(path, noEnv, old)
}

// editFile applies a change to the JSON object of a file and returns the new file.
func editFile(t *testing.T, data []byte, change func(file, settings map[string]any)) []byte {
	t.Helper()
	return testkit.EditConfig(t, data, func(file map[string]any) { change(file, file["settings"].(map[string]any)) })
}

// Guards against a reload accepting a file that lacks any key of the file in use, or whose
// deadline or number of attempts would fail every query.
func TestReloadRejectsMissingKeysAndInvalidLimits(t *testing.T) {
	old, data := configInUse(t, nil)
	if _, err := reloadData(t, data, old); err != nil {
		t.Fatalf("an unchanged file: got %v, want no error", err)
	}
	firstClass := func(settings map[string]any) map[string]any {
		return settings["classes"].([]any)[0].(map[string]any)
	}
	for _, name := range []string{"name", "listen", "discovery", "console", "seed", "limits", "known", "settings"} {
		got, err := reloadData(t, editFile(t, data, func(file, _ map[string]any) { delete(file, name) }), old)
		if err == nil || got != nil || !strings.Contains(err.Error(), name) {
			t.Errorf("without %s: got %v, want an error that names it", name, err)
		}
	}
	var all map[string]any
	_ = json.Unmarshal(data, &all)
	for name := range all["settings"].(map[string]any) {
		_, err := reloadData(t, editFile(t, data, func(_, s map[string]any) { delete(s, name) }), old)
		if err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("without settings.%s: got %v, want an error that names it", name, err)
		}
	}
	for name := range firstClass(all["settings"].(map[string]any)) {
		_, err := reloadData(t, editFile(t, data, func(_, s map[string]any) { delete(firstClass(s), name) }), old)
		if err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("without settings.classes[].%s: got %v, want an error that names it", name, err)
		}
	}
	for _, value := range []any{0, -1, "soon", "1000", nil, true, []any{1}, map[string]any{}} {
		_, err := reloadData(t, editFile(t, data, func(_, s map[string]any) { firstClass(s)["deadlineMs"] = value }), old)
		if err == nil || !strings.Contains(err.Error(), "deadlineMs") {
			t.Errorf("a deadline of %v: got %v, want an error that names deadlineMs", value, err)
		}
		_, err = reloadData(t, editFile(t, data, func(_, s map[string]any) { s["caps"].(map[string]any)["maxAttempts"] = value }), old)
		if err == nil || !strings.Contains(err.Error(), "maxAttempts") {
			t.Errorf("a maximum of %v attempts: got %v, want an error that names maxAttempts", value, err)
		}
	}
	withLogLevel := testkit.Config("127.0.0.1:1", nil, testkit.Settings(nil), map[string]any{"console": "127.0.0.1:2", "log_level": "debug"})
	oldWithLogLevel, err := Parse(withLogLevel, noEnv)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := reloadData(t, editFile(t, withLogLevel, func(file, _ map[string]any) { delete(file, "log_level") }), oldWithLogLevel); err != nil {
		t.Errorf("without an operator's field: got %v, want no error", err)
	}
}

// Guards against classes changing their index over a series of reloads, which would apply
// the settings of one class to queries of another, and against the number of classes
// growing without limit.
func TestReloadKeepsClassIndexes(t *testing.T) {
	old, data := configInUse(t, nil)
	class := func(s map[string]any, i int) map[string]any { return s["classes"].([]any)[i].(map[string]any) }
	// screen is removed, edit gets a stricter effect, bulk is added, and the rest is reordered
	second := editFile(t, data, func(_, s map[string]any) {
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
	c, err := reloadData(t, second, old)
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
			t.Fatalf("got %+v, want as many classes as expected so far", c.Classes)
		}
		for i, w := range want {
			if got := c.Classes[i]; got.Name != w.name || got.Retired != w.retired || got.settings != c.Settings.Classes[i] {
				t.Errorf("class %d: got %+v, want %+v and the settings at its index", i, got, w)
			}
		}
	}
	check(c)
	if c.Classes[1].Keyed == c.Classes[5].Keyed {
		t.Error("the class with the stricter effect has the same effect as the old one")
	}
	for range 3 { // going back and forth adds no index
		if c, err = reloadData(t, data, c); err != nil {
			t.Fatal(err)
		}
		for i := range want {
			want[i].retired = i > 3
		}
		check(c)
		if c, err = reloadData(t, second, c); err != nil {
			t.Fatal(err)
		}
		for i := range want {
			want[i].retired = i < 2
		}
		check(c)
	}
	for i := 0; ; i++ { // ever new classes reach the limit
		next, err := reloadData(t, editFile(t, data, func(_, s map[string]any) { class(s, 0)["objectiveMs"] = 1 + i }), c)
		if err != nil {
			if len(c.Classes) < maxClasses-1 || !strings.Contains(err.Error(), "settings.classes") {
				t.Errorf("after %d classes: got %v, want an error about settings.classes, and only at maxClasses", len(c.Classes), err)
			}
			break
		}
		if c = next; len(c.Classes) > maxClasses {
			t.Fatalf("%d classes, more than maxClasses", len(c.Classes))
		}
	}
}

// Guards against accepting a file that is truncated at any byte and followed by one more.
func FuzzReload(f *testing.F) {
	old, data := configInUse(f, nil)
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
		if c, err := Reload(path, noEnv, old); err == nil || c != nil {
			t.Errorf("truncated at %d, then %q: accepted", n, last)
		}
	})
}
