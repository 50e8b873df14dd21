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

// Behaviors of an enumServer.
const (
	enumGood     = iota
	enumSilent   // no answers
	enumSlow     // answers after 5 to 60 ms
	enumTooSlow  // answers after the look-up has timed out
	enumFlapping // alternates between answers and silence every 50 ms
	enumInvalid  // wrong question or id, truncated, an error code, or not a DNS message
)

// enumServer is an ENUM server that answers with the routing numbers of ported numbers.
type enumServer struct {
	addr     string
	mode     atomic.Int32
	queries  atomic.Int64
	portedTo func(number string) string // routing number; "" if the number is not ported
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
			mode, delay := s.mode.Load(), time.Duration(0)
			switch {
			case mode == enumSilent, mode == enumFlapping && time.Since(began)/(50*time.Millisecond)%2 == 1:
				continue
			case mode == enumSlow:
				delay = 5*time.Millisecond + rand.N(55*time.Millisecond)
			case mode == enumTooSlow:
				delay = 700 * time.Millisecond
			}
			b := s.answer(buf[:n], mode == enumInvalid, rng)
			time.AfterFunc(delay, func() { _, _ = c.WriteTo(b, from) })
		}
	}()
	return s
}

func (s *enumServer) answer(query []byte, isInvalid bool, rng *rand.Rand) []byte {
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
	if isInvalid {
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

// numberOf returns the number of an ENUM domain, which has its digits in reverse order.
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

// portedNumber returns the routing number of a number of the replay, or "" if it is not ported. Numbers with an even
// digit in the middle are ported to a number with another first digit.
func portedNumber(number string) string {
	if len(number) != 7 || number[3]%2 == 1 {
		return ""
	}
	return string('1'+(number[0]-'1'+3)%9) + number[1:]
}

// Numbers that may be ported are looked up before the admission control is asked, on both frontends. If the ENUM server
// is silent, each call is still answered once and in time according to the fallback. A caller that cancels or
// disconnects during a look-up leaves no state behind.
func TestPortedNumbers(t *testing.T) {
	t.Parallel()
	rules := filepath.Join(t.TempDir(), "numbers.toml")
	text := "[[prefix]]\nprefix = \"56\"\nroute = \"here\"\nported = true\n[[prefix]]\nprefix = \"57\"\nroute = \"there\"\n" +
		"[[route]]\nname = \"here\"\n[[route.target]]\npool = 0\n[[route]]\nname = \"there\"\n[[route.target]]\npool = 1\n"
	if err := os.WriteFile(rules, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	f, answers, enum := startFleet(t, 2), newAnswerLog(), startENUM(t)
	node := func(fallback string) *testServer {
		f.numbers = &config.Numbering{File: rules, Lookup: config.Lookup{Servers: []string{enum.addr}, Fallback: fallback}}
		if err := f.numbers.Validate(); err != nil {
			t.Fatal(err)
		}
		return f.startServer(t, "n0", "", new(atomic.Int64))
	}
	setupsAt := func(i int) int {
		f.exchanges[i].mu.Lock()
		defer f.exchanges[i].mu.Unlock()
		return f.exchanges[i].invited
	}
	s := node(config.FallbackRoute)
	callers := []testCaller{dialJSONCaller(t, s.jsonAddress(), answers, "aaaaaaaa"), dialGatewayCaller(t, s.gatewayAddress(), answers, "<one>")}
	for i, k := range callers {
		number := fmt.Sprint("561", i)
		key := k.setUp(number, 8*time.Second)
		eventually(t, "the call is routed by the ported number", func() bool { return setupsAt(1) == i+1 })
		k.hangUp(key)
	}
	if setupsAt(0) != 0 || enum.queries.Load() != 2 {
		t.Errorf("%d calls were routed by the original number, want 0; %d look-ups, want 2", setupsAt(0), enum.queries.Load())
	}
	enum.mode.Store(enumSilent)
	began := time.Now()
	for i, k := range callers {
		number := fmt.Sprint("562", i)
		key := k.setUp(number, 8*time.Second)
		eventually(t, "the call is routed by the original number", func() bool { return setupsAt(0) == i+1 || strings.Contains(answers.of(key), "end") })
		k.hangUp(key)
	}
	if setupsAt(0) == 0 || time.Since(began) > 8*time.Second {
		t.Errorf("%d calls were routed by the original number after %v", setupsAt(0), time.Since(began))
	}
	s.stop(t)

	s = node(config.FallbackRefuse)
	client := dialJSONCaller(t, s.jsonAddress(), answers, "bbbbbbbb")
	if got := answers.await(t, client.setUp("5630", 8*time.Second), 1); got != "end 34" {
		t.Errorf("a call without a look-up result: got %q", got)
	}
	left := client.setUp("5631", 8*time.Second)
	client.hangUp(left)
	client.setUp("5632", 8*time.Second)
	client.close()
	eventually(t, "no call holds a table", func() bool {
		held := make(chan int, 1)
		s.server.loop.Execute(func() { held <- s.server.numbering.versions.List()[0].Calls + s.server.calls.OpenCalls() })
		return <-held == 0
	})
	if got := answers.of(left); got != "" {
		t.Errorf("a caller that had left received %q", got)
	}
	s.stop(t)
	if n := f.observations.total(&f.observations.simultaneousAttempts) + f.observations.total(&f.observations.earlyRetries); n != 0 {
		t.Errorf("%d simultaneous attempts or early retries, want none", n)
	}
}

// runLookups makes n calls per run, at rate calls per second on both frontends, to numbers that are all looked up at an
// ENUM server in the given mode. It checks that each call is answered in time and that no state remains afterwards. It
// returns the growth of the heap, which includes the callers and the exchanges.
func runLookups(t testing.TB, mode int32, fallback string, n int, rate float64) int64 {
	enum := startENUM(t)
	enum.mode.Store(mode)
	r := startReplay(t, config.Lookup{Servers: []string{enum.addr}, Fallback: fallback})
	text := "[[prefix]]\nprefix = \"56\"\nroute = \"r\"\nported = true\n[[prefix]]\nprefix = \"57\"\nroute = \"r\"\n[[route]]\nname = \"r\"\n[[route.target]]\npool = 0\n"
	if err := os.WriteFile(r.file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	table, err := numbering.CompileText([]byte(text), numbering.Deployment{})
	if err != nil {
		t.Fatal(err)
	}
	r.node.server.ReloadNumbering()
	eventually(t, "the table is active", func() bool { return r.activeDigest() == table.Digest() })
	heapBytes := func() int64 {
		var mem runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&mem)
		return int64(mem.HeapAlloc)
	}
	before := heapBytes()
	l := newLoadGenerator(r.answers, 5*time.Second, 4096, dialJSONCaller(t, r.node.jsonAddress(), r.answers, "aaaaaaaa"), dialGatewayCaller(t, r.node.gatewayAddress(), r.answers, "<one>"))
	l.run(n, rate, func(i int) string { return fmt.Sprintf("56%06d0", i) })
	took := l.awaitEnds(t)
	var tableRefs, openCalls int
	eventually(t, "no call is open or holds a table", func() bool {
		got := make(chan [2]int, 1)
		r.node.server.loop.Execute(func() {
			sum := 0
			for _, v := range r.node.server.numbering.versions.List() {
				sum += v.Calls
			}
			got <- [2]int{sum, r.node.server.calls.OpenCalls()}
		})
		x := <-got
		tableRefs, openCalls = x[0], x[1]
		return tableRefs+openCalls == 0
	})
	grown := heapBytes() - before
	c := r.node.server.numbering.client.Counters()
	r.node.stop(t)
	if c.Calls != n {
		t.Errorf("%d look-ups for %d calls", c.Calls, n)
	}
	k := &r.node.server.calls.Counters
	t.Logf("mode %d, %s: %d calls, %d established, %d rejected; answered after p50 %v us, p99 %v us, at most %v us; look-ups %+v; the heap grew by %d KiB",
		mode, fallback, n, k.Established, k.ByPolicy+k.Rejected, took.ValueAtQuantile(50), took.ValueAtQuantile(99), took.Max(), c, grown>>10)
	if (k.Established == n) != (fallback == config.FallbackRoute || mode == enumGood) {
		t.Errorf("mode %d, %s: %d of %d calls were established", mode, fallback, k.Established, n)
	}
	if n := r.fleet.observations.total(&r.fleet.observations.simultaneousAttempts) + r.fleet.observations.total(&r.fleet.observations.earlyRetries); n != 0 {
		t.Errorf("%d simultaneous attempts or early retries, want none", n)
	}
	return grown
}

// Each call is answered once and in time, whatever failure the ENUM server has.
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

// BenchmarkSilentLookups compares the growth of the heap during a minute at 200 set-ups per second with a silent ENUM
// server and with one that answers:
// go test -run '^$' -bench SilentLookups -benchtime 1x -timeout 10m ./internal/server
func BenchmarkSilentLookups(b *testing.B) {
	for range b.N {
		answered := runLookups(b, enumGood, config.FallbackRoute, 12_000, 200)
		routed := runLookups(b, enumSilent, config.FallbackRoute, 12_000, 200)
		refused := runLookups(b, enumSilent, config.FallbackRefuse, 12_000, 200)
		if worst := max(routed, refused); worst > answered+1<<20 {
			b.Errorf("the heap grew by %d KiB without answers and by %d KiB with answers", worst>>10, answered>>10)
		}
	}
}
