// Command adapter plays the roots of a simulated fleet: it reads batches of
// events on standard input and writes one reply to each on standard output.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"onyxsail/decide"
	"onyxsail/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// node is one root and what this batch holds for it.
type rootState struct {
	root   *decide.Root
	events []decide.Event
	queued bool
}

// run serves batches from r until its end.
func run(r io.Reader, w io.Writer) error {
	in := wire.NewDecoder(bufio.NewReaderSize(r, 1<<16))
	out := bufio.NewWriterSize(w, 1<<16)
	roots := make(map[uint32]*rootState)
	var (
		batch   wire.Batch
		reply   wire.Encoder
		queue   []uint32 // roots named in this batch, in order
		actions []decide.Action
	)
	for {
		if err := in.Next(&batch); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
		queue = queue[:0]
		for i := range batch.Items {
			item := &batch.Items[i]
			state := roots[item.Root]
			switch {
			case item.Op == wire.OpStop:
				if state != nil {
					state.root, state.events = nil, state.events[:0]
				}
				continue
			case item.Op == wire.OpStart:
				if state == nil {
					state = &rootState{}
					roots[item.Root] = state
				}
				state.root, state.events = decide.New(item.Settings, item.Seed), state.events[:0]
			case state == nil || state.root == nil:
				continue // a stopped root is told no more
			default:
				state.events = append(state.events, item.Event)
			}
			if !state.queued {
				state.queued = true
				queue = append(queue, item.Root)
			}
		}
		for _, id := range queue {
			state := roots[id]
			state.queued = false
			if state.root == nil {
				continue
			}
			actions = state.root.Step(batch.Now, state.events, actions[:0])
			state.events = state.events[:0]
			for _, a := range actions {
				reply.Add(id, a)
			}
		}
		if _, err := out.Write(reply.Bytes(batch.Seq)); err != nil {
			return fmt.Errorf("writing reply %d: %w", batch.Seq, err)
		}
		if err := out.Flush(); err != nil {
			return fmt.Errorf("writing reply %d: %w", batch.Seq, err)
		}
	}
}
