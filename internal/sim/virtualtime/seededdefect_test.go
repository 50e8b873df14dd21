package virtualtime

import (
	"strings"
	"testing"
	"time"

	"olivedale/internal/admission"
	"olivedale/internal/call"
	"olivedale/internal/sim/invariant"
	"olivedale/internal/sim/scenario"
)

// seededDefect wraps the decision module and the backends of a controller and violates one rule on purpose.
type seededDefect struct {
	call.Decider
	call.Backends
	rule         invariant.Rule
	interval     int // a violation is due at each multiple of it
	count        int
	serverStates map[string]admission.ServerState
	coldServer   string // "": none
}

func newSeededDefect(rule invariant.Rule) *seededDefect {
	return &seededDefect{rule: rule, interval: 50, serverStates: make(map[string]admission.ServerState)}
}

func (d *seededDefect) isDue() bool {
	d.count++
	return d.count%d.interval == 0
}

// UpdateServers records the states of the servers and the latest cold server.
func (d *seededDefect) UpdateServers(now call.Time, servers []admission.Server, full bool) {
	for _, s := range servers {
		d.serverStates[s.ID] = s.State
		if s.Started > 0 && s.State == admission.Active {
			d.coldServer = s.ID
		}
	}
	d.Decider.UpdateServers(now, servers, full)
}

// Place selects a draining server, or the cold server for all calls.
func (d *seededDefect) Place(now call.Time, r admission.Request) admission.Decision {
	decision := d.Decider.Place(now, r)
	switch {
	case d.rule == invariant.DrainRespected && decision.Kind == admission.DecisionSend:
		for id, state := range d.serverStates {
			if state == admission.Draining {
				decision.Server = id
			}
		}
	case d.rule == invariant.SlowStartRespected && d.coldServer != "":
		return admission.Decision{CallID: r.CallID, Kind: admission.DecisionSend, Server: d.coldServer, Wait: time.Second}
	}
	return decision
}

// Report sends a call again at once after a timeout or a cancel.
func (d *seededDefect) Report(now call.Time, p admission.AttemptReport) admission.Decision {
	decision := d.Decider.Report(now, p)
	mayHaveRun := p.Result == admission.ResultTimedOut || p.Result == admission.ResultCanceled
	hasEnded := p.Kind == admission.ReportEnded && !p.Final
	if d.rule == invariant.RetryGuardRespected && hasEnded && mayHaveRun {
		return admission.Decision{CallID: p.CallID, Kind: admission.DecisionSend, Server: p.Server, Wait: time.Second}
	}
	return decision
}

// Invite sends a set-up twice.
func (d *seededDefect) Invite(server string, s call.Setup) {
	d.Backends.Invite(server, s)
	if d.rule == invariant.OneAttempt && d.isDue() {
		s.Attempt += 5
		d.Backends.Invite(server, s)
	}
}

// defectiveClient violates the rules on final answers on one client connection.
type defectiveClient struct {
	defect *seededDefect
	call.Client
}

// CallEstablished answers twice, or not at all.
func (c *defectiveClient) CallEstablished(id string, description []byte) {
	switch {
	case c.defect.rule == invariant.InTime && c.defect.isDue():
		return
	case c.defect.rule == invariant.OneAnswer && c.defect.isDue():
		c.CallRejected(id, 41, 0)
	}
	c.Client.CallEstablished(id, description)
}

// The invariant checker finds a violation of each rule, seeded by a defect in the decision module, backends or client.
func TestSeededDefects(t *testing.T) {
	t.Parallel()
	for _, rule := range invariant.Rules {
		t.Run(string(rule), func(t *testing.T) {
			t.Parallel()
			sc := scenario.Default()
			sc.Length, sc.Callers.Load = seconds(30), 0.9
			sc.Fault = []scenario.Fault{
				{Kind: scenario.Replace, At: seconds(5), For: seconds(4), Share: 0.4, By: seconds(12)},
				{Kind: scenario.Hang, At: seconds(20), For: seconds(3), Share: 0.4},
			}
			defects := make(map[string]*seededDefect)
			defectOf := func(controller string) *seededDefect {
				if defects[controller] == nil {
					defects[controller] = newSeededDefect(rule)
				}
				return defects[controller]
			}
			r := Run(&sc, 3, Options{
				WrapDecider: func(controller string, d call.Decider) call.Decider {
					defectOf(controller).Decider = d
					return defectOf(controller)
				},
				WrapBackends: func(controller string, b call.Backends) call.Backends {
					defectOf(controller).Backends = b
					return defectOf(controller)
				},
				WrapClient: func(controller string, c call.Client) call.Client {
					return &defectiveClient{defectOf(controller), c}
				},
			})
			if r.ViolationCounts[string(rule)] == 0 {
				t.Errorf("no violation found: %v", r.ViolationCounts)
			}
			if len(r.Violations) > 0 {
				v := r.Violations[0]
				if len(v.Events) == 0 || !strings.Contains(v.Error(), string(v.Rule)) {
					t.Errorf("violation %v with events %v", v, v.Events)
				}
			}
		})
	}
}
