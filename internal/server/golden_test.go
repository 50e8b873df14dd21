package server

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"olivedale/internal/adminapi"
	"olivedale/internal/backend"
	"olivedale/internal/codec/h248"
	"olivedale/internal/codec/h248/transaction"
	"olivedale/internal/codec/jsonl"
	"olivedale/internal/codec/sip"
	"olivedale/internal/config"
	"olivedale/internal/goldentest"
)

// A tap notes every byte that the node sends on a connection.
type tap struct {
	t      *testing.T
	conn   net.Conn
	framed bool // TPKT frames are stripped: their lengths change with ports
	in     h248.Framer
	mu     sync.Mutex
	stream []byte
}

func newTap(t *testing.T, c net.Conn, framed bool) *tap {
	p := &tap{t: t, conn: c, framed: framed}
	go func() {
		buf := make([]byte, 4096)
		for {
			n, err := c.Read(buf)
			if err != nil {
				return
			}
			p.take(buf[:n])
		}
	}()
	t.Cleanup(func() { _ = c.Close() })
	return p
}

// dialTap connects to an address of the node.
func dialTap(t *testing.T, addr string, framed bool) *tap {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return newTap(t, c, framed)
}

func (p *tap) take(b []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.framed {
		p.stream = append(p.stream, b...)
		return
	}
	_ = p.in.Feed(b, func(text []byte) bool {
		p.stream = append(p.stream, text...)
		return true
	})
}

func (p *tap) text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return string(p.stream)
}

// awaits waits until what came matches a pattern, and returns the first group of the last match.
func (p *tap) awaits(pattern string) (group string) {
	p.t.Helper()
	re := regexp.MustCompile("(?s)" + pattern)
	eventually(p.t, pattern, func() bool {
		all := re.FindAllStringSubmatch(p.text(), -1)
		if len(all) == 0 {
			return false
		}
		last := all[len(all)-1]
		group = last[len(last)-1]
		return true
	})
	return group
}

func (p *tap) send(b []byte) {
	if _, err := p.conn.Write(b); err != nil {
		p.t.Error(err)
	}
}

// sendTransaction sends a transaction of an H.248 peer.
func (p *tap) sendTransaction(mid string, tr *h248.Transaction) {
	b, err := h248.AppendFrame(nil, &h248.Message{MID: mid, Transactions: []*h248.Transaction{tr}})
	if err != nil {
		p.t.Error(err)
	}
	p.send(b)
}

// request sends a request of one command.
func (p *tap) request(mid string, id uint32, context string, c *h248.Command) {
	p.sendTransaction(mid, &h248.Transaction{ID: id, Actions: []*h248.Action{{Context: context, Commands: []*h248.Command{c}}}})
}

// volatile are what differs between two runs, and what stands for it.
var volatile = []struct {
	pattern *regexp.Regexp
	with    string
}{
	{regexp.MustCompile(`(127\.0\.0\.\d\]?):\d+`), "$1:PORT"},
	{regexp.MustCompile(`X-Timer-Ms: \d+`), "X-Timer-Ms: MS"},
	{regexp.MustCompile(`oc/left=\d+`), "oc/left=MS"},
	{regexp.MustCompile(`oc/(t\d)=\d+`), "oc/$1=TIME"},
	{regexp.MustCompile(`oc/since="[1-9]\d*"`), `oc/since="TIME"`},
	{regexp.MustCompile(`oc/recorded=\d+`), `oc/recorded=COUNT`},
}

// transcript is what came on a connection with placeholders for what is volatile, ids in the order they came in.
func (p *tap) transcript(name string, ids map[string]string) goldentest.Message {
	text := p.text()
	for _, v := range volatile {
		text = v.pattern.ReplaceAllString(text, v.with)
	}
	for id, placeholder := range ids {
		text = strings.ReplaceAll(text, id, placeholder)
	}
	return goldentest.Message{Name: name, Bytes: []byte(text)}
}

// A script is a node with an exchange of each dialect and a connection of each kind of caller.
type script struct {
	*scene
	exchange, server     *tap // SIP, H.248
	caller, panel, admin *tap
	ids                  map[string]string
}

// startHeld is an exchange whose connections the test reads itself.
func startHeld(t *testing.T) *far {
	t.Helper()
	x := startFar(t, "127.0.0.1:0")
	x.mu.Lock()
	defer x.mu.Unlock()
	x.held = true
	return x
}

func startScript(t *testing.T) *script {
	t.Helper()
	exchange, server := startHeld(t), startHeld(t)
	rules := filepath.Join(t.TempDir(), "numbers.toml")
	if err := os.WriteFile(rules, []byte(numberRules(0)), 0o600); err != nil {
		t.Fatal(err)
	}
	x := startScene(t, []*far{exchange}, &fixed{}, func(o *Options) {
		o.H248 = &config.H248{Listen: "127.0.0.2:0", Admin: "127.0.0.3:0", Servers: []config.H248Server{{ID: "h-0", Address: server.addr(), Pool: 1}}}
		o.Numbers = &config.Numbering{File: rules}
		o.Records = goldenRecords(t)
	})
	s := &script{scene: x, ids: make(map[string]string)}
	s.exchange, s.server = newTap(t, exchange.connected(), false), newTap(t, server.connected(), true)
	s.caller, s.panel, s.admin = dialTap(t, x.json(), false), dialTap(t, x.panel(), true), dialTap(t, x.admin(), true)
	return s
}

