// Package discovery follows the list of nodes: it fetches the full list and then watches for
// changes by long polls. It fetches the full list again only if changes may have been missed.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"onyxsail/broker"
	"onyxsail/decide"
	"onyxsail/internal/http1"
)

const (
	maxListBytes = 8 << 20          // maximum size of an answer's body
	maxWatch     = 20 * time.Second // longest wait that a watch asks for
	// dialTimeout bounds connecting, and requestTimeout a whole request for the full list.
	dialTimeout    = time.Second
	requestTimeout = 2 * time.Second
	// queuedRefusalTime is how long a refused request must have taken to count as refused
	// after a wait in discovery's queue, rather than at once.
	queuedRefusalTime = requestTimeout / 2
	// A watch may go silent and deliver nothing for the rest of its wait. A change that it
	// misses counts as delivered 2 s after the end of the wait, so a new watch must be open
	// by then: the silent one times out watchGrace after its wait, and is reopened within
	// maxReopenDelay of that.
	watchGrace     = time.Second
	maxReopenDelay = 100 * time.Millisecond
	// Where brokers do not share a discovery of limited capacity, a watch asks to wait for
	// uncontendedWatch and times out uncontendedWatchGrace later, so that a silent one is
	// soon reopened.
	uncontendedWatch      = time.Second
	uncontendedWatchGrace = 500 * time.Millisecond
	// Where brokers do share it, a watch waits for watchPerBroker times their number, from
	// minWatch to maxWatch. A silent watch of minWatch is noticed and reopened less than
	// 6 s after it began.
	watchPerBroker = 200 * time.Millisecond
	minWatch       = 3 * time.Second
	// propagationMargin is the part of the propagation limit that is reserved for the
	// transfer of an answer and for putting the list into use.
	propagationMargin = 750 * time.Millisecond
)

// errWatchSilent reports a watch on which nothing arrived within its time-out.
var errWatchSilent = errors.New("watch timed out without an answer")

// statusError is an HTTP status other than 200, with which discovery refused a request.
type statusError int

// Error implements error.
func (s statusError) Error() string { return fmt.Sprintf("calling discovery: status %d", int(s)) }

// maxPauseFor returns the longest pause after a failed request that keeps to a propagation
// limit, which counts from the moment at which discovery can be reached again: a request that
// is open at that moment must time out first. The result is at least a quarter of the limit;
// it is 0, and so bounds no pause, for a limit of 0.
func maxPauseFor(limit time.Duration) time.Duration {
	return max(limit/4, limit-requestTimeout-propagationMargin)
}

// Options configures a Client.
type Options struct {
	Addr         string   // host:port of discovery
	Zones, Kinds []string // names in the settings; a node's zone and kind are indexes into them
	// KnownVersion is the version of the list that the broker already has from this
	// discovery; nil: it has none, and the full list is fetched.
	KnownVersion *int64
	Brokers      int // brokers that share a discovery of limited capacity; 0: capacity is no concern
	// PropagationLimit is the time within which a change must be known once discovery has
	// it and can be reached, also after requests that have failed; 0: no limit.
	PropagationLimit time.Duration
	Seed             uint64 // of the jitter; must differ between brokers
	// OnAnswer is called at each valid answer, including those without changes; it may be
	// nil. Like Deliver it is called on Run's goroutine.
	OnAnswer func()
	// Deliver is called with each full list and each set of changes.
	Deliver func(broker.Roster)
	Log     zerolog.Logger
}

// Client follows the list over one connection at a time.
type Client struct {
	opts            Options
	conn            net.Conn
	parser          http1.Parser
	version         int64 // of the latest answer
	hasFullList     bool  // the broker has a full list, to which changes apply
	lastWatchSilent bool  // the latest request was a watch that fell silent
}

// New returns a client; Run starts it.
func New(o Options) *Client {
	c := &Client{opts: o}
	if o.KnownVersion != nil {
		c.version, c.hasFullList = *o.KnownVersion, true
	}
	return c
}

// Run follows the list until ctx ends. A known list is continued from its version: each
// entry of a full list costs discovery work, and brokers that start together would keep it
// from delivering changes to anyone. The next request is sent as soon as an answer has been
// read, which continues the watch: discovery counts a request that arrives more than 200 ms
// later as a new watch. A silent watch is reopened after a short delay; if the next one is
// silent too, that is handled like a failed request.
func (c *Client) Run(ctx context.Context) {
	defer c.closeConn()
	backoff := NewBackoff(c.opts.Brokers, maxPauseFor(c.opts.PropagationLimit), c.opts.Seed)
	if c.hasFullList && !sleep(ctx, backoff.StartDelay()) {
		return
	}
	for ctx.Err() == nil {
		began := time.Now()
		err := c.poll(ctx)
		if err == nil {
			backoff.Reset()
			c.lastWatchSilent = false
			continue
		}
		c.closeConn()
		if ctx.Err() != nil {
			return
		}
		pause := backoff.ReopenDelay()
		if silentAgain := c.lastWatchSilent; !errors.Is(err, errWatchSilent) || silentAgain {
			pause = backoff.NextPause(isQueueOverload(err, time.Since(began)))
		}
		c.lastWatchSilent = errors.Is(err, errWatchSilent)
		// The current list stays in use.
		c.opts.Log.Warn().Str("event", "discovery").Err(err).Dur("pause", pause).Msg("request to discovery failed")
		sleep(ctx, pause)
	}
}

