package incident

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"olivedale/internal/record"
)

// Kinds of findings.
const (
	FoundPressure   = "server under pressure"
	FoundTurnedAway = "calls turned away"
	FoundCut        = "calls cut"
	FoundDrain      = "drain"
	FoundLateSend   = "sent to a server after the news"
	FoundCold       = "cold start"
	FoundPushed     = "cold server pushed"
	FoundKilled     = "instance ended without a word"
	FoundGap        = "records lost"
	FoundStep       = "clock set"
	FoundSkew       = "clocks differ"
	FoundUnanswered = "set-ups without an answer"
)

// Thresholds of the rules. docs/design/incident.md gives the reasons.
const (
	calm       = 5 * time.Second        // pressure that comes back within this is the same
	share      = 0.05                   // of the calls offered in a window, turned away or cut, are an incident
	least      = 5                      // that many at the least
	skewTold   = 100 * time.Millisecond // clocks that surely differ by more are told of
	pushedRate = 1.5                    // times what a cold server may get, before it is told
	pushedMin  = 20                     // sends
)

// A Finding is a part of the course of an incident, found by rule.
type Finding struct {
	Kind     string
	Server   string
	Instance string
	From, To Moment // To is From for what takes no time
	Open     bool   // it was not over at the end of the records
	Bad      bool   // a rule is broken or service was lost; otherwise it only tells the course
	Text     string
	Noticed  []Notice
	Refs     []Ref // records that it rests on
	AtLeast  bool  // records of that time are lost
}

// A Notice is when an instance noticed.
type Notice struct {
	Instance string
	At       Moment
	Lo, Hi   time.Duration // after the first
	Order    Order         // to the first: Unknown where the clocks do not tell
	Over     Moment
	Open     bool
	Least    float64 // lowest ceiling, set-ups a second
}

// find runs the rules.
func (r *Report) find(parts []*Part) {
	r.pressure(parts)
	r.surges()
	r.drains(parts)
	r.colds(parts)
	r.ends(parts)
	r.clocks()
	slices.SortStableFunc(r.Findings, func(a, b Finding) int { return cmp.Compare(a.From.Mid(), b.From.Mid()) })
	if n := len(r.Findings) - mostFindings; n > 0 {
		// What broke a rule is kept before what only tells the course.
		slices.SortStableFunc(r.Findings, func(a, b Finding) int {
			switch {
			case a.Bad && !b.Bad:
				return -1
			case b.Bad && !a.Bad:
				return 1
			}
			return 0
		})
		r.Skipped += uint64(n)
		r.Findings = r.Findings[:mostFindings]
		slices.SortStableFunc(r.Findings, func(a, b Finding) int { return cmp.Compare(a.From.Mid(), b.From.Mid()) })
	}
}

func (r *Report) found(f Finding) { r.Findings = append(r.Findings, f) }

// pressure finds when each server was under pressure: from the first instance that set a
// ceiling to the last whose ceiling lapsed.
func (r *Report) pressure(parts []*Part) {
	type seen struct {
		Notice
		ref, end Ref
	}
	by := make(map[string][]seen)
	for n, p := range parts {
		for _, x := range p.Pressures {
			s := seen{Notice: Notice{Instance: p.Instance, At: r.moment(n, x.start, x.From), Least: x.Least, Open: x.To == 0}, ref: x.Ref, end: x.End}
			to := x.To
			if s.Open {
				to = p.Starts[x.start].To
			}
			s.Over = r.moment(n, x.start, to)
			by[x.Server] = append(by[x.Server], s)
		}
	}
	for _, server := range sorted(by) {
		all := by[server]
		slices.SortStableFunc(all, func(a, b seen) int { return cmp.Compare(a.At.Mid(), b.At.Mid()) })
		for len(all) > 0 {
			f := Finding{Kind: FoundPressure, Server: server, From: all[0].At, To: all[0].Over}
			n := 0
			for n < len(all) && all[n].At.Mid() <= f.To.Mid()+calm {
				s := all[n]
				if s.Over.Mid() > f.To.Mid() {
					f.To = s.Over
				}
				f.Open = f.Open || s.Open
				first := !slices.ContainsFunc(f.Noticed, func(o Notice) bool { return o.Instance == s.Instance })
				if first && len(f.Noticed) < 64 {
					if n > 0 {
						s.Order = Compare(s.At, f.From)
						s.Lo, s.Hi, _ = Delay(f.From, s.At)
					}
					f.Noticed = append(f.Noticed, s.Notice)
				}
				if len(f.Refs) < 64 {
					f.Refs = append(f.Refs, s.ref)
					if s.end.Seq > 0 {
						f.Refs = append(f.Refs, s.end)
					}
				}
				n++
			}
			all = all[n:]
			c, gap := r.within(f.From.Mid(), f.To.Mid())
			f.AtLeast = gap
			f.Text = fmt.Sprintf("%d of %d instances noticed; %s turned away of %s offered meanwhile", len(f.Noticed), len(parts),
				count(c.TurnedAway()+c.Of(record.Failed), gap), count(c.Offered, gap))
			r.found(f)
		}
	}
}

