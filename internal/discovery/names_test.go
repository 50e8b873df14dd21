package discovery

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"golang.org/x/net/dns/dnsmessage"

	"olivedale/internal/config"
)

type line struct {
	id       string
	priority uint16
	started  int64
	noAddr   bool
}

func answer(t testing.TB, id uint16, serial uint32, lines ...line) []byte {
	t.Helper()
	b := dnsmessage.NewBuilder(nil, dnsmessage.Header{ID: id, Response: true})
	b.EnableCompression()
	head := func(name string) dnsmessage.ResourceHeader {
		return dnsmessage.ResourceHeader{Name: dnsmessage.MustNewName(name), Class: dnsmessage.ClassINET}
	}
	check := func(err error) {
		if err != nil {
			t.Fatal(err)
		}
	}
	check(b.StartQuestions())
	check(b.Question(dnsmessage.Question{Name: service, Type: dnsmessage.TypeSRV, Class: dnsmessage.ClassINET}))
	check(b.StartAnswers())
	for _, l := range lines {
		check(b.SRVResource(head(ServiceName), dnsmessage.SRVResource{Priority: l.priority, Weight: 40, Port: 5060,
			Target: dnsmessage.MustNewName(l.id + ".east.hosts.")}))
	}
	check(b.StartAuthorities())
	check(b.SOAResource(head(ServiceName), dnsmessage.SOAResource{NS: service, MBox: service, Serial: serial}))
	check(b.StartAdditionals())
	for _, l := range lines {
		if !l.noAddr {
			check(b.AResource(head(l.id+".east.hosts."), dnsmessage.AResource{A: [4]byte{10, 1, 0, 9}}))
		}
		check(b.TXTResource(head(l.id+".east.hosts."), dnsmessage.TXTResource{TXT: []string{"kind=std", "cell=2", fmt.Sprint("started=", l.started)}}))
	}
	text, err := b.Finish()
	check(err)
	return text
}

func member(id, phase string, started int64) config.Endpoint {
	return config.Endpoint{ID: id, Address: "10.1.0.9:5060", Zone: "east", Kind: "std", Pool: 2, Phase: phase, Started: started}
}

func started(t *testing.T) *EndpointList {
	t.Helper()
	l, all := NewEndpointList(config.KnownEndpoints{LastEvent: 3, Events: []config.EndpointEvent{
		{N: 1, Endpoints: config.EndpointList{Complete: true, Endpoints: []config.Endpoint{member("a", config.PhaseReady, 0), member("b", config.PhaseReady, 0)}}},
		{N: 2, Endpoints: config.EndpointList{Endpoints: []config.Endpoint{member("b", config.PhaseGone, 0)}}},
		{N: 3, Endpoints: config.EndpointList{Endpoints: []config.Endpoint{member("c", config.PhaseTerminating, 0)}}}}})
	if len(all) != 2 || all[0].ID != "a" || all[1].Phase != config.PhaseTerminating {
		t.Fatalf("start: %+v", all)
	}
	if _, err := l.NewQuery(7); err != nil {
		t.Fatal(err)
	}
	return l
}

func TestChanges(t *testing.T) {
	l := started(t)
	got, err := l.HandleAnswer(answer(t, 7, 5, line{id: "a", priority: 1}, line{id: "d", started: 1234}))
	want := []config.Endpoint{member("a", config.PhaseTerminating, 0), member("c", config.PhaseGone, 0), member("d", config.PhaseReady, 1234)}
	if err != nil || !slices.Equal(got, want) || l.Serial() != 5 {
		t.Errorf("got %+v, %v, serial %d", got, err, l.Serial())
	}
	if got, err := l.HandleAnswer(answer(t, 7, 4)); err != nil || len(got) != 0 || l.Serial() != 5 {
		t.Errorf("an answer that was overtaken: %+v, %v", got, err)
	}
	if got, err := l.HandleAnswer(answer(t, 7, 6, line{id: "d", started: 1234})); err != nil || len(got) != 1 || got[0].Phase != config.PhaseGone {
		t.Errorf("got %+v, %v", got, err)
	}
}

