package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"onyxsail/broker"
	"onyxsail/decide"
	"onyxsail/internal/testkit"
)

// A list with a missing or invalid field is rejected with the field's name; a valid one is
// decoded in full.
func TestParseListRejectsInvalidEntries(t *testing.T) {
	zones, kinds := []string{"neihu", "banqiao"}, []string{"std-2c"}
	for _, c := range []struct{ in, wantErr string }{
		{`{"version":1,"full":true,"servers":[{"id":"a","addr":"127.0.0.1:1","zone":"banqiao","kind":"std-2c","cell":2,"state":"terminating","weight":1.5,"started_ms":1500}]}`, ""},
		{`{"version":1,"full":false,"servers":[]}`, ""},
		{`{"version":1,"full":false,"servers":[{"id":"a","zone":"neihu","state":"terminated"}]}`, ""},
		{`{"version":1,"full":true,"servers":[{"id":"a","addr":"grpc+tcp://127.0.0.1:1","zone":"neihu","state":"in_service"}]}`, ""},
		{`{"full":true}`, "version"}, {`[`, "list"},
		{`{"version":1,"full":true,"servers":[{"id":"","addr":"127.0.0.1:1","zone":"neihu","state":"in_service"}]}`, "servers[0].id"},
		{`{"version":1,"full":true,"servers":[{"id":"a","addr":"127.0.0.1","zone":"neihu","state":"in_service"}]}`, "servers[0].addr"},
		{`{"version":1,"full":true,"servers":[{"id":"a","addr":"127.0.0.1:1","zone":"x","state":"in_service"}]}`, ""}, // a zone that is not in the settings
		{`{"version":1,"full":true,"servers":[{"id":"a","addr":"127.0.0.1:1","zone":"neihu","state":"up"}]}`, "servers[0].state"},
	} {
		l, err := ParseList([]byte(c.in), zones, kinds)
		if (err != nil) != (c.wantErr != "") || err != nil && !strings.Contains(err.Error(), c.wantErr) {
			t.Errorf("%s: got error %v, want one with the name of the invalid field, none if all are valid", c.in, err)
		} else if err == nil && len(l.Nodes) == 1 && l.Nodes[0].Weight == 1.5 {
			n := l.Nodes[0]
			if n.Zone != 1 || n.Cell != 2 || n.State != decide.Draining || !n.Started.Equal(time.UnixMilli(1500)) {
				t.Errorf("%+v is not what the answer says", n)
			}
		}
	}
}

// Guards against two nodes that become one: half surrogate pairs in their ids were replaced by the
// same character, and the last of two equal fields counted.
func TestListWithAmbiguousNamesIsRejected(t *testing.T) {
	const entry = `{"id":"%s","addr":"127.0.0.1:1","zone":"neihu","state":"in_service"}`
	for name, in := range map[string]string{
		"half a surrogate pair in ids": fmt.Sprintf(`{"version":1,"full":true,"servers":[`+entry+`,`+entry+`]}`, `s-\ud83d`, `s-\udcc8`),
		"invalid UTF-8 in an id":       fmt.Sprintf(`{"version":1,"full":true,"servers":[`+entry+`]}`, "s-\xff"),
		"two ids":                      `{"version":1,"full":true,"servers":[{"id":"a","id":"b","addr":"127.0.0.1:1","zone":"neihu","state":"in_service"}]}`,
		"an id in other case":          `{"version":1,"full":true,"servers":[{"ID":"a","addr":"127.0.0.1:1","zone":"neihu","state":"in_service"}]}`,
	} {
		if l, err := ParseList([]byte(in), []string{"neihu"}, nil); err == nil {
			t.Errorf("%s: got nodes %+v, want an error", name, l.Nodes)
		}
	}
}

