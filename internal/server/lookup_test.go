package server

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/miekg/dns"

	"olivedale/internal/config"
	"olivedale/internal/numbering"
)

// Modes of an enumServer.
const (
	enumGood     = iota
	enumSilent   // it answers nothing
	enumSlow     // it takes 5 to 60 ms
	enumTooSlow  // it takes longer than anybody waits
	enumFlapping // it is silent every other 50 ms
	enumInvalid  // to another question, with another id, cut short, with a response code, or no DNS at all
)

// enumServer is an ENUM server; its answers say where numbers have been ported to.
type enumServer struct {
	addr     string
	mode     atomic.Int32
	queries  atomic.Int64
	portedTo func(number string) string // "": it stays
}

func startENUM(t testing.TB) *enumServer {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	s := &enumServer{addr: c.LocalAddr().String(), portedTo: func(string) string { return "57" }}
	go func() {
		buf := make([]byte, 2048)
		rng := rand.New(rand.NewPCG(41, 42))
		began := time.Now()
		for {
			n, from, err := c.ReadFrom(buf)
			if err != nil {
				return
			}
			s.queries.Add(1)
			mode, wait := s.mode.Load(), time.Duration(0)
			switch {
			case mode == enumSilent, mode == enumFlapping && time.Since(began)/(50*time.Millisecond)%2 == 1:
				continue
			case mode == enumSlow:
				wait = 5*time.Millisecond + rand.N(55*time.Millisecond)
			case mode == enumTooSlow:
				wait = 700 * time.Millisecond
			}
			b := s.answer(buf[:n], mode == enumInvalid, rng)
			time.AfterFunc(wait, func() { _, _ = c.WriteTo(b, from) })
		}
	}()
	return s
}

func (s *enumServer) answer(query []byte, lie bool, rng *rand.Rand) []byte {
	var q, m dns.Msg
	if q.Unpack(query) != nil || len(q.Question) != 1 {
		return []byte("?")
	}
	name := q.Question[0].Name
	m.SetReply(&q)
	if to := s.portedTo(numberOf(name)); to == "" {
		m.Rcode = dns.RcodeNameError
	} else if rr, err := dns.NewRR(name + ` 60 IN NAPTR 1 1 "u" "E2U+pstn:tel" "!^.*$!tel:+1;rn=+` + to + `!" .`); err == nil {
		m.Answer = []dns.RR{rr}
	}
	if lie {
		switch rng.IntN(5) {
		case 0:
			m.Id++
		case 1:
			m.Question[0].Name = "9." + name
		case 2:
			m.Truncated, m.Answer = true, nil
		case 3:
			m.Rcode, m.Answer = dns.RcodeServerFailure, nil
		default:
			return []byte("no DNS at all")
		}
	}
	b, err := m.Pack()
	if err != nil {
		return []byte("?")
	}
	return b
}

// numberOf reads a number from its domain, which has its digits in reverse.
func numberOf(domain string) string {
	var digits []byte
	for _, label := range strings.Split(domain, ".") {
		if len(label) == 1 && label[0] >= '0' && label[0] <= '9' {
			digits = append(digits, label[0])
		}
	}
	slices.Reverse(digits)
	return string(digits)
}

// portedNumber returns where numbers of the replay have been ported to: those with an even digit in their middle to another
// first digit.
func portedNumber(number string) string {
	if len(number) != 7 || number[3]%2 == 1 {
		return ""
	}
	return string('1'+(number[0]-'1'+3)%9) + number[1:]
}

