package wire

import (
	"bytes"
	"encoding/hex"
	"io"
	"strings"
	"testing"

	"onyxsail/decide"
)

// hexZeros returns n zero bytes in hex.
func hexZeros(n int) string { return strings.Repeat("00", n) }

// fromHex decodes the parts, hex digits with spaces, into one slice.
func fromHex(t *testing.T, parts ...string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(strings.Join(parts, ""), " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// batchFrame returns the frame of a batch: a header, and after it the given number of records
// and a tail, both in hex. The clock and the sequence number are 0.
func batchFrame(t *testing.T, records int, rest ...string) []byte {
	t.Helper()
	body := fromHex(t, rest...)
	b := make([]byte, batchHeaderSize, batchHeaderSize+len(body))
	le.PutUint32(b, uint32(records))
	le.PutUint32(b[4:], uint32(batchHeaderSize+len(body)))
	return append(b, body...)
}

// The records of three events, in hex, without their padding.
const (
	callRecord   = "03 03000000 c4913a5dcb1f0800 00 0000 640ad2557c3bf091 0000000000006e40 0000000000002840 00005643 00000000 0000003e 01 000000"
	wakeupRecord = "07 03000000 4d00000000000000"
	hangupRecord = "06 05000000 192b6f0e15020100"
)

// A batch follows the previous one without a separator, so a wrong length would shift all that
// follow. The fields of each record must arrive in its event, and the end of the input between
// two batches must be io.EOF.
func TestDecodeReadsConsecutiveBatches(t *testing.T) {
	in := append(fromHex(t, "00000000 14000000 00000000206ec040 01000000"),
		fromHex(t, "03000000 bc000000 00000000206ec040 0c000000", callRecord, wakeupRecord, hexZeros(43), hangupRecord, hexZeros(43))...)
	d := NewDecoder(bytes.NewReader(in))
	var b Batch
	if err := d.Next(&b); err != nil || len(b.Items) != 0 || b.Seq != 1 || b.Now != 8412.25 {
		t.Fatalf("empty batch: got %+v, %v, want batch 1 without items", b, err)
	}
	if err := d.Next(&b); err != nil || b.Seq != 12 || len(b.Items) != 3 {
		t.Fatalf("second batch: got %+v, %v, want batch 12 with three items", b, err)
	}
	call := b.Items[0]
	if e := call.Event; call.Root != 3 || e.Kind != decide.PartArrived || e.ID != 0x81fcb5d3a91c4 || e.Key != 0x91f03b7c55d20a64 ||
		e.TimeLeftMs != 240 || e.EstimatedWorkMs != 12 || e.Number != 214 || e.Shard != 0 || e.Weight != 0.125 || !e.HasEstimate || e.Retry {
		t.Errorf("call: got %+v, want the fields of callRecord", call)
	}
	if e := b.Items[1].Event; e.Kind != decide.TimerFired || e.Token != 77 {
		t.Errorf("wakeup: got %+v, want a timer with token 77", e)
	}
	if it := b.Items[2]; it.Root != 5 || it.Event.Kind != decide.ClientDisconnected || it.Event.ID != 0x102150e6f2b19 {
		t.Errorf("hangup: got %+v, want a client of root 5 that disconnected", it)
	}
	if err := d.Next(&b); err != io.EOF {
		t.Errorf("at the end of input: %v, want io.EOF", err)
	}
}

// The outcome, attempt and load report of a SETTLED event are at unaligned offsets, which must
// be read as the simulator writes them.
func TestDecodeReadsAttemptOutcomeAndLoad(t *testing.T) {
	record := "05 03000000 c4913a5dcb1f0800 0000000000803240 01 0a124a07 5b1b 0100 f401 02 0000803f 00000040 00000000 00000000" + hexZeros(7)
	var b Batch
	if err := NewDecoder(bytes.NewReader(batchFrame(t, 1, record))).Next(&b); err != nil {
		t.Fatal(err)
	}
	e := b.Items[0].Event
	if e.Kind != decide.AttemptDone || e.Attempt != 1 || e.Outcome != decide.Failed || e.ElapsedMs != 18.5 ||
		len(e.Load) != 2 || e.Load[0] != 1 || e.Load[1] != 2 {
		t.Errorf("settled: got %+v, want attempt 1 as failed after 18.5 ms with the load values 1 and 2", e)
	}
}

// A CENSUS event may refill a slot to which an earlier LIST event of the same batch refers: the
// earlier event must keep the list that the slot had then.
func TestRefillingAListSlotKeepsTheListOfEarlierEvents(t *testing.T) {
	one := "0a124a07 5b1b 0000 00 0000 01 0000803f 0000000000000000"
	two := "0a9011f2 841b 0100 02 0300 03 0000c03f 0000000000d4b740"
	census := func(offset, n string) string { return "0b 0000 " + offset + n + hexZeros(45) }
	list := "02 03000000 00 2900000000000000 0000" + hexZeros(40)
	var b Batch
	in := batchFrame(t, 4, census("00000000", "01000000"), list, census("18000000", "01000000"), list, one, two)
	if err := NewDecoder(bytes.NewReader(in)).Next(&b); err != nil {
		t.Fatal(err)
	}
	first, second := b.Items[0].Event.Members, b.Items[1].Event.Members
	want := decide.Member{Addr: 0x1b84f211900a, Zone: 1, Kind: 2, Cell: 3, State: decide.Draining, Size: 1.5, ReadyAt: 6100}
	if len(first) != 1 || first[0].Addr != 0x1b5b074a120a || len(second) != 1 || second[0] != want {
		t.Errorf("got the lists %+v and %+v, want that of the first CENSUS event and then that of the second", first, second)
	}
}

// Input that is truncated, inconsistent or out of range must give a one-line error that says
// what was got and wanted, and must not panic or be taken for the end of input.
func TestDecodeRejectsMalformedFrames(t *testing.T) {
	tests := []struct {
		name, want string
		in         []byte
	}{
		{"half a header", "batch header: input ended after 3 bytes, want 20", []byte{1, 0, 0}},
		{"truncated body", "input ended after 20 bytes, want 76", fromHex(t, "01000000 4c000000", hexZeros(12))},
		{"length too short", "want at least 76 for 1 records", fromHex(t, "01000000 14000000", hexZeros(12))},
		{"more records than a frame can hold", "want at least", fromHex(t, "ffffffff 14000000", hexZeros(12))},
		{"unknown event", "event code 99", batchFrame(t, 1, "63", hexZeros(55))},
		{"tail out of range", "tail range 4+8, want within 2 bytes", batchFrame(t, 1, "09 03000000 0000 04000000 08000000", hexZeros(41), "6869")},
		{"begin out of range", "tail range", batchFrame(t, 1, "01 03000000", hexZeros(8), "ffffffff ffffffff", hexZeros(35))},
		{"invalid setting", `setting tickMs: got "x", want a number`, batchFrame(t, 1, "01 03000000", hexZeros(8), "00000000 08000000", hexZeros(35), hex.EncodeToString([]byte("tickMs=x")))},
		{"setting without value", "want path=value", batchFrame(t, 1, "01 03000000", hexZeros(8), "00000000 02000000", hexZeros(35), "6869")},
		{"unknown outcome", "outcome code 418", batchFrame(t, 1, "05 03000000", hexZeros(25), "a201", hexZeros(24))},
		{"oversized load", "load report of 5 values", batchFrame(t, 1, "05 03000000", hexZeros(25), "c800 05", hexZeros(23))},
		{"unknown list kind", "list kind 9", batchFrame(t, 1, "02 03000000 09", hexZeros(50))},
		{"unfilled slot", "list slot 2", batchFrame(t, 1, "02 03000000 00", hexZeros(8), "0200", hexZeros(40))},
		{"CENSUS slot out of range", "CENSUS slot 16", batchFrame(t, 1, "0b 1000", hexZeros(53))},
		{"member state", "state 7", batchFrame(t, 1, "0b 0000 00000000 01000000", hexZeros(45), hexZeros(11), "07", hexZeros(12))},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var b Batch
			err := NewDecoder(bytes.NewReader(test.in)).Next(&b)
			if err == nil || err == io.EOF || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("error %v, want one line with %q", err, test.want)
			}
		})
	}
}

