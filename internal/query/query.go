// Package query decodes the form of a query that all fronts share.
package query

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"unicode/utf8"

	"onyxsail/broker"
)

const (
	maxParts = 1024
	maxName  = 128 // bytes of a query's id or key
	// The shares of the parts make up the whole. They are rounded by whoever
	// wrote them: so much may be missing, and so much more for each part.
	sumSlack, partSlack = 1e-3, 1e-4
)

// Class is what a front knows of a class.
type Class struct {
	Name       string
	Index      int
	Keyed      bool
	DeadlineMs float64 // when its clients give up
}

type target struct {
	Partition *int     `json:"partition"`
	Share     *float64 `json:"share"`
	EstUs     *float64 `json:"est_us"`
	Route     string   `json:"route"`
}

type body struct {
	Targets []target `json:"targets"`
	Query   *string  `json:"query"`
}

// DecodeBody fills in q's parts and text from a query's JSON body. shards, if
// not 0, bounds the shards' numbers. Errors name the field.
func DecodeBody(q *broker.Query, data []byte, shards int) error {
	var b body
	if !utf8.Valid(data) { // the decoder would replace what is not, and the text must arrive unchanged
		return errors.New("body: not in UTF-8")
	}
	if err := json.Unmarshal(data, &b); err != nil {
		return fmt.Errorf("body: %w", err)
	}
	if b.Query == nil {
		return fmt.Errorf("query: missing")
	}
	if len(b.Targets) == 0 || len(b.Targets) > maxParts {
		return fmt.Errorf("targets: %d of them, want 1 to %d", len(b.Targets), maxParts)
	}
	q.Text = []byte(*b.Query)
	seen, sum := make(map[int]bool, len(b.Targets)), 0.0
	for i, t := range b.Targets {
		if t.Partition == nil || *t.Partition < 0 || shards > 0 && *t.Partition >= shards || seen[*t.Partition] {
			return fmt.Errorf("targets[%d].partition: want a shard, each once", i)
		}
		if t.Share == nil || !(*t.Share >= 0 && *t.Share <= 1) {
			return fmt.Errorf("targets[%d].share: want a number from 0 to 1", i)
		}
		seen[*t.Partition] = true
		sum += *t.Share
		p := broker.Part{Shard: *t.Partition, Share: *t.Share}
		if t.EstUs != nil {
			if !(*t.EstUs >= 0 && *t.EstUs < 1e12) {
				return fmt.Errorf("targets[%d].est_us: want microseconds", i)
			}
			p.WorkMs, p.Hinted = *t.EstUs/1000, true
		}
		if t.Route != "" {
			route, err := strconv.ParseUint(t.Route, 16, 64)
			if err != nil || len(t.Route) != 16 {
				return fmt.Errorf("targets[%d].route: want 16 hex digits", i)
			}
			p.Route = route
		}
		q.Parts = append(q.Parts, p)
	}
	if math.Abs(sum-1) > sumSlack+partSlack*float64(len(b.Targets)) {
		return fmt.Errorf("targets: the shares add up to %.4g, want 1", sum)
	}
	return nil
}

// CheckName says whether s can be an id or a key: it must be able to stand in a
// line of a frame.
func CheckName(field, s string) error {
	for i := range len(s) {
		c := s[i]
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_') {
			return fmt.Errorf("%s: want letters, digits, '-' and '_' only", field)
		}
	}
	if s == "" || len(s) > maxName {
		return fmt.Errorf("%s: want 1 to %d characters", field, maxName)
	}
	return nil
}