// goldenRecords switches records on with their defaults, since the counters of records are statistics too.
func goldenRecords(t *testing.T) *config.Records {
	t.Helper()
	r := &config.Records{Dir: t.TempDir()}
	if err := (&config.Operator{Records: r}).Validate(); err != nil {
		t.Fatal(err)
	}
	return r
}

// callJSON sets a call up whose attempts go to these servers.
func (s *script) callJSON(id string, servers ...string) {
	s.module.sends(servers...)
	s.caller.send(start(id, 5*time.Second))
}

// came waits until a request for a call has come to the exchange.
func (s *script) came(method, id string) {
	s.t.Helper()
	s.exchange.awaits(method + ` sip:[^\n]*\n[^\n]*\nCall-ID: ` + id)
}

// refused is a refusal by the exchange.
func refused(id string, status, cseq int, diagnosis string) []byte {
	return fmt.Appendf(nil, "SIP/2.0 %d X\r\nCall-ID: %s\r\nCSeq: %d INVITE\r\nX-Diagnosis: %s\r\nContent-Length: 0\r\n\r\n", status, id, cseq, diagnosis)
}

// jsonToSIP plays calls of the JSON front to the SIP exchange.
func (s *script) jsonToSIP() {
	s.caller.send(jsonl.Append(nil, &jsonl.Message{Verb: jsonl.Echo, Tag: "t"}))
	s.caller.awaits(`ECHOED`)
	const released, hungUp, busy, full, givenUp = "00000000000000a1", "00000000000000a2", "00000000000000a3", "00000000000000a4", "00000000000000a5"
	for _, id := range []string{released, hungUp} {
		s.callJSON(id, "s-0")
		s.came("INVITE", id)
		s.exchange.send(append(response(id, "INVITE", 180, 1, ""), response(id, "INVITE", 200, 1, "v=0\r\na="+id+"\r\n")...))
		s.caller.awaits(`STARTED","tag":"` + id)
	}
	s.exchange.send(finish(released, 16))
	s.caller.awaits(`FINISH","tag":"` + released)
	s.caller.send(line(jsonl.Finished, released))
	s.exchange.awaits(`SIP/2.0 200 OK`)
	s.caller.send(line(jsonl.Finish, hungUp))
	s.caller.awaits(`FINISHED","tag":"` + hungUp)
	s.came("BYE", hungUp)
	s.exchange.send(response(hungUp, "BYE", 200, 2, ""))
	s.callJSON(busy, "s-0")
	s.came("INVITE", busy)
	s.exchange.send(refused(busy, 486, 1, "number_busy"))
	s.caller.awaits(`FINISH","tag":"` + busy)
	s.callJSON(full, "s-0", "s-0")
	s.came("INVITE", full)
	s.exchange.send(refused(full, 503, 1, "cpu_full"))
	s.exchange.awaits(`Call-ID: ` + full + `\r\nCSeq: 2 INVITE`)
	s.exchange.send(refused(full, 503, 2, "all_trunks_busy"))
	s.caller.awaits(`FINISH","tag":"` + full)
	s.callJSON(givenUp, "s-0")
	s.came("INVITE", givenUp)
	s.caller.send(line(jsonl.Finish, givenUp))
	s.came("CANCEL", givenUp)
	s.exchange.send(append(response(givenUp, "CANCEL", 200, 1, ""), response(givenUp, "INVITE", 487, 1, "")...))
	s.came("ACK", givenUp)
	for _, method := range []string{"OPTIONS", "INFO"} {
		s.exchange.send(sip.AppendRequest(nil, &sip.Request{Method: method, Number: "1", CallID: "x" + method, CSeq: 7}))
		s.exchange.awaits(`Call-ID: x` + method)
	}
}

