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
	FoundOverload     = "server under pressure"
	FoundRejections   = "calls turned away"
	FoundDropped      = "calls cut"
	FoundDrain        = "drain"
	FoundLateSend     = "sent to a server after the news"
	FoundCold         = "cold start"
	FoundColdOverload = "cold server pushed"
	FoundKilled       = "instance ended without a word"
	FoundGap          = "records lost"
	FoundStep         = "clock set"
	FoundSkew         = "clocks differ"
	FoundUnanswered   = "set-ups without an answer"
)

// Thresholds of the rules. docs/design/incident.md gives the reasons.
const (
	overloadMergeGap   = 5 * time.Second        // pressure that comes back within this is the same
	surgeShare         = 0.05                   // of the calls offered in a window, turned away or cut, are an incident
	minSurge           = 5                      // that many at the least
	reportedSkew       = 100 * time.Millisecond // clocks that surely differ by more are told of
	coldOverloadFactor = 1.5                    // times what a cold server may get, before it is told
	minColdSends       = 20                     // sends
)

// A Finding is a part of the course of an incident, found by rule.
type Finding struct {
	Kind       string
	Server     string
	Instance   string
	From, To   Moment // To is From for what takes no time
	Ongoing    bool   // it was not over at the end of the records
	IsFault    bool   // a rule is broken or service was lost; otherwise it only tells the course
	Text       string
	Noticed    []Notice
	Refs       []Ref // records that it rests on
	Incomplete bool  // records of that time are lost
}

// A Notice is when an instance noticed.
type Notice struct {
	Instance           string
	At                 Moment
	MinDelay, MaxDelay time.Duration // after the first
	Order              Order         // to the first: Unknown where the clocks do not tell
	End                Moment
	Ongoing            bool
	MinRate            float64 // lowest ceiling, set-ups a second
}

// findAll runs the rules.
func (r *Report) findAll(parts []*Part) {
	r.findOverload(parts)
	r.findSurges()
	r.findDrains(parts)
	r.findColdStarts(parts)
	r.findLosses(parts)
	r.findClockFaults()
	slices.SortStableFunc(r.Findings, func(a, b Finding) int { return cmp.Compare(a.From.Mid(), b.From.Mid()) })
	if n := len(r.Findings) - maxFindings; n > 0 {
		// What broke a rule is kept before what only tells the course.
		slices.SortStableFunc(r.Findings, func(a, b Finding) int {
			switch {
			case a.IsFault && !b.IsFault:
				return -1
			case b.IsFault && !a.IsFault:
				return 1
			}
			return 0
		})
		r.OmittedEntries += uint64(n)
		r.Findings = r.Findings[:maxFindings]
		slices.SortStableFunc(r.Findings, func(a, b Finding) int { return cmp.Compare(a.From.Mid(), b.From.Mid()) })
	}
}

func (r *Report) add(f Finding) { r.Findings = append(r.Findings, f) }

