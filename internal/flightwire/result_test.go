package flightwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"

	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"github.com/apache/arrow-go/v18/arrow/memory"

	"onyxsail/broker"
)

// recordedStream keeps the messages that are sent to it and then delivers them.
type recordedStream struct{ messages []*flight.FlightData }

func (s *recordedStream) Send(m *flight.FlightData) error {
	copied := &flight.FlightData{DataHeader: append([]byte(nil), m.DataHeader...), DataBody: append([]byte(nil), m.DataBody...)}
	s.messages = append(s.messages, copied)
	return nil
}

func (s *recordedStream) Recv() (*flight.FlightData, error) {
	if len(s.messages) == 0 {
		return nil, io.EOF
	}
	m := s.messages[0]
	s.messages = s.messages[1:]
	return m, nil
}

// recordResult returns the messages of a result: its schema, and one batch.
func recordResult(t testing.TB, values []broker.Value, options ...ipc.Option) []*flight.FlightData {
	t.Helper()
	stream := &recordedStream{}
	schema := Schema(true)
	writer := flight.NewRecordWriter(stream, append(options, ipc.WithSchema(schema))...)
	builder := array.NewRecordBuilder(memory.DefaultAllocator, schema)
	defer builder.Release()
	for _, v := range values {
		builder.Field(0).(*array.Int32Builder).Append(int32(v.Shard))
		builder.Field(1).(*array.BinaryBuilder).Append(v.Data)
	}
	batch := builder.NewRecordBatch()
	defer batch.Release()
	if err := errors.Join(writer.Write(batch), writer.Close()); err != nil {
		t.Fatal(err)
	}
	if len(stream.messages) != 2 {
		t.Fatalf("recorded %d messages, want a schema and a batch", len(stream.messages))
	}
	return stream.messages
}

var threeValues = []broker.Value{{Shard: 4, Data: []byte("four")}, {Shard: 5, Data: []byte("five!")}, {Shard: 900, Data: []byte("")}}

// headerTable returns the header of a message as a table.
func headerTable(m *flight.FlightData) flatTable {
	reader := &flatReader{data: m.DataHeader}
	header, _ := reader.root().subtable(messageHeader)
	return header
}

// setInt64 changes an int64 in a message's header.
func setInt64(m *flight.FlightData, at int, value int64) {
	binary.LittleEndian.PutUint64(m.DataHeader[at:], uint64(value))
}

// setVectorLength changes the stated length of a vector of the message's header.
func setVectorLength(m *flight.FlightData, field, elementSize int, length uint32) {
	first, _ := headerTable(m).vector(field, elementSize)
	binary.LittleEndian.PutUint32(m.DataHeader[first-flatUint32Size:], length)
}

// setColumnLength changes the stated length of a column.
func setColumnLength(m *flight.FlightData, column int, length int64) {
	first, _ := headerTable(m).vector(batchNodes, bufferStructSize)
	setInt64(m, first+column*bufferStructSize, length)
}

// bufferPosition returns where the offset of a buffer stands in the header; its length follows.
func bufferPosition(m *flight.FlightData, buffer int) int {
	first, _ := headerTable(m).vector(batchBuffers, bufferStructSize)
	return first + buffer*bufferStructSize
}

// bufferStart returns where a buffer starts in the body.
func bufferStart(m *flight.FlightData, buffer int) int {
	return int(headerTable(m).reader.int64(bufferPosition(m, buffer)))
}

// setValueOffset changes an offset of the value column.
func setValueOffset(m *flight.FlightData, row int, offset int32) {
	binary.LittleEndian.PutUint32(m.DataBody[bufferStart(m, 3)+row*int32Size:], uint32(offset))
}

