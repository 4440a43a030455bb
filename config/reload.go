package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"

	"onyxsail/decide"
)

// maxClasses bounds the classes that a broker has met since its start, those that have
// vanished among them.
const maxClasses = 1024

// Reload reads the file anew for a broker that runs with old. A discovery that
// the file did not name before wins over NODE_DISCOVERY: the environment is
// that of the start and can't tell of a move. An unchanged one moves nothing.
//
// The file is turned down whole where it lacks a key that the one in use has, or where a
// deadline or the number of attempts is not a number above 0. In the result the classes
// keep the indexes that they have in old; those that the file leaves out are retired.
func Reload(path string, getenv func(string) string, old *Config) (*Config, error) {
	c, err := Load(path, getenv)
	if err != nil {
		return nil, err
	}
	if err := c.checkComplete(old); err != nil {
		return nil, err
	}
	if c.Discovery = old.Discovery; c.FileDiscovery != old.FileDiscovery {
		c.Discovery = c.FileDiscovery
	}
	if err := c.validate(); err != nil {
		return nil, err
	}
	return c, c.keepClassIndexes(old)
}

// complete says what the file lacks that the one in use has, and which of its figures is
// none that a query could run under.
func (c *Config) checkComplete(old *Config) error {
	for _, path := range slices.Sorted(maps.Keys(old.keyPaths)) {
		if !c.keyPaths[path] {
			return fieldErrorf(path, "missing, and the file in use has it")
		}
	}
	for i, class := range c.rawSettings.Classes {
		if err := checkPositive(fmt.Sprintf("settings.classes[%d].deadlineMs", i), class.DeadlineMs); err != nil {
			return err
		}
	}
	return checkPositive("settings.caps.maxAttempts", c.rawSettings.Caps.MaxAttempts)
}

// aboveZero checks that a value is a number above 0: a text that looks like one is none.
func checkPositive(path string, value json.RawMessage) error {
	var n float64
	if err := json.Unmarshal(value, &n); err != nil || !(n > 0) || math.IsInf(n, 0) || string(value) == "null" {
		return fieldErrorf(path, "got %s, want a number above 0", value)
	}
	return nil
}

// essential are the settings that a reload looks at as they are written.
type rawSettings struct {
	Classes []struct {
		DeadlineMs json.RawMessage `json:"deadlineMs"`
	} `json:"classes"`
	Caps struct {
		MaxAttempts json.RawMessage `json:"maxAttempts"`
	} `json:"caps"`
}

// remember keeps what a later reload compares with, of the fields of the top level. The
// list in known may be long and is read by itself.
func (c *Config) recordForReload(fields map[string]json.RawMessage) error {
	if raw := fields["settings"]; len(raw) > 0 {
		if err := json.Unmarshal(raw, &c.rawSettings); err != nil {
			return &FieldError{"settings", err}
		}
	}
	c.keyPaths = map[string]bool{}
	for name, raw := range fields {
		if !platformFields[name] {
			continue // the operator's own, which may go at any time
		}
		c.keyPaths[name] = true
		if name != "settings" && name != "limits" {
			continue
		}
		var value any
		if err := json.Unmarshal(raw, &value); err != nil {
			return &FieldError{name, err}
		}
		for _, path := range nestedKeyPaths(name, value) {
			c.keyPaths[path] = true
		}
	}
	return nil
}

// platformFields are the platform's fields of the file's top level.
var platformFields = map[string]bool{
	"name": true, "listen": true, "discovery": true, "console": true, "seed": true, "limits": true, "known": true, "settings": true,
}

// keysOf returns the paths of all keys below a value. Of a list's items, which "[]" stands
// for, these are the keys that each of them has.
func nestedKeyPaths(prefix string, value any) (all []string) {
	switch value := value.(type) {
	case map[string]any:
		for key, child := range value {
			path := key
			if prefix != "" {
				path = prefix + "." + key
			}
			all = append(append(all, path), nestedKeyPaths(path, child)...)
		}
	case []any:
		for i, item := range value {
			keys := nestedKeyPaths(prefix+"[]", item)
			if i == 0 {
				all = keys
				continue
			}
			all = slices.DeleteFunc(all, func(key string) bool { return !slices.Contains(keys, key) })
		}
	}
	return all
}

// followOn gives the classes the indexes that a broker which runs with old has for them.
// One that is described anew is another class of the same name: what is under way keeps
// the one that it came under.
func (c *Config) keepClassIndexes(old *Config) error {
	settings, classes := slices.Clone(old.Settings.Classes), slices.Clone(old.Classes)
	for i := range classes {
		classes[i].Retired = true
	}
	for i, class := range c.Classes {
		own := c.Settings.Classes[i]
		index := slices.IndexFunc(classes, func(known Class) bool { return known.Name == class.Name && known.settings == own })
		if index < 0 {
			index = len(classes)
			classes, settings = append(classes, class), append(settings, own)
		}
		classes[index].Retired = false
	}
	if len(classes) > maxClasses {
		return &FieldError{"settings.classes", errors.New("too many different ones since the start: the broker must be replaced")}
	}
	c.Classes, c.Settings.Classes = classes, settings
	return nil
}

// classOf makes a class of its name and settings.
func newClass(name string, settings decide.Class) Class {
	return Class{Name: name, Keyed: settings.Effect == decide.Keyed, settings: settings}
}
