package wire

import (
	"fmt"
	"strconv"
	"strings"

	"onyxsail/decide"
)

// loadNames gives the interface's word for each value of a load report.
var loadNames = map[string]string{
	"outstanding":  decide.LoadInFlight,
	"backlog":      decide.LoadQueued,
	"utilization":  decide.LoadUtilization,
	"recent_ms":    decide.LoadServiceTime,
	"throughput":   decide.LoadRequestRate,
	"errors_per_s": decide.LoadErrorRate,
}

// pairs reads path=value lines and remembers the first fault.
type pairs struct {
	m   map[string]string
	err error
}

func (p *pairs) fault(path, value, want string) {
	if p.err == nil {
		p.err = fmt.Errorf("setting %s: got %q, want %s", path, value, want)
	}
}

func (p *pairs) num(path string, def float64) float64 {
	v, ok := p.m[path]
	if !ok || v == "" {
		return def
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || f != f || f > 1e300 || f < -1e300 {
		p.fault(path, v, "a number")
		return def
	}
	return f
}

func (p *pairs) int(path string, def int) int {
	f := p.num(path, float64(def))
	if f != float64(int(f)) {
		p.fault(path, p.m[path], "a whole number")
		return def
	}
	return int(f)
}

func (p *pairs) count(path string) int {
	n := p.int(path, 0)
	if n < 0 || n > len(p.m) {
		p.fault(path, p.m[path], "a count of items that follow")
		return 0
	}
	return n
}

func (p *pairs) flag(path string) bool {
	switch v := p.m[path]; v {
	case "true", "1":
		return true
	case "", "false", "0":
	default:
		p.fault(path, v, "true or false")
	}
	return false
}

// each reads a comma-joined list of numbers; a missing item is def.
func (p *pairs) each(path string, n int, def float64) []float64 {
	out := make([]float64, n)
	var items []string
	if v := p.m[path]; v != "" {
		items = strings.Split(v, ",")
	}
	for i := range out {
		out[i] = def
		if i < len(items) {
			f, err := strconv.ParseFloat(items[i], 64)
			if err != nil || f != f {
				p.fault(path, p.m[path], "numbers joined by commas")
				continue
			}
			out[i] = f
		}
	}
	return out
}

func (p *pairs) word(path string, words ...string) int {
	v := p.m[path]
	for i, w := range words {
		if v == w {
			return i
		}
	}
	if v != "" {
		p.fault(path, v, "one of "+strings.Join(words, ", "))
	}
	return 0
}

// ParseSettings reads the text of a BEGIN event. Unknown settings are ignored;
// absent ones mean that the thing is not there.
func ParseSettings(text string) (decide.Settings, error) {
	p := &pairs{m: make(map[string]string)}
	for i, line := range strings.Split(text, "\n") {
		if line = strings.TrimSpace(line); line == "" {
			continue
		}
		path, value, ok := strings.Cut(line, "=")
		if !ok {
			return decide.Settings{}, fmt.Errorf("settings line %d: got %q, want path=value", i+1, line)
		}
		p.m[path] = value
	}
	_, hasShare := p.m["safety.extraPerRequest"]
	_, hasFloor := p.m["safety.extraFloor"]
	s := decide.Settings{
		Index:                  p.int("index", 0),
		Roots:                  max(1, p.int("balancers", 1)),
		Zone:                   p.int("myZone", 0),
		TickMs:                 p.num("tickMs", 1),
		MustSubscribe:          p.word("discovery", "pushed", "on_request") == 1,
		OverShareWorth:         p.num("overShareWorth", 1),
		WorthIsPerWork:         p.word("worthBy", "request", "work") == 1,
		Cells:                  max(1, p.int("domain.cells", 1)),
		CellsPerShard:          max(1, p.int("domain.inARow", 1)),
		Shards:                 p.int("domain.ranges", 0),
		MaxPartsPerCall:        max(1, p.int("domain.bundleMax", 1)),
		CallOverheadMs:         p.num("domain.perCallWorkMs", 0),
		ReplicasCacheKeys:      p.flag("domain.warmKeys"),
		MaxAttempts:            p.int("caps.maxAttempts", 0),
		MaxOpen:                p.int("caps.maxOpen", 0),
		MaxRetryAfterMs:        p.num("caps.maxRetryAfterMs", 0),
		SendRetryAfter:         p.flag("caps.retryAfter"),
		AllowCopies:            p.flag("caps.secondCopies"),
		AllowCancel:            p.flag("caps.cancel"),
		AllowProbes:            p.flag("caps.probes"),
		AllowPeerMessages:      p.flag("caps.mayTell"),
		LoadReportInline:       p.word("report.how", "off", "inline", "on_probe") == 1,
		AnswerGraceMs:          p.num("safety.graceToAnswerMs", 0),
		MaxSubscribeIntervalMs: p.num("safety.askWithinMs", 0),
		DrainGraceMs:           p.num("safety.drainGraceMs", 0),
		ColdCapacityShare:      p.num("safety.coldFrom", 1),
		WarmUpMs:               p.num("safety.coldMs", 0),
		ColdOverloadFactor:     p.num("safety.fallMultiple", 1),
		ColdOverloadMs:         p.num("safety.fallMs", 0),
		HasRetryBudget:         hasShare || hasFloor,
		RetryBudgetFloor:       p.num("safety.extraFloor", 0),
		RetryBudgetRatio:       p.num("safety.extraPerRequest", 0),
		RetryBudgetWindowMs:    p.num("safety.ratioSpanMs", 0),
		CrossZonePenalty:       p.num("penalties.crossZone", 0),
		ProbePenalty:           p.num("penalties.probe", 0),
		HandshakePenalty:       p.num("penalties.handshake", 0),
		WastePenalty:           p.num("penalties.waste", 0),
	}
	if v := p.m["report.fields"]; v != "" {
		for _, f := range strings.Split(v, ",") {
			s.LoadReportFields = append(s.LoadReportFields, loadNames[f])
		}
	}
	n := p.count("classes.count")
	need := p.each("domain.needByClass", n, 1)
	floor := p.each("domain.minShare", n, 1)
	partial := p.each("domain.partialEarns", n, 0)
	fetch := p.each("domain.classFetch", n, 0)
	for i := range n {
		at := fmt.Sprintf("classes.%d.", i)
		c := decide.Class{
			ObjectiveWorkFactor: p.num(at+"aimStretch", 0),
			DeadlineMs:          p.num(at+"deadlineMs", 0),
			LateWorthShare:      p.num(at+"lateShare", 0),
			Worth:               p.num(at+"worth", 1),
			Effect:              decide.Effect(p.word(at+"idempotency", "safe", "keyed", "unsafe")),
			DedupWindowMs:       p.num(at+"windowMs", 0),
			Stream:              p.flag(at + "stream"),
			CompleteShare:       need[i],
			MinShare:            floor[i],
			PartialWorth:        partial[i],
			SecondStepParts:     int(fetch[i]),
		}
		if _, told := p.m[at+"idempotency"]; !told {
			c.Effect = decide.Unsafe // nothing vouches for a repeat
		}
		c.ObjectiveMs = p.num(at+"objectiveMs", c.DeadlineMs)
		s.Classes = append(s.Classes, c)
	}
	for i := range p.count("tenants.count") {
		at := fmt.Sprintf("tenants.%d.", i)
		s.Tenants = append(s.Tenants, decide.Tenant{
			QueriesPerSecond: p.num(at+"allowancePerS", 0),
			Share:            p.num(at+"share", 0),
		})
	}
	return s, p.err
}
