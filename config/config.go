// Package config reads what the daemon is told: the platform's environment and
// NODE_CONFIG, or an operator's file. Errors name the field at fault.
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
	"onyxsail/internal/wire"
	"onyxsail/tracing"
)

// Limits are what the platform allows the process.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Flight sets up the Arrow Flight front. Nodes that speak Flight need nothing
// here: their address in the list says so.
type Flight struct {
	Listen string `json:"listen"`
}

// Peer is one instance of the replicated store.
type Peer struct {
	Name   string `json:"name"`
	Raft   string `json:"raft"`   // where the instances speak Raft
	Flight string `json:"flight"` // where its Flight front listens
}

// Store sets up the replicated store.
type Store struct {
	Dir   string `json:"dir"`
	Peers []Peer `json:"peers"` // all instances, this one too
}

// Class is what the fronts need of a class beside what the module knows.
type Class struct {
	Name  string
	Keyed bool
	// Retired is one that a reload has left out: no new query may name it.
	Retired  bool
	settings decide.Class
}

// Config is all that the daemon is told, decoded once.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	// Console is where operators call, a host and port; empty: nowhere.
	Console string
	// FileDiscovery is the file's own word, which NODE_DISCOVERY may have
	// overridden in Discovery.
	FileDiscovery string

	Seed     uint64
	Limits   Limits
	Known    *discovery.List
	Settings decide.Settings
	Zones    []string
	Kinds    []string
	Classes  []Class

	StreamsPerConn int
	ConnectTimeout time.Duration
	ConnIdle       time.Duration
	HandOver       time.Duration // new connections are taken this long after SIGTERM
	LogLevel       string
	Flight         *Flight
	Store          *Store
	Tracing        *tracing.Config // with its defaults; nil: off

	// Notes are what the file holds and this broker passes over: fields that it
	// does not know, and a list in known that cannot be read.
	Notes []Field

	essential essential       // what a reload checks as it is written
	keys      map[string]bool // of the file, by path
}

// file is what the platform's file says, in the platform's words. It may say
// more, and then names what this program has never heard of.
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

// Field is an error in one field.
type Field struct {
	Path string
	Err  error
}

func (f *Field) Error() string { return f.Path + ": " + f.Err.Error() }

// Unwrap gives the cause.
func (f *Field) Unwrap() error { return f.Err }

func wrong(path, format string, args ...any) error {
	return &Field{path, fmt.Errorf(format, args...)}
}

// defaultHandOver lies over the longest time that new connections still come
// after SIGTERM, 0.4 s, and under the 0.7 s after which none may be lost.
const defaultHandOver = 550 * time.Millisecond

// readFile reads a file; a test puts another in its place.
var readFile = os.ReadFile

// A file that can't be read for a moment is tried again every readAgain, for readWithin:
// what the file says at SIGHUP must be in use some seconds later.
const (
	readAgain  = 20 * time.Millisecond
	readWithin = 1500 * time.Millisecond
)

// readPatiently reads a file, again where the system or its disk fails for a moment.
func readPatiently(path string) ([]byte, error) {
	for began := time.Now(); ; time.Sleep(readAgain) {
		data, err := readFile(path)
		passes := slices.ContainsFunc(passing, func(errno syscall.Errno) bool { return errors.Is(err, errno) })
		if err == nil || !passes || time.Since(began) > readWithin {
			return data, err
		}
	}
}

var passing = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.EIO, syscall.EINTR, syscall.EAGAIN}

// Load reads the file at path, or the one that NODE_CONFIG names when path is
// empty. NODE_NAME, NODE_LISTEN, NODE_DISCOVERY and NODE_CONSOLE override the file.
func Load(path string, getenv func(string) string) (*Config, error) {
	if path == "" {
		path = getenv("NODE_CONFIG")
	}
	if path == "" {
		return nil, wrong("NODE_CONFIG", "not set, and no file was named")
	}
	data, err := readPatiently(path)
	if err != nil {
		return nil, &Field{"NODE_CONFIG", fmt.Errorf("reading the configuration: %w", err)}
	}
	return Parse(data, getenv)
}

