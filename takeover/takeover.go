// Package takeover lets a second process of a broker take the place of the first without
// losing a connection. The first one waits at a Unix socket in a folder that both have; the
// second connects there, is sent the listening socket, and says when it takes clients. Each
// side sees by the end of that connection that the other process has ended.
package takeover

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

const (
	// version is that of the messages. A process of another one is no neighbour.
	version = 1
	// helloWithin is how long the first process may take to send its socket.
	helloWithin = time.Second
	maxMessage  = 4 << 10 // bytes
	network     = "unixpacket"
)

// message is one packet between the two processes.
type message struct {
	Version int    `json:"version"`
	Name    string `json:"name,omitempty"`  // with the socket: the broker's
	Ready   bool   `json:"ready,omitempty"` // the second process takes clients
}

// place is a socket's path, kept short enough for an address however deep its folder lies:
// the folder is named by a descriptor.
type place struct {
	folder *os.File
	name   string
}

// at opens the place of the broker that listens at addr.
func at(dir, addr string) (place, error) {
	folder, err := os.Open(dir)
	if err != nil {
		return place{}, fmt.Errorf("opening the folder of processes: %w", err)
	}
	return place{folder, "gannetchute-" + strings.NewReplacer(":", "_", "/", "_").Replace(addr) + ".sock"}, nil
}

func (p place) path(name string) string {
	return filepath.Join(fmt.Sprintf("/proc/self/fd/%d", p.folder.Fd()), name)
}

// Predecessor is the process whose place this one takes.
type Predecessor struct {
	// Listener is the clients' listening socket, which both processes have.
	Listener *net.TCPListener
	// Name is that of its broker; "" where it does not tell.
	Name  string
	conn  *net.UnixConn
	known chan struct{} // closed once the process before knows that this one takes clients
	ended chan struct{} // closed once it has ended
}

// Join connects to the broker that runs at addr and shares the folder. Without an error and
// a Predecessor there is none.
func Join(dir, addr string) (*Predecessor, error) {
	p, err := at(dir, addr)
	if err != nil {
		return nil, err
	}
	defer p.folder.Close()
	conn, err := net.DialUnix(network, nil, &net.UnixAddr{Name: p.path(p.name), Net: network})
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) { // a socket may be left from one that was killed
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("joining the running process: %w", err)
	}
	own := &Predecessor{conn: conn, known: make(chan struct{}), ended: make(chan struct{})}
	if err = sameUser(conn); err == nil {
		own.Listener, own.Name, err = hello(conn)
	}
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("joining the running process: %w", err)
	}
	go own.follow() // until the connection ends
	return own, nil
}

// errForeign says that the other process belongs to another user: a folder for temporary
// files may be everybody's.
var errForeign = errors.New("the other process belongs to another user")

// userOf returns the user of the process at the other end; a test puts another in its place.
var userOf = func(conn *net.UnixConn) (user uint32, err error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	failed := raw.Control(func(fd uintptr) {
		var peer *unix.Ucred
		if peer, err = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED); err == nil {
			user = peer.Uid
		}
	})
	return user, errors.Join(failed, err)
}

// sameUser fails where the other process is not one of this process's user.
func sameUser(conn *net.UnixConn) error {
	user, err := userOf(conn)
	if err == nil && user != uint32(os.Geteuid()) {
		err = errForeign
	}
	return err
}

// hello reads the first message, which carries the socket and the broker's name.
func hello(conn *net.UnixConn) (socket *net.TCPListener, name string, err error) {
	if err := conn.SetReadDeadline(time.Now().Add(helloWithin)); err != nil {
		return nil, "", err
	}
	text, rights := make([]byte, maxMessage), make([]byte, unix.CmsgSpace(4))
	n, nr, _, _, err := conn.ReadMsgUnix(text, rights)
	if err != nil {
		return nil, "", err
	}
	files, err := filesOf(rights[:nr])
	if err != nil {
		return nil, "", err
	}
	defer func() {
		for _, f := range files {
			_ = f.Close()
		}
	}()
	var m message
	if err := json.Unmarshal(text[:n], &m); err != nil || m.Version != version || len(files) != 1 {
		return nil, "", fmt.Errorf("got %.80q and %d sockets, want version %d and one", text[:n], len(files), version)
	}
	l, err := net.FileListener(files[0])
	if err != nil {
		return nil, "", err
	}
	own, ok := l.(*net.TCPListener)
	if !ok {
		_ = l.Close()
		return nil, "", fmt.Errorf("the socket listens at %v, want TCP", l.Addr())
	}
	return own, m.Name, conn.SetReadDeadline(time.Time{})
}

// filesOf takes the descriptors out of a control message.
func filesOf(rights []byte) (files []*os.File, err error) {
	all, err := unix.ParseSocketControlMessage(rights)
	if err != nil {
		return nil, err
	}
	for i := range all {
		fds, err := unix.ParseUnixRights(&all[i])
		if err != nil {
			return files, err
		}
		for _, fd := range fds {
			unix.CloseOnExec(fd)
			files = append(files, os.NewFile(uintptr(fd), "handed over"))
		}
	}
	return files, nil
}

// Ready tells the process before that this one takes clients, and returns when that knows:
// it may be told to stop at once. Without an answer in time, or where that process has
// ended, it returns an error.
func (p *Predecessor) Ready() error {
	if err := send(p.conn, message{Version: version, Ready: true}, nil); err != nil {
		return err
	}
	select {
	case <-p.known:
		return nil
	case <-p.ended:
		return errEnded
	case <-time.After(helloWithin):
		return errNoAnswer
	}
}

