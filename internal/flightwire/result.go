package flightwire

import (
	"errors"
	"fmt"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"

	"onyxsail/broker"
)

// Limits of one result that is read. Without them, a node that never stops sending could use up
// the memory.
const (
	maxRows       = 1024    // rows of all batches
	maxValueBytes = 1 << 20 // of all values
)

// ErrInvalidResult reports that a peer sent a result that cannot be read: one with the wrong
// schema, over the limits, or with lengths or offsets that do not fit.
var ErrInvalidResult = errors.New("invalid result")

// ReadValues reads a result. complete is true only if the schema's metadata says so. If the stream
// does not end properly, ReadValues returns the stream's error and no values; if the result cannot
// be read, it returns an ErrInvalidResult.
func ReadValues(stream flight.DataStreamReader) (complete bool, values []broker.Value, err error) {
	messages := &checkedStream{stream: stream}
	complete, values, err = readMessages(messages)
	switch {
	case messages.streamErr != nil:
		return false, nil, fmt.Errorf("reading a result: %w", messages.streamErr)
	case err != nil:
		return false, nil, fmt.Errorf("%w: %w", ErrInvalidResult, err)
	}
	return complete, values, nil
}

// readMessages reads the schema and the record batches of a result.
func readMessages(messages *checkedStream) (complete bool, values []broker.Value, err error) {
	reader, err := flight.NewRecordReader(messages)
	if err != nil {
		return false, nil, fmt.Errorf("schema: %w", err)
	}
	defer reader.Release()
	if !reader.Schema().Equal(Schema(true)) {
		return false, nil, fmt.Errorf("unexpected schema %v", reader.Schema())
	}
	if v, ok := reader.Schema().Metadata().GetValue(CompleteKey); ok {
		complete = v == "true"
	}
	valueBytes := 0
	for reader.Next() {
		rows, err := batchValues(reader.RecordBatch())
		if err != nil {
			return false, nil, err
		}
		values = append(values, rows...)
		for _, row := range rows {
			valueBytes += len(row.Data)
		}
		if len(values) > maxRows || valueBytes > maxValueBytes {
			return false, nil, fmt.Errorf("%d rows with %d bytes, want at most %d with %d", len(values), valueBytes, maxRows, maxValueBytes)
		}
	}
	return complete, values, reader.Err()
}

// batchValues returns copies of the values of a batch that a checkedStream let through. What the
// columns' buffers hold is checked here, before a value is sliced out of them.
func batchValues(batch arrow.RecordBatch) ([]broker.Value, error) {
	shardColumn, ok1 := batch.Column(0).(*array.Int32)
	valueColumn, ok2 := batch.Column(1).(*array.Binary)
	if !ok1 || !ok2 || shardColumn.Len() != valueColumn.Len() {
		return nil, errors.New("the columns differ in length or have the wrong type")
	}
	if err := valueColumn.ValidateFull(); err != nil {
		return nil, fmt.Errorf("value column: %w", err)
	}
	values := make([]broker.Value, shardColumn.Len())
	for i := range values {
		values[i] = broker.Value{Shard: int(shardColumn.Value(i)), Data: append([]byte(nil), valueColumn.Value(i)...)}
	}
	return values, nil
}
