package flightwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/apache/arrow-go/v18/arrow/flight"
)

// Limits on the messages of one result.
const (
	maxMessages        = 1 + maxRows            // a schema, and batches of one row each
	maxBatchBytes      = maxValueBytes + 64<<10 // of the columns of a batch, uncompressed
	maxMetadataEntries = 64                     // of a schema, a field or a message
	columnCount        = 2                      // of a result
	bufferCount        = 2 + 3                  // validity and data of the shards; validity, offsets and data of the values
	int32Size          = 4                      // of a shard number or an offset
	bufferStructSize   = 2 * flatInt64Size      // offset and length, or the length and null count of a column
	uncompressedPrefix = flatInt64Size          // bytes before a compressed buffer, which state its uncompressed length
	notCompressed      = int64(-1)              // uncompressed length of a buffer that is stored as it is
)

// The numbers of fields and the values of enumerations in the Arrow format's Message.fbs and
// Schema.fbs.
const (
	messageHeaderType, messageHeader, messageMetadata = 1, 2, 4
	headerSchema, headerRecordBatch                   = 1, 3
	schemaFields, schemaMetadata                      = 1, 2
	fieldTypeID, fieldDictionary                      = 2, 4
	fieldChildren, fieldMetadata                      = 5, 6
	typeInt, typeBinary                               = 2, 4
	entryKey, entryValue                              = 0, 1
	batchLength, batchNodes                           = 0, 1
	batchBuffers, batchCompression                    = 2, 3
	compressionCodec, compressionMethod               = 0, 1
	lastCodec                                         = 1 // 0 is LZ4, 1 is Zstandard
)

// checkedStream checks each message of a result before the Arrow library decodes it. The library
// allocates memory by the counts and lengths that a message states, and follows its offsets.
type checkedStream struct {
	stream       flight.DataStreamReader
	messageCount int
	schemaRead   bool
	streamErr    error // error of the stream other than its proper end
}

// Recv implements flight.DataStreamReader.
func (s *checkedStream) Recv() (*flight.FlightData, error) {
	message, err := s.stream.Recv()
	if err != nil {
		if !errors.Is(err, io.EOF) {
			s.streamErr = err
		}
		return nil, err
	}
	s.messageCount++
	if s.messageCount > maxMessages {
		return nil, fmt.Errorf("over %d messages", maxMessages)
	}
	if s.messageCount == 1 && len(message.DataHeader) == 0 {
		return message, nil // only a descriptor, which precedes the schema
	}
	if err := s.check(message); err != nil {
		return nil, fmt.Errorf("message %d: %w", s.messageCount, err)
	}
	return message, nil
}

// check checks one message: first the schema, then record batches.
func (s *checkedStream) check(message *flight.FlightData) error {
	reader := &flatReader{data: message.DataHeader}
	root := reader.root()
	wantType := headerRecordBatch
	if !s.schemaRead {
		wantType = headerSchema
	}
	if headerType := int(root.uint8(messageHeaderType)); headerType != wantType {
		return errors.Join(reader.err, fmt.Errorf("header type %d, want %d", headerType, wantType))
	}
	header, ok := root.subtable(messageHeader)
	if !ok {
		return errors.Join(reader.err, errors.New("no header"))
	}
	err := checkMetadata(root, messageMetadata)
	if err == nil && !s.schemaRead {
		s.schemaRead = true
		err = checkSchema(header)
	} else if err == nil {
		err = checkBatch(header, message.DataBody)
	}
	return errors.Join(reader.err, err)
}

// checkSchema checks that a schema has the types of a result's columns, without children or
// dictionaries, which could be nested or repeated without end.
func checkSchema(schema flatTable) error {
	first, count := schema.vector(schemaFields, flatUint32Size)
	if count != columnCount {
		return fmt.Errorf("schema: %d fields, want %d", count, columnCount)
	}
	for i, wantType := range [columnCount]uint8{typeInt, typeBinary} {
		field := schema.reader.table(schema.reader.indirect(first + i*flatUint32Size))
		_, children := field.vector(fieldChildren, flatUint32Size)
		_, dictionary := field.field(fieldDictionary)
		if typeID := field.uint8(fieldTypeID); typeID != wantType || children != 0 || dictionary {
			return fmt.Errorf("schema: field %d has type %d and %d children, want type %d alone", i, typeID, children, wantType)
		}
		if err := checkMetadata(field, fieldMetadata); err != nil {
			return err
		}
	}
	return checkMetadata(schema, schemaMetadata)
}

