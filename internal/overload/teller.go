package overload

import (
	"cmp"
	"math"
	"slices"
)

// Figures of a teller.
const (
	leastFresh = 2500 * ms // a report counts for so long at least, and for five periods
	callIn     = 1000 * ms // all are asked for reports once in this at most
	coolDown   = 3000 * ms // without evidence for so long, no more reports are asked for
	mostKept   = 64        // servers of which a teller keeps sums; the least busy go first
	smoothed   = 1.0       // seconds over which sums are smoothed
	target     = 0.5       // of the late mark: a server that has calls wait longer is pressed
	clearBy    = 10.0      // late marks in which a wait is to be cleared
	deepest    = 0.25      // of the answered rate: a budget is cut to no less at once
	regrow     = 0.6       // a second: a budget grows by this while the wait is short
	roomy      = 1.02      // a budget that is so many times what is offered for roomyFor binds nobody
	roomyFor   = 2000 * ms
	// What one controller tells weighs so many times the median at most. Chances come from ratios of sums, so that
	// what is cut off busy controllers is cut off both sides.
	heaviest  = 1.5
	lightest  = 1.0  // calls a second that one may tell of in any case
	atLeast   = 0.2  // a second: the weight of a wait of a call that alone is out
	fadeBest  = 0.02 // a second: what a server carried at most is forgotten by this
	fadeCan   = 0.10 // a second: so is what it answered while it was pressed
	resume    = 0.9  // of that a budget begins again with once calls wait no longer
	mostHeld  = 250  // of 255: a word never holds back all
	leastFlow = 0.5  // answers a second: a server that gives fewer while calls wait is silent; also the least budget
)

// A sum is what the fleet does at a server, by what its controllers told a teller, and what follows.
type sum struct {
	key    uint32
	off    [tiers]float64 // calls a second of which it is the first choice, by tier
	over   float64        // other set-ups a second
	done   float64        // answers a second
	wait   float64        // seconds that calls have to wait, the median of what controllers tell
	told   int            // controllers that told of a wait
	best   float64        // answers a second that it gave while calls stood in time, at most
	can    float64        // answers a second that it gave while calls had to wait
	budget float64        // set-ups a second that it is to be sent; +Inf: nothing is held back
	room   Time           // since when the budget has been more than what is offered; 0: it is not
	seen   Time           // when any controller last told of it
}

// offered is all calls a second that want to go there first.
func (s *sum) offered() (all float64) {
	for _, x := range s.off {
		all += x
	}
	return all
}

// A teller sums up what controllers tell it, and tells them what all of them together hold back. It is
// Sabourin's mechanism over the sum of those who report to it: the estimate is of what they offer, the
// ceiling of what was answered to them.
type teller struct {
	late     float64 // seconds
	freshFor Time    // a report counts for so long
	beat     Time
	peers    []peer
	sums     map[uint32]*sum
	hot      Time // evidence of pressure came last
	heard    Time // a report came last
	called   Time // all were asked for reports last
	period   uint32
	ran      Time // when the sums were last made
	most     int  // controllers there at once, of late
}

func newTeller(peers int, late, beat, period Time) *teller {
	return &teller{freshFor: max(leastFresh, 5*period), late: late.Seconds(), beat: beat, peers: make([]peer, peers), sums: make(map[uint32]*sum)}
}

// hear takes a report. It tells whether it was news.
func (t *teller) hear(now Time, r *report) bool {
	if r.from >= len(t.peers) {
		return false
	}
	if t.heard > 0 && now-t.heard > Time(suspectAfter*float64(t.beat)) {
		clear(t.peers) // another had the part in the meantime: who was silent here may have spoken there
	}
	if !t.peers[r.from].takes(now, r, t.beat) {
		return false
	}
	t.heard = now
	if r.hot {
		t.peers[r.from].hot = now
		if t.evidence(now) {
			t.hot = now
		}
	}
	return true
}

// evidence tells whether enough controllers have found a server slow of late: one in fifty. In calm there is
// always one of hundreds that meets a late answer, and all would be asked to report for it.
func (t *teller) evidence(now Time) bool {
	hot, there := 0, 0
	for i := range t.peers {
		p := &t.peers[i]
		if p.presence(now, t.beat) == Alive {
			there++
		}
		if p.hot > 0 && now-p.hot < coolDown {
			hot++
		}
	}
	return hot*50 >= there
}

