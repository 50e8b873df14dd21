// Package names keeps the list of exchanges by the name service's DNS answers:
// it writes queries, reads answers and tells what has changed. It owns no socket.
package discovery

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/net/dns/dnsmessage"

	"olivedale/internal/config"
)

// ServiceName is the name whose SRV records list the exchanges.
const ServiceName = "_api._tcp.svc.local."

// MaxAnswerBytes is the most bytes an answer may hold.
const MaxAnswerBytes = 8000

var service = dnsmessage.MustNewName(ServiceName)

// A EndpointList is the list of exchanges as far as it has been told.
type EndpointList struct {
	serial  uint32
	members map[string]config.Endpoint
	asked   [32]uint16 // ids of the latest queries; an answer to any of them will do, be it some seconds late
	next    int
	hollow  int // the id of the last good answer that named none, -1: the last one named some
}

// NewEndpointList takes the list that the configuration holds and returns it.
func NewEndpointList(known config.KnownEndpoints) (*EndpointList, []config.Endpoint) {
	l := &EndpointList{serial: uint32(known.LastEvent), members: make(map[string]config.Endpoint), hollow: -1}
	for _, e := range known.Events {
		if e.Endpoints.Complete {
			clear(l.members)
		}
		for _, m := range e.Endpoints.Endpoints {
			if m.Phase == config.PhaseGone {
				delete(l.members, m.ID)
			} else {
				l.members[m.ID] = m
			}
		}
	}
	all := make([]config.Endpoint, 0, len(l.members))
	for _, m := range l.members {
		all = append(all, m)
	}
	sortMembers(all)
	return l, all
}

func sortMembers(m []config.Endpoint) {
	slices.SortFunc(m, func(a, b config.Endpoint) int { return strings.Compare(a.ID, b.ID) })
}

// Serial is the number of the last event that was told.
func (l *EndpointList) Serial() uint32 { return l.serial }

// NewQuery writes the next query. The id is the caller's, at random.
func (l *EndpointList) NewQuery(id uint16) ([]byte, error) {
	b := dnsmessage.NewBuilder(make([]byte, 0, 64), dnsmessage.Header{ID: id, RecursionDesired: true})
	if err := b.StartQuestions(); err != nil {
		return nil, fmt.Errorf("names: query: %w", err)
	}
	if err := b.Question(dnsmessage.Question{Name: service, Type: dnsmessage.TypeSRV, Class: dnsmessage.ClassINET}); err != nil {
		return nil, fmt.Errorf("names: query: %w", err)
	}
	text, err := b.Finish()
	if err != nil {
		return nil, fmt.Errorf("names: query: %w", err)
	}
	l.asked[l.next%len(l.asked)] = id
	l.next++
	return text, nil
}

// HandleAnswer takes an answer and returns the members that have changed, those that
// are gone among them. An answer that is older than what is known changes nothing.
func (l *EndpointList) HandleAnswer(text []byte) ([]config.Endpoint, error) {
	serial, members, err := l.parse(text)
	if err != nil {
		return nil, fmt.Errorf("names: answer: %w", err)
	}
	if int32(serial-l.serial) <= 0 { // RFC 1982: overtaken on the way, or no news
		return nil, nil
	}
	if id := int(text[0])<<8 | int(text[1]); len(members) == 0 && len(l.members) > 0 && (l.hollow < 0 || l.hollow == id) {
		// Guards against an answer that has lost its records: the list at hand serves better than none. When
		// the next query is answered alike it is so, and nothing may go to those that are gone.
		l.hollow = id
		return nil, errors.New("names: answer: an empty list")
	}
	l.serial, l.hollow = serial, -1
	var changed []config.Endpoint
	for id, old := range l.members {
		if _, ok := members[id]; !ok {
			old.Phase = config.PhaseGone
			changed = append(changed, old)
		}
	}
	for id, m := range members {
		if l.members[id] != m {
			changed = append(changed, m)
		}
	}
	l.members = members
	sortMembers(changed)
	return changed, nil
}

