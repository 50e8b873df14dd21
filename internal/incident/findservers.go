package incident

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	drainMergeGap      = 10 * time.Second // one drain is announced to all instances within this time
	coldOverloadFactor = 1.5              // multiple of a cold server's allowed share above which it is reported
	minColdSends       = 20
)

const nothingSent = "nothing was sent after the announcement"

// findDrains finds, for each server that was drained, the last attempt of any instance after the announcement.
func (r *Report) findDrains(parts []*Part) {
	byServer := make(map[string][]Finding)
	for n, p := range parts {
		for _, d := range p.Drains {
			f := r.newDrain(n, p.Instance, d)
			if f.IsFault {
				r.add(f)
				continue
			}
			byServer[d.Server] = append(byServer[d.Server], f)
		}
	}
	for _, server := range sortedKeys(byServer) {
		drains := byServer[server]
		slices.SortStableFunc(drains, func(a, b Finding) int { return compareMid(a.From, b.From) })
		for len(drains) > 0 {
			f, n := mergeDrains(drains)
			drains = drains[n:]
			r.add(f)
		}
	}
}

// newDrain returns the finding for a drain as one instance saw it. An attempt later than drainGrace makes it a fault.
func (r *Report) newDrain(part int, instance string, d Drain) Finding {
	f := Finding{
		Kind:     FoundDrain,
		Server:   d.Server,
		Instance: instance,
		From:     r.moment(part, d.startIndex, d.At),
		To:       r.moment(part, d.startIndex, d.At+d.LastSend),
		Refs:     []Ref{d.Ref},
		Text:     d.Phase + "; " + nothingSent,
	}
	if d.Sent > 0 {
		f.Text = fmt.Sprintf("%s; %d sent after the announcement, the last after %v",
			d.Phase, d.Sent, d.LastSend.Round(time.Millisecond))
	}
	if d.SentLate > 0 {
		f.Kind, f.IsFault = FoundLateSend, true
		f.Text += fmt.Sprintf("; %d of them later than %v", d.SentLate, drainGrace)
	}
	return f
}

// mergeDrains returns one finding for the leading announcements, which belong to one drain, and their number.
func mergeDrains(drains []Finding) (f Finding, n int) {
	f = drains[0]
	f.Instance = ""
	lastSend := time.Duration(0)
	for ; n < len(drains) && drains[n].From.Mid()-f.From.Mid() < drainMergeGap; n++ {
		d := drains[n]
		notice := Notice{Instance: d.Instance, At: d.From, End: d.To}
		notice.MinDelay, notice.MaxDelay, _ = Delay(f.From, d.From)
		if n > 0 {
			notice.Order = Compare(d.From, f.From)
			f.addRef(d.Refs...)
		}
		f.Noticed = append(f.Noticed, notice)
		lastSend = max(lastSend, d.To.Own-d.From.Own)
		if d.To.Mid() > f.To.Mid() {
			f.To = d.To
		}
	}
	if n == 1 {
		return f, n
	}
	phase, _, _ := strings.Cut(f.Text, ";")
	sent := nothingSent
	if lastSend > 0 {
		sent = fmt.Sprintf("the last attempt was %v after the announcement", lastSend.Round(time.Millisecond))
	}
	f.Text = fmt.Sprintf("%s; %d instances were notified, %s", phase, n, sent)
	return f, n
}

// A serverStart identifies one start of a server. Its time comes from the endpoint list and is the same for all
// instances.
type serverStart struct {
	server string
	at     Time
}

// A coldStartSum is what all instances sent to a server during its slow-start period.
type coldStartSum struct {
	Finding
	sentByFifth [slowStartFifths]uint64
}

// findColdStarts finds cold starts, and compares the attempts of all instances with what the slow-start period allows.
// The load that a starting server can take grows linearly, so each fifth of the period is compared with the last one.
func (r *Report) findColdStarts(parts []*Part) {
	sums := make(map[serverStart]*coldStartSum)
	var order []*coldStartSum
	for n, p := range parts {
		for _, c := range p.ColdStarts {
			key := serverStart{c.Server, c.Started}
			sum := sums[key]
			if sum == nil {
				from := r.moment(n, c.startIndex, c.NoticedAt)
				sum = &coldStartSum{Finding: Finding{Kind: FoundCold, Server: c.Server, From: from}}
				sums[key] = sum
				order = append(order, sum)
			}
			sum.addRef(c.Ref)
			sum.To = r.moment(n, c.startIndex, max(c.Started+c.Period, c.NoticedAt))
			for i, sent := range c.SentByFifth {
				sum.sentByFifth[i] += sent
			}
		}
	}
	for _, sum := range order {
		sum.classify()
		r.add(sum.Finding)
	}
}

// classify sets the text of the finding, and its kind if the server got more attempts than it could take.
func (s *coldStartSum) classify() {
	total := uint64(0)
	for _, sent := range s.sentByFifth {
		total += sent
	}
	s.Text = fmt.Sprintf("%d sent during slow start, by fifths of the period %v", total, s.sentByFifth)
	if total < minColdSends {
		return
	}
	const last = slowStartFifths - 1
	for i, sent := range s.sentByFifth[:last] {
		// With linear growth, the loads that two fifths allow are proportional to the middles of the fifths.
		allowed := coldOverloadFactor * float64(s.sentByFifth[last]) * (float64(i) + 0.5) / (last + 0.5)
		if float64(sent) > max(allowed, float64(minColdSends)/2) {
			s.Kind = FoundColdOverload
			s.Text += fmt.Sprintf("; %d in fifth %d, %.0f allowed", sent, i+1, allowed)
			return
		}
	}
}