// reporting tells whether reports are wanted often.
func (t *teller) reporting(now Time) bool {
	if t.hot > 0 && now-t.hot < coolDown {
		return true
	}
	for _, s := range t.sums {
		if !math.IsInf(s.budget, 1) {
			return true
		}
	}
	return false
}

// weigh is by how much each controller's counts are made less: what one tells has the weight of heaviest
// median ones at most, so that a few that lie, or one that counts in a loop, cannot speak for all.
func (t *teller) weigh(now Time) []float64 {
	rates := make([]float64, len(t.peers))
	var all []float64
	for i := range t.peers {
		if r := t.fresh(now, i); r != nil {
			n := 0
			for _, s := range r.sights {
				n += max(s.off[0]+s.off[1]+s.off[2]+s.off[3]+s.over, s.done)
			}
			if rates[i] = float64(n) / r.seconds(); n > 0 {
				all = append(all, rates[i])
			}
		}
	}
	most := max(heaviest*median(all), lightest)
	for i, r := range rates {
		rates[i] = min(1, most/max(r, most))
	}
	return rates
}

// A weighted is a figure with its weight.
type weighted struct{ v, w float64 }

// middle is the weighted median of some figures, which it sorts; 0 of none.
func middle(all []weighted) float64 {
	slices.SortFunc(all, func(a, b weighted) int { return cmp.Compare(a.v, b.v) })
	sum := 0.0
	for _, x := range all {
		sum += x.w
	}
	for _, x := range all {
		if sum -= 2 * x.w; sum <= 0 {
			return x.v
		}
	}
	return 0
}

// seconds is the span of a report; one of nothing counts as a short one.
func (r *report) seconds() float64 { return max(float64(r.span)*waitUnit/1e9, 0.1) }

// fresh is a controller's report if it still counts.
func (t *teller) fresh(now Time, i int) *report {
	p := &t.peers[i]
	if p.last == nil || now-p.heard > t.freshFor {
		p.last = nil
		return nil
	}
	return p.last
}

// count makes the sums anew and settles the budgets.
func (t *teller) count(now Time) {
	dt := min((now - t.ran).Seconds(), 2)
	t.ran = now
	weight := t.weigh(now)
	raw, waits := make(map[uint32]*sum), make(map[uint32][]weighted)
	for i := range t.peers {
		r := t.fresh(now, i)
		if r == nil {
			continue
		}
		for _, x := range r.sights {
			s := raw[x.key]
			if s == nil {
				if len(raw) >= 2*mostKept { // guards memory against keys that nobody has
					continue
				}
				s = &sum{}
				raw[x.key] = s
			}
			per := weight[i] / r.seconds()
			for k, n := range x.off {
				s.off[k] += per * float64(n)
			}
			s.over += per * float64(x.over)
			s.done += per * float64(x.done)
			if x.wait > 0 {
				// What a controller tells of a wait has the weight of what it does there, so that those that tell of
				// all servers all the time do not speak for those that do something there now and then.
				n := x.off[0] + x.off[1] + x.off[2] + x.off[3] + x.over + x.done
				waits[x.key] = append(waits[x.key], weighted{float64(x.wait) * waitUnit / 1e9, per*float64(n) + atLeast*weight[i]})
			}
		}
	}
	a := min(dt/smoothed, 1)
	for key, x := range raw {
		s := t.sums[key]
		if s == nil {
			s = &sum{key: key, budget: math.Inf(1)}
			s.off, s.over, s.done = x.off, x.over, x.done
			t.sums[key] = s
		}
		s.seen = now
	}
	for key, s := range t.sums {
		x := cmp.Or(raw[key], &sum{})
		for k := range s.off {
			s.off[k] += a * (x.off[k] - s.off[k])
		}
		s.over += a * (x.over - s.over)
		s.done += a * (x.done - s.done)
		s.told = len(waits[key])
		if s.told > 0 {
			s.wait += max(a, 0.5) * (middle(waits[key]) - s.wait)
		} else {
			s.wait -= a * s.wait // nobody waits that is known
		}
		t.settle(s, now, dt)
		if now-s.seen > 30*second {
			delete(t.sums, key)
		}
	}
	t.prune()
}

