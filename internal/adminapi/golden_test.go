package adminapi

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"olivedale/internal/codec/h248"
	"olivedale/internal/goldentest"
	"olivedale/internal/numbering"
	"olivedale/internal/overload"
	"olivedale/internal/portability"
)

// goldenShare is a state of which every value differs from its zero.
func goldenShare() *overload.State {
	return &overload.State{Self: 3, Peers: 300, Boot: 77, Teller: 5, Since: 3 * time.Second, Heard: 400 * time.Millisecond, Live: 260, Of: 300, Part: true, Often: true, Shunned: 1,
		Servers:   []overload.ServerState{{ID: "s-1", Waiting: 2, Wait: 130 * time.Millisecond, Obeyed: true, Claim: 900 * time.Millisecond, Hold: [4]float64{0.98, 0.5, 0, 1}, Over: 0.25, Held: 12}},
		Told:      []overload.SumState{{Key: 0x0102ff, Offered: 40.5, Over: 2, Done: 30, Wait: time.Second, Told: 100, Budget: 28}, {Key: 9, Budget: math.Inf(1)}},
		Reporters: []overload.PeerState{{Number: 1, Presence: overload.Live, Heard: time.Second, Lost: 0.125, Last: 500 * time.Millisecond}, {Number: 2, Presence: overload.Suspected}, {Number: 4, Presence: overload.Dead}},
		Counters:  overload.Counters{Said: 1, SaidBytes: 2, Heard: 3, HeardBytes: 4, Unread: 5, Alien: 6, Stale: 7, Held: 8, Passed: 9, Tellers: 10, Silent: 11, Wrong: 12}}
}

// goldenCommands are the commands and replies between instances and those who manage them.
func goldenCommands(t *testing.T) (all []goldentest.Message) {
	add := func(name string, c *h248.Command) {
		b, err := h248.AppendFrame(nil, &h248.Message{MID: "<ctl>:1", Transactions: []*h248.Transaction{{ID: 1, Actions: []*h248.Action{{Context: "-", Commands: []*h248.Command{c}}}}}})
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		all = append(all, goldentest.Message{Name: name, Bytes: b})
	}
	reply := func(name, termination string, nodes ...*h248.Node) {
		add(name, &h248.Command{Name: "AuditValue", Termination: termination, Descriptors: nodes})
	}
	add("audit of ROOT", Audit("ROOT"))
	add("audit of the share", Audit(ShareTermination))
	add("drain", Drain("instance/panel-east"))
	add("clock", Clock("agent-1", Stamps{1764547200000000001, 2, 3, 4}))
	add("clock without stamps", Clock("", Stamps{}))
	add("order to load", NumbersOrder(numbering.Order{Op: numbering.OpLoad, File: "/etc/numbers.toml"}))
	add("order to activate", NumbersOrder(numbering.Order{Op: numbering.OpActivate, Digest: "7b3cbfb4b82e4e7b", Saw: "00", At: 5 * time.Second}))
	add("order to roll back", NumbersOrder(numbering.Order{Op: numbering.OpRollback, Saw: "00"}))
	add("order to cancel", NumbersOrder(numbering.Order{Op: numbering.OpCancel}))
	states := []numbering.Status{}
	for i, state := range []string{numbering.InForce, numbering.Waiting, numbering.Loaded} {
		states = append(states, numbering.Status{Digest: fmt.Sprint("d", i), Name: "of today", State: state, Entries: 10 + i, Pins: i, Since: time.Duration(i), Due: time.Duration(2 * i)})
	}
	reply("versions while an order runs", NumbersTermination, NumbersNodes(states, numbering.Job{ID: 4, Order: numbering.Order{Op: numbering.OpLoad}, Running: true})...)
	reply("versions after an order failed", NumbersTermination, NumbersNodes(nil, numbering.Job{ID: 5, Order: numbering.Order{Op: numbering.OpLoad}, Err: "no such file", Digest: "d9"})...)
	reply("table and look-ups", "ROOT", TableNode("d0", "of today"),
		LookupsNode(&portability.Counters{Asked: 1, Hits: 2, Coalesced: 3, StaleHits: 4, Undecided: 5, Crowded: 6, Sent: 7, Answered: 8, TimedOut: 9, Refused: 10, Strays: 11, Lies: 12, Broken: 13}))
	reply("share", ShareTermination, ShareNodes(goldenShare())...)
	reply("share without values", ShareTermination, ShareNodes(&overload.State{})...)
	return all
}

