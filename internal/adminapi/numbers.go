package adminapi

import (
	"strconv"
	"time"

	"olivedale/internal/codec/h248"
	"olivedale/internal/numbering"
	"olivedale/internal/portability"
)

// NumberingTermination is the termination by which an instance's table of numbers is managed:
// AuditValue lists the versions and the last order, Modify gives an order.
const NumberingTermination = "numbers"

// NumberingCommand makes the command of an order.
func NumberingCommand(o numbering.Order) *h248.Command {
	state := &h248.Node{Name: "TerminationState"}
	put := func(name, value string) {
		if value != "" {
			state.Kids = append(state.Kids, &h248.Node{Name: name, Value: value, Quoted: true})
		}
	}
	put("oc/do", o.Op)
	put("oc/file", o.File)
	put("oc/digest", o.Digest)
	put("oc/saw", o.Saw)
	if o.At != 0 {
		put("oc/at", strconv.FormatInt(int64(o.At), 10))
	}
	return &h248.Command{Name: "Modify", Termination: NumberingTermination, Descriptors: []*h248.Node{{Name: "Media", Kids: []*h248.Node{state}}}}
}

// ParseNumberingOrder reads what NumbersOrder made.
func ParseNumberingOrder(c *h248.Command) (o numbering.Order, err error) {
	at := func(name string) string { return h248.Value(c.Descriptors, "Media", "TerminationState", "oc/"+name) }
	o = numbering.Order{Op: at("do"), File: at("file"), Digest: at("digest"), Saw: at("saw")}
	if v := at("at"); v != "" {
		var n int64
		if n, err = strconv.ParseInt(v, 10, 64); err == nil {
			o.At = time.Duration(n)
		}
	}
	return o, err
}

// NumberingNodes tells of versions and the last order.
func NumberingNodes(all []numbering.Status, job numbering.Job) []*h248.Node {
	stats := &h248.Node{Name: "Statistics"}
	node := func(kind string, of ...string) { stats.Kids = append(stats.Kids, pairs(kind, of...)) }
	for _, s := range all {
		node("oc/version", "digest", s.Digest, "name", s.Name, "state", s.State, "entries", strconv.Itoa(s.Entries), "pins", strconv.Itoa(s.Pins),
			"since", strconv.FormatInt(int64(s.Since), 10), "due", strconv.FormatInt(int64(s.Due), 10))
	}
	if job.ID > 0 {
		state := "done"
		if job.Running {
			state = "running"
		}
		node("oc/job", "id", strconv.FormatUint(job.ID, 10), "op", job.Order.Op, "state", state, "err", job.Err, "digest", job.Digest)
	}
	return []*h248.Node{stats}
}

// ParseNumbering reads what NumbersNodes made.
func ParseNumbering(nodes []*h248.Node) (all []numbering.Status, job numbering.Job) {
	stats := h248.Find(nodes, "Statistics")
	if stats == nil {
		return nil, job
	}
	for _, n := range stats.Kids {
		at := func(name string) string { return h248.Value(n.Kids, "oc/"+name) }
		number := func(name string) int64 {
			v, _ := strconv.ParseInt(at(name), 10, 64) // what is no number is not told
			return v
		}
		switch n.Name {
		case "oc/version":
			all = append(all, numbering.Status{Digest: at("digest"), Name: at("name"), State: at("state"), Entries: int(number("entries")), Pins: int(number("pins")),
				Since: time.Duration(number("since")), Due: time.Duration(number("due"))})
		case "oc/job":
			job = numbering.Job{ID: uint64(number("id")), Order: numbering.Order{Op: at("op")}, Running: at("state") == "running", Err: at("err"), Digest: at("digest")}
		}
	}
	return all, job
}

// TableNode tells of the table of numbers in force.
func TableNode(digest, version string) *h248.Node {
	return &h248.Node{Name: "oc/table", Kids: []*h248.Node{{Name: "oc/digest", Value: digest, Quoted: true}, {Name: "oc/name", Value: version, Quoted: true}}}
}

// LookupsNode tells of the look-ups of ported numbers.
func LookupsNode(c *portability.Counters) *h248.Node {
	n := &h248.Node{Name: "oc/lookups"}
	for _, f := range []struct {
		name string
		v    int
	}{{"asked", c.Asked}, {"hits", c.Hits}, {"undecided", c.Undecided}, {"sent", c.Sent}, {"answered", c.Answered}, {"timedout", c.TimedOut},
		{"strays", c.Strays}, {"lies", c.Lies}, {"broken", c.Broken}} {
		n.Kids = append(n.Kids, &h248.Node{Name: "oc/" + f.name, Value: strconv.Itoa(f.v)})
	}
	return n
}
