package console

import (
	"context"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"olivedale/internal/adminapi"
	"olivedale/internal/codec/h248"
)

// serveAdmin serves admin commands on a free port until the listener is closed.
func serveAdmin(t *testing.T, handle adminapi.Handler) (addr string, ln net.Listener) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() { _ = adminapi.Serve(ln, "<x>", handle) }()
	return ln.Addr().String(), ln
}

func newStatistics(nodes ...*h248.Node) []*h248.Node {
	return []*h248.Node{{Name: "Statistics", Children: nodes}}
}

// newInstanceHandler returns a fake instance that reports ten more established calls at each request.
func newInstanceHandler() adminapi.Handler {
	established := 0
	server := &h248.Node{Name: "oc/server", Children: []*h248.Node{
		{Name: "oc/name", Value: "s-1", Quoted: true},
		{Name: "oc/phase", Value: "listed"},
		{Name: "oc/ceiling", Value: "2.50"},
		{Name: "oc/attempts", Value: "7"},
	}}
	return func(*h248.Command) ([]*h248.Node, *h248.Error) {
		established += 10
		return newStatistics(
			&h248.Node{Name: "oc/requests", Value: strconv.Itoa(established)},
			&h248.Node{Name: "oc/stood", Value: strconv.Itoa(established)},
			server,
		), nil
	}
}

// newAgentHandler returns a fake agent that lists the running instance n0.
func newAgentHandler(admin string) adminapi.Handler {
	instance := &h248.Node{Name: "oa/instance", Children: []*h248.Node{
		{Name: "name", Value: "n0", Quoted: true},
		{Name: "state", Value: "running"},
		{Name: "starts", Value: "1"},
		{Name: "admin", Value: admin, Quoted: true},
	}}
	return func(*h248.Command) ([]*h248.Node, *h248.Error) { return newStatistics(instance), nil }
}

// An instance that stops answering is shown as unresponsive with the age of its data; so are all instances of an agent
// that stops answering.
func TestPollerShowsUnresponsiveInstances(t *testing.T) {
	admin, instance := serveAdmin(t, newInstanceHandler())
	addr, agent := serveAdmin(t, newAgentHandler(admin))
	src := NewPoller([]string{addr}, 50*time.Millisecond)
	next := func() *Snapshot {
		s, err := src.Next(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	next()
	s := next()
	if i := s.Instances[0]; i.State != StateRunning || i.Total.Established != 20 || !(i.Rates.Established > 0) ||
		i.Servers[0].RateLimit != 2.5 {
		t.Errorf("%+v", i)
	}
	_ = instance.Close()
	s = next()
	if i := s.Instances[0]; i.State != StateUnresponsive || i.Problem == "" || i.Total.Established != 20 ||
		s.At.Sub(i.Seen) <= 0 || len(s.Events) == 0 {
		t.Errorf("%+v", i)
	}
	_ = agent.Close()
	s = next()
	if i := s.Instances[0]; i.Name != "n0" || i.State != StateUnresponsive || !strings.Contains(i.Problem, "agent") {
		t.Errorf("%+v", i)
	}
	m := newTestModel(s, 80, 24)
	if got := screen(t, m); !strings.Contains(got, "1 silent") {
		t.Error(got)
	}
	if got := screen(t, press(m, "enter")); !strings.Contains(got, "does not answer") {
		t.Error(got)
	}
}
