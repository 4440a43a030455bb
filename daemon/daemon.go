// Package daemon puts the broker together from a configuration: core, fronts,
// node clients and the roster. A program that embeds the broker starts here.
package daemon

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"onyxsail/admin"
	"onyxsail/broker"
	"onyxsail/config"
	"onyxsail/decide"
	"onyxsail/discovery"
	"onyxsail/flightfront"
	"onyxsail/flightnode"
	"onyxsail/httpfront"
	"onyxsail/internal/netio"
	"onyxsail/internal/query"
	"onyxsail/nodeclient"
	"onyxsail/store"
	"onyxsail/takeover"
	"onyxsail/tracing"
)

const (
	defaultSockets = 1024
	few            = 128 // descriptors
	ownDescriptors = 16  // standard streams, pollers, listeners, discovery, one that changes hands
	// leastHeap is the least that the collector is told to keep to: under it the
	// program's own tables would keep it at work without end.
	leastHeap   = 16 << 20
	maxWrite    = 512 << 10       // bytes that wait at one connection
	drainWithin = 8 * time.Second // beyond the longest deadline nothing is left
	// readyWithin is how long a broker without a list waits for one before it takes
	// clients all the same: nine in ten that restart must be ready within 10 s, or 6 s on a
	// day that ends sooner, and a refusal at once, with a time to come back, is more than a
	// closed door.
	readyWithin = 5 * time.Second
	// The platform kills a broker killGrace after its longest deadline, which counts as
	// longestCounted at most, from SIGTERM on at the earliest (PROTOCOL, "Figures"). All
	// that was taken has its answer stopSpare before: so much for a program that is held up
	// between the signal and its clock, and for the answers' way.
	killGrace      = 700 * time.Millisecond
	longestCounted = 3 * time.Second
	stopSpare      = 250 * time.Millisecond
	// restShare is the part, in hundredths, of the time for answers for which a process that
	// has been replaced keeps connections that rest: what still comes there needs the rest.
	restShare = 80
	// toldWithin is when news of the list counts as told once discovery has it and can be
	// reached, whatever calls have failed before.
	toldWithin = 6 * time.Second
)

// Daemon is one broker that runs.
type Daemon struct {
	cfg             *config.Config
	log             zerolog.Logger
	loop            *netio.Loop
	core            *broker.Core
	nodes           *nodeclient.Client
	remote          *flightnode.Client
	front           *httpfront.Front
	flight          *flightfront.Front // nil: off
	store           *store.Store       // nil: off
	tracer          *tracing.Tracer    // nil: off
	level           *level
	window          atomic.Int64          // of the hand-over, in nanoseconds
	host            *takeover.Host        // for the process that takes this one's place; nil: none can
	before          *takeover.Predecessor // whose place this one takes; nil: none
	clients, frames int                   // descriptors while this process is alone
	beside          neighbours
	admin           *admin.Server // nil: off
	reloads         reloads
	seen            *roster
	known           chan struct{}      // closed once a list with nodes is in hand
	cancel          context.CancelFunc // of the wait for a list
	stop            context.CancelFunc // of the core
	wg              sync.WaitGroup

	mu     sync.Mutex    // guards cfg, what follows, and limits that two sides set
	over   bool          // Stop has begun
	limits broker.Limits // of the whole broker, as its two sides have set them
	// processes of this broker run, this one included; 0: this one alone, since its start.
	processes int
}

// TuneRuntime fits the Go runtime to the platform's limits: it is called once
// by a program that is the broker alone.
//
// beside says that another process of the broker runs, which has half of the memory.
func TuneRuntime(l config.Limits, beside bool) {
	// Two, also on one core: the socket goroutine sits in epoll_wait, and with
	// one the core would wait until the scheduler takes its place back.
	runtime.GOMAXPROCS(max(2, int(l.Cores+0.5)))
	if l.MemoryMB > 0 {
		bytes := int64(l.MemoryMB) << 20 * 7 / 10
		if beside {
			bytes /= 2
		}
		debug.SetMemoryLimit(max(leastHeap, bytes))
	}
	debug.SetGCPercent(400) // the live heap is small beside the limit
}

// shares splits the descriptors between clients and nodes that speak frames; an
// eighth is left for nodes that speak Flight. A sixteenth is kept
// for discovery, the log and connections that change hands. Without a Flight front
// its share goes to the clients; what a long list needs comes out of theirs.
func shares(sockets int, flight bool, known *discovery.List) (clients, frames int) {
	if sockets < few { // the program's own, some twelve, are no longer a small share
		sockets = max(4, sockets-ownDescriptors)
	}
	clients, frames = sockets/2, sockets*5/16
	if flight {
		clients = sockets * 3 / 8
	}
	if known != nil {
		spare := max(0, clients-sockets/4) // clients keep a quarter
		want := len(known.Nodes) + len(known.Nodes)/8
		more := max(0, min(spare, want-frames))
		clients, frames = clients-more, frames+more
	}
	return max(1, clients), max(1, frames)
}

