// Package config reads the daemon's configuration: the platform's file, which NODE_CONFIG
// names, or an operator's file, with the overrides of the environment. Errors name the
// invalid field.
package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"net"
	"os"
	"reflect"
	"slices"
	"sort"
	"strconv"
	"strings"
	"syscall"
	"time"

	"onyxsail/decide"
	"onyxsail/discovery"
	"onyxsail/internal/strictjson"
	"onyxsail/internal/wire"
	"onyxsail/tracing"
)

// Limits are the resources that the platform allows the process; 0 means not given.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"` // in MiB
	Sockets  int     `json:"sockets"`   // descriptors
}

// Flight configures the Arrow Flight front. Nodes that speak Flight need no configuration:
// their address in the list tells the protocol.
type Flight struct {
	Listen string `json:"listen"` // host:port, loopback only
}

// Peer is one instance of the replicated store.
type Peer struct {
	Name   string `json:"name"`
	Raft   string `json:"raft"`   // the instance's address for Raft, host:port, loopback only
	Flight string `json:"flight"` // the address of its Flight front, host:port, loopback only
}

// Store configures the replicated store.
type Store struct {
	Dir   string `json:"dir"`   // the directory of this instance's data
	Peers []Peer `json:"peers"` // all instances, including this one
}

// Class is the part of a class that the fronts need in addition to the settings of the
// decision module.
type Class struct {
	Name  string
	Keyed bool
	// SecondStep is set for a class whose queries need a second step, which this broker does not
	// make: its queries cannot be answered.
	SecondStep bool
	// Retired is set when a reload has removed the class or changed its settings, which gives
	// the class a new index: new queries cannot use this one.
	Retired  bool
	settings decide.Class
}

// Config is the decoded configuration of the daemon.
type Config struct {
	Name      string // the broker's name
	Listen    string // host:port for HTTP clients
	Discovery string // host:port
	// Console is the host:port of the admin port; empty: off.
	Console string
	// FileDiscovery is the file's value of discovery; in Discovery, NODE_DISCOVERY may
	// have overridden it.
	FileDiscovery string

	Seed     uint64
	Limits   Limits
	Known    *discovery.List // the list of nodes in the file; nil: none, or an invalid one
	Settings decide.Settings
	Zones    []string // names by the zone's index
	Kinds    []string // names by the kind's index
	Classes  []Class  // by the index of Settings.Classes

	StreamsPerConn    int             // open attempts per connection to a node; 0 counts as 1
	ConnectTimeout    time.Duration   // 0: a default
	ServerIdleTimeout time.Duration   // after which nodes close idle connections; 0: they do not
	HandOverWindow    time.Duration   // new connections are accepted this long after SIGTERM
	LogLevel          string          // debug, info, warn or error; empty: info
	Flight            *Flight         // nil: off
	Store             *Store          // nil: off
	Tracing           *tracing.Config // with defaults applied; nil: off

	// Warnings are the parts of the file that this broker ignores: unknown fields and
	// values that it can do without, such as an invalid list in known.
	Warnings []FieldError

	rawSettings rawSettings     // settings that a reload checks in their raw form
	keyPaths    map[string]bool // paths of the file's keys
}

// file is the configuration file as it is written. The platform may add fields that this
// program does not know.
type file struct {
	Name      string
	Listen    string
	Discovery string
	Console   json.RawMessage
	Seed      json.RawMessage
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  float64 `json:"sockets"`
	}
	Known      json.RawMessage
	Settings   json.RawMessage
	HandOverMs *float64
	LogLevel   string
	Flight     *Flight
	Store      *Store
	Tracing    *tracing.Config
}

// FieldError is an error or a warning about one field.
type FieldError struct {
	Path string // the field's path in the file, or the name of an environment variable
	Err  error
}

// Error implements error.
func (f *FieldError) Error() string { return f.Path + ": " + f.Err.Error() }

// Unwrap returns the cause.
func (f *FieldError) Unwrap() error { return f.Err }

// fieldErrorf returns a FieldError for the field at path.
func fieldErrorf(path, format string, args ...any) error {
	return &FieldError{path, fmt.Errorf(format, args...)}
}

