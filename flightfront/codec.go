package flightfront

import (
	"fmt"

	"google.golang.org/grpc/encoding"
	grpcproto "google.golang.org/grpc/encoding/proto"
	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/encoding/protowire"
)

// maxMessageFields is the number of fields of a message. A Flight request has a few; thousands that
// are not known would cost far more time to decode than to send.
const maxMessageFields = 64

// boundedCodec is gRPC's codec for messages with at most maxMessageFields fields.
type boundedCodec struct{ encoding.CodecV2 }

// newBoundedCodec returns a codec on top of gRPC's own.
func newBoundedCodec() boundedCodec { return boundedCodec{encoding.GetCodecV2(grpcproto.Name)} }

// Unmarshal implements encoding.CodecV2.
func (c boundedCodec) Unmarshal(data mem.BufferSlice, message any) error {
	buffer := data.MaterializeToBuffer(mem.DefaultBufferPool())
	defer buffer.Free()
	if err := checkFieldCount(buffer.ReadOnlyData()); err != nil {
		return err
	}
	return c.CodecV2.Unmarshal(mem.BufferSlice{buffer}, message)
}

// checkFieldCount returns an error if a message has too many fields, or one that cannot be read.
func checkFieldCount(message []byte) error {
	for fields := 0; len(message) > 0; fields++ {
		if fields == maxMessageFields {
			return fmt.Errorf("message: more than %d fields", maxMessageFields)
		}
		_, _, n := protowire.ConsumeField(message)
		if n < 0 {
			return fmt.Errorf("message: %w", protowire.ParseError(n))
		}
		message = message[n:]
	}
	return nil
}
