package http2frames

import (
	"bytes"
	"fmt"
	"slices"
	"testing"

	"golang.org/x/net/http2"
)

// recorder records the frames that it is told of.
type recorder struct {
	frames  []string
	payload []byte
}

// Payload implements Handler.
func (r *recorder) Payload(_ http2.FrameHeader, data []byte) error {
	r.payload = append(r.payload, data...)
	return nil
}

// EndFrame implements Handler.
func (r *recorder) EndFrame(frame http2.FrameHeader, _ int) error {
	r.frames = append(r.frames, fmt.Sprintf("%v %d %q", frame.Type, frame.StreamID, r.payload))
	r.payload = nil
	return nil
}

// Frames must be found however the bytes are divided among the calls.
func TestFramesAreFoundInBytesOfAnySize(t *testing.T) {
	var stream bytes.Buffer
	stream.WriteString(http2.ClientPreface)
	framer := http2.NewFramer(&stream, nil)
	for _, err := range []error{framer.WriteSettings(), framer.WriteData(1, false, []byte("abc")), framer.WriteData(3, true, nil), framer.WriteGoAway(7, http2.ErrCodeNo, nil)} {
		if err != nil {
			t.Fatal(err)
		}
	}
	want := []string{`SETTINGS 0 ""`, `DATA 1 "abc"`, `DATA 3 ""`, `GOAWAY 0 "\x00\x00\x00\a\x00\x00\x00\x00"`}
	for size := 1; size <= stream.Len(); size++ {
		scanner, r := NewClientScanner(), &recorder{}
		for chunk := range slices.Chunk(stream.Bytes(), size) {
			if err := scanner.Scan(chunk, r); err != nil {
				t.Fatal(err)
			}
		}
		if !slices.Equal(r.frames, want) || !scanner.AtBoundary() {
			t.Fatalf("chunks of %d bytes: got %q, at a boundary %v, want %q and true", size, r.frames, scanner.AtBoundary(), want)
		}
	}
}
