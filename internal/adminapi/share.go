package adminapi

import (
	"math"
	"strconv"
	"strings"
	"time"

	"olivedale/internal/codec/h248"
	"olivedale/internal/overload"
)

// ShareTermination is the termination by which AuditValue tells what an instance shares with the others.
const ShareTermination = "share"

// pairs is a node of values by name, in their order; those that are empty are left out.
func pairs(kind string, of ...string) *h248.Node {
	n := &h248.Node{Name: kind}
	for i := 0; i+1 < len(of); i += 2 {
		if of[i+1] != "" {
			n.Kids = append(n.Kids, &h248.Node{Name: "oc/" + of[i], Value: of[i+1], Quoted: true})
		}
	}
	return n
}

func number(v float64) string { return strconv.FormatFloat(v, 'g', 6, 64) }

func whole(v int) string { return strconv.Itoa(v) }

// mostShareNodes bounds a reply, which is one message of 16 KiB at most.
const mostShareNodes = 64

// ShareNodes tells of what is shared. Of a large fleet not all reporters fit; those that were not heard for
// longest come first.
func ShareNodes(s *overload.State) []*h248.Node {
	stats := &h248.Node{Name: "Statistics"}
	put := func(n *h248.Node) { stats.Kids = append(stats.Kids, n) }
	c := &s.Counters
	put(pairs("oc/share", "number", whole(s.Self), "peers", whole(s.Peers), "boot", strconv.FormatUint(uint64(s.Boot), 10), "teller", whole(s.Teller), "since", s.Since.String(),
		"heard", s.Heard.String(), "live", whole(s.Live), "most", whole(s.Of), "part", strconv.FormatBool(s.Part), "often", strconv.FormatBool(s.Often), "shunned", whole(s.Shunned),
		"said", whole(c.Said), "saidbytes", whole(c.SaidBytes), "taken", whole(c.Heard), "unread", whole(c.Unread), "alien", whole(c.Alien), "held", whole(c.Held),
		"passed", whole(c.Passed), "silent", whole(c.Silent), "wrong", whole(c.Wrong)))
	for _, v := range s.Servers {
		var hold []string
		for _, h := range v.Hold {
			hold = append(hold, number(h))
		}
		put(pairs("oc/server", "name", v.ID, "waiting", whole(v.Waiting), "wait", v.Wait.String(), "obeyed", strconv.FormatBool(v.Obeyed), "claim", v.Claim.String(),
			"hold", strings.Join(hold, " "), "over", number(v.Over), "held", whole(v.Held)))
	}
	for _, t := range s.Told[:min(len(s.Told), mostShareNodes)] {
		put(pairs("oc/sum", "key", strconv.FormatUint(uint64(t.Key), 16), "offered", number(t.Offered), "over", number(t.Over), "done", number(t.Done), "wait", t.Wait.String(),
			"told", whole(t.Told), "budget", number(t.Budget)))
	}
	for _, p := range s.Reporters[:min(len(s.Reporters), mostShareNodes)] {
		put(pairs("oc/reporter", "number", whole(p.Number), "presence", p.Presence.String(), "heard", p.Heard.String(), "lost", number(p.Lost), "span", p.Last.String()))
	}
	return []*h248.Node{stats}
}

// ReadShare reads what ShareNodes made; nil: the reply tells nothing of it.
func ReadShare(nodes []*h248.Node) *overload.State {
	stats := h248.Find(nodes, "Statistics")
	if stats == nil {
		return nil
	}
	var s *overload.State
	for _, n := range stats.Kids {
		r := reading{n}
		switch n.Name {
		case "oc/share":
			s = &overload.State{Self: r.whole("number"), Peers: r.whole("peers"), Boot: uint32(r.whole("boot")), Teller: r.whole("teller"), Since: r.time("since"), Heard: r.time("heard"),
				Live: r.whole("live"), Of: r.whole("most"), Part: r.at("part") == "true", Often: r.at("often") == "true", Shunned: r.whole("shunned"),
				Counters: overload.Counters{Said: r.whole("said"), SaidBytes: r.whole("saidbytes"), Heard: r.whole("taken"), Unread: r.whole("unread"), Alien: r.whole("alien"),
					Held: r.whole("held"), Passed: r.whole("passed"), Silent: r.whole("silent"), Wrong: r.whole("wrong")}}
		case "oc/server":
			v := overload.ServerState{ID: r.at("name"), Waiting: r.whole("waiting"), Wait: r.time("wait"), Obeyed: r.at("obeyed") == "true", Claim: r.time("claim"),
				Over: r.number("over"), Held: r.whole("held")}
			for i, h := range strings.Fields(r.at("hold")) {
				if i < len(v.Hold) {
					v.Hold[i], _ = strconv.ParseFloat(h, 64)
				}
			}
			if s != nil {
				s.Servers = append(s.Servers, v)
			}
		case "oc/sum":
			key, _ := strconv.ParseUint(r.at("key"), 16, 32)
			if s != nil {
				s.Told = append(s.Told, overload.SumState{Key: uint32(key), Offered: r.number("offered"), Over: r.number("over"), Done: r.number("done"), Wait: r.time("wait"),
					Told: r.whole("told"), Budget: r.number("budget")})
			}
		case "oc/reporter":
			p := overload.PeerState{Number: r.whole("number"), Heard: r.time("heard"), Lost: r.number("lost"), Last: r.time("span")}
			for _, known := range []overload.Presence{overload.Live, overload.Suspected, overload.Dead} {
				if known.String() == r.at("presence") {
					p.Presence = known
				}
			}
			if s != nil {
				s.Reporters = append(s.Reporters, p)
			}
		}
	}
	return s
}

// A reading reads values of a node; what is not there or no number is nought.
type reading struct{ n *h248.Node }

func (r reading) at(name string) string { return h248.Value(r.n.Kids, "oc/"+name) }

func (r reading) whole(name string) int {
	v, _ := strconv.Atoi(r.at(name))
	return v
}

func (r reading) number(name string) float64 {
	v, err := strconv.ParseFloat(r.at(name), 64)
	if err != nil || math.IsNaN(v) {
		return 0
	}
	return v
}

func (r reading) time(name string) time.Duration {
	v, _ := time.ParseDuration(r.at(name))
	return v
}
