// Package takeover lets a new process of a broker, the successor, replace the running one,
// its predecessor, without losing a connection. The predecessor listens on a Unix socket in
// a directory that both can access. The successor connects there, receives the listening
// socket for clients and reports when it is ready to accept clients. Each side sees the end
// of the other process as the end of that connection.
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
	// protocolVersion is the version of the messages. A successor does not take over from a
	// process with another version.
	protocolVersion = 1
	// handshakeTimeout bounds the time until the predecessor sends its socket, and until it
	// acknowledges that the successor is ready.
	handshakeTimeout = time.Second
	maxMessageBytes  = 4 << 10
	socketNetwork    = "unixpacket" // preserves message boundaries
)

// message is a packet between the two processes, encoded as JSON.
type message struct {
	Version int    `json:"version"`
	Name    string `json:"name,omitempty"`  // sent with the socket: the broker's name
	Ready   bool   `json:"ready,omitempty"` // the successor accepts clients; the predecessor echoes it
}

// socketLocation is the location of a socket. It refers to the directory by a descriptor, so
// that the path fits into a socket address however long the directory's path is.
type socketLocation struct {
	dir      *os.File
	fileName string
}

// openLocation returns the location of the takeover socket of the broker that listens at
// addr, and opens its directory.
func openLocation(dir, addr string) (socketLocation, error) {
	d, err := os.Open(dir)
	if err != nil {
		return socketLocation{}, fmt.Errorf("opening the directory of the takeover socket: %w", err)
	}
	return socketLocation{d, "gannetchute-" + strings.NewReplacer(":", "_", "/", "_").Replace(addr) + ".sock"}, nil
}

// path returns a path of the file name in the directory, valid in this process while dir is
// open.
func (l socketLocation) path(name string) string {
	return filepath.Join(fmt.Sprintf("/proc/self/fd/%d", l.dir.Fd()), name)
}

// Predecessor is the connection to the process that this one replaces.
type Predecessor struct {
	// Listener is the listening socket for clients, shared by both processes.
	Listener *net.TCPListener
	// Name is the name of the predecessor's broker; "" if it does not send one.
	Name       string
	conn       *net.UnixConn
	readyAcked chan struct{} // closed once the predecessor has acknowledged that this process accepts clients
	ended      chan struct{} // closed once the predecessor has ended or the connection is closed
}

// Connect connects to the running process of the broker that listens at addr and uses the
// same directory dir. It returns nil and no error if there is none. The caller closes the
// Predecessor and its Listener.
func Connect(dir, addr string) (*Predecessor, error) {
	location, err := openLocation(dir, addr)
	if err != nil {
		return nil, err
	}
	defer location.dir.Close()
	conn, err := net.DialUnix(socketNetwork, nil, &net.UnixAddr{Name: location.path(location.fileName), Net: socketNetwork})
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) { // a killed process leaves its socket file behind
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("connecting to the predecessor process: %w", err)
	}
	predecessor := &Predecessor{conn: conn, readyAcked: make(chan struct{}), ended: make(chan struct{})}
	if err = checkSameUser(conn); err == nil {
		predecessor.Listener, predecessor.Name, err = receiveListener(conn)
	}
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("connecting to the predecessor process: %w", err)
	}
	go predecessor.readMessages() // until the connection ends
	return predecessor, nil
}

// errOtherUser reports that the other process belongs to another user, which may have put a
// socket of its own into the directory: one for temporary files is writable by all users.
var errOtherUser = errors.New("the other process belongs to another user")

// peerUID returns the user ID of the process at the other end. Tests replace it.
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

// checkSameUser returns errOtherUser if the other process does not run as this process's user,
// and another error if its user cannot be found out.
func checkSameUser(conn *net.UnixConn) error {
	uid, err := peerUID(conn)
	if err == nil && uid != uint32(os.Geteuid()) {
		err = errOtherUser
	}
	return err
}

// receiveListener reads the first message, which carries the socket and the broker's name.
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
		return nil, "", fmt.Errorf("got message %.80q with %d sockets, want version %d with one socket", data[:n], len(files), protocolVersion)
	}
	l, err := net.FileListener(files[0])
	if err != nil {
		return nil, "", err
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		_ = l.Close()
		return nil, "", fmt.Errorf("the received socket listens at %v, want TCP", l.Addr())
	}
	return tcp, msg.Name, conn.SetReadDeadline(time.Time{})
}