// findOverload finds when each server was under findOverload: from the first instance that set a
// ceiling to the last whose ceiling lapsed.
func (r *Report) findOverload(parts []*Part) {
	type seen struct {
		Notice
		ref, end Ref
	}
	by := make(map[string][]seen)
	for n, p := range parts {
		for _, x := range p.OverloadPeriods {
			s := seen{Notice: Notice{Instance: p.Instance, At: r.moment(n, x.startIndex, x.From), MinRate: x.MinRate, Ongoing: x.To == 0}, ref: x.Ref, end: x.End}
			to := x.To
			if s.Ongoing {
				to = p.Starts[x.startIndex].To
			}
			s.End = r.moment(n, x.startIndex, to)
			by[x.Server] = append(by[x.Server], s)
		}
	}
	for _, server := range sortedKeys(by) {
		all := by[server]
		slices.SortStableFunc(all, func(a, b seen) int { return cmp.Compare(a.At.Mid(), b.At.Mid()) })
		for len(all) > 0 {
			f := Finding{Kind: FoundOverload, Server: server, From: all[0].At, To: all[0].End}
			n := 0
			for n < len(all) && all[n].At.Mid() <= f.To.Mid()+overloadMergeGap {
				s := all[n]
				if s.End.Mid() > f.To.Mid() {
					f.To = s.End
				}
				f.Ongoing = f.Ongoing || s.Ongoing
				first := !slices.ContainsFunc(f.Noticed, func(o Notice) bool { return o.Instance == s.Instance })
				if first && len(f.Noticed) < 64 {
					if n > 0 {
						s.Order = Compare(s.At, f.From)
						s.MinDelay, s.MaxDelay, _ = Delay(f.From, s.At)
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
			c, gap := r.sumWithin(f.From.Mid(), f.To.Mid())
			f.Incomplete = gap
			f.Text = fmt.Sprintf("%d of %d instances noticed; %s turned away of %s offered meanwhile", len(f.Noticed), len(parts),
				formatCount(c.Rejected()+c.Outcome(record.Failed), gap), formatCount(c.Offered, gap))
			r.add(f)
		}
	}
}

// formatCount writes a number that records which are lost may have missed.
func formatCount(n uint64, atLeast bool) string {
	if atLeast {
		return fmt.Sprintf("at least %d", n)
	}
	return fmt.Sprint(n)
}

// findSurges finds the times in which calls were turned away or cut.
func (r *Report) findSurges() {
	for _, rule := range []struct {
		kind string
		of   func(*Counts) uint64
	}{
		{FoundRejections, func(c *Counts) uint64 { return c.Rejected() + c.Outcome(record.Failed) }},
		{FoundDropped, func(c *Counts) uint64 { return c.Dropped }},
	} {
		for i := 0; i < len(r.Windows); {
			w := &r.Windows[i]
			met := func(w *Window) bool {
				n := rule.of(&w.Counts)
				return n >= minSurge && float64(n) >= surgeShare*float64(w.Offered)
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
			f := Finding{Kind: rule.kind, From: r.onTimeLine(r.Windows[from].At), To: r.onTimeLine(r.Windows[i-1].At + r.Width), IsFault: true, Incomplete: gap,
				Ongoing: i == len(r.Windows)}
			f.Text = fmt.Sprintf("%s of %s offered in %d windows", formatCount(rule.of(&c), gap), formatCount(c.Offered, gap), i-from)
			r.add(f)
		}
	}
}

// onTimeLine is a moment on the report's own time onTimeLine.
func (r *Report) onTimeLine(at Time) Moment {
	return Moment{Earliest: at, Latest: at, Known: r.Reference != "", Peer: r.Reference, Source: -1, Own: at}
}

// findDrains finds, for each server that drained, the last send after the news, of all instances.
func (r *Report) findDrains(parts []*Part) {
	by := make(map[string][]Finding)
	for n, p := range parts {
		for _, d := range p.Drains {
			at := r.moment(n, d.startIndex, d.At)
			f := Finding{Kind: FoundDrain, Server: d.Server, Instance: p.Instance, From: at, To: r.moment(n, d.startIndex, d.At+d.LastSend), Refs: []Ref{d.Ref}}
			f.Text = fmt.Sprintf("%s; nothing was sent after the news", d.Phase)
			if d.Sent > 0 {
				f.Text = fmt.Sprintf("%s; %d sent after the news, the last after %v", d.Phase, d.Sent, d.LastSend.Round(time.Millisecond))
			}
			if d.SentLate > 0 {
				f.Kind, f.IsFault = FoundLateSend, true
				f.Text += fmt.Sprintf("; %d of them later than %v", d.SentLate, drainGrace)
				r.add(f)
				continue
			}
			by[d.Server] = append(by[d.Server], f)
		}
	}
	for _, server := range sortedKeys(by) {
		all := by[server]
		slices.SortStableFunc(all, func(a, b Finding) int { return cmp.Compare(a.From.Mid(), b.From.Mid()) })
		for len(all) > 0 { // the news of several instances of one drain are one finding
			f := all[0]
			f.Instance = ""
			n, most := 0, time.Duration(0)
			for ; n < len(all) && all[n].From.Mid()-f.From.Mid() < 10*time.Second; n++ {
				d := all[n]
				lo, hi, _ := Delay(f.From, d.From)
				notice := Notice{Instance: d.Instance, At: d.From, End: d.To, MinDelay: lo, MaxDelay: hi}
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
			r.add(f)
		}
	}
}

// findColdStarts finds cold starts, with what all instances sent there against what the time allowed:
// the share that a starting server can do grows evenly, so a fifth of that time may bring what
// the last one did, less its part.
func (r *Report) findColdStarts(parts []*Part) {
	type start struct {
		server string
		at     Time
	}
	all := make(map[start]*Finding)
	steps := make(map[start]*[5]uint64)
	var order []start
	for n, p := range parts {
		for _, c := range p.ColdStarts {
			// One start of a server has one time, the list's, for all instances.
			k := start{c.Server, c.Started}
			f := all[k]
			if f == nil {
				f = &Finding{Kind: FoundCold, Server: c.Server, From: r.moment(n, c.startIndex, c.NoticedAt)}
				all[k], steps[k] = f, &[5]uint64{}
				order = append(order, k)
			}
			if len(f.Refs) < 64 {
				f.Refs = append(f.Refs, c.Ref)
			}
			f.To = r.moment(n, c.startIndex, max(c.Started+c.Period, c.NoticedAt))
			for i, v := range c.SentByFifth {
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
			allowed := coldOverloadFactor * float64(s[4]) * (float64(i) + 0.5) / 4.5
			if total >= minColdSends && float64(s[i]) > max(allowed, float64(minColdSends)/2) {
				f.Kind = FoundColdOverload
				f.Text += fmt.Sprintf("; %d in fifth %d, %.0f allowed", s[i], i+1, allowed)
				break
			}
		}
		r.add(*f)
	}
}

// findLosses finds instances that ended without a word, gaps, and set-ups without an answer.
func (r *Report) findLosses(parts []*Part) {
	for n, p := range parts {
		for i := range p.Starts {
			s := &p.Starts[i]
			if s.Clean || i == len(p.Starts)-1 {
				continue
			}
			next := r.moment(n, i+1, p.Starts[i+1].From)
			f := Finding{Kind: FoundKilled, Instance: p.Instance, From: r.moment(n, i, s.To), To: next, IsFault: true, Incomplete: true,
				Refs: []Ref{{p.Instance, fmt.Sprintf("%016x", s.Boot), 0}}}
			f.Text = fmt.Sprintf("the last record is of %v before the next start", (next.Mid() - f.From.Mid()).Round(time.Millisecond))
			r.add(f)
		}
		for _, g := range p.Gaps {
			if g.From == 0 {
				continue // told as the end of a start
			}
			f := Finding{Kind: FoundGap, Instance: p.Instance, From: r.moment(n, g.startIndex, g.Since), To: r.moment(n, g.startIndex, g.Until), IsFault: true, Incomplete: true,
				Refs: []Ref{{p.Instance, fmt.Sprintf("%016x", p.Starts[g.startIndex].Boot), g.To}}}
			f.Text = fmt.Sprintf("%d records, %d to %d: %s", g.To-g.From+1, g.From, g.To, g.Cause)
			r.add(f)
		}
		if lacks := p.NoAnswer[ReasonUnknown]; lacks > 0 {
			f := Finding{Kind: FoundUnanswered, Instance: p.Instance, IsFault: true, Text: fmt.Sprintf("%d: %s", lacks, ReasonUnknown)}
			for _, u := range p.Unanswered {
				if u.Reason == ReasonUnknown && len(f.Refs) < 16 {
					if f.Refs = append(f.Refs, u.Ref); len(f.Refs) == 1 {
						f.From = r.moment(n, u.startIndex, u.At)
					}
					f.To = r.moment(n, u.startIndex, u.At)
				}
			}
			r.add(f)
		}
	}
}

// findClockFaults finds findClockFaults that were set and findClockFaults that surely differ.
func (r *Report) findClockFaults() {
	for _, i := range r.Instances {
		for _, s := range i.Starts {
			for _, step := range s.Steps {
				if step.By > -reportedSkew && step.By < reportedSkew {
					continue // the system's clock is disciplined
				}
				at := s.Offset.moment(s.From.Source, step.At)
				r.add(Finding{Kind: FoundStep, Instance: i.Name, From: at, To: at, Text: fmt.Sprintf("the system's clock was set by %v; times here do not follow it", step.By.Round(time.Millisecond))})
			}
			if o := s.Offset; o.Known && (o.Min > reportedSkew || o.Max < -reportedSkew) {
				r.add(Finding{Kind: FoundSkew, Instance: i.Name, From: s.From, To: s.To,
					Text: fmt.Sprintf("%v to %v ahead of %s; times here are corrected", o.Min.Round(time.Millisecond), o.Max.Round(time.Millisecond), o.Peer)})
			}
		}
	}
}
