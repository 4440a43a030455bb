//go:build review

// Command standin plays the clients, the servers and the platform of the review's cases. Each
// case starts the project's programs as separate processes, with the command of the deploy
// file, on loopback addresses.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record is the case's record.txt: what was sent, answered and run, with the time in
// milliseconds since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func openRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

// ms returns the milliseconds from the start of the record to t.
func (r *record) ms(t time.Time) int64 { return t.Sub(r.start).Milliseconds() }

// note writes one line.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7d ", r.ms(time.Now()))
	fmt.Fprintf(r.file, format+"\n", args...)
}

// say writes one line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// errSetup is an error of the stand-ins or the start, after which a case says nothing.
var errSetup = errors.New("the case could not run")

func setupError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errSetup, fmt.Sprintf(format, args...))
}

// freePorts returns addresses on 127.0.0.1 that nobody listens on.
func freePorts(n int) ([]string, error) {
	var addrs []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addrs = append(addrs, l.Addr().String())
	}
	return addrs, nil
}

// ---- The platform

// runCommand returns the run command of the deploy file.
func runCommand(root string) (string, error) {
	data, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strconv.Unquote(value)
		}
	}
	return "", errors.New("deploy/balancer.toml has no run command")
}

// process is one broker process.
type process struct {
	name   string
	cmd    *exec.Cmd
	log    string
	exited chan struct{}
	mu     sync.Mutex
	killed bool // ended by the case
}

// startBroker starts a broker as the platform does: /bin/sh -c with the run command, from the
// root of the repository, with the configuration in NODE_CONFIG.
func startBroker(root, dir, name string, config map[string]any) (*process, error) {
	run, err := runCommand(root)
	if err != nil {
		return nil, err
	}
	temp := filepath.Join(dir, name+".tmp")
	if err := os.MkdirAll(temp, 0o700); err != nil {
		return nil, err
	}
	data, err := json.MarshalIndent(config, "", "  ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, err
	}
	p := &process{name: name, log: filepath.Join(dir, name+".log"), exited: make(chan struct{})}
	logFile, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	p.cmd = exec.Command("/bin/sh", "-c", run)
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = root, logFile, logFile
	p.cmd.Env = append(os.Environ(), "NODE_CONFIG="+path, "NODE_NAME="+name, "TMPDIR="+temp)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	p.killed = p.killed || s == syscall.SIGKILL || s == syscall.SIGTERM
	p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// crashed reports whether the process has ended and the case did not end it.
func (p *process) crashed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.running() && !p.killed
}

// logTail returns the last bytes of the process's log.
func (p *process) logTail(n int) string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-n):])
}

// waitReady waits until GET /ready answers 200.
func (p *process) waitReady(addr string, timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if !p.running() {
			return setupError("%s ended during its start: %s", p.name, p.logTail(2000))
		}
		res, err := client.Get("http://" + addr + "/ready")
		if err != nil {
			continue
		}
		res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return setupError("%s was not ready in %v", p.name, timeout)
}

// settings are those of a small deployment, as in deploy/operator-n1.json, with one cell: each
// server holds all shards.
func settings(brokers, index int) map[string]any {
	class := func(name, effect string, objective, deadline, late, window, worth float64) map[string]any {
		return map[string]any{"name": name, "idempotency": effect, "objectiveMs": objective, "deadlineMs": deadline,
			"lateShare": late, "windowMs": window, "worth": worth}
	}
	return map[string]any{
		"index": index, "balancers": brokers, "tickMs": 5.0, "myZone": 0, "discovery": "pushed", "worthBy": "work",
		"zones": []string{"neihu", "banqiao"}, "kinds": []string{"std-2c"},
		"classes": []any{class("screen", "safe", 2000, 4000, 0.1, 5000, 5), class("multi-quote", "safe", 1000, 3000, 0.3, 5000, 1),
			class("watchlist-edit", "keyed", 1200, 2500, 0, 1200, 1)},
		"caps": map[string]any{"cancel": true, "probes": true, "secondCopies": true, "retryAfter": true, "maxAttempts": 3,
			"maxOpen": 356, "maxRetryAfterMs": 2000, "streamsPerConn": 32, "connectTimeoutMs": 250, "connIdleMs": 30000},
		"domain": map[string]any{"cells": 1, "inARow": 1, "ranges": 18, "bundleMax": 1, "needByClass": []float64{1, 1, 1},
			"minShare": []float64{1, 1, 1}, "partialEarns": []float64{0.9, 0.9, 0.9}},
		"safety": map[string]any{"graceToAnswerMs": 20, "drainGraceMs": 500, "coldFrom": 0.18, "coldMs": 15000, "fallMs": 2000,
			"fallMultiple": 3},
		"penalties": map[string]any{"crossZone": 0.008, "probe": 0.012, "waste": 0.03},
	}
}

