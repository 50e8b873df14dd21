package admission

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	periodsPerThreshold = 5  // periods per latency threshold
	logIntervalWindows  = 10 // windows between log messages about the same server
	periodTimerKey      = 0  // timer that ends a period; the timer keys of calls are positive
	watchRetryTimerKey  = -1 // timer after which a failed watch is restarted
)

// A StateMachine makes the decisions of one controller. It is not safe for concurrent use.
type StateMachine struct {
	settings        Settings
	classes         map[string]*class
	rng             *rand.Rand
	overloadControl OverloadControl
	timing
	estimates

	now           Time
	lastPeriodEnd Time
	stall         time.Duration // time just before now in which this process did not run
	actions       []Action      // actions of the current event

	servers            []*server // in the order in which they were first listed
	calls              callTable
	dialedNumbers      map[string]*dialedNumber
	busyNumbers        map[string]Time // time from which one call may probe the number
	unansweredAttempts int             // at all servers
	rejectReason       Reason          // why the latest selection found no server
}

// NewStateMachine returns a StateMachine. The seed initializes its random number generator.
// The error wraps a *SettingsError.
func NewStateMachine(settings Settings, seed uint64) (*StateMachine, error) {
	if err := settings.Validate(); err != nil {
		return nil, fmt.Errorf("admission: settings: %w", err)
	}
	return &StateMachine{
		settings:        settings,
		classes:         prioritizeClasses(settings.Classes),
		rng:             rand.New(rand.NewPCG(seed, 0)),
		overloadControl: noOverloadControl{},
		timing:          newTiming(settings),
		estimates:       estimates{poolPeakRates: make(map[int]float64)},
		calls:           newCallTable(),
		dialedNumbers:   make(map[string]*dialedNumber),
		busyNumbers:     make(map[string]Time),
	}, nil
}

func newTiming(settings Settings) (t timing) {
	objective := settings.Classes[0].LatencyObjective
	for _, class := range settings.Classes {
		objective = min(objective, class.LatencyObjective)
	}
	t.unresponsiveAfter = objective / 2
	t.latencyThreshold = min(objective/2, cmp.Or(settings.ResendInterval, objective))
	t.quickSetupTime = t.latencyThreshold / 2
	t.period = max(t.latencyThreshold/periodsPerThreshold, time.Millisecond)
	t.window = minWindowPeriods * t.period
	t.minProbeRate = 1 / t.unresponsiveAfter.Seconds() / float64(settings.ControllerCount)
	return t
}

// Begin starts the state machine. The host executes its actions before those of any event.
func (m *StateMachine) Begin(now Time) []Action {
	m.now, m.lastPeriodEnd = now, now
	m.windowPeriods = minWindowPeriods
	actions := []Action{SetTimer{At: now + m.period, Key: periodTimerKey}}
	if m.settings.WatchServersOnRequest {
		actions = append(actions, WatchServers{})
	}
	return actions
}

// Handle applies an event and returns the actions to execute, in order. The caller owns the slice.
// Events for unknown calls or servers have no effect. A time before that of the previous event is ignored.
func (m *StateMachine) Handle(now Time, e Event) []Action {
	m.advanceClock(max(m.now, now))
	m.actions = nil
	for m.lastPeriodEnd+m.period <= m.now {
		m.endPeriod()
	}
	switch e := e.(type) {
	case ServersUpdated:
		m.updateServers(e)
	case CallOffered:
		m.offerCall(e)
	case CallEstablished:
		m.establishCall(e)
	case AttemptEnded:
		m.endAttempt(e)
	case LoadReported:
		if s := m.findServer(e.Server); s != nil {
			m.applyLoadReport(s, e.Load)
		}
	case CallAbandoned:
		if c := m.calls.byID[e.CallID]; c != nil {
			m.finish(c)
		}
	case TimerFired:
		m.fireTimer(e.Key)
	}
	return m.actions
}

func (m *StateMachine) emit(a Action) { m.actions = append(m.actions, a) }

// advanceClock sets the time. A stall of this process does not count as setup time or as silence of a server.
func (m *StateMachine) advanceClock(now Time) {
	if now == m.now {
		return
	}
	m.now, m.stall = now, 0
	delay := now - m.lastPeriodEnd - m.period
	if delay <= m.period {
		return
	}
	m.stall = delay
	for _, s := range m.servers {
		s.responses.shift(delay)
		for _, c := range s.attempts.pending {
			c.sentAt += delay
		}
	}
}

// endPeriod ends the current period. After a long stall, periods before the latest window are skipped.
func (m *StateMachine) endPeriod() {
	m.lastPeriodEnd += m.period
	m.adjustWindow()
	m.updatePeakRates()
	for _, s := range m.servers {
		s.counts.roll(m.windowPeriods)
		if wait := m.oldestWait(s); wait > m.latencyThreshold {
			m.suspectOverload(s, wait)
		}
		rate := m.rate(s, &s.counts.answered)
		m.updatePoolPeak(s, rate)
		s.limit.provenBurst *= peakDecay
		s.limit.tokens = min(s.limit.tokens+normalShare*s.limit.rate*m.period.Seconds(), m.maxTokens(s))
		m.updateRamp(s, rate)
		m.recoverRate(s)
	}
	m.lastPeriodEnd = max(m.lastPeriodEnd, m.now-m.window)
}

func (m *StateMachine) fireTimer(key int64) {
	switch c := m.calls.byTimer[key]; {
	case key == periodTimerKey:
		m.emit(SetTimer{At: m.lastPeriodEnd + m.period, Key: periodTimerKey})
		m.cancelStuckAttempts()
		m.removeExpired()
	case key == watchRetryTimerKey:
		m.emit(WatchServers{})
	case c == nil || c.state == callEstablished:
	case m.now >= c.deadline:
		m.fail(c, ReasonExhausted)
	case c.state == callWaiting && m.now >= c.retryNotBefore:
		c.endRetryGuard()
		m.place(c)
	}
}

func (m *StateMachine) logServer(s *server, format string, args ...any) {
	if m.now >= s.nextLogAt {
		s.nextLogAt = m.now + logIntervalWindows*m.window
		m.emit(LogMessage{Text: "server " + s.ID + ": " + fmt.Sprintf(format, args...)})
	}
}
