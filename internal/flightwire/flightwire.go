// Package flightwire defines how queries, parts and results are encoded on Arrow Flight. It is
// shared by the front, the node client and the test doubles of their peers.
package flightwire

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"github.com/apache/arrow-go/v18/arrow/memory"

	"onyxsail/broker"
)

// CompleteKey is the schema metadata key that says whether a result is complete: "true", or
// "false" for a partial one.
const CompleteKey = "whole"

// PartEndKey is the trailer in which a node reports how a part ended. PartEndQueueFull is the
// value that proves that the part never ran, as the node's queue was full. A status alone proves
// nothing, as the transport generates such statuses itself.
const (
	PartEndKey       = "part-end"
	PartEndQueueFull = "full"
)

// Limits of one result that is read. Without them, a node that never stops sending could use up
// the memory.
const (
	maxRows       = 1024    // rows of all batches
	maxValueBytes = 1 << 20 // of all values
)

// QueryTicket is the ticket of a query, without its targets and text. These are further fields
// of the same JSON object, which package query decodes as in the body of an HTTP request.
type QueryTicket struct {
	ID    string `json:"id"`
	Class string `json:"class"`           // name of the class
	Key   string `json:"key,omitempty"`   // idempotency key; only in a keyed class
	Retry bool   `json:"retry,omitempty"` // the client marks the query as a retry
}

// PartTicket is the ticket of one part that is sent to a node.
type PartTicket struct {
	ID        string `json:"id"`            // the query's id, a dot and the shard number
	Partition int    `json:"partition"`     // shard number
	WaitMs    int64  `json:"wait_ms"`       // how much longer the broker waits for the answer
	Key       string `json:"key,omitempty"` // idempotency key of the query, if it has one
	Query     []byte `json:"query"`         // text of the query; base64 in JSON
}

// EncodeTicket encodes a QueryTicket or PartTicket as JSON.
func EncodeTicket(ticket any) (*flight.Ticket, error) {
	data, err := json.Marshal(ticket)
	if err != nil {
		return nil, fmt.Errorf("encoding a ticket: %w", err)
	}
	return &flight.Ticket{Ticket: data}, nil
}

// Schema returns the schema of a result: one row for each part that was answered, with the shard
// number and the value.
func Schema(complete bool) *arrow.Schema {
	md := arrow.NewMetadata([]string{CompleteKey}, []string{strconv.FormatBool(complete)})
	return arrow.NewSchema([]arrow.Field{
		{Name: "partition", Type: arrow.PrimitiveTypes.Int32},
		{Name: "value", Type: arrow.BinaryTypes.Binary},
	}, &md)
}

// WriteValues sends a result as one record batch.
func WriteValues(stream flight.DataStreamWriter, complete bool, values []broker.Value) (err error) {
	schema := Schema(complete)
	writer := flight.NewRecordWriter(stream, ipc.WithSchema(schema))
	defer func() {
		if closeErr := writer.Close(); err == nil && closeErr != nil {
			err = fmt.Errorf("ending the answer: %w", closeErr)
		}
	}()
	builder := array.NewRecordBuilder(memory.DefaultAllocator, schema)
	defer builder.Release()
	shardBuilder, valueBuilder := builder.Field(0).(*array.Int32Builder), builder.Field(1).(*array.BinaryBuilder)
	for _, v := range values {
		shardBuilder.Append(int32(v.Shard))
		valueBuilder.Append(v.Data)
	}
	batch := builder.NewRecordBatch()
	defer batch.Release()
	if err := writer.Write(batch); err != nil {
		return fmt.Errorf("sending the answer: %w", err)
	}
	return nil
}

// ReadValues reads a result. complete is true only if the schema's metadata says so. If the stream
// does not end properly, or the result has the wrong schema or exceeds the limits, ReadValues
// returns an error and no values.
func ReadValues(stream flight.DataStreamReader) (complete bool, values []broker.Value, err error) {
	reader, err := flight.NewRecordReader(stream)
	if err != nil {
		return false, nil, fmt.Errorf("reading the schema of a result: %w", err)
	}
	defer reader.Release()
	if !reader.Schema().Equal(Schema(true)) {
		return false, nil, fmt.Errorf("reading a result: unexpected schema %v", reader.Schema())
	}
	if v, ok := reader.Schema().Metadata().GetValue(CompleteKey); ok {
		complete = v == "true"
	}
	valueBytes := 0
	for reader.Next() {
		batch := reader.RecordBatch()
		shardColumn, ok1 := batch.Column(0).(*array.Int32)
		valueColumn, ok2 := batch.Column(1).(*array.Binary)
		if !ok1 || !ok2 || shardColumn.NullN()+valueColumn.NullN() > 0 {
			return false, nil, errors.New("reading a result: a column has the wrong type or null values")
		}
		for i := range shardColumn.Len() {
			valueBytes += valueColumn.ValueLen(i)
		}
		if len(values)+shardColumn.Len() > maxRows || valueBytes > maxValueBytes {
			return false, nil, errors.New("reading a result: too large")
		}
		for i := range shardColumn.Len() {
			values = append(values, broker.Value{Shard: int(shardColumn.Value(i)), Data: append([]byte(nil), valueColumn.Value(i)...)})
		}
	}
	if err := reader.Err(); err != nil && !errors.Is(err, io.EOF) {
		return false, nil, fmt.Errorf("reading a result: %w", err)
	}
	return complete, values, nil
}
