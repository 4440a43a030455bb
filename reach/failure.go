package reach

import "onyxsail/decide"

// AttemptFailure is how an attempt at one address of a node can end without an answer.
type AttemptFailure uint8

// The failures of an attempt.
const (
	FailureDialRefused       AttemptFailure = iota // nothing listens at the address
	FailureDialTimedOut                            // the connection was not established in time
	FailureNoHandshake                             // connected, but the peer never sent its first bytes (Flight)
	FailureClosedBeforeFrame                       // connection closed before any byte of the frame was written
	FailureClosedMidFrame                          // connection closed between the frame's first byte and its last
	FailureClosedAfterFrame                        // connection closed after the frame's last byte was written
	FailureStreamNotOpened                         // the Flight stream could not be opened
	FailureStreamEnded                             // the Flight stream was opened and ended without an answer
	FailureNoAnswer                                // timed out after the frame or ticket was written
	failureCount
)

// Disposition is how an attempt continues after a failure.
type Disposition struct {
	// TryOtherAddress is set if the part may be sent to another address of the node within
	// the same attempt, as the part cannot have reached the node.
	TryOtherAddress bool
	// Outcome is reported to the core if the part is not sent to another address or none is
	// left. The decision module then decides by the query's class whether to retry the part,
	// which counts as an attempt.
	Outcome decide.Outcome
}

// dispositions is the only place that defines after which failures a part may have run. A
// frame that was only partly written cannot run (see the outcomes of broken connections in
// PROTOCOL), but as some of it may have reached the node, the part is not sent to another
// address and the failure is reported to the core.
var dispositions = [failureCount]Disposition{
	FailureDialRefused:       {true, decide.Unreachable},
	FailureDialTimedOut:      {true, decide.Unreachable},
	FailureNoHandshake:       {true, decide.Unreachable},
	FailureClosedBeforeFrame: {true, decide.Unreachable},
	FailureClosedMidFrame:    {false, decide.Unreachable},
	FailureClosedAfterFrame:  {false, decide.ConnectionLost},
	FailureStreamNotOpened:   {true, decide.Unreachable},
	FailureStreamEnded:       {false, decide.ConnectionLost},
	FailureNoAnswer:          {false, decide.TimedOut},
}

// DispositionOf returns the disposition for a failure.
func DispositionOf(failure AttemptFailure) Disposition { return dispositions[failure] }

// ClassifyClose returns the failure of an attempt whose connection was closed. The arguments
// are offsets in the connection's byte stream, in bytes: where the frame starts and ends, and
// how much had been written. frameEnd is 0 for a frame that was never passed to the connection.
func ClassifyClose(frameStart, frameEnd, written int64) AttemptFailure {
	switch {
	case frameEnd == 0 || written <= frameStart:
		return FailureClosedBeforeFrame
	case written < frameEnd:
		return FailureClosedMidFrame
	}
	return FailureClosedAfterFrame
}
