//go:build review2

package main

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// part is one part as a shard server got it.
type part struct {
	id, list, text string
	shard          int
	at             time.Time
}

// server is a shard server. It answers each part after work with "done" and the part's value.
type server struct {
	w    *world
	id   string
	cell int
	addr string

	hangs       atomic.Bool  // takes parts and does not work on them
	answersLost atomic.Bool  // works on parts, and its answers do not reach the broker
	work        atomic.Int64 // nanoseconds for a part

	mu    sync.Mutex
	parts []part
}

// value is what a server answers for a part: made for that part alone.
func value(id string) string { return "value-of-" + id }

// newServer starts a shard server.
func (w *world) newServer(id string, cell int, work time.Duration) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.cannot("a server: %v", err)
	}
	s := &server{w: w, id: id, cell: cell, addr: l.Addr().String()}
	s.work.Store(int64(work))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

// serve reads the frames of one connection.
func (s *server) serve(c net.Conn) {
	defer c.Close()
	var writing sync.Mutex
	write := func(letter byte, rest string) {
		writing.Lock()
		defer writing.Unlock()
		frame := binary.BigEndian.AppendUint32(nil, uint32(len(rest)+1))
		_, _ = c.Write(append(append(frame, letter), rest...)) // the broker may have gone
	}
	in := bufio.NewReader(c)
	for {
		var size uint32
		if binary.Read(in, binary.BigEndian, &size) != nil || size == 0 || size > 1<<20 {
			return
		}
		frame := make([]byte, size)
		if _, err := io.ReadFull(in, frame); err != nil {
			return
		}
		rest := string(frame[1:])
		switch frame[0] {
		case 'H', 'M':
			if !s.hangs.Load() {
				write(frame[0], "done")
			}
		case 'S':
			for rest != "" {
				line, after, _ := strings.Cut(rest, "\n")
				words := strings.Split(line, " ")
				if len(words) != 4 {
					write('F', "no part")
					return
				}
				shard, err1 := strconv.Atoi(words[1])
				length, err2 := strconv.Atoi(words[3])
				if err1 != nil || err2 != nil || length > len(after) {
					write('F', "no part")
					return
				}
				p := part{id: words[0], shard: shard, list: words[2], text: after[:length], at: time.Now()}
				rest = after[length:]
				s.mu.Lock()
				s.parts = append(s.parts, p)
				s.mu.Unlock()
				s.w.logf("server %s: got %s shard %d %s text %q", s.id, p.id, p.shard, p.list, p.text)
				if s.hangs.Load() {
					continue
				}
				time.AfterFunc(time.Duration(s.work.Load()), func() {
					if !s.hangs.Load() {
						write('R', p.id+" done 1 -\n"+value(p.id))
					}
				})
			}
		}
	}
}

// got returns the parts so far.
func (s *server) got() []part {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]part(nil), s.parts...)
}

// entry is a server in discovery's list.
type entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// entry returns the server's entry, in service since long ago.
func (s *server) entry() entry {
	return entry{s.id, s.addr, "neihu", "std-2c", s.cell, "in_service", 1, 0}
}

// list is an answer of discovery.
type list struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// discovery is a broker's agent. It tells the list whole, and each change as the list whole.
type discovery struct {
	w      *world
	addr   string
	silent atomic.Bool // answers nothing

	mu      sync.Mutex
	now     list
	changed chan struct{}
}

// newDiscovery starts an agent.
func (w *world) newDiscovery(version int64, servers []entry) *discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.cannot("discovery: %v", err)
	}
	d := &discovery{w: w, addr: l.Addr().String(), now: list{version, true, servers}, changed: make(chan struct{})}
	go func() { _ = http.Serve(l, d) }()
	return d
}

// set changes the list.
func (d *discovery) set(version int64, servers []entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.now = list{version, true, servers}
	close(d.changed)
	d.changed = make(chan struct{})
	d.w.logf("discovery %s: version %d, %d servers", d.addr, version, len(servers))
}

// ServeHTTP answers a call.
func (d *discovery) ServeHTTP(out http.ResponseWriter, call *http.Request) {
	after, err := strconv.ParseInt(call.URL.Query().Get("after"), 10, 64)
	whole := err != nil
	wait, _ := strconv.Atoi(call.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		d.mu.Lock()
		now, changed := d.now, d.changed
		d.mu.Unlock()
		if d.silent.Load() {
			<-call.Context().Done()
			return
		}
		if !whole && now.Version <= after {
			select {
			case <-changed:
				continue
			case <-timeout:
				now = list{now.Version, false, []entry{}}
			case <-call.Context().Done():
				return
			}
			if d.silent.Load() {
				<-call.Context().Done()
				return
			}
		}
		data, err := json.Marshal(now)
		if err != nil {
			panic(fmt.Sprint("encoding a list: ", err))
		}
		out.Header().Set("Content-Type", "application/json")
		_, _ = out.Write(data)
		return
	}
}
