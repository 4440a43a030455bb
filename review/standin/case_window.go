//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"google.golang.org/grpc"

	"onyxsail/broker"
	"onyxsail/internal/flightwire"
)

// editServer is a Flight server for edits, in a process of its own, so that it can be made to
// stand still. It tells its runs on standard output, one a line: the part's id, its key and the
// wall clock in nanoseconds at which the ticket had come whole.
//
// The server at which a large edit comes first runs it, and its connections break before the
// answer. What the servers know of each other's keys is in a folder that they share, as any
// holder of a shard knows a repeat.
type editServer struct {
	flight.BaseFlightServer
	mu     sync.Mutex
	conns  map[net.Conn]bool
	folder string
}

// breakAfter is how long after its run the answer to a large edit breaks.
const breakAfter = 500 * time.Millisecond

// largeText is the length from which on a query's text counts as large.
const largeText = 32 << 10

// DoGet runs one part.
func (s *editServer) DoGet(ticket *flight.Ticket, stream flight.FlightService_DoGetServer) error {
	came := time.Now()
	var request flightwire.PartTicket
	if err := json.Unmarshal(ticket.GetTicket(), &request); err != nil {
		return err
	}
	fmt.Printf("RUN %s %s %d %d\n", request.ID, request.Key, came.UnixNano(), len(ticket.GetTicket()))
	if len(request.Query) >= largeText && s.isFirst(request.Key) {
		time.Sleep(breakAfter - time.Since(came))
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
		return nil
	}
	time.Sleep(20 * time.Millisecond)
	return flightwire.WriteValues(stream, true, []broker.Value{{Shard: request.Partition, Data: []byte(partValue("edit", request.Partition))}})
}

// isFirst reports whether no server has run an edit of the key.
func (s *editServer) isFirst(key string) bool {
	f, err := os.OpenFile(filepath.Join(s.folder, key), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return false
	}
	return f.Close() == nil
}

// rememberingListener knows the connections of an editServer.
type rememberingListener struct {
	net.Listener
	server *editServer
}

func (l rememberingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.server.mu.Lock()
		l.server.conns[c] = true
		l.server.mu.Unlock()
	}
	return c, err
}

// runEditServer is the process of an editServer. It ends with its standard input.
func runEditServer(folder string) int {
	s := &editServer{conns: map[net.Conn]bool{}, folder: folder}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	server := grpc.NewServer()
	flight.RegisterFlightServiceServer(server, s)
	fmt.Printf("ADDR %s\n", l.Addr())
	go func() { _ = server.Serve(rememberingListener{l, s}) }()
	_, _ = bufio.NewReader(os.Stdin).ReadString('\n')
	return exitHeld
}

// serverProcess is a stand-in server in a process of its own.
type serverProcess struct {
	id, addr string // addr is the relay's, in the form of the list
	direct   string // the process's own address
	cmd      *exec.Cmd
	mu       sync.Mutex
	runs     map[string][]time.Time // by part id
}

func startEditServer(e *env, id string) (*serverProcess, error) {
	exe, err := os.Executable()
	if err != nil {
		return nil, setupError("%v", err)
	}
	p := &serverProcess{id: id, runs: map[string][]time.Time{}}
	p.cmd = exec.Command(exe, "edit-server", e.dir)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.cmd.Stderr = os.Stderr
	if _, err := p.cmd.StdinPipe(); err != nil { // open until this process ends
		return nil, setupError("%v", err)
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, setupError("%v", err)
	}
	if err := p.cmd.Start(); err != nil {
		return nil, setupError("%v", err)
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return nil, setupError("server %s did not start", id)
	}
	p.direct = strings.TrimPrefix(lines.Text(), "ADDR ")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, setupError("%v", err)
	}
	p.addr = "grpc+tcp://" + l.Addr().String()
	go p.relay(e, l)
	go func() {
		for lines.Scan() {
			words := strings.Fields(lines.Text())
			if len(words) != 5 || words[0] != "RUN" {
				continue
			}
			ns, _ := strconv.ParseInt(words[3], 10, 64)
			at := time.Unix(0, ns)
			e.rec.note("%s: part %s, key %s, ticket of %s bytes, had come whole at %d and ran", id, words[1], words[2], words[4], e.rec.ms(at))
			p.mu.Lock()
			p.runs[words[1]] = append(p.runs[words[1]], at)
			p.mu.Unlock()
		}
	}()
	return p, nil
}

// relay passes a connection's bytes on at once and notes when large pieces come from the broker.
// A reset at the server's end becomes one at the broker's.
func (p *serverProcess) relay(e *env, l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.direct)
		if err != nil {
			_ = conn.Close()
			continue
		}
		closeBoth := func() {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			_ = server.Close()
		}
		go func() {
			defer closeBoth()
			_, _ = io.Copy(conn, server)
		}()
		go func() {
			defer closeBoth()
			buf := make([]byte, 256<<10)
			total, pieceFrom, last := 0, 0, time.Time{}
			for {
				n, err := conn.Read(buf)
				if n > 0 {
					if now := time.Now(); now.Sub(last) > 50*time.Millisecond {
						pieceFrom, last = total, now
					} else {
						last = now
					}
					if total += n; total-pieceFrom >= 8<<10 {
						e.rec.note("%s: %d bytes have come from the broker since the last pause", p.id, total-pieceFrom)
					}
					if _, err := server.Write(buf[:n]); err != nil {
						return
					}
				}
				if err != nil {
					return
				}
			}
		}()
	}
}

