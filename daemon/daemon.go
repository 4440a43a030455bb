// Package daemon assembles a broker from its configuration: the core, the HTTP and
// Flight fronts, the node clients, the roster, the store, tracing and the admin port.
// It is the entry point for a program that embeds the broker.
package daemon

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"runtime"
	"runtime/debug"
	"slices"
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
	"onyxsail/internal/connlimit"
	"onyxsail/internal/membudget"
	"onyxsail/internal/netio"
	"onyxsail/internal/query"
	"onyxsail/nodeclient"
	"onyxsail/store"
	"onyxsail/takeover"
	"onyxsail/tracing"
)

const (
	defaultMaxSockets   = 1024            // descriptors, where the platform gives no limit
	smallSocketLimit    = 128             // descriptors, below which reservedDescriptors are subtracted first
	reservedDescriptors = 16              // standard streams, pollers, listeners, discovery, one connection that Attach duplicates
	maxPendingWrite     = 512 << 10       // bytes buffered for one connection
	drainTimeout        = 8 * time.Second // longer than any answerTimeout, so no query is left open
	// initialListTimeout is how long a broker without a list of nodes waits for one before
	// it reports ready anyway. Nine in ten restarted brokers must be ready within 10 s, or
	// 6 s on a day that ends sooner, and an immediate refusal with a retry hint serves a
	// client better than a refused connection.
	initialListTimeout = 5 * time.Second
	// The platform kills a broker no earlier than killGracePeriod after its longest
	// deadline, counted from SIGTERM; a deadline counts as maxCountedDeadline at most
	// (PROTOCOL, "Figures"). Every accepted query is answered killSafetyMargin before that,
	// to allow for a delay between the signal and its handling and for the transmission of
	// the answers.
	killGracePeriod    = 700 * time.Millisecond
	maxCountedDeadline = 3 * time.Second
	killSafetyMargin   = 250 * time.Millisecond
	// idleKeepPercent is the percentage of the answer timeout for which a process that has
	// been replaced keeps its idle connections. The remainder is left for answering the
	// requests that still arrive on them.
	idleKeepPercent = 80
	// maxListStaleness bounds the time until a change of the list is known here once
	// discovery has it and is reachable, regardless of earlier failed calls.
	maxListStaleness = 6 * time.Second
)

// Daemon is a running broker.
type Daemon struct {
	cfg            *config.Config
	log            zerolog.Logger
	clientLoop     *netio.Loop // the sockets of the HTTP front
	nodeLoop       *netio.Loop // the sockets of the frame nodes: their answers must not wait behind clients' requests
	core           *broker.Core
	frameNodes     *nodeclient.Client
	flightNodes    *flightnode.Client
	httpFront      *httpfront.Front
	flightFront    *flightfront.Front // nil: off
	store          *store.Store       // nil: off
	tracer         *tracing.Tracer    // nil: off
	logLevel       *levelSampler
	handOverWindow atomic.Int64          // nanoseconds; new connections are accepted this long after Stop is called
	takeoverServer *takeover.Server      // serves a successor process; nil: not started yet, not possible, or closed; siblings.mu guards it
	predecessor    *takeover.Predecessor // the process that this one replaces; nil: none
	clientConns    *connlimit.Limiter    // of both fronts
	clientMemory   *membudget.Budget     // of both fronts
	connLimits     connLimits            // when no sibling process runs
	siblings       siblingProcesses
	admin          *admin.Server // nil: off
	reloadCounts   reloadCounters
	roster         *rosterForwarder
	listKnown      chan struct{}      // closed once a list with nodes has arrived
	stopListWait   context.CancelFunc // ends the wait for the first list
	stopCore       context.CancelFunc
	wg             sync.WaitGroup

	mu       sync.Mutex    // guards cfg and the fields below
	stopping bool          // Stop has drained the fronts; no reload is applied any more
	limits   broker.Limits // of the whole broker, as set by the configuration file and the store
	// processCount is the number of running processes of this broker, including this one.
	// 0 counts as 1: no other process has been known since the start.
	processCount int
}

// TuneRuntime sets GOMAXPROCS and the garbage collector's target from the platform's limits. It
// changes the whole process, so only a program that runs nothing but the broker calls it: at its
// start, and when the limits change. HeapLimiter sets the memory limit.
func TuneRuntime(limits config.Limits) {
	// At least two, even on one core: the socket goroutine blocks in epoll_wait, and with
	// a single P the core would wait until the scheduler retakes it.
	runtime.GOMAXPROCS(max(2, int(limits.Cores+0.5)))
	debug.SetGCPercent(400) // the live heap is small compared to the limit, so rarer collections fit into it
}

