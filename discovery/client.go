// Package discovery follows the list of nodes: it fetches the whole list once
// and then watches for changes.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"onyxsail/broker"
	"onyxsail/decide"
	"onyxsail/internal/http1"
)

const (
	maxList     = 8 << 20
	watchFor    = 20 * time.Second
	answerSlack = 2 * time.Second // beyond what a call may wait
	// A watch may fall silent, and then tells nothing for as long as it is waited
	// for. Where calls cost nothing they wait this long, and are late after so much
	// more, so that a silent one is soon opened anew.
	freeWatch = time.Second
	freeSlack = 500 * time.Millisecond
)

// Options make a Client.
type Options struct {
	Addr         string
	Zones, Kinds []string
	// Known is the version of the list in hand from this discovery; nil: none
	// is, and the whole list is asked for.
	Known   *int64
	Brokers int // that share a discovery of scarce room; 0: its answers cost nothing
	// Silence is the longest that a broker should go without asking.
	Silence time.Duration
	Seed    uint64 // different at each broker
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
	pace := NewPace(c.opts.Brokers, c.opts.Silence, c.opts.Seed)
	if c.whole && !sleep(ctx, pace.Start()) {
		return
	}
	for ctx.Err() == nil {
		err := c.step(ctx)
		if err == nil {
			pace.Answered()
			continue
		}
		c.hangUp()
		if ctx.Err() != nil {
			return
		}
		pause := pace.Failed()
		// What is in hand stands: the module works on with its old list.
		c.opts.Log.Warn().Str("event", "discovery").Err(err).Dur("pause", pause).Msg("discovery does not answer")
		sleep(ctx, pause)
	}
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
	path, within := "/v1/endpoints", answerSlack
	if c.whole {
		wait := watchFor
		if within += wait; c.opts.Brokers == 0 {
			wait, within = freeWatch, freeWatch+freeSlack
		}
		q := url.Values{"after": {strconv.FormatInt(c.version, 10)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
		path += "?" + q.Encode()
	}
	m, err := c.call(ctx, path, within)
	if err != nil {
		return err
	}
	if m.Status != 200 {
		return fmt.Errorf("calling discovery: status %d", m.Status)
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
	c.version = l.Version
	kind := decide.ListDelta
	if l.Full {
		kind, c.whole = decide.ListFull, true
	}
	if l.Full || len(l.Nodes) > 0 {
		c.opts.Deliver(broker.Roster{Kind: kind, Version: l.Version, Nodes: l.Nodes})
	}
	return nil
}

func (c *Client) call(ctx context.Context, path string, within time.Duration) (*http1.Message, error) {
	if c.conn == nil {
		d := net.Dialer{Timeout: answerSlack}
		conn, err := d.DialContext(ctx, "tcp", c.opts.Addr)
		if err != nil {
			return nil, fmt.Errorf("reaching discovery: %w", err)
		}
		c.conn, c.parser = conn, http1.Parser{MaxBody: maxList, Answers: true}
	}
	conn := c.conn
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	defer stop()
	if err := conn.SetDeadline(time.Now().Add(within)); err != nil {
		return nil, fmt.Errorf("calling discovery: %w", err)
	}
	if _, err := conn.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: " + c.opts.Addr + "\r\n\r\n")); err != nil {
		return nil, fmt.Errorf("calling discovery: %w", err)
	}
	buf := make([]byte, 16<<10)
	for {
		n, err := conn.Read(buf)
		c.parser.Feed(buf[:n])
		m, bad := c.parser.Next()
		if bad == nil && m == nil && err != nil {
			m, bad = c.parser.End()
		}
		switch {
		case bad != nil:
			return nil, fmt.Errorf("reading discovery's answer: %w", bad)
		case m != nil && m.Status >= 200:
			if m.Close || err != nil {
				c.hangUp()
			}
			return m, nil
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
