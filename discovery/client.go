// Package discovery follows the list of nodes: it fetches the whole list once
// and then watches for changes.
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
	maxList  = 8 << 20
	watchFor = 20 * time.Second
	// dialWithin and answerWithin bound a call that does not wait, the second in all.
	dialWithin   = time.Second
	answerWithin = 2 * time.Second
	// queuedFor is how long a refused call must have taken to have stood in a queue.
	queuedFor = answerWithin / 2
	// A watch may fall silent, and then tells nothing for as long as it is waited for.
	// What it misses counts as told 2 s after that: it is late this much after its wait,
	// and opened anew within so much more.
	watchSlack = time.Second
	anew       = 100 * time.Millisecond
	// Where calls cost nothing they wait this long, and are late after so much more, so
	// that a silent one is soon opened anew.
	freeWatch = time.Second
	freeSlack = 500 * time.Millisecond
	// Where they do cost, they wait longer the more brokers ask, this long for each and
	// leastWatch: a silent watch of that is known of, and opened anew, less than 6 s after
	// it began.
	watchEach  = 200 * time.Millisecond
	leastWatch = 3 * time.Second
	// spare is kept of the time in which a change must be known: for the answer's way,
	// and the list's into use.
	spare = 750 * time.Millisecond
)

// errSilent is the end of a watch that did not say a word within its time.
var errSilent = errors.New("the watch has fallen silent")

// statusError is discovery's own word that it does not answer.
type statusError int

func (s statusError) Error() string { return fmt.Sprintf("calling discovery: status %d", int(s)) }

// away is the longest that a broker may leave discovery alone after a call that has
// failed, where a change must be known within told of the moment at which it could be
// reached: the call that is out then must come to its end before.
func away(told time.Duration) time.Duration { return max(told/4, told-answerWithin-spare) }

// Options make a Client.
type Options struct {
	Addr         string
	Zones, Kinds []string
	// Known is the version of the list in hand from this discovery; nil: none
	// is, and the whole list is asked for.
	Known   *int64
	Brokers int // that share a discovery of scarce room; 0: its answers cost nothing
	// Told is how soon a change must be known once discovery has it and can be reached,
	// also after calls that have failed.
	Told time.Duration
	Seed uint64 // different at each broker
	// Heard is called at each answer, one without news too; it may be nil.
	Heard   func()
	Deliver func(broker.Roster)
	Log     zerolog.Logger
}

// Client follows the list. It keeps one connection.
type Client struct {
	opts    Options
	conn    net.Conn
	parser  http1.Parser
	version int64 // of the latest answer
	whole   bool  // a full list is in hand
	silent  bool  // the latest call was a watch that fell silent
}

// New returns a client that Run starts.
func New(o Options) *Client {
	c := &Client{opts: o}
	if o.Known != nil {
		c.version, c.whole = *o.Known, true
	}
	return c
}

// Run follows the list until ctx ends. A list in hand is carried on from its
// version: each line of a whole list costs discovery work, and brokers that
// start together would keep it from telling changes to anybody. The next call goes out as soon as an
// answer is read, which keeps the watch going: a call over 200 ms later would
// begin a new one.
func (c *Client) Run(ctx context.Context) {
	defer c.hangUp()
	pace := NewPace(c.opts.Brokers, away(c.opts.Told), c.opts.Seed)
	if c.whole && !sleep(ctx, pace.Start()) {
		return
	}
	for ctx.Err() == nil {
		began := time.Now()
		err := c.step(ctx)
		if err == nil {
			pace.Answered()
			c.silent = false
			continue
		}
		c.hangUp()
		if ctx.Err() != nil {
			return
		}
		pause := pace.Anew()
		if again := c.silent; !errors.Is(err, errSilent) || again {
			pause = pace.Failed(overbooked(err, time.Since(began)))
		}
		c.silent = errors.Is(err, errSilent)
		// What is in hand stands: the module works on with its old list.
		c.opts.Log.Warn().Str("event", "discovery").Err(err).Dur("pause", pause).Msg("discovery does not answer")
		sleep(ctx, pause)
	}
}

