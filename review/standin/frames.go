//go:build review

package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// frameNode is a server that speaks the platform's frames. It answers each part with its value.
type frameNode struct {
	id, addr string
	rec      *record
	work     time.Duration
	workOf   func(query string, shard int) time.Duration // if set, in place of work
	valueOf  func(query string, shard int) string        // if set, in place of partValue
	mu       sync.Mutex
	runs     map[string]int // by part id
	still    time.Time      // until when it answers nothing
}

// standStill makes the server answer nothing for a time. What is due then is answered after it.
func (n *frameNode) standStill(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.still = time.Now().Add(d)
	n.rec.note("%s: stands still for %v", n.id, d)
}

// awaitStill returns once the server does not stand still.
func (n *frameNode) awaitStill() {
	for {
		n.mu.Lock()
		wait := time.Until(n.still)
		n.mu.Unlock()
		if wait <= 0 {
			return
		}
		time.Sleep(wait)
	}
}

func startFrameNode(rec *record, id string, work time.Duration) (*frameNode, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &frameNode{id: id, addr: l.Addr().String(), rec: rec, work: work, runs: map[string]int{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.serve(c)
		}
	}()
	return n, nil
}

// serve answers the frames of one connection.
func (n *frameNode) serve(c net.Conn) {
	defer c.Close()
	var mu sync.Mutex
	send := func(letter byte, rest string) {
		mu.Lock()
		defer mu.Unlock()
		frame := binary.BigEndian.AppendUint32(nil, uint32(len(rest)+1))
		_, _ = c.Write(append(append(frame, letter), rest...))
	}
	r := bufio.NewReader(c)
	for {
		var size uint32
		if binary.Read(r, binary.BigEndian, &size) != nil || size == 0 || size > 1<<20 {
			return
		}
		frame := make([]byte, size)
		if _, err := io.ReadFull(r, frame); err != nil {
			return
		}
		rest := string(frame[1:])
		switch frame[0] {
		case 'H', 'M':
			send(frame[0], "done")
		case 'S':
			for rest != "" {
				line, after, _ := strings.Cut(rest, "\n")
				words := strings.Split(line, " ")
				if len(words) != 4 {
					send('F', "bad line")
					return
				}
				shard, _ := strconv.Atoi(words[1])
				length, _ := strconv.Atoi(words[3])
				if length > len(after) {
					send('F', "bad length")
					return
				}
				query := after[:length]
				rest = after[length:]
				n.mu.Lock()
				n.runs[words[0]]++
				n.mu.Unlock()
				work := n.work
				if n.workOf != nil {
					work = n.workOf(query, shard)
				}
				time.AfterFunc(work, func() {
					n.awaitStill()
					n.rec.note("%s: part %s ran", n.id, words[0])
					value := partValue(query, shard)
					if n.valueOf != nil {
						value = n.valueOf(query, shard)
					}
					send('R', fmt.Sprintf("%s done 1 -\n%s", words[0], value))
				})
			}
		}
	}
}
