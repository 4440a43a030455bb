package daemon

import (
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
	"onyxsail/internal/connlimit"
	"onyxsail/internal/membudget"
	"onyxsail/internal/strictjson"
	"onyxsail/reach"
	"onyxsail/store"
	"onyxsail/tracing"
)

// Names of the operators' Flight actions. ReasonNotLeader and LeaderFlightKey are the error
// reason and the metadata key with which a follower returns the leader's Flight address.
const (
	ActionStatus    = "status"
	ActionConfigGet = "config.get"
	ActionConfigSet = "config.set"
	ActionTraceRead = "trace.read"
	ActionTraceTail = "trace.tail"
	ReasonNotLeader = "NOT_LEADER"
	LeaderFlightKey = "leader_flight"
)

// levelSampler is a zerolog.Sampler that drops log lines below a minimum level, which may
// change while the broker runs.
type levelSampler struct{ minLevel atomic.Int32 }

// Sample implements zerolog.Sampler.
func (s *levelSampler) Sample(level zerolog.Level) bool { return int32(level) >= s.minLevel.Load() }

// set sets the minimum level by its name; an empty or invalid name means info.
func (s *levelSampler) set(name string) {
	minLevel, err := zerolog.ParseLevel(name)
	if err != nil || name == "" {
		minLevel = zerolog.InfoLevel
	}
	s.minLevel.Store(int32(minLevel))
}

// rosterForwarder forwards updates of the list of nodes to the core. With a store, it also
// maintains the full list and passes it to the store.
type rosterForwarder struct {
	core         *broker.Core
	store        *store.Store           // nil: off
	nodes        map[string]broker.Node // the full list by ID; empty without a store
	onFirstNodes func()                 // called once, with the first list that has nodes
	once         sync.Once

	mu           sync.Mutex   // guards the fields below, nodes and the order of updates
	current      rosterSource // its updates are forwarded
	pending      rosterSource // becomes current with its first answer
	lastSourceID int
}

// rosterSource is the watch of one discovery, which delivers updates of the list. The zero
// value stands for no source.
type rosterSource struct {
	id     int
	cancel context.CancelFunc
}

// stop ends the source; it does nothing on the zero value.
func (s rosterSource) stop() {
	if s.cancel != nil {
		s.cancel()
	}
}

// addSource registers a new source that cancel stops. It returns the callbacks of the
// source: onAnswer for each answer of its discovery, and deliver for each update of the
// list, after onAnswer. The previous source stays in use until the first answer, because the
// new discovery may be down and what the old one reports until then still applies. After
// that, updates of the previous source are dropped, as they would bring back an outdated list.
func (r *rosterForwarder) addSource(cancel context.CancelFunc) (onAnswer func(), deliver func(broker.Roster)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending.stop()
	r.lastSourceID++
	added := rosterSource{r.lastSourceID, cancel}
	r.pending = added
	onAnswer = func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if added.id == r.pending.id {
			r.current.stop()
			r.current, r.pending = added, rosterSource{}
		}
	}
	return onAnswer, func(update broker.Roster) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if added.id == r.current.id {
			r.forward(update)
		}
	}
}

// stop ends all sources of updates.
func (r *rosterForwarder) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current.stop()
	r.pending.stop()
}

// forward passes an update to the core and the resulting full list to the store. Calls must
// not be concurrent: r.mu is held, except in Start, which has no source yet.
func (r *rosterForwarder) forward(update broker.Roster) {
	r.core.UpdateRoster(update)
	if len(update.Nodes) > 0 {
		r.once.Do(r.onFirstNodes)
	}
	if r.store == nil {
		return
	}
	if update.Kind != decide.ListDelta {
		clear(r.nodes)
	}
	for _, n := range update.Nodes {
		if r.nodes[n.ID] = n; n.State == decide.Removed {
			delete(r.nodes, n.ID)
		}
	}
	if update.Kind == decide.ListCached {
		return // a cached list must not replace a newer one in the store
	}
	nodes := make([]broker.Node, 0, len(r.nodes))
	for _, n := range r.nodes {
		nodes = append(nodes, n)
	}
	sort.Slice(nodes, func(i, j int) bool { return nodes[i].ID < nodes[j].ID })
	r.store.RecordRoster(store.Roster{Version: update.Version, Nodes: nodes})
}

// openStore opens the replicated store that the configuration describes.
func (d *Daemon) openStore() error {
	peers := make([]store.Peer, len(d.cfg.Store.Peers))
	for i, p := range d.cfg.Store.Peers {
		peers[i] = store.Peer{Name: p.Name, Raft: p.Raft, Flight: p.Flight}
	}
	s, err := store.Open(store.Options{
		Name: d.cfg.Name, Dir: d.cfg.Store.Dir, Peers: peers, Log: d.log, OnChange: d.applyStoreConfig,
	})
	if err != nil {
		return err
	}
	d.store, d.roster.store = s, s
	return nil
}

