package reachability

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// A simulation drives a Detector as internal/backend does: in ticks, with probes that fail while the server is
// unreachable.
type simulation struct {
	detector Detector
	tick     time.Duration
	timeout  time.Duration // timeout of a probe
	isDown   func(now Time) bool
	input    func(from, to Time) bool // whether the server sends unsolicited data in (from, to]
	pending  []Time                   // start times of probes that have not failed yet
}

// run runs ticks until a time. It returns the time at which the calls were declared over; 0: never.
func (s *simulation) run(until Time) Time {
	for now := s.tick; now < until; now += s.tick {
		if s.input(now-s.tick, now) {
			s.detector.RecordActivity(now)
		}
		s.expireProbes(now)
		if s.detector.CheckLost(now) {
			return now
		}
		if !s.detector.IsProbeDue(now) {
			continue
		}
		s.detector.RecordProbe(now)
		if s.isDown(now) {
			s.pending = append(s.pending, now)
		} else {
			s.detector.RecordActivity(now)
		}
	}
	return 0
}

// expireProbes records the failure of the probes that have timed out.
func (s *simulation) expireProbes(now Time) {
	for len(s.pending) > 0 && now-s.pending[0] >= s.timeout {
		s.detector.RecordFailure(now, s.pending[0], s.timeout)
		s.pending = s.pending[1:]
	}
}

// silent is the input of a server that sends no unsolicited data.
func silent(Time, Time) bool { return false }

// Whenever a server fails, its calls are declared over between 6 s and 7.9 s later. A partition of 6 s or less ends no
// call, whenever it begins.
func TestVanishedAndPartitioned(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		start := time.Duration(rapid.IntRange(2000, 5000).Draw(t, "start")) * ms
		length := time.Duration(rapid.IntRange(0, 6000).Draw(t, "length")) * ms
		tick := time.Duration(rapid.IntRange(20, 150).Draw(t, "tick")) * ms
		lastInput := start - time.Duration(rapid.IntRange(0, 2000).Draw(t, "quiet"))*ms
		s := simulation{tick: tick, timeout: MaxProbeTimeout}
		s.input = func(from, to Time) bool { return from < lastInput && lastInput <= to }
		s.isDown = func(now Time) bool { return now >= start && now < start+length }
		if lostAt := s.run(40 * time.Second); lostAt > 0 {
			t.Fatalf("calls were declared over %v after the start of a partition of %v", lostAt-start, length)
		}
		s = simulation{tick: tick, timeout: MaxProbeTimeout, input: s.input}
		s.isDown = func(now Time) bool { return now >= start }
		lostAt := s.run(40 * time.Second)
		if lostAt-start > 7900*ms || lostAt-start < 6*time.Second {
			t.Fatalf("calls were declared over %v after the server failed, want 6 s to 7.9 s", lostAt-start)
		}
	})
}

// A process that hangs remains reachable as long as its machine accepts connections.
func TestHang(t *testing.T) {
	t.Parallel()
	s := simulation{tick: 150 * ms, timeout: MaxProbeTimeout, input: silent, isDown: func(Time) bool { return false }}
	if lostAt := s.run(10 * time.Minute); lostAt > 0 {
		t.Errorf("calls were declared over at %v", lostAt)
	}
}

// failProbes records consecutive probes, one per ProbeInterval, that all time out. It returns the time at which the
// last one fails.
func failProbes(d *Detector, from Time, count int) (now Time) {
	for i := range count {
		startedAt := from + time.Duration(i)*ProbeInterval
		now = startedAt + MaxProbeTimeout
		d.RecordProbe(startedAt)
		d.RecordFailure(now, startedAt, MaxProbeTimeout)
	}
	return now
}

// A controller that was stopped has recorded no activity for a long time, and must probe again before it declares calls
// over. This holds in each state, and also if the failure of a probe from before the stop is reported afterwards.
func TestStoppedController(t *testing.T) {
	t.Parallel()
	const resumed = 20 * time.Second
	for name, beforeStop := range map[string]func(d *Detector){
		"without a probe":       func(*Detector) {},
		"with a probe that ran": func(d *Detector) { d.RecordProbe(2 * time.Second) },
		"suspect":               func(d *Detector) { failProbes(d, 2*time.Second, 8) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := &Detector{}
			d.RecordActivity(time.Second)
			beforeStop(d)
			d.RecordFailure(resumed, 4*time.Second, MaxProbeTimeout) // of a dial that timed out during the stop
			if d.CheckLost(resumed) {
				t.Fatal("lost without a probe since the controller resumed")
			}
			if !d.IsProbeDue(resumed) {
				t.Fatal("no probe is due")
			}
			if now := failProbes(d, resumed, minFailures-1); d.State() == Reachable || d.CheckLost(now) && d.failures < minFailures {
				t.Errorf("%v with %d failed probes", d.State(), d.failures)
			}
		})
	}
}

// A server becomes Lost only if enough probes have failed, over a long enough time and recently.
func TestCheckLost(t *testing.T) {
	t.Parallel()
	first := 2 * time.Second
	few, many := &Detector{}, &Detector{}
	few.RecordActivity(time.Second)
	failProbes(few, first+MinOutage, minFailures-1)
	if few.CheckLost(first + MinOutage + time.Minute) {
		t.Error("lost after too few failed probes")
	}
	many.RecordActivity(time.Second)
	count := int(MinOutage/ProbeInterval) + 1
	end := failProbes(many, first, count)
	if many.CheckLost(first + MinOutage - ms) {
		t.Error("lost before MinOutage has passed")
	}
	if many.CheckLost(end + maxEvidenceAge) {
		t.Error("lost by probes older than maxEvidenceAge")
	}
	if !many.CheckLost(max(first+MinOutage, time.Second+MaxSilence)) {
		t.Error("not lost after MinOutage and MaxSilence")
	}
	if many.CheckLost(end) || many.State() != Lost || many.IsProbeDue(end+time.Minute) {
		t.Error("a lost server became lost again, changed its state or is due for a probe")
	}
}

// Each kind of input causes the documented state transition.
func TestTransitions(t *testing.T) {
	t.Parallel()
	suspect := func() *Detector {
		d := &Detector{}
		d.RecordActivity(time.Second)
		if !d.RecordFailure(2500*ms, 2*time.Second, MaxProbeTimeout) || d.State() != Suspect {
			t.Fatal("a failed probe did not make the server suspect")
		}
		return d
	}
	d := suspect()
	if d.RecordFailure(3500*ms, 3*time.Second, MaxProbeTimeout) {
		t.Error("a suspect server became suspect again")
	}
	if previous, outage := d.RecordActivity(4 * time.Second); previous != Suspect || outage != (Outage{time.Second, 2}) {
		t.Errorf("activity ended state %v and outage %+v, want suspect and 2 failed probes since 1 s", previous, outage)
	}
	if d.State() != Reachable || d.RecordFailure(4*time.Second, 3500*ms, MaxProbeTimeout) {
		t.Error("a probe from before the last activity counts")
	}
	if d.RecordRefusal(5 * time.Second) {
		t.Error("a refusal by a reachable server counts as the end of its process")
	}
	if d := suspect(); !d.RecordRefusal(3*time.Second) || d.State() != Reachable {
		t.Error("a refusal after an outage does not count as the end of the process")
	}
	for state, name := range map[State]string{Reachable: "reachable", Suspect: "suspect", Lost: "lost", 9: "unknown"} {
		if state.String() != name {
			t.Errorf("state %d is called %q, want %q", state, state, name)
		}
	}
}
