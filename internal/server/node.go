package server

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"reflect"
	"strings"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	gerrors "github.com/panjf2000/gnet/v2/pkg/errors"
	"go.uber.org/zap"

	"olivedale/internal/admission"
	"olivedale/internal/call"
	"olivedale/internal/config"
	"olivedale/internal/discovery"
)

var errShutdown = gerrors.ErrEngineInShutdown

// Times of the node.
const (
	poll     = 150 * time.Millisecond // between two queries; each also asks again for one that was lost
	linger   = 750 * time.Millisecond // after SIGTERM set-ups are still to be expected for so long
	patience = 3 * time.Second        // or the longest deadline, if it is shorter: SIGKILL follows 0.7 s behind
	parting  = 300 * time.Millisecond // after SIGTERM whatever is open is answered by patience and this
	quiet    = 60 * time.Millisecond  // for so long nothing may be owed before it ends
	reserve  = 40                     // descriptors that are neither callers' nor links'
)

// Counters count what the sockets bring.
type Counters struct {
	Clients, ClientsShut, ClientsTurnedAway  int
	ClientsSilent, Impossible                int
	Malformed, Tests, Repeats, Unsayable     int
	Invites, Dials, DialsFailed, LinksLost   int
	Strays                                   int
	ReleasesSaid, ReleasesLost               int
	Queries, QueriesFailed, Answers, BadNews int
}

// A Node is a running call controller.
type Node struct {
	gnet.BuiltinEventEngine
	loop
	Counters
	cfg      *config.Config
	connect  time.Duration
	dialTo   dialer
	core     *call.Manager
	json     *jsonFront
	h248     *h248Front // nil: off
	h248cfg  *config.H248
	bind     string            // the callers' listener
	local    map[string]string // the addresses listened on, as configured by as bound
	fronts   []call.Frontend
	links    map[string]*link
	list     *discovery.EndpointList
	names    *resolver
	pollAt   time.Duration
	badAt    time.Duration // when something malformed was last logged
	later    []func()      // what is to be done when the core's turn is over
	inTurn   bool
	eng      gnet.Engine
	rng      *rand.Rand
	stopAt   time.Duration // when SIGTERM came, 0: not yet
	rec      *recorder     // nil: off
	meter    *meter        // nil: nobody may ask
	numbers  *numbers      // nil: off
	share    *sharing      // nil: off
	lookAt   time.Duration // when to look next whether it can end
	restAt   time.Duration // since when nothing has been owed then, 0: something is
	stopping bool          // the engine is being stopped
	failed   error
	started  chan struct{}
}

// Options are what an operator chooses. The zero value is the call controller alone.
type Options struct {
	H248    *config.H248            // nil: its front is off
	Records *config.Records         // nil: nothing is recorded
	Numbers *config.Numbering       // nil: calls go by their pool of first choice
	Share   *config.OverloadControl // nil: it decides alone
	Log     *zap.Logger             // nil: nothing is logged
	Program string                  // version, for the records
	Clock   func() time.Time        // the system's; nil: time.Now

	module call.Decider // tests of what lies around it put one of their own in; nil: the module
	dial   dialer       // tests order dials by one of their own; nil: net.DialTimeout
}

// A dialer opens a connection to an exchange, away from the loop.
type dialer func(addr string, limit time.Duration) (net.Conn, error)

func dialTCP(addr string, limit time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", addr, limit)
}

