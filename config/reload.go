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

// maxClasses bounds the number of classes since the start of a broker, including retired ones,
// whose counters and settings stay in memory.
const maxClasses = 1024

// Reload reads the file again for a broker that runs with old. If the file's discovery
// address has changed, it takes precedence over NODE_DISCOVERY: the environment is that of
// the start and cannot reflect a move. Otherwise the discovery address stays as in old.
//
// The whole file is rejected if it lacks a key of the platform's fields that the file in use
// has, or if a deadline or the number of attempts is not a number above 0. In the result the
// classes keep their indexes in old; classes that the file no longer has are retired.
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

// checkComplete returns an error if the file lacks a key of the file in use, or has a
// deadline or number of attempts with which no query could run. Operators' fields may be
// missing.
func (c *Config) checkComplete(old *Config) error {
	for _, path := range slices.Sorted(maps.Keys(old.keyPaths)) {
		if !c.keyPaths[path] {
			return fieldErrorf(path, "missing, but present in the file in use")
		}
	}
	for i, class := range c.rawSettings.Classes {
		if err := checkPositive(fmt.Sprintf("settings.classes[%d].deadlineMs", i), class.DeadlineMs); err != nil {
			return err
		}
	}
	return checkPositive("settings.caps.maxAttempts", c.rawSettings.Caps.MaxAttempts)
}

// checkPositive returns an error unless the value is a JSON number above 0; a string that
// contains a number is an error too.
func checkPositive(path string, value json.RawMessage) error {
	var n float64
	if err := json.Unmarshal(value, &n); err != nil || !(n > 0) || math.IsInf(n, 0) || string(value) == "null" {
		return fieldErrorf(path, "got %s, want a number above 0", value)
	}
	return nil
}

// rawSettings are the settings that a reload checks in their raw form.
type rawSettings struct {
	Classes []struct {
		DeadlineMs json.RawMessage `json:"deadlineMs"`
	} `json:"classes"`
	Caps struct {
		MaxAttempts json.RawMessage `json:"maxAttempts"`
	} `json:"caps"`
}

// recordForReload records the keys and raw settings that a later reload checks. Of the
// top-level fields, only settings and limits are recorded with their nested keys; the list
// in known may be long and is parsed separately.
func (c *Config) recordForReload(fields map[string]json.RawMessage) error {
	if raw := fields["settings"]; len(raw) > 0 {
		if err := json.Unmarshal(raw, &c.rawSettings); err != nil {
			return &FieldError{"settings", err}
		}
	}
	c.keyPaths = map[string]bool{}
	for name, raw := range fields {
		if !platformFields[name] {
			continue // an operator's field, which may be removed at any time
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

// platformFields are the top-level fields of the file that the platform defines.
var platformFields = map[string]bool{
	"name": true, "listen": true, "discovery": true, "console": true, "seed": true, "limits": true, "known": true, "settings": true,
}

// nestedKeyPaths returns the paths of all keys in a value. The items of a list share the
// path element "[]" and contribute the keys that all of them have.
func nestedKeyPaths(prefix string, value any) (paths []string) {
	switch value := value.(type) {
	case map[string]any:
		for key, child := range value {
			path := key
			if prefix != "" {
				path = prefix + "." + key
			}
			paths = append(append(paths, path), nestedKeyPaths(path, child)...)
		}
	case []any:
		for i, item := range value {
			keys := nestedKeyPaths(prefix+"[]", item)
			if i == 0 {
				paths = keys
				continue
			}
			paths = slices.DeleteFunc(paths, func(key string) bool { return !slices.Contains(keys, key) })
		}
	}
	return paths
}

// keepClassIndexes gives the classes the indexes that they have in old. A class whose
// settings have changed counts as a new class of the same name, so that open queries keep
// the settings under which they were submitted.
func (c *Config) keepClassIndexes(old *Config) error {
	settings, classes := slices.Clone(old.Settings.Classes), slices.Clone(old.Classes)
	for i := range classes {
		classes[i].Retired = true
	}
	for i, class := range c.Classes {
		ownSettings := c.Settings.Classes[i]
		index := slices.IndexFunc(classes, func(known Class) bool {
			return known.Name == class.Name && known.settings == ownSettings && known.SecondStep == class.SecondStep
		})
		if index < 0 {
			index = len(classes)
			classes, settings = append(classes, class), append(settings, ownSettings)
		}
		classes[index].Retired = false
	}
	if len(classes) > maxClasses {
		return &FieldError{"settings.classes", errors.New("too many different classes since the start: the broker must be restarted")}
	}
	c.Classes, c.Settings.Classes = classes, settings
	return nil
}

// newClass returns a class with the given name and settings. secondStep says that its queries need a
// second step.
func newClass(name string, settings decide.Class, secondStep bool) Class {
	return Class{Name: name, Keyed: settings.Effect == decide.Keyed, SecondStep: secondStep, settings: settings}
}