// defaultHandOverWindow is longer than the 0.4 s for which new connections still arrive
// after SIGTERM at most, and shorter than the 0.7 s after which none may be lost any more.
const defaultHandOverWindow = 550 * time.Millisecond

// readFile reads a file once. Tests replace it.
var readFile = os.ReadFile

// A read that fails with a transient error is retried every readRetryInterval for
// readRetryTimeout. The total is bounded because a reload at SIGHUP must take effect within
// some seconds.
const (
	readRetryInterval = 20 * time.Millisecond
	readRetryTimeout  = 1500 * time.Millisecond
)

// readFileWithRetry reads a file and retries after transient errors of the system or disk.
func readFileWithRetry(path string) ([]byte, error) {
	for start := time.Now(); ; time.Sleep(readRetryInterval) {
		data, err := readFile(path)
		transient := slices.ContainsFunc(transientErrors, func(errno syscall.Errno) bool { return errors.Is(err, errno) })
		if err == nil || !transient || time.Since(start) > readRetryTimeout {
			return data, err
		}
	}
}

// transientErrors are the errors after which readFileWithRetry tries again.
var transientErrors = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.EIO, syscall.EINTR, syscall.EAGAIN}

// Load reads the file at path, or the file that NODE_CONFIG names if path is empty. The
// variables NODE_NAME, NODE_LISTEN, NODE_DISCOVERY and NODE_CONSOLE override the file.
func Load(path string, getenv func(string) string) (*Config, error) {
	if path == "" {
		path = getenv("NODE_CONFIG")
	}
	if path == "" {
		return nil, fieldErrorf("NODE_CONFIG", "not set, and no file was given")
	}
	data, err := readFileWithRetry(path)
	if err != nil {
		return nil, &FieldError{"NODE_CONFIG", fmt.Errorf("reading the configuration: %w", err)}
	}
	return Parse(data, getenv)
}

// FieldsNeedingRestart returns the names of the fields that differ between old, which is in
// use, and reloaded, and that only a restart applies. Fields that matter only at the start, such as
// seed and known, are not compared.
func FieldsNeedingRestart(old, reloaded *Config) []string {
	var names []string
	compare := func(name string, a, b any) {
		if !reflect.DeepEqual(a, b) {
			names = append(names, name)
		}
	}
	a, b := old.Settings, reloaded.Settings
	a.MaxOpen, b.MaxOpen = 0, 0
	a.MaxAttempts, b.MaxAttempts = 0, 0
	a.Classes, b.Classes = nil, nil
	compare("name", old.Name, reloaded.Name)
	compare("listen", old.Listen, reloaded.Listen)
	compare("console", old.Console, reloaded.Console)
	compare("limits.sockets", old.Limits.Sockets, reloaded.Limits.Sockets)
	compare("settings", []any{a, old.Zones, old.Kinds, old.StreamsPerConn, old.ConnectTimeout, old.ServerIdleTimeout},
		[]any{b, reloaded.Zones, reloaded.Kinds, reloaded.StreamsPerConn, reloaded.ConnectTimeout, reloaded.ServerIdleTimeout})
	compare("flight", old.Flight, reloaded.Flight)
	compare("store", old.Store, reloaded.Store)
	compare("tracing", old.Tracing, reloaded.Tracing)
	return names
}

// LoadStrict reads the file like Load, but returns the first warning as an error.
func LoadStrict(path string, getenv func(string) string) (*Config, error) {
	c, err := Load(path, getenv)
	if err == nil && len(c.Warnings) > 0 {
		return nil, &c.Warnings[0]
	}
	return c, err
}