// A node's addrs are parsed strictly; one that cannot be used is reported and does not
// affect the others.
func TestUnusableAddressKeepsTheOthers(t *testing.T) {
	for _, c := range []struct{ addr, addrs, wantAddrs, wantFields string }{
		{"127.0.0.1:1", `["[::1]:1","unix:/n","127.0.0.1:1"]`, "[::1]:1 unix:/n 127.0.0.1:1", ""},
		{"127.0.0.1:1", `["[::1]:1","[0::1]:1"]`, "127.0.0.1:1 [::1]:1", ""},
		{"127.0.0.1:1", `["127.0.0.1:1"]`, "", ""},
		{"127.0.0.1:1", `["nonsense",7,"unix:/n"]`, "127.0.0.1:1 unix:/n", "a addrs[0] a addrs[1]"},
		{"127.0.0.1:1", `["unix:/\ud83d","unix:/n"]`, "127.0.0.1:1 unix:/n", "a addrs[0]"},
		{"127.0.0.1:1", `"unix:/n"`, "", "a addrs"},
		{"127.0.0.1:1", `["grpc+unix:/f","unix:/n"]`, "127.0.0.1:1 unix:/n", "a addrs[0]"},
		{"grpc+tcp://127.0.0.1:1", `["grpc+unix:///f"]`, "grpc+tcp://127.0.0.1:1 grpc+unix:/f", ""},
		{"127.0.0.1:1", `null`, "", ""},
	} {
		in := `{"version":1,"full":true,"servers":[{"id":"a","addr":"` + c.addr + `","addrs":` + c.addrs + `,"zone":"neihu","state":"in_service"}]}`
		l, err := ParseList([]byte(in), []string{"neihu"}, nil)
		if err != nil {
			t.Fatal(err)
		}
		var errorFields []string
		for _, f := range l.AddressErrors {
			errorFields = append(errorFields, f.Node, f.Field)
		}
		if got := strings.Join(l.Nodes[0].Addrs, " "); got != c.wantAddrs || strings.Join(errorFields, " ") != c.wantFields || l.Nodes[0].Addr != c.addr {
			t.Errorf("%s: got addresses %q and errors of %q", in, got, errorFields)
		}
	}
}

// The full list is delivered first, then each change, on watches that ask for what is newer
// than the latest answer.
func TestFullListThenChanges(t *testing.T) {
	n := testkit.NewNode(t, "s-1", false)
	d := testkit.NewDiscovery(t, n.Entry())
	var mu sync.Mutex
	var got []broker.Roster
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		New(Options{Addr: d.Addr, Zones: []string{"neihu"}, Log: zerolog.New(io.Discard), Deliver: func(r broker.Roster) {
			mu.Lock()
			defer mu.Unlock()
			got = append(got, r)
		}}).Run(ctx)
	}()
	count := func(n int) func() bool {
		return func() bool {
			mu.Lock()
			defer mu.Unlock()
			return len(got) == n
		}
	}
	testkit.Eventually(t, "the full list", count(1))
	testkit.Eventually(t, "a watch", func() bool { return len(d.Requests()) > 1 })
	e := n.Entry()
	e.State = "terminating"
	d.Update(e)
	testkit.Eventually(t, "the change to draining", count(2))
	e.State = "terminated"
	d.Update(e)
	testkit.Eventually(t, "the removal", count(3))
	cancel()
	<-ended
	for i, want := range []struct {
		kind  decide.ListKind
		state decide.State
	}{{decide.ListFull, decide.Ready}, {decide.ListDelta, decide.Draining}, {decide.ListDelta, decide.Removed}} {
		if r := got[i]; r.Kind != want.kind || len(r.Nodes) != 1 || r.Nodes[0].State != want.state || r.Version != int64(i+1) {
			t.Errorf("roster %d: got %+v", i, r)
		}
	}
	if calls := d.Requests(); calls[0] != "/v1/endpoints" || !strings.Contains(calls[1], "after=1") ||
		!strings.Contains(strings.Join(calls[2:], " "), "after=2") {
		t.Errorf("requests %q, want the full list and then watches after the latest version", calls)
	}
}

// runClient runs a client until the test ends and returns the rosters that it delivers. It
// starts from the known version; nil: from no list.
func runClient(t *testing.T, addr string, known *int64) <-chan broker.Roster {
	t.Helper()
	got := make(chan broker.Roster, 8)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		New(Options{Addr: addr, Zones: []string{"neihu"}, KnownVersion: known, Log: zerolog.New(io.Discard),
			Deliver: func(r broker.Roster) { got <- r }}).Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return got
}

