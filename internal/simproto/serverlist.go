package simproto

import (
	"encoding/json"
	"fmt"

	"olivedale/internal/admission"
)

// A PAGE row assigns a number to a server list; a MEMBERS row later in the stream refers to it. Numbers are reused:
// a number in a MEMBERS row means the latest list before the row.

// Values of the field how of MEMBERS.
const (
	updateFailed = "failed" // there is no list
	updateDelta  = "delta"  // only the changes
	updateFull   = "full"   // all servers
	updateCached = "cached" // all servers, as of an earlier time
)

// serverStates maps the values of the field phase of a server to states.
var serverStates = map[string]admission.ServerState{
	"IN":   admission.Active,
	"LAME": admission.Draining,
	"OUT":  admission.Removed,
}

// serverFields is the number of values that describe a server:
// server, az, classOfHost, pointCode, phase, scale, lastStart.
const serverFields = 7

// readPage reads rosterId, lines.
func (d *Decoder) readPage(r *row) *Item {
	number := r.integer(1, "rosterId")
	servers := r.servers(2, "lines")
	if d.serverLists == nil {
		d.serverLists = make(map[int][]admission.Server)
	}
	d.serverLists[number] = servers
	return nil
}

// readMembers reads how, rosterId, rev.
func (d *Decoder) readMembers(r *row) *Item {
	how := r.text(1, "how")
	number := r.integer(2, "rosterId")
	r.integer(3, "rev")
	if r.err != nil {
		return nil
	}
	if how == updateFailed {
		return newEvent(admission.ServersUpdated{Failed: true})
	}
	servers, isKnown := d.serverLists[number]
	if !isKnown {
		r.fail("rosterId", fmt.Errorf("no PAGE has number %d", number))
		return nil
	}
	update := admission.ServersUpdated{Servers: servers}
	switch how {
	case updateDelta:
	case updateFull:
		update.Full = true
	case updateCached:
		update.Full = true
		update.Cached = true
	default:
		r.fail("how", fmt.Errorf("unknown kind of update %q", how))
	}
	return newEvent(update)
}

// servers reads a list of servers. It returns nil after an error.
func (r *row) servers(i int, field string) []admission.Server {
	var list []admission.Server
	for _, cells := range value[[][]json.RawMessage](r, i, field) {
		if len(cells) != serverFields {
			r.fail(field, fmt.Errorf("want %d values per entry, got %d", serverFields, len(cells)))
			return nil
		}
		entry := &row{name: r.name, cells: cells}
		server := entry.server()
		if entry.err != nil {
			r.err = entry.err
			return nil
		}
		list = append(list, server)
	}
	return list
}

// server reads one entry of a server list.
func (r *row) server() admission.Server {
	server := admission.Server{
		ID:   r.text(0, "server"),
		Pool: r.integer(3, "pointCode"),
		Zone: r.optionalText(1, "az"),
	}
	r.optionalText(2, "classOfHost")
	state, isKnown := serverStates[r.text(4, "phase")]
	if !isKnown {
		r.fail("phase", fmt.Errorf("want IN, LAME or OUT, got %s", r.cells[4]))
	}
	server.State = state
	r.optionalFloat(5, "scale")
	if !isNull(r.cells[6]) {
		server.Started = r.duration(6, "lastStart")
	}
	return server
}
