package loopback

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"olivedale/internal/codec/sip"
	"olivedale/internal/config"
	"olivedale/internal/server"
	"olivedale/internal/sim/exchange"
	"olivedale/internal/sim/experiment"
	"olivedale/internal/sim/result"
	"olivedale/internal/sim/scenario"
	"olivedale/internal/sim/virtualtime"
)

// shortHolding are holding times of calls for tests that must not wait for them.
var shortHolding = map[string]time.Duration{
	"resident-call":  200 * time.Millisecond,
	"concierge-call": 200 * time.Millisecond,
	"delivery-call":  200 * time.Millisecond,
}

// controllerSettings are the platform's settings of the controller under test.
const controllerSettings = `{
	"groupSize": 1,
	"classes": [
		{"name": "resident-call", "aim": 1500, "deadline": 9000, "credit": 1},
		{"name": "concierge-call", "aim": 1200, "deadline": 9000, "credit": 3},
		{"name": "delivery-call", "aim": 2000, "deadline": 9000, "credit": 1}
	],
	"domain": {"topology": "pools", "releaseGuard": 300, "resend": 500},
	"limits": {"maxAttempts": 4, "cancel": true, "connectTimeout": 500},
	"safety": {"startCapacity": 0.31, "cold": 15000}
}`

// start runs a real controller with a number of emulated exchanges and their name service.
func start(t testing.TB, set exchange.Settings, exchanges int) (addr string, names *NameService, all []*Exchange, lines []Endpoint) {
	t.Helper()
	names, err := ListenNameService("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(names.Close)
	var members []config.Endpoint
	for i := range exchanges {
		x, err := Listen("127.0.0.1:0", set, false, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(x.Close)
		all = append(all, x)
		lines = append(lines, Endpoint{ID: fmt.Sprint("x", i), Addr: x.Addr(), Zone: "east", Pool: i})
		members = append(members, config.Endpoint{ID: lines[i].ID, Address: lines[i].Addr, Zone: "east", Kind: "std", Pool: i, Phase: config.PhaseReady})
	}
	names.Set(lines...)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr = ln.Addr().String()
	_ = ln.Close()
	list := config.EndpointList{Complete: true, Endpoints: members}
	text, err := json.Marshal(map[string]any{
		"name":     "n0",
		"listen":   addr,
		"seed":     "1f",
		"names":    names.Addr(),
		"limits":   map[string]any{"memory_mb": 192, "sockets": 1024},
		"known":    config.KnownEndpoints{LastEvent: 1, Events: []config.EndpointEvent{{N: 1, Endpoints: list}}},
		"settings": json.RawMessage(controllerSettings),
	})
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	n, err := server.New(cfg, server.Options{})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- n.Run() }()
	<-n.Started()
	t.Cleanup(func() {
		n.Stop()
		<-done
	})
	return addr, names, all, lines
}

// TestLoadAndExchanges sends calls through a real controller to emulated exchanges: what callers got is what the
// exchanges counted, also when calls are dropped and an exchange ends.
func TestLoadAndExchanges(t *testing.T) {
	t.Parallel()
	sc := scenario.Default()
	set := sc.Model()
	set.MeanHoldingTime = shortHolding
	addr, names, all, lines := start(t, set, 2)
	l := &Load{Addrs: []string{addr}, Rate: 30, Duration: 3 * time.Second, CallerTimeout: 3 * time.Second, Pools: 2, Classes: scenario.Default().Class, Seed: 1}
	done := make(chan error, 1)
	go func() { done <- l.Run(context.Background()) }()
	for end := time.Now().Add(10 * time.Second); all[0].EstablishedCalls() == 0 || all[1].EstablishedCalls() == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no call is established at each exchange")
		}
	}
	all[0].Do(func(x *exchange.Exchange, now exchange.Time) { x.DropCalls(now, x.EstablishedCalls()) })
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	var stood, ups int
	for _, x := range all {
		c := x.Counters()
		stood, ups = stood+c.Established, ups+c.SetUps
	}
	s := l.Stats()
	if s.Sent < 60 || s.Established != stood || s.Established+s.Rejected+s.Failed+s.Abandoned != s.Sent || s.Dropped == 0 || s.Established < s.Sent*8/10 || ups < stood {
		t.Errorf("callers %+v, exchanges established %d of %d calls", s, stood, ups)
	}
	if s.Took.TotalCount() != int64(s.Established) {
		t.Errorf("%d times of %d calls", s.Took.TotalCount(), s.Established)
	}

	// One exchange ends, and discovery publishes it: calls go to the other.
	all[0].Close()
	names.Set(lines[1])
	l = &Load{Addrs: []string{addr}, Rate: 20, Duration: 2 * time.Second, CallerTimeout: 3 * time.Second, Pools: 2, Classes: scenario.Default().Class, Seed: 2}
	if err := l.Run(context.Background()); err != nil {
		t.Fatal(err)
	}
	if s := l.Stats(); s.Established < s.Sent/2 || s.Established+s.Rejected+s.Failed+s.Abandoned != s.Sent {
		t.Errorf("with one exchange: %+v", s)
	}
	if err := (&Load{}).Run(context.Background()); err == nil {
		t.Error("a load without addresses ran")
	}
}

