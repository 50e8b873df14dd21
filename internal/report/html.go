package report

import (
	"cmp"
	_ "embed" // for page.html
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"olivedale/internal/incident"
	"olivedale/internal/record"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"text":  record.Printable,
	"count": formatCount,
	"ms":    formatMilliseconds,
	"stamp": stamp,
	"clock": formatMoment,
	"pairs": sortedCounts,
}).Parse(pageText))

// pageData is the data of the template page.html.
type pageData struct {
	*Result
	Created     string
	Duration    string
	Plots       pagePlots
	Sum         Row
	ByClass     []Row
	ByServer    []Row
	ByInstance  []instanceRow
	FindingRows []findingRow
	Faults      int // number of findings that are faults
	GapRows     []string
	Compared    int // number of instances whose clocks were compared with the reference
	WidthText   string
	Answered    uint64
}

// pagePlots are the plots as SVG elements; empty if there is nothing to plot.
type pagePlots struct {
	Calls, SetupTimes, Servers template.HTML
}

// A Row is one line of a table of counts.
type Row struct {
	Name        string
	Note        string // "at least" if records are lost
	Offered     uint64
	Established uint64
	Late        uint64
	Rejected    uint64
	Failed      uint64
	Abandoned   uint64
	Other       uint64
	Dropped     uint64
	Attempts    uint64
	Retries     uint64
	P50         time.Duration
	P95         time.Duration
	P99         time.Duration
}

// An instanceRow is one line of the table of instances.
type instanceRow struct {
	Row
	Starts  int
	Killed  int
	Records uint64
	Lost    uint64
	Ahead   string
	Steps   int
	End     string
}

// A findingRow is one line of the table of findings.
type findingRow struct {
	N          int
	Kind       string
	Subjects   string
	From, To   string
	Duration   string
	Text       string
	IsFault    bool
	Noticed    []string
	Refs       []string
	Incomplete bool
}

