package wire

import (
	"fmt"
	"strconv"
	"strings"

	"onyxsail/decide"
)

// loadNames gives the interface's word for each value of a load report.
var loadNames = map[string]string{
	"outstanding":  decide.LoadHeld,
	"backlog":      decide.LoadWaiting,
	"utilization":  decide.LoadBusy,
	"recent_ms":    decide.LoadTime,
	"throughput":   decide.LoadRate,
	"errors_per_s": decide.LoadErrors,
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
		Index:           p.int("index", 0),
		Roots:           max(1, p.int("balancers", 1)),
		Zone:            p.int("myZone", 0),
		TickMs:          p.num("tickMs", 1),
		AskForList:      p.word("discovery", "pushed", "on_request") == 1,
		OverShareWorth:  p.num("overShareWorth", 1),
		WorthByWork:     p.word("worthBy", "request", "work") == 1,
		Cells:           max(1, p.int("domain.cells", 1)),
		InARow:          max(1, p.int("domain.inARow", 1)),
		Shards:          p.int("domain.ranges", 0),
		BundleMax:       max(1, p.int("domain.bundleMax", 1)),
		CallWorkMs:      p.num("domain.perCallWorkMs", 0),
		WarmKeys:        p.flag("domain.warmKeys"),
		MaxAttempts:     p.int("caps.maxAttempts", 0),
		MaxOpen:         p.int("caps.maxOpen", 0),
		MaxRetryAfterMs: p.num("caps.maxRetryAfterMs", 0),
		RetryAfter:      p.flag("caps.retryAfter"),
		SecondCopies:    p.flag("caps.secondCopies"),
		MayCancel:       p.flag("caps.cancel"),
		MayProbe:        p.flag("caps.probes"),
		MayTell:         p.flag("caps.mayTell"),
		ReportInline:    p.word("report.how", "off", "inline", "on_probe") == 1,
		GraceMs:         p.num("safety.graceToAnswerMs", 0),
		AskWithinMs:     p.num("safety.askWithinMs", 0),
		DrainMs:         p.num("safety.drainGraceMs", 0),
		ColdFrom:        p.num("safety.coldFrom", 1),
		ColdMs:          p.num("safety.coldMs", 0),
		FallTimes:       p.num("safety.fallMultiple", 1),
		FallMs:          p.num("safety.fallMs", 0),
		HasBudget:       hasShare || hasFloor,
		ExtraFloor:      p.num("safety.extraFloor", 0),
		ExtraShare:      p.num("safety.extraPerRequest", 0),
		ExtraSpanMs:     p.num("safety.ratioSpanMs", 0),
		PriceCross:      p.num("penalties.crossZone", 0),
		PriceProbe:      p.num("penalties.probe", 0),
		PriceHandshake:  p.num("penalties.handshake", 0),
		PriceWaste:      p.num("penalties.waste", 0),
	}
	if v := p.m["report.fields"]; v != "" {
		for _, f := range strings.Split(v, ",") {
			s.ReportFields = append(s.ReportFields, loadNames[f])
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
			AimStretch: p.num(at+"aimStretch", 0),
			DeadlineMs: p.num(at+"deadlineMs", 0),
			LateShare:  p.num(at+"lateShare", 0),
			Worth:      p.num(at+"worth", 1),
			Effect:     decide.Effect(p.word(at+"idempotency", "safe", "keyed", "unsafe")),
			WindowMs:   p.num(at+"windowMs", 0),
			Stream:     p.flag(at + "stream"),
			Need:       need[i],
			Floor:      floor[i],
			Partial:    partial[i],
			Fetch:      int(fetch[i]),
		}
		if _, told := p.m[at+"idempotency"]; !told {
			c.Effect = decide.Unsafe // nothing vouches for a repeat
		}
		c.AimMs = p.num(at+"objectiveMs", c.DeadlineMs)
		s.Classes = append(s.Classes, c)
	}
	for i := range p.count("tenants.count") {
		at := fmt.Sprintf("tenants.%d.", i)
		s.Tenants = append(s.Tenants, decide.Tenant{
			PerS:  p.num(at+"allowancePerS", 0),
			Share: p.num(at+"share", 0),
		})
	}
	return s, p.err
}