// connLimits are the limits of connections when no sibling process runs.
type connLimits struct {
	clients     int // over both fronts
	frameNodes  int // to nodes that use the frame protocol
	flightNodes int
}

// splitSockets divides the descriptors. Not included is a sixteenth for discovery, the log and the
// duplicates of connections that are being attached to the loop. A long cached list of nodes takes
// what it needs, first from the share of Flight nodes if it has none of these, then from the
// clients' share; nil is no list. Clients keep three eighths: they may hold a third of all
// descriptors with requests, and some more are being opened or closed.
func splitSockets(sockets int, cached *discovery.List) connLimits {
	if sockets < smallSocketLimit { // the process's own descriptors, about twelve, are a significant share here
		sockets = max(4, sockets-reservedDescriptors)
	}
	limits := connLimits{clients: sockets / 2, frameNodes: sockets * 5 / 16, flightNodes: sockets / 8}
	if cached != nil {
		wanted := len(cached.Nodes) + len(cached.Nodes)/8
		if !slices.ContainsFunc(cached.Nodes, usesFlight) {
			moveConns(&limits.flightNodes, &limits.frameNodes, sockets/32, wanted)
		}
		moveConns(&limits.clients, &limits.frameNodes, sockets*3/8, wanted)
	}
	limits.clients, limits.frameNodes, limits.flightNodes = max(1, limits.clients), max(1, limits.frameNodes), max(1, limits.flightNodes)
	return limits
}

// moveConns moves connections from one limit to another that is below what is wanted. The first
// keeps a minimum.
func moveConns(from, to *int, keep, wanted int) {
	moved := max(0, min(*from-keep, wanted-*to))
	*from, *to = *from-moved, *to+moved
}

// coreSink is the broker.ResultSink of the node clients. It resolves the circular dependency
// between the core and its node clients: its core is set after both exist.
type coreSink struct{ core *broker.Core }

// AttemptOutcome implements broker.ResultSink.
func (s *coreSink) AttemptOutcome(id broker.AttemptID, outcome decide.Outcome, response broker.Response) {
	s.core.AttemptOutcome(id, outcome, response)
}

// ProbeOutcome implements broker.ResultSink.
func (s *coreSink) ProbeOutcome(node string, outcome decide.Outcome, took time.Duration) {
	s.core.ProbeOutcome(node, outcome, took)
}

