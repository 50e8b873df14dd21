package report

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"olivedale/internal/incident"
	"olivedale/internal/record"
)

// Totals are counts as JSON shows them; every figure is a plain count of records.
type Totals struct {
	incident.Counts
	Outcomes map[string]uint64 `json:"outcomes"`
	P50      float64           `json:"p50_ms"` // of the calls that stood, to about a percent
	P95      float64           `json:"p95_ms"`
	P99      float64           `json:"p99_ms"`
}

func totals(t *incident.Tally) Totals {
	out := Totals{Counts: t.Counts, Outcomes: make(map[string]uint64), P50: ms(t.Percentile(50)), P95: ms(t.Percentile(95)), P99: ms(t.Percentile(99))}
	for i, n := range t.Outcomes {
		if n > 0 {
			out.Outcomes[record.Outcome(i).String()] = n
		}
	}
	return out
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func stamp(t incident.Time) string { return record.Unix(t).Format("2006-01-02T15:04:05.000Z") }

// A moment is when something was, as JSON shows it.
type moment struct {
	At    string  `json:"at"`                 // middle of what is known
	Error float64 `json:"error_ms,omitempty"` // to either side
	Known bool    `json:"compared"`           // with the reference's clock
}

func when(m incident.Moment) moment {
	return moment{At: stamp(m.Mid()), Error: ms((m.Hi - m.Lo) / 2), Known: m.Known}
}

// WriteJSON writes the account as JSON.
func (r *Result) WriteJSON(w io.Writer) error {
	type named struct {
		Name string `json:"name"`
		Totals
	}
	type instance struct {
		Name    string `json:"name"`
		Store   string `json:"store"`
		AtLeast bool   `json:"at_least"`
		Live    bool   `json:"without_end"`
		Starts  int    `json:"starts"`
		Records uint64 `json:"records"`
		Lost    uint64 `json:"lost"`
		Offset  string `json:"clock_ahead,omitempty"`
		Totals
	}
	type window struct {
		At string `json:"at"`
		incident.Counts
		Stood  uint64  `json:"stood"`
		Away   uint64  `json:"turned_away"`
		Failed uint64  `json:"failed"`
		Mean   float64 `json:"mean_ms"`
		Most   float64 `json:"most_ms"`
		Gap    bool    `json:"gap"`
		Runs   int     `json:"instances"`
	}
	type notice struct {
		Instance string  `json:"instance"`
		At       moment  `json:"at"`
		Order    string  `json:"order,omitempty"`
		Lo       float64 `json:"after_first_ms_least"`
		Hi       float64 `json:"after_first_ms_most"`
	}
	type finding struct {
		Kind     string         `json:"kind"`
		Server   string         `json:"server,omitempty"`
		Instance string         `json:"instance,omitempty"`
		From     moment         `json:"from"`
		To       moment         `json:"to"`
		Open     bool           `json:"open,omitempty"`
		Bad      bool           `json:"bad"`
		AtLeast  bool           `json:"at_least,omitempty"`
		Text     string         `json:"text"`
		Noticed  []notice       `json:"noticed,omitempty"`
		Refs     []incident.Ref `json:"records"`
	}
	type gap struct {
		Instance string `json:"instance"`
		From     uint64 `json:"from,omitempty"`
		To       uint64 `json:"to,omitempty"`
		Cause    string `json:"cause"`
		Begin    moment `json:"begin"`
		End      moment `json:"end"`
	}
	out := struct {
		From       string            `json:"from"`
		To         string            `json:"to"`
		Reference  string            `json:"clock_reference,omitempty"`
		AtLeast    bool              `json:"at_least"`
		Records    uint64            `json:"records"`
		Lost       uint64            `json:"lost"`
		Total      Totals            `json:"total"`
		Classes    []named           `json:"classes"`
		Servers    []named           `json:"servers"`
		Instances  []instance        `json:"instances"`
		NoAnswer   map[string]uint64 `json:"no_answer"`
		Reasons    map[string]uint64 `json:"reasons"`
		Ends       map[string]uint64 `json:"attempt_ends"`
		Limits     map[string]uint64 `json:"limits"`
		WidthMS    float64           `json:"window_ms"`
		Windows    []window          `json:"windows"`
		Findings   []finding         `json:"findings"`
		Gaps       []gap             `json:"gaps"`
		Damages    []Damage          `json:"damages"`
		OffTheLine bool              `json:"clock_years_off"`
	}{From: stamp(r.From), To: stamp(r.To), Reference: r.Reference, AtLeast: r.AtLeast, Records: r.Records, Lost: r.Lost, Total: totals(&r.Total),
		Classes: []named{}, Servers: []named{}, Instances: []instance{}, Findings: []finding{}, Gaps: []gap{}, Windows: []window{}, Damages: r.Damages,
		NoAnswer: r.NoAnswer, Reasons: r.Reasons, Ends: r.Ends, Limits: r.Limits, WidthMS: ms(r.Width), OffTheLine: r.Truncated}
	for _, c := range r.Classes {
		out.Classes = append(out.Classes, named{c.Name, totals(c.Tally)})
	}
	for _, s := range r.Servers {
		out.Servers = append(out.Servers, named{s.Name, totals(s.Tally)})
	}
	for _, i := range r.Instances {
		out.Instances = append(out.Instances, instance{i.Name, fmt.Sprintf("%016x", i.Store), i.AtLeast, i.Live, len(i.Starts), i.Records, i.Lost,
			offset(i), totals(i.Total)})
	}
	for _, w := range r.Windows {
		out.Windows = append(out.Windows, window{stamp(w.At), w.Counts, w.Stood(), w.TurnedAway(), w.Of(record.Failed), ms(w.Mean), ms(w.Most), w.Gap, w.Runs})
	}
	for _, f := range r.Findings {
		x := finding{Kind: f.Kind, Server: f.Server, Instance: f.Instance, From: when(f.From), To: when(f.To), Open: f.Open, Bad: f.Bad, AtLeast: f.AtLeast,
			Text: f.Text, Refs: f.Refs}
		for i, n := range f.Noticed {
			y := notice{Instance: n.Instance, At: when(n.At), Lo: ms(n.Lo), Hi: ms(n.Hi)}
			if i > 0 {
				y.Order = n.Order.String()
			}
			x.Noticed = append(x.Noticed, y)
		}
		out.Findings = append(out.Findings, x)
	}
	for _, g := range r.Gaps {
		out.Gaps = append(out.Gaps, gap{g.Instance, g.From, g.To, g.Cause, when(g.Begin), when(g.End)})
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	return enc.Encode(out)
}

// offset is how far an instance's clock was ahead in its last start, "" where nobody knows.
func offset(i incident.Instance) string {
	if len(i.Starts) == 0 {
		return ""
	}
	o := i.Starts[len(i.Starts)-1].Offset
	if !o.Known {
		return ""
	}
	return fmt.Sprintf("%v to %v", o.Lo.Round(time.Microsecond), o.Hi.Round(time.Microsecond))
}
