// Package result measures the service that callers get in a run and defines the figures by which runs are compared.
// Service is computed by the operators' formula, but the values cannot be compared with theirs, since the exchanges
// and callers are emulated. The package does not evaluate results: internal/sim/experiment compares them, and
// internal/sim/invariant detects violations.
package result

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"olivedale/internal/sim/exchange"
	"olivedale/internal/sim/invariant"
)

// A Time is the time since the start of the run.
type Time = time.Duration

// A Result is the outcome of a run. Its JSON format must stay compatible: scripts and earlier versions of the program
// read it.
type Result struct {
	Scenario string  `json:"scenario"`
	Seed     uint64  `json:"seed"`
	Length   float64 `json:"length_s"`

	// Score is a weighted sum of Service, Worst and WorstClass, less deductions for NonPreferredShare and Waste.
	Score float64 `json:"score"`
	// Service is the earned weight over the offered weight. A call that is not dropped earns its weight if it is
	// established within its latency objective, and a share of it if it is established later.
	Service           float64 `json:"service"`
	Worst             float64 `json:"worst_10s"`   // service of the worst 10 s
	WorstClass        float64 `json:"worst_class"` // service of the worst class
	NonPreferredShare float64 `json:"second"`      // of the established calls, outside of their preferred pool
	Waste             float64 `json:"waste"`       // processor time spent on failed calls, over that on the others
	Fairness          float64 `json:"fairness"`    // Jain's index of the service of the controllers

	Offered     int `json:"offered"` // calls
	Tries       int `json:"tries"`   // offers by clients, redials included
	Attempts    int `json:"sends"`   // attempts: set-ups sent to exchanges
	Established int `json:"stood"`
	Rejected    int `json:"refused"`
	Failed      int `json:"failed"`
	Abandoned   int `json:"gave_up"`
	Dropped     int `json:"cut"`

	Datagrams     int `json:"datagrams,omitempty"`  // between controllers, counted once per destination
	DatagramBytes int `json:"told_bytes,omitempty"` // total size of Datagrams

	P50 float64 `json:"setup_p50_ms"`
	P95 float64 `json:"setup_p95_ms"`
	P99 float64 `json:"setup_p99_ms"`

	Classes         []Class                `json:"classes"`
	Seconds         []float64              `json:"seconds"` // service of each second, or noService
	Recoveries      []Recovery             `json:"recoveries,omitempty"`
	Exchanges       Exchanges              `json:"exchanges"`
	SlowStarts      []SlowStart            `json:"cold,omitempty"`
	ViolationCounts map[string]int         `json:"broken,omitempty"` // violations by invariant
	Violations      []*invariant.Violation `json:"-"`
	Events          uint64                 `json:"events"`
}

// noService is the value in Result.Seconds of a second in which no calls were offered.
const noService = -1

// A Class is the outcome of the calls of a class.
type Class struct {
	Name    string  `json:"name"`
	Offered int     `json:"offered"`
	InTime  int     `json:"in_time"` // established within the latency objective
	Late    int     `json:"late"`    // established later
	Dropped int     `json:"cut"`
	Service float64 `json:"service"`
}

// Exchanges holds the sums of the counters of all exchanges.
type Exchanges struct {
	exchange.Counters
	WorkSeconds   float64 `json:"work_s"`
	WastedSeconds float64 `json:"wasted_s"`
}

// Add adds the counters of an exchange to the sums.
func (e *Exchanges) Add(c *exchange.Counters) {
	e.SetUps += c.SetUps
	e.Repeats += c.Repeats
	e.Rejected += c.Rejected
	e.NoCircuit += c.NoCircuit
	e.Canceled += c.Canceled
	e.Established += c.Established
	e.Ended += c.Ended
	e.Dropped += c.Dropped
	e.Work += c.Work
	e.Wasted += c.Wasted
	e.TotalQueueingDelay += c.TotalQueueingDelay
	e.Served += c.Served
	e.WorkSeconds, e.WastedSeconds = e.Work.Seconds(), e.Wasted.Seconds()
}

// SlowStart describes the load of an exchange in its slow start.
type SlowStart struct {
	Exchange string    `json:"exchange"`
	Start    float64   `json:"born_s"` // start time in seconds since the start of the run
	Failed   bool      `json:"fell"`   // whether it failed under the load
	Loads    []float64 `json:"sends"`  // attempts in each second since its start, over its capacity in that second
}

// Weights of the terms of the score.
const (
	serviceShare    = 0.5
	worstShare      = 0.15
	worstClassShare = 0.35
	secondDeduction = 0.05
	wasteDeduction  = 0.019
)

// Finish computes Waste and Score, which depend on the counters of the exchanges.
func (r *Result) Finish() {
	if good := r.Exchanges.Work - r.Exchanges.Wasted; good > 0 {
		r.Waste = float64(r.Exchanges.Wasted) / float64(good)
	}
	service := serviceShare*r.Service + worstShare*r.Worst + worstClassShare*r.WorstClass
	r.Score = service - secondDeduction*r.NonPreferredShare - wasteDeduction*min(r.Waste, 1)
}

// TotalViolations returns the number of invariant violations.
func (r *Result) TotalViolations() int {
	sum := 0
	for _, violations := range r.ViolationCounts {
		sum += violations
	}
	return sum
}

// PeakSlowStartLoad returns the highest load of an exchange in slow start in any second, over its capacity in that
// second.
func (r *Result) PeakSlowStartLoad() float64 {
	highest := 0.0
	for _, c := range r.SlowStarts {
		for _, load := range c.Loads {
			highest = max(highest, load)
		}
	}
	return highest
}

// WriteJSON writes the result as an indented JSON object.
func (r *Result) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	if err := encoder.Encode(r); err != nil {
		return fmt.Errorf("result: %w", err)
	}
	return nil
}