// invalidResults are ways to make a result of three values invalid. batchIndex is the batch's.
var invalidResults = []struct {
	name  string
	spoil func(messages []*flight.FlightData) []*flight.FlightData
}{
	{"value starts behind its end", func(m []*flight.FlightData) []*flight.FlightData {
		setValueOffset(m[1], 0, 1000)
		return m
	}},
	{"value ends before it starts", func(m []*flight.FlightData) []*flight.FlightData {
		setValueOffset(m[1], 2, 1)
		return m
	}},
	{"value lies behind the data", func(m []*flight.FlightData) []*flight.FlightData {
		setValueOffset(m[1], 1, 1<<30)
		return m
	}},
	{"negative offset", func(m []*flight.FlightData) []*flight.FlightData {
		setValueOffset(m[1], 0, -8)
		return m
	}},
	{"fewer values than shards", func(m []*flight.FlightData) []*flight.FlightData {
		setColumnLength(m[1], 1, 2)
		return m
	}},
	{"negative rows", func(m []*flight.FlightData) []*flight.FlightData {
		at, _ := headerTable(m[1]).field(batchLength)
		setInt64(m[1], at, -1)
		return m
	}},
	{"more rows than the buffers hold", func(m []*flight.FlightData) []*flight.FlightData {
		at, _ := headerTable(m[1]).field(batchLength)
		setInt64(m[1], at, maxRows)
		setColumnLength(m[1], 0, maxRows)
		setColumnLength(m[1], 1, maxRows)
		return m
	}},
	{"rows without number", func(m []*flight.FlightData) []*flight.FlightData {
		at, _ := headerTable(m[1]).field(batchLength)
		setInt64(m[1], at, 1<<40)
		setColumnLength(m[1], 0, 1<<40)
		setColumnLength(m[1], 1, 1<<40)
		return m
	}},
	{"nulls", func(m []*flight.FlightData) []*flight.FlightData {
		first, _ := headerTable(m[1]).vector(batchNodes, bufferStructSize)
		setInt64(m[1], first+flatInt64Size, 1)
		return m
	}},
	{"buffer beyond the body", func(m []*flight.FlightData) []*flight.FlightData {
		setInt64(m[1], bufferPosition(m[1], 4)+flatInt64Size, 1<<20)
		return m
	}},
	{"buffer whose end overflows", func(m []*flight.FlightData) []*flight.FlightData {
		setInt64(m[1], bufferPosition(m[1], 4), 1<<62)
		setInt64(m[1], bufferPosition(m[1], 4)+flatInt64Size, 1<<62)
		return m
	}},
	{"negative buffer offset", func(m []*flight.FlightData) []*flight.FlightData {
		setInt64(m[1], bufferPosition(m[1], 3), -64)
		return m
	}},
	{"buffers without number", func(m []*flight.FlightData) []*flight.FlightData {
		setVectorLength(m[1], batchBuffers, bufferStructSize, 1<<31)
		return m
	}},
	{"fields without number", func(m []*flight.FlightData) []*flight.FlightData {
		setVectorLength(m[0], schemaFields, flatUint32Size, 1<<31-1)
		return m
	}},
	{"metadata without number", func(m []*flight.FlightData) []*flight.FlightData {
		setVectorLength(m[0], schemaMetadata, flatUint32Size, 1<<31-1)
		return m
	}},
	{"truncated schema", func(m []*flight.FlightData) []*flight.FlightData {
		m[0].DataHeader = m[0].DataHeader[:len(m[0].DataHeader)/2]
		return m
	}},
	{"truncated body", func(m []*flight.FlightData) []*flight.FlightData {
		m[1].DataBody = m[1].DataBody[:9]
		return m
	}},
	{"no body", func(m []*flight.FlightData) []*flight.FlightData {
		m[1].DataBody = nil
		return m
	}},
	{"second schema", func(m []*flight.FlightData) []*flight.FlightData {
		return []*flight.FlightData{m[0], m[0], m[1]}
	}},
	{"batch without schema", func(m []*flight.FlightData) []*flight.FlightData { return m[1:] }},
	{"dictionary batch", func(m []*flight.FlightData) []*flight.FlightData {
		reader := &flatReader{data: m[1].DataHeader}
		at, _ := reader.root().field(messageHeaderType)
		m[1].DataHeader[at] = 2
		return m
	}},
	{"no message at all", func([]*flight.FlightData) []*flight.FlightData { return nil }},
	{"too many rows in all", func(m []*flight.FlightData) []*flight.FlightData {
		for len(m) <= maxRows/3+1 {
			m = append(m, m[1])
		}
		return m
	}},
}

// A result whose lengths, offsets or counts do not fit ended the process with a panic, or could
// have made it allocate any amount of memory.
func TestInvalidResultsAreRejected(t *testing.T) {
	for _, c := range invalidResults {
		t.Run(c.name, func(t *testing.T) {
			expectInvalid(t, &recordedStream{c.spoil(recordResult(t, threeValues))})
		})
	}
}

// maxInvalidAllocBytes bounds what reading an invalid result may allocate, the result included.
const maxInvalidAllocBytes = 4 << 20

// expectInvalid reads a result and fails the test unless it is rejected with little memory used.
func expectInvalid(t *testing.T, stream flight.DataStreamReader) {
	t.Helper()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	complete, values, err := ReadValues(stream)
	runtime.ReadMemStats(&after)
	if !errors.Is(err, ErrInvalidResult) || complete || values != nil {
		t.Errorf("got complete %v, %d values, error %v; want an invalid result and nothing else", complete, len(values), err)
	}
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > maxInvalidAllocBytes {
		t.Errorf("reading it allocated %d bytes, want at most %d", allocated, maxInvalidAllocBytes)
	}
}

