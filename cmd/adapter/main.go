// Command adapter runs the roots of a simulated fleet of brokers: it reads batches of events
// from standard input and writes one reply to each to standard output.
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

// rootState is one root and its events of the current batch.
type rootState struct {
	root   *decide.Root // nil: stopped
	events []decide.Event
	queued bool // whether it is in the current batch's queue
}

// run reads batches from r until its end and writes the replies to w.
func run(r io.Reader, w io.Writer) error {
	in := wire.NewDecoder(bufio.NewReaderSize(r, 1<<16))
	out := bufio.NewWriterSize(w, 1<<16)
	roots := make(map[uint32]*rootState)
	var (
		batch   wire.Batch
		reply   wire.Encoder
		queue   []uint32 // roots that this batch has events for, in order of their first one
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
				continue // a stopped root gets no events
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