// sink breaks the circle between the core and its node clients.
type sink struct{ core *broker.Core }

func (s *sink) Outcome(id broker.AttemptID, o decide.Outcome, a broker.Answer) {
	s.core.Outcome(id, o, a)
}

func (s *sink) Probed(node string, o decide.Outcome, took time.Duration) {
	s.core.Probed(node, o, took)
}

// Start starts a broker. Its client's port answers when Start returns.
func Start(cfg *config.Config, log zerolog.Logger) (*Daemon, error) {
	loop, err := netio.New(maxWrite)
	if err != nil {
		return nil, err
	}
	sockets := cfg.Limits.Sockets
	if sockets == 0 {
		sockets = defaultSockets
	}
	lev := &level{}
	lev.set(cfg.LogLevel)
	log = log.Sample(lev)
	clients, frames := shares(sockets, cfg.Flight != nil, cfg.Known)
	d := &Daemon{cfg: cfg, log: log, loop: loop, level: lev, known: make(chan struct{}), clients: clients, frames: frames}
	d.limits.MaxOpen = cfg.Settings.MaxOpen
	d.window.Store(int64(cfg.HandOver))
	s := &sink{}
	// Interfaces that stay nil without a tracer: the core and the wires then
	// spend nothing.
	var observer broker.Observer
	var wire broker.WireObserver
	if cfg.Tracing != nil {
		if d.tracer, err = tracing.Start(tracing.Options{Config: *cfg.Tracing, Broker: cfg.Name, Classes: traced(cfg), Log: log}); err != nil {
			loop.Stop()
			return nil, err
		}
		observer, wire = d.tracer, d.tracer
	}
	dialer := netio.NewDialer()
	d.nodes = nodeclient.New(nodeclient.Options{
		Loop: loop, Dialer: dialer, Sink: s, StreamsPerConn: cfg.StreamsPerConn, ConnectTimeout: cfg.ConnectTimeout,
		ConnIdle: cfg.ConnIdle, MaxConns: frames, Observer: wire,
		Probes: cfg.Settings.MayProbe, NoCancel: !cfg.Settings.MayCancel, Log: log,
	})
	d.remote = flightnode.New(flightnode.Options{
		Sink: s, Dialer: dialer, ConnectTimeout: cfg.ConnectTimeout, ConnIdle: cfg.ConnIdle, MaxConns: sockets / 8, Observer: wire, Log: log,
	})
	d.core = broker.New(broker.Options{
		Settings: cfg.Settings, Seed: cfg.Seed, Log: log,
		Nodes:  &router{frames: d.nodes, flight: d.remote, sink: s, log: log},
		Limits: d.limits, Observer: observer,
	})
	s.core = d.core
	d.seen = &roster{core: d.core, nodes: map[string]broker.Node{}, ready: func() { close(d.known) }}
	if cfg.Store != nil {
		if err := d.openStore(); err != nil {
			d.abort()
			return nil, err
		}
	}
	// An empty list tells nothing: handed on, it would make every node of the
	// first real list a newcomer, which the module spares as cold, and a broker
	// without traffic yet would refuse all for as long.
	var known *int64
	if cfg.Known != nil && len(cfg.Known.Nodes) > 0 {
		known = &cfg.Known.Version
		d.seen.deliver(broker.Roster{Kind: decide.ListCached, Version: cfg.Known.Version, Nodes: cfg.Known.Nodes})
	} else if d.store != nil { // the last list that the group had, maybe old
		if last := d.store.State().Roster; len(last.Nodes) > 0 {
			d.seen.deliver(broker.Roster{Kind: decide.ListCached, Version: last.Version, Nodes: last.Nodes})
		}
	}
	var run, wait context.Context
	run, d.stop = context.WithCancel(context.Background())
	wait, d.cancel = context.WithCancel(context.Background())
	socket, err := d.join()
	if err == nil {
		d.front, err = httpfront.Listen(cfg.Listen, httpfront.Options{
			Core: d.core, Loop: loop, Classes: classes(cfg), Shards: cfg.Settings.Shards,
			MaxConns: clients, Listener: socket, Trace: cfg.Tracing != nil, Log: log,
		})
	}
	if err == nil && cfg.Flight != nil {
		d.flight, err = flightfront.Listen(cfg.Flight.Listen, flightfront.Options{
			Core: d.core, Classes: classes(cfg), Shards: cfg.Settings.Shards, MaxConns: sockets / 8, Log: log,
			Actions: d.actions(), Trace: cfg.Tracing != nil,
		})
	}
	if err == nil && cfg.Console != "" {
		d.admin, err = admin.Listen(cfg.Console, d, log)
	}
	if err != nil {
		d.abort()
		return nil, err
	}
	d.followBefore()
	// Ready only with nodes to ask: until then every query would be refused,
	// and the layer before us has other brokers.
	select {
	case <-d.known:
		d.serving()
	default:
		d.wg.Add(1)
		go func() {
			defer d.wg.Done()
			late := time.NewTimer(readyWithin)
			defer late.Stop()
			select {
			case <-d.known:
			case <-late.C:
				log.Warn().Str("event", "no-list").Dur("after", readyWithin).Msg("no list of nodes has come; clients are taken and refused")
			case <-wait.Done():
				return
			}
			d.serving()
		}()
	}
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		d.core.Run(run)
	}()
	d.mu.Lock()
	d.followAt(cfg.Discovery, known)
	d.mu.Unlock()
	d.passedOver(cfg)
	log.Info().Str("event", "started").Str("name", cfg.Name).Str("listen", d.Addr().String()).
		Str("procs", strconv.Itoa(runtime.GOMAXPROCS(0))).Msg("serving")
	return d, nil
}

