// Package flightwire defines how queries, parts and results are encoded on Arrow Flight. It is
// shared by the front, the node client and the test doubles of their peers.
package flightwire

import (
	"encoding/json"
	"fmt"
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