// The simulator reads replies by offset: each kind of action must be encoded byte for byte, and
// texts must go to the tail with their offset and length.
func TestEncodeWritesEachKindOfAction(t *testing.T) {
	var w Encoder
	if got, want := w.Bytes(1), fromHex(t, "0c000000 00000000 01000000"); !bytes.Equal(got, want) {
		t.Errorf("empty reply %x, want %x", got, want)
	}
	w.Add(3, decide.Action{Kind: decide.Send, ID: 0x81fcb5d3a91c4, Addr: 0x1b5b074a120a, Ms: 80})
	w.Add(3, decide.Action{Kind: decide.Timer, Ms: 500, Token: 77})
	w.Add(5, decide.Action{Kind: decide.Log, Text: "two servers known"})
	want := fromHex(t, "7d000000 03000000 0c000000",
		"41 03000000 c4913a5dcb1f0800 0a124a07 5b1b 0000000000005440 0000000000",
		"45 03000000 0000000000407f40 4d00000000000000", hexZeros(11),
		"49 05000000 00000000 11000000", hexZeros(19), hex.EncodeToString([]byte("two servers known")))
	if got := w.Bytes(12); !bytes.Equal(got, want) {
		t.Errorf("reply\n%x, want\n%x", got, want)
	}
	for _, test := range []struct {
		a    decide.Action
		want string
	}{
		{decide.Action{Kind: decide.Cancel, ID: 1, Attempt: 2}, "44 07000000 0100000000000000 0200" + hexZeros(17)},
		{decide.Action{Kind: decide.Answer, ID: 1, Complete: true}, "4d 07000000 0100000000000000 01" + hexZeros(18)},
		{decide.Action{Kind: decide.Refuse, ID: 1, Ms: 1}, "42 07000000 0100000000000000 000000000000f03f" + hexZeros(11)},
		{decide.Action{Kind: decide.Abort, ID: 1}, "43 07000000 0100000000000000" + hexZeros(19)},
		{decide.Action{Kind: decide.Probe, Addr: 0x1b5b074a120a}, "46 07000000 0a124a07 5b1b" + hexZeros(21)},
		{decide.Action{Kind: decide.CloseIdle, Addr: 0x1b5b074a120a}, "47 07000000 0a124a07 5b1b" + hexZeros(21)},
		{decide.Action{Kind: decide.MessagePeer, Peer: decide.AllPeers, Text: "hi"}, "48 07000000 ffffffff 00000000 02000000" + hexZeros(15) + "6869"},
		{decide.Action{Kind: decide.Subscribe, Complete: true}, "4b 07000000 01" + hexZeros(26)},
		{decide.Action{Kind: decide.FetchList}, "4c 07000000" + hexZeros(27)},
	} {
		w.Add(7, test.a)
		if got, want := w.Bytes(1)[replyHeaderSize:], fromHex(t, test.want); !bytes.Equal(got, want) {
			t.Errorf("action %v: %x, want %x", test.a.Kind, got, want)
		}
	}
}

