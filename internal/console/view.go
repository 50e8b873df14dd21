package console

// A view is a kind of screen. The operator opens an instance from the fleet, a server from the instance, and the
// records of a call from the server.
type view int

// The views.
const (
	viewFleet view = iota
	viewServers
	viewClasses
	viewEvents
	viewCalls
	viewInstance // the servers that one instance knows
	viewServer   // the calls of one server
	viewCall     // the records of one call
)

// tabCount is the number of views with a tab, which are the first ones.
const tabCount = int(viewCalls) + 1

var viewNames = [...]string{
	viewFleet:    "fleet",
	viewServers:  "servers",
	viewClasses:  "classes",
	viewEvents:   "events",
	viewCalls:    "calls",
	viewInstance: "instance",
	viewServer:   "server",
	viewCall:     "call",
}

// String implements fmt.Stringer.
func (v view) String() string { return viewNames[v] }

// nextTab returns the view of the next tab. After the last tab, and from a view without a tab, it returns the first.
func (v view) nextTab() view { return (min(v, viewCalls) + 1) % view(tabCount) }

// A location is a view with the subject that it shows, the selected row, and the settings of its table.
type location struct {
	view     view
	instance string // "" for the fleet
	server   string
	call     string // key of the call
	row      int    // the selected row
	order    sortOrder
	filter   string
}

// newLocation returns a view without a subject, in its natural order.
func newLocation(v view) location { return location{view: v, order: sortOrder{column: unsorted}} }

// subject returns a description of the view's subject, "" for a view of the whole fleet.
func (l *location) subject() string {
	switch l.view {
	case viewInstance:
		return "instance " + l.instance
	case viewServer:
		if l.instance != "" {
			return "server " + l.server + " at " + l.instance
		}
		return "server " + l.server
	case viewCall:
		return "call " + l.call
	default:
		return ""
	}
}

// open returns the location that shows the details of a row. It reports false if the rows of the view have none.
func (l *location) open(name string) (location, bool) {
	next := newLocation(l.view)
	next.instance = l.instance
	switch l.view {
	case viewFleet:
		next.view = viewInstance
		next.instance = name
	case viewServers, viewInstance:
		next.view = viewServer
		next.server = name
	case viewCalls, viewServer:
		next.view = viewCall
		next.call = name
	default:
		return location{}, false
	}
	return next, true
}

// table returns the contents of the view, filtered and sorted; nil if the view shows no table.
func (l *location) table(s *Snapshot) *table {
	t := l.unfilteredTable(s)
	if t == nil {
		return nil
	}
	t.filter(l.filter)
	t.sort(l.order)
	return t
}

func (l *location) unfilteredTable(s *Snapshot) *table {
	switch l.view {
	case viewFleet:
		return s.fleetTable()
	case viewServers:
		return serverTable(s.Servers(), scopeFleet)
	case viewClasses:
		return classTable(s.Classes())
	case viewEvents:
		return eventTable(s.Events)
	case viewCalls:
		return callTable(s.Calls)
	case viewInstance:
		var servers []Server
		if i := s.instance(l.instance); i != nil {
			servers = i.Servers
		}
		return serverTable(servers, scopeInstance)
	case viewServer:
		return callTable(s.callsOf(l.server, l.instance))
	default:
		return nil
	}
}

// instance returns the first instance with a name, nil if there is none.
func (s *Snapshot) instance(name string) *Instance {
	for i := range s.Instances {
		if s.Instances[i].Name == name {
			return &s.Instances[i]
		}
	}
	return nil
}

// callsOf returns the calls whose last attempt went to a server, of one instance or of all if its name is empty.
func (s *Snapshot) callsOf(server, instance string) []Call {
	var calls []Call
	for _, c := range s.Calls {
		isOfInstance := instance == "" || c.Instance == instance
		if c.Server == server && isOfInstance {
			calls = append(calls, c)
		}
	}
	return calls
}

// call returns the call with a key, nil if there is none.
func (s *Snapshot) call(key string) *Call {
	for i := range s.Calls {
		if s.Calls[i].key() == key {
			return &s.Calls[i]
		}
	}
	return nil
}