// count writes a number that records which are lost may have missed.
func count(n uint64, atLeast bool) string {
	if atLeast {
		return fmt.Sprintf("at least %d", n)
	}
	return fmt.Sprint(n)
}

// surges finds the times in which calls were turned away or cut.
func (r *Report) surges() {
	for _, rule := range []struct {
		kind string
		of   func(*Counts) uint64
	}{
		{FoundTurnedAway, func(c *Counts) uint64 { return c.TurnedAway() + c.Of(record.Failed) }},
		{FoundCut, func(c *Counts) uint64 { return c.Cut }},
	} {
		for i := 0; i < len(r.Windows); {
			w := &r.Windows[i]
			met := func(w *Window) bool {
				n := rule.of(&w.Counts)
				return n >= least && float64(n) >= share*float64(w.Offered)
			}
			if !met(w) {
				i++
				continue
			}
			from := i
			var c Counts
			gap := false
			for ; i < len(r.Windows) && met(&r.Windows[i]); i++ {
				c.add(&r.Windows[i].Counts)
				gap = gap || r.Windows[i].Gap
			}
			f := Finding{Kind: rule.kind, From: r.line(r.Windows[from].At), To: r.line(r.Windows[i-1].At + r.Width), Bad: true, AtLeast: gap,
				Open: i == len(r.Windows)}
			f.Text = fmt.Sprintf("%s of %s offered in %d windows", count(rule.of(&c), gap), count(c.Offered, gap), i-from)
			r.found(f)
		}
	}
}

// line is a moment on the report's own time line.
func (r *Report) line(at Time) Moment {
	return Moment{Lo: at, Hi: at, Known: r.Reference != "", Peer: r.Reference, Source: -1, Own: at}
}

// drains finds, for each server that drained, the last send after the news, of all instances.
func (r *Report) drains(parts []*Part) {
	by := make(map[string][]Finding)
	for n, p := range parts {
		for _, d := range p.Drains {
			at := r.moment(n, d.start, d.At)
			f := Finding{Kind: FoundDrain, Server: d.Server, Instance: p.Instance, From: at, To: r.moment(n, d.start, d.At+d.Last), Refs: []Ref{d.Ref}}
			f.Text = fmt.Sprintf("%s; nothing was sent after the news", d.Phase)
			if d.Sent > 0 {
				f.Text = fmt.Sprintf("%s; %d sent after the news, the last after %v", d.Phase, d.Sent, d.Last.Round(time.Millisecond))
			}
			if d.Past > 0 {
				f.Kind, f.Bad = FoundLateSend, true
				f.Text += fmt.Sprintf("; %d of them later than %v", d.Past, news)
				r.found(f)
				continue
			}
			by[d.Server] = append(by[d.Server], f)
		}
	}
	for _, server := range sorted(by) {
		all := by[server]
		slices.SortStableFunc(all, func(a, b Finding) int { return cmp.Compare(a.From.Mid(), b.From.Mid()) })
		for len(all) > 0 { // the news of several instances of one drain are one finding
			f := all[0]
			f.Instance = ""
			n, most := 0, time.Duration(0)
			for ; n < len(all) && all[n].From.Mid()-f.From.Mid() < 10*time.Second; n++ {
				d := all[n]
				lo, hi, _ := Delay(f.From, d.From)
				notice := Notice{Instance: d.Instance, At: d.From, Over: d.To, Lo: lo, Hi: hi}
				if n > 0 {
					notice.Order = Compare(d.From, f.From)
				}
				f.Noticed = append(f.Noticed, notice)
				most = max(most, d.To.Own-d.From.Own)
				if d.To.Mid() > f.To.Mid() {
					f.To = d.To
				}
				if n > 0 && len(f.Refs) < 64 {
					f.Refs = append(f.Refs, d.Refs...)
				}
			}
			if all = all[n:]; n > 1 {
				phase, _, _ := strings.Cut(f.Text, ";")
				sent := "nothing was sent after the news"
				if most > 0 {
					sent = fmt.Sprintf("the last send was %v after the news", most.Round(time.Millisecond))
				}
				f.Text = fmt.Sprintf("%s; %d instances heard of it, %s", phase, n, sent)
			}
			r.found(f)
		}
	}
}

