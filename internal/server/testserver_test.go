package server

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"olivedale/internal/call"
	"olivedale/internal/config"
)

// testServer is a running server with its simulated exchanges.
type testServer struct {
	server       *Server
	discovery    *discoveryServer
	observations *callObservations
	exchanges    []*simulatedExchange
	done         chan error
}

func (s *testServer) boundAddress(configured string) string {
	for _, l := range s.server.listeners.all {
		for bound, kind := range s.server.listeners.byBound {
			if kind == l.kind && l.configured == configured && bound != configured {
				return bound
			}
		}
	}
	return ""
}

func (s *testServer) jsonAddress() string    { return s.boundAddress(s.server.cfg.Listen) }
func (s *testServer) gatewayAddress() string { return s.boundAddress(s.server.h248.Listen) }
func (s *testServer) adminAddress() string   { return s.boundAddress(s.server.h248.Admin) }

const settings = `{"groupSize":1,"classes":[{"name":"voice","aim":2000,"deadline":9000,"credit":1,"lateWorth":0.2}],
 "domain":{"topology":"pools","releaseGuard":300,"resend":1500,"skilledPools":[[0,1,2,3]]},
 "limits":{"maxAttempts":4,"cancel":true,"connectTimeout":500},"safety":{"startCapacity":0.5,"cold":1000}}`

// startTestServer starts a server with a simulated exchange for each flag: true for H.248.
func startTestServer(t *testing.T, dialects ...bool) *testServer {
	t.Helper()
	s := &testServer{discovery: startDiscoveryServer(t), observations: newCallObservations(), done: make(chan error, 1)}
	h := &config.H248{Listen: "127.0.0.2:0", Admin: "127.0.0.3:0"}
	var lines []endpointLine
	var known []config.Endpoint
	for i, isH248 := range dialects {
		server := startSimulatedExchange(t, s.observations, isH248)
		s.exchanges = append(s.exchanges, server)
		id := fmt.Sprint("s-", i)
		if isH248 {
			h.Servers = append(h.Servers, config.H248Server{ID: id, Address: server.addr(), Pool: i})
			continue
		}
		lines = append(lines, endpointLine{id: id, addr: server.addr(), pool: i})
		known = append(known, config.Endpoint{ID: id, Address: server.addr(), Zone: "east", Kind: "std", Pool: i, Phase: config.PhaseReady})
	}
	s.discovery.set(lines...)
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "seed": "1f", "names": s.discovery.conn.LocalAddr().String(),
		"limits": map[string]any{"memory_mb": 192, "sockets": 1024}, "settings": json.RawMessage(settings),
		"known": config.KnownEndpoints{LastEvent: 1, Events: []config.EndpointEvent{{N: 1, Endpoints: config.EndpointList{Complete: true, Endpoints: known}}}}})
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	if s.server, err = New(cfg, Options{H248: h}); err != nil {
		t.Fatal(err)
	}
	s.observeRetries()
	go func() { s.done <- s.server.Run() }()
	select {
	case <-s.server.Started():
	case err := <-s.done:
		t.Fatal(err)
	case <-time.After(10 * time.Second):
		t.Fatal("the node did not start")
	}
	t.Cleanup(func() {
		s.server.Stop()
		select {
		case <-s.done:
		case <-time.After(10 * time.Second):
			t.Error("the node did not stop")
		}
	})
	return s
}

// eventually waits for a condition that should soon hold.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

func writeFile(t testing.TB, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// fleet is several servers with the same simulated exchanges and discovery service.
type fleet struct {
	discovery    *discoveryServer
	observations *callObservations
	exchanges    []*simulatedExchange
	lines        []endpointLine
	numbers      *config.Numbering // of servers started from now on
	decider      call.Decider      // of the next server, in place of the admission control
	pools        string            // that calls may go to; "": those of settings
	recordQueue  config.Size       // of records; 0: the default
	sockets      int               // 0: 1024
}

func startFleet(t testing.TB, servers int) *fleet {
	t.Helper()
	f := &fleet{discovery: startDiscoveryServer(t), observations: newCallObservations()}
	for i := range servers {
		s := startSimulatedExchange(t, f.observations, false)
		f.exchanges = append(f.exchanges, s)
		f.lines = append(f.lines, endpointLine{id: fmt.Sprint("s-", i), addr: s.addr(), pool: i})
	}
	f.discovery.set(f.lines...)
	return f
}

// startServer starts one more server; skew is how far its clock is ahead. Without dir it records nothing.
func (f *fleet) startServer(t testing.TB, name, dir string, skew *atomic.Int64) *testServer {
	t.Helper()
	var known []config.Endpoint
	for _, l := range f.lines {
		known = append(known, config.Endpoint{ID: l.id, Address: l.addr, Zone: "east", Kind: "std", Pool: l.pool, Phase: config.PhaseReady})
	}
	text, err := json.Marshal(map[string]any{"name": name, "listen": "127.0.0.1:0", "seed": "1f", "names": f.discovery.conn.LocalAddr().String(),
		"limits": map[string]any{"memory_mb": 192, "sockets": cmp.Or(f.sockets, 1024)}, "settings": json.RawMessage(strings.Replace(settings, "[[0,1,2,3]]", cmp.Or(f.pools, "[[0,1,2,3]]"), 1)),
		"known": config.KnownEndpoints{LastEvent: 1, Events: []config.EndpointEvent{{N: 1, Endpoints: config.EndpointList{Complete: true, Endpoints: known}}}}})
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	var rec *config.Records
	if dir != "" {
		rec = &config.Records{Dir: dir, Sync: config.Duration(10 * time.Millisecond), Queue: f.recordQueue}
		if err := rec.Validate(); err != nil {
			t.Fatal(err)
		}
	}
	s := &testServer{discovery: f.discovery, observations: f.observations, exchanges: f.exchanges, done: make(chan error, 1)}
	s.server, err = New(cfg, Options{Records: rec, Numbers: f.numbers, Program: "test", decider: f.decider, H248: &config.H248{Listen: "127.0.0.2:0", Admin: "127.0.0.3:0"},
		Clock: func() time.Time { return time.Now().Add(time.Duration(skew.Load())) }})
	if err != nil {
		t.Fatal(err)
	}
	s.observeRetries()
	go func() { s.done <- s.server.Run() }()
	select {
	case <-s.server.Started():
	case <-time.After(10 * time.Second):
		t.Fatal("the node did not start")
	}
	return s
}

// stop shuts a server down in good order.
func (s *testServer) stop(t testing.TB) {
	t.Helper()
	s.server.Stop()
	select {
	case <-s.done:
	case <-time.After(10 * time.Second):
		t.Fatal("the node did not stop")
	}
}