func (l *EndpointList) parse(text []byte) (serial uint32, members map[string]config.Endpoint, err error) {
	if len(text) > MaxAnswerBytes {
		return 0, nil, fmt.Errorf("%d bytes", len(text))
	}
	var p dnsmessage.Parser
	h, err := p.Start(text)
	if err != nil {
		return 0, nil, err
	}
	if !h.Response || !slices.Contains(l.asked[:min(l.next, len(l.asked))], h.ID) {
		return 0, nil, errors.New("nobody asked for it")
	}
	if h.RCode != dnsmessage.RCodeSuccess || h.Truncated {
		return 0, nil, fmt.Errorf("rcode %v, truncated %v", h.RCode, h.Truncated)
	}
	questions, err := p.AllQuestions()
	if err != nil {
		return 0, nil, err
	}
	if len(questions) != 1 || !same(questions[0].Name, service) || questions[0].Type != dnsmessage.TypeSRV {
		return 0, nil, errors.New("another question")
	}
	r := records{hosts: make(map[string]host)}
	for _, section := range []func() ([]dnsmessage.Resource, error){p.AllAnswers, p.AllAuthorities, p.AllAdditionals} {
		list, err := section()
		if err != nil {
			return 0, nil, err
		}
		for _, rr := range list {
			if err := r.add(rr); err != nil {
				return 0, nil, err
			}
		}
	}
	if !r.soa {
		return 0, nil, errors.New("no SOA record")
	}
	members, err = r.members()
	return r.serial, members, err
}

func same(a, b dnsmessage.Name) bool { return strings.EqualFold(a.String(), b.String()) }

// records collects what an answer holds.
type records struct {
	soa    bool
	serial uint32
	srv    []*dnsmessage.SRVResource
	hosts  map[string]host // by the target's name in small letters
}

type host struct {
	addr netip.Addr
	kind string
	cell int
	at   int64
}

func (r *records) add(rr dnsmessage.Resource) error {
	name := strings.ToLower(rr.Header.Name.String())
	switch body := rr.Body.(type) {
	case *dnsmessage.SOAResource:
		r.soa, r.serial = true, body.Serial
	case *dnsmessage.SRVResource:
		if same(rr.Header.Name, service) {
			r.srv = append(r.srv, body)
		}
	case *dnsmessage.AResource:
		h := r.hosts[name]
		h.addr = netip.AddrFrom4(body.A)
		r.hosts[name] = h
	case *dnsmessage.TXTResource:
		h := r.hosts[name]
		for _, text := range body.TXT {
			if err := h.set(text); err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
		}
		r.hosts[name] = h
	}
	return nil
}

func (h *host) set(text string) (err error) {
	key, value, _ := strings.Cut(text, "=")
	switch key {
	case "kind":
		h.kind = value
	case "cell":
		h.cell, err = strconv.Atoi(value)
	case "started":
		h.at, err = strconv.ParseInt(value, 10, 64)
	}
	if err != nil {
		return fmt.Errorf("%q: %w", text, err)
	}
	return nil
}

func (r *records) members() (map[string]config.Endpoint, error) {
	all := make(map[string]config.Endpoint, len(r.srv))
	for _, s := range r.srv {
		target := s.Target.String()
		h, ok := r.hosts[strings.ToLower(target)]
		if !ok || !h.addr.IsValid() {
			return nil, fmt.Errorf("%s has no address", target)
		}
		labels := strings.SplitN(target, ".", 3)
		if len(labels) < 3 {
			return nil, fmt.Errorf("target %q", target)
		}
		m := config.Endpoint{ID: labels[0], Zone: labels[1], Kind: h.kind, Pool: h.cell, Started: h.at,
			Address: netip.AddrPortFrom(h.addr, s.Port).String(), Phase: config.PhaseReady}
		if s.Priority != 0 {
			m.Phase = config.PhaseTerminating
		}
		all[m.ID] = m
	}
	return all, nil
}