// colds finds cold starts, with what all instances sent there against what the time allowed:
// the share that a starting server can do grows evenly, so a fifth of that time may bring what
// the last one did, less its part.
func (r *Report) colds(parts []*Part) {
	type start struct {
		server string
		at     Time
	}
	all := make(map[start]*Finding)
	steps := make(map[start]*[5]uint64)
	var order []start
	for n, p := range parts {
		for _, c := range p.Colds {
			// One start of a server has one time, the list's, for all instances.
			k := start{c.Server, c.Started}
			f := all[k]
			if f == nil {
				f = &Finding{Kind: FoundCold, Server: c.Server, From: r.moment(n, c.start, c.Heard)}
				all[k], steps[k] = f, &[5]uint64{}
				order = append(order, k)
			}
			if len(f.Refs) < 64 {
				f.Refs = append(f.Refs, c.Ref)
			}
			f.To = r.moment(n, c.start, max(c.Started+c.Warm, c.Heard))
			for i, v := range c.Steps {
				steps[k][i] += v
			}
		}
	}
	for _, k := range order {
		f, s := all[k], steps[k]
		total := uint64(0)
		for _, v := range s {
			total += v
		}
		f.Text = fmt.Sprintf("%d sent while it was cold, by fifths of that time %v", total, *s)
		for i := range 4 {
			allowed := pushedRate * float64(s[4]) * (float64(i) + 0.5) / 4.5
			if total >= pushedMin && float64(s[i]) > max(allowed, float64(pushedMin)/2) {
				f.Kind = FoundPushed
				f.Text += fmt.Sprintf("; %d in fifth %d, %.0f allowed", s[i], i+1, allowed)
				break
			}
		}
		r.found(*f)
	}
}

// ends finds instances that ended without a word, gaps, and set-ups without an answer.
func (r *Report) ends(parts []*Part) {
	for n, p := range parts {
		for i := range p.Starts {
			s := &p.Starts[i]
			if s.Clean || i == len(p.Starts)-1 {
				continue
			}
			next := r.moment(n, i+1, p.Starts[i+1].From)
			f := Finding{Kind: FoundKilled, Instance: p.Instance, From: r.moment(n, i, s.To), To: next, Bad: true, AtLeast: true,
				Refs: []Ref{{p.Instance, fmt.Sprintf("%016x", s.Boot), 0}}}
			f.Text = fmt.Sprintf("the last record is of %v before the next start", (next.Mid() - f.From.Mid()).Round(time.Millisecond))
			r.found(f)
		}
		for _, g := range p.Gaps {
			if g.From == 0 {
				continue // told as the end of a start
			}
			f := Finding{Kind: FoundGap, Instance: p.Instance, From: r.moment(n, g.start, g.Since), To: r.moment(n, g.start, g.Until), Bad: true, AtLeast: true,
				Refs: []Ref{{p.Instance, fmt.Sprintf("%016x", p.Starts[g.start].Boot), g.To}}}
			f.Text = fmt.Sprintf("%d records, %d to %d: %s", g.To-g.From+1, g.From, g.To, g.Cause)
			r.found(f)
		}
		if lacks := p.NoAnswer[WhyNone]; lacks > 0 {
			f := Finding{Kind: FoundUnanswered, Instance: p.Instance, Bad: true, Text: fmt.Sprintf("%d: %s", lacks, WhyNone)}
			for _, u := range p.Unanswered {
				if u.Why == WhyNone && len(f.Refs) < 16 {
					if f.Refs = append(f.Refs, u.Ref); len(f.Refs) == 1 {
						f.From = r.moment(n, u.start, u.At)
					}
					f.To = r.moment(n, u.start, u.At)
				}
			}
			r.found(f)
		}
	}
}

// clocks finds clocks that were set and clocks that surely differ.
func (r *Report) clocks() {
	for _, i := range r.Instances {
		for _, s := range i.Starts {
			for _, step := range s.Steps {
				if step.By > -skewTold && step.By < skewTold {
					continue // the system's clock is disciplined
				}
				at := s.Offset.moment(s.From.Source, step.At)
				r.found(Finding{Kind: FoundStep, Instance: i.Name, From: at, To: at, Text: fmt.Sprintf("the system's clock was set by %v; times here do not follow it", step.By.Round(time.Millisecond))})
			}
			if o := s.Offset; o.Known && (o.Lo > skewTold || o.Hi < -skewTold) {
				r.found(Finding{Kind: FoundSkew, Instance: i.Name, From: s.From, To: s.To,
					Text: fmt.Sprintf("%v to %v ahead of %s; times here are corrected", o.Lo.Round(time.Millisecond), o.Hi.Round(time.Millisecond), o.Peer)})
			}
		}
	}
}