// Parse decodes a configuration. Unknown fields of the platform do not prevent a start and
// are listed in Warnings; an unknown field in a section of this program's own is an error.
func Parse(data []byte, getenv func(string) string) (*Config, error) {
	var f file
	c := &Config{HandOverWindow: defaultHandOverWindow}
	if err := c.decode(data, &f); err != nil {
		return nil, err
	}
	c.FileDiscovery = f.Discovery
	for name, field := range map[string]*string{"NODE_NAME": &f.Name, "NODE_LISTEN": &f.Listen, "NODE_DISCOVERY": &f.Discovery} {
		if v := getenv(name); v != "" {
			*field = v
		}
	}
	c.Name, c.Listen, c.Discovery, c.LogLevel = f.Name, f.Listen, f.Discovery, f.LogLevel
	c.Flight, c.Store = f.Flight, f.Store
	c.setConsole(f.Console, getenv("NODE_CONSOLE"))
	if f.Tracing != nil {
		t := f.Tracing.WithDefaults()
		c.Tracing = &t
	}
	if f.HandOverMs != nil {
		c.HandOverWindow = time.Duration(*f.HandOverMs * float64(time.Millisecond))
	}
	for _, limit := range []struct {
		name   string
		value  float64
		target *int
	}{{"memory_mb", f.Limits.MemoryMB, &c.Limits.MemoryMB}, {"sockets", f.Limits.Sockets, &c.Limits.Sockets}} {
		if !(limit.value >= 0) {
			return nil, fieldErrorf("limits."+limit.name, "got %v, want 0 or more", limit.value)
		}
		*limit.target = int(min(math.Ceil(limit.value), math.MaxInt32))
	}
	c.Limits.Cores = f.Limits.Cores
	c.Seed = parseSeed(f.Seed)
	if err := c.parseSettings(f.Settings); err != nil {
		return nil, err
	}
	if len(f.Known) > 0 && string(f.Known) != "null" {
		l, err := discovery.ParseList(f.Known, c.Zones, c.Kinds)
		if err != nil { // not fatal: the list may be outdated anyway, and discovery has it
			c.Warnings = append(c.Warnings, FieldError{"known", err})
		} else {
			c.Known = l
		}
	}
	return c, c.validate()
}

// setConsole sets the address of the admin port; the environment takes precedence over the
// file. An invalid address is only a warning: the broker can serve clients without it.
func (c *Config) setConsole(raw json.RawMessage, env string) {
	addr := env
	if addr == "" && len(raw) > 0 && string(raw) != "null" {
		if json.Unmarshal(raw, &addr) != nil {
			c.Warnings = append(c.Warnings, FieldError{"console", fmt.Errorf("got %s, want host:port", raw)})
			return
		}
	}
	if addr == "" {
		return
	}
	if _, port, err := net.SplitHostPort(addr); err != nil || port == "" {
		c.Warnings = append(c.Warnings, FieldError{"console", fmt.Errorf("got %q, want host:port", addr)})
		return
	}
	c.Console = addr
}

// decode decodes the top level field by field, so that errors name the field.
func (c *Config) decode(data []byte, f *file) error {
	var fields map[string]json.RawMessage
	if err := strictjson.UnmarshalParts(data, &fields); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	platform := map[string]any{
		"name": &f.Name, "listen": &f.Listen, "discovery": &f.Discovery, "console": &f.Console, "seed": &f.Seed,
		"limits": &f.Limits, "known": &f.Known, "settings": &f.Settings,
	}
	operator := map[string]any{
		"hand_over_ms": &f.HandOverMs, "log_level": &f.LogLevel, "flight": &f.Flight, "store": &f.Store, "tracing": &f.Tracing,
	}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		target, known := platform[name]
		if !known {
			target, known = operator[name]
		}
		if !known {
			c.Warnings = append(c.Warnings, FieldError{name, errUnknownField})
			continue
		}
		if err := checkUnicode(name, fields[name]); err != nil {
			return err
		}
		decoder := json.NewDecoder(bytes.NewReader(fields[name]))
		if _, strict := operator[name]; strict {
			decoder.DisallowUnknownFields()
		}
		err := decoder.Decode(target)
		var typeErr *json.UnmarshalTypeError
		switch {
		case errors.As(err, &typeErr):
			return fieldErrorf(strings.TrimSuffix(name+"."+typeErr.Field, "."), "got a %s, want %s", typeErr.Value, typeErr.Type)
		case err != nil:
			return &FieldError{name, err}
		}
	}
	return c.recordForReload(fields)
}