// filesFromRights returns the descriptors in a socket control message as files.
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
			files = append(files, os.NewFile(uintptr(fd), "received listener"))
		}
	}
	return files, nil
}

// NotifyReady tells the predecessor that this process accepts clients and waits for its
// acknowledgement; after that the predecessor can be stopped safely. It returns an error if
// the predecessor has ended or does not acknowledge in time.
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
	errPredecessorEnded = errors.New("the predecessor process has ended")
	errAckTimeout       = errors.New("the predecessor process did not acknowledge in time")
)

// readMessages reads the predecessor's messages until the connection ends.
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

// Wait returns when the predecessor has ended or Close has been called.
func (p *Predecessor) Wait() { <-p.ended }

// Close closes the connection to the predecessor.
func (p *Predecessor) Close() { _ = p.conn.Close() }

// send writes a message, with the control message oob if that is not nil.
func send(conn *net.UnixConn, msg message, oob []byte) error {
	data, err := json.Marshal(msg)
	if err != nil {
		return err
	}
	if _, _, err := conn.WriteMsgUnix(data, oob, nil); err != nil {
		return fmt.Errorf("sending a message to the other process: %w", err)
	}
	return nil
}

// SiblingObserver is notified when successor processes come and go. Its methods are called
// from a connection's goroutine and must not block.
type SiblingObserver interface {
	// SiblingRunning is called with true when a successor process has connected, and when a
	// connection ends with whether another successor is still connected.
	SiblingRunning(running bool)
}

// Server hands the listening socket to a process that replaces this one.
type Server struct {
	opts     ServerOptions
	location socketLocation
	listener *net.UnixListener
	wg       sync.WaitGroup

	mu    sync.Mutex
	conns map[*net.UnixConn]bool // connections to successors; true: the successor accepts clients
}

// ServerOptions configure a Server.
type ServerOptions struct {
	Dir      string           // a directory that both processes can access
	Addr     string           // the address where the broker listens for clients
	Name     string           // the broker's name
	Listener *net.TCPListener // the listening socket for clients
	Observer SiblingObserver  // must not be nil
	Log      zerolog.Logger
}

// maxSuccessors bounds the number of successor processes that may be connected at once.
const maxSuccessors = 4

// NewServer opens the takeover socket, which replaces that of an earlier process, and starts
// to serve it until Close.
func NewServer(o ServerOptions) (*Server, error) {
	location, err := openLocation(o.Dir, o.Addr)
	if err != nil {
		return nil, err
	}
	tempName := fmt.Sprintf("%s.%d", location.fileName, os.Getpid()) // renamed once it listens
	_ = os.Remove(location.path(tempName))                           // left by a killed process with the same process ID
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
		return nil, fmt.Errorf("opening the takeover socket: %w", err)
	}
	s := &Server{opts: o, location: location, listener: l, conns: map[*net.UnixConn]bool{}}
	s.wg.Go(s.accept)
	return s, nil
}

// accept serves each connection, and rejects those above maxSuccessors, until the listener
// is closed.
func (s *Server) accept() {
	for {
		conn, err := s.listener.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(handshakeTimeout / 100) // probably out of descriptors; retry after some may have been closed
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

// serve sends the listening socket to a successor and reads its messages until the connection
// ends.
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
		s.opts.Log.Warn().Str("event", "takeover").Err(err).Msg("failed to hand the listening socket to a successor process")
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
			s.opts.Log.Info().Str("event", "takeover").Msg("a successor process accepts clients")
		}
	}
}

// sendListener sends the listening socket and the broker's name.
func (s *Server) sendListener(conn *net.UnixConn) error {
	f, err := s.opts.Listener.File()
	if err != nil {
		return err
	}
	defer f.Close()
	return send(conn, message{Version: protocolVersion, Name: s.opts.Name}, unix.UnixRights(int(f.Fd())))
}

// HasSuccessor reports whether a successor process has the socket and accepts clients.
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

// Close ends the server and its connections, which tells successors that this process ends.
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
