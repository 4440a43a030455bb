// Package address reads the addresses at which nodes can be reached: over IPv4,
// IPv6 and Unix sockets, by frames or by Arrow Flight.
package address

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"path"
	"strconv"
	"strings"
)

// Family is the kind of socket that an address needs.
type Family uint8

// The families.
const (
	IPv4 Family = iota
	IPv6
	Unix
	Hostname // a host by its name, which the system looks up
)

func (f Family) String() string { return [...]string{"ipv4", "ipv6", "unix", "name"}[f] }

// Address is one address in its canonical form; equal ones compare equal.
type Address struct {
	Flight bool // it speaks Arrow Flight, not frames
	Family Family
	Target string // host:port, or a path
}

// Schemes of a Flight location (Arrow Flight RPC, "Connection semantics"), and
// of a path for frames.
const (
	flightTCPScheme  = "grpc+tcp://"
	flightUnixScheme = "grpc+unix:"
	unixScheme       = "unix:"
)

// maxPath is the longest path of a Unix socket, its closing zero apart (unix(7)).
const maxUnixPathLen = 107

// Parse reads "host:port", "[v6]:port", "unix:/path", "grpc+tcp://host:port"
// and "grpc+unix:/path", the last also with "//" before the path.
func Parse(s string) (Address, error) {
	if rest, ok := strings.CutPrefix(s, flightUnixScheme); ok {
		if strings.HasPrefix(rest, "///") {
			rest = rest[2:]
		}
		return parseUnix(rest, true)
	}
	if rest, ok := strings.CutPrefix(s, unixScheme); ok {
		return parseUnix(rest, false)
	}
	rest, flight := strings.CutPrefix(s, flightTCPScheme)
	if strings.Contains(rest, "://") {
		return Address{}, fmt.Errorf("address %.80q: want host:port, unix:/path, %shost:port or %s/path", s, flightTCPScheme, flightUnixScheme)
	}
	return parseTCP(rest, flight)
}

func parseUnix(socketPath string, flight bool) (Address, error) {
	switch {
	case !strings.HasPrefix(socketPath, "/") || path.Clean(socketPath) != socketPath || socketPath == "/":
		return Address{}, fmt.Errorf("address: path %.120q: want an absolute one in its shortest form", socketPath)
	case len(socketPath) > maxUnixPathLen:
		return Address{}, fmt.Errorf("address: path of %d bytes, want %d at most", len(socketPath), maxUnixPathLen)
	case strings.ContainsFunc(socketPath, func(r rune) bool { return r < ' ' || r == 0x7f }):
		return Address{}, fmt.Errorf("address: path %.120q: has a control character", socketPath)
	}
	return Address{Flight: flight, Family: Unix, Target: socketPath}, nil
}

func parseTCP(s string, flight bool) (Address, error) {
	host, port, err := net.SplitHostPort(s)
	if err != nil {
		return Address{}, fmt.Errorf("address %.80q: %w", s, err)
	}
	portNumber, err := strconv.ParseUint(port, 10, 16)
	if err != nil || portNumber == 0 || port[0] == '0' || port[0] == '+' {
		return Address{}, fmt.Errorf("address %.80q: port: want 1 to 65535", s)
	}
	a := Address{Flight: flight, Target: net.JoinHostPort(host, port)}
	ip, err := netip.ParseAddr(host)
	switch {
	case err != nil:
		if err := checkHostname(host); err != nil {
			return Address{}, fmt.Errorf("address %.80q: %w", s, err)
		}
		a.Family = Hostname
		a.Target = net.JoinHostPort(strings.ToLower(host), port)
	case ip.Zone() != "":
		return Address{}, fmt.Errorf("address %.80q: a zone holds on one machine only", s)
	case ip.Unmap().Is4():
		a.Target = netip.AddrPortFrom(ip.Unmap(), uint16(portNumber)).String()
	default:
		a.Family = IPv6
		a.Target = netip.AddrPortFrom(ip, uint16(portNumber)).String()
	}
	return a, nil
}

// checkName holds a host's name against RFC 1123, section 2.1.
func checkHostname(host string) error {
	if host == "" || len(host) > 253 {
		return errors.New("host: want 1 to 253 characters")
	}
	for _, label := range strings.Split(host, ".") {
		ok := label != "" && len(label) <= 63 && label[0] != '-' && label[len(label)-1] != '-'
		for i := range len(label) {
			c := label[i] | 0x20
			ok = ok && (c >= 'a' && c <= 'z' || label[i] >= '0' && label[i] <= '9' || label[i] == '-')
		}
		if !ok {
			return fmt.Errorf("host %.80q: neither an address nor a name", host)
		}
	}
	return nil
}

// String gives the address in the form that Parse reads.
func (a Address) String() string {
	switch {
	case a.Family == Unix && a.Flight:
		return flightUnixScheme + a.Target
	case a.Family == Unix:
		return unixScheme + a.Target
	case a.Flight:
		return flightTCPScheme + a.Target
	}
	return a.Target
}

// Network is the name of the address's kind in package net.
func (a Address) Network() string {
	if a.Family == Unix {
		return "unix"
	}
	return "tcp"
}