// WriteHTML writes the report as one self-contained HTML file. Texts that come from records are escaped by
// html/template and by the SVG renderer. It fails if w does, or if a plot cannot be drawn.
func (r *Result) WriteHTML(w io.Writer, created time.Time) error {
	data := pageData{
		Result:    r,
		Created:   created.UTC().Format("2006-01-02 15:04:05 UTC"),
		Sum:       newRow("all", &r.Total, r.Incomplete),
		ByClass:   r.newRows(r.Classes),
		ByServer:  r.newRows(r.Servers),
		GapRows:   formatGaps(r.Gaps),
		WidthText: r.Width.String(),
		Answered:  r.Total.Answered(),
	}
	for _, i := range r.Instances {
		data.ByInstance = append(data.ByInstance, newInstanceRow(i))
		if formatOffset(i) != "" {
			data.Compared++
		}
	}
	for n, f := range r.Findings {
		data.FindingRows = append(data.FindingRows, newFindingRow(n+1, f))
		if f.IsFault {
			data.Faults++
		}
	}
	if len(r.Windows) > 0 {
		data.Duration = (r.To - r.From).Round(time.Millisecond).String()
		plots, err := r.drawPlots()
		if err != nil {
			return err
		}
		data.Plots = plots
	}
	if err := page.Execute(w, data); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// drawPlots draws all plots of the page.
func (r *Result) drawPlots() (plots pagePlots, err error) {
	if plots.Calls, err = r.drawCalls(); err != nil {
		return plots, err
	}
	if plots.SetupTimes, err = r.drawSetupTimes(); err != nil {
		return plots, err
	}
	plots.Servers, err = r.drawServers()
	return plots, err
}

func newRow(name string, t *incident.Tally, incomplete bool) Row {
	row := Row{
		Name:        name,
		Offered:     t.Offered,
		Established: t.Established(),
		Late:        t.Late,
		Rejected:    t.Rejected(),
		Failed:      t.Outcome(record.OutcomeFailed),
		Abandoned:   t.Outcome(record.OutcomeAbandoned),
		Other: t.Outcome(record.OutcomeReusedID) + t.Outcome(record.OutcomeInvalid) +
			t.Outcome(record.OutcomeByPolicy),
		Dropped:  t.Dropped,
		Attempts: t.Attempts,
		Retries:  t.Retries,
		P50:      t.Percentile(50),
		P95:      t.Percentile(95),
		P99:      t.Percentile(99),
	}
	if incomplete {
		row.Note = "at least"
	}
	return row
}

func (r *Result) newRows(tallies []incident.NamedTally) (rows []Row) {
	for _, t := range tallies {
		rows = append(rows, newRow(t.Name, t.Tally, r.Incomplete))
	}
	return rows
}

func newInstanceRow(i incident.Instance) instanceRow {
	row := instanceRow{
		Row:     newRow(i.Name, i.Total, i.Incomplete),
		Starts:  len(i.Starts),
		Records: i.Records,
		Lost:    i.Lost,
		Ahead:   cmp.Or(formatOffset(i), "not compared"),
		End:     "orderly shutdown",
	}
	for n, s := range i.Starts {
		row.Steps += len(s.Steps)
		if !s.Clean && n < len(i.Starts)-1 {
			row.Killed++
		}
	}
	if i.Unfinished {
		row.End = "none: still running or killed"
	}
	return row
}

func newFindingRow(n int, f incident.Finding) findingRow {
	row := findingRow{
		N:          n,
		Kind:       f.Kind,
		Subjects:   formatSubjects(f),
		From:       formatMoment(f.From),
		To:         formatMoment(f.To),
		Text:       record.Printable(f.Text),
		IsFault:    f.IsFault,
		Incomplete: f.Incomplete,
	}
	if shortest, longest, known := incident.Delay(f.From, f.To); known && longest > 0 {
		row.Duration = formatMilliseconds((shortest + longest) / 2)
	}
	if f.Ongoing {
		row.To = "ongoing"
	}
	for i, notice := range f.Noticed {
		row.Noticed = append(row.Noticed, formatNotice(notice, i == 0))
	}
	for _, ref := range f.Refs {
		row.Refs = append(row.Refs, fmt.Sprintf("%s/%s/%d", record.Printable(ref.Instance), ref.RunID, ref.Seq))
	}
	return row
}

// formatSubjects returns the names of the server and the instance that a finding is about.
func formatSubjects(f incident.Finding) string {
	var subjects []string
	for _, name := range []string{f.Server, f.Instance} {
		if name != "" {
			subjects = append(subjects, record.Printable(name))
		}
	}
	return strings.Join(subjects, ", ")
}

// formatNotice formats when an instance noticed a finding, relative to the first instance that did.
func formatNotice(n incident.Notice, isFirst bool) string {
	name := record.Printable(n.Instance)
	delay := formatSigned(n.MinDelay) + " to " + formatSigned(n.MaxDelay)
	switch {
	case isFirst:
		return name + " first"
	case n.Order == incident.OrderUnknown && n.MinDelay == 0 && n.MaxDelay == 0:
		return name + ": order unknown, clocks were not compared"
	case n.Order == incident.OrderUnknown:
		return fmt.Sprintf("%s: order unknown (%s after)", name, delay)
	}
	return fmt.Sprintf("%s %s after", name, delay)
}

func formatGaps(gaps []incident.PlacedGap) (rows []string) {
	for _, g := range gaps {
		what := "an unknown number of records"
		if g.From > 0 {
			what = fmt.Sprintf("%s records, %d to %d", formatCount(g.To-g.From+1), g.From, g.To)
		}
		rows = append(rows, fmt.Sprintf("%s: %s (%s), between %s and %s",
			record.Printable(g.Instance), what, g.Cause, formatMoment(g.Begin), formatMoment(g.End)))
	}
	return rows
}

// A namedCount is a name with its count.
type namedCount struct {
	Name string
	N    uint64
}

// sortedCounts returns the counts above 0, the largest first, equal ones by name.
func sortedCounts(m map[string]uint64) []namedCount {
	var all []namedCount
	for _, name := range slices.Sorted(maps.Keys(m)) {
		if m[name] > 0 {
			all = append(all, namedCount{name, m[name]})
		}
	}
	slices.SortStableFunc(all, func(a, b namedCount) int { return cmp.Compare(b.N, a.N) })
	return all
}