// New makes a node from its configuration.
func New(cfg *config.Config, o Options) (*Node, error) {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.dial == nil {
		o.dial = dialTCP
	}
	h := o.H248
	n := &Node{started: make(chan struct{}), cfg: cfg, h248cfg: h, connect: cfg.DialTimeout, dialTo: o.dial, local: make(map[string]string), links: make(map[string]*link), rng: rand.New(rand.NewPCG(cfg.Seed, 1))}
	n.loop.start(o.Log, o.Clock)
	n.names = &resolver{n: n, addr: cfg.DiscoveryAddress}
	desk, err := admission.NewEngine(n.now(), cfg.Settings, cfg.Seed, func(line string) {
		n.log.Infow("module", "text", line)
		n.rec.note(line)
	})
	if err != nil {
		return nil, err
	}
	var module call.Decider = desk
	if o.module != nil {
		module = o.module
	}
	n.core = call.NewManager(module, n, n.now, call.Limits{OpenCalls: cfg.MemoryMB << 6, DescriptionBytes: cfg.MemoryMB << 17, CompletedIDs: cfg.MemoryMB << 7})
	if err := n.observe(o, desk); err != nil {
		return nil, err
	}
	if o.Numbers != nil {
		if n.numbers, err = newNumbers(n, o.Numbers); err != nil {
			return nil, err
		}
		n.core.SetRouter(n.numbers)
	}
	if o.Share != nil {
		if n.share, err = newSharing(n, o.Share, desk); err != nil {
			return nil, err
		}
	}
	n.json = &jsonFront{n: n, max: cfg.Sockets*2/3 - reserve}
	n.unread = cfg.MemoryMB << 20 / 8 / n.json.max
	n.fronts = []call.Frontend{n.json}
	if h != nil { // the fronts share the budget of sockets
		n.json.max /= 2
		n.h248 = newH248Front(n, n.json.max)
		n.fronts = append(n.fronts, n.h248)
	}
	var known []config.Endpoint
	n.list, known = discovery.NewEndpointList(cfg.KnownEndpoints)
	servers := make([]admission.Server, 0, len(known))
	for _, m := range known {
		servers = append(servers, m.Server())
		n.rec.server(m.Server(), m.Address)
		n.addLink(m)
	}
	if h != nil {
		for _, s := range h.Servers {
			if n.links[s.ID] != nil {
				return nil, fmt.Errorf("the H.248 server %s is on the name service's list as well", s.ID)
			}
			servers = append(servers, admission.Server{ID: s.ID, Pool: s.Pool})
			n.rec.server(admission.Server{ID: s.ID, Pool: s.Pool}, s.Address)
			n.links[s.ID] = n.newLink(s.ID, s.Address, s.Pool, newH248(n, s.ID))
		}
	}
	n.core.UpdateServers(servers, true)
	return n, nil
}

func (n *Node) addLink(m config.Endpoint) {
	l := n.newLink(m.ID, m.Address, m.Pool, newSIP(n))
	l.draining = m.Phase == config.PhaseTerminating
	l.meter.started = time.Duration(m.Started) * time.Millisecond
	n.links[m.ID] = l
}

// Run serves until Stop has done its work.
func (n *Node) Run() error {
	err := gnet.Rotate(n, n.listeners(), gnet.WithNumEventLoop(1), gnet.WithLogger(gnetLog{n.log}),
		gnet.WithLoadBalancing(gnet.LeastConnections), gnet.WithReuseAddr(true))
	n.share.close()
	n.numbers.close()
	n.rec.close() // the loop has ended, this goroutine may speak for it
	if err != nil {
		return fmt.Errorf("serving %s: %w", n.cfg.Listen, err)
	}
	return n.failed
}

func (n *Node) listeners() []string {
	all := []string{"tcp://" + n.cfg.Listen}
	if n.h248cfg != nil {
		all = append(all, "tcp://"+n.h248cfg.Listen)
		if n.h248cfg.Admin != "" {
			all = append(all, "tcp://"+n.h248cfg.Admin)
		}
	}
	return all
}

// bound finds the address that a listener has, by which its connections are known.
func (n *Node) bound(configured string) error {
	fd, err := n.eng.DupListener("tcp", configured)
	if err != nil {
		return fmt.Errorf("listener %s: %w", configured, err)
	}
	file := os.NewFile(uintptr(fd), configured)
	defer func() { _ = file.Close() }()
	ln, err := net.FileListener(file)
	if err != nil {
		return fmt.Errorf("listener %s: %w", configured, err)
	}
	defer func() { _ = ln.Close() }()
	n.local[ln.Addr().String()] = configured
	n.local[configured] = configured // as gnet names it where the port is chosen by the system
	if n.bind == "" {
		n.bind = ln.Addr().String() // the callers' listener comes first
	}
	return nil
}