// A setting that is not given must have its default: no capability, no budget, one root, one cell,
// and a class's own defaults. Unknown settings must be ignored.
func TestParseSettingsReadsClassesAndDefaults(t *testing.T) {
	s, err := ParseSettings("classes.count=2\nclasses.0.objectiveMs=30\nclasses.0.idempotency=keyed\nclasses.1.deadlineMs=9\n" +
		"classes.1.idempotency=unsafe\ndomain.needByClass=0.75,1.0\nunknown.thing=7\ncaps.cancel=true\nreport.fields=backlog,recent_ms\n")
	if err != nil {
		t.Fatal(err)
	}
	if len(s.Classes) != 2 || s.Classes[0].ObjectiveMs != 30 || s.Classes[0].Effect != decide.Keyed || s.Classes[0].CompleteShare != 0.75 ||
		s.Classes[1].ObjectiveMs != 9 || s.Classes[1].Effect != decide.Unsafe || s.Classes[1].MinShare != 1 {
		t.Errorf("got classes %+v, want the given values and the defaults", s.Classes)
	}
	if !s.AllowCancel || s.AllowCopies || s.HasRetryBudget || s.Roots != 1 || s.Cells != 1 || len(s.LoadReportFields) != 2 {
		t.Errorf("got settings %+v, want the given values and the defaults", s)
	}
}

// No input may panic the decoder or make it return more items than the input has room for.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{0, 0, 0, 0, 20, 0, 0, 0, 0, 0, 0, 0, 0x20, 0x6e, 0xc0, 0x40, 1, 0, 0, 0})
	f.Fuzz(func(t *testing.T, in []byte) {
		d := NewDecoder(bytes.NewReader(in))
		var b Batch
		for d.Next(&b) == nil {
			if len(b.Items) > len(in)/eventSize {
				t.Fatalf("%d items from %d bytes, more than these have room for", len(b.Items), len(in))
			}
		}
	})
}