// overbooked says whether discovery turned a call away that had stood in its queue. One
// that refuses at once may be back at any moment.
func overbooked(err error, took time.Duration) bool {
	var refused statusError
	return errors.As(err, &refused) && took >= queuedFor
}

// sleep waits for d; it returns false once ctx ends.
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

// step makes one call and delivers its answer.
func (c *Client) step(ctx context.Context) error {
	path, within := "/v1/endpoints", answerWithin
	if c.whole {
		wait := c.wait()
		if within = wait + watchSlack; c.opts.Brokers == 0 {
			within = wait + freeSlack
		}
		q := url.Values{"after": {strconv.FormatUint(uint64(c.version), 10)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
		path += "?" + q.Encode()
	}
	m, err := c.call(ctx, path, within)
	if err != nil {
		return err
	}
	if m.Status != 200 {
		return statusError(m.Status)
	}
	l, err := ParseList(m.Body, c.opts.Zones, c.opts.Kinds)
	if err != nil {
		c.whole = false // a change was missed: fetch the whole list
		return err
	}
	for _, f := range l.Faults {
		c.opts.Log.Warn().Str("event", "list-address").Str("node", f.Node).Str("field", f.Field).Err(f.Err).
			Msg("an address of a node in the list cannot be used; its others stand")
	}
	if !l.Full && !c.whole {
		return errors.New("calling discovery: changes came where the whole list was asked for")
	}
	if !l.Full && uint64(l.Version) < uint64(c.version) { // it has begun anew: what it told before may not hold
		c.whole = false
		return fmt.Errorf("calling discovery: version %d after %d", uint64(l.Version), uint64(c.version))
	}
	c.version = l.Version
	kind := decide.ListDelta
	if l.Full {
		kind, c.whole = decide.ListFull, true
	}
	if c.opts.Heard != nil {
		c.opts.Heard()
	}
	if l.Full || len(l.Nodes) > 0 {
		c.opts.Deliver(broker.Roster{Kind: kind, Version: l.Version, Nodes: l.Nodes})
	}
	return nil
}

// wait is how long a watch may wait.
func (c *Client) wait() time.Duration {
	if c.opts.Brokers == 0 {
		return freeWatch
	}
	return min(max(leastWatch, time.Duration(c.opts.Brokers)*watchEach), watchFor)
}

func (c *Client) call(ctx context.Context, path string, within time.Duration) (*http1.Message, error) {
	start := time.Now()
	if c.conn == nil {
		d := net.Dialer{Timeout: dialWithin}
		conn, err := d.DialContext(ctx, "tcp", c.opts.Addr)
		if err != nil {
			return nil, fmt.Errorf("reaching discovery: %w", err)
		}
		c.conn, c.parser = conn, http1.Parser{MaxBodyBytes: maxList, Responses: true}
	}
	conn := c.conn
	if err := conn.SetDeadline(start.Add(within)); err != nil {
		return nil, fmt.Errorf("calling discovery: %w", err)
	}
	// Only now: ctx may have ended already, and this deadline must be the last.
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	defer stop()
	if _, err := conn.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: " + c.opts.Addr + "\r\n\r\n")); err != nil {
		return nil, fmt.Errorf("calling discovery: %w", err)
	}
	buf := make([]byte, 16<<10)
	for {
		n, err := conn.Read(buf)
		c.parser.Feed(buf[:n])
		m, bad := c.parser.Next()
		if bad == nil && m == nil && errors.Is(err, io.EOF) { // a reset, or our patience, ends no answer
			m, bad = c.parser.EndOfStream()
		}
		switch {
		case bad != nil:
			return nil, fmt.Errorf("reading discovery's answer: %w", bad)
		case m != nil && m.Status >= 200:
			if m.Close || err != nil {
				c.hangUp()
			}
			return m, nil
		case errors.Is(err, os.ErrDeadlineExceeded) && c.whole && !c.parser.InMessage():
			return nil, errSilent
		case err != nil:
			return nil, fmt.Errorf("reading discovery's answer: %w", err)
		}
	}
}

func (c *Client) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
