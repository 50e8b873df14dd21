package incident

import (
	"slices"

	"olivedale/internal/record"
)

// UnknownClass is the class of attempts and answers whose set-up is not in the records.
const UnknownClass = "(set-up not recorded)"

// addSetup counts a call that was offered.
func (p *Part) addSetup(r *record.Record) {
	p.Total.Offered++
	p.classes.get(r.Class).Offered++
	p.currentBin(r.At).Offered++
	p.open.add(r.Call, openCall{class: r.Class, offeredAt: r.At, seq: r.Seq})
}

// addAttempt counts an attempt, also against a drain and a slow start of its server.
func (p *Part) addAttempt(r *record.Record) {
	className := UnknownClass
	if c, ok := p.open.byID[r.Call]; ok {
		className = c.class
	}
	bin, server, class := p.currentBin(r.At), p.servers.get(r.Server), p.classes.get(className)
	for _, c := range [...]*Counts{&p.Total.Counts, &class.Counts, &server.Counts, &bin.Counts} {
		c.Attempts++
		if r.Attempt > 0 {
			c.Retries++
		}
	}
	if i, ok := p.ongoing.drains[r.Server]; ok {
		p.Drains[i].addAttempt(r.At)
	}
	if i, ok := p.ongoing.coldStarts[r.Server]; ok {
		if isOver := !p.ColdStarts[i].addAttempt(r.At); isOver {
			delete(p.ongoing.coldStarts, r.Server)
		}
	}
}

// addAttempt counts an attempt at a draining server.
func (d *Drain) addAttempt(at Time) {
	delay := at - d.At
	d.Sent++
	d.LastSend = max(d.LastSend, delay)
	if delay > drainGrace {
		d.SentLate++
	}
}

// addAttempt counts an attempt at a cold server. It returns false, and counts nothing, once the period is over.
func (c *ColdStart) addAttempt(at Time) bool {
	age := at - c.Started
	if age >= c.Period {
		return false
	}
	c.Sent++
	fifth := int(slowStartFifths * age / c.Period)
	c.SentByFifth[min(max(fifth, 0), slowStartFifths-1)]++
	return true
}

// addAnswer counts a final answer.
func (p *Part) addAnswer(r *record.Record, ref Ref) {
	call, isKnown := p.open.byID[r.Call]
	if isKnown {
		delete(p.open.byID, r.Call)
	} else {
		p.AnswersWithoutSetup++
	}
	outcome := min(int(r.Code), record.OutcomeCount-1)
	isEstablished := outcome == int(record.OutcomeEstablished)
	bin, class := p.currentBin(r.At), p.classes.get(r.Class)
	counts := []*Counts{&p.Total.Counts, &class.Counts, &bin.Counts}
	if isEstablished && r.Server != "" {
		counts = append(counts, &p.servers.get(r.Server).Counts)
	}
	objective, hasObjective := p.settings.objectives[r.Class]
	isLate := isEstablished && hasObjective && r.Took > objective
	for _, c := range counts {
		c.Outcomes[outcome]++
		if isLate {
			c.Late++
		}
	}
	if !isEstablished {
		return
	}
	p.Total.recordSetupTime(r.Took)
	class.recordSetupTime(r.Took)
	p.servers.get(r.Server).recordSetupTime(r.Took)
	bin.setupTimeSum += r.Took
	bin.maxSetupTime = max(bin.maxSetupTime, r.Took)
	offeredAt := r.At - r.Took
	if isKnown {
		offeredAt = call.offeredAt
	}
	p.addSlowSetup(SlowSetup{
		Call: r.Call, Class: r.Class, Server: r.Server, At: offeredAt, SetupTime: r.Took, Attempts: r.Attempt,
		Ref: ref, startIndex: len(p.Starts) - 1,
	})
}

// addSlowSetup lists a call if it is among the slowest.
func (p *Part) addSlowSetup(s SlowSetup) {
	n := len(p.Slowest)
	if n >= maxSlowest && s.SetupTime <= p.Slowest[n-1].SetupTime {
		return
	}
	i, _ := slices.BinarySearchFunc(p.Slowest, s, compareSlowest)
	p.Slowest = slices.Insert(p.Slowest, i, s)
	p.Slowest = p.Slowest[:min(len(p.Slowest), maxSlowest)]
}

// addRelease counts the end of an established call.
func (p *Part) addRelease(r *record.Record) {
	isDropped := r.End == "cut" || r.End == "exchange_lost" // names of call.AttemptEnd in records
	bin, server, class := p.currentBin(r.At), p.servers.get(r.Server), p.classes.get(r.Class)
	for _, c := range [...]*Counts{&p.Total.Counts, &class.Counts, &server.Counts, &bin.Counts} {
		c.Released++
		if isDropped {
			c.Dropped++
		}
	}
}
