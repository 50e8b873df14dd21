package call

import (
	"fmt"
	"testing"
	"time"

	"olivedale/internal/admission"
)

// A scriptedDecider returns predefined decisions and records the reports that it receives.
type scriptedDecider struct {
	decisions     []admission.Decision // returned in order by Place and by Report for ended attempts
	tickDecisions []admission.Decision // returned by the next Tick
	placed        []admission.Request
	reports       []admission.AttemptReport
}

func (d *scriptedDecider) nextDecision(id string) admission.Decision {
	if len(d.decisions) == 0 {
		return admission.Decision{CallID: id}
	}
	next := d.decisions[0]
	d.decisions = d.decisions[1:]
	next.CallID = id
	return next
}

func (d *scriptedDecider) Place(_ Time, r admission.Request) admission.Decision {
	d.placed = append(d.placed, r)
	return d.nextDecision(r.CallID)
}

func (d *scriptedDecider) Report(_ Time, p admission.AttemptReport) admission.Decision {
	d.reports = append(d.reports, p)
	if p.Kind != admission.ReportEnded || p.Final {
		return admission.Decision{}
	}
	return d.nextDecision(p.CallID)
}

func (d *scriptedDecider) Tick(Time) []admission.Decision {
	decisions := d.tickDecisions
	d.tickDecisions = nil
	return decisions
}

func (d *scriptedDecider) NextDeadline() Time                           { return 1 << 62 }
func (d *scriptedDecider) UpdateServers(Time, []admission.Server, bool) {}

// lastReport returns the latest report to the Decider.
func (d *scriptedDecider) lastReport() admission.AttemptReport { return d.reports[len(d.reports)-1] }

// A recordingClient is a Client and its own Frontend. It records the messages that it receives.
type recordingClient struct {
	messages []string
}

func (c *recordingClient) record(format string, args ...any) {
	c.messages = append(c.messages, fmt.Sprintf(format, args...))
}

func (c *recordingClient) CallEstablished(id string, description []byte) {
	c.record("established %s %s", id, description)
}

func (c *recordingClient) CallRejected(id string, cause int, retryAfter time.Duration) {
	c.record("rejected %s %d %v", id, cause, retryAfter)
}

func (c *recordingClient) CallWithdrawn(id string) { c.record("withdrawn %s", id) }

func (c *recordingClient) ReleaseForwarded(id string) { c.record("release forwarded %s", id) }

func (c *recordingClient) Frontend() Frontend { return c }

func (c *recordingClient) NotifyRelease(_ Client, id string, cause int) {
	c.record("notify release %s %d", id, cause)
}

// recordingBackends records the messages to backends together with those to a client, in one sequence.
type recordingBackends struct {
	*recordingClient
	unsent bool // whether Cancel reports that the setup was not sent
}

func (b *recordingBackends) Invite(server string, s Setup) {
	b.record("invite %s %s %d", server, s.ID, s.Attempt)
}

func (b *recordingBackends) Cancel(server, id string, attempt int) bool {
	b.record("cancel %s %s %d", server, id, attempt)
	return b.unsent
}

func (b *recordingBackends) Release(server, id string, _, cause int) {
	b.record("release %s %s %d", server, id, cause)
}

func (b *recordingBackends) ReleaseEverywhere(id string, cause int) {
	b.record("release everywhere %s %d", id, cause)
}

// A fixture is a Manager with one client, scripted decisions and a clock controlled by the test.
type fixture struct {
	manager  *Manager
	decider  scriptedDecider
	client   *recordingClient
	backends *recordingBackends
	now      Time
}

// callTimeout is the time from the offer of a fixture's call to its deadline.
const callTimeout = 3 * time.Second

func newFixture(decisions ...admission.Decision) *fixture {
	client := &recordingClient{}
	f := &fixture{
		decider:  scriptedDecider{decisions: decisions},
		client:   client,
		backends: &recordingBackends{recordingClient: client},
		now:      time.Hour,
	}
	limits := Limits{Calls: 10, OpenCalls: 3, DescriptionBytes: 100, CompletedIDs: 3}
	f.manager = NewManager(&f.decider, f.backends, func() Time { return f.now }, limits)
	return f
}

// offer offers a call from the fixture's client.
func (f *fixture) offer(id string) {
	_ = f.manager.Offer(f.client, Request{ID: id, Class: "c", Deadline: f.now + callTimeout})
}

// wantMessages checks the sequence of messages recorded since the previous check.
func (f *fixture) wantMessages(t *testing.T, want ...string) {
	t.Helper()
	if fmt.Sprint(f.client.messages) != fmt.Sprint(want) {
		t.Errorf("got  %q\nwant %q", f.client.messages, want)
	}
	f.client.messages = nil
}

// send returns the decision to start an attempt at a server with a timeout of two seconds.
func send(server string) admission.Decision {
	return admission.Decision{Kind: admission.DecisionSend, Server: server, Wait: 2 * time.Second}
}
