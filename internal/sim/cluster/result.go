package cluster

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"olivedale/internal/sim/loopback"
)

// ZoneStats are the results of the callers in a zone.
type ZoneStats struct {
	Name        string  `json:"name"`
	Sent        int     `json:"sent"`
	Established int     `json:"stood"`
	Rejected    int     `json:"refused"`
	Failed      int     `json:"failed"` // failed, lost with their connection, or abandoned
	Dropped     int     `json:"cut"`
	P50         float64 `json:"p50_ms"`
	P99         float64 `json:"p99_ms"`
}

// A Result is the outcome of a run. Its JSON is the output of `olivesim run --json`.
type Result struct {
	Seed           uint64          `json:"seed"`
	Topology       Topology        `json:"topology"`
	Duration       float64         `json:"for_s"` // how long calls were offered
	Zones          []ZoneStats     `json:"zones"`
	InjectedFaults []InjectedFault `json:"struck"`
	Violations     []Violation     `json:"breaches"`
	// ViolationCount is the number of all violations, including those that are not in Violations.
	ViolationCount    int       `json:"broken"`
	EventCount        int       `json:"seen"`   // captured events that were passed to the checker
	UnreadableStreams int       `json:"unread"` // SIP streams with a parse error
	Samples           []Sample  `json:"course"`
	Schedule          *Schedule `json:"schedule"`
}

// result collects the result of a run that has ended.
func (r *Run) result() *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	res := &Result{
		Seed:              r.options.Schedule.Seed,
		Topology:          r.options.Topology,
		Duration:          r.options.CallDuration.Seconds(),
		InjectedFaults:    r.injected,
		Violations:        append(r.monitor.violations(r.injected), r.violations...),
		ViolationCount:    r.monitor.checker.Total() + len(r.violations),
		EventCount:        r.monitor.checker.EventCount(),
		UnreadableStreams: r.monitor.unreadableStreams,
		Samples:           r.samples,
		Schedule:          r.options.Schedule,
	}
	for zone := range r.options.Topology.Zones {
		res.Zones = append(res.Zones, r.zoneStats(zone))
	}
	return res
}

// zoneStats returns the results of the callers in a zone.
func (r *Run) zoneStats(zone int) ZoneStats {
	s := loopback.NewLoadStats()
	for _, c := range r.controllers {
		if c.zone == zone {
			s.Add(r.load.StatsOf(c.number))
		}
	}
	milliseconds := func(percentile float64) float64 { return float64(s.SetUpTimes.ValueAtQuantile(percentile)) / 1000 }
	return ZoneStats{
		Name:        zoneName(zone),
		Sent:        s.Sent,
		Established: s.Established,
		Rejected:    s.Rejected,
		Failed:      s.Failed + s.Lost + s.Abandoned,
		Dropped:     s.Dropped,
		P50:         milliseconds(50),
		P99:         milliseconds(99),
	}
}

// Save writes the result to result.json and its schedule to schedule.toml, both in dir.
func (r *Result) Save(dir string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "result.json"), append(text, '\n'), 0o600); err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	return r.Schedule.Save(filepath.Join(dir, "schedule.toml"))
}

// Rows returns the results of the zones as a table, with the heads of its columns.
func (r *Result) Rows() (heading []string, rows [][]string) {
	for _, z := range r.Zones {
		rows = append(rows, []string{
			z.Name,
			fmt.Sprint(z.Sent),
			fmt.Sprint(z.Established),
			fmt.Sprint(z.Rejected),
			fmt.Sprint(z.Failed),
			fmt.Sprint(z.Dropped),
			fmt.Sprintf("%.0f", z.P50),
			fmt.Sprintf("%.0f", z.P99),
		})
	}
	return strings.Fields("ZONE SENT STOOD REFUSED FAILED CUT P50_MS P99_MS"), rows
}