// A watch that has gone silent looks like one without changes: it must time out and be
// reopened soon, or the broker continues to use nodes that have been removed long ago.
func TestSilentWatchIsReopened(t *testing.T) {
	n := testkit.NewNode(t, "s-1", false)
	d := testkit.NewDiscovery(t, n.Entry())
	known := int64(1)
	got := runClient(t, d.Addr, &known)
	testkit.Eventually(t, "a watch", func() bool { return len(d.Requests()) > 0 })
	d.StallWatches()
	testkit.Eventually(t, "the watch is silent", func() bool { return d.StalledWatches() > 0 })
	e := n.Entry()
	e.State = "terminating"
	d.Update(e)
	began := time.Now()
	r := <-got
	// The platform allows 6 s after the watch has gone silent.
	if took := time.Since(began); r.Version != 2 || r.Nodes[0].State != decide.Draining || took > 5*time.Second {
		t.Errorf("got %+v after %v, want the change within 5 s", r, took)
	}
}

// A list may be indented, split into chunks of any size, and megabytes long.
func TestLongChunkedListIsRead(t *testing.T) {
	const nodes = 1024
	all := make([]testkit.Entry, nodes)
	for i := range all {
		all[i] = testkit.Entry{ID: fmt.Sprintf("s-%d", i), Addr: "127.0.0.1:9", Zone: "neihu", State: "in_service", Kind: strings.Repeat("k", 2000)}
	}
	text, err := json.MarshalIndent(map[string]any{"version": 7, "full": true, "servers": all}, "", "        ")
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		w := bufio.NewWriterSize(conn, 1000) // splits chunks and their size lines at any byte
		fmt.Fprint(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for rest, size := text, 1; len(rest) > 0; size = size%257 + 1 {
			n := min(size, len(rest))
			fmt.Fprintf(w, "%x\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
		}
		fmt.Fprint(w, "0\r\n\r\n")
		_ = w.Flush() // the client may have closed the connection
		_, _ = io.Copy(io.Discard, conn)
	}()
	got := runClient(t, l.Addr().String(), nil)
	if r := <-got; len(text) < 2<<20 || r.Version != 7 || len(r.Nodes) != nodes || r.Nodes[nodes-1].ID != "s-1023" {
		t.Errorf("list of %d bytes: got version %d, %d nodes", len(text), r.Version, len(r.Nodes))
	}
}

// A broker that starts with a known list only fetches what is newer: full lists for all
// brokers that restart together would keep discovery busy for seconds.
func TestKnownListIsNotFetchedAgain(t *testing.T) {
	n := testkit.NewNode(t, "s-1", false)
	d := testkit.NewDiscovery(t, n.Entry())
	e := n.Entry()
	e.State = "terminating"
	d.Update(e)
	known := int64(1)
	got := runClient(t, d.Addr, &known)
	r := <-got
	if r.Kind != decide.ListDelta || r.Version != 2 || len(r.Nodes) != 1 || r.Nodes[0].State != decide.Draining {
		t.Errorf("got %+v, want only the change", r)
	}
	if calls := d.Requests(); !strings.Contains(calls[0], "after=1") {
		t.Errorf("requests %q, want a watch after the known version first", calls)
	}
}

// Whatever the bytes, a list is either rejected or has a valid id, kind and address for
// each node.
func FuzzParseList(f *testing.F) {
	f.Add([]byte(`{"version":1,"full":true,"servers":[{"id":"a","addr":"127.0.0.1:1","addrs":["unix:/n",7],"zone":"z","state":"in_service","weight":1e300,"started_ms":1e300}]}`))
	f.Add([]byte(`{"version":1,"full":false,"servers":[{"id":"a","state":"terminated","cell":-9223372036854775808}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		l, err := ParseList(data, []string{"z"}, nil)
		if err != nil {
			return
		}
		for _, n := range l.Nodes {
			if n.ID == "" || n.Kind < 0 || n.Addr == "" && n.State != decide.Removed {
				t.Errorf("%q: got invalid node %+v", data, n)
			}
		}
	})
}

// BenchmarkParseList decodes a list of 3,200 nodes.
func BenchmarkParseList(b *testing.B) {
	var entries []string
	for i := range 3200 {
		entries = append(entries, fmt.Sprintf(`{"id":"s-%08x","addr":"10.1.%d.%d:8000","zone":"neihu","kind":"m2","cell":3,"state":"in_service","weight":1.0,"started_ms":1764873600000}`, i, i/250, i%250))
	}
	data := []byte(`{"version":41,"full":true,"servers":[` + strings.Join(entries, ",") + `]}`)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := ParseList(data, []string{"neihu"}, []string{"m2"}); err != nil {
			b.Fatal(err)
		}
	}
}