// A small compressed batch that unpacks to a huge one used up the memory before its size was looked
// at, also where the batch states another size than it has.
func TestCompressedResultsAreBounded(t *testing.T) {
	big := []broker.Value{{Shard: 1, Data: make([]byte, 64<<20)}}
	for name, option := range map[string]ipc.Option{"lz4": ipc.WithLZ4(), "zstd": ipc.WithZstd()} {
		t.Run(name, func(t *testing.T) {
			if _, values, err := ReadValues(&recordedStream{recordResult(t, threeValues, option)}); err != nil || len(values) != len(threeValues) {
				t.Fatalf("a small compressed result: got %v, error %v", values, err)
			}
			expectInvalid(t, &recordedStream{recordResult(t, big, option)})
			for _, stated := range []int64{64, 1 << 20, 512 << 20, 1 << 62, -2} {
				messages := recordResult(t, big, option)
				start := bufferStart(messages[1], 4)
				binary.LittleEndian.PutUint64(messages[1].DataBody[start:], uint64(stated))
				expectInvalid(t, &recordedStream{messages})
			}
		})
	}
}

// endlessStream delivers a schema and then the same batch for ever.
type endlessStream struct {
	schema, batch *flight.FlightData
	delivered     int
}

func (s *endlessStream) Recv() (*flight.FlightData, error) {
	s.delivered++
	if s.delivered == 1 {
		return s.schema, nil
	}
	return s.batch, nil
}

// Batches without rows never reached the limit on rows, so their stream could go on for ever.
func TestEndlessEmptyBatchesAreRejected(t *testing.T) {
	messages := recordResult(t, nil)
	stream := &endlessStream{schema: messages[0], batch: messages[1]}
	if _, _, err := ReadValues(stream); !errors.Is(err, ErrInvalidResult) || stream.delivered > maxMessages+1 {
		t.Errorf("got error %v after %d messages, want an invalid result after %d at most", err, stream.delivered, maxMessages+1)
	}
}

// failingStream fails after the messages of another one.
type failingStream struct {
	recordedStream
	err error
}

func (s *failingStream) Recv() (*flight.FlightData, error) {
	if len(s.messages) == 0 {
		return nil, s.err
	}
	return s.recordedStream.Recv()
}

// A stream that breaks must not count as an invalid result: the error says whether the connection
// was lost.
func TestBrokenStreamsKeepTheirError(t *testing.T) {
	broken := errors.New("connection lost")
	for count := range 3 {
		stream := &failingStream{recordedStream{recordResult(t, threeValues)[:count]}, broken}
		if _, values, err := ReadValues(stream); !errors.Is(err, broken) || errors.Is(err, ErrInvalidResult) || values != nil {
			t.Errorf("broken after %d messages: got %v, error %v, want the stream's error alone", count, values, err)
		}
	}
}

// Valid results of any number of rows and batches are read as they were sent.
func TestResultsAreReadAsSent(t *testing.T) {
	for _, count := range []int{0, 1, 3, maxRows} {
		sent := make([]broker.Value, count)
		for i := range sent {
			sent[i] = broker.Value{Shard: i, Data: []byte(strings.Repeat("x", rand.IntN(200)))}
		}
		stream := &recordedStream{}
		if err := WriteValues(stream, true, sent); err != nil {
			t.Fatal(err)
		}
		complete, got, err := ReadValues(stream)
		if err != nil || !complete || fmt.Sprint(got) != fmt.Sprint(sent) && count > 0 || len(got) != count {
			t.Errorf("%d values: got %d, complete %v, error %v", count, len(got), complete, err)
		}
	}
}

// FuzzReadValues reads results of one schema message and two batches from any bytes: no panic, and
// no more than the limits.
func FuzzReadValues(f *testing.F) {
	for _, options := range [][]ipc.Option{nil, {ipc.WithLZ4()}, {ipc.WithZstd()}} {
		m := recordResult(f, threeValues, options...)
		f.Add(m[0].DataHeader, m[1].DataHeader, m[1].DataBody, m[1].DataHeader, m[1].DataBody)
	}
	for _, c := range invalidResults {
		if m := c.spoil(recordResult(f, threeValues)); len(m) >= 2 {
			f.Add(m[0].DataHeader, m[1].DataHeader, m[1].DataBody, []byte{}, []byte{})
		}
	}
	f.Fuzz(func(t *testing.T, schema, header1, body1, header2, body2 []byte) {
		stream := &recordedStream{[]*flight.FlightData{
			{DataHeader: schema}, {DataHeader: header1, DataBody: body1}, {DataHeader: header2, DataBody: body2}}}
		_, values, err := ReadValues(stream)
		total := 0
		for _, v := range values {
			total += len(v.Data)
		}
		if err != nil && values != nil || len(values) > maxRows || total > maxValueBytes {
			t.Errorf("got %d values of %d bytes, error %v", len(values), total, err)
		}
	})
}
