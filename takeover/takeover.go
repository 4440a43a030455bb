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
	protocolVersion = 1
	// helloWithin is how long the first process may take to send its socket.
	handshakeTimeout = time.Second
	maxMessageBytes  = 4 << 10 // bytes
	socketNetwork    = "unixpacket"
)

// message is one packet between the two processes.
type message struct {
	Version int    `json:"version"`
	Name    string `json:"name,omitempty"`  // with the socket: the broker's
	Ready   bool   `json:"ready,omitempty"` // the second process takes clients
}

// place is a socket's path, kept short enough for an address however deep its folder lies:
// the folder is named by a descriptor.
type socketLocation struct {
	dir      *os.File
	fileName string
}

// at opens the place of the broker that listens at addr.
func openLocation(dir, addr string) (socketLocation, error) {
	d, err := os.Open(dir)
	if err != nil {
		return socketLocation{}, fmt.Errorf("opening the folder of processes: %w", err)
	}
	return socketLocation{d, "gannetchute-" + strings.NewReplacer(":", "_", "/", "_").Replace(addr) + ".sock"}, nil
}

func (p socketLocation) path(name string) string {
	return filepath.Join(fmt.Sprintf("/proc/self/fd/%d", p.dir.Fd()), name)
}

// Predecessor is the process whose place this one takes.
type Predecessor struct {
	// Listener is the clients' listening socket, which both processes have.
	Listener *net.TCPListener
	// Name is that of its broker; "" where it does not tell.
	Name       string
	conn       *net.UnixConn
	readyAcked chan struct{} // closed once the process before knows that this one takes clients
	ended      chan struct{} // closed once it has ended
}

// Join connects to the broker that runs at addr and shares the folder. Without an error and
// a Predecessor there is none.
func Connect(dir, addr string) (*Predecessor, error) {
	location, err := openLocation(dir, addr)
	if err != nil {
		return nil, err
	}
	defer location.dir.Close()
	conn, err := net.DialUnix(socketNetwork, nil, &net.UnixAddr{Name: location.path(location.fileName), Net: socketNetwork})
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) { // a socket may be left from one that was killed
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("joining the running process: %w", err)
	}
	predecessor := &Predecessor{conn: conn, readyAcked: make(chan struct{}), ended: make(chan struct{})}
	if err = checkSameUser(conn); err == nil {
		predecessor.Listener, predecessor.Name, err = receiveListener(conn)
	}
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("joining the running process: %w", err)
	}
	go predecessor.readMessages() // until the connection ends
	return predecessor, nil
}

// errForeign says that the other process belongs to another user: a folder for temporary
// files may be everybody's.
var errOtherUser = errors.New("the other process belongs to another user")

// userOf returns the user of the process at the other end; a test puts another in its place.
var peerUID = func(conn *net.UnixConn) (uid uint32, err error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		var credentials *unix.Ucred
		if credentials, err = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED); err == nil {
			uid = credentials.Uid
		}
	})
	return uid, errors.Join(controlErr, err)
}

// sameUser fails where the other process is not one of this process's user.
func checkSameUser(conn *net.UnixConn) error {
	uid, err := peerUID(conn)
	if err == nil && uid != uint32(os.Geteuid()) {
		err = errOtherUser
	}
	return err
}

// hello reads the first message, which carries the socket and the broker's name.
func receiveListener(conn *net.UnixConn) (listener *net.TCPListener, name string, err error) {
	if err := conn.SetReadDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, "", err
	}
	data, oob := make([]byte, maxMessageBytes), make([]byte, unix.CmsgSpace(4))
	n, oobn, _, _, err := conn.ReadMsgUnix(data, oob)
	if err != nil {
		return nil, "", err
	}
	files, err := filesFromRights(oob[:oobn])
	if err != nil {
		return nil, "", err
	}
	defer func() {
		for _, f := range files {
			_ = f.Close()
		}
	}()
	var msg message
	if err := json.Unmarshal(data[:n], &msg); err != nil || msg.Version != protocolVersion || len(files) != 1 {
		return nil, "", fmt.Errorf("got %.80q and %d sockets, want version %d and one", data[:n], len(files), protocolVersion)
	}
	l, err := net.FileListener(files[0])
	if err != nil {
		return nil, "", err
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		_ = l.Close()
		return nil, "", fmt.Errorf("the socket listens at %v, want TCP", l.Addr())
	}
	return tcp, msg.Name, conn.SetReadDeadline(time.Time{})
}