// Start starts a broker, which runs until Stop is called. The clients' port accepts
// connections when Start returns, but the broker reports ready only once it has a list with
// nodes or initialListTimeout is over. The broker keeps cfg, which must not change any more.
func Start(cfg *config.Config, log zerolog.Logger) (*Daemon, error) {
	clientLoop, err := netio.New(maxPendingWrite)
	if err != nil {
		return nil, err
	}
	nodeLoop, err := netio.New(maxPendingWrite)
	if err != nil {
		clientLoop.Stop()
		return nil, err
	}
	sockets := cfg.Limits.Sockets
	if sockets == 0 {
		sockets = defaultMaxSockets
	}
	sampler := &levelSampler{}
	sampler.set(cfg.LogLevel)
	log = log.Sample(sampler)
	conns := splitSockets(sockets, cfg.Known)
	d := &Daemon{cfg: cfg, log: log, clientLoop: clientLoop, nodeLoop: nodeLoop, logLevel: sampler, listKnown: make(chan struct{}), clientConns: connlimit.New(conns.clients), connLimits: conns}
	d.clientMemory = membudget.New(clientMemory(cfg.Limits.MemoryMB, false))
	d.limits.MaxOpen = cfg.Settings.MaxOpen
	d.handOverWindow.Store(int64(cfg.HandOverWindow))
	sink := &coreSink{}
	// These interfaces stay nil without a tracer, so that the core and the node clients
	// spend nothing on tracing.
	var observer broker.Observer
	var wireObserver broker.WireObserver
	if cfg.Tracing != nil {
		if d.tracer, err = tracing.Start(tracing.Options{Config: *cfg.Tracing, Broker: cfg.Name, Classes: tracingClasses(cfg), Log: log}); err != nil {
			d.stopLoops()
			return nil, err
		}
		observer, wireObserver = d.tracer, d.tracer
	}
	dialer := netio.NewDialer()
	d.frameNodes = nodeclient.New(nodeclient.Options{
		Loop: nodeLoop, Dialer: dialer, Sink: sink, StreamsPerConn: cfg.StreamsPerConn, ConnectTimeout: cfg.ConnectTimeout,
		ServerIdleTimeout: cfg.ServerIdleTimeout, MaxConns: conns.frameNodes, Observer: wireObserver,
		ProbesSupported: cfg.Settings.AllowProbes, DisableCancel: !cfg.Settings.AllowCancel, Log: log,
	})
	d.flightNodes = flightnode.New(flightnode.Options{
		Sink: sink, Dialer: dialer, ConnectTimeout: cfg.ConnectTimeout, ServerIdleTimeout: cfg.ServerIdleTimeout, MaxConns: conns.flightNodes, Observer: wireObserver, Log: log,
	})
	d.core = broker.New(broker.Options{
		Settings: cfg.Settings, Seed: cfg.Seed, Log: log,
		Nodes:  &router{frameClient: d.frameNodes, flightClient: d.flightNodes, sink: sink, log: log},
		Limits: d.limits, Observer: observer,
	})
	sink.core = d.core
	d.roster = &rosterForwarder{core: d.core, nodes: map[string]broker.Node{}, onFirstNodes: func() { close(d.listKnown) }}
	if cfg.Store != nil {
		if err := d.openStore(); err != nil {
			d.abortStart()
			return nil, err
		}
	}
	cachedVersion := d.useCachedList()
	var coreCtx, listCtx context.Context
	coreCtx, d.stopCore = context.WithCancel(context.Background())
	listCtx, d.stopListWait = context.WithCancel(context.Background())
	inherited, err := d.joinPredecessor()
	if err == nil {
		d.httpFront, err = httpfront.Listen(cfg.Listen, httpfront.Options{
			Core: d.core, Loop: clientLoop, Classes: classesByName(cfg), Shards: cfg.Settings.Shards,
			Conns: d.clientConns, Memory: d.clientMemory, Listener: inherited, Trace: cfg.Tracing != nil, Log: log,
		})
	}
	if err == nil && cfg.Flight != nil {
		d.flightFront, err = flightfront.Listen(cfg.Flight.Listen, flightfront.Options{
			Core: d.core, Classes: classesByName(cfg), Shards: cfg.Settings.Shards, Conns: d.clientConns, Memory: d.clientMemory, Log: log,
			Actions: d.flightActions(), Trace: cfg.Tracing != nil,
		})
	}
	if err == nil && cfg.Console != "" {
		d.admin, err = admin.Listen(cfg.Console, d, log)
	}
	if err != nil {
		d.abortStart()
		return nil, err
	}
	d.watchPredecessor()
	// The broker reports ready only once it has nodes. Until then it would refuse every
	// query, while the load balancer in front of it has other brokers to choose from.
	select {
	case <-d.listKnown:
		d.startServing()
	default:
		d.wg.Add(1)
		go func() {
			defer d.wg.Done()
			timer := time.NewTimer(initialListTimeout)
			defer timer.Stop()
			select {
			case <-d.listKnown:
			case <-timer.C:
				log.Warn().Str("event", "no-list").Dur("after", initialListTimeout).Msg("no list of nodes received in time; reporting ready and refusing queries until one arrives")
			case <-listCtx.Done():
				return
			}
			d.startServing()
		}()
	}
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		d.core.Run(coreCtx)
	}()
	d.mu.Lock()
	d.watchDiscovery(cfg.Discovery, cachedVersion)
	d.mu.Unlock()
	d.logIgnoredFields(cfg)
	log.Info().Str("event", "started").Str("name", cfg.Name).Str("listen", d.Addr().String()).
		Str("procs", strconv.Itoa(runtime.GOMAXPROCS(0))).Msg("serving")
	return d, nil
}

// useCachedList begins with the newest list that is at hand: that of the configuration, the last one
// that this broker had recorded, or the last one that the group has stored. It returns the version
// to ask discovery for changes from, nil if the whole list must be asked for.
//
// An empty list is ignored. Passed on, it would make every node of the first real list appear as
// newly added; the decision module would put them all into slow start, and a broker without traffic
// so far would refuse all queries for that time.
func (d *Daemon) useCachedList() (version *int64) {
	var newest store.Roster
	if known := d.cfg.Known; known != nil && len(known.Nodes) > 0 {
		newest, version = store.Roster{Version: known.Version, Nodes: known.Nodes}, &known.Version
	}
	if d.store != nil {
		for _, candidate := range []store.Roster{d.store.ToldRoster(), d.store.State().Roster} {
			if len(candidate.Nodes) > 0 && candidate.Newer(&newest) {
				newest, version = candidate, nil
			}
		}
	}
	if len(newest.Nodes) > 0 {
		d.roster.forward(broker.Roster{Kind: decide.ListCached, Version: newest.Version, Nodes: newest.Nodes})
	}
	return version
}