// NeedRestart names the fields in which the two differ and that a broker takes
// from its start alone.
func NeedRestart(old, now *Config) []string {
	var names []string
	note := func(name string, a, b any) {
		if !reflect.DeepEqual(a, b) {
			names = append(names, name)
		}
	}
	a, b := old.Settings, now.Settings
	a.MaxOpen, b.MaxOpen = 0, 0
	a.MaxAttempts, b.MaxAttempts = 0, 0
	a.Classes, b.Classes = nil, nil
	note("name", old.Name, now.Name)
	note("listen", old.Listen, now.Listen)
	note("console", old.Console, now.Console)
	note("limits.sockets", old.Limits.Sockets, now.Limits.Sockets)
	note("settings", []any{a, old.Zones, old.Kinds, old.StreamsPerConn, old.ConnectTimeout, old.ConnIdle},
		[]any{b, now.Zones, now.Kinds, now.StreamsPerConn, now.ConnectTimeout, now.ConnIdle})
	note("flight", old.Flight, now.Flight)
	note("store", old.Store, now.Store)
	note("tracing", old.Tracing, now.Tracing)
	return names
}

// Check reads the file as Load does and takes for a fault what Load passes over.
func Check(path string, getenv func(string) string) (*Config, error) {
	c, err := Load(path, getenv)
	if err == nil && len(c.Notes) > 0 {
		return nil, &c.Notes[0]
	}
	return c, err
}

// Parse decodes a configuration. What the platform says beyond the fields that
// this program knows stops no start and stands in Notes; a field that is not
// known in a section of the program's own is a fault.
func Parse(data []byte, getenv func(string) string) (*Config, error) {
	var f file
	c := &Config{HandOver: defaultHandOver}
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
	c.console(f.Console, getenv("NODE_CONSOLE"))
	if f.Tracing != nil {
		t := f.Tracing.WithDefaults()
		c.Tracing = &t
	}
	if f.HandOverMs != nil {
		c.HandOver = time.Duration(*f.HandOverMs * float64(time.Millisecond))
	}
	for _, l := range []struct {
		name string
		told float64
		to   *int
	}{{"memory_mb", f.Limits.MemoryMB, &c.Limits.MemoryMB}, {"sockets", f.Limits.Sockets, &c.Limits.Sockets}} {
		if !(l.told >= 0) {
			return nil, wrong("limits."+l.name, "got %v, want 0 or more", l.told)
		}
		*l.to = int(min(math.Ceil(l.told), math.MaxInt32))
	}
	c.Limits.Cores = f.Limits.Cores
	c.Seed = seed(f.Seed)
	if err := c.settings(f.Settings); err != nil {
		return nil, err
	}
	if len(f.Known) > 0 && string(f.Known) != "null" {
		l, err := discovery.ParseList(f.Known, c.Zones, c.Kinds)
		if err != nil { // it may be old anyway: discovery has the list
			c.Notes = append(c.Notes, Field{"known", err})
		} else {
			c.Known = l
		}
	}
	return c, c.check()
}

// console takes the operators' address, the environment's before the file's. One that
// cannot be used stops no start: the clients need no operator.
func (c *Config) console(told json.RawMessage, env string) {
	addr := env
	if addr == "" && len(told) > 0 && string(told) != "null" {
		if json.Unmarshal(told, &addr) != nil {
			c.Notes = append(c.Notes, Field{"console", fmt.Errorf("got %s, want host:port", told)})
			return
		}
	}
	if addr == "" {
		return
	}
	if _, port, err := net.SplitHostPort(addr); err != nil || port == "" {
		c.Notes = append(c.Notes, Field{"console", fmt.Errorf("got %q, want host:port", addr)})
		return
	}
	c.Console = addr
}

