package report

import (
	_ "embed" // the page
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"olivedale/internal/incident"
	"olivedale/internal/record"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"text": record.Printable, "count": grouped, "ms": milli, "stamp": stamp, "clock": clock, "pairs": pairs,
}).Parse(pageText))

// grouped writes a number with thin gaps between thousands.
func grouped(n uint64) string {
	s := strconv.FormatUint(n, 10)
	for i := len(s) - 3; i > 0; i -= 3 {
		s = s[:i] + "\u202f" + s[i:]
	}
	return s
}

// milli writes a duration in milliseconds, or seconds where it is long.
func milli(d time.Duration) string {
	switch {
	case d == 0:
		return "–"
	case d >= 10*time.Second:
		return fmt.Sprintf("%.1f s", d.Seconds())
	case d < 10*time.Millisecond:
		return fmt.Sprintf("%.1f ms", ms(d))
	}
	return fmt.Sprintf("%.0f ms", ms(d))
}

// clock writes a moment with how sure it is.
func clock(m incident.Moment) string {
	s := record.Unix(m.Mid()).Format("01-02 15:04:05.000")
	if half := (m.Hi - m.Lo) / 2; half >= time.Millisecond {
		s += " ±" + milli(half)
	}
	return s
}

// A pair is a name with its count.
type pair struct {
	Name string
	N    uint64
}

// pairs sorts counts, the most first.
func pairs(m map[string]uint64) []pair {
	var all []pair
	for _, name := range slices.Sorted(maps.Keys(m)) {
		if m[name] > 0 {
			all = append(all, pair{name, m[name]})
		}
	}
	slices.SortStableFunc(all, func(a, b pair) int {
		switch {
		case a.N > b.N:
			return -1
		case a.N < b.N:
			return 1
		}
		return 0
	})
	return all
}

// A Row is one line of a table of counts.
type Row struct {
	Name                                                                       string
	Note                                                                       string // "at least"
	Offered, Stood, Late, Refused, Failed, GivenUp, Other, Cut, Tries, Retried uint64
	P50, P95, P99                                                              time.Duration
}

func rowOf(name string, t *incident.Tally, atLeast bool) Row {
	r := Row{Name: name, Offered: t.Offered, Stood: t.Stood(), Late: t.Late, Refused: t.TurnedAway(), Failed: t.Of(record.Failed), GivenUp: t.Of(record.GivenUp),
		Other: t.Of(record.Reused) + t.Of(record.Impossible) + t.Of(record.Barred), Cut: t.Cut, Tries: t.Tries, Retried: t.Retried,
		P50: t.Percentile(50), P95: t.Percentile(95), P99: t.Percentile(99)}
	if atLeast {
		r.Note = "at least"
	}
	return r
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

// A foundRow is one line of the table of findings.
type foundRow struct {
	N          int
	Kind       string
	Who        string
	From, To   string
	Took       string
	Text       string
	Bad        bool
	Noticed    []string
	Refs       []string
	Incomplete bool
}

// WriteHTML writes the account as one file that needs nothing else. All that comes from
// records is escaped by html/template and by the drawing of plots.
func (r *Result) WriteHTML(w io.Writer, made time.Time) error {
	type plots struct{ Calls, Delays, Servers template.HTML }
	v := struct {
		*Result
		Made      string
		Span      string
		Plots     plots
		Sum       Row
		ByClass   []Row
		ByServer  []Row
		ByInst    []instanceRow
		Found     []foundRow
		Bad       int
		GapRows   []string
		Compared  int
		WidthText string
		Answered  uint64
	}{Result: r, Made: made.UTC().Format("2006-01-02 15:04:05 UTC"), Sum: rowOf("all", &r.Total, r.AtLeast), Answered: r.Total.Answered(), WidthText: r.Width.String()}
	if len(r.Windows) > 0 {
		v.Span = (r.To - r.From).Round(time.Millisecond).String()
		var err error
		if v.Plots.Calls, err = r.calls(); err != nil {
			return err
		}
		if v.Plots.Delays, err = r.delays(); err != nil {
			return err
		}
		if v.Plots.Servers, err = r.servers(); err != nil {
			return err
		}
	}
	for _, c := range r.Classes {
		v.ByClass = append(v.ByClass, rowOf(c.Name, c.Tally, r.AtLeast))
	}
	for _, s := range r.Servers {
		v.ByServer = append(v.ByServer, rowOf(s.Name, s.Tally, r.AtLeast))
	}
	for _, i := range r.Instances {
		v.ByInst = append(v.ByInst, instanceOf(i))
		if offset(i) != "" {
			v.Compared++
		}
	}
	for n, f := range r.Findings {
		v.Found = append(v.Found, foundOf(n+1, f))
		if f.Bad {
			v.Bad++
		}
	}
	for _, g := range r.Gaps {
		what := "an unknown number of records"
		if g.From > 0 {
			what = fmt.Sprintf("%s records, %d to %d", grouped(g.To-g.From+1), g.From, g.To)
		}
		v.GapRows = append(v.GapRows, fmt.Sprintf("%s: %s (%s), between %s and %s", record.Printable(g.Instance), what, g.Cause, clock(g.Begin), clock(g.End)))
	}
	if err := page.Execute(w, v); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

func instanceOf(i incident.Instance) instanceRow {
	x := instanceRow{Row: rowOf(i.Name, i.Total, i.AtLeast), Starts: len(i.Starts), Records: i.Records, Lost: i.Lost, Ahead: "not compared", End: "in good order"}
	for n, s := range i.Starts {
		x.Steps += len(s.Steps)
		if !s.Clean && n < len(i.Starts)-1 {
			x.Killed++
		}
	}
	if o := offset(i); o != "" {
		x.Ahead = o
	}
	if i.Live {
		x.End = "none: runs or was killed"
	}
	return x
}

func foundOf(n int, f incident.Finding) foundRow {
	who := []string{}
	for _, name := range []string{f.Server, f.Instance} {
		if name != "" {
			who = append(who, record.Printable(name))
		}
	}
	x := foundRow{N: n, Kind: f.Kind, Who: strings.Join(who, ", "), From: clock(f.From), To: clock(f.To), Text: record.Printable(f.Text), Bad: f.Bad, Incomplete: f.AtLeast}
	if lo, hi, known := incident.Delay(f.From, f.To); known && hi > 0 {
		x.Took = milli((lo + hi) / 2)
	}
	if f.Open {
		x.To = "not over"
	}
	for i, k := range f.Noticed {
		text := record.Printable(k.Instance)
		switch {
		case i == 0:
			text += " first"
		case k.Order == incident.Unknown && k.Lo == 0 && k.Hi == 0:
			text += ": order unknown, clocks were not compared"
		case k.Order == incident.Unknown:
			text += fmt.Sprintf(": order unknown (%s to %s after)", signed(k.Lo), signed(k.Hi))
		default:
			text += fmt.Sprintf(" %s to %s after", signed(k.Lo), signed(k.Hi))
		}
		x.Noticed = append(x.Noticed, text)
	}
	for _, ref := range f.Refs {
		x.Refs = append(x.Refs, fmt.Sprintf("%s/%s/%d", record.Printable(ref.Instance), ref.Boot, ref.Seq))
	}
	return x
}

func signed(d time.Duration) string {
	if d < 0 {
		return "-" + milli(-d)
	}
	return milli(d)
}
