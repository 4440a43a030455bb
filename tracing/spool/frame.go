package spool

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A segment is a header, the magic and the segment's number, then records:
// length of the payload (four bytes), kind (one), CRC-32C of kind and payload
// (four), payload. Numbers are little-endian.
const (
	magic      = "gchtrc1\n"
	headSize   = len(magic) + 8
	frameSize  = 4 + 1 + 4
	maxPayload = 4 << 20
)

// Kind is what a record holds.
type Kind byte

// The kinds of record.
const (
	KindTrace Kind = 1 + iota // record.Encode's
	KindNote                  // a record.Note as JSON
)

// State is how a segment ends.
type State uint8

// The states of a segment.
const (
	Whole   State = iota
	Torn          // its last record was cut off in the writing
	Damaged       // bytes that are no record, and more behind them
)

var table = crc32.MakeTable(crc32.Castagnoli)

func checksum(k Kind, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum([]byte{byte(k)}, table), table, payload)
}

func appendHead(dst []byte, seq uint64) []byte {
	return binary.LittleEndian.AppendUint64(append(dst, magic...), seq)
}

func appendFrame(dst []byte, k Kind, payload []byte) []byte {
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(payload)))
	dst = append(dst, byte(k))
	dst = binary.LittleEndian.AppendUint32(dst, checksum(k, payload))
	return append(dst, payload...)
}

// checkHead says whether a segment begins as it must.
func checkHead(b []byte, seq uint64) error {
	switch {
	case len(b) < headSize:
		return fmt.Errorf("header of %d bytes, want %d", len(b), headSize)
	case string(b[:len(magic)]) != magic:
		return fmt.Errorf("magic %q, want %q", b[:len(magic)], magic)
	}
	if n := binary.LittleEndian.Uint64(b[len(magic):]); n != seq {
		return fmt.Errorf("number %d, want %d", n, seq)
	}
	return nil
}

// scan calls f with each record of a segment's bytes, which begin with its
// header, until a record is not whole. good is how many bytes are.
func scan(b []byte, f func(Kind, []byte)) (good int, s State) {
	at := headSize
	for at < len(b) {
		rest := b[at:]
		if len(rest) < frameSize {
			return at, Torn
		}
		size, kind := int(binary.LittleEndian.Uint32(rest)), Kind(rest[4])
		if size > maxPayload || kind != KindTrace && kind != KindNote {
			if zero(rest) { // room that a crash of the machine left unwritten
				return at, Torn
			}
			return at, Damaged
		}
		end := frameSize + size
		if end > len(rest) {
			return at, Torn
		}
		payload := rest[frameSize:end]
		if checksum(kind, payload) != binary.LittleEndian.Uint32(rest[5:]) {
			if end == len(rest) {
				return at, Torn
			}
			return at, Damaged
		}
		f(kind, payload)
		at += end
	}
	return at, Whole
}

func zero(b []byte) bool {
	for _, x := range b {
		if x != 0 {
			return false
		}
	}
	return true
}