// Numbers that may have been ported are looked up before the admission control is asked, on both frontends; where the
// ENUM server is silent each call still gets its one answer in time, by the fallback; a caller who leaves meanwhile,
// or a connection that closes, frees everything.
func TestPortedNumbers(t *testing.T) {
	t.Parallel()
	rules := filepath.Join(t.TempDir(), "numbers.toml")
	text := "[[prefix]]\nprefix = \"56\"\nroute = \"here\"\nported = true\n[[prefix]]\nprefix = \"57\"\nroute = \"there\"\n" +
		"[[route]]\nname = \"here\"\n[[route.target]]\npool = 0\n[[route]]\nname = \"there\"\n[[route.target]]\npool = 1\n"
	if err := os.WriteFile(rules, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	f, answers, look := startFleet(t, 2), newAnswerLog(), startENUM(t)
	node := func(fallback string) *testServer {
		f.numbers = &config.Numbering{File: rules, Lookup: config.Lookup{Servers: []string{look.addr}, Fallback: fallback}}
		if err := f.numbers.Validate(); err != nil {
			t.Fatal(err)
		}
		return f.startServer(t, "n0", "", new(atomic.Int64))
	}
	at := func(i int) int {
		f.exchanges[i].mu.Lock()
		defer f.exchanges[i].mu.Unlock()
		return f.exchanges[i].invited
	}
	s := node(config.FallbackRoute)
	callers := []testCaller{dialJSONCaller(t, s.jsonAddress(), answers, "aaaaaaaa"), dialGatewayCaller(t, s.gatewayAddress(), answers, "<one>")}
	for i, k := range callers {
		number := fmt.Sprint("561", i)
		key := k.setUp(number, 8*time.Second)
		eventually(t, "it is where the number has moved", func() bool { return at(1) == i+1 })
		k.hangUp(key)
	}
	if at(0) != 0 || look.queries.Load() != 2 {
		t.Errorf("%d went where the numbers were, %d look-ups", at(0), look.queries.Load())
	}
	look.mode.Store(enumSilent)
	began := time.Now()
	for i, k := range callers {
		number := fmt.Sprint("562", i)
		key := k.setUp(number, 8*time.Second)
		eventually(t, "it is routed as it is", func() bool { return at(0) == i+1 || strings.Contains(answers.of(key), "end") })
		k.hangUp(key)
	}
	if at(0) == 0 || time.Since(began) > 8*time.Second {
		t.Errorf("%d went where the numbers were, after %v", at(0), time.Since(began))
	}
	s.stop(t)

	s = node(config.FallbackRefuse)
	client := dialJSONCaller(t, s.jsonAddress(), answers, "bbbbbbbb")
	if said := answers.await(t, client.setUp("5630", 8*time.Second), 1); said != "end 34" {
		t.Errorf("undecided: %q", said)
	}
	left := client.setUp("5631", 8*time.Second)
	client.hangUp(left)
	client.setUp("5632", 8*time.Second)
	client.close()
	eventually(t, "nothing is held", func() bool {
		pins := make(chan int, 1)
		s.server.loop.Execute(func() { pins <- s.server.numbering.versions.List()[0].Calls + s.server.calls.OpenCalls() })
		return <-pins == 0
	})
	if said := answers.of(left); said != "" {
		t.Errorf("a caller who left was answered: %q", said)
	}
	s.stop(t)
	if n := f.observations.total(&f.observations.simultaneousAttempts) + f.observations.total(&f.observations.earlyRetries); n != 0 {
		t.Errorf("%d rules broken", n)
	}
}

// runLookups makes so many calls to numbers that are all looked up, at a rate a second and on both frontends, with a
// server in some mode, and checks that each is answered in time and that nothing is held when they have ended. It
// returns by how much the memory in use has grown, callers and exchanges included.
func runLookups(t testing.TB, mode int32, fallback string, n int, rate float64) int64 {
	look := startENUM(t)
	look.mode.Store(mode)
	r := startReplay(t, config.Lookup{Servers: []string{look.addr}, Fallback: fallback})
	text := "[[prefix]]\nprefix = \"56\"\nroute = \"r\"\nported = true\n[[prefix]]\nprefix = \"57\"\nroute = \"r\"\n[[route]]\nname = \"r\"\n[[route.target]]\npool = 0\n"
	if err := os.WriteFile(r.file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	table, err := numbering.CompileText([]byte(text), numbering.Deployment{})
	if err != nil {
		t.Fatal(err)
	}
	r.node.server.ReloadNumbering()
	eventually(t, "the table is in force", func() bool { return r.activeDigest() == table.Digest() })
	inUse := func() int64 {
		var mem runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&mem)
		return int64(mem.HeapAlloc)
	}
	before := inUse()
	l := newLoadGenerator(r.answers, 5*time.Second, 4096, dialJSONCaller(t, r.node.jsonAddress(), r.answers, "aaaaaaaa"), dialGatewayCaller(t, r.node.gatewayAddress(), r.answers, "<one>"))
	l.run(n, rate, func(i int) string { return fmt.Sprintf("56%06d0", i) })
	took := l.awaitEnds(t)
	var pins, waits int
	eventually(t, "nothing is held", func() bool {
		got := make(chan [2]int, 1)
		r.node.server.loop.Execute(func() {
			sum := 0
			for _, v := range r.node.server.numbering.versions.List() {
				sum += v.Calls
			}
			got <- [2]int{sum, r.node.server.calls.OpenCalls()}
		})
		x := <-got
		pins, waits = x[0], x[1]
		return pins+waits == 0
	})
	grown := inUse() - before
	c := r.node.server.numbering.client.Counters()
	r.node.stop(t)
	if c.Calls != n {
		t.Errorf("%d look-ups of %d calls", c.Calls, n)
	}
	k := &r.node.server.calls.Counters
	t.Logf("mode %d, %s: %d calls, %d stood, %d turned away; answered after p50 %v us, p99 %v us, at most %v us; look-ups %+v; memory grew by %d KiB",
		mode, fallback, n, k.Established, k.ByPolicy+k.Rejected, took.ValueAtQuantile(50), took.ValueAtQuantile(99), took.Max(), c, grown>>10)
	if (k.Established == n) != (fallback == config.FallbackRoute || mode == enumGood) {
		t.Errorf("mode %d, %s: %d of %d stood", mode, fallback, k.Established, n)
	}
	if n := r.fleet.observations.total(&r.fleet.observations.simultaneousAttempts) + r.fleet.observations.total(&r.fleet.observations.earlyRetries); n != 0 {
		t.Errorf("%d rules broken", n)
	}
	return grown
}

// Whatever an ENUM server does, each call gets its one answer before its caller gives up.
func TestLookupServersThatFail(t *testing.T) {
	t.Parallel()
	for _, mode := range []int32{enumSilent, enumTooSlow, enumFlapping, enumInvalid} {
		t.Run(fmt.Sprint("mode ", mode), func(t *testing.T) {
			t.Parallel()
			runLookups(t, mode, config.FallbackRoute, 200, 200)
		})
	}
	t.Run("refuse", func(t *testing.T) {
		t.Parallel()
		runLookups(t, enumSilent, config.FallbackRefuse, 100, 200)
	})
}

// The ENUM server is silent for a minute at 200 set-ups a second; the memory is compared with that of the same minute
// with one that answers:
// go test -run '^$' -bench SilentLookups -benchtime 1x -timeout 10m ./internal/server
func BenchmarkSilentLookups(b *testing.B) {
	for range b.N {
		answers := runLookups(b, enumGood, config.FallbackRoute, 12_000, 200)
		nothing := runLookups(b, enumSilent, config.FallbackRoute, 12_000, 200)
		refused := runLookups(b, enumSilent, config.FallbackRefuse, 12_000, 200)
		if worst := max(nothing, refused); worst > answers+1<<20 {
			b.Errorf("it grew by %d KiB in a minute of silence, by %d with answers", worst>>10, answers>>10)
		}
	}
}
