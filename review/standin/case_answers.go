//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

func init() { cases["pipeline-answers"] = pipelineAnswers }

// etherMSS is the segment size of a client on an Ethernet; on loopback it would be 64 kB.
const etherMSS = 1460

// dialAsOnEthernet connects with the segment size of an Ethernet.
func dialAsOnEthernet(addr string) (net.Conn, error) {
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var optErr error
		if err := c.Control(func(fd uintptr) {
			optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, etherMSS)
		}); err != nil {
			return err
		}
		return optErr
	}}
	return d.Dial("tcp", addr)
}

// lineRate is what the client's line carries: 100 Mbit/s, in bytes a second.
const lineRate = 100e6 / 8

// pacedReader reads from a connection no faster than lineRate.
type pacedReader struct {
	conn   net.Conn
	freeAt time.Time // when the line is free again
}

// Read implements io.Reader.
func (r *pacedReader) Read(b []byte) (int, error) {
	time.Sleep(time.Until(r.freeAt))
	n, err := r.conn.Read(b[:min(len(b), 16<<10)])
	if now := time.Now(); r.freeAt.Before(now) {
		r.freeAt = now
	}
	r.freeAt = r.freeAt.Add(time.Duration(float64(n) / lineRate * float64(time.Second)))
	return n, err
}

// answerBytes is the length of a look-up's value; an answer may have 64 KiB.
const answerBytes = 60000

// playAnswers sends an edit and 15 look-ups at once on one connection, and reads the answers as
// they come.
func playAnswers(e *env, addr, name string) (lost []string, err error) {
	conn, err := dialAsOnEthernet(addr)
	if err != nil {
		return nil, setupError("%v", err)
	}
	defer conn.Close()
	var all []*pipelinedRequest
	var data bytes.Buffer
	for i := range 16 {
		r := &pipelinedRequest{id: fmt.Sprintf("%s-%d", name, i+1), class: "multi-quote", deadline: 3 * time.Second}
		key := ""
		if i == 0 {
			r.class, r.deadline, key = "watchlist-edit", 2500*time.Millisecond, "key-"+name
		}
		encodeRequest(&data, r, key, r.class, i)
		all = append(all, r)
	}
	sent := time.Now()
	if _, err := conn.Write(data.Bytes()); err != nil {
		return nil, setupError("%v", err)
	}
	e.rec.note("%s: 16 requests sent at once", name)
	reader := bufio.NewReader(&pacedReader{conn: conn})
	for _, r := range all {
		_ = conn.SetReadDeadline(sent.Add(r.deadline + 500*time.Millisecond))
		res, err := http.ReadResponse(reader, nil)
		var n int64
		if err == nil {
			n, err = io.Copy(io.Discard, res.Body)
			res.Body.Close()
		}
		if err != nil {
			e.rec.note("%s: no whole answer to %s after %d ms: %v", name, r.id, time.Since(sent).Milliseconds(), err)
			break
		}
		r.status, r.answered = res.StatusCode, time.Now()
		e.rec.note("%s: %s (%s) answered %d, %d bytes, after %d ms", name, r.id, r.class, r.status, n, r.answered.Sub(sent).Milliseconds())
	}
	for _, r := range all {
		if r.status == 0 {
			lost = append(lost, r.id)
		}
	}
	return lost, nil
}

// pipelineAnswers: clients send an edit and 15 look-ups at once. Each block is held by four
// of eight servers. The server that gets an edit stands still for half a second, the others go on.
func pipelineAnswers(e *env) (broken []string, err error) {
	const rounds, cells, serversPerCell, stillFor = 10, 2, 4, 500 * time.Millisecond
	var entries []entry
	for i := range cells * serversPerCell {
		n, err := startFrameNode(e.rec, fmt.Sprintf("s-%d", i), 0)
		if err != nil {
			return nil, setupError("%v", err)
		}
		n.workOf = func(query string, shard int) time.Duration {
			if query == "watchlist-edit" {
				if e.trouble {
					n.standStill(stillFor)
				}
				return 30 * time.Millisecond
			}
			return time.Duration(40+8*shard) * time.Millisecond
		}
		n.valueOf = func(query string, shard int) string {
			if query == "watchlist-edit" {
				return "saved"
			}
			return strings.Repeat(strconv.Itoa(shard%10), answerBytes)
		}
		entries = append(entries, entry{ID: n.id, Addr: n.addr, Zone: "neihu", Kind: "std-2c", Cell: i % cells, State: "in_service", Weight: 1})
	}
	disc, err := startDiscovery(entries)
	if err != nil {
		return nil, setupError("%v", err)
	}
	addrs, err := freePorts(1)
	if err != nil {
		return nil, setupError("%v", err)
	}
	site := settings(1, 0)
	site["domain"].(map[string]any)["cells"] = cells
	p, err := startBroker(e.root, e.dir, "n1", map[string]any{
		"name": "n1", "listen": addrs[0], "discovery": disc.addr, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  map[string]any{"version": 1, "full": true, "servers": entries}, "settings": site,
	})
	if err != nil {
		return nil, setupError("%v", err)
	}
	defer p.kill()
	if err := p.waitReady(addrs[0], 15*time.Second); err != nil {
		return nil, err
	}
	for round := range rounds {
		lost, err := playAnswers(e, addrs[0], fmt.Sprintf("c%d", round))
		if err != nil {
			return broken, err
		}
		if len(lost) > 0 {
			broken = append(broken, fmt.Sprintf("no whole answer to %d of 16 requests: %s", len(lost), strings.Join(lost, ", ")))
		}
		if p.crashed() {
			return append(broken, "the broker's process ended by itself"), nil
		}
		time.Sleep(time.Second)
	}
	p.signal(syscall.SIGTERM)
	return broken, nil
}