// dumpCommand writes what each reader makes of a command under labels that are fixed.
func dumpCommand(b *strings.Builder, c *h248.Command) {
	_, _ = fmt.Fprintf(b, "command %q termination %q\n", c.Name, c.Termination)
	if peer, stamps, err := ReadClock(c); err == nil {
		_, _ = fmt.Fprintf(b, "clock peer %q stamps %v\n", peer, [4]int64(stamps))
	}
	if o, err := ReadNumbersOrder(c); err == nil && o.Op != "" {
		_, _ = fmt.Fprintf(b, "order %q file %q digest %q saw %q at %d\n", o.Op, o.File, o.Digest, o.Saw, o.At)
	}
	versions, job := ReadNumbers(c.Descriptors)
	for _, v := range versions {
		_, _ = fmt.Fprintf(b, "version %q name %q state %q entries %d calls %d since %d due %d\n", v.Digest, v.Name, v.State, v.Entries, v.Pins, v.Since, v.Due)
	}
	if job.ID > 0 {
		_, _ = fmt.Fprintf(b, "job %d order %q running %v error %q digest %q\n", job.ID, job.Order.Op, job.Running, job.Err, job.Digest)
	}
	if s := ReadShare(c.Descriptors); s != nil {
		_, _ = fmt.Fprintf(b, "share %d of %d boot %d teller %d since %v heard %v live %d most %d part %v often %v shunned %d\n",
			s.Self, s.Peers, s.Boot, s.Teller, s.Since, s.Heard, s.Live, s.Of, s.Part, s.Often, s.Shunned)
		k := &s.Counters
		_, _ = fmt.Fprintf(b, "counters sent %d bytes %d received %d unread %d alien %d held %d passed %d silent %d wrong %d\n",
			k.Said, k.SaidBytes, k.Heard, k.Unread, k.Alien, k.Held, k.Passed, k.Silent, k.Wrong)
		for _, v := range s.Servers {
			_, _ = fmt.Fprintf(b, "server %q waiting %d wait %v obeyed %v claim %v hold %v over %v held %d\n", v.ID, v.Waiting, v.Wait, v.Obeyed, v.Claim, v.Hold, v.Over, v.Held)
		}
		for _, v := range s.Told {
			_, _ = fmt.Fprintf(b, "sum %06x offered %v over %v answered %v wait %v told %d budget %v\n", v.Key, v.Offered, v.Over, v.Done, v.Wait, v.Told, v.Budget)
		}
		for _, p := range s.Reporters {
			_, _ = fmt.Fprintf(b, "reporter %d presence %v heard %v lost %v span %v\n", p.Number, p.Presence, p.Heard, p.Lost, p.Last)
		}
	}
}

// Commands are written as the committed frames, and these are read as the committed dump.
func TestGoldenCommands(t *testing.T) {
	var dump strings.Builder
	for _, m := range goldentest.Messages(t, "commands.txt", goldenCommands(t)) {
		_, _ = fmt.Fprintf(&dump, "== %s\n", m.Name)
		var in h248.Framer
		if err := in.Feed(m.Bytes, func(text []byte) bool {
			parsed, bad := h248.Parse(text)
			if bad != nil {
				t.Fatalf("%s: %v", m.Name, bad)
			}
			dumpCommand(&dump, parsed.Transactions[0].Actions[0].Commands[0])
			return true
		}); err != nil {
			t.Errorf("%s: %v", m.Name, err)
		}
	}
	goldentest.Compare(t, "read.txt", dump.String())
}
