package console

import (
	"fmt"
	"slices"
	"time"
)

// recordChanges adds an event for each change of an instance since its last poll.
func (p *Poller) recordChanges(i Instance) {
	earlier, isKnown := p.known[i.key()]
	isUnresponsive := i.State == StateUnresponsive
	if !isKnown && !isUnresponsive {
		return
	}
	switch {
	case earlier.State != i.State:
		p.addEvent(Event{Instance: i.Name, Kind: EventKind(i.State), Text: i.Problem, IsFault: isUnresponsive})
	case earlier.Starts != i.Starts:
		text := fmt.Sprintf("start %d", i.Starts)
		p.addEvent(Event{Instance: i.Name, Kind: EventRestarted, Text: text, IsFault: true})
	}
	if isKnown && earlier.NumberingDigest != i.NumberingDigest && i.NumberingDigest != "" {
		text := numberingText(i.NumberingDigest)
		p.addEvent(Event{Instance: i.Name, Kind: EventNumberingChanged, Text: text})
	}
	for _, server := range i.Servers {
		hasName := func(s Server) bool { return s.Name == server.Name }
		if k := slices.IndexFunc(earlier.Servers, hasName); k >= 0 {
			p.recordServerChanges(i.Name, &earlier.Servers[k], &server)
		}
	}
}

func (p *Poller) recordServerChanges(instance string, earlier, server *Server) {
	if earlier.Phase != server.Phase {
		p.addEvent(Event{Instance: instance, Server: server.Name, Kind: EventKind(server.Phase)})
	}
	wasLimited := earlier.isLimited()
	isLimited := server.isLimited()
	switch {
	case isLimited && !wasLimited:
		text := fmt.Sprintf("ceiling %.1f/s", server.RateLimit)
		p.addEvent(Event{
			Instance: instance, Server: server.Name, Kind: EventOverloadStarted, Text: text, IsFault: true,
		})
	case wasLimited && !isLimited:
		p.addEvent(Event{Instance: instance, Server: server.Name, Kind: EventOverloadEnded})
	}
}

func (p *Poller) addEvent(e Event) {
	e.At = time.Now().UTC()
	p.events.add(e)
}