// logIgnoredFields logs the warnings of a configuration: the parts that this broker ignores.
func (d *Daemon) logIgnoredFields(cfg *config.Config) {
	for _, warning := range cfg.Warnings {
		d.log.Warn().Str("event", "unused").Str("field", warning.Path).Err(warning.Err).Msg("ignoring a part of the configuration")
	}
}

// watchDiscovery starts to watch discovery at addr. version is the version of the list
// that is known from this discovery; nil means that none is. The previous watch ends when
// the new one receives its first answer. d.mu must be held.
func (d *Daemon) watchDiscovery(addr string, version *int64) {
	ctx, cancel := context.WithCancel(context.Background())
	brokers := 0 // discovery pushes the list, so its capacity is no concern
	if d.cfg.Settings.MustSubscribe {
		brokers = d.cfg.Settings.Roots
	}
	maxStaleness := maxListStaleness
	if ms := d.cfg.Settings.MaxSubscribeIntervalMs; ms > 0 {
		maxStaleness = min(maxStaleness, time.Duration(ms*float64(time.Millisecond)))
	}
	onAnswer, deliver := d.roster.addSource(cancel)
	client := discovery.New(discovery.Options{
		Addr: addr, Zones: d.cfg.Zones, Kinds: d.cfg.Kinds, Log: d.log, OnAnswer: onAnswer, Deliver: deliver,
		KnownVersion: version, Brokers: brokers, Seed: d.cfg.Seed, PropagationLimit: maxStaleness,
	})
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		client.Run(ctx)
	}()
}

