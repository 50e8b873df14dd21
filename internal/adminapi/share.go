package adminapi

import (
	"math"
	"strconv"
	"strings"
	"time"

	"olivedale/internal/codec/h248"
	"olivedale/internal/overload"
)

// OverloadTermination is the termination by which AuditValue tells what an instance shares with the others.
const OverloadTermination = "share"

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

// OverloadNodes tells of what is shared. Of a large fleet not all reporters fit; those that were not heard for
// longest come first.
func OverloadNodes(s *overload.State) []*h248.Node {
	stats := &h248.Node{Name: "Statistics"}
	put := func(n *h248.Node) { stats.Kids = append(stats.Kids, n) }
	c := &s.Counters
	put(pairs("oc/share", "number", whole(s.Self), "peers", whole(s.Peers), "boot", strconv.FormatUint(uint64(s.Incarnation), 10), "teller", whole(s.Aggregator), "since", s.AggregatorFor.String(),
		"heard", s.LimitsAge.String(), "live", whole(s.AliveMembers), "most", whole(s.PeakMembers), "part", strconv.FormatBool(s.Partitioned), "often", strconv.FormatBool(s.FrequentReports), "shunned", whole(s.Ejected),
		"said", whole(c.Sent), "saidbytes", whole(c.SentBytes), "taken", whole(c.Received), "unread", whole(c.Malformed), "alien", whole(c.Misattributed), "held", whole(c.Throttled),
		"passed", whole(c.Admitted), "silent", whole(c.AggregatorsUnresponsive), "wrong", whole(c.AggregatorsEjected)))
	for _, v := range s.Servers {
		var hold []string
		for _, h := range v.ThrottleChance {
			hold = append(hold, number(h))
		}
		put(pairs("oc/server", "name", v.ID, "waiting", whole(v.PendingAttempts), "wait", v.SetupTime.String(), "obeyed", strconv.FormatBool(v.Limited), "claim", v.ClaimedWait.String(),
			"hold", strings.Join(hold, " "), "over", number(v.OverflowChance), "held", whole(v.Throttled)))
	}
	for _, t := range s.Aggregates[:min(len(s.Aggregates), mostShareNodes)] {
		put(pairs("oc/sum", "key", strconv.FormatUint(uint64(t.Key), 16), "offered", number(t.Offered), "over", number(t.Overflow), "done", number(t.Answered), "wait", t.Wait.String(),
			"told", whole(t.WaitReports), "budget", number(t.AdmittedRate)))
	}
	for _, p := range s.Members[:min(len(s.Members), mostShareNodes)] {
		put(pairs("oc/reporter", "number", whole(p.Number), "presence", p.Status.String(), "heard", p.LastReportAge.String(), "lost", number(p.LossShare), "span", p.ReportSpan.String()))
	}
	return []*h248.Node{stats}
}

// ParseOverload reads what ShareNodes made; nil: the reply tells nothing of it.
func ParseOverload(nodes []*h248.Node) *overload.State {
	stats := h248.Find(nodes, "Statistics")
	if stats == nil {
		return nil
	}
	var s *overload.State
	for _, n := range stats.Kids {
		r := reading{n}
		switch n.Name {
		case "oc/share":
			s = &overload.State{Self: r.whole("number"), Peers: r.whole("peers"), Incarnation: uint32(r.whole("boot")), Aggregator: r.whole("teller"), AggregatorFor: r.time("since"), LimitsAge: r.time("heard"),
				AliveMembers: r.whole("live"), PeakMembers: r.whole("most"), Partitioned: r.at("part") == "true", FrequentReports: r.at("often") == "true", Ejected: r.whole("shunned"),
				Counters: overload.Counters{Sent: r.whole("said"), SentBytes: r.whole("saidbytes"), Received: r.whole("taken"), Malformed: r.whole("unread"), Misattributed: r.whole("alien"),
					Throttled: r.whole("held"), Admitted: r.whole("passed"), AggregatorsUnresponsive: r.whole("silent"), AggregatorsEjected: r.whole("wrong")}}
		case "oc/server":
			v := overload.ServerState{ID: r.at("name"), PendingAttempts: r.whole("waiting"), SetupTime: r.time("wait"), Limited: r.at("obeyed") == "true", ClaimedWait: r.time("claim"),
				OverflowChance: r.number("over"), Throttled: r.whole("held")}
			for i, h := range strings.Fields(r.at("hold")) {
				if i < len(v.ThrottleChance) {
					v.ThrottleChance[i], _ = strconv.ParseFloat(h, 64)
				}
			}
			if s != nil {
				s.Servers = append(s.Servers, v)
			}
		case "oc/sum":
			key, _ := strconv.ParseUint(r.at("key"), 16, 32)
			if s != nil {
				s.Aggregates = append(s.Aggregates, overload.AggregateState{Key: uint32(key), Offered: r.number("offered"), Overflow: r.number("over"), Answered: r.number("done"), Wait: r.time("wait"),
					WaitReports: r.whole("told"), AdmittedRate: r.number("budget")})
			}
		case "oc/reporter":
			p := overload.MemberState{Number: r.whole("number"), LastReportAge: r.time("heard"), LossShare: r.number("lost"), ReportSpan: r.time("span")}
			for _, known := range []overload.MemberStatus{overload.Alive, overload.Suspect, overload.Dead} {
				if known.String() == r.at("presence") {
					p.Status = known
				}
			}
			if s != nil {
				s.Members = append(s.Members, p)
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