// applyStoreConfig applies the replicated configuration of state. Version 0 means that none
// has been set yet: then the configuration file stays in effect.
func (d *Daemon) applyStoreConfig(state store.State) {
	c := state.Config
	if c.Version == 0 {
		return
	}
	d.logLevel.set(c.LogLevel)
	d.handOverWindow.Store(int64(time.Duration(c.HandOverMs) * time.Millisecond))
	d.mu.Lock()
	defer d.mu.Unlock()
	maxOpen := d.cfg.Settings.MaxOpen
	if c.MaxOpen > 0 && (maxOpen == 0 || c.MaxOpen < maxOpen) { // the settings' value is a limit of the platform, which operators can only lower
		maxOpen = c.MaxOpen
	}
	d.limits = broker.Limits{QueueLimit: c.QueueLimit, MaxOpen: maxOpen}
	d.applyLimits()
	d.log.Info().Str("event", "configured").Uint64("version", c.Version).Msg("replicated configuration applied")
}

// Status is the result of the status action. Store is nil without a store, and Tracing nil
// without tracing.
type Status struct {
	Name    string          `json:"name"`
	Stats   broker.Stats    `json:"stats"`
	Store   *store.Status   `json:"store,omitempty"`
	Tracing *tracing.Counts `json:"tracing,omitempty"`
	// Connections has the connections of clients by front, "http" or "flight".
	Connections map[string]connlimit.Counts `json:"connections"`
	// ClientMemory is what clients make the process hold, over all fronts.
	ClientMemory membudget.Usage `json:"client_memory"`
	// Rejected counts the HTTP requests that were rejected, by status.
	Rejected map[int]int64 `json:"rejected,omitempty"`
	// LongestTurnMs is how long the other connections last waited for a single one, of "clients" and
	// of "nodes", in milliseconds.
	LongestTurnMs map[string]float64 `json:"longest_turn_ms"`
	// Addresses has the addresses of each node with more than one, in order of preference.
	Addresses map[string][]reach.AddressStatus `json:"addresses,omitempty"`
}

// Status returns the status of the broker, its store and its tracing.
func (d *Daemon) Status() Status {
	s := Status{Name: d.cfg.Name, Stats: d.Stats()}
	if d.store != nil {
		storeStatus := d.store.Status()
		s.Store = &storeStatus
	}
	s.Connections = map[string]connlimit.Counts{"http": d.httpFront.Conns()}
	if d.flightFront != nil {
		s.Connections["flight"] = d.flightFront.Conns()
	}
	s.ClientMemory, s.Rejected = d.clientMemory.Usage(), d.httpFront.Rejected()
	s.LongestTurnMs = map[string]float64{"clients": inMilliseconds(d.clientLoop.LongestTurn()), "nodes": inMilliseconds(d.nodeLoop.LongestTurn())}
	s.Addresses = d.frameNodes.Addresses()
	maps.Copy(s.Addresses, d.flightNodes.Addresses())
	if d.tracer != nil {
		counts := d.tracer.Counts()
		s.Tracing = &counts
	}
	return s
}

// inMilliseconds converts a duration to milliseconds.
func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// flightActions returns the operators' actions that the Flight front offers.
func (d *Daemon) flightActions() []flightfront.Action {
	actions := []flightfront.Action{{
		Name: ActionStatus, Description: "counts of this broker and its view of the store's group",
		Run: func(context.Context, []byte) ([]byte, error) { return json.Marshal(d.Status()) },
	}}
	if d.tracer != nil {
		actions = append(actions, d.traceActions()...)
	}
	if d.store == nil {
		return actions
	}
	return append(actions,
		flightfront.Action{
			Name: ActionConfigGet, Description: "the configuration as this instance has it",
			Run: func(context.Context, []byte) ([]byte, error) { return json.Marshal(d.store.State().Config) },
		},
		flightfront.Action{
			Name: ActionConfigSet, Description: "change fields of the configuration; goes to the leader",
			Run: func(_ context.Context, body []byte) ([]byte, error) { return d.setConfig(body) },
		})
}

// setConfig decodes a patch, proposes it to the store and returns the new configuration in
// JSON. Its errors are Flight statuses.
func (d *Daemon) setConfig(body []byte) ([]byte, error) {
	var patch store.Patch
	if err := strictjson.UnmarshalKnown(body, &patch); err != nil {
		return nil, status.Errorf(codes.InvalidArgument, "configuration: %v", err)
	}
	c, err := d.store.SetConfig(patch)
	if err != nil {
		return nil, flightStatus(err)
	}
	return json.Marshal(c)
}

// flightStatus maps the store's errors to Flight status codes. A follower that knows the
// leader attaches its name and Flight address as error details.
func flightStatus(err error) error {
	var notLeader *store.NotLeaderError
	switch {
	case errors.As(err, &notLeader) && notLeader.Leader.Name == "":
		return status.Error(codes.Unavailable, err.Error())
	case errors.As(err, &notLeader):
		st := status.New(codes.FailedPrecondition, err.Error())
		detailed, detailsErr := st.WithDetails(&errdetails.ErrorInfo{
			Reason: ReasonNotLeader, Domain: "gannetchute",
			Metadata: map[string]string{"leader": notLeader.Leader.Name, LeaderFlightKey: notLeader.Leader.Flight},
		})
		if detailsErr != nil {
			return st.Err()
		}
		return detailed.Err()
	case errors.Is(err, store.ErrOutcomeUnknown):
		return status.Error(codes.Unknown, err.Error())
	case errors.Is(err, store.ErrInvalid):
		return status.Error(codes.InvalidArgument, err.Error())
	case errors.Is(err, store.ErrConflict):
		return status.Error(codes.Aborted, err.Error())
	}
	return status.Error(codes.Internal, fmt.Sprintf("store: %v", err))
}