func TestManyLinesFit(t *testing.T) {
	l := started(t)
	var lines []line
	for i := range 60 {
		lines = append(lines, line{id: fmt.Sprint("s-", i)})
	}
	text := answer(t, 7, 9, lines...)
	if got, err := l.HandleAnswer(text); err != nil || len(got) != 62 || len(text) < 4000 {
		t.Errorf("%d changes, %v, of %d bytes", len(got), err, len(text))
	}
}

func TestBadAnswersChangeNothing(t *testing.T) {
	l := started(t)
	good := answer(t, 7, 9, line{id: "z"})
	bad := map[string][]byte{"empty": {}, "another id": answer(t, 8, 9), "no records": answer(t, 7, 9), "no address": answer(t, 7, 9, line{id: "z", noAddr: true}),
		"cut": good[:len(good)-3], "long": append(slices.Clone(good), make([]byte, MaxAnswerBytes)...)}
	failed := slices.Clone(good)
	failed[3] |= 2 // SERVFAIL
	bad["failed"] = failed
	for what, text := range bad {
		if got, err := l.HandleAnswer(text); err == nil || l.Serial() != 3 {
			t.Errorf("%s: %+v, serial %d", what, got, l.Serial())
		}
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 5000 { // a few bytes of a good answer are spoilt
		text := slices.Clone(good)
		for range 1 + rng.IntN(4) {
			text[rng.IntN(len(text))] = byte(rng.Uint32())
		}
		fresh := started(t)
		_, _ = fresh.HandleAnswer(text)
	}
}

// That all exchanges are gone is believed when the answers to two queries say so: one that has lost its records,
// be it repeated, is not, nor are two with a list between them.
func TestAllGone(t *testing.T) {
	l := started(t)
	if _, err := l.NewQuery(8); err != nil {
		t.Fatal(err)
	}
	for i, text := range [][]byte{answer(t, 7, 9), answer(t, 7, 9), answer(t, 7, 9)} {
		if got, err := l.HandleAnswer(text); err == nil {
			t.Errorf("copy %d: %+v", i, got)
		}
	}
	if got, err := l.HandleAnswer(answer(t, 7, 10, line{id: "a"})); err != nil || len(got) != 1 {
		t.Errorf("a list: %+v, %v", got, err)
	}
	if got, err := l.HandleAnswer(answer(t, 8, 11)); err == nil {
		t.Errorf("the first since: %+v", got)
	}
	got, err := l.HandleAnswer(answer(t, 7, 11))
	if err != nil || len(got) != 1 || got[0].Phase != config.PhaseGone {
		t.Errorf("the second: %+v, %v", got, err)
	}
}

// Serials may stand still, go back and go round; answers may come seconds late and again. Only a newer serial is news.
func TestSerials(t *testing.T) {
	l := started(t)
	for i := range 30 { // as many as are asked in 4.5 s
		if _, err := l.NewQuery(uint16(100 + i)); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		serial uint32
		id     string
		news   bool
	}{{3, "b", false}, {2, "b", false}, {4, "b", true}, {4, "c", false}, {3, "d", false}, {1 << 31, "e", true}, {1<<32 - 1, "f", true}, {1, "g", true}, {1<<32 - 1, "h", false}} {
		before := l.Serial()
		got, err := l.HandleAnswer(answer(t, 100, c.serial, line{id: c.id}))
		if err != nil || (len(got) > 0) != c.news || (l.Serial() != before) != c.news {
			t.Errorf("serial %d after %d: %+v, %v", c.serial, before, got, err)
		}
	}
}

func TestQuery(t *testing.T) {
	text, err := started(t).NewQuery(9)
	if err != nil {
		t.Fatal(err)
	}
	var p dnsmessage.Parser
	h, err := p.Start(text)
	q, err2 := p.Question()
	if err != nil || err2 != nil || h.ID != 9 || q.Type != dnsmessage.TypeSRV || !strings.HasPrefix(q.Name.String(), "_api._tcp.") {
		t.Errorf("%+v %+v %v %v", h, q, err, err2)
	}
}