// OnBoot implements gnet.EventHandler.
func (n *Node) OnBoot(eng gnet.Engine) gnet.Action {
	n.eng = eng
	for _, addr := range n.listeners() {
		if err := n.bound(strings.TrimPrefix(addr, "tcp://")); err != nil {
			n.failed = err
			return gnet.Shutdown
		}
	}
	go n.boot()
	return gnet.None
}

// boot opens a first connection to this node itself. It brings the event loop, which
// gnet shows by a connection only: Engine.Register at the start is a data race with the
// start of the loops (found by the race detector with gnet 2.9.7).
func (n *Node) boot() {
	c, err := net.DialTimeout("tcp", n.bind, n.connect)
	if err != nil {
		n.fail(err)
		return
	}
	<-n.started
	_ = c.Close()
}

// fail ends a node that cannot start.
func (n *Node) fail(err error) {
	n.failed = fmt.Errorf("starting: %w", err)
	_ = n.eng.Stop(context.Background())
}

// begin starts what needs the event loop, on its first connection.
func (n *Node) begin(el gnet.EventLoop) {
	n.el = el
	n.timer = time.AfterFunc(time.Hour, func() { n.exec(n.tick) })
	n.names.open()
	n.share.open()
	for _, l := range n.links {
		l.dial()
	}
	set := n.cfg.Settings
	n.log.Infow("settings", "group", set.ControllerCount, "resend", set.ResendInterval, "release", set.RetryGuard, "cold", set.SlowStartPeriod, "attempts", set.MaxAttempts,
		"connect", n.connect)
	for _, k := range set.Classes {
		n.log.Infow("settings", "class", k.Name, "aim", k.LatencyObjective, "deadline", k.Deadline, "credit", k.Weight)
	}
	n.log.Infow("started", "name", n.cfg.Name, "listen", n.cfg.Listen, "exchanges", len(n.links))
	close(n.started)
}

// Started is closed once the node serves.
func (n *Node) Started() <-chan struct{} { return n.started }

// turn runs f as one turn of the loop, and after it what f has left to do, the
// writes and the timer. A turn within a turn (a close by a failed write) is part of it.
func (n *Node) turn(f func()) {
	if n.inTurn {
		f()
		return
	}
	n.inTurn = true
	f()
	for len(n.later) > 0 || len(n.dirty) > 0 {
		later := n.later
		n.later = nil
		for _, f := range later {
			f()
		}
		if len(n.later) == 0 {
			n.flush()
		}
	}
	n.inTurn = false
	n.rearm()
}

// rearm sets the timer to what is due next.
func (n *Node) rearm() {
	if n.timer == nil {
		return
	}
	next := min(n.core.NextDeadline(), n.pollAt, n.share.next())
	if n.stopAt > 0 {
		next = min(next, n.lookAt)
	}
	n.timer.Reset(max(next-n.now(), 0))
}

func (n *Node) tick() {
	n.turn(func() {
		now := n.now()
		n.core.Tick()
		n.share.tick(now)
		for _, l := range n.links {
			l.listen(now)
		}
		if now >= n.pollAt {
			n.pollAt = now + poll
			n.names.poll(now)
			n.rec.tick(now)
			n.numbers.tick(now)
			for _, l := range n.links {
				l.tick(now)
			}
			n.json.sweep(now)
			if n.h248 != nil {
				n.h248.sweep(now)
			}
		}
		if n.stopAt > 0 && now >= n.lookAt {
			n.lookAt = now + quiet/4 // not from each turn on: traffic would put it off for ever
			n.stop(now)
		}
	})
}

// Reload takes a configuration that was read again; it may be called from anywhere
// once the node has started. Connections, calls and the list with its numbers stay. Only
// the name service's address can change while the program runs.
func (n *Node) Reload(cfg *config.Config) {
	n.exec(func() {
		n.turn(func() {
			n.log.Infow("reloaded", "names", cfg.DiscoveryAddress)
			if cfg.Name != n.cfg.Name || cfg.Listen != n.cfg.Listen || cfg.MemoryMB != n.cfg.MemoryMB ||
				cfg.Sockets != n.cfg.Sockets || !reflect.DeepEqual(cfg.Settings, n.cfg.Settings) {
				n.log.Infow("reload_partial", "err", "name, listen, limits and settings change at a restart only")
			}
			if cfg.DiscoveryAddress != n.names.addr {
				n.names.move(cfg.DiscoveryAddress)
				n.rec.configured("names", cfg.DiscoveryAddress)
			}
		})
	})
}

