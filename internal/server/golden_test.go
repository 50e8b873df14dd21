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

// A capture records every byte that the server sends on a connection.
type capture struct {
	t        *testing.T
	conn     net.Conn
	isFramed bool // strip TPKT frames, whose lengths depend on port numbers
	framer   h248.Framer
	mu       sync.Mutex
	stream   []byte
}

func newCapture(t *testing.T, c net.Conn, framed bool) *capture {
	p := &capture{t: t, conn: c, isFramed: framed}
	go func() {
		buf := make([]byte, 4096)
		for {
			n, err := c.Read(buf)
			if err != nil {
				return
			}
			p.append(buf[:n])
		}
	}()
	t.Cleanup(func() { _ = c.Close() })
	return p
}

// dialCapture connects to an address of the server.
func dialCapture(t *testing.T, addr string, framed bool) *capture {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return newCapture(t, c, framed)
}

func (p *capture) append(b []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isFramed {
		p.stream = append(p.stream, b...)
		return
	}
	_ = p.framer.Feed(b, func(text []byte) bool {
		p.stream = append(p.stream, text...)
		return true
	})
}

func (p *capture) text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return string(p.stream)
}

// await waits until the received text matches a pattern, and returns the last group of the last match.
func (p *capture) await(pattern string) (group string) {
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

func (p *capture) send(b []byte) {
	if _, err := p.conn.Write(b); err != nil {
		p.t.Error(err)
	}
}

// sendTransaction sends a transaction as an H.248 peer.
func (p *capture) sendTransaction(mid string, tr *h248.Transaction) {
	b, err := h248.AppendFrame(nil, &h248.Message{MID: mid, Transactions: []*h248.Transaction{tr}})
	if err != nil {
		p.t.Error(err)
	}
	p.send(b)
}

// request sends a request with one command.
func (p *capture) request(mid string, id uint32, context string, c *h248.Command) {
	p.sendTransaction(mid, &h248.Transaction{ID: id, Actions: []*h248.Action{{Context: context, Commands: []*h248.Command{c}}}})
}

// volatile are the patterns of text that differs between runs, with their replacements.
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

// transcript returns the received text with placeholders for volatile parts and for ids.
func (p *capture) transcript(name string, ids map[string]string) goldentest.Message {
	text := p.text()
	for _, v := range volatile {
		text = v.pattern.ReplaceAllString(text, v.with)
	}
	for id, placeholder := range ids {
		text = strings.ReplaceAll(text, id, placeholder)
	}
	return goldentest.Message{Name: name, Bytes: []byte(text)}
}

// A goldenScript is a server with an exchange of each protocol and a connection of each kind of client.
type goldenScript struct {
	*testbed
	exchange, server       *capture // SIP, H.248
	caller, gateway, admin *capture
	ids                    map[string]string
}

// startUnreadExchange starts an exchange whose connections are read by the test.
func startUnreadExchange(t *testing.T) *fakeExchange {
	t.Helper()
	x := startFakeExchange(t, "127.0.0.1:0")
	x.mu.Lock()
	defer x.mu.Unlock()
	x.readsNothing = true
	return x
}

func startGoldenScript(t *testing.T) *goldenScript {
	t.Helper()
	exchange, server := startUnreadExchange(t), startUnreadExchange(t)
	rules := filepath.Join(t.TempDir(), "numbers.toml")
	if err := os.WriteFile(rules, []byte(numberRules(0)), 0o600); err != nil {
		t.Fatal(err)
	}
	bed := startTestbed(t, []*fakeExchange{exchange}, &scriptedDecider{}, func(o *Options) {
		o.H248 = &config.H248{Listen: "127.0.0.2:0", Admin: "127.0.0.3:0", Servers: []config.H248Server{{ID: "h-0", Address: server.addr(), Pool: 1}}}
		o.Numbering = &config.Numbering{File: rules}
		o.Records = goldenRecords(t)
		o.randomID = func() uint32 { return 0 }
	})
	s := &goldenScript{testbed: bed, ids: make(map[string]string)}
	s.exchange, s.server = newCapture(t, exchange.awaitConn(), false), newCapture(t, server.awaitConn(), true)
	s.caller, s.gateway, s.admin = dialCapture(t, bed.jsonAddress(), false), dialCapture(t, bed.gatewayAddress(), true), dialCapture(t, bed.adminAddress(), true)
	return s
}

// goldenRecords returns the default options of records. They are enabled because the audit includes their counters.
func goldenRecords(t *testing.T) *config.Records {
	t.Helper()
	r := &config.Records{Dir: t.TempDir()}
	if err := (&config.OperatorConfig{Records: r}).Validate(); err != nil {
		t.Fatal(err)
	}
	return r
}

// callJSON sends a set-up whose attempts are sent to the given exchanges in turn.
func (s *goldenScript) callJSON(id string, servers ...string) {
	s.decider.setServers(servers...)
	s.caller.send(jsonSetup(id, 5*time.Second))
}

// awaitRequest waits until the exchange has received a request for a call.
func (s *goldenScript) awaitRequest(method, id string) {
	s.t.Helper()
	s.exchange.await(method + ` sip:[^\n]*\n[^\n]*\nCall-ID: ` + id)
}

// sipRejection returns an encoded rejection by the exchange.
func sipRejection(id string, status, cseq int, diagnosis string) []byte {
	return fmt.Appendf(nil, "SIP/2.0 %d X\r\nCall-ID: %s\r\nCSeq: %d INVITE\r\nX-Diagnosis: %s\r\nContent-Length: 0\r\n\r\n", status, id, cseq, diagnosis)
}

// jsonToSIP makes calls from the JSON frontend to the SIP exchange.
func (s *goldenScript) jsonToSIP() {
	s.caller.send(jsonl.Append(nil, &jsonl.Message{Verb: jsonl.Echo, Tag: "t"}))
	s.caller.await(`ECHOED`)
	const released, hungUp, busy, full, givenUp = "00000000000000a1", "00000000000000a2", "00000000000000a3", "00000000000000a4", "00000000000000a5"
	for _, id := range []string{released, hungUp} {
		s.callJSON(id, "s-0")
		s.awaitRequest("INVITE", id)
		s.exchange.send(append(sipResponse(id, "INVITE", 180, 1, ""), sipResponse(id, "INVITE", 200, 1, "v=0\r\na="+id+"\r\n")...))
		s.caller.await(`STARTED","tag":"` + id)
	}
	s.exchange.send(sipRelease(released, 16))
	s.caller.await(`FINISH","tag":"` + released)
	s.caller.send(jsonMessage(jsonl.Finished, released))
	s.exchange.await(`SIP/2.0 200 OK`)
	s.caller.send(jsonMessage(jsonl.Finish, hungUp))
	s.caller.await(`FINISHED","tag":"` + hungUp)
	s.awaitRequest("BYE", hungUp)
	s.exchange.send(sipResponse(hungUp, "BYE", 200, 2, ""))
	s.callJSON(busy, "s-0")
	s.awaitRequest("INVITE", busy)
	s.exchange.send(sipRejection(busy, 486, 1, "number_busy"))
	s.caller.await(`FINISH","tag":"` + busy)
	s.callJSON(full, "s-0", "s-0")
	s.awaitRequest("INVITE", full)
	s.exchange.send(sipRejection(full, 503, 1, "cpu_full"))
	s.exchange.await(`Call-ID: ` + full + `\r\nCSeq: 2 INVITE`)
	s.exchange.send(sipRejection(full, 503, 2, "all_trunks_busy"))
	s.caller.await(`FINISH","tag":"` + full)
	s.callJSON(givenUp, "s-0")
	s.awaitRequest("INVITE", givenUp)
	s.caller.send(jsonMessage(jsonl.Finish, givenUp))
	s.awaitRequest("CANCEL", givenUp)
	s.exchange.send(append(sipResponse(givenUp, "CANCEL", 200, 1, ""), sipResponse(givenUp, "INVITE", 487, 1, "")...))
	s.awaitRequest("ACK", givenUp)
	for _, method := range []string{"OPTIONS", "INFO"} {
		s.exchange.send(sip.AppendRequest(nil, &sip.Request{Method: method, Number: "1", CallID: "x" + method, CSeq: 7}))
		s.exchange.await(`Call-ID: x` + method)
	}
}

// jsonToH248 makes calls from the JSON frontend to the H.248 exchange.
func (s *goldenScript) jsonToH248() {
	const hungUp, released, refused = "00000000000000b1", "00000000000000b2", "00000000000000b3"
	const mid = "<server>"
	answer := func(id, context string) {
		s.callJSON(id, "h-0")
		transaction := s.server.await(`Transaction=(\d+)\{Context=\$\{Add=call/` + id)
		var n uint32
		_, _ = fmt.Sscan(transaction, &n)
		a := &h248.Action{Context: context}
		if context == "$" {
			a.Err = &h248.Error{Code: h248.TerminationInContext, Text: "busy"}
		} else {
			a.Commands = []*h248.Command{{Name: "Add", Termination: backend.TerminationName(id, 0), Descriptors: []*h248.Node{{Name: "Media", Children: []*h248.Node{{Name: "Local", Octets: []byte(acceptedDescription("1"))}}}}}}
		}
		s.server.sendTransaction(mid, &h248.Transaction{Kind: h248.Reply, ID: n, Actions: []*h248.Action{a}})
	}
	answer(hungUp, "5")
	s.caller.await(`STARTED","tag":"` + hungUp)
	s.caller.send(jsonMessage(jsonl.Finish, hungUp))
	s.server.await(`Context=5\{Subtract=call/` + hungUp)
	s.caller.await(`FINISHED","tag":"` + hungUp)
	answer(released, "6")
	s.caller.await(`STARTED","tag":"` + released)
	s.server.request(mid, 91, "6", &h248.Command{Name: "Notify", Termination: backend.TerminationName(released, 0), Descriptors: []*h248.Node{transaction.ReleaseEvent(17)}})
	s.caller.await(`FINISH","tag":"` + released)
	s.server.await(`Reply=91`)
	answer(refused, "$")
	s.caller.await(`FINISH","tag":"` + refused)
	s.server.request(mid, 92, "-", &h248.Command{Name: "Move", Termination: "ROOT"})
	s.server.await(`Reply=92`)
}

// awaitInvite waits for the set-up of a number at the exchange and registers a placeholder for its call id.
func (s *goldenScript) awaitInvite(number string) (id string) {
	id = s.exchange.await(`INVITE sip:` + number + `@[^\n]*\n[^\n]*\nCall-ID: (\w+)`)
	s.ids[id] = "ID-OF-" + number
	return id
}

// gatewayToSIP makes calls from the H.248 frontend to the SIP exchange.
func (s *goldenScript) gatewayToSIP() {
	const mid = "<panel>"
	add := func(n uint32, number string) (id string) {
		s.decider.setServers("s-0")
		s.gateway.sendTransaction(mid, addTransaction(fmt.Sprint("p/", n), n, number, 5*time.Second))
		return s.awaitInvite(number)
	}
	subtracted, released := add(1, "201"), add(2, "202")
	s.gateway.sendTransaction(mid, addTransaction("p/2", 2, "202", 5*time.Second))
	s.gateway.await(`Pending=2`)
	s.exchange.send(sipResponse(subtracted, "INVITE", 200, 1, acceptedDescription("201")))
	context := s.gateway.await(`Reply=1\{Context=(\d+)`)
	s.ids[context] = "1"
	s.exchange.send(sipResponse(released, "INVITE", 200, 1, acceptedDescription("202")))
	s.ids[s.gateway.await(`Reply=2\{Context=(\d+)`)] = "2"
	s.gateway.request(mid, 3, context, &h248.Command{Name: "Subtract", Termination: "p/1"})
	s.gateway.await(`Reply=3`)
	s.awaitRequest("BYE", subtracted)
	s.exchange.send(sipResponse(subtracted, "BYE", 200, 2, ""))
	s.exchange.send(sipRelease(released, 41))
	s.gateway.await(`Transaction=1\{Context=\d+\{Notify`)
	s.exchange.await(`200 OK\r\nVia[^\n]*\nCall-ID: ` + released)
	s.gateway.sendTransaction(mid, &h248.Transaction{Kind: h248.Reply, ID: 1, Actions: []*h248.Action{{Context: "2", Commands: []*h248.Command{{Name: "Notify", Termination: "p/2"}}}}})
	busy := add(4, "203")
	s.exchange.send(sipRejection(busy, 486, 1, "number_busy"))
	s.gateway.await(`Reply=4`)
	add(5, "204")
	s.gateway.request(mid, 6, "*", &h248.Command{Name: "Subtract", Termination: "p/5"})
	s.gateway.await(`Reply=6`)
	s.exchange.await(`CANCEL sip:204`)
	for n, c := range []*h248.Command{adminapi.AuditCommand("ROOT"), adminapi.AuditCommand("other"), {Name: "Move", Termination: "p/1"}, {Name: "Subtract", Termination: "p/9"}} {
		s.gateway.request(mid, uint32(10+n), "*", c)
		s.gateway.await(fmt.Sprint("Reply=", 10+n))
	}
	s.gateway.send([]byte("\x03\x00\x00\x0bMEGACO?"))
	s.gateway.await(`Error=400`)
}

// administer sends the requests of olivectl and of the agent.
func (s *goldenScript) administer() {
	const mid = "<ctl>"
	for n, c := range []*h248.Command{adminapi.AuditCommand("ROOT"), adminapi.AuditCommand(adminapi.NumberingTermination), adminapi.ClockCommand("agent-1", adminapi.ClockStamps{}), adminapi.DrainCommand("ROOT")} {
		s.admin.request(mid, uint32(20+n), "-", c)
		s.admin.await(fmt.Sprint("Reply=", 20+n))
	}
}

// The bytes that exchanges, callers and operators receive during a fixed script of calls match the golden file.
func TestGoldenTranscript(t *testing.T) {
	t.Parallel()
	s := startGoldenScript(t)
	s.jsonToSIP()
	s.jsonToH248()
	s.gatewayToSIP()
	s.awaitNoPendingWork()
	transcripts := []goldentest.Message{s.exchange.transcript("to the exchange", s.ids), s.server.transcript("to the H.248 exchange", s.ids),
		s.caller.transcript("to the caller", s.ids), s.gateway.transcript("to the gateway", s.ids)}
	s.administer()
	goldentest.CompareMessages(t, "transcript.txt", append(transcripts, s.admin.transcript("to the operator", s.ids)))
}
