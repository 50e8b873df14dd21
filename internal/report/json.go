package report

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"olivedale/internal/incident"
	"olivedale/internal/record"
)

// The types of this file define the JSON form of a report. Their keys are an interface to operators' scripts and keep
// the older terms; docs/glossary.md maps them to the terms used in the code.

// Totals are the counts of a group of calls. Each count is a plain count of records.
type Totals struct {
	incident.Counts
	Outcomes map[string]uint64 `json:"outcomes"`
	P50      float64           `json:"p50_ms"` // set-up time of established calls, to about one percent
	P95      float64           `json:"p95_ms"`
	P99      float64           `json:"p99_ms"`
}

// jsonDocument is the whole report.
type jsonDocument struct {
	From           string            `json:"from"`
	To             string            `json:"to"`
	ClockReference string            `json:"clock_reference,omitempty"`
	Incomplete     bool              `json:"at_least"`
	Records        uint64            `json:"records"`
	Lost           uint64            `json:"lost"`
	Total          Totals            `json:"total"`
	Classes        []jsonNamedTotals `json:"classes"`
	Servers        []jsonNamedTotals `json:"servers"`
	Instances      []jsonInstance    `json:"instances"`
	NoAnswer       map[string]uint64 `json:"no_answer"`
	Reasons        map[string]uint64 `json:"reasons"`
	AttemptEnds    map[string]uint64 `json:"attempt_ends"`
	Limits         map[string]uint64 `json:"limits"`
	WindowMS       float64           `json:"window_ms"`
	Windows        []jsonWindow      `json:"windows"`
	Findings       []jsonFinding     `json:"findings"`
	Gaps           []jsonGap         `json:"gaps"`
	Damages        []Damage          `json:"damages"`
	Truncated      bool              `json:"clock_years_off"`
}

// jsonNamedTotals are the totals of a class or a server.
type jsonNamedTotals struct {
	Name string `json:"name"`
	Totals
}

// jsonInstance is one instance with its totals.
type jsonInstance struct {
	Name        string `json:"name"`
	Store       string `json:"store"`
	Incomplete  bool   `json:"at_least"`
	Unfinished  bool   `json:"without_end"`
	Starts      int    `json:"starts"`
	Records     uint64 `json:"records"`
	Lost        uint64 `json:"lost"`
	ClockOffset string `json:"clock_ahead,omitempty"`
	Totals
}

// jsonWindow is one interval of the time line.
type jsonWindow struct {
	At string `json:"at"`
	incident.Counts
	Established     uint64  `json:"stood"`
	Rejected        uint64  `json:"turned_away"`
	Failed          uint64  `json:"failed"`
	MeanSetupTimeMS float64 `json:"mean_ms"`
	MaxSetupTimeMS  float64 `json:"most_ms"`
	Gap             bool    `json:"gap"`
	Instances       int     `json:"instances"`
}

// jsonMoment is a time with the error of the clock comparison.
type jsonMoment struct {
	At       string  `json:"at"`                 // middle of the interval
	ErrorMS  float64 `json:"error_ms,omitempty"` // half of the interval's length
	Compared bool    `json:"compared"`           // the clock was compared with the reference's
}

// jsonNotice says when one instance noticed a finding.
type jsonNotice struct {
	Instance   string     `json:"instance"`
	At         jsonMoment `json:"at"`
	Order      string     `json:"order,omitempty"`
	MinDelayMS float64    `json:"after_first_ms_least"`
	MaxDelayMS float64    `json:"after_first_ms_most"`
}

// jsonFinding is one finding with the records that it is based on.
type jsonFinding struct {
	Kind       string         `json:"kind"`
	Server     string         `json:"server,omitempty"`
	Instance   string         `json:"instance,omitempty"`
	From       jsonMoment     `json:"from"`
	To         jsonMoment     `json:"to"`
	Ongoing    bool           `json:"open,omitempty"`
	IsFault    bool           `json:"bad"`
	Incomplete bool           `json:"at_least,omitempty"`
	Text       string         `json:"text"`
	Noticed    []jsonNotice   `json:"noticed,omitempty"`
	Records    []incident.Ref `json:"records"`
}

// jsonGap is a range of lost records.
type jsonGap struct {
	Instance string     `json:"instance"`
	From     uint64     `json:"from,omitempty"`
	To       uint64     `json:"to,omitempty"`
	Cause    string     `json:"cause"`
	Begin    jsonMoment `json:"begin"`
	End      jsonMoment `json:"end"`
}

// WriteJSON writes the report as JSON. It fails only if w does.
func (r *Result) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	return enc.Encode(r.jsonDocument())
}

