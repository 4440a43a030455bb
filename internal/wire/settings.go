package wire

import (
	"fmt"
	"strconv"
	"strings"

	"onyxsail/decide"
)

// loadFields maps the simulator's name of each value of a load report to that of package
// decide.
var loadFields = map[string]string{
	"outstanding":  decide.LoadInFlight,
	"backlog":      decide.LoadQueued,
	"utilization":  decide.LoadUtilization,
	"recent_ms":    decide.LoadServiceTime,
	"throughput":   decide.LoadRequestRate,
	"errors_per_s": decide.LoadErrorRate,
}

// settingsReader converts settings, given as text by path, and keeps the first error.
type settingsReader struct {
	values map[string]string
	err    error
}

// reject records that the value at path is not what is wanted, unless there is an error already.
func (r *settingsReader) reject(path, value, want string) {
	if r.err == nil {
		r.err = fmt.Errorf("setting %s: got %q, want %s", path, value, want)
	}
}

// float returns the number at path, or fallback if it is absent or invalid.
func (r *settingsReader) float(path string, fallback float64) float64 {
	v, ok := r.values[path]
	if !ok || v == "" {
		return fallback
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || f != f || f > 1e300 || f < -1e300 {
		r.reject(path, v, "a number")
		return fallback
	}
	return f
}

// integer returns the whole number at path, or fallback if it is absent or not a whole number.
func (r *settingsReader) integer(path string, fallback int) int {
	f := r.float(path, float64(fallback))
	if f != float64(int(f)) {
		r.reject(path, r.values[path], "a whole number")
		return fallback
	}
	return int(f)
}

// count returns the number of items at path, 0 if it is absent or invalid. More items than there
// are settings cannot exist, so a greater number is rejected before it costs memory.
func (r *settingsReader) count(path string) int {
	n := r.integer(path, 0)
	if n < 0 || n > len(r.values) {
		r.reject(path, r.values[path], "the count of items that the settings hold")
		return 0
	}
	return n
}

// boolean returns the flag at path, false if it is absent or invalid.
func (r *settingsReader) boolean(path string) bool {
	switch v := r.values[path]; v {
	case "true", "1":
		return true
	case "", "false", "0":
	default:
		r.reject(path, v, "true or false")
	}
	return false
}

// floats returns the first n numbers of the comma-separated list at path; a missing or invalid
// one is fallback.
func (r *settingsReader) floats(path string, n int, fallback float64) []float64 {
	out := make([]float64, n)
	var items []string
	if v := r.values[path]; v != "" {
		items = strings.Split(v, ",")
	}
	for i := range out {
		out[i] = fallback
		if i < len(items) {
			f, err := strconv.ParseFloat(items[i], 64)
			if err != nil || f != f {
				r.reject(path, r.values[path], "numbers separated by commas")
				continue
			}
			out[i] = f
		}
	}
	return out
}

// choice returns the index of the value at path among the choices, 0 if it is absent or invalid.
func (r *settingsReader) choice(path string, choices ...string) int {
	v := r.values[path]
	for i, name := range choices {
		if v == name {
			return i
		}
	}
	if v != "" {
		r.reject(path, v, "one of "+strings.Join(choices, ", "))
	}
	return 0
}

// ParseSettings parses the settings text of a BEGIN event, lines of path=value, and returns the
// first error. Unknown settings are ignored; an absent one means that the feature is off or the
// limit does not exist, and a class without an effect is unsafe.
func ParseSettings(text string) (decide.Settings, error) {
	reader := &settingsReader{values: make(map[string]string)}
	for i, line := range strings.Split(text, "\n") {
		if line = strings.TrimSpace(line); line == "" {
			continue
		}
		path, value, ok := strings.Cut(line, "=")
		if !ok {
			return decide.Settings{}, fmt.Errorf("settings line %d: got %q, want path=value", i+1, line)
		}
		reader.values[path] = value
	}
	_, hasShare := reader.values["safety.extraPerRequest"]
	_, hasFloor := reader.values["safety.extraFloor"]
	s := decide.Settings{
		Index:                  reader.integer("index", 0),
		Roots:                  max(1, reader.integer("balancers", 1)),
		Zone:                   reader.integer("myZone", 0),
		TickMs:                 reader.float("tickMs", 1),
		MustSubscribe:          reader.choice("discovery", "pushed", "on_request") == 1,
		OverShareWorth:         reader.float("overShareWorth", 1),
		WorthIsPerWork:         reader.choice("worthBy", "request", "work") == 1,
		Cells:                  max(1, reader.integer("domain.cells", 1)),
		CellsPerShard:          max(1, reader.integer("domain.inARow", 1)),
		Shards:                 reader.integer("domain.ranges", 0),
		MaxPartsPerCall:        max(1, reader.integer("domain.bundleMax", 1)),
		CallOverheadMs:         reader.float("domain.perCallWorkMs", 0),
		ReplicasCacheKeys:      reader.boolean("domain.warmKeys"),
		MaxAttempts:            reader.integer("caps.maxAttempts", 0),
		MaxOpen:                reader.integer("caps.maxOpen", 0),
		MaxRetryAfterMs:        reader.float("caps.maxRetryAfterMs", 0),
		SendRetryAfter:         reader.boolean("caps.retryAfter"),
		AllowCopies:            reader.boolean("caps.secondCopies"),
		AllowCancel:            reader.boolean("caps.cancel"),
		AllowProbes:            reader.boolean("caps.probes"),
		AllowPeerMessages:      reader.boolean("caps.mayTell"),
		LoadReportInline:       reader.choice("report.how", "off", "inline", "on_probe") == 1,
		AnswerGraceMs:          reader.float("safety.graceToAnswerMs", 0),
		MaxSubscribeIntervalMs: reader.float("safety.askWithinMs", 0),
		DrainGraceMs:           reader.float("safety.drainGraceMs", 0),
		ColdCapacityShare:      reader.float("safety.coldFrom", 1),
		WarmUpMs:               reader.float("safety.coldMs", 0),
		ColdOverloadFactor:     reader.float("safety.fallMultiple", 1),
		ColdOverloadMs:         reader.float("safety.fallMs", 0),
		HasRetryBudget:         hasShare || hasFloor,
		RetryBudgetFloor:       reader.float("safety.extraFloor", 0),
		RetryBudgetRatio:       reader.float("safety.extraPerRequest", 0),
		RetryBudgetWindowMs:    reader.float("safety.ratioSpanMs", 0),
		CrossZonePenalty:       reader.float("penalties.crossZone", 0),
		ProbePenalty:           reader.float("penalties.probe", 0),
		HandshakePenalty:       reader.float("penalties.handshake", 0),
		WastePenalty:           reader.float("penalties.waste", 0),
	}
	if v := reader.values["report.fields"]; v != "" {
		for _, f := range strings.Split(v, ",") {
			s.LoadReportFields = append(s.LoadReportFields, loadFields[f])
		}
	}
	n := reader.count("classes.count")
	needs := reader.floats("domain.needByClass", n, 1)
	floors := reader.floats("domain.minShare", n, 1)
	partials := reader.floats("domain.partialEarns", n, 0)
	fetches := reader.floats("domain.classFetch", n, 0)
	for i := range n {
		prefix := fmt.Sprintf("classes.%d.", i)
		c := decide.Class{
			ObjectiveWorkFactor: reader.float(prefix+"aimStretch", 0),
			DeadlineMs:          reader.float(prefix+"deadlineMs", 0),
			LateWorthShare:      reader.float(prefix+"lateShare", 0),
			Worth:               reader.float(prefix+"worth", 1),
			Effect:              decide.Effect(reader.choice(prefix+"idempotency", "safe", "keyed", "unsafe")),
			DedupWindowMs:       reader.float(prefix+"windowMs", 0),
			Stream:              reader.boolean(prefix + "stream"),
			CompleteShare:       needs[i],
			MinShare:            floors[i],
			PartialWorth:        partials[i],
			SecondStepParts:     int(fetches[i]),
		}
		if _, present := reader.values[prefix+"idempotency"]; !present {
			c.Effect = decide.Unsafe // no setting says that a retry is safe
		}
		c.ObjectiveMs = reader.float(prefix+"objectiveMs", c.DeadlineMs)
		s.Classes = append(s.Classes, c)
	}
	for i := range reader.count("tenants.count") {
		prefix := fmt.Sprintf("tenants.%d.", i)
		s.Tenants = append(s.Tenants, decide.Tenant{
			QueriesPerSecond: reader.float(prefix+"allowancePerS", 0),
			Share:            reader.float(prefix+"share", 0),
		})
	}
	return s, reader.err
}