// prune keeps the busiest servers.
func (t *teller) prune() {
	if len(t.sums) <= mostKept {
		return
	}
	all := t.sorted()
	slices.SortStableFunc(all, func(a, b *sum) int { return cmp.Compare(b.offered()+b.done, a.offered()+a.done) })
	for _, s := range all[mostKept:] {
		delete(t.sums, s.key)
	}
}

// sorted are the sums in an order that is the same everywhere.
func (t *teller) sorted() []*sum {
	all := make([]*sum, 0, len(t.sums))
	for _, s := range t.sums {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *sum) int { return cmp.Compare(a.key, b.key) })
	return all
}

// settle is the ceiling of a server for all who report: what was answered, less what clears the wait,
// while calls wait for long; more by and by while they do not; none once it has bound nobody for a while.
func (t *teller) settle(s *sum, now Time, dt float64) {
	limit := target * t.late
	// A server that answers nobody is silent, not slow: it hangs, or the way there is cut. Each goes by its own
	// evidence there, which knows dead connections; a budget of next to nothing would outlast the silence.
	silent := s.told > 0 && s.done < leastFlow
	pressed := s.told > 0 && s.wait > limit && !silent
	if !pressed {
		s.best = max(s.best*(1-fadeBest*dt), s.done)
	}
	switch {
	case silent:
		s.budget, s.room, s.can, s.wait = math.Inf(1), 0, 0, 0
	case pressed:
		s.can = max(s.can*(1-fadeCan*dt), s.done) // it had enough to do: what it answered is what it can
		share := max(1-(s.wait-limit)/(clearBy*t.late), deepest)
		s.budget, s.room = max(s.done*share, leastFlow), 0
	case math.IsInf(s.budget, 1):
	default:
		// Back to nearly what it can at once, and on from there by the room that the wait leaves. What is
		// added follows what is offered as well as the budget, so that those of several tellers, each with a
		// part of the fleet, come to be the same part of what is offered to each.
		s.budget = max(s.budget, s.done, resume*s.can)
		s.budget += regrow * dt * max(1-s.wait/limit, 0) * math.Sqrt(s.budget*max(s.budget, s.offered()+s.over))
		if s.budget < roomy*(s.offered()+s.over) {
			s.room = 0
		} else if s.room == 0 {
			s.room = now
		} else if now-s.room > roomyFor {
			s.budget, s.room = math.Inf(1), 0
		}
	}
}

// terms are what is held back now. Where nothing is, there are none.
func (t *teller) terms() (all []term) {
	held, spare := 0.0, 0.0
	type place struct {
		*sum
		term
		left float64
	}
	var places []place
	for _, s := range t.sorted() {
		p := place{sum: s, term: term{key: s.key, tier: 0, wait: min(int(s.wait*1e9/waitUnit), mostWait)}}
		if math.IsInf(s.budget, 1) {
			// What it carried and does not carry now is room for others' calls; a little more finds out whether more is.
			p.left = max(1.05*s.best-s.done, 0.05*s.best)
		} else {
			p.left = s.budget
			for k := tiers - 1; k >= 0; k-- { // the dearest first; those that were cut are never held back
				pass := min(s.off[k], p.left)
				p.left -= pass
				if k == tiers-1 || pass >= s.off[k] {
					continue
				}
				held += s.off[k] - pass
				if p.term.part == 0 { // the dearest tier that is held back
					p.term.tier, p.term.part = k, part(1-pass/s.off[k])
				}
			}
		}
		spare += p.left
		places = append(places, p)
	}
	if held == 0 && !slices.ContainsFunc(places, func(p place) bool { return !math.IsInf(p.budget, 1) }) {
		return nil
	}
	for _, p := range places {
		open := 1.0
		if held > 0 {
			open = min(p.left/held, 1)
		}
		// A call held back elsewhere asks all servers in turn: a chance left open at each without room would let one in
		// five in at a dozen of them.
		p.term.over = int((1-open)*255 + 0.5)
		if math.IsInf(p.budget, 1) {
			continue // nothing is said of it
		}
		all = append(all, p.term)
	}
	// The most pressed first: the rest may not fit.
	slices.SortStableFunc(all, func(a, b term) int { return cmp.Or(cmp.Compare(b.tier, a.tier), cmp.Compare(b.part, a.part)) })
	return all
}

// part is a share in 255ths.
func part(x float64) int { return min(int(x*255+0.5), mostHeld) }