// Stop begins an orderly stop, as SIGTERM asks for. It may be called from anywhere.
func (n *Node) Stop() {
	n.exec(func() { n.turn(n.beginStop) })
}

func (n *Node) beginStop() {
	if n.stopAt == 0 {
		n.stopAt = n.now()
		n.rec.stopping()
		n.log.Infow("stopping", "open", n.core.OpenCalls(), "standing", n.core.EstablishedCalls())
	}
}

// stop goes on accepting while set-ups may still come, then ends when nothing is owed. It
// guards against SIGKILL, which does not wait for calls that may be open for longer.
func (n *Node) stop(now time.Duration) {
	if n.stopping || now-n.stopAt < linger {
		return
	}
	switch out := n.outOfTime(now); {
	case out:
		n.core.RejectOpenCalls()
	case n.owes():
		n.restAt = 0
		return
	}
	if n.restAt == 0 {
		n.restAt = now
	}
	if now-n.restAt < quiet { // what comes now is still taken, and begins the wait anew
		return
	}
	n.stopping = true
	go func() { _ = n.eng.Stop(context.Background()) }()
}

// outOfTime tells whether SIGKILL is near: whatever is open, or comes, is answered at once.
func (n *Node) outOfTime(now time.Duration) bool {
	return n.stopAt > 0 && now-n.stopAt >= min(patience, n.cfg.LongestDeadline())+parting
}

// ending tells whether a set-up that comes now would be open when the process ends.
func (n *Node) ending() bool { return n.stopping || n.outOfTime(n.now()) }

// owes tells whether anybody waits for something that this process alone can bring: an answer that is not
// given or not written out, a release that no caller or exchange has been sent.
func (n *Node) owes() bool {
	if n.core.OpenCalls() > 0 || len(n.json.unsaid) > 0 {
		return true
	}
	for k := range n.json.clients.oldest() {
		if k.s.unwritten() {
			return true
		}
	}
	if n.h248 != nil && n.h248.owes() {
		return true
	}
	for _, l := range n.links {
		if l.s == nil && len(l.byes) > 0 || l.s != nil && l.s.unwritten() {
			return true
		}
	}
	return false
}

// leftover hands on what a connection has brought and nobody has read, as far as it is there now.
func (n *Node) leftover(c gnet.Conn, each func(p []byte)) {
	buf := make([]byte, 16<<10)
	for range 64 { // bounds what a peer that goes on sending can take of a turn
		k, err := syscall.Read(c.Fd(), buf)
		if err == syscall.EINTR {
			continue
		}
		if err != nil || k <= 0 {
			return
		}
		each(buf[:k])
	}
}

// speaks takes what an idle connection has brought just now, and tells whether there was anything. It guards
// set-ups and releases that cross the close of their connection: those sent again would be late, these lost.
func (n *Node) speaks(s *stream, traffic func(p []byte)) (spoke bool) {
	n.leftover(s.c, func(p []byte) {
		spoke = true
		if !s.shut {
			traffic(p)
		}
	})
	return spoke
}

// failedWrite tells whether a connection is closed because a write failed: it may have brought something before.
func failedWrite(err error) bool {
	var call *os.SyscallError
	return errors.As(err, &call) && strings.HasPrefix(call.Syscall, "write")
}

// Invite implements call.Exchanges.
func (n *Node) Invite(server string, s call.Setup) {
	if l := n.links[server]; l != nil {
		l.invite(s)
		return
	}
	n.later = append(n.later, func() { n.core.AttemptEnded(server, s.ID, s.Attempt, call.NotSent) })
}

// Cancel implements call.Exchanges.
func (n *Node) Cancel(server, id string, attempt int) bool {
	l := n.links[server]
	return l != nil && l.cancel(id, attempt)
}