// filesOf takes the descriptors out of a control message.
func filesFromRights(oob []byte) (files []*os.File, err error) {
	messages, err := unix.ParseSocketControlMessage(oob)
	if err != nil {
		return nil, err
	}
	for i := range messages {
		fds, err := unix.ParseUnixRights(&messages[i])
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
func (p *Predecessor) NotifyReady() error {
	if err := send(p.conn, message{Version: protocolVersion, Ready: true}, nil); err != nil {
		return err
	}
	select {
	case <-p.readyAcked:
		return nil
	case <-p.ended:
		return errPredecessorEnded
	case <-time.After(handshakeTimeout):
		return errAckTimeout
	}
}

var (
	errPredecessorEnded = errors.New("the process before has ended")
	errAckTimeout       = errors.New("the process before does not answer")
)

// follow reads what the process before says until it has ended.
func (p *Predecessor) readMessages() {
	defer close(p.ended)
	data, acked := make([]byte, maxMessageBytes), false
	for {
		n, err := p.conn.Read(data)
		if err != nil {
			return
		}
		var msg message
		if json.Unmarshal(data[:n], &msg) == nil && msg.Ready && !acked {
			acked = true
			close(p.readyAcked)
		}
	}
}

// Wait returns when the process before has ended, or Close is called.
func (p *Predecessor) Wait() { <-p.ended }

// Close ends the connection to the process before.
func (p *Predecessor) Close() { _ = p.conn.Close() }

func send(conn *net.UnixConn, msg message, oob []byte) error {
	data, err := json.Marshal(msg)
	if err != nil {
		return err
	}
	if _, _, err := conn.WriteMsgUnix(data, oob, nil); err != nil {
		return fmt.Errorf("telling the other process: %w", err)
	}
	return nil
}

// Neighbour takes the news of a second process. Its methods are called from the goroutine
// of the connection and must not block.
type SiblingObserver interface {
	// Beside says that a second process runs, or has ended.
	SiblingRunning(is bool)
}

// Host waits for the process that takes this one's place.
type Server struct {
	opts     ServerOptions
	location socketLocation
	listener *net.UnixListener
	wg       sync.WaitGroup

	mu    sync.Mutex
	conns map[*net.UnixConn]bool // true: its process takes clients
}

// HostOptions make a Host.
type ServerOptions struct {
	Dir      string // a folder that both processes have
	Addr     string // where the broker listens for clients
	Name     string // the broker's
	Listener *net.TCPListener
	Observer SiblingObserver
	Log      zerolog.Logger
}

// maxWaiting bounds the processes that may be connected at once.
const maxSuccessors = 4

// NewHost opens the socket, in the place of a former process's. Close ends it.
func NewServer(o ServerOptions) (*Server, error) {
	location, err := openLocation(o.Dir, o.Addr)
	if err != nil {
		return nil, err
	}
	tempName := fmt.Sprintf("%s.%d", location.fileName, os.Getpid()) // whole when it gets its name
	_ = os.Remove(location.path(tempName))                           // of a killed process with this number
	l, err := net.ListenUnix(socketNetwork, &net.UnixAddr{Name: location.path(tempName), Net: socketNetwork})
	if err == nil {
		l.SetUnlinkOnClose(false)
		if err = os.Chmod(location.path(tempName), 0o600); err == nil {
			err = os.Rename(location.path(tempName), location.path(location.fileName))
		}
		if err != nil {
			_ = l.Close()
			_ = os.Remove(location.path(tempName))
		}
	}
	if err != nil {
		_ = location.dir.Close()
		return nil, fmt.Errorf("waiting for a next process: %w", err)
	}
	s := &Server{opts: o, location: location, listener: l, conns: map[*net.UnixConn]bool{}}
	s.wg.Go(s.accept)
	return s, nil
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(handshakeTimeout / 100) // out of descriptors: let some close
			continue
		}
		s.mu.Lock()
		full := len(s.conns) >= maxSuccessors
		if !full {
			s.conns[conn] = false
		}
		s.mu.Unlock()
		if full {
			_ = conn.Close()
			continue
		}
		s.wg.Go(func() { s.serve(conn) })
	}
}

// serve sends the socket and follows the other process until it ends.
func (s *Server) serve(conn *net.UnixConn) {
	s.opts.Observer.SiblingRunning(true)
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		siblingRunning := len(s.conns) > 0
		s.mu.Unlock()
		s.opts.Observer.SiblingRunning(siblingRunning)
	}()
	err := checkSameUser(conn)
	if err == nil {
		err = s.sendListener(conn)
	}
	if err != nil {
		s.opts.Log.Warn().Str("event", "takeover").Err(err).Msg("a next process could not be given the socket")
		return
	}
	data := make([]byte, maxMessageBytes)
	for {
		n, err := conn.Read(data)
		if err != nil {
			return
		}
		var msg message
		if json.Unmarshal(data[:n], &msg) == nil && msg.Version == protocolVersion && msg.Ready {
			s.mu.Lock()
			s.conns[conn] = true
			s.mu.Unlock()
			if err := send(conn, message{Version: protocolVersion, Ready: true}, nil); err != nil {
				return
			}
			s.opts.Log.Info().Str("event", "takeover").Msg("a next process takes clients")
		}
	}
}

// hand sends the listening socket.
func (s *Server) sendListener(conn *net.UnixConn) error {
	f, err := s.opts.Listener.File()
	if err != nil {
		return err
	}
	defer f.Close()
	return send(conn, message{Version: protocolVersion, Name: s.opts.Name}, unix.UnixRights(int(f.Fd())))
}

// Succeeded says whether a next process has the socket and takes clients.
func (s *Server) HasSuccessor() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ready := range s.conns {
		if ready {
			return true
		}
	}
	return false
}

// Close ends the host and its connections: the next process sees that this one ends.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
	_ = s.location.dir.Close()
}
