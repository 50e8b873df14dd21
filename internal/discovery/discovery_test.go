package discovery

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"golang.org/x/net/dns/dnsmessage"

	"olivedale/internal/config"
)

// A listedHost describes one endpoint of an answer.
type listedHost struct {
	id        string
	priority  uint16
	started   int64
	noAddress bool
}

// encodeAnswer returns a DNS answer that lists the given hosts.
func encodeAnswer(t testing.TB, id uint16, serial uint32, hosts ...listedHost) []byte {
	t.Helper()
	b := dnsmessage.NewBuilder(nil, dnsmessage.Header{ID: id, Response: true})
	b.EnableCompression()
	header := func(name string) dnsmessage.ResourceHeader {
		return dnsmessage.ResourceHeader{Name: dnsmessage.MustNewName(name), Class: dnsmessage.ClassINET}
	}
	check := func(err error) {
		if err != nil {
			t.Fatal(err)
		}
	}
	check(b.StartQuestions())
	check(b.Question(dnsmessage.Question{Name: srvName, Type: dnsmessage.TypeSRV, Class: dnsmessage.ClassINET}))
	check(b.StartAnswers())
	for _, h := range hosts {
		check(b.SRVResource(header(ServiceName), dnsmessage.SRVResource{Priority: h.priority, Weight: 40, Port: 5060,
			Target: dnsmessage.MustNewName(h.id + ".east.hosts.")}))
	}
	check(b.StartAuthorities())
	check(b.SOAResource(header(ServiceName), dnsmessage.SOAResource{NS: srvName, MBox: srvName, Serial: serial}))
	check(b.StartAdditionals())
	for _, h := range hosts {
		name := header(h.id + ".east.hosts.")
		if !h.noAddress {
			check(b.AResource(name, dnsmessage.AResource{A: [4]byte{10, 1, 0, 9}}))
		}
		attributes := []string{"kind=std", "cell=2", fmt.Sprint("started=", h.started)}
		check(b.TXTResource(name, dnsmessage.TXTResource{TXT: attributes}))
	}
	message, err := b.Finish()
	check(err)
	return message
}

func endpoint(id, phase string, started int64) config.Endpoint {
	return config.Endpoint{ID: id, Address: "10.1.0.9:5060", Zone: "east", Kind: "std", Pool: 2, Phase: phase,
		Started: started}
}

// newQueriedResolver returns a resolver with the endpoints a (ready) and c (terminating) at serial 3, after a query
// with ID 7.
func newQueriedResolver(t *testing.T) *Resolver {
	t.Helper()
	ready := []config.Endpoint{endpoint("a", config.PhaseReady, 0), endpoint("b", config.PhaseReady, 0)}
	gone := []config.Endpoint{endpoint("b", config.PhaseGone, 0)}
	terminating := []config.Endpoint{endpoint("c", config.PhaseTerminating, 0)}
	resolver, all := NewResolver(config.KnownEndpoints{LastEvent: 3, Events: []config.EndpointEvent{
		{N: 1, Endpoints: config.EndpointList{Complete: true, Endpoints: ready}},
		{N: 2, Endpoints: config.EndpointList{Endpoints: gone}},
		{N: 3, Endpoints: config.EndpointList{Endpoints: terminating}}}})
	if len(all) != 2 || all[0].ID != "a" || all[1].Phase != config.PhaseTerminating {
		t.Fatalf("initial endpoints: %+v", all)
	}
	if _, err := resolver.NewQuery(7); err != nil {
		t.Fatal(err)
	}
	return resolver
}

func TestChanges(t *testing.T) {
	resolver := newQueriedResolver(t)
	hosts := []listedHost{{id: "a", priority: 1}, {id: "d", started: 1234}}
	got, err := resolver.HandleAnswer(encodeAnswer(t, 7, 5, hosts...))
	want := []config.Endpoint{endpoint("a", config.PhaseTerminating, 0), endpoint("c", config.PhaseGone, 0),
		endpoint("d", config.PhaseReady, 1234)}
	if err != nil || !slices.Equal(got, want) || resolver.Serial() != 5 {
		t.Errorf("got %+v, %v, serial %d", got, err, resolver.Serial())
	}
	if got, err := resolver.HandleAnswer(encodeAnswer(t, 7, 4)); err != nil || len(got) != 0 || resolver.Serial() != 5 {
		t.Errorf("an older answer returned %+v, %v", got, err)
	}
	got, err = resolver.HandleAnswer(encodeAnswer(t, 7, 6, listedHost{id: "d", started: 1234}))
	if err != nil || len(got) != 1 || got[0].Phase != config.PhaseGone {
		t.Errorf("got %+v, %v", got, err)
	}
}

func TestManyEndpointsFitAnAnswer(t *testing.T) {
	resolver := newQueriedResolver(t)
	var hosts []listedHost
	for i := range 60 {
		hosts = append(hosts, listedHost{id: fmt.Sprint("s-", i)})
	}
	message := encodeAnswer(t, 7, 9, hosts...)
	if got, err := resolver.HandleAnswer(message); err != nil || len(got) != 62 || len(message) < 4000 {
		t.Errorf("got %d changes and error %v from %d bytes, want 62 changes from at least 4000 bytes",
			len(got), err, len(message))
	}
}