// Release implements call.Exchanges.
func (n *Node) Release(server, id string, attempt, cause int) {
	if l := n.links[server]; l != nil {
		l.release(id, bye{attempt: attempt, cause: cause})
	}
}

// ReleaseEverywhere implements call.Exchanges.
func (n *Node) ReleaseEverywhere(id string, cause int) {
	for _, l := range n.links {
		l.release(id, bye{cause: cause, unknown: true})
	}
}

// news takes an answer of the name service.
func (n *Node) news(text []byte) {
	changed, err := n.list.HandleAnswer(text)
	if err != nil {
		n.BadNews++
		if n.BadNews == 1 { // the counter tells how many there were
			n.log.Warnw("bad_news", "err", err)
		}
		return
	}
	n.Answers++
	n.names.answered(n.now())
	if len(changed) == 0 {
		return
	}
	servers := make([]admission.Server, 0, len(changed))
	for _, m := range changed {
		servers = append(servers, m.Server())
		n.rec.server(m.Server(), m.Address)
		n.log.Infow("exchange", "id", m.ID, "phase", m.Phase, "cell", m.Pool, "addr", m.Address, "started", m.Started)
	}
	n.core.UpdateServers(servers, false) // before the links tell of ends: nothing is to go there again
	for _, m := range changed {
		l := n.links[m.ID]
		switch {
		case m.Phase == config.PhaseGone:
			if l != nil {
				l.end()
				delete(n.links, m.ID)
			}
		case l == nil:
			n.addLink(m)
			n.links[m.ID].dial()
		default:
			if l.addr != m.Address {
				l.move(m.Address)
			}
			if l.draining = m.Phase == config.PhaseTerminating; l.draining {
				l.drain()
			}
			l.meter.started = time.Duration(m.Started) * time.Millisecond
			if m.Started > 0 { // a process that started since has none of the calls
				n.core.BackendRestarted(m.ID, time.Duration(m.Started)*time.Millisecond)
			}
		}
	}
}

// OnOpen implements gnet.EventHandler.
func (n *Node) OnOpen(c gnet.Conn) (out []byte, action gnet.Action) {
	n.turn(func() {
		if n.el == nil {
			n.begin(c.EventLoop())
		}
		ok := true
		switch x := c.Context().(type) {
		case nameSocket: // gnet opens a connected datagram socket like a connection
			ok = n.names.up(x.serial, c)
		case *dialled:
			ok = x.link.up(x.serial, c)
		default:
			switch at := n.local[c.LocalAddr().String()]; {
			case n.h248 != nil && at == n.h248cfg.Listen:
				ok = n.h248.opened(c, false)
			case n.h248 != nil && at == n.h248cfg.Admin:
				ok = n.h248.opened(c, true)
			default:
				ok = n.json.opened(c)
			}
		}
		if !ok {
			c.SetContext(nil)
			action = gnet.Close
		}
	})
	return nil, action
}

// OnTraffic implements gnet.EventHandler.
func (n *Node) OnTraffic(c gnet.Conn) (action gnet.Action) {
	p, err := c.Next(-1)
	if err != nil {
		return gnet.None
	}
	n.turn(func() {
		switch x := c.Context().(type) {
		case nameSocket:
			if n.names.c == c {
				n.news(p)
			}
		case *client:
			x.traffic(p)
		case *panel:
			x.traffic(p)
		case *link:
			if x.s != nil && x.s.c == c {
				x.traffic(p)
			}
		}
	})
	return gnet.None
}

