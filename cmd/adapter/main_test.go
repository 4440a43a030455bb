package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"
)

// batchFrame builds the frame of a batch: its records, each padded to 56 bytes, and a tail.
func batchFrame(seq uint32, tail string, records ...[]byte) []byte {
	le := binary.LittleEndian
	b := le.AppendUint32(nil, uint32(len(records)))
	b = le.AppendUint32(b, uint32(20+56*len(records)+len(tail)))
	b = append(b, make([]byte, 8)...)
	b = le.AppendUint32(b, seq)
	for _, record := range records {
		b = append(b, append(record, make([]byte, 56-len(record))...)...)
	}
	return append(b, tail...)
}

// Each whole batch must get exactly one reply, with the actions of the roots that run, also when
// a root stops and starts in one batch; a truncated batch must get an error and no reply.
func TestRunRepliesOncePerWholeBatch(t *testing.T) {
	settings := "discovery=on_request"
	begin := []byte{1, 4, 0, 0, 0, 9, 9, 9, 9, 9, 9, 9, 9, 0, 0, 0, 0, byte(len(settings)), 0, 0, 0}
	halt := []byte{10, 4, 0, 0, 0}
	wake := []byte{7, 4, 0, 0, 0}
	tests := []struct {
		name    string
		in      []byte
		replies []uint32 // records in each reply
		wantErr string
	}{
		{"no input", nil, nil, ""},
		{"an empty batch gets an empty reply", batchFrame(1, ""), []uint32{0}, ""},
		{"a root subscribes when it starts", batchFrame(1, settings, begin), []uint32{2}, ""},
		{"a stopped root stays silent", append(batchFrame(1, settings, begin, halt), batchFrame(2, "", wake)...), []uint32{0, 0}, ""},
		{"stop and start in one batch", append(batchFrame(1, settings, begin), batchFrame(2, settings, halt, begin)...), []uint32{2, 2}, ""},
		{"a truncated batch gets no reply", batchFrame(1, "", wake)[:40], nil, "input ended"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var out bytes.Buffer
			err := run(bytes.NewReader(test.in), &out)
			if (err != nil) != (test.wantErr != "") || err != nil && !strings.Contains(err.Error(), test.wantErr) {
				t.Fatalf("error %v, want %q", err, test.wantErr)
			}
			var got []uint32
			for b := out.Bytes(); len(b) > 0; b = b[binary.LittleEndian.Uint32(b):] {
				got = append(got, binary.LittleEndian.Uint32(b[4:]))
			}
			if len(got) != len(test.replies) {
				t.Fatalf("replies of %v records, want %v", got, test.replies)
			}
			for i := range got {
				if got[i] != test.replies[i] {
					t.Errorf("reply %d has %d records, want %d", i, got[i], test.replies[i])
				}
			}
		})
	}
}