// Reload applies a configuration that config.Reload has returned for the one in use. The
// roster and all connections are kept. Fields that need a restart keep their old values and
// are listed in the log. With a store, the replicated configuration is applied again on top.
// The limits of cores and the collector's limit take effect only with TuneRuntime and HeapLimiter. Once Stop has drained
// the fronts, Reload applies nothing.
func (d *Daemon) Reload(cfg *config.Config) {
	if d.store != nil { // the replicated configuration takes precedence over the file
		defer func() { d.applyStoreConfig(d.store.State()) }()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopping {
		d.log.Info().Str("event", "reload").Msg("configuration not reloaded: the broker is stopping")
		return
	}
	d.reloadCounts.accepted.Add(1)
	old := d.cfg
	next := *old
	next.Discovery, next.FileDiscovery = cfg.Discovery, cfg.FileDiscovery
	next.LogLevel, next.HandOverWindow = cfg.LogLevel, cfg.HandOverWindow
	next.Limits.Cores, next.Limits.MemoryMB = cfg.Limits.Cores, cfg.Limits.MemoryMB
	next.Settings.MaxOpen = cfg.Settings.MaxOpen
	next.Settings.MaxAttempts = cfg.Settings.MaxAttempts
	next.Settings.Classes, next.Classes = cfg.Settings.Classes, cfg.Classes
	d.cfg = &next
	d.clientMemory.SetLimit(clientMemory(next.Limits.MemoryMB, d.processCount > 1))
	d.applyClasses()
	if next.LogLevel != old.LogLevel {
		d.logLevel.set(next.LogLevel)
	}
	if next.HandOverWindow != old.HandOverWindow {
		d.handOverWindow.Store(int64(next.HandOverWindow))
	}
	if next.Settings.MaxOpen != old.Settings.MaxOpen {
		d.limits.MaxOpen = next.Settings.MaxOpen
		d.applyLimits()
	}
	if next.Discovery != old.Discovery {
		d.watchDiscovery(next.Discovery, nil)
	}
	d.logIgnoredFields(cfg)
	d.log.Info().Str("event", "reload").Str("discovery", next.Discovery).Bool("moved", next.Discovery != old.Discovery).
		Strs("need_restart", config.FieldsNeedingRestart(old, cfg)).Msg("configuration reloaded")
}

// applyClasses applies the classes and the maximum number of attempts of d.cfg. The core
// gets them first, so that no front submits a class that the core does not know. d.mu must
// be held.
func (d *Daemon) applyClasses() {
	d.core.Reconfigure(d.cfg.Settings.Classes, d.cfg.Settings.MaxAttempts)
	byName := classesByName(d.cfg)
	d.httpFront.SetClasses(byName)
	if d.flightFront != nil {
		d.flightFront.SetClasses(byName)
	}
}

// stopLoops stops the loops of all sockets.
func (d *Daemon) stopLoops() {
	d.clientLoop.Stop()
	d.nodeLoop.Stop()
}

// abortStart closes what a failing Start has opened so far.
func (d *Daemon) abortStart() {
	if d.store != nil {
		_ = d.store.Close() // Start returns the error that made it fail
	}
	if d.httpFront != nil {
		canceled, cancel := context.WithCancel(context.Background())
		cancel()
		d.httpFront.Drain(canceled, 0)
	}
	d.closeTakeover()
	d.wg.Wait()
	d.frameNodes.Close()
	d.flightNodes.Close()
	d.stopLoops()
	if d.admin != nil {
		d.admin.Close()
	}
	if d.tracer != nil {
		d.tracer.Close(context.Background())
	}
}

// classesByName returns the classes that new queries may use, by name.
func classesByName(cfg *config.Config) map[string]query.Class {
	m := make(map[string]query.Class, len(cfg.Classes))
	for i, c := range cfg.Classes {
		if c.Retired {
			continue
		}
		m[c.Name] = query.Class{Name: c.Name, Index: i, Keyed: c.Keyed, DeadlineMs: cfg.Settings.Classes[i].DeadlineMs, SecondStep: c.SecondStep}
	}
	return m
}

// tracingClasses returns the classes in the form that the tracer needs.
func tracingClasses(cfg *config.Config) []tracing.Class {
	milliseconds := func(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }
	classes := make([]tracing.Class, len(cfg.Classes))
	for i, c := range cfg.Classes {
		s := &cfg.Settings.Classes[i]
		classes[i] = tracing.Class{Name: c.Name, Objective: milliseconds(s.ObjectiveMs), WorkFactor: s.ObjectiveWorkFactor, MaxObjective: milliseconds(s.DeadlineMs)}
	}
	return classes
}

// Addr returns the address where HTTP clients connect.
func (d *Daemon) Addr() net.Addr { return d.httpFront.Addr() }

// FlightAddr returns the address where Flight clients connect, or nil if that front is off.
func (d *Daemon) FlightAddr() net.Addr {
	if d.flightFront == nil {
		return nil
	}
	return d.flightFront.Addr()
}

// Stats returns the core's counters.
func (d *Daemon) Stats() broker.Stats { return d.core.Stats() }

// answerTimeout returns how long after the stop signal the broker may take to answer open
// queries. The platform may kill the process killSafetyMargin later.
func (d *Daemon) answerTimeout() time.Duration {
	longest := time.Duration(0)
	for i, class := range d.cfg.Settings.Classes {
		if d.cfg.Classes[i].Retired {
			continue
		}
		deadline := time.Duration(class.DeadlineMs * float64(time.Millisecond))
		longest = max(longest, cmp.Or(deadline, maxCountedDeadline)) // without a deadline clients may wait indefinitely
	}
	return min(longest, maxCountedDeadline) + killGracePeriod - killSafetyMargin
}

// Stop shuts the broker down after it has answered every accepted query. During the hand-over
// window it still accepts new connections, unless a successor process accepts them. It returns
// an error if the drain is not complete drainTimeout after that window, if ctx ends first, or
// if the store cannot be closed. It must be called once.
func (d *Daemon) Stop(ctx context.Context) error {
	stopTime, answerTimeout := time.Now(), d.answerTimeout()
	d.core.SetAnswerDeadline(stopTime.Add(answerTimeout))
	window := time.Duration(d.handOverWindow.Load())
	if d.hasSuccessor() {
		d.httpFront.SetHandedOver(stopTime.Add(answerTimeout * idleKeepPercent / 100))
	}
	d.log.Info().Str("event", "draining").Dur("window", window).Msg("stop requested; draining")
	ctx, cancel := context.WithTimeout(ctx, window+drainTimeout)
	defer cancel()
	d.httpFront.Drain(ctx, window)
	if d.tracer != nil {
		d.tracer.EndFollowers()
	}
	if d.flightFront != nil {
		d.flightFront.Drain(ctx)
	}
	err := ctx.Err()
	d.mu.Lock()
	d.stopping = true // a later reload would start a watch that nothing stops
	d.roster.stop()
	d.mu.Unlock()
	d.stopListWait()
	d.stopCore()
	d.closeTakeover()
	d.wg.Wait()
	d.frameNodes.Close()
	d.flightNodes.Close()
	d.stopLoops()
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
