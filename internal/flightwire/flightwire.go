// Package flightwire is the form of queries, parts and answers on Arrow Flight,
// shared by the front, the node client and their stand-ins in tests.
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

// WholeKey is the schema's metadata key that says whether an answer is whole.
const WholeKey = "whole"

// EndKey is the trailer in which a node says how a part ended: EndFull proves
// that it never ran. A bare status proves nothing, as the transport makes such
// statuses up itself.
const (
	EndKey  = "part-end"
	EndFull = "full"
)

// Bounds of one answer that is read: a node that goes on sending must not fill
// the memory.
const (
	maxRows  = 1024
	maxBytes = 1 << 20
)

// QueryTicket is a query; targets and query are as in the platform's body.
type QueryTicket struct {
	ID    string `json:"id"`
	Class string `json:"class"`
	Key   string `json:"key,omitempty"`
	Retry bool   `json:"retry,omitempty"`
}

// PartTicket is one part on its way to a node.
type PartTicket struct {
	ID        string `json:"id"`
	Partition int    `json:"partition"`
	WaitMs    int64  `json:"wait_ms"`
	Key       string `json:"key,omitempty"`
	Query     []byte `json:"query"` // base64, as JSON has bytes
}

// Encode renders a ticket.
func Encode(ticket any) (*flight.Ticket, error) {
	data, err := json.Marshal(ticket)
	if err != nil {
		return nil, fmt.Errorf("encoding a ticket: %w", err)
	}
	return &flight.Ticket{Ticket: data}, nil
}

// Schema is that of every answer.
func Schema(whole bool) *arrow.Schema {
	md := arrow.NewMetadata([]string{WholeKey}, []string{strconv.FormatBool(whole)})
	return arrow.NewSchema([]arrow.Field{
		{Name: "partition", Type: arrow.PrimitiveTypes.Int32},
		{Name: "value", Type: arrow.BinaryTypes.Binary},
	}, &md)
}

// WriteValues sends an answer as one record batch.
func WriteValues(to flight.DataStreamWriter, whole bool, values []broker.Value) (err error) {
	schema := Schema(whole)
	w := flight.NewRecordWriter(to, ipc.WithSchema(schema))
	defer func() {
		if cerr := w.Close(); err == nil && cerr != nil {
			err = fmt.Errorf("ending the answer: %w", cerr)
		}
	}()
	b := array.NewRecordBuilder(memory.DefaultAllocator, schema)
	defer b.Release()
	parts, data := b.Field(0).(*array.Int32Builder), b.Field(1).(*array.BinaryBuilder)
	for _, v := range values {
		parts.Append(int32(v.Shard))
		data.Append(v.Data)
	}
	rec := b.NewRecordBatch()
	defer rec.Release()
	if err := w.Write(rec); err != nil {
		return fmt.Errorf("sending the answer: %w", err)
	}
	return nil
}

// ReadValues reads a whole answer. An answer whose stream did not end in order
// is an error and never a value.
func ReadValues(from flight.DataStreamReader) (whole bool, values []broker.Value, err error) {
	r, err := flight.NewRecordReader(from)
	if err != nil {
		return false, nil, fmt.Errorf("reading the answer's schema: %w", err)
	}
	defer r.Release()
	if !r.Schema().Equal(Schema(true)) {
		return false, nil, fmt.Errorf("reading the answer: schema %v", r.Schema())
	}
	if v, ok := r.Schema().Metadata().GetValue(WholeKey); ok {
		whole = v == "true"
	}
	size := 0
	for r.Next() {
		rec := r.RecordBatch()
		parts, ok1 := rec.Column(0).(*array.Int32)
		data, ok2 := rec.Column(1).(*array.Binary)
		if !ok1 || !ok2 || parts.NullN()+data.NullN() > 0 {
			return false, nil, errors.New("reading the answer: a column is not of its type or has nulls")
		}
		for i := range parts.Len() {
			size += data.ValueLen(i)
		}
		if len(values)+parts.Len() > maxRows || size > maxBytes {
			return false, nil, errors.New("reading the answer: too large")
		}
		for i := range parts.Len() {
			values = append(values, broker.Value{Shard: int(parts.Value(i)), Data: append([]byte(nil), data.Value(i)...)})
		}
	}
	if err := r.Err(); err != nil && !errors.Is(err, io.EOF) {
		return false, nil, fmt.Errorf("reading the answer: %w", err)
	}
	return whole, values, nil
}
