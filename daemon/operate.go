package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"onyxsail/broker"
	"onyxsail/decide"
	"onyxsail/flightfront"
	"onyxsail/reach"
	"onyxsail/store"
	"onyxsail/tracing"
)

// Names of the operator's commands on Flight, and of the reason and field with
// which a follower names the leader.
const (
	ActionStatus    = "status"
	ActionConfigGet = "config.get"
	ActionConfigSet = "config.set"
	ActionTraceRead = "trace.read"
	ActionTraceTail = "trace.tail"
	ReasonNotLeader = "NOT_LEADER"
	LeaderFlight    = "leader_flight"
)

// level lets log lines through from a level that may change while the broker
// runs.
type level struct{ least atomic.Int32 }

// Sample implements zerolog.Sampler.
func (l *level) Sample(at zerolog.Level) bool { return int32(at) >= l.least.Load() }

func (l *level) set(name string) {
	least, err := zerolog.ParseLevel(name)
	if err != nil || name == "" {
		least = zerolog.InfoLevel
	}
	l.least.Store(int32(least))
}

// roster hands the list on to the core and, where a store runs, keeps it whole
// for the store.
type roster struct {
	core  *broker.Core
	store *store.Store
	nodes map[string]broker.Node
	ready func() // called once a list with nodes is in hand
	once  sync.Once

	mu      sync.Mutex
	now     source // goes on until the next one has been answered
	next    source // has not been yet
	sources int
}

// source is one that news of the list come from.
type source struct {
	id  int
	end context.CancelFunc
}

// stop ends a source, if it is one.
func (s source) stop() {
	if s.end != nil {
		s.end()
	}
}

// source takes a new source of news, which end ends, and returns what it calls when it
// has been answered and what it delivers to. The one before it goes on until then: what
// that has heard counts as told, and the new one may be down. From then on news of the
// old one are ignored, as they would bring an old list back.
func (r *roster) source(end context.CancelFunc) (heard func(), deliver func(broker.Roster)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next.stop()
	r.sources++
	own := source{r.sources, end}
	r.next = own
	heard = func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if own.id == r.next.id {
			r.now.stop()
			r.now, r.next = own, source{}
		}
	}
	return heard, func(news broker.Roster) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if own.id == r.now.id {
			r.deliver(news)
		}
	}
}

// stop ends all sources.
func (r *roster) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.now.stop()
	r.next.stop()
}

func (r *roster) deliver(news broker.Roster) {
	r.core.Roster(news)
	if len(news.Nodes) > 0 {
		r.once.Do(r.ready)
	}
	if r.store == nil {
		return
	}
	if news.Kind != decide.ListDelta {
		clear(r.nodes)
	}
	for _, n := range news.Nodes {
		if r.nodes[n.ID] = n; n.State == decide.Removed {
			delete(r.nodes, n.ID)
		}
	}
	if news.Kind == decide.ListCached {
		return // old news must not take the place of the store's own
	}
	all := make([]broker.Node, 0, len(r.nodes))
	for _, n := range r.nodes {
		all = append(all, n)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	r.store.Remember(store.Roster{Version: news.Version, Nodes: all})
}

func (d *Daemon) openStore() error {
	peers := make([]store.Peer, len(d.cfg.Store.Peers))
	for i, p := range d.cfg.Store.Peers {
		peers[i] = store.Peer{Name: p.Name, Raft: p.Raft, Flight: p.Flight}
	}
	s, err := store.Open(store.Options{
		Name: d.cfg.Name, Dir: d.cfg.Store.Dir, Peers: peers, Log: d.log, Changed: d.configure,
	})
	if err != nil {
		return err
	}
	d.store, d.seen.store = s, s
	return nil
}

// configure takes a new configuration into use. Version 0 is the state before
// any was set: then the operator's file holds.
func (d *Daemon) configure(s store.State) {
	c := s.Config
	if c.Version == 0 {
		return
	}
	d.level.set(c.LogLevel)
	d.window.Store(int64(time.Duration(c.HandOverMs) * time.Millisecond))
	d.mu.Lock()
	defer d.mu.Unlock()
	open := d.cfg.Settings.MaxOpen
	if c.MaxOpen > 0 && (open == 0 || c.MaxOpen < open) { // the settings' figure is a limit of the platform's
		open = c.MaxOpen
	}
	d.limits = broker.Limits{QueueLimit: c.QueueLimit, MaxOpen: open}
	d.applyLimits()
	d.log.Info().Str("event", "configured").Uint64("version", c.Version).Msg("a configuration took effect")
}

// Status is what the status command tells.
type Status struct {
	Name    string          `json:"name"`
	Stats   broker.Stats    `json:"stats"`
	Store   *store.Status   `json:"store,omitempty"`
	Tracing *tracing.Counts `json:"tracing,omitempty"`
	// Addresses of the nodes that have several, the preferred one first.
	Addresses map[string][]reach.View `json:"addresses,omitempty"`
}

// Status returns the daemon's status.
func (d *Daemon) Status() Status {
	s := Status{Name: d.cfg.Name, Stats: d.Stats()}
	if d.store != nil {
		own := d.store.Status()
		s.Store = &own
	}
	s.Addresses = d.nodes.Addresses()
	maps.Copy(s.Addresses, d.remote.Addresses())
	if d.tracer != nil {
		c := d.tracer.Counts()
		s.Tracing = &c
	}
	return s
}

func (d *Daemon) actions() []flightfront.Action {
	all := []flightfront.Action{{
		Name: ActionStatus, About: "counts of this broker and its view of the store's group",
		Run: func(context.Context, []byte) ([]byte, error) { return json.Marshal(d.Status()) },
	}}
	if d.tracer != nil {
		all = append(all, d.traceActions()...)
	}
	if d.store == nil {
		return all
	}
	return append(all,
		flightfront.Action{
			Name: ActionConfigGet, About: "the configuration as this instance has it",
			Run: func(context.Context, []byte) ([]byte, error) { return json.Marshal(d.store.State().Config) },
		},
		flightfront.Action{
			Name: ActionConfigSet, About: "change fields of the configuration; goes to the leader",
			Run: func(_ context.Context, body []byte) ([]byte, error) { return d.setConfig(body) },
		})
}

func (d *Daemon) setConfig(body []byte) ([]byte, error) {
	var p store.Patch
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&p); err != nil {
		return nil, status.Errorf(codes.InvalidArgument, "configuration: %v", err)
	}
	c, err := d.store.SetConfig(p)
	if err != nil {
		return nil, storeError(err)
	}
	return json.Marshal(c)
}

// storeError gives the store's errors their codes.
func storeError(err error) error {
	var not *store.NotLeader
	switch {
	case errors.As(err, &not) && not.Leader.Name == "":
		return status.Error(codes.Unavailable, err.Error())
	case errors.As(err, &not):
		s := status.New(codes.FailedPrecondition, err.Error())
		with, derr := s.WithDetails(&errdetails.ErrorInfo{
			Reason: ReasonNotLeader, Domain: "gannetchute",
			Metadata: map[string]string{"leader": not.Leader.Name, LeaderFlight: not.Leader.Flight},
		})
		if derr != nil {
			return s.Err()
		}
		return with.Err()
	case errors.Is(err, store.ErrUndecided):
		return status.Error(codes.Unknown, err.Error())
	case errors.Is(err, store.ErrInvalid):
		return status.Error(codes.InvalidArgument, err.Error())
	case errors.Is(err, store.ErrConflict):
		return status.Error(codes.Aborted, err.Error())
	}
	return status.Error(codes.Internal, fmt.Sprintf("store: %v", err))
}