// checkUnicode returns an error that names the place in a top-level field at which it has text that
// is no Unicode, which the decoder would replace. Fields that prevent no start, whatever they are,
// are passed over.
func checkUnicode(name string, raw json.RawMessage) error {
	var wrong *strictjson.Error
	if slices.Contains([]string{"known", "console", "seed"}, name) || !errors.As(strictjson.Check(raw), &wrong) {
		return nil
	}
	return &FieldError{strings.TrimSuffix(name+"."+wrong.Field, "."), wrong.Err}
}

// errUnknownField is the warning for a field that the program does not know.
var errUnknownField = errors.New("unknown field, ignored")

// parseSeed derives a seed from any JSON value: up to 16 hex digits, in a string or a number,
// are the seed itself, and any other text is hashed. Without a value the seed is 0.
func parseSeed(raw json.RawMessage) uint64 {
	var text string
	if len(raw) == 0 || string(raw) == "null" {
		return 0
	}
	if json.Unmarshal(raw, &text) != nil {
		text = string(raw)
	}
	if n, err := strconv.ParseUint(text, 16, 64); err == nil {
		return n
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // a hash never returns an error
	return h.Sum64()
}

// parseSettings decodes the settings. It flattens the nested object into the path=value lines
// of the simulator's wire format, so that one parser reads both.
func (c *Config) parseSettings(raw json.RawMessage) error {
	if len(raw) == 0 {
		return fieldErrorf("settings", "missing")
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var tree map[string]any
	if err := decoder.Decode(&tree); err != nil {
		return &FieldError{"settings", err}
	}
	pairs := map[string]string{}
	flatten(pairs, "", tree)
	lines := make([]string, 0, len(pairs))
	for k, v := range pairs {
		lines = append(lines, k+"="+v)
	}
	sort.Strings(lines)
	s, err := wire.ParseSettings(strings.Join(lines, "\n"))
	if err != nil {
		return &FieldError{"settings", err}
	}
	c.Settings = s
	// Names are taken from the JSON, not from the flattened lines: those replace spaces and
	// commas, but the list of nodes and the clients use the names as written here.
	c.Zones, c.Kinds = stringList(tree["zones"]), stringList(tree["kinds"])
	for i := range s.Classes {
		secondStep := s.Classes[i].SecondStepParts > 0
		if secondStep {
			c.Warnings = append(c.Warnings, FieldError{"settings.domain.classFetch", errors.New("second steps are not supported, queries of the class fail")})
			s.Classes[i].SecondStepParts = 0
		}
		name := ""
		if all, ok := tree["classes"].([]any); ok && i < len(all) {
			if class, ok := all[i].(map[string]any); ok {
				name, _ = class["name"].(string)
			}
		}
		if name == "" {
			return fieldErrorf(fmt.Sprintf("settings.classes[%d].name", i), "missing")
		}
		c.Classes = append(c.Classes, newClass(name, s.Classes[i], secondStep))
	}
	if len(c.Classes) == 0 {
		return fieldErrorf("settings.classes", "missing")
	}
	for path, target := range map[string]*time.Duration{"caps.connectTimeoutMs": &c.ConnectTimeout, "caps.connIdleMs": &c.ServerIdleTimeout} {
		ms, err := nonNegativeNumber(pairs, path)
		if err != nil {
			return err
		}
		*target = time.Duration(ms * float64(time.Millisecond))
	}
	n, err := nonNegativeNumber(pairs, "caps.streamsPerConn")
	c.StreamsPerConn = int(n)
	return err
}

// nonNegativeNumber returns the number at path, or 0 if it is not set.
func nonNegativeNumber(pairs map[string]string, path string) (float64, error) {
	v, ok := pairs[path]
	if !ok {
		return 0, nil
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !(n >= 0) {
		return 0, fieldErrorf("settings."+path, "got %q, want a number, 0 or more", v)
	}
	return min(n, 1e9), nil // eleven days in milliseconds, so that no conversion overflows
}

// stringList returns the items of a JSON list as text; any other value gives an empty list.
func stringList(v any) []string {
	all, _ := v.([]any)
	out := make([]string, 0, len(all))
	for _, x := range all {
		out = append(out, fmt.Sprint(x))
	}
	return out
}

// flatten adds the path=value pairs of v, which is at path, in the simulator's wire format: lists
// of plain values are joined by commas, and lists of objects get a count and an index per item.
func flatten(pairs map[string]string, path string, v any) {
	keyPath := func(key string) string {
		if path == "" {
			return key
		}
		return path + "." + key
	}
	switch v := v.(type) {
	case map[string]any:
		for k, x := range v {
			flatten(pairs, keyPath(k), x)
		}
	case []any:
		if len(v) > 0 {
			if _, objects := v[0].(map[string]any); objects {
				pairs[keyPath("count")] = strconv.Itoa(len(v))
				for i, x := range v {
					flatten(pairs, keyPath(strconv.Itoa(i)), x)
				}
				return
			}
		}
		words := make([]string, len(v))
		for i, x := range v {
			words[i] = wireValue(x)
		}
		pairs[path] = strings.Join(words, ",")
	default:
		pairs[path] = wireValue(v)
	}
}

// wireValue formats a plain value. Spaces, commas and newlines, which separate values in the
// wire format, are replaced.
func wireValue(v any) string {
	if v == nil {
		return ""
	}
	return strings.NewReplacer(" ", "_", ",", "_", "\n", "_").Replace(fmt.Sprint(v))
}

// isLoopback reports whether addr is a loopback host and a port. Of host names, only localhost
// counts.
func isLoopback(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || port == "" {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// validate returns an error that names the first invalid field.
func (c *Config) validate() error {
	for path, addr := range map[string]string{"listen": c.Listen, "discovery": c.Discovery} {
		if _, port, err := net.SplitHostPort(addr); err != nil || port == "" {
			return fieldErrorf(path, "got %q, want host:port", addr)
		}
	}
	switch {
	case c.Name == "":
		return fieldErrorf("name", "missing")
	case c.Limits.Cores < 0:
		return fieldErrorf("limits.cores", "got %v, want 0 or more", c.Limits.Cores)
	case c.HandOverWindow < 0 || c.HandOverWindow > 10*time.Second:
		return fieldErrorf("hand_over_ms", "want 0 to 10000")
	}
	switch c.LogLevel {
	case "", "debug", "info", "warn", "error":
	default:
		return fieldErrorf("log_level", "got %q, want debug, info, warn or error", c.LogLevel)
	}
	if c.Flight != nil && !isLoopback(c.Flight.Listen) {
		return fieldErrorf("flight.listen", "got %q, want a loopback host:port", c.Flight.Listen)
	}
	if c.Tracing != nil {
		if err := c.Tracing.Validate(); err != nil {
			if f := (*tracing.FieldError)(nil); errors.As(err, &f) {
				return &FieldError{"tracing." + f.Field, f.Err}
			}
			return &FieldError{"tracing", err}
		}
	}
	if c.Store == nil {
		return nil
	}
	if c.Flight == nil {
		return fieldErrorf("flight", "missing: the store needs the Flight front for its commands")
	}
	if c.Store.Dir == "" {
		return fieldErrorf("store.dir", "missing")
	}
	listed := false
	seen := map[string]bool{}
	for i, p := range c.Store.Peers {
		prefix := fmt.Sprintf("store.peers[%d].", i)
		if p.Name == "" || seen[p.Name] {
			return fieldErrorf(prefix+"name", "got %q, want a name that is not empty and unique", p.Name)
		}
		if !isLoopback(p.Raft) {
			return fieldErrorf(prefix+"raft", "got %q, want a loopback host:port", p.Raft)
		}
		if !isLoopback(p.Flight) {
			return fieldErrorf(prefix+"flight", "got %q, want a loopback host:port", p.Flight)
		}
		seen[p.Name] = true
		listed = listed || p.Name == c.Name
	}
	if !listed {
		return fieldErrorf("store.peers", "this broker, %q, is not among the peers", c.Name)
	}
	return nil
}