// BenchmarkFloors compares virtual time with sockets: one controller, three exchanges, no caller tries twice.
// go test -run '^$' -bench Floors -benchtime 1x ./internal/sim/loopback
func BenchmarkFloors(b *testing.B) {
	for range b.N {
		for _, load := range []float64{0.6, 0.9, 1.3} {
			compareFloors(b, load)
		}
	}
}

// comparisonScenario is a scenario that means the same in virtual time and on sockets.
func comparisonScenario(b *testing.B, load float64) scenario.Scenario {
	b.Helper()
	sc := scenario.Default()
	sc.Length = scenario.Duration(30 * time.Second)
	sc.Fleet.Controllers = 1
	sc.Callers.Load = load
	sc.Callers.PreferredWeight = 1
	sc.Callers.PreferenceInterval = scenario.DurationRange{}
	sc.Callers.MaxRedials = 0
	sc.Callers.Patience = [2]float64{1.0 / 3, 1.0 / 3}
	// The latency of loopback.
	near := scenario.DurationRange{scenario.Duration(50 * time.Microsecond), scenario.Duration(150 * time.Microsecond)}
	sc.Network.Near = near
	sc.Network.Far = near
	sc.Network.Client = scenario.Duration(100 * time.Microsecond)
	if err := sc.Check(); err != nil {
		b.Fatal(err)
	}
	return sc
}

// compareFloors logs the figures of 12 runs in virtual time and of one on sockets.
func compareFloors(b *testing.B, load float64) {
	b.Helper()
	sc := comparisonScenario(b, load)
	days, err := experiment.Play(context.Background(), &sc, experiment.Seeds(1, 12), virtualtime.Options{})
	if err != nil {
		b.Fatal(err)
	}
	addr, _, _, _ := start(b, sc.Model(), 3)
	l := &Load{
		Addrs:         []string{addr},
		Rate:          load * sc.Rate(),
		Duration:      sc.Length.D(),
		CallerTimeout: 3 * time.Second,
		Pools:         3,
		Classes:       sc.Class,
		Seed:          1,
	}
	if err := l.Run(context.Background()); err != nil {
		b.Fatal(err)
	}
	s := l.Stats()
	fraction := func(n, of int) float64 { return float64(n) / float64(max(of, 1)) }
	for _, figure := range []struct {
		name    string
		sockets float64
	}{
		{"stood", fraction(s.Established, s.Sent)},
		{"refused", fraction(s.Rejected, s.Sent)},
		{"p50 ms", float64(s.Took.ValueAtQuantile(50)) / 1000},
		{"p99 ms", float64(s.Took.ValueAtQuantile(99)) / 1000},
	} {
		values := daysOf(days, figure.name)
		b.Logf("load %v, %s: virtual %.3f, days from %.3f to %.3f; sockets %.3f", load, figure.name,
			experiment.Bootstrap(values, false).Mean, slices.Min(values), slices.Max(values), figure.sockets)
	}
}

// daysOf returns a figure of each run.
func daysOf(all []*result.Result, name string) (v []float64) {
	for _, r := range all {
		switch name {
		case "stood":
			v = append(v, float64(r.Established)/float64(r.Offered))
		case "refused":
			v = append(v, float64(r.Rejected)/float64(r.Offered))
		case "p50 ms":
			v = append(v, r.P50)
		default:
			v = append(v, r.P99)
		}
	}
	return v
}

// TestClosedConnectionIsForgotten checks that attempts are forgotten when their connection closes. (They were once
// kept for ever.)
func TestClosedConnectionIsForgotten(t *testing.T) {
	t.Parallel()
	sc := scenario.Default()
	set := sc.Model()
	set.SetUp = time.Hour // no call is established
	x, err := Listen("127.0.0.1:0", set, false, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer x.Close()
	c, err := net.Dial("tcp", x.Addr())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write(sip.AppendRequest(nil, &sip.Request{Method: "INVITE", Number: "5", CallID: "a", CSeq: 1})); err != nil {
		t.Fatal(err)
	}
	openAttempts := func() int {
		x.mu.Lock()
		defer x.mu.Unlock()
		return len(x.calls)
	}
	for want := 1; want >= 0; want-- {
		for end := time.Now().Add(5 * time.Second); openAttempts() != want; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d attempts are open, want %d", openAttempts(), want)
			}
		}
		_ = c.Close()
	}
}
