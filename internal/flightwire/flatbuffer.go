package flightwire

import (
	"encoding/binary"
	"errors"
)

// flatReader reads a flatbuffer with bounds checks, which the library's own accessors lack. After
// its first error it only returns zero values, so a caller may check err once at the end.
type flatReader struct {
	data []byte
	err  error
}

var errOutOfBounds = errors.New("flatbuffer: an offset or length is out of bounds")

// Sizes in bytes of the scalars of a flatbuffer.
const (
	flatUint16Size = 2
	flatUint32Size = 4
	flatInt64Size  = 8
)

// slice returns size bytes at a position, zeros if they are out of bounds.
func (r *flatReader) slice(at, size int) []byte {
	if r.err == nil && (at < 0 || size < 0 || at > len(r.data)-size) {
		r.err = errOutOfBounds
	}
	if r.err != nil {
		return make([]byte, flatInt64Size)
	}
	return r.data[at : at+size]
}

func (r *flatReader) uint8(at int) uint8 { return r.slice(at, 1)[0] }

func (r *flatReader) uint16(at int) int {
	return int(binary.LittleEndian.Uint16(r.slice(at, flatUint16Size)))
}

func (r *flatReader) uint32(at int) int {
	return int(binary.LittleEndian.Uint32(r.slice(at, flatUint32Size)))
}

func (r *flatReader) int64(at int) int64 {
	return int64(binary.LittleEndian.Uint64(r.slice(at, flatInt64Size)))
}

// indirect follows the offset at a position.
func (r *flatReader) indirect(at int) int { return at + r.uint32(at) }

// root returns the root table.
func (r *flatReader) root() flatTable { return r.table(r.indirect(0)) }

// table returns the table at a position.
func (r *flatReader) table(at int) flatTable {
	vtable := at - int(int32(r.uint32(at)))
	return flatTable{reader: r, at: at, vtable: vtable, vtableSize: r.uint16(vtable)}
}

// vectorAt returns the position of the first element of the vector at a position, and their
// number.
func (r *flatReader) vectorAt(at, elementSize int) (first, length int) {
	first, length = at+flatUint32Size, r.uint32(at)
	r.slice(first, length*elementSize)
	if r.err != nil {
		return 0, 0
	}
	return first, length
}

// flatTable is a table of a flatbuffer. Fields are numbered in the order of their declaration.
type flatTable struct {
	reader                 *flatReader
	at, vtable, vtableSize int
}

// vtableHeaderSize is the size in bytes of what precedes the fields' offsets in a vtable.
const vtableHeaderSize = 2 * flatUint16Size

// field returns the position of a field, and whether the table has it.
func (t flatTable) field(number int) (at int, ok bool) {
	entry := vtableHeaderSize + number*flatUint16Size
	if entry+flatUint16Size > t.vtableSize {
		return 0, false
	}
	offset := t.reader.uint16(t.vtable + entry)
	return t.at + offset, offset != 0
}

// uint8 returns the value of a field of one byte, 0 if the table lacks it.
func (t flatTable) uint8(number int) uint8 {
	if at, ok := t.field(number); ok {
		return t.reader.uint8(at)
	}
	return 0
}

// int64 returns the value of a field of eight bytes, 0 if the table lacks it.
func (t flatTable) int64(number int) int64 {
	if at, ok := t.field(number); ok {
		return t.reader.int64(at)
	}
	return 0
}

// subtable returns the table that a field refers to, and whether the table has the field.
func (t flatTable) subtable(number int) (flatTable, bool) {
	at, ok := t.field(number)
	if !ok {
		return flatTable{}, false
	}
	return t.reader.table(t.reader.indirect(at)), true
}

// vector returns the position of the first element of a field that is a vector, or a string, and
// the number of elements. A missing field counts as empty.
func (t flatTable) vector(number, elementSize int) (first, length int) {
	at, ok := t.field(number)
	if !ok {
		return 0, 0
	}
	return t.reader.vectorAt(t.reader.indirect(at), elementSize)
}