// stop ends the process.
func (p *serverProcess) stop() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// ranAt returns when the part ran at this server first, zero if it did not.
func (p *serverProcess) ranAt(partID string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if runs := p.runs[partID]; len(runs) > 0 {
		return runs[0]
	}
	return time.Time{}
}

const (
	// editWindow is the window for repeats: shorter than the site's, as on the brink days.
	editWindow = 600 * time.Millisecond
	// stillFrom is when the other server begins to stand still, after the edit's run at the first,
	// and stillFor for how long it does: the longest that the pages name.
	stillFrom, stillFor = 450 * time.Millisecond, 500 * time.Millisecond
	// windowSlack is what the rule leaves: 50 ms for sockets, and 0.15 s for a broker that is held up.
	windowSlack = 200 * time.Millisecond
)

func init() {
	cases["flight-window"] = flightWindow
	servers["edit-server"] = runEditServer
}

// flightWindow: an edit runs at one Flight server, whose connection breaks before the answer.
// It is sent again, to the other server, within the window; that one stands still for half a
// second just then. Each round has a new broker.
func flightWindow(e *env) (broken []string, err error) {
	played := 0
	for round := range 3 {
		inRound, ran, err := playWindow(e, round)
		if broken = append(broken, inRound...); err != nil {
			return broken, err
		}
		if ran {
			played++
		}
	}
	if played == 0 && len(broken) == 0 {
		return nil, setupError("no edit came to a server")
	}
	return broken, nil
}

// playWindow plays one round. ran says that the edit came to a server.
func playWindow(e *env, round int) (broken []string, ran bool, err error) {
	var processes []*serverProcess
	var entries []entry
	for i := range 2 {
		s, err := startEditServer(e, fmt.Sprintf("s-%d-%d", round, i))
		if err != nil {
			return nil, false, err
		}
		defer s.stop()
		processes = append(processes, s)
		entries = append(entries, entry{ID: s.id, Addr: s.addr, Zone: "neihu", Kind: "std-2c", State: "in_service", Weight: 1})
	}
	disc, err := startDiscovery(entries)
	if err != nil {
		return nil, false, setupError("%v", err)
	}
	addrs, err := freePorts(1)
	if err != nil {
		return nil, false, setupError("%v", err)
	}
	shortWindow := settings(1, 0)
	edits := shortWindow["classes"].([]any)[2].(map[string]any)
	edits["windowMs"] = float64(editWindow.Milliseconds())
	p, err := startBroker(e.root, e.dir, fmt.Sprintf("n%d", round+1), map[string]any{
		"name": "n1", "listen": addrs[0], "discovery": disc.addr, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  map[string]any{"version": 1, "full": true, "servers": entries}, "settings": shortWindow,
	})
	if err != nil {
		return nil, false, setupError("%v", err)
	}
	defer p.kill()
	if err := p.waitReady(addrs[0], 15*time.Second); err != nil {
		return nil, false, err
	}
	var wg sync.WaitGroup
	for c := range 3 { // small edits, so that both servers are connected and known
		wg.Go(func() {
			client := newHTTPClient(addrs[0])
			for i := range 15 {
				id := fmt.Sprintf("small-%d-%d-%d", round, c, i)
				r := client.query(id, "watchlist-edit", "key-"+id, 2500*time.Millisecond, []int{i}, "x")
				e.rec.note("request %s: status %d %v", id, r.status, r.err)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	id := fmt.Sprintf("edit-%d", round)
	partID, key := id+".3", "key-"+id
	done := make(chan reply, 1)
	e.rec.note("request %s: 60000 bytes for shard 3, key %s", id, key)
	go func() {
		done <- newHTTPClient(addrs[0]).query(id, "watchlist-edit", key, 2500*time.Millisecond, []int{3}, strings.Repeat("e", 60000))
	}()
	var first, second *serverProcess
	var began time.Time
	for wait := time.Now().Add(time.Second); first == nil && time.Now().Before(wait); time.Sleep(2 * time.Millisecond) {
		for i, s := range processes {
			if began = s.ranAt(partID); !began.IsZero() {
				first, second = s, processes[1-i]
				break
			}
		}
	}
	if first != nil && e.trouble {
		time.Sleep(time.Until(began.Add(stillFrom)))
		_ = second.cmd.Process.Signal(syscall.SIGSTOP)
		e.rec.note("%s stands still", second.id)
		time.Sleep(stillFor)
		_ = second.cmd.Process.Signal(syscall.SIGCONT)
		e.rec.note("%s goes on", second.id)
	}
	r := <-done
	time.Sleep(300 * time.Millisecond)
	e.rec.note("request %s: status %d %v after %d ms", id, r.status, r.err, r.done.Sub(r.sent).Milliseconds())
	if r.status == 0 {
		broken = append(broken, fmt.Sprintf("request %s got no final answer", id))
	}
	if p.crashed() {
		broken = append(broken, "the broker's process ended by itself")
	}
	if first == nil {
		return broken, false, nil
	}
	if again := second.ranAt(partID); !again.IsZero() {
		apart := again.Sub(began)
		e.rec.say("part %s came to %s %d ms after its run at %s", partID, second.id, apart.Milliseconds(), first.id)
		if apart > editWindow+windowSlack {
			broken = append(broken, fmt.Sprintf("part %s, key %s, ran at %s and again at %s %d ms later; the window is %d ms; the client got status %d",
				partID, key, first.id, second.id, apart.Milliseconds(), editWindow.Milliseconds(), r.status))
		}
	}
	return broken, true, nil
}
