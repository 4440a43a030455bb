package reach

import "onyxsail/decide"

// Event is how an attempt at one address of a node can end without an answer.
type Event uint8

// The events.
const (
	DialRefused     Event = iota // nobody listens there
	DialTimedOut                 // the connection never came up
	NotGreeted                   // it came up, and the other side never said its first words (Flight)
	NothingLeft                  // it ended before the first byte of the frame had left
	PartLeft                     // it ended between the frame's first byte and its last
	WholeLeft                    // it ended after the frame's last byte had left
	StreamNotOpened              // Flight could not open the stream
	StreamEnded                  // the stream had been opened, and ended without an answer
	NoAnswer                     // the time for it ran out after the frame or ticket had left
	events
)

// Ruling says what becomes of an attempt after an event.
type Ruling struct {
	// Elsewhere: the part may be sent at another address of the node within the
	// same attempt, as nothing of it can have reached the node.
	Elsewhere bool
	// Outcome goes to the core where the part is not sent elsewhere, or no other
	// address is left. Whether the part is sent again then is the module's to
	// decide, by its class, and counts as an attempt.
	Outcome decide.Outcome
}

// rulings is the one place that says what may have run. A frame of which only
// a part has left cannot run (PROTOCOL's outcomes on breaks), but something of
// it is with the node: that it goes no further is the core's to hear.
var rulings = [events]Ruling{
	DialRefused:     {true, decide.Unreachable},
	DialTimedOut:    {true, decide.Unreachable},
	NotGreeted:      {true, decide.Unreachable},
	NothingLeft:     {true, decide.Unreachable},
	PartLeft:        {false, decide.Unreachable},
	WholeLeft:       {false, decide.ConnectionLost},
	StreamNotOpened: {true, decide.Unreachable},
	StreamEnded:     {false, decide.ConnectionLost},
	NoAnswer:        {false, decide.TimedOut},
}

// Rule gives the ruling on an event.
func Rule(e Event) Ruling { return rulings[e] }

// Cut is the event of a connection that ended, by the positions in its stream:
// the frame's first byte and its last, and how many bytes had left. end is 0 for
// a frame that was never written.
func Cut(first, end, left int64) Event {
	switch {
	case end == 0 || left <= first:
		return NothingLeft
	case left < end:
		return PartLeft
	}
	return WholeLeft
}