// ---- Discovery

// entry is one server in the list.
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

// discovery is the agent that tells brokers the list. The list does not change.
type discovery struct {
	addr    string
	entries []entry
	server  *http.Server
}

func startDiscovery(entries []entry) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{addr: l.Addr().String(), entries: entries}
	d.server = &http.Server{Handler: d}
	go func() { _ = d.server.Serve(l) }()
	return d, nil
}

// ServeHTTP answers a call for the list, and a watch once its time is over.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := map[string]any{"version": 1, "full": true, "servers": d.entries}
	if r.URL.Query().Get("after") == "1" {
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
		select {
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		answer["full"], answer["servers"] = false, []entry{}
	}
	data, _ := json.Marshal(answer)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

// ---- Clients

// part is one target of a query.
type part struct {
	Partition int     `json:"partition"`
	Share     float64 `json:"share"`
	EstUs     int     `json:"est_us"`
}

// reply is what a client got for a request.
type reply struct {
	id, class  string
	sent, done time.Time
	deadline   time.Duration
	status     int // 0: no answer
	whole      bool
	values     map[int]string
	err        error
}

// httpClient is a client that keeps its connection and sends one request at a time.
type httpClient struct {
	addr   string
	client *http.Client
}

func newHTTPClient(addr string) *httpClient {
	return &httpClient{addr, &http.Client{Transport: &http.Transport{
		MaxIdleConns: 1, MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1, DisableCompression: true,
	}}}
}

// query sends one request. It waits for the answer until the deadline and half a second more.
func (c *httpClient) query(id, class, key string, deadline time.Duration, shards []int, text string) reply {
	rep := reply{id: id, class: class, deadline: deadline, sent: time.Now()}
	body := map[string]any{"query": text}
	var parts []part
	for _, s := range shards {
		parts = append(parts, part{s, 1 / float64(len(shards)), 20000})
	}
	body["targets"] = parts
	data, _ := json.Marshal(body)
	req, err := http.NewRequest(http.MethodPost, "http://"+c.addr+"/"+class, bytes.NewReader(data))
	if err != nil {
		rep.err = err
		return rep
	}
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Class", class)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if key != "" {
		req.Header["Idempotency-Key"] = []string{key}
	}
	c.client.Timeout = deadline + 500*time.Millisecond
	res, err := c.client.Do(req)
	if err != nil {
		rep.err, rep.done = err, time.Now()
		return rep
	}
	defer res.Body.Close()
	var buf bytes.Buffer
	_, err = buf.ReadFrom(res.Body)
	rep.done = time.Now()
	if err != nil {
		rep.err = err
		return rep
	}
	rep.status = res.StatusCode
	if res.StatusCode == http.StatusOK {
		var answer struct {
			Whole   bool `json:"whole"`
			Results []struct {
				Partition int    `json:"partition"`
				Value     string `json:"value"`
			} `json:"results"`
		}
		if rep.err = json.Unmarshal(buf.Bytes(), &answer); rep.err == nil {
			rep.whole, rep.values = answer.Whole, map[int]string{}
			for _, v := range answer.Results {
				rep.values[v.Partition] = v.Value
			}
		}
	}
	return rep
}