func (r *Result) jsonDocument() *jsonDocument {
	return &jsonDocument{
		From:           stamp(r.From),
		To:             stamp(r.To),
		ClockReference: r.Reference,
		Incomplete:     r.Incomplete,
		Records:        r.Records,
		Lost:           r.Lost,
		Total:          newTotals(&r.Total),
		Classes:        newJSONNamedTotals(r.Classes),
		Servers:        newJSONNamedTotals(r.Servers),
		Instances:      newJSONInstances(r.Instances),
		NoAnswer:       r.NoAnswer,
		Reasons:        r.Reasons,
		AttemptEnds:    r.AttemptEnds,
		Limits:         r.Limits,
		WindowMS:       milliseconds(r.Width),
		Windows:        newJSONWindows(r.Windows),
		Findings:       newJSONFindings(r.Findings),
		Gaps:           newJSONGaps(r.Gaps),
		Damages:        r.Damages,
		Truncated:      r.Truncated,
	}
}

func newTotals(t *incident.Tally) Totals {
	totals := Totals{
		Counts:   t.Counts,
		Outcomes: make(map[string]uint64),
		P50:      milliseconds(t.Percentile(50)),
		P95:      milliseconds(t.Percentile(95)),
		P99:      milliseconds(t.Percentile(99)),
	}
	for i, n := range t.Outcomes {
		if n > 0 {
			totals.Outcomes[record.Outcome(i).String()] = n
		}
	}
	return totals
}

func newJSONNamedTotals(tallies []incident.NamedTally) []jsonNamedTotals {
	all := []jsonNamedTotals{} // JSON shows an empty list, not null
	for _, t := range tallies {
		all = append(all, jsonNamedTotals{t.Name, newTotals(t.Tally)})
	}
	return all
}

func newJSONInstances(instances []incident.Instance) []jsonInstance {
	all := []jsonInstance{}
	for _, i := range instances {
		all = append(all, jsonInstance{
			Name:        i.Name,
			Store:       fmt.Sprintf("%016x", i.Store),
			Incomplete:  i.Incomplete,
			Unfinished:  i.Unfinished,
			Starts:      len(i.Starts),
			Records:     i.Records,
			Lost:        i.Lost,
			ClockOffset: formatOffset(i),
			Totals:      newTotals(i.Total),
		})
	}
	return all
}

func newJSONWindows(windows []incident.Window) []jsonWindow {
	all := []jsonWindow{}
	for _, w := range windows {
		all = append(all, jsonWindow{
			At:              stamp(w.At),
			Counts:          w.Counts,
			Established:     w.Established(),
			Rejected:        w.Rejected(),
			Failed:          w.Outcome(record.OutcomeFailed),
			MeanSetupTimeMS: milliseconds(w.MeanSetupTime),
			MaxSetupTimeMS:  milliseconds(w.MaxSetupTime),
			Gap:             w.Gap,
			Instances:       w.Sources,
		})
	}
	return all
}

func newJSONFindings(findings []incident.Finding) []jsonFinding {
	all := []jsonFinding{}
	for _, f := range findings {
		all = append(all, jsonFinding{
			Kind:       f.Kind,
			Server:     f.Server,
			Instance:   f.Instance,
			From:       newJSONMoment(f.From),
			To:         newJSONMoment(f.To),
			Ongoing:    f.Ongoing,
			IsFault:    f.IsFault,
			Incomplete: f.Incomplete,
			Text:       f.Text,
			Noticed:    newJSONNotices(f.Noticed),
			Records:    f.Refs,
		})
	}
	return all
}

func newJSONNotices(notices []incident.Notice) (all []jsonNotice) {
	for i, n := range notices {
		notice := jsonNotice{
			Instance:   n.Instance,
			At:         newJSONMoment(n.At),
			MinDelayMS: milliseconds(n.MinDelay),
			MaxDelayMS: milliseconds(n.MaxDelay),
		}
		if i > 0 {
			notice.Order = n.Order.String()
		}
		all = append(all, notice)
	}
	return all
}

func newJSONGaps(gaps []incident.PlacedGap) []jsonGap {
	all := []jsonGap{}
	for _, g := range gaps {
		all = append(all, jsonGap{
			Instance: g.Instance,
			From:     g.From,
			To:       g.To,
			Cause:    g.Cause,
			Begin:    newJSONMoment(g.Begin),
			End:      newJSONMoment(g.End),
		})
	}
	return all
}

func newJSONMoment(m incident.Moment) jsonMoment {
	return jsonMoment{
		At:       stamp(m.Mid()),
		ErrorMS:  milliseconds((m.Latest - m.Earliest) / 2),
		Compared: m.Known,
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// stamp formats a time in UTC, to the millisecond.
func stamp(t incident.Time) string { return record.Unix(t).Format("2006-01-02T15:04:05.000Z") }

// formatOffset returns how far an instance's clock was ahead in its last start, or "" if it was never compared.
func formatOffset(i incident.Instance) string {
	if len(i.Starts) == 0 {
		return ""
	}
	o := i.Starts[len(i.Starts)-1].Offset
	if !o.Known {
		return ""
	}
	return fmt.Sprintf("%v to %v", o.Min.Round(time.Microsecond), o.Max.Round(time.Microsecond))
}