// passedOver says what of the configuration this broker does without.
func (d *Daemon) passedOver(cfg *config.Config) {
	for _, n := range cfg.Notes {
		d.log.Warn().Str("event", "unused").Str("field", n.Path).Err(n.Err).Msg("the configuration has something that this broker does without")
	}
}

// followAt begins to watch discovery at addr, from the version in hand where
// that is this discovery's. The watch before it ends once this one has been
// answered. d.mu is held.
func (d *Daemon) followAt(addr string, known *int64) {
	ctx, end := context.WithCancel(context.Background())
	brokers := 0
	if d.cfg.Settings.AskForList {
		brokers = d.cfg.Settings.Roots
	}
	told := toldWithin
	if ms := d.cfg.Settings.AskWithinMs; ms > 0 {
		told = min(told, time.Duration(ms*float64(time.Millisecond)))
	}
	heard, deliver := d.seen.source(end)
	client := discovery.New(discovery.Options{
		Addr: addr, Zones: d.cfg.Zones, Kinds: d.cfg.Kinds, Log: d.log, Heard: heard, Deliver: deliver,
		Known: known, Brokers: brokers, Seed: d.cfg.Seed, Told: told,
	})
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		client.Run(ctx)
	}()
}

// Reload takes a configuration into use that was read anew while the broker
// runs. The roster and all connections survive; fields that only a restart can
// apply keep their old values and are named in the log.
func (d *Daemon) Reload(cfg *config.Config) {
	if d.store != nil { // what the group has set goes on to hold
		defer func() { d.configure(d.store.State()) }()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.over {
		d.log.Info().Str("event", "reload").Msg("not applied: the broker is stopping")
		return
	}
	d.reloads.accepted.Add(1)
	old := d.cfg
	next := *old
	next.Discovery, next.FileDiscovery = cfg.Discovery, cfg.FileDiscovery
	next.LogLevel, next.HandOver = cfg.LogLevel, cfg.HandOver
	next.Limits.Cores, next.Limits.MemoryMB = cfg.Limits.Cores, cfg.Limits.MemoryMB
	next.Settings.MaxOpen = cfg.Settings.MaxOpen
	next.Settings.MaxAttempts = cfg.Settings.MaxAttempts
	next.Settings.Classes, next.Classes = cfg.Settings.Classes, cfg.Classes
	d.cfg = &next
	d.reclassify()
	if next.LogLevel != old.LogLevel {
		d.level.set(next.LogLevel)
	}
	if next.HandOver != old.HandOver {
		d.window.Store(int64(next.HandOver))
	}
	if next.Settings.MaxOpen != old.Settings.MaxOpen {
		d.limits.MaxOpen = next.Settings.MaxOpen
		d.applyLimits()
	}
	if next.Discovery != old.Discovery {
		d.followAt(next.Discovery, nil)
	}
	d.passedOver(cfg)
	d.log.Info().Str("event", "reload").Str("discovery", next.Discovery).Bool("moved", next.Discovery != old.Discovery).
		Strs("need_restart", config.NeedRestart(old, cfg)).Msg("the configuration file was read again")
}

// reclassify takes the classes and the attempts allowed of d.cfg into use. The core has
// them before a front names them. d.mu is held.
func (d *Daemon) reclassify() {
	d.core.Reconfigure(d.cfg.Settings.Classes, d.cfg.Settings.MaxAttempts)
	byName := classes(d.cfg)
	d.front.SetClasses(byName)
	if d.flight != nil {
		d.flight.SetClasses(byName)
	}
}

// abort undoes a start that failed half way.
func (d *Daemon) abort() {
	if d.store != nil {
		_ = d.store.Close() // the failed start is the error that counts
	}
	if d.front != nil {
		over, cancel := context.WithCancel(context.Background())
		cancel()
		d.front.Drain(over, 0)
	}
	d.leave()
	d.wg.Wait()
	d.nodes.Close()
	d.remote.Close()
	d.loop.Stop()
	if d.admin != nil {
		d.admin.Close()
	}
	if d.tracer != nil {
		d.tracer.Close(context.Background())
	}
}

func classes(cfg *config.Config) map[string]query.Class {
	m := make(map[string]query.Class, len(cfg.Classes))
	for i, c := range cfg.Classes {
		if c.Retired {
			continue
		}
		m[c.Name] = query.Class{Name: c.Name, Index: i, Keyed: c.Keyed, DeadlineMs: cfg.Settings.Classes[i].DeadlineMs}
	}
	return m
}

// traced is what the tracer needs of the classes.
func traced(cfg *config.Config) []tracing.Class {
	ms := func(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }
	all := make([]tracing.Class, len(cfg.Classes))
	for i, c := range cfg.Classes {
		s := &cfg.Settings.Classes[i]
		all[i] = tracing.Class{Name: c.Name, Objective: ms(s.AimMs), WorkFactor: s.AimStretch, MaxObjective: ms(s.DeadlineMs)}
	}
	return all
}

// Addr is where clients connect.
func (d *Daemon) Addr() net.Addr { return d.front.Addr() }

// FlightAddr is where Flight clients connect; nil where that front is off.
func (d *Daemon) FlightAddr() net.Addr {
	if d.flight == nil {
		return nil
	}
	return d.flight.Addr()
}

// Stats returns the core's counts.
func (d *Daemon) Stats() broker.Stats { return d.core.Stats() }

// answerWithin is how long after it was told to stop a broker may take to answer what is
// open: the platform may kill it soon after.
func (d *Daemon) answerWithin() time.Duration {
	longest := time.Duration(0)
	for i, class := range d.cfg.Settings.Classes {
		if d.cfg.Classes[i].Retired {
			continue
		}
		deadline := time.Duration(class.DeadlineMs * float64(time.Millisecond))
		longest = max(longest, cmp.Or(deadline, longestCounted)) // without one clients may wait for any time
	}
	return min(longest, longestCounted) + killGrace - stopSpare
}

// Stop takes new connections through the hand-over window, answers all that
// was taken and ends.
func (d *Daemon) Stop(ctx context.Context) error {
	told, within := time.Now(), d.answerWithin()
	d.core.EndBy(told.Add(within))
	window := time.Duration(d.window.Load())
	if d.succeeded() {
		d.front.HandedOver(told.Add(within * restShare / 100))
	}
	d.log.Info().Str("event", "draining").Dur("window", window).Msg("told to stop")
	ctx, cancel := context.WithTimeout(ctx, window+drainWithin)
	defer cancel()
	d.front.Drain(ctx, window)
	if d.tracer != nil {
		d.tracer.EndFollowers()
	}
	if d.flight != nil {
		d.flight.Drain(ctx)
	}
	err := ctx.Err()
	d.mu.Lock()
	d.over = true // a reload from now on would start what nothing ends
	d.seen.stop()
	d.mu.Unlock()
	d.cancel()
	d.stop()
	d.leave()
	d.wg.Wait()
	d.nodes.Close()
	d.remote.Close()
	d.loop.Stop()
	if d.admin != nil {
		d.admin.Close()
	}
	if d.tracer != nil {
		d.tracer.Close(ctx)
	}
	if d.store != nil {
		err = errors.Join(err, d.store.Close())
	}
	s := d.core.Stats()
	d.log.Info().Str("event", "stopped").Int64("queries", s.Queries).Int64("served", s.Served).
		Int64("refused", s.Refused).Int64("failed", s.Failed).Int64("expired", s.Expired).Int64("left", s.Left).
		Int64("attempts", s.Attempts).Int64("turns", s.Turns).Msg("stopped")
	if err != nil {
		return fmt.Errorf("stopping: %w", err)
	}
	return nil
}
