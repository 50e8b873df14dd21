package backend

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"olivedale/internal/eventloop"
)

// takeAll returns the ids of all releases that a cursor yields.
func takeAll(u *unknownReleaseCursor, l *unknownReleaseLog) (ids []string) {
	for r := u.take(l); r != nil; r = u.take(l) {
		ids = append(ids, r.id)
	}
	return ids
}

// Whatever happens, an exchange gets each release in the log that it has not confirmed, in order, and memory is bounded.
func TestUnknownReleaseLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxEntries = 8
		l := newUnknownReleaseLog(maxEntries)
		var u unknownReleaseCursor
		var want []string // unconfirmed releases in the log, in order
		now := time.Hour
		for i := range rapid.IntRange(0, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0, 1:
				l.add(unknownRelease{id: fmt.Sprint(i)})
				want = append(want, fmt.Sprint(i))
				for len(want) > 0 && l.numbers[want[0]] < l.first() {
					want = want[1:]
				}
			case 2:
				if len(want) > 0 {
					n := rapid.IntRange(0, len(want)-1).Draw(t, "confirmed")
					u.confirm(&l, want[n])
					want = append(append([]string(nil), want[:n]...), want[n+1:]...)
				}
			case 3:
				now += unknownCallInterval
				u.scheduleRewind(now)
				u.rewind(now)
				if got := takeAll(&u, &l); fmt.Sprint(got) != fmt.Sprint(want) {
					t.Fatalf("a new connection gets %v, want %v", got, want)
				}
			}
			if got := u.unconfirmed(&l); got != len(want) {
				t.Fatalf("%d releases are unconfirmed, want %d", got, len(want))
			}
			if len(l.entries) > maxEntries || len(l.numbers) > maxEntries || len(u.confirmed) > maxEntries {
				t.Fatalf("%d entries, %d numbers, %d confirmed ones are kept", len(l.entries), len(l.numbers), len(u.confirmed))
			}
		}
	})
}

// Releases that were sent confirmationTimeout ago on a connection count as confirmed, since exchanges need not confirm
// them. Those of a connection that was lost earlier are sent again, at most once per unknownCallInterval.
func TestUnknownReleasesOnManyConnections(t *testing.T) {
	l := newUnknownReleaseLog(8)
	l.add(unknownRelease{id: "a"})
	var u unknownReleaseCursor
	now := time.Hour
	connect := func(after time.Duration) []string {
		now += after
		u.scheduleRewind(now)
		u.rewind(now)
		return takeAll(&u, &l)
	}
	if got := connect(0); len(got) != 1 {
		t.Fatalf("the first connection gets %v, want a", got)
	}
	if got := connect(unknownCallInterval - 1); len(got) != 0 {
		t.Errorf("a connection within the interval gets %v", got)
	}
	now++
	u.rewind(now)
	if got := takeAll(&u, &l); len(got) != 1 {
		t.Errorf("after the interval that connection gets %v, want a", got)
	}
	for range 2 {
		now += confirmationTimeout
		u.expire(now)
	}
	if got := connect(unknownCallInterval); len(got) != 0 || u.unconfirmed(&l) != 0 {
		t.Errorf("a later connection gets %v, and %d are unconfirmed, want none", got, u.unconfirmed(&l))
	}
}

// Guards against calls that are left at an exchange which was not connected, or not known yet, when their callers
// released them. A process that started after the release cannot hold the call.
func TestUnknownReleasesReachLaterExchanges(t *testing.T) {
	set := newTestConn().set
	set.ReleaseEverywhere("00000000000000aa", 16)
	for _, startsLater := range []bool{false, true} {
		c := set.newConn("later", "", 0)
		c.protocol = newSIP(c)
		if startsLater {
			c.StartedAt = set.loop.Now() + time.Second
		}
		c.conn = eventloop.NewConn(nil, 0)
		c.tickUnknownReleases(set.loop.Now())
		if isSent := len(c.conn.PendingOutput()) > 0; isSent == startsLater {
			t.Errorf("started after the release %v: the release was sent %v", startsLater, isSent)
		}
	}
}