// OnClose implements gnet.EventHandler.
func (n *Node) OnClose(c gnet.Conn, err error) gnet.Action {
	if n.stopping && !n.inTurn { // what came since the last turn is taken, and answered before the connection is closed
		n.turn(func() {
			switch x := c.Context().(type) {
			case *client:
				n.speaks(x.s, x.traffic)
			case *panel:
				n.speaks(x.s, x.traffic)
			}
		})
	}
	n.turn(func() {
		switch x := c.Context().(type) {
		case nameSocket:
			n.names.closed(c)
		case *client:
			x.s.gone, x.s.shut = true, true
			if failedWrite(err) {
				n.leftover(c, x.lastWords)
				for _, id := range x.s.told { // nobody has heard that they stand, and nobody would release them
					n.core.ReleaseByCaller(id, call.CauseNormal)
				}
			}
			x.closed()
		case *panel:
			x.s.gone, x.s.shut = true, true
			if failedWrite(err) {
				n.leftover(c, x.lastWords)
			}
			x.closed()
		case *link:
			if x.s == nil || x.s.c != c {
				break
			}
			x.s.gone = true
			if failedWrite(err) { // the answers that the exchange gave before count: a set-up that stands is not lost
				n.leftover(c, func(p []byte) {
					if x.s != nil && x.s.c == c {
						x.traffic(p)
					}
				})
			}
			if x.s != nil && x.s.c == c {
				x.s.shut = true
				x.closed(err)
			}
		}
	})
	return gnet.None
}

// malformed counts what could not be read, and logs one such a second: a flood must
// not become one of log lines.
func (n *Node) malformed(from string, err error) {
	n.Malformed++
	if now := n.now(); n.badAt == 0 || now-n.badAt > time.Second {
		n.badAt = now
		n.log.Warnw("malformed", "from", from, "count", n.Malformed, "err", err)
	}
}

// Report writes the counters.
func (n *Node) Report() {
	c, k := &n.Counters, &n.core.Counters
	n.log.Infow("counters", "requests", k.Requests, "stood", k.Established, "refused", k.Rejected, "failed", k.Failed, "given_up", k.Abandoned,
		"repeated", k.Repeated, "reused", k.ReusedIDs, "crowded", k.OverLimit, "barred", k.ByPolicy, "impossible", c.Impossible, "open", n.core.OpenCalls(),
		"standing", n.core.EstablishedCalls())
	n.log.Infow("counters", "attempts", k.Attempts, "invites", c.Invites, "cancels", k.Cancels, "late_answers", k.LateAnswers, "released_by_exchange", k.ReleasedByBackend,
		"released_by_caller", k.ReleasedByCaller, "released_unknown", k.ReleasedUnknown, "unknown_dropped", k.UnknownReleasesDropped)
	n.log.Infow("counters", "clients", c.Clients, "clients_shut", c.ClientsShut, "clients_turned_away", c.ClientsTurnedAway, "clients_silent", c.ClientsSilent, "malformed", c.Malformed,
		"tests", c.Tests, "repeats", c.Repeats, "unsayable", c.Unsayable, "dials", c.Dials, "dials_failed", c.DialsFailed,
		"links_lost", c.LinksLost, "strays", c.Strays, "releases_said", c.ReleasesSaid, "releases_lost", c.ReleasesLost)
	n.log.Infow("counters", "queries", c.Queries, "queries_failed", c.QueriesFailed, "answers", c.Answers, "bad_news", c.BadNews, "serial", n.list.Serial())
	n.share.report()
	if l, ok := n.numbers.lookups(); ok {
		n.log.Infow("counters", "lookups", l.Asked, "hits", l.Hits, "coalesced", l.Coalesced, "stale", l.StaleHits, "undecided", l.Undecided, "no_room", l.Crowded,
			"sent", l.Sent, "answered", l.Answered, "timed_out", l.TimedOut, "refused", l.Refused, "strays", l.Strays, "lies", l.Lies, "broken", l.Broken)
	}
	for _, e := range call.AllAttemptEnds() {
		if k.Ends[e] > 0 {
			n.log.Infow("ends", "end", e.String(), "count", k.Ends[e])
		}
	}
}

// ReportSoon writes the counters from wherever it is called.
func (n *Node) ReportSoon() { n.exec(n.Report) }

// gnetLog passes gnet's errors on and drops the rest.
type gnetLog struct{ log *zap.SugaredLogger }

func (gnetLog) Debugf(string, ...any) {}
func (gnetLog) Infof(string, ...any)  {}
func (gnetLog) Warnf(string, ...any)  {}
func (g gnetLog) Errorf(format string, args ...any) {
	g.log.Errorw("gnet", "err", fmt.Sprintf(format, args...))
}
func (g gnetLog) Fatalf(format string, args ...any) {
	g.log.Fatalw("gnet", "err", fmt.Sprintf(format, args...))
}
