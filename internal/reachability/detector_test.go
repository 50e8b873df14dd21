package reachability

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// A played server is followed as internal/backend does it: in ticks, with probes that fail while the server cannot be
// reached.
type played struct {
	detector Detector
	tick     time.Duration
	timeout  time.Duration // of a probe
	isDown   func(now Time) bool
	input    func(from, to Time) bool // the server sends something of its own in (from, to]
	pending  []Time                   // starts of probes that have not failed yet
}

// play runs ticks until a time and returns when the calls were found to be over; 0: never.
func (p *played) play(until Time) Time {
	for now := p.tick; now < until; now += p.tick {
		if p.input(now-p.tick, now) {
			p.detector.RecordSign(now)
		}
		p.expireProbes(now)
		if p.detector.CheckLost(now) {
			return now
		}
		if !p.detector.IsProbeDue(now) {
			continue
		}
		p.detector.RecordProbe(now)
		if p.isDown(now) {
			p.pending = append(p.pending, now)
		} else {
			p.detector.RecordSign(now)
		}
	}
	return 0
}

// expireProbes fails the probes that have waited for their whole time.
func (p *played) expireProbes(now Time) {
	for len(p.pending) > 0 && now-p.pending[0] >= p.timeout {
		p.detector.RecordFailure(now, p.pending[0], p.timeout)
		p.pending = p.pending[1:]
	}
}

// silent is a server that sends nothing of its own.
func silent(Time, Time) bool { return false }

// From whatever moment on a server has vanished, its calls are over at the latest 7.9 s later and not sooner than 6 s;
// a partition of 6 s or less ends no call, whenever it begins.
func TestVanishedAndPartitioned(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		start := time.Duration(rapid.IntRange(2000, 5000).Draw(t, "start")) * ms
		length := time.Duration(rapid.IntRange(0, 6000).Draw(t, "length")) * ms
		tick := time.Duration(rapid.IntRange(20, 150).Draw(t, "tick")) * ms
		lastInput := start - time.Duration(rapid.IntRange(0, 2000).Draw(t, "quiet"))*ms
		p := played{tick: tick, timeout: MaxProbeTimeout}
		p.input = func(from, to Time) bool { return from < lastInput && lastInput <= to }
		p.isDown = func(now Time) bool { return now >= start && now < start+length }
		if over := p.play(40 * time.Second); over > 0 {
			t.Fatalf("calls are over %v after the start of a partition of %v", over-start, length)
		}
		p = played{tick: tick, timeout: MaxProbeTimeout, input: p.input}
		p.isDown = func(now Time) bool { return now >= start }
		over := p.play(40 * time.Second)
		if over-start > 7900*ms || over-start < 6*time.Second {
			t.Fatalf("calls are over %v after the server vanished", over-start)
		}
	})
}

// A process that hangs is reachable for as long as its connections come up.
func TestHang(t *testing.T) {
	t.Parallel()
	p := played{tick: 150 * ms, timeout: MaxProbeTimeout, input: silent, isDown: func(Time) bool { return false }}
	if over := p.play(10 * time.Minute); over > 0 {
		t.Errorf("calls are over at %v", over)
	}
}

// failProbes records probes that are started in a row at intervals and fail; it returns when the last one has.
func failProbes(d *Detector, from Time, count int) (now Time) {
	for i := range count {
		startedAt := from + time.Duration(i)*ProbeInterval
		now = startedAt + MaxProbeTimeout
		d.RecordProbe(startedAt)
		d.RecordFailure(now, startedAt, MaxProbeTimeout)
	}
	return now
}

// A controller that stood still has no sign of life for long, and must probe before it decides: in whatever state it
// was stopped, and also if the failure of a probe from before is reported behind it.
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
			d.RecordSign(time.Second)
			beforeStop(d)
			d.RecordFailure(resumed, 4*time.Second, MaxProbeTimeout) // of a dial whose time ran out meanwhile
			if d.CheckLost(resumed) {
				t.Fatal("lost without a probe since it continued")
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

// The calls are over only if enough probes have failed for long enough, up to now.
func TestCheckLost(t *testing.T) {
	t.Parallel()
	first := 2 * time.Second
	few, many := &Detector{}, &Detector{}
	few.RecordSign(time.Second)
	failProbes(few, first+MinOutage, minFailures-1)
	if few.CheckLost(first + MinOutage + time.Minute) {
		t.Error("lost after few failed probes")
	}
	many.RecordSign(time.Second)
	count := int(MinOutage/ProbeInterval) + 1
	end := failProbes(many, first, count)
	if many.CheckLost(first + MinOutage - ms) {
		t.Error("lost before the outage has lasted for MinOutage")
	}
	if many.CheckLost(end + maxEvidenceAge) {
		t.Error("lost by probes of long ago")
	}
	if !many.CheckLost(max(first+MinOutage, time.Second+MaxSilence)) {
		t.Error("not lost after MinOutage and MaxSilence")
	}
	if many.CheckLost(end) || many.State() != Lost || many.IsProbeDue(end+time.Minute) {
		t.Error("a lost server is lost once, and is not probed")
	}
}

// Each input changes the state in one way.
func TestTransitions(t *testing.T) {
	t.Parallel()
	suspect := func() *Detector {
		d := &Detector{}
		d.RecordSign(time.Second)
		if !d.RecordFailure(2500*ms, 2*time.Second, MaxProbeTimeout) || d.State() != Suspect {
			t.Fatal("a failed probe makes no suspect")
		}
		return d
	}
	d := suspect()
	if d.RecordFailure(3500*ms, 3*time.Second, MaxProbeTimeout) {
		t.Error("a suspect becomes suspect again")
	}
	if previous, outage := d.RecordSign(4 * time.Second); previous != Suspect || outage != (Outage{time.Second, 2}) {
		t.Errorf("%v, %+v end with a sign of life", previous, outage)
	}
	if d.State() != Reachable || d.RecordFailure(4*time.Second, 3500*ms, MaxProbeTimeout) {
		t.Error("a probe from before the sign of life counts")
	}
	if d.RecordRefusal(5 * time.Second) {
		t.Error("a refusal ends the process of a server that could be reached")
	}
	if d := suspect(); !d.RecordRefusal(3*time.Second) || d.State() != Reachable {
		t.Error("a refusal behind an outage does not end the process")
	}
	for state, name := range map[State]string{Reachable: "reachable", Suspect: "suspect", Lost: "lost", 9: "unknown"} {
		if state.String() != name {
			t.Errorf("%d is %q, want %q", state, state, name)
		}
	}
}
