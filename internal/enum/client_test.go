package enum

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/miekg/dns"

	"olivedale/internal/numbering"
	"olivedale/internal/portability"
)

// standIn is a server of the tests: it does what mode says.
type standIn struct {
	c    net.PacketConn
	mode atomic.Value // string
	seen atomic.Int64
}

func startServer(t *testing.T, mode string) *standIn {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &standIn{c: c}
	s.mode.Store(mode)
	t.Cleanup(func() { _ = c.Close() })
	go func() {
		buf := make([]byte, 2048)
		for {
			n, from, err := c.ReadFrom(buf)
			if err != nil {
				return
			}
			s.seen.Add(1)
			var q, m dns.Msg
			if q.Unpack(buf[:n]) != nil {
				continue
			}
			m.SetReply(&q)
			rr, err := dns.NewRR(m.Question[0].Name + ` 60 IN NAPTR 1 1 "u" "E2U+pstn:tel" "!^.*$!tel:+1;rn=+56999!" .`)
			if err != nil {
				continue
			}
			m.Answer = []dns.RR{rr}
			delay := time.Duration(0)
			switch s.mode.Load() {
			case "silent":
				continue
			case "slow":
				delay = 5 * time.Second
			case "fails":
				m.Rcode, m.Answer = dns.RcodeServerFailure, nil
			case "cut":
				m.Truncated = true
			case "lies: question":
				m.Question[0].Name = "9." + m.Question[0].Name
			case "lies: id":
				m.Id++
			case "lies: noise":
				_, _ = c.WriteTo([]byte("noise"), from)
				continue
			case "lies: 64 KB":
				_, _ = c.WriteTo(append(buf[:2:2], make([]byte, 60000)...), from)
				continue
			}
			if b, err := m.Pack(); err == nil {
				time.AfterFunc(delay, func() { _, _ = c.WriteTo(b, from) })
			}
		}
	}()
	return s
}

// Whatever the first server does, each call is told once and in time, by the second where it can be;
// with both of a kind, at the end of its time at the latest.
func TestClientAgainstStandIns(t *testing.T) {
	for _, mode := range []string{"works", "silent", "slow", "fails", "cut", "lies: question", "lies: id", "lies: noise", "lies: 64 KB"} {
		for _, both := range []bool{false, true} {
			t.Run(fmt.Sprint(mode, " ", both), func(t *testing.T) {
				t.Parallel()
				a, b := startServer(t, mode), startServer(t, "works")
				if both {
					b.mode.Store(mode)
				}
				set := portability.Defaults(2)
				set.QueryTimeout = 200 * time.Millisecond
				c, err := Dial([]string{a.c.LocalAddr().String(), b.c.LocalAddr().String()}, suffix, set)
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				const calls, wait = 40, 2 * time.Second
				var mu sync.Mutex
				told := make(map[string]portability.Result)
				late, twice := 0, 0
				var all sync.WaitGroup
				for i := range calls {
					all.Add(1)
					call, began := fmt.Sprint(i), time.Now()
					if !c.Ask(call, fmt.Sprintf("56%04d", i%20), wait, func(r portability.Result) {
						mu.Lock()
						defer mu.Unlock()
						if _, there := told[call]; there {
							twice++
							return
						}
						if told[call] = r; time.Since(began) > wait+2*time.Second { // no tight timings: the resolver's own test has those
							late++
						}
						all.Done()
					}) {
						t.Fatal("the queue is full")
					}
				}
				ended := make(chan struct{})
				go func() { all.Wait(); close(ended) }()
				select {
				case <-ended:
				case <-time.After(20 * time.Second):
					t.Fatal("a call was not told")
				}
				mu.Lock()
				defer mu.Unlock()
				for call, r := range told {
					works := mode == "works" || !both
					if works && (r.Ported.State != numbering.Moved || r.Ported.Routing.String() != "56999") || !works && r.Ported.State != numbering.Undecided {
						t.Errorf("call %s: %+v", call, r)
					}
				}
				if late+twice > 0 {
					t.Errorf("%d late, %d told twice", late, twice)
				}
				if n := c.Counters(); n.Asked != calls || mode == "works" && n.Coalesced+n.Hits < calls/2 {
					t.Errorf("%+v", n)
				}
			})
		}
	}
}

// A call that is cancelled is not told, and a client that ends leaves nothing behind.
func TestCancelAndClose(t *testing.T) {
	s := startServer(t, "silent")
	set := portability.Defaults(1)
	c, err := Dial([]string{s.c.LocalAddr().String()}, suffix, set)
	if err != nil {
		t.Fatal(err)
	}
	var told atomic.Int64
	c.Ask("a", "561", time.Minute, func(portability.Result) { told.Add(1) })
	c.Cancel("a")
	done := make(chan struct{})
	c.Ask("b", "562", 30*time.Millisecond, func(portability.Result) { close(done) })
	<-done
	if told.Load() != 0 {
		t.Error("a cancelled call was told")
	}
	for end := time.Now().Add(5 * time.Second); c.Counters().Asked != 2 || c.Counters().Undecided != 1; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%+v", c.Counters())
		}
	}
	c.Close()
	c.Close()
}