// jsonToH248 plays calls of the JSON front to the H.248 server.
func (s *script) jsonToH248() {
	const hungUp, released, refused = "00000000000000b1", "00000000000000b2", "00000000000000b3"
	const mid = "<server>"
	answer := func(id, context string) {
		s.callJSON(id, "h-0")
		transaction := s.server.awaits(`Transaction=(\d+)\{Context=\$\{Add=call/` + id)
		var n uint32
		_, _ = fmt.Sscan(transaction, &n)
		a := &h248.Action{Context: context}
		if context == "$" {
			a.Err = &h248.Error{Code: h248.TerminationInContext, Text: "busy"}
		} else {
			a.Commands = []*h248.Command{{Name: "Add", Termination: backend.TerminationName(id, 0), Descriptors: []*h248.Node{{Name: "Media", Kids: []*h248.Node{{Name: "Local", Octets: []byte(accept("1"))}}}}}}
		}
		s.server.sendTransaction(mid, &h248.Transaction{Kind: h248.Reply, ID: n, Actions: []*h248.Action{a}})
	}
	answer(hungUp, "5")
	s.caller.awaits(`STARTED","tag":"` + hungUp)
	s.caller.send(line(jsonl.Finish, hungUp))
	s.server.awaits(`Context=5\{Subtract=call/` + hungUp)
	s.caller.awaits(`FINISHED","tag":"` + hungUp)
	answer(released, "6")
	s.caller.awaits(`STARTED","tag":"` + released)
	s.server.request(mid, 91, "6", &h248.Command{Name: "Notify", Termination: backend.TerminationName(released, 0), Descriptors: []*h248.Node{transaction.ReleaseEvent(17)}})
	s.caller.awaits(`FINISH","tag":"` + released)
	s.server.awaits(`Reply=91`)
	answer(refused, "$")
	s.caller.awaits(`FINISH","tag":"` + refused)
	s.server.request(mid, 92, "-", &h248.Command{Name: "Move", Termination: "ROOT"})
	s.server.awaits(`Reply=92`)
}

// invited waits for the set-up of a number at the exchange and gives its id a placeholder.
func (s *script) invited(number string) (id string) {
	id = s.exchange.awaits(`INVITE sip:` + number + `@[^\n]*\n[^\n]*\nCall-ID: (\w+)`)
	s.ids[id] = "ID-OF-" + number
	return id
}

// panelToSIP plays calls of the H.248 front to the SIP exchange.
func (s *script) panelToSIP() {
	const mid = "<panel>"
	add := func(n uint32, number string) (id string) {
		s.module.sends("s-0")
		s.panel.sendTransaction(mid, addTransaction(fmt.Sprint("p/", n), n, number, 5*time.Second))
		return s.invited(number)
	}
	subtracted, released := add(1, "201"), add(2, "202")
	s.panel.sendTransaction(mid, addTransaction("p/2", 2, "202", 5*time.Second))
	s.panel.awaits(`Pending=2`)
	s.exchange.send(response(subtracted, "INVITE", 200, 1, accept("201")))
	context := s.panel.awaits(`Reply=1\{Context=(\d+)`)
	s.exchange.send(response(released, "INVITE", 200, 1, accept("202")))
	s.panel.awaits(`Reply=2`)
	s.panel.request(mid, 3, context, &h248.Command{Name: "Subtract", Termination: "p/1"})
	s.panel.awaits(`Reply=3`)
	s.came("BYE", subtracted)
	s.exchange.send(response(subtracted, "BYE", 200, 2, ""))
	s.exchange.send(finish(released, 41))
	s.panel.awaits(`Transaction=1\{Context=\d+\{Notify`)
	s.exchange.awaits(`200 OK\r\nVia[^\n]*\nCall-ID: ` + released)
	s.panel.sendTransaction(mid, &h248.Transaction{Kind: h248.Reply, ID: 1, Actions: []*h248.Action{{Context: "2", Commands: []*h248.Command{{Name: "Notify", Termination: "p/2"}}}}})
	busy := add(4, "203")
	s.exchange.send(refused(busy, 486, 1, "number_busy"))
	s.panel.awaits(`Reply=4`)
	add(5, "204")
	s.panel.request(mid, 6, "*", &h248.Command{Name: "Subtract", Termination: "p/5"})
	s.panel.awaits(`Reply=6`)
	s.exchange.awaits(`CANCEL sip:204`)
	for n, c := range []*h248.Command{adminapi.AuditCommand("ROOT"), adminapi.AuditCommand("other"), {Name: "Move", Termination: "p/1"}, {Name: "Subtract", Termination: "p/9"}} {
		s.panel.request(mid, uint32(10+n), "*", c)
		s.panel.awaits(fmt.Sprint("Reply=", 10+n))
	}
	s.panel.send([]byte("\x03\x00\x00\x0bMEGACO?"))
	s.panel.awaits(`Error=400`)
}

// manage asks what olivectl and the agent ask.
func (s *script) manage() {
	const mid = "<ctl>"
	for n, c := range []*h248.Command{adminapi.AuditCommand("ROOT"), adminapi.AuditCommand(adminapi.NumberingTermination), adminapi.ClockCommand("agent-1", adminapi.ClockStamps{}), adminapi.DrainCommand("ROOT")} {
		s.admin.request(mid, uint32(20+n), "-", c)
		s.admin.awaits(fmt.Sprint("Reply=", 20+n))
	}
}

// What exchanges, callers and operators receive over sockets in a fixed script of calls is as committed.
func TestGoldenTranscript(t *testing.T) {
	t.Parallel()
	s := startScript(t)
	s.jsonToSIP()
	s.jsonToH248()
	s.panelToSIP()
	s.settled()
	transcripts := []goldentest.Message{s.exchange.transcript("to the exchange", s.ids), s.server.transcript("to the H.248 server", s.ids),
		s.caller.transcript("to the caller", s.ids), s.panel.transcript("to the panel", s.ids)}
	s.manage()
	goldentest.Messages(t, "transcript.txt", append(transcripts, s.admin.transcript("to the operator", s.ids)))
}