// isQueueOverload reports whether discovery refused a request after elapsed, which shows that
// the request had waited in its queue. A discovery that refuses at once may recover at any
// moment.
func isQueueOverload(err error, elapsed time.Duration) bool {
	var refused statusError
	return errors.As(err, &refused) && elapsed >= queuedRefusalTime
}

// sleep waits for d; it returns false at once when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// poll sends one request, a watch if the broker has a full list, and delivers its answer.
func (c *Client) poll(ctx context.Context) error {
	path, timeout := "/v1/endpoints", requestTimeout
	if c.hasFullList {
		wait := c.watchTime()
		if timeout = wait + watchGrace; c.opts.Brokers == 0 {
			timeout = wait + uncontendedWatchGrace
		}
		q := url.Values{"after": {strconv.FormatUint(uint64(c.version), 10)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
		path += "?" + q.Encode()
	}
	m, err := c.request(ctx, path, timeout)
	if err != nil {
		return err
	}
	if m.Status != 200 {
		return statusError(m.Status)
	}
	list, err := ParseList(m.Body, c.opts.Zones, c.opts.Kinds)
	if err != nil {
		c.hasFullList = false // the changes in it are lost: fetch the full list next
		return err
	}
	for _, f := range list.AddressErrors {
		c.opts.Log.Warn().Str("event", "list-address").Str("node", f.Node).Str("field", f.Field).Err(f.Err).
			Msg("ignoring an unusable address of a node in the list")
	}
	if !list.Full && !c.hasFullList {
		return errors.New("calling discovery: got changes, want the full list")
	}
	if !list.Full && uint64(list.Version) < uint64(c.version) { // discovery has restarted: earlier lists may no longer hold
		c.hasFullList = false
		return fmt.Errorf("calling discovery: got version %d, lower than %d before", uint64(list.Version), uint64(c.version))
	}
	c.version = list.Version
	kind := decide.ListDelta
	if list.Full {
		kind, c.hasFullList = decide.ListFull, true
	}
	if c.opts.OnAnswer != nil {
		c.opts.OnAnswer()
	}
	if list.Full || len(list.Nodes) > 0 {
		c.opts.Deliver(broker.Roster{Kind: kind, Version: list.Version, Nodes: list.Nodes})
	}
	return nil
}

// watchTime returns the wait that a watch asks discovery for.
func (c *Client) watchTime() time.Duration {
	if c.opts.Brokers == 0 {
		return uncontendedWatch
	}
	return min(max(minWatch, time.Duration(c.opts.Brokers)*watchPerBroker), maxWatch)
}

// request sends one GET request and returns its answer; timeout includes connecting.
func (c *Client) request(ctx context.Context, path string, timeout time.Duration) (*http1.Message, error) {
	start := time.Now()
	if c.conn == nil {
		d := net.Dialer{Timeout: dialTimeout}
		conn, err := d.DialContext(ctx, "tcp", c.opts.Addr)
		if err != nil {
			return nil, fmt.Errorf("connecting to discovery: %w", err)
		}
		c.conn, c.parser = conn, http1.Parser{MaxBodyBytes: maxListBytes, Responses: true}
	}
	conn := c.conn
	if err := conn.SetDeadline(start.Add(timeout)); err != nil {
		return nil, fmt.Errorf("calling discovery: %w", err)
	}
	// Registered after the request's own deadline is set: ctx may have ended already, and
	// the deadline in the past, which ends the request, must be the last one set.
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	defer stop()
	if _, err := conn.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: " + c.opts.Addr + "\r\n\r\n")); err != nil {
		return nil, fmt.Errorf("calling discovery: %w", err)
	}
	buf := make([]byte, 16<<10)
	for {
		n, err := conn.Read(buf)
		c.parser.Feed(buf[:n])
		m, parseErr := c.parser.Next()
		c.parser.Detach()                                          // buf is read into again
		if parseErr == nil && m == nil && errors.Is(err, io.EOF) { // a reset or a time-out does not complete an answer
			m, parseErr = c.parser.EndOfStream()
		}
		switch {
		case parseErr != nil:
			return nil, fmt.Errorf("reading discovery's answer: %w", parseErr)
		case m != nil && m.Status >= 200:
			if m.Close || err != nil {
				c.closeConn()
			}
			return m, nil
		case errors.Is(err, os.ErrDeadlineExceeded) && c.hasFullList && !c.parser.InMessage():
			return nil, errWatchSilent
		case err != nil:
			return nil, fmt.Errorf("reading discovery's answer: %w", err)
		}
	}
}

// closeConn closes the connection, if there is one.
func (c *Client) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
