// Package address parses the addresses of nodes: IPv4, IPv6, host names and Unix sockets, for the
// frame protocol or for Arrow Flight.
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

// Family is the address family of an Address.
type Family uint8

// The address families.
const (
	IPv4 Family = iota
	IPv6
	Unix
	Hostname // a host name, which the system resolves
)

// String returns the name of the family.
func (f Family) String() string { return [...]string{"ipv4", "ipv6", "unix", "name"}[f] }

// Address is an address in its canonical form, so that equal addresses compare equal with ==. The
// zero value is no address.
type Address struct {
	Flight bool // Arrow Flight instead of the frame protocol
	Family Family
	Target string // host:port, or the path of a Unix socket
}

// The schemes of Flight locations (Arrow Flight RPC, "Connection semantics"), and of a Unix socket
// for the frame protocol.
const (
	flightTCPScheme  = "grpc+tcp://"
	flightUnixScheme = "grpc+unix:"
	unixScheme       = "unix:"
)

// maxUnixPathLen is the maximum length of the path of a Unix socket in bytes, without the
// terminating null byte (unix(7)).
const maxUnixPathLen = 107

// Parse parses an address of the form "host:port", "[v6]:port", "unix:/path",
// "grpc+tcp://host:port", "grpc+unix:/path" or "grpc+unix:///path". Host names become lower case
// and IPv4-mapped IPv6 addresses become IPv4; the path of a Unix socket must be absolute and in its
// shortest form.
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

// parseUnix returns the Address of a Unix socket after checking its path.
func parseUnix(socketPath string, flight bool) (Address, error) {
	switch {
	case !strings.HasPrefix(socketPath, "/") || path.Clean(socketPath) != socketPath || socketPath == "/":
		return Address{}, fmt.Errorf("address: path %.120q: want an absolute path in its shortest form", socketPath)
	case len(socketPath) > maxUnixPathLen:
		return Address{}, fmt.Errorf("address: path of a Unix socket: got %d bytes, want %d at most", len(socketPath), maxUnixPathLen)
	case strings.ContainsFunc(socketPath, func(r rune) bool { return r < ' ' || r == 0x7f }):
		return Address{}, fmt.Errorf("address: path %.120q: contains a control character", socketPath)
	}
	return Address{Flight: flight, Family: Unix, Target: socketPath}, nil
}

// parseTCP parses "host:port" and brings the host into its canonical form.
func parseTCP(s string, flight bool) (Address, error) {
	host, port, err := net.SplitHostPort(s)
	if err != nil {
		return Address{}, fmt.Errorf("address %.80q: %w", s, err)
	}
	portNumber, err := strconv.ParseUint(port, 10, 16)
	if err != nil || portNumber == 0 || port[0] == '0' || port[0] == '+' {
		return Address{}, fmt.Errorf("address %.80q: port: want 1 to 65535 without leading zeros", s)
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
		return Address{}, fmt.Errorf("address %.80q: an IPv6 zone is valid on one machine only", s)
	case ip.Unmap().Is4():
		a.Target = netip.AddrPortFrom(ip.Unmap(), uint16(portNumber)).String()
	default:
		a.Family = IPv6
		a.Target = netip.AddrPortFrom(ip, uint16(portNumber)).String()
	}
	return a, nil
}

// checkHostname checks that host is a valid host name by RFC 1123, section 2.1.
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
			return fmt.Errorf("host %.80q: neither an IP address nor a valid host name", host)
		}
	}
	return nil
}

// String returns the canonical form of the address, which Parse accepts.
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

// Network returns the name of the network for package net: "unix" or "tcp".
func (a Address) Network() string {
	if a.Family == Unix {
		return "unix"
	}
	return "tcp"
}