func TestInvalidAnswersChangeNothing(t *testing.T) {
	resolver := newQueriedResolver(t)
	valid := encodeAnswer(t, 7, 9, listedHost{id: "z"})
	serverFailure := slices.Clone(valid)
	serverFailure[3] |= 2 // SERVFAIL
	invalid := map[string][]byte{
		"empty":          {},
		"another id":     encodeAnswer(t, 8, 9),
		"no records":     encodeAnswer(t, 7, 9),
		"no address":     encodeAnswer(t, 7, 9, listedHost{id: "z", noAddress: true}),
		"truncated":      valid[:len(valid)-3],
		"too long":       append(slices.Clone(valid), make([]byte, MaxAnswerBytes)...),
		"server failure": serverFailure,
	}
	for name, message := range invalid {
		t.Run(name, func(t *testing.T) {
			if got, err := resolver.HandleAnswer(message); err == nil || resolver.Serial() != 3 {
				t.Errorf("got %+v, serial %d; want an error and serial 3", got, resolver.Serial())
			}
		})
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 5000 { // a few random bytes of a valid answer are overwritten; parsing must not panic
		message := slices.Clone(valid)
		for range 1 + rng.IntN(4) {
			message[rng.IntN(len(message))] = byte(rng.Uint32())
		}
		fresh := newQueriedResolver(t)
		_, _ = fresh.HandleAnswer(message)
	}
}

// Callers can tell an unsolicited answer from an empty list by the error.
func TestAnswerErrors(t *testing.T) {
	resolver := newQueriedResolver(t)
	if _, err := resolver.HandleAnswer(encodeAnswer(t, 8, 9)); !errors.Is(err, ErrUnsolicited) {
		t.Errorf("another id: %v", err)
	}
	if _, err := resolver.HandleAnswer(encodeAnswer(t, 7, 9)); !errors.Is(err, ErrEmptyList) {
		t.Errorf("an empty list: %v", err)
	}
}

// The list becomes empty only if the answers to two consecutive queries are empty. A repeated answer to one query
// does not count, and neither do two empty answers with a non-empty one between them.
func TestEmptyListNeedsConfirmation(t *testing.T) {
	resolver := newQueriedResolver(t)
	if _, err := resolver.NewQuery(8); err != nil {
		t.Fatal(err)
	}
	for i, message := range [][]byte{encodeAnswer(t, 7, 9), encodeAnswer(t, 7, 9), encodeAnswer(t, 7, 9)} {
		if got, err := resolver.HandleAnswer(message); err == nil {
			t.Errorf("copy %d of the empty answer was accepted: %+v", i, got)
		}
	}
	if got, err := resolver.HandleAnswer(encodeAnswer(t, 7, 10, listedHost{id: "a"})); err != nil || len(got) != 1 {
		t.Errorf("a non-empty answer returned %+v, %v", got, err)
	}
	if got, err := resolver.HandleAnswer(encodeAnswer(t, 8, 11)); err == nil {
		t.Errorf("the first empty answer after it was accepted: %+v", got)
	}
	got, err := resolver.HandleAnswer(encodeAnswer(t, 7, 11))
	if err != nil || len(got) != 1 || got[0].Phase != config.PhaseGone {
		t.Errorf("the second empty answer returned %+v, %v", got, err)
	}
}

// Serial numbers may repeat, decrease and wrap around, and answers may arrive seconds late and more than once. Only
// a newer serial number changes the list.
func TestSerials(t *testing.T) {
	resolver := newQueriedResolver(t)
	for i := range 30 { // the number of queries sent in 4.5 s
		if _, err := resolver.NewQuery(uint16(100 + i)); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		serial  uint32
		id      string
		isNewer bool
	}{{3, "b", false}, {2, "b", false}, {4, "b", true}, {4, "c", false}, {3, "d", false}, {1 << 31, "e", true},
		{1<<32 - 1, "f", true}, {1, "g", true}, {1<<32 - 1, "h", false}} {
		before := resolver.Serial()
		got, err := resolver.HandleAnswer(encodeAnswer(t, 100, c.serial, listedHost{id: c.id}))
		if err != nil || (len(got) > 0) != c.isNewer || (resolver.Serial() != before) != c.isNewer {
			t.Errorf("serial %d after %d: %+v, %v", c.serial, before, got, err)
		}
	}
}

// Guards against a slow service whose every answer is dropped: the query that it belongs to was not remembered for the
// time within which a change must be known.
func TestAnswerOfASlowService(t *testing.T) {
	resolver := newQueriedResolver(t)
	for i := range 47 { // the number of queries sent in 7 s
		if _, err := resolver.NewQuery(uint16(100 + i)); err != nil {
			t.Fatal(err)
		}
	}
	got, err := resolver.HandleAnswer(encodeAnswer(t, 100, resolver.Serial()+1, listedHost{id: "b"}))
	if err != nil || len(got) == 0 {
		t.Errorf("got changes %+v, %v", got, err)
	}
}

func TestQuery(t *testing.T) {
	message, err := newQueriedResolver(t).NewQuery(9)
	if err != nil {
		t.Fatal(err)
	}
	var p dnsmessage.Parser
	header, err := p.Start(message)
	question, questionErr := p.Question()
	if err != nil || questionErr != nil {
		t.Fatal(err, questionErr)
	}
	name := question.Name.String()
	if header.ID != 9 || question.Type != dnsmessage.TypeSRV || !strings.HasPrefix(name, "_api._tcp.") {
		t.Errorf("header %+v, question %+v", header, question)
	}
}
