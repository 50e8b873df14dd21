package call

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"olivedale/internal/admission"
)

func TestRepeatedOfferIsAnsweredOnceOnItsNewConnection(t *testing.T) {
	f := newFixture(send("s"))
	f.offer("x")
	other := &recordingClient{}
	if err := f.manager.Offer(other, Request{ID: "x", Class: "c"}); err != nil {
		t.Error(err)
	}
	f.manager.CallerDisconnected(f.client)
	f.manager.AttemptAnswered("s", "x", 0, []byte("sdp"))
	f.wantMessages(t, "invite s x 0", "withdrawn x")
	if fmt.Sprint(other.messages) != "[established x sdp]" {
		t.Errorf("the new connection received %q", other.messages)
	}
}

// An offer that uses the id of another call neither receives the answer to that call nor ends it.
func TestOffersUnderAReusedID(t *testing.T) {
	f := newFixture(send("s"), send("s"))
	f.offer("x")
	other := &recordingClient{}
	for _, test := range []struct {
		name   string
		client Client
		r      Request
	}{
		{"another description", other, Request{ID: "x", Class: "c", Description: []byte("mine")}},
		{"another number", other, Request{ID: "x", Class: "c", Number: "1"}},
		{"twice on one connection", f.client, Request{ID: "x", Class: "c"}},
	} {
		if err := f.manager.Offer(test.client, test.r); !errors.Is(err, ErrIDInUse) {
			t.Errorf("%s: %v", test.name, err)
		}
	}
	f.manager.CallerDisconnected(other)
	f.manager.AttemptAnswered("s", "x", 0, []byte("sdp"))
	if err := f.manager.Offer(other, Request{ID: "x", Class: "c"}); !errors.Is(err, ErrIDInUse) {
		t.Errorf("offer with the id of an established call: %v", err)
	}
	f.manager.ReleaseByCaller(f.client, "x", CauseNormal)
	f.offer("x")
	f.wantMessages(t, "invite s x 0", "established x sdp", "release s x 16", "rejected x 41 0s")
	if len(other.messages) > 0 {
		t.Errorf("the other caller received %q", other.messages)
	}
}

// Offers above the limits are rejected, releases of unknown calls above the rate limit wait, and the memory of all
// calls and ids is freed in the end.
func TestLimits(t *testing.T) {
	f := newFixture(send("s"), send("s"), send("s"), send("s"))
	m := f.manager
	for _, id := range []string{"1", "2", "3", "4"} {
		f.offer(id)
	}
	m.CallerDisconnected(f.client)
	f.now += minCompletedCallRetention + 1 // the ids of these calls may be displaced
	if err := m.Offer(f.client, Request{ID: "5", Description: make([]byte, 101)}); err != nil {
		t.Error(err)
	}
	f.offer("6")
	got := fmt.Sprint(f.client.messages)
	if strings.Count(got, "invite") != 4 ||
		strings.Count(got, "cancel") != 3 ||
		strings.Count(got, "rejected") != 2 ||
		!strings.Contains(got, "rejected 4 34") ||
		!strings.Contains(got, "rejected 5 34") {
		t.Error(got)
	}
	m.CallerDisconnected(f.client)
	for i := range 50 {
		m.ReleaseByCaller(f.client, fmt.Sprint("unknown", i), CauseNormal)
	}
	unknown := m.unknownReleases.ids
	if n := len(unknown.entries) + len(unknown.queue); n > 12 {
		t.Errorf("%d entries for releases of unknown calls, want at most 12", n)
	}
	f.client.messages = nil
	f.now += 2 * time.Second
	for i := range 2 * maxUnknownReleasesPerSecond {
		m.ReleaseByCaller(f.client, fmt.Sprint("made up", i), CauseNormal)
	}
	if len(f.client.messages) != maxUnknownReleasesPerSecond {
		t.Errorf("%d releases of unknown calls were forwarded within a second", len(f.client.messages))
	}
	f.now += 2 * time.Second
	m.Tick() // forwards those that were queued
	f.now += completedCallRetention + 1
	m.Tick()
	completed := m.completedCalls
	if m.openCalls+m.descriptionBytes+len(m.calls)+len(completed.entries)+len(unknown.entries) != 0 {
		t.Errorf("not freed: %d open calls, %d bytes, %d calls, %d completed and %d unknown ids",
			m.openCalls, m.descriptionBytes, len(m.calls), len(completed.entries), len(unknown.entries))
	}
}

