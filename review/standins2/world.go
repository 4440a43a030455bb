//go:build review2

// Command standins2 plays the cases of the second review: it starts brokers as the deploy file
// says, and stands in for clients, shard servers and discovery. The stand-ins follow the
// protocol page and use nothing of the broker's code.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	couldNot   = 2
)

// maxRun bounds a case; the limit of the review is 120 s.
const maxRun = 110 * time.Second

// world is one run of a case.
type world struct {
	trouble bool   // the disruption is played
	dir     string // temporary, removed at the end
	start   time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*process
}

// logf writes one line to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// cannot ends the run with status 2: the case could not be played.
func (w *world) cannot(format string, args ...any) { panic(notRun(fmt.Sprintf(format, args...))) }

// notRun is why a case could not be played.
type notRun string

// runCase plays a case and returns its exit status.
func runCase(play func(*world) (broken []string), folder string) (status int) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	w := &world{trouble: os.Getenv("TROUBLE") != "0", dir: dir, start: time.Now(), record: record}
	clean := func() {
		w.killAll()
		_ = os.RemoveAll(dir)
	}
	defer clean()
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		reason := "over its time"
		select {
		case s := <-interrupts:
			reason = s.String()
		case <-time.After(maxRun):
		}
		w.logf("ended: %s", reason)
		clean()
		os.Exit(couldNot)
	}()
	defer func() {
		if cause := recover(); cause != nil {
			text, ok := cause.(notRun)
			if !ok {
				panic(cause)
			}
			w.logf("COULD NOT RUN: %s", text)
			fmt.Println("could not run:", text)
			status = couldNot
		}
	}()
	w.logf("disruption: %v", w.trouble)
	broken := play(w)
	for _, b := range broken {
		w.logf("BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		return ruleBroken
	}
	w.logf("the rule held")
	fmt.Println("the rule held")
	return ruleHeld
}

// process is a broker that was started.
type process struct {
	name   string
	cmd    *exec.Cmd
	output bytes.Buffer
	outMu  sync.Mutex
	ended  chan struct{}
}

// Write collects the output.
func (p *process) Write(b []byte) (int, error) {
	p.outMu.Lock()
	defer p.outMu.Unlock()
	return p.output.Write(b)
}

// out returns the output so far.
func (p *process) out() string {
	p.outMu.Lock()
	defer p.outMu.Unlock()
	return p.output.String()
}

// signal sends a signal to the process.
func (w *world) signal(p *process, s syscall.Signal) {
	w.logf("%s: signal %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// killAll ends all processes that still run.
func (w *world) killAll() {
	w.mu.Lock()
	procs := append([]*process(nil), w.procs...)
	w.mu.Unlock()
	for _, p := range procs {
		select {
		case <-p.ended:
		default:
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
		}
	}
	for _, p := range procs {
		select {
		case <-p.ended:
		case <-time.After(3 * time.Second):
		}
	}
}

// runCommand returns the platform's command, "run" in the deploy file.
func (w *world) runCommand() string {
	data, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		w.cannot("the deploy file: %v", err)
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Trim(rest, `"`)
		}
	}
	w.cannot("no run in the deploy file")
	return ""
}

// startBroker writes a configuration and starts a broker with it, from the root of the repository.
// tmp is its $TMPDIR.
func (w *world) startBroker(name string, config map[string]any, tmp string) *process {
	data, err := json.MarshalIndent(config, "", "  ")
	if err != nil {
		w.cannot("the configuration: %v", err)
	}
	path := filepath.Join(w.dir, name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		w.cannot("the configuration: %v", err)
	}
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		w.cannot("its folder: %v", err)
	}
	p := &process{name: name, ended: make(chan struct{})}
	p.cmd = exec.Command("/bin/sh", "-c", w.runCommand())
	for _, v := range os.Environ() {
		if !strings.HasPrefix(v, "NODE_") {
			p.cmd.Env = append(p.cmd.Env, v)
		}
	}
	p.cmd.Env = append(p.cmd.Env, "NODE_CONFIG="+path, "TMPDIR="+tmp)
	p.cmd.Stdout, p.cmd.Stderr = p, p
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		w.cannot("starting %s: %v", name, err)
	}
	w.logf("%s: started, process %d", name, p.cmd.Process.Pid)
	go func() {
		err := p.cmd.Wait()
		w.logf("%s: ended: %v", name, err)
		close(p.ended)
	}()
	w.mu.Lock()
	w.procs = append(w.procs, p)
	w.mu.Unlock()
	return p
}

// awaitReady waits until GET /ready says 200.
func (w *world) awaitReady(p *process, addr string) {
	for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		a := (&request{raw: "GET /ready HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n", wait: time.Second}).send(addr)
		if a.status == 200 {
			w.logf("%s: ready", p.name)
			return
		}
		select {
		case <-p.ended:
			w.cannot("%s ended before it was ready: %s", p.name, tail(p.out()))
		default:
		}
		if time.Now().After(deadline) {
			w.cannot("%s is not ready after 15 s: %s", p.name, tail(p.out()))
		}
	}
}

// tail returns the end of a text.
func tail(text string) string { return text[max(0, len(text)-600):] }

// freeAddr returns a loopback address whose port is free.
func (w *world) freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.cannot("a free port: %v", err)
	}
	defer l.Close()
	return l.Addr().String()
}
