package spool

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A segment file consists of a header (the magic and the sequence number of the
// segment, 8 bytes each) and records. A record consists of the payload length
// (4 bytes), the kind (1 byte), the CRC-32C of kind and payload (4 bytes) and the
// payload. Integers are little-endian. Sizes are in bytes.
const (
	segmentMagic      = "gchtrc1\n"
	segmentHeaderSize = len(segmentMagic) + 8
	recordHeaderSize  = 4 + 1 + 4
	maxPayloadBytes   = 4 << 20 // longer payloads are neither written nor read
)

// Kind is the type of a record's payload.
type Kind byte

// The kinds of record.
const (
	KindTrace       Kind = 1 + iota // the output of record.Encode
	KindLateOutcome                 // the output of EncodeLateOutcome
)

// SegmentState tells whether a segment can be read to its end.
type SegmentState uint8

// The states of a segment.
const (
	Intact  SegmentState = iota // every record is valid
	Torn                        // an interrupted write explains the end: an incomplete or damaged last record, or zeros only
	Corrupt                     // an invalid record that an interrupted write does not explain
)

// castagnoli is the table of the CRC-32C.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum returns the CRC-32C of a record's kind and payload.
func checksum(kind Kind, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum([]byte{byte(kind)}, castagnoli), castagnoli, payload)
}

// appendSegmentHeader appends the header of the segment seq to dst.
func appendSegmentHeader(dst []byte, seq uint64) []byte {
	return binary.LittleEndian.AppendUint64(append(dst, segmentMagic...), seq)
}

// appendRecord appends a record to dst.
func appendRecord(dst []byte, kind Kind, payload []byte) []byte {
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(payload)))
	dst = append(dst, byte(kind))
	dst = binary.LittleEndian.AppendUint32(dst, checksum(kind, payload))
	return append(dst, payload...)
}

// checkSegmentHeader returns an error unless data begins with the header of the
// segment seq.
func checkSegmentHeader(data []byte, seq uint64) error {
	switch {
	case len(data) < segmentHeaderSize:
		return fmt.Errorf("header of %d bytes, want %d", len(data), segmentHeaderSize)
	case string(data[:len(segmentMagic)]) != segmentMagic:
		return fmt.Errorf("magic %q, want %q", data[:len(segmentMagic)], segmentMagic)
	}
	if n := binary.LittleEndian.Uint64(data[len(segmentMagic):]); n != seq {
		return fmt.Errorf("number %d, want %d", n, seq)
	}
	return nil
}

// scanRecords calls visit with each record of a segment until it meets an invalid
// one. data is the content of the segment; its header must be valid, or data empty.
// intactBytes is the length of the valid prefix, the header included.
func scanRecords(data []byte, visit func(Kind, []byte)) (intactBytes int, state SegmentState) {
	at := segmentHeaderSize
	for at < len(data) {
		rest := data[at:]
		if len(rest) < recordHeaderSize {
			return at, Torn
		}
		size, kind := int(binary.LittleEndian.Uint32(rest)), Kind(rest[4])
		if size > maxPayloadBytes || kind != KindTrace && kind != KindLateOutcome {
			if allZero(rest) { // space that was allocated but not written when the machine crashed
				return at, Torn
			}
			return at, Corrupt
		}
		end := recordHeaderSize + size
		if end > len(rest) {
			return at, Torn
		}
		payload := rest[recordHeaderSize:end]
		if checksum(kind, payload) != binary.LittleEndian.Uint32(rest[5:]) {
			if end == len(rest) {
				return at, Torn
			}
			return at, Corrupt
		}
		visit(kind, payload)
		at += end
	}
	return at, Intact
}

func allZero(data []byte) bool {
	for _, x := range data {
		if x != 0 {
			return false
		}
	}
	return true
}