var (
	errEnded    = errors.New("the process before has ended")
	errNoAnswer = errors.New("the process before does not answer")
)

// follow reads what the process before says until it has ended.
func (p *Predecessor) follow() {
	defer close(p.ended)
	text, known := make([]byte, maxMessage), false
	for {
		n, err := p.conn.Read(text)
		if err != nil {
			return
		}
		var m message
		if json.Unmarshal(text[:n], &m) == nil && m.Ready && !known {
			known = true
			close(p.known)
		}
	}
}

// Wait returns when the process before has ended, or Close is called.
func (p *Predecessor) Wait() { <-p.ended }

// Close ends the connection to the process before.
func (p *Predecessor) Close() { _ = p.conn.Close() }

func send(conn *net.UnixConn, m message, rights []byte) error {
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	if _, _, err := conn.WriteMsgUnix(text, rights, nil); err != nil {
		return fmt.Errorf("telling the other process: %w", err)
	}
	return nil
}

// Neighbour takes the news of a second process. Its methods are called from the goroutine
// of the connection and must not block.
type Neighbour interface {
	// Beside says that a second process runs, or has ended.
	Beside(is bool)
}

// Host waits for the process that takes this one's place.
type Host struct {
	opts  HostOptions
	place place
	l     *net.UnixListener
	done  sync.WaitGroup

	mu    sync.Mutex
	conns map[*net.UnixConn]bool // true: its process takes clients
}

// HostOptions make a Host.
type HostOptions struct {
	Dir       string // a folder that both processes have
	Addr      string // where the broker listens for clients
	Name      string // the broker's
	Listener  *net.TCPListener
	Neighbour Neighbour
	Log       zerolog.Logger
}

// maxWaiting bounds the processes that may be connected at once.
const maxWaiting = 4

// NewHost opens the socket, in the place of a former process's. Close ends it.
func NewHost(o HostOptions) (*Host, error) {
	p, err := at(o.Dir, o.Addr)
	if err != nil {
		return nil, err
	}
	own := fmt.Sprintf("%s.%d", p.name, os.Getpid()) // whole when it gets its name
	_ = os.Remove(p.path(own))                       // of a killed process with this number
	l, err := net.ListenUnix(network, &net.UnixAddr{Name: p.path(own), Net: network})
	if err == nil {
		l.SetUnlinkOnClose(false)
		if err = os.Chmod(p.path(own), 0o600); err == nil {
			err = os.Rename(p.path(own), p.path(p.name))
		}
		if err != nil {
			_ = l.Close()
			_ = os.Remove(p.path(own))
		}
	}
	if err != nil {
		_ = p.folder.Close()
		return nil, fmt.Errorf("waiting for a next process: %w", err)
	}
	h := &Host{opts: o, place: p, l: l, conns: map[*net.UnixConn]bool{}}
	h.done.Go(h.accept)
	return h, nil
}

func (h *Host) accept() {
	for {
		conn, err := h.l.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(helloWithin / 100) // out of descriptors: let some close
			continue
		}
		h.mu.Lock()
		full := len(h.conns) >= maxWaiting
		if !full {
			h.conns[conn] = false
		}
		h.mu.Unlock()
		if full {
			_ = conn.Close()
			continue
		}
		h.done.Go(func() { h.serve(conn) })
	}
}

// serve sends the socket and follows the other process until it ends.
func (h *Host) serve(conn *net.UnixConn) {
	h.opts.Neighbour.Beside(true)
	defer func() {
		_ = conn.Close()
		h.mu.Lock()
		delete(h.conns, conn)
		beside := len(h.conns) > 0
		h.mu.Unlock()
		h.opts.Neighbour.Beside(beside)
	}()
	err := sameUser(conn)
	if err == nil {
		err = h.hand(conn)
	}
	if err != nil {
		h.opts.Log.Warn().Str("event", "takeover").Err(err).Msg("a next process could not be given the socket")
		return
	}
	text := make([]byte, maxMessage)
	for {
		n, err := conn.Read(text)
		if err != nil {
			return
		}
		var m message
		if json.Unmarshal(text[:n], &m) == nil && m.Version == version && m.Ready {
			h.mu.Lock()
			h.conns[conn] = true
			h.mu.Unlock()
			if err := send(conn, message{Version: version, Ready: true}, nil); err != nil {
				return
			}
			h.opts.Log.Info().Str("event", "takeover").Msg("a next process takes clients")
		}
	}
}

// hand sends the listening socket.
func (h *Host) hand(conn *net.UnixConn) error {
	f, err := h.opts.Listener.File()
	if err != nil {
		return err
	}
	defer f.Close()
	return send(conn, message{Version: version, Name: h.opts.Name}, unix.UnixRights(int(f.Fd())))
}

// Succeeded says whether a next process has the socket and takes clients.
func (h *Host) Succeeded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, ready := range h.conns {
		if ready {
			return true
		}
	}
	return false
}

// Close ends the host and its connections: the next process sees that this one ends.
func (h *Host) Close() {
	_ = h.l.Close()
	h.mu.Lock()
	for conn := range h.conns {
		_ = conn.Close()
	}
	h.mu.Unlock()
	h.done.Wait()
	_ = h.place.folder.Close()
}
