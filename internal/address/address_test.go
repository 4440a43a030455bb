package address

import (
	"strings"
	"testing"
)

// Each form must be parsed into its canonical form and formatted so that Parse returns the same
// address. Malformed addresses must be rejected.
func TestParse(t *testing.T) {
	for in, want := range map[string]Address{
		"127.0.0.1:80":                     {Target: "127.0.0.1:80"},
		"[::1]:80":                         {Family: IPv6, Target: "[::1]:80"},
		"[0:0:0:0:0:0:0:1]:80":             {Family: IPv6, Target: "[::1]:80"},
		"[::ffff:127.0.0.1]:80":            {Target: "127.0.0.1:80"}, // the same address as 127.0.0.1:80
		"Node-1.example:8000":              {Family: Hostname, Target: "node-1.example:8000"},
		"unix:/run/n.sock":                 {Family: Unix, Target: "/run/n.sock"},
		"grpc+tcp://127.0.0.1:80":          {Flight: true, Target: "127.0.0.1:80"},
		"grpc+tcp://[::1]:80":              {Flight: true, Family: IPv6, Target: "[::1]:80"},
		"grpc+unix:/run/n.sock":            {Flight: true, Family: Unix, Target: "/run/n.sock"},
		"grpc+unix:///run/n.sock":          {Flight: true, Family: Unix, Target: "/run/n.sock"},
		"unix:" + strings.Repeat("/x", 53): {Family: Unix, Target: strings.Repeat("/x", 53)},
	} {
		got, err := Parse(in)
		if err != nil || got != want {
			t.Errorf("%s: got %+v, %v", in, got, err)
		}
		if reparsed, err := Parse(got.String()); err != nil || reparsed != got {
			t.Errorf("%s: parsing its String %s gives %+v, %v", in, got, reparsed, err)
		}
	}
	for in, want := range map[string]string{
		"": "port", "127.0.0.1": "port", "127.0.0.1:0": "port", "127.0.0.1:65536": "port", "127.0.0.1:http": "port", "127.0.0.1:080": "port",
		"::1:80": "colons", "[fe80::1%eth0]:80": "zone", ":80": "host", "a_b:80": "host", "-a:80": "host", "a..b:80": "host",
		"unix:run": "path", "unix:/": "path", "unix:/a/../b": "path", "unix:/a\x00": "control", "unix:/" + strings.Repeat("x", 107): "bytes",
		"unix:///a": "path", "grpc+unix:a": "path", "http://a:80": "want host:port", "grpc+tls://a:80": "want host:port", "grpc+tcp://unix:/a": "port",
	} {
		if got, err := Parse(in); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %+v, %v, want an error with %q", in, got, err, want)
		}
	}
}

// The String of a parsed address must parse to the same address.
func FuzzParse(f *testing.F) {
	for _, s := range []string{"127.0.0.1:80", "[::1]:80", "unix:/a", "grpc+tcp://a:1", "grpc+unix:///a"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		a, err := Parse(s)
		if err != nil {
			return
		}
		if reparsed, err := Parse(a.String()); err != nil || reparsed != a {
			t.Fatalf("%q: got %+v, and from its String %+v, %v", s, a, reparsed, err)
		}
	})
}