// checkMetadata checks the number of a table's metadata entries. Their total length is checked
// because several may refer to the same bytes of the message.
func checkMetadata(table flatTable, number int) error {
	reader := table.reader
	first, count := table.vector(number, flatUint32Size)
	if count > maxMetadataEntries {
		return fmt.Errorf("metadata: %d entries, want at most %d", count, maxMetadataEntries)
	}
	total := 0
	for i := range count {
		entry := reader.table(reader.indirect(first + i*flatUint32Size))
		_, keyBytes := entry.vector(entryKey, 1)
		_, valueBytes := entry.vector(entryValue, 1)
		total += keyBytes + valueBytes
	}
	if total > len(reader.data) {
		return fmt.Errorf("metadata: %d bytes in a message of %d", total, len(reader.data))
	}
	return reader.err
}

// checkBatch checks the lengths and offsets that the header of a record batch states.
func checkBatch(batch flatTable, body []byte) error {
	rows := batch.int64(batchLength)
	if rows < 0 || rows > maxRows {
		return fmt.Errorf("batch: %d rows, want 0 to %d", rows, maxRows)
	}
	if err := checkColumns(batch, rows); err != nil {
		return err
	}
	return checkBuffers(batch, rows, body)
}

// checkColumns checks that each column of a batch has one value for each row.
func checkColumns(batch flatTable, rows int64) error {
	first, count := batch.vector(batchNodes, bufferStructSize)
	if count != columnCount {
		return fmt.Errorf("batch: %d columns, want %d", count, columnCount)
	}
	for i := range count {
		at := first + i*bufferStructSize
		length, nulls := batch.reader.int64(at), batch.reader.int64(at+flatInt64Size)
		if length != rows || nulls != 0 {
			return fmt.Errorf("batch: column %d has %d values and %d nulls, want %d and none", i, length, nulls, rows)
		}
	}
	return nil
}

// minBufferLengths returns how long the buffers of a batch must be at least. The offsets of the
// values include the end of the last one.
func minBufferLengths(rows int64) [bufferCount]int64 {
	if rows == 0 {
		return [bufferCount]int64{}
	}
	return [bufferCount]int64{1: rows * int32Size, 3: (rows + 1) * int32Size}
}

// checkBuffers checks that the buffers of a batch lie in its body and are long enough, and bounds
// their total length once uncompressed.
func checkBuffers(batch flatTable, rows int64, body []byte) error {
	first, count := batch.vector(batchBuffers, bufferStructSize)
	if count != bufferCount {
		return fmt.Errorf("batch: %d buffers, want %d", count, bufferCount)
	}
	compression, compressed := batch.subtable(batchCompression)
	if compressed && (compression.uint8(compressionCodec) > lastCodec || compression.uint8(compressionMethod) != 0) {
		return errors.New("batch: unknown compression")
	}
	total := int64(0)
	for i := range count {
		at := first + i*bufferStructSize
		offset, length := batch.reader.int64(at), batch.reader.int64(at+flatInt64Size)
		if offset < 0 || length < 0 || length > int64(len(body)) || offset > int64(len(body))-length {
			return fmt.Errorf("batch: buffer %d has %d bytes at %d of a body of %d", i, length, offset, len(body))
		}
		if compressed && length > 0 {
			var err error
			if length, err = uncompressedLength(body[offset : offset+length]); err != nil {
				return fmt.Errorf("batch: buffer %d: %w", i, err)
			}
		}
		if length < minBufferLengths(rows)[i] {
			return fmt.Errorf("batch: buffer %d has %d bytes for %d rows", i, length, rows)
		}
		if total += length; total > maxBatchBytes {
			return fmt.Errorf("batch: over %d bytes", maxBatchBytes)
		}
	}
	return nil
}

// uncompressedLength returns the length that a compressed buffer states for itself, bounded by
// maxBatchBytes.
func uncompressedLength(buffer []byte) (int64, error) {
	if len(buffer) < uncompressedPrefix {
		return 0, fmt.Errorf("%d bytes, want at least %d", len(buffer), uncompressedPrefix)
	}
	stated := int64(binary.LittleEndian.Uint64(buffer))
	if stated == notCompressed {
		return int64(len(buffer) - uncompressedPrefix), nil
	}
	if stated < 0 || stated > maxBatchBytes {
		return 0, fmt.Errorf("%d bytes uncompressed, want at most %d", stated, maxBatchBytes)
	}
	return stated, nil
}
