package query

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"onyxsail/broker"
)

// Shares that a client has rounded must add up to 1 after decoding: a query all of whose parts were
// answered counted as incomplete.
func TestRoundedSharesAddUpToOne(t *testing.T) {
	for _, share := range []string{"0.333", "0.3333333", "0.3335"} {
		var targets []string
		for i := range 3 {
			targets = append(targets, fmt.Sprintf(`{"partition":%d,"share":%s}`, i, share))
		}
		q := &broker.Query{}
		if err := DecodeBody(q, []byte(`{"targets":[`+strings.Join(targets, ",")+`],"query":"x"}`), 0); err != nil {
			t.Fatalf("three shares of %s: %v", share, err)
		}
		sum := 0.0
		for _, part := range q.Parts {
			sum += part.Share
		}
		if math.Abs(sum-1) > 1e-12 {
			t.Errorf("three shares of %s add up to %v, want 1", share, sum)
		}
	}
}
