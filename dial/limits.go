package dial

import "time"

// Limits that both node clients keep to once they have passed a request on.
const (
	// RequestWriteTimeout bounds the writing of a request: if it is not written to the socket whole
	// within this time, it is taken back, because the time-outs in it and the checks made before
	// are valid only for the time at which it was built.
	RequestWriteTimeout = 100 * time.Millisecond
	// DeliveryTimeout is how long the node's kernel may take to acknowledge the request of a
	// cancelled part, counted from the cancellation. Acknowledgements may be delayed by 40 ms,
	// and a part must not begin more than 100 ms after its client has left.
	DeliveryTimeout = 60 * time.Millisecond
)
