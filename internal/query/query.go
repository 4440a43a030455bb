// Package query decodes the query format that all fronts share.
package query

import (
	"errors"
	"fmt"
	"math"
	"strconv"

	"onyxsail/broker"
	"onyxsail/internal/strictjson"
)

const (
	maxParts     = 1024 // parts of one query
	maxNameBytes = 128  // length of a query's id or key
	// The shares of all parts must add up to 1. As clients send rounded shares, the sum may be
	// off by shareSumTolerance, plus shareTolerancePerPart for each part. Both are fractions of
	// the whole answer.
	shareSumTolerance, shareTolerancePerPart = 1e-3, 1e-4
)

// Class is the part of a class's configuration that the fronts need.
type Class struct {
	Name       string
	Index      int     // position in the settings' list of classes
	Keyed      bool    // queries must carry an idempotency key
	DeadlineMs float64 // time after which the class's clients give up
	SecondStep bool    // queries need a second step, so they fail with ErrSecondStep
}

// ErrSecondStep is the error of a query that needs a second step. The values of its first step alone
// are not its answer.
var ErrSecondStep = errors.New("the class needs a second step, which this broker does not make")

// target is one target in the JSON body. Pointers tell missing fields from zero values.
type target struct {
	Partition *int     `json:"partition"`
	Share     *float64 `json:"share"`
	EstUs     *float64 `json:"est_us"`
	Route     string   `json:"route"`
}

// Body is the JSON body of a query, or the fields of a Flight ticket that are the same.
type Body struct {
	Targets []target `json:"targets"`
	Text    *string  `json:"query"` // nil: missing
}

// DecodeBody sets q's parts and text from a query's JSON body, as SetParts does. Errors name the
// invalid field and are meant for the client; q may be partly set then.
func DecodeBody(q *broker.Query, data []byte, shardCount int) error {
	var b Body
	if err := strictjson.Unmarshal(data, &b); err != nil {
		return fmt.Errorf("body: %w", err)
	}
	return b.SetParts(q, shardCount)
}

// SetParts sets q's parts and text from a decoded body. Shard numbers must be below shardCount
// unless it is 0. Errors name the invalid field and are meant for the client; q may be partly set
// then.
func (b *Body) SetParts(q *broker.Query, shardCount int) error {
	if b.Text == nil {
		return errors.New("query: missing")
	}
	if len(b.Targets) == 0 || len(b.Targets) > maxParts {
		return fmt.Errorf("targets: %d of them, want 1 to %d", len(b.Targets), maxParts)
	}
	q.Text = []byte(*b.Text)
	seen, sum := make(map[int]bool, len(b.Targets)), 0.0
	for i, t := range b.Targets {
		if t.Partition == nil || *t.Partition < 0 || shardCount > 0 && *t.Partition >= shardCount || seen[*t.Partition] {
			return fmt.Errorf("targets[%d].partition: want a shard, each once", i)
		}
		part, err := t.part()
		if err != nil {
			return fmt.Errorf("targets[%d].%w", i, err)
		}
		seen[part.Shard] = true
		sum += part.Share
		q.Parts = append(q.Parts, part)
	}
	if math.Abs(sum-1) > shareSumTolerance+shareTolerancePerPart*float64(len(b.Targets)) {
		return fmt.Errorf("targets: the shares add up to %.4g, want 1", sum)
	}
	scaleShares(q.Parts, sum)
	return nil
}

// part converts a target whose partition is valid. The error begins with the name of the invalid
// field.
func (t *target) part() (broker.Part, error) {
	if t.Share == nil || !(*t.Share >= 0 && *t.Share <= 1) {
		return broker.Part{}, errors.New("share: want a number from 0 to 1")
	}
	part := broker.Part{Shard: *t.Partition, Share: *t.Share}
	if t.EstUs != nil {
		if !(*t.EstUs >= 0 && *t.EstUs < 1e12) {
			return broker.Part{}, errors.New("est_us: want microseconds")
		}
		part.EstimatedWorkMs, part.HasEstimate = *t.EstUs/1000, true
	}
	if t.Route != "" {
		route, err := strconv.ParseUint(t.Route, 16, 64)
		if err != nil || len(t.Route) != 16 {
			return broker.Part{}, errors.New("route: want 16 hex digits")
		}
		part.Route = route
	}
	return part, nil
}

// scaleShares makes shares that clients have rounded, and that add up to sum, add up to 1: the
// decisions count a query as complete by the shares of the parts that are answered.
func scaleShares(parts []broker.Part, sum float64) {
	for i := range parts {
		parts[i].Share /= sum
	}
}

// ValidateName returns an error, meant for the client, unless name is a valid query id or key:
// its characters must be safe in a line of a frame. field names the value in the error.
func ValidateName(field, name string) error {
	for i := range len(name) {
		c := name[i]
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_') {
			return fmt.Errorf("%s: want letters, digits, '-' and '_' only", field)
		}
	}
	if name == "" || len(name) > maxNameBytes {
		return fmt.Errorf("%s: want 1 to %d characters", field, maxNameBytes)
	}
	return nil
}
