package net

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/miekg/dns"

	"lapiscourse/internal/config"
)

// enumServer answers that every number has moved to 57, until it is told to be silent.
type enumServer struct {
	addr   string
	silent atomic.Bool
	seen   atomic.Int64
}

func startENUM(t *testing.T) *enumServer {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	s := &enumServer{addr: c.LocalAddr().String()}
	go func() {
		buf := make([]byte, 2048)
		for {
			n, from, err := c.ReadFrom(buf)
			if err != nil {
				return
			}
			s.seen.Add(1)
			var q, m dns.Msg
			if s.silent.Load() || q.Unpack(buf[:n]) != nil {
				continue
			}
			m.SetReply(&q)
			rr, err := dns.NewRR(q.Question[0].Name + ` 60 IN NAPTR 1 1 "u" "E2U+pstn:tel" "!^.*$!tel:+1;rn=+57!" .`)
			if err != nil {
				continue
			}
			m.Answer = []dns.RR{rr}
			if b, err := m.Pack(); err == nil {
				_, _ = c.WriteTo(b, from)
			}
		}
	}()
	return s
}

// Numbers that may have moved are looked up before the module is asked, on both fronts; where the
// look-up server is silent each call still gets its one answer in time, by the fallback; a caller
// who leaves meanwhile, or a connection that closes, frees everything.
func TestPortedNumbers(t *testing.T) {
	t.Parallel()
	rules := filepath.Join(t.TempDir(), "numbers.toml")
	text := "[[prefix]]\nprefix = \"56\"\nroute = \"here\"\nported = true\n[[prefix]]\nprefix = \"57\"\nroute = \"there\"\n" +
		"[[route]]\nname = \"here\"\n[[route.target]]\npool = 0\n[[route]]\nname = \"there\"\n[[route.target]]\npool = 1\n"
	if err := os.WriteFile(rules, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	f, h, look := startFleet(t, 2), newHeard(), startENUM(t)
	node := func(fallback string) *site {
		f.numbers = &config.Numbers{File: rules, Lookup: config.Lookup{Servers: []string{look.addr}, Fallback: fallback}}
		if err := f.numbers.Check(); err != nil {
			t.Fatal(err)
		}
		return f.node(t, "n0", "", new(atomic.Int64))
	}
	at := func(i int) int {
		f.servers[i].mu.Lock()
		defer f.servers[i].mu.Unlock()
		return f.servers[i].invited
	}
	s := node(config.FallbackRoute)
	callers := []caller{dialJSON(t, s.json(), h, "aaaaaaaa"), dialH248(t, s.panel(), h, "<one>")}
	for i, k := range callers {
		number := fmt.Sprint("561", i)
		key := k.setUp(number, 8*time.Second)
		eventually(t, "it is where the number has moved", func() bool { return at(1) == i+1 })
		k.hangUp(key)
	}
	if at(0) != 0 || look.seen.Load() != 2 {
		t.Errorf("%d went where the numbers were, %d look-ups", at(0), look.seen.Load())
	}
	look.silent.Store(true)
	began := time.Now()
	for i, k := range callers {
		number := fmt.Sprint("562", i)
		key := k.setUp(number, 8*time.Second)
		eventually(t, "it is routed as it is", func() bool { return at(0) == i+1 || strings.Contains(h.of(key), "end") })
		k.hangUp(key)
	}
	if at(0) == 0 || time.Since(began) > 8*time.Second {
		t.Errorf("%d went where the numbers were, after %v", at(0), time.Since(began))
	}
	s.stop(t)

	s = node(config.FallbackRefuse)
	k := dialJSON(t, s.json(), h, "bbbbbbbb")
	if said := h.wait(t, k.setUp("5630", 8*time.Second), 1); said != "end 34" {
		t.Errorf("undecided: %q", said)
	}
	left := k.setUp("5631", 8*time.Second)
	k.hangUp(left)
	k.setUp("5632", 8*time.Second)
	k.close()
	eventually(t, "nothing is held", func() bool {
		pins := make(chan int, 1)
		s.n.exec(func() { pins <- s.n.numbers.desk.List()[0].Pins + s.n.core.Open() })
		return <-pins == 0
	})
	if said := h.of(left); said != "" {
		t.Errorf("a caller who left was answered: %q", said)
	}
	s.stop(t)
	if n := f.r.total(&f.r.copies) + f.r.total(&f.r.early); n != 0 {
		t.Errorf("%d rules broken", n)
	}
}
