package socket

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"lapiscourse/internal/config"
	"lapiscourse/internal/lab/exchange"
	"lapiscourse/internal/lab/scenario"
	node "lapiscourse/internal/net"
)

// start runs a real call controller, with two emulated exchanges and their directory.
func start(t *testing.T) (addr string, names *Names, all []*Exchange, lines []Line) {
	t.Helper()
	sc := scenario.Default()
	names, err := ListenNames("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(names.Close)
	var members []config.Member
	for i := range 2 {
		set := sc.Model()
		set.Holding = map[string]time.Duration{"resident-call": 200 * time.Millisecond, "concierge-call": 200 * time.Millisecond, "delivery-call": 200 * time.Millisecond}
		x, err := Listen("127.0.0.1:0", set, false, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(x.Close)
		all = append(all, x)
		lines = append(lines, Line{ID: fmt.Sprint("x", i), Addr: x.Addr(), Zone: "east", Pool: i})
		members = append(members, config.Member{ID: lines[i].ID, Address: lines[i].Addr, Zone: "east", Kind: "std", Cell: i, Phase: config.Ready})
	}
	names.Set(lines...)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr = ln.Addr().String()
	_ = ln.Close()
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": addr, "seed": "1f", "names": names.Addr(), "limits": map[string]any{"memory_mb": 192, "sockets": 1024},
		"known": config.Known{N: 1, Events: []config.Event{{N: 1, Members: config.List{Complete: true, Members: members}}}},
		"settings": json.RawMessage(`{"groupSize":1,"classes":[{"name":"resident-call","aim":1500,"deadline":9000,"credit":1},{"name":"concierge-call","aim":1200,"deadline":9000,"credit":3},
		{"name":"delivery-call","aim":2000,"deadline":9000,"credit":1}],"domain":{"topology":"pools","releaseGuard":300,"resend":500},"limits":{"maxAttempts":4,"cancel":true,"connectTimeout":500},
		"safety":{"startCapacity":0.31,"cold":15000}}`)})
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	n, err := node.New(cfg, node.Options{})
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

// Calls pass through a real call controller to emulated exchanges and back: what callers got is what the
// exchanges counted, also when calls are cut and an exchange dies.
func TestLoadAndExchanges(t *testing.T) {
	t.Parallel()
	addr, names, all, lines := start(t)
	l := &Load{Addrs: []string{addr}, Rate: 30, For: 3 * time.Second, Left: 3 * time.Second, Pools: 2, Classes: scenario.Default().Class, Seed: 1}
	done := make(chan error, 1)
	go func() { done <- l.Run(context.Background()) }()
	for end := time.Now().Add(10 * time.Second); all[0].Standing() == 0 || all[1].Standing() == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no call stands at each exchange")
		}
	}
	all[0].Do(func(x *exchange.Exchange, now exchange.Time) { x.Cutting(now, x.Standing()) })
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	var stood, ups int
	for _, x := range all {
		c := x.Counters()
		stood, ups = stood+c.Stood, ups+c.SetUps
	}
	s := l.Stats()
	if s.Sent < 60 || s.Stood != stood || s.Stood+s.Refused+s.Failed+s.GaveUp != s.Sent || s.Cut == 0 || s.Stood < s.Sent*8/10 || ups < stood {
		t.Errorf("callers %+v, exchanges have %d stand of %d set-ups", s, stood, ups)
	}
	if s.Took.TotalCount() != int64(s.Stood) {
		t.Errorf("%d times of %d calls", s.Took.TotalCount(), s.Stood)
	}

	// One dies, and the directory says so: what comes goes to the other.
	all[0].Close()
	names.Set(lines[1])
	l = &Load{Addrs: []string{addr}, Rate: 20, For: 2 * time.Second, Left: 3 * time.Second, Pools: 2, Classes: scenario.Default().Class, Seed: 2}
	if err := l.Run(context.Background()); err != nil {
		t.Fatal(err)
	}
	if s := l.Stats(); s.Stood < s.Sent/2 || s.Stood+s.Refused+s.Failed+s.GaveUp != s.Sent {
		t.Errorf("with one exchange: %+v", s)
	}
	if err := (&Load{}).Run(context.Background()); err == nil {
		t.Error("a load without addresses ran")
	}
}
