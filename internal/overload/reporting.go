package overload

import (
	"cmp"
	"slices"

	"olivedale/internal/admission"
)

// reportJitter is the divisor of the report interval that gives the range of the random jitter of reports.
const reportJitter = 5

// A reportSchedule determines when and how often load reports are sent.
type reportSchedule struct {
	next         Time
	spanStart    Time   // start of the span that the next report covers
	sequence     uint32 // of the latest report
	overloadedAt Time   // when the member last had evidence of overload; 0: never
	requestedAt  Time   // when a limit update last requested frequent reports; 0: never
	nextProbe    Time   // earliest time at which a bypassed member is probed again
}

// reset starts a new span and ends frequent reports.
func (s *reportSchedule) reset(now Time) {
	s.spanStart = now
	s.overloadedAt = 0
	s.requestedAt = 0
}

// hasOverloadEvidence reports whether there is recent evidence of overload.
func (s *reportSchedule) hasOverloadEvidence(now Time) bool {
	return s.overloadedAt > 0 && now-s.overloadedAt < overloadEvidenceLifetime
}

// takeSpan returns the time since the previous report in time units and starts a new span.
func (s *reportSchedule) takeSpan(now Time) int {
	span := min(unitsOf(now-s.spanStart), maxWait)
	s.spanStart = now
	return span
}

// reportsFrequently reports whether a load report is sent each report interval instead of each heartbeat interval.
func (m *Member) reportsFrequently(now Time) bool {
	isRequested := m.reporting.requestedAt > 0 && now-m.reporting.requestedAt < m.options.limitLifetime()
	return m.reporting.hasOverloadEvidence(now) || isRequested
}

// RecordOffered implements admission.OverloadControl.
func (m *Member) RecordOffered(now Time, server string, priority admission.Priority) {
	m.advance(now)
	v := m.lookupServer(server)
	if v != nil && isPriority(priority) {
		v.sample.offered[priority]++
	}
}

// isPriority reports whether load reports have a field for a priority.
func isPriority(number admission.Priority) bool { return number >= 0 && number < priorityCount }

// RecordSent implements admission.OverloadControl.
func (m *Member) RecordSent(now Time, server string, isFirstChoice bool) {
	m.advance(now)
	v := m.lookupServer(server)
	if v == nil {
		return
	}
	if !isFirstChoice {
		v.sample.overflow++
	}
	v.addPending(now)
}

// RecordResult implements admission.OverloadControl.
func (m *Member) RecordResult(now Time, server string, isAnswered bool, elapsed Time) {
	m.advance(now)
	v := m.lookupServer(server)
	if v == nil {
		return
	}
	v.removePending(now - elapsed)
	if isAnswered {
		v.recordAnswer(now, elapsed)
		m.checkClaim(now, v)
	}
}

// RecordOverload implements admission.OverloadControl. The first evidence of overload triggers a report at once.
func (m *Member) RecordOverload(now Time, server string) {
	m.advance(now)
	v := m.lookupServer(server)
	if v != nil {
		v.sample.overloaded = true
	}
	if m.options.Controllers > 1 && !m.reportsFrequently(now) {
		m.reporting.next = min(m.reporting.next, now)
	}
	m.reporting.overloadedAt = now
}

// sendReport sends a load report to the aggregator.
func (m *Member) sendReport(now Time) {
	m.scheduleReport(now)
	if !m.isOwnAggregator() {
		m.countUnansweredReport(now)
	}
	report := m.takeReport(now)
	if m.isOwnAggregator() {
		m.aggregator.acceptReport(now, report)
	} else {
		m.outbox.enqueue(m.selection.aggregator, report.append(nil))
	}
	if len(m.selection.bypassed) > 0 && now >= m.reporting.nextProbe {
		m.probeBypassed(now, report)
	}
}

// scheduleReport sets the time of the next report: an interval from now, with a random jitter of plus or minus a tenth,
// which spreads the reports of members that started together.
func (m *Member) scheduleReport(now Time) {
	interval := m.options.HeartbeatInterval
	if m.reportsFrequently(now) {
		interval = m.options.ReportInterval
	}
	m.reporting.next = now + interval*9/10 + Time(m.rng.Float64()*float64(interval)/reportJitter)
}

// takeReport returns a report of the measurements since the previous one.
func (m *Member) takeReport(now Time) *loadReport {
	m.reporting.sequence++
	report := &loadReport{
		messageHeader: messageHeader{kind: kindLoadReport, sequence: m.reporting.sequence},
		span:          m.reporting.takeSpan(now),
		overloaded:    m.reporting.hasOverloadEvidence(now),
	}
	m.setSender(&report.messageHeader)
	for _, v := range m.servers.byID {
		sample := v.takeSample(now)
		if sample.hasActivity() {
			report.samples = append(report.samples, sample)
		}
	}
	// The longest waits come first, as the message may not have room for all samples.
	slices.SortFunc(report.samples, func(a, b serverSample) int {
		return cmp.Or(cmp.Compare(b.wait, a.wait), cmp.Compare(a.key, b.key))
	})
	return report
}

// probeBypassed sends an empty report to a random one of the members that were bypassed when the aggregator was
// selected. If that member answers, it is selected again, so that all members converge on one aggregator after a
// partition. The report is emptied so that it is not counted by two aggregators; if this controller is its own
// aggregator, that also empties the report that it has stored.
func (m *Member) probeBypassed(now Time, report *loadReport) {
	m.reporting.nextProbe = now + m.options.HeartbeatInterval
	report.samples = nil
	report.overloaded = false
	number := m.selection.bypassed[m.rng.IntN(len(m.selection.bypassed))]
	m.outbox.enqueue(number, report.append(nil))
}