// Guards against memory that grows without a bound: nothing limited the established calls, so a client with valid set-ups
// took the process over its memory limit. Pending releases of earlier calls take room too.
func TestNumberOfCallsIsLimited(t *testing.T) {
	var decisions []admission.Decision
	for range 10 {
		decisions = append(decisions, send("s"))
	}
	f := newFixture(decisions...)
	establish := func(id string) {
		f.offer(id)
		f.manager.AttemptAnswered("s", id, 0, nil)
	}
	for i := range 8 {
		establish(fmt.Sprint("call", i))
	}
	pendingReleases := 2
	f.manager.SetReservedRoom(func() int { return pendingReleases })
	f.client.messages = nil
	f.offer("full")
	f.wantMessages(t, "rejected full 42 0s")
	pendingReleases = 1
	f.client.messages = nil
	f.offer("last")
	f.offer("full again")
	f.wantMessages(t, "invite s last 0", "rejected full again 42 0s")
	f.manager.ReleaseByCaller(f.client, "call0", CauseNormal)
	f.client.messages = nil
	f.offer("next")
	f.wantMessages(t, "invite s next 0")
}

// Guards against memory that grows with the rate of calls: the deadline of a call that was answered, and with it the call,
// was kept until its time.
func TestAnsweredCallsHaveNoDeadline(t *testing.T) {
	f := newFixture(send("s"), send("s"), send("s"))
	for _, id := range []string{"established", "rejected", "abandoned"} {
		f.offer(id)
	}
	if n := len(f.manager.deadlines); n != 3 {
		t.Errorf("%d deadlines of open calls, want 3", n)
	}
	f.manager.AttemptAnswered("s", "established", 0, nil)
	f.decider.decisions = []admission.Decision{{Kind: admission.DecisionReject}}
	f.manager.AttemptEnded("s", "rejected", 0, ProcessorBusy)
	f.manager.ReleaseByCaller(f.client, "abandoned", CauseNormal)
	if n := len(f.manager.deadlines); n != 0 || f.manager.openCalls != 0 {
		t.Errorf("%d deadlines and %d open calls are left, want none", n, f.manager.openCalls)
	}
}

// Guards against a call that runs twice: its client had left, and when its id came again, a flood of other calls had
// displaced it from the ids of completed calls. Calls without an attempt displace nothing.
func TestIDsOfRecentCallsAreKept(t *testing.T) {
	f := newFixture(send("s"), send("s"), send("s"))
	for _, id := range []string{"first", "2", "3"} { // the fixture keeps three ids
		f.offer(id)
	}
	f.manager.CallerDisconnected(f.client)
	f.client.messages = nil
	f.offer("4")
	f.offer("first")
	f.wantMessages(t, "rejected 4 42 0s", "rejected first 41 0s")
	f.now += minCompletedCallRetention + 1
	f.decider.decisions = nil // as if admission control rejected each
	for i := range 10 {
		f.decider.decisions = append(f.decider.decisions, admission.Decision{Kind: admission.DecisionReject})
		f.offer(fmt.Sprint("rejected", i))
	}
	f.client.messages = nil
	f.offer("first")
	f.wantMessages(t, "rejected first 41 0s")
	f.decider.decisions = []admission.Decision{send("s")}
	f.client.messages = nil
	f.offer("5")
	f.wantMessages(t, "invite s 5 0")
}
