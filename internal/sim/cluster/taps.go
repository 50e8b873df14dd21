package cluster

import (
	"fmt"
	"sync"
	"time"

	"github.com/miekg/dns"

	"olivedale/internal/codec/sip"
	"olivedale/internal/sim/exchange"
	"olivedale/internal/sim/invariant"
)

// A monitor sees what passes over the wires of a run and has the rules checked. What it knows of the
// processes comes from the relays and the callers alone. It may be used from anywhere.
type monitor struct {
	change sync.Mutex // of the directory

	mu                sync.Mutex
	checker           *invariant.Checker
	last              invariant.Time
	known             map[string]map[string]bool // by controller: exchanges told as draining or gone
	serials           map[uint32]news
	serial            uint32
	startTime         time.Time
	unreadableStreams int // streams that could not be read any further
}

// news is what the directory says with a serial number: the exchanges that take calls.
type news map[string]bool

// slack of clocks and wires that the rules are seen by: relays, callers and checker share a machine with
// all the processes, and a verdict must not hang on how busy it is.
const slack = 150 * time.Millisecond

func newMonitor(began time.Time) *monitor {
	limits := invariant.Defaults()
	limits.Slack = slack
	return &monitor{startTime: began, checker: invariant.New(limits), known: make(map[string]map[string]bool), serials: make(map[uint32]news)}
}

// record takes an event as of now. Until is taken as a time from now.
func (w *monitor) record(e invariant.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seeLocked(e)
}

func (w *monitor) seeLocked(e invariant.Event) {
	w.last = max(time.Since(w.startTime), w.last)
	e.At = w.last
	e.Until += e.At
	w.checker.See(e)
}

// telling has the directory change, with what it says from then on. One change follows another, so that
// the serial number is the same for all controllers.
func (w *monitor) telling(all news, change func()) {
	w.change.Lock()
	defer w.change.Unlock()
	w.mu.Lock()
	w.serial++
	w.serials[w.serial] = all
	w.mu.Unlock()
	change()
}

// begin sets the clock to nought as calls begin to come.
func (w *monitor) begin(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.startTime = at
}

// started notes that a controller begins, or begins again, and has been told nothing.
func (w *monitor) started(node string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.known, node)
}

// told sees an answer of the directory as it reaches a controller.
func (w *monitor) told(node string, b []byte) {
	var m dns.Msg
	if m.Unpack(b) != nil || len(m.Ns) == 0 {
		return
	}
	soa, ok := m.Ns[0].(*dns.SOA)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now, ok := w.serials[soa.Serial]
	if !ok {
		return
	}
	known := w.known[node]
	if known == nil {
		known = make(map[string]bool)
		w.known[node] = known
	}
	for _, all := range w.serials {
		for id := range all {
			if out := !now[id]; out != known[id] {
				known[id] = out
				w.seeLocked(invariant.Event{Kind: invariant.Told, Node: node, Server: id, On: out})
			}
		}
	}
}

// observeSIP makes the tap of a connection between a controller and an exchange. What has been sent on
// it and not answered has broken when the connection ends.
func (w *monitor) observeSIP(node, server string) observer {
	var readers [2]sip.Reader
	var dead [2]bool
	var mu sync.Mutex
	out := make(map[exchange.Attempt]bool)
	return func(way Direction, b []byte) {
		mu.Lock()
		defer mu.Unlock()
		if dead[way] {
			return
		}
		if b == nil {
			dead = [2]bool{true, true}
			for a := range out {
				w.record(invariant.Event{Kind: invariant.Broke, Node: node, Call: a.Call, Server: server, N: a.N})
			}
			return
		}
		err := readers[way].Feed(b, func(m *sip.Message) bool {
			e := invariant.Event{Node: node, Call: m.CallID, Server: server, N: m.CSeq - 1}
			a := exchange.Attempt{Call: e.Call, N: e.N}
			switch {
			case way == Forward && m.Method == "INVITE":
				e.Kind = invariant.Invite
				out[a] = true
			case way == Forward && m.Method == "CANCEL":
				e.Kind = invariant.Cancel
				delete(out, a)
			case way == Backward && m.Method == "" && m.CSeqMethod == "INVITE" && m.Status >= 200 && out[a]:
				e.Kind = invariant.Answer
				if m.Status >= 300 {
					e.Kind = invariant.TurnedBack
				}
				delete(out, a)
			default:
				return true
			}
			w.record(e)
			return true
		})
		if err != nil {
			dead[way] = true
			w.mu.Lock()
			w.unreadableStreams++
			w.mu.Unlock()
		}
	}
}

// A Violation is a rule broken, or something that does not hold across processes, and what it takes to see
// it again.
type Violation struct {
	Rule        string   `json:"rule"`
	Text        string   `json:"text"`
	Node        string   `json:"node,omitempty"`
	Call        string   `json:"call,omitempty"`
	At          float64  `json:"at_s"`
	LatestFault string   `json:"step,omitempty"` // the latest fault that had begun
	Around      []string `json:"around,omitempty"`
}

// String implements fmt.Stringer.
func (b Violation) String() string {
	s := fmt.Sprintf("%s broken at %.3f s: %s", b.Rule, b.At, b.Text)
	if b.LatestFault != "" {
		s += " (latest fault: " + b.LatestFault + ")"
	}
	return s
}

// breaches are those found, with the fault that had begun latest before each.
func (w *monitor) breaches(begun []InjectedFault) (all []Violation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checker.End(time.Since(w.startTime))
	for _, b := range w.checker.Breaches() {
		x := Violation{Rule: string(b.Rule), Text: b.Text, Node: b.Node, Call: b.Call, At: b.At.Seconds()}
		for _, s := range begun {
			if s.At <= x.At {
				x.LatestFault = s.Fault.String()
			}
		}
		for _, e := range b.Around {
			x.Around = append(x.Around, e.String())
		}
		all = append(all, x)
	}
	return all
}