// decode reads the top level field by field.
func (c *Config) decode(data []byte, f *file) error {
	var all map[string]json.RawMessage
	if err := json.Unmarshal(data, &all); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	platform := map[string]any{
		"name": &f.Name, "listen": &f.Listen, "discovery": &f.Discovery, "console": &f.Console, "seed": &f.Seed,
		"limits": &f.Limits, "known": &f.Known, "settings": &f.Settings,
	}
	own := map[string]any{
		"hand_over_ms": &f.HandOverMs, "log_level": &f.LogLevel, "flight": &f.Flight, "store": &f.Store, "tracing": &f.Tracing,
	}
	for _, name := range slices.Sorted(maps.Keys(all)) {
		to, known := platform[name]
		if !known {
			to, known = own[name]
		}
		if !known {
			c.Notes = append(c.Notes, Field{name, errUnknown})
			continue
		}
		d := json.NewDecoder(bytes.NewReader(all[name]))
		if _, strict := own[name]; strict {
			d.DisallowUnknownFields()
		}
		err := d.Decode(to)
		var t *json.UnmarshalTypeError
		switch {
		case errors.As(err, &t):
			return wrong(strings.TrimSuffix(name+"."+t.Field, "."), "got a %s, want %s", t.Value, t.Type)
		case err != nil:
			return &Field{name, err}
		}
	}
	return c.remember(all)
}

// errUnknown is the fault of a field that the program does not know.
var errUnknown = errors.New("unknown field, passed over")

// seed makes a seed of whatever is told: 16 hex digits are one, and any other
// text is as good.
func seed(raw json.RawMessage) uint64 {
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
	_, _ = h.Write([]byte(text)) // never fails
	return h.Sum64()
}

// settings flattens the nested object to the paths of the simulator's wire,
// which one parser reads for both.
func (c *Config) settings(raw json.RawMessage) error {
	if len(raw) == 0 {
		return wrong("settings", "missing")
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var tree map[string]any
	if err := d.Decode(&tree); err != nil {
		return &Field{"settings", err}
	}
	flat := map[string]string{}
	flatten(flat, "", tree)
	lines := make([]string, 0, len(flat))
	for k, v := range flat {
		lines = append(lines, k+"="+v)
	}
	sort.Strings(lines)
	s, err := wire.ParseSettings(strings.Join(lines, "\n"))
	if err != nil {
		return &Field{"settings", err}
	}
	c.Settings = s
	// The wire's text has no spaces and commas in a name, and this form has:
	// the list and the clients name things as they stand here.
	c.Zones, c.Kinds = names(tree["zones"]), names(tree["kinds"])
	for i := range s.Classes {
		if s.Classes[i].Fetch > 0 { // the protocol has no form for it: the first answer is the last
			c.Notes = append(c.Notes, Field{"settings.domain.classFetch", errors.New("second steps have no form on this protocol, left out")})
			s.Classes[i].Fetch = 0
		}
		name := ""
		if all, ok := tree["classes"].([]any); ok && i < len(all) {
			if class, ok := all[i].(map[string]any); ok {
				name, _ = class["name"].(string)
			}
		}
		if name == "" {
			return wrong(fmt.Sprintf("settings.classes[%d].name", i), "missing")
		}
		c.Classes = append(c.Classes, classOf(name, s.Classes[i]))
	}
	if len(c.Classes) == 0 {
		return wrong("settings.classes", "missing")
	}
	for path, to := range map[string]*time.Duration{"caps.connectTimeoutMs": &c.ConnectTimeout, "caps.connIdleMs": &c.ConnIdle} {
		ms, err := number(flat, path)
		if err != nil {
			return err
		}
		*to = time.Duration(ms * float64(time.Millisecond))
	}
	n, err := number(flat, "caps.streamsPerConn")
	c.StreamsPerConn = int(n)
	return err
}

func number(flat map[string]string, path string) (float64, error) {
	v, ok := flat[path]
	if !ok {
		return 0, nil
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !(n >= 0) {
		return 0, wrong("settings."+path, "got %q, want a number from 0 up", v)
	}
	return min(n, 1e9), nil // milliseconds for eleven days, and no conversion overflows
}

// names reads a list of names.
func names(v any) []string {
	all, _ := v.([]any)
	out := make([]string, 0, len(all))
	for _, x := range all {
		out = append(out, fmt.Sprint(x))
	}
	return out
}

// flatten writes path=value pairs in the form of the simulator's wire: lists
// of plain values are joined by commas, lists of objects are counted.
func flatten(flat map[string]string, path string, v any) {
	join := func(key string) string {
		if path == "" {
			return key
		}
		return path + "." + key
	}
	switch v := v.(type) {
	case map[string]any:
		for k, x := range v {
			flatten(flat, join(k), x)
		}
	case []any:
		if len(v) > 0 {
			if _, objects := v[0].(map[string]any); objects {
				flat[join("count")] = strconv.Itoa(len(v))
				for i, x := range v {
					flatten(flat, join(strconv.Itoa(i)), x)
				}
				return
			}
		}
		words := make([]string, len(v))
		for i, x := range v {
			words[i] = plain(x)
		}
		flat[path] = strings.Join(words, ",")
	default:
		flat[path] = plain(v)
	}
}

func plain(v any) string {
	if v == nil {
		return ""
	}
	return strings.NewReplacer(" ", "_", ",", "_", "\n", "_").Replace(fmt.Sprint(v))
}

// loopback says whether addr is a host and port of this machine.
func loopback(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || port == "" {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

func (c *Config) check() error {
	for path, addr := range map[string]string{"listen": c.Listen, "discovery": c.Discovery} {
		if _, port, err := net.SplitHostPort(addr); err != nil || port == "" {
			return wrong(path, "got %q, want host:port", addr)
		}
	}
	switch {
	case c.Name == "":
		return wrong("name", "missing")
	case c.Limits.Cores < 0:
		return wrong("limits.cores", "got %v, want 0 or more", c.Limits.Cores)
	case c.HandOver < 0 || c.HandOver > 10*time.Second:
		return wrong("hand_over_ms", "want 0 to 10000")
	}
	switch c.LogLevel {
	case "", "debug", "info", "warn", "error":
	default:
		return wrong("log_level", "got %q, want debug, info, warn or error", c.LogLevel)
	}
	if c.Flight != nil && !loopback(c.Flight.Listen) {
		return wrong("flight.listen", "got %q, want a loopback host:port", c.Flight.Listen)
	}
	if c.Tracing != nil {
		if err := c.Tracing.Validate(); err != nil {
			if f := (*tracing.FieldError)(nil); errors.As(err, &f) {
				return &Field{"tracing." + f.Field, f.Err}
			}
			return &Field{"tracing", err}
		}
	}
	if c.Store == nil {
		return nil
	}
	if c.Flight == nil {
		return wrong("flight", "missing: the store's commands come over Flight")
	}
	if c.Store.Dir == "" {
		return wrong("store.dir", "missing")
	}
	own := false
	seen := map[string]bool{}
	for i, p := range c.Store.Peers {
		at := fmt.Sprintf("store.peers[%d].", i)
		if p.Name == "" || seen[p.Name] {
			return wrong(at+"name", "got %q, want a name, each once", p.Name)
		}
		if !loopback(p.Raft) {
			return wrong(at+"raft", "got %q, want a loopback host:port", p.Raft)
		}
		if !loopback(p.Flight) {
			return wrong(at+"flight", "got %q, want a loopback host:port", p.Flight)
		}
		seen[p.Name] = true
		own = own || p.Name == c.Name
	}
	if !own {
		return wrong("store.peers", "%q is not among them", c.Name)
	}
	return nil
}
