package cluster

import (
	"cmp"
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"olivedale/internal/adminapi"
	"olivedale/internal/codec/h248"
	"olivedale/internal/sim/fakeetcd"
	"olivedale/internal/sim/invariant"
	"olivedale/internal/sim/loopback"
	"olivedale/internal/sim/scenario"
)

// Options say what is run.
type Options struct {
	Bin        string // folder of olivedale, oliveagent and olivesim
	Dir        string // for files and records; it is made, and kept
	Topology   Topology
	Scenario   *scenario.Scenario // exchanges and callers; its fleet and faults are not used
	Schedule   *Schedule
	For        time.Duration // calls come for so long
	Conditions []Condition
	Out        io.Writer // what happens, as it does
}

// Condition is something that must hold across processes: Check is asked from After on until it finds
// nothing wrong, and what it says at By is a breach. Both count as the times of steps do.
type Condition struct {
	Name            string
	After, Deadline time.Duration
	Check           func(ctx context.Context, r *Run) error
}

// prefix is that of wanted instances in etcd; below it is a part for each agent.
const prefix = "/olivedale/instances/"

// A Run is what is running. Its exported methods may be called from anywhere while it does.
type Run struct {
	options     Options
	sc          scenario.Scenario
	rng         *rand.Rand
	ports       Ports
	tether      *parentWatch
	key         []byte // that controllers sign with
	log         *os.File
	watch       *monitor
	etcd        *fakeetcd.Server
	load        *loopback.Load
	controllers []*node
	agents      []*agent
	places      []*place
	startTime   time.Time // calls began to come

	saying sync.Mutex // Options.Out

	mu     sync.Mutex
	paths  []*path
	active map[*Fault]bool
	struck []InjectedFault
	extra  []Violation
	course []Sample
}

// InjectedFault is a fault that has begun.
type InjectedFault struct {
	At    float64 `json:"at_s"`
	Fault *Fault  `json:"step"`
}

// A node is a call controller.
type node struct {
	name, listen, admin string
	zone                int
	names               *loopback.Names
	ask                 *datagramProxy // the way to its directory
	door                *streamProxy   // the way from its agent to its admin door
	to                  map[string]*streamProxy
	hears               string           // where datagrams of the others arrive
	peers               []*datagramProxy // the ways to the others, by number

	mu      sync.Mutex
	process *handle
	starts  int
	asked   bool // the rig ends it: that it ends is no crash
	away    bool // stopped
}

// An agent runs the controllers of its zone.
type agent struct {
	name, addr string
	cmd        *exec.Cmd
	ended      chan error
	dead       bool
	way        *streamProxy // to etcd
}

// A place is where an exchange is, and after it the one that takes its place.
type place struct {
	name  string
	pool  int
	zone  int
	mu    sync.Mutex
	x     *loopback.Exchange
	line  loopback.Line // of x; its address is another for each controller
	old   *loopback.Line
	next  int
	fell  bool
	clear bool // nothing is there
}

// Play runs it all, and returns once everything that it started has ended. The error is of the rig's
// own; what the programs did wrong is in the Result.
func Play(ctx context.Context, o Options) (res *Result, err error) {
	if err := cmp.Or(o.Topology.Check(), o.Schedule.Check(&o.Topology)); err != nil {
		return nil, err
	}
	for _, name := range []string{"olivedale", "oliveagent", "olivesim"} {
		if _, err := os.Stat(filepath.Join(o.Bin, name)); err != nil {
			return nil, fmt.Errorf("rig: %s is not in %s; build it first: make build", name, o.Bin)
		}
	}
	if o.Bin, err = filepath.Abs(o.Bin); err == nil {
		if o.Dir, err = filepath.Abs(o.Dir); err == nil {
			err = os.MkdirAll(o.Dir, 0o700)
		}
	}
	if err != nil {
		return nil, fmt.Errorf("rig: %w", err)
	}
	if o.Out == nil {
		o.Out = io.Discard
	}
	r := &Run{options: o, sc: *o.Scenario, rng: rand.New(rand.NewPCG(o.Schedule.Seed, 17)), active: make(map[*Fault]bool), startTime: time.Now()}
	r.watch = newMonitor(r.startTime)
	// Listeners are on an address of the run's own, so that no connection from elsewhere takes their ports.
	host := rand.Uint32()
	r.ports.Host = fmt.Sprintf("127.%d.%d.%d", 64+host%128, host>>8%256, 1+host>>16%250)
	r.sc.Fleet = scenario.Fleet{Controllers: o.Topology.Controllers, Exchanges: o.Topology.Exchanges, Zones: o.Topology.Zones, Clients: 1}
	defer func() { err = errors.Join(err, r.stop()) }()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	return r.play(ctx)
}

func (r *Run) say(format string, args ...any) {
	r.saying.Lock() // steps may begin at the same moment
	defer r.saying.Unlock()
	_, _ = fmt.Fprintf(r.options.Out, "%6.2fs  "+format+"\n", append([]any{time.Since(r.startTime).Seconds()}, args...)...)
}

// join notes a path, and puts the faults on it that are on now.
func (r *Run) join(p *path) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paths = append(r.paths, p)
	for s := range r.active {
		r.shape(p, s, true)
	}
}

func (r *Run) start(ctx context.Context) (err error) {
	o, t := &r.options, &r.options.Topology
	if r.log, err = os.Create(filepath.Join(o.Dir, "log")); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	if r.tether, err = newParentWatch(o.Dir, filepath.Join(o.Bin, "olivesim"), filepath.Join(o.Bin, "olivedale")); err != nil {
		return err
	}
	if r.etcd, err = fakeetcd.Start("127.0.0.1:0"); err != nil {
		return err
	}
	for i := range t.Exchanges {
		p := &place{name: fmt.Sprint("x", i), pool: i, zone: i % t.Zones}
		r.places = append(r.places, p)
		if err := r.put(p, false); err != nil {
			return err
		}
	}
	for i := range t.Zones {
		a := &agent{name: fmt.Sprint("a", i)}
		r.agents = append(r.agents, a)
		if err := r.startAgent(a); err != nil {
			return err
		}
	}
	r.load = &loopback.Load{Rate: r.sc.Rate() * r.sc.Callers.Load, For: o.For, Left: 3 * time.Second, Pools: t.Exchanges, Classes: r.sc.Class, Seed: o.Schedule.Seed, Saw: r.watch.record}
	for i := range t.Controllers {
		n := &node{name: fmt.Sprint("n", i), zone: i % t.Zones, to: make(map[string]*streamProxy)}
		r.controllers = append(r.controllers, n)
		if err := r.startNode(n, uint64(i)); err != nil {
			return err
		}
		r.load.Addrs, r.load.Nodes = append(r.load.Addrs, n.listen), append(r.load.Nodes, n.name)
	}
	if err := r.introduce(); err != nil {
		return err
	}
	r.tell()
	for _, n := range r.controllers {
		if err := r.want(n); err != nil {
			return err
		}
	}
	return r.serving(ctx)
}

func (r *Run) startAgent(a *agent) (err error) {
	if a.way, err = newStreamProxy(a.name, "etcd", r.etcd.Addr, nil); err != nil {
		return err
	}
	r.join(a.way.path)
	if a.addr, err = r.ports.Free(); err != nil {
		return err
	}
	a.cmd = r.tether.command(filepath.Join(r.options.Bin, "oliveagent"), "--etcd", a.way.listener.Addr().String(), "--prefix", prefix+a.name+"/", "--dir", filepath.Join(r.options.Dir, a.name),
		"--program", r.tether.wrapperScript, "--listen", a.addr)
	a.cmd.Stdout, a.cmd.Stderr = r.log, r.log
	if err := a.cmd.Start(); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	a.ended = make(chan error, 1)
	go func() { a.ended <- a.cmd.Wait() }()
	return nil
}

func (r *Run) startNode(n *node, i uint64) (err error) {
	if n.names, err = loopback.ListenNames("127.0.0.1:0"); err != nil {
		return err
	}
	n.ask, err = newDatagramProxy(n.name, "names", n.names.Addr(), rand.New(rand.NewPCG(r.options.Schedule.Seed, 100+i)), func(w Direction, b []byte) {
		if w == Backward {
			r.watch.told(n.name, b)
		}
	})
	if err != nil {
		return err
	}
	r.join(n.ask.path)
	for _, addr := range []*string{&n.listen, &n.admin} {
		if *addr, err = r.ports.Free(); err != nil {
			return err
		}
	}
	if n.door, err = newStreamProxy(r.agents[n.zone].name, n.name, func() string { return n.admin }, nil); err != nil {
		return err
	}
	r.join(n.door.path)
	for _, p := range r.places {
		if err := r.lead(n, p.line, p.name); err != nil {
			return err
		}
	}
	return nil
}

// keys is the file of the fleet's keys.
func (r *Run) keys() string { return filepath.Join(r.options.Dir, "share.keys") }

// introduce puts a relay on each way from a controller to another, where they share what they know.
func (r *Run) introduce() (err error) {
	if !r.options.Topology.Share {
		return nil
	}
	r.key = make([]byte, 32)
	for i := range r.key {
		r.key[i] = byte(r.rng.Uint32())
	}
	if err := os.WriteFile(r.keys(), []byte(hex.EncodeToString(r.key)+"\n"), 0o600); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	for _, n := range r.controllers {
		if n.hears, err = r.ports.Free(); err != nil {
			return err
		}
	}
	for i, a := range r.controllers {
		for j, b := range r.controllers {
			rng := rand.New(rand.NewPCG(r.options.Schedule.Seed, uint64(1000+i*len(r.controllers)+j)))
			d, err := newDatagramProxy(a.name, b.name, b.hears, rng, nil)
			if err != nil {
				return err
			}
			a.peers = append(a.peers, d)
			r.join(d.path)
		}
	}
	return nil
}

// sharing is a controller's section [share].
func (r *Run) sharing(n *node) map[string]any {
	if !r.options.Topology.Share {
		return nil
	}
	var peers []string
	for _, d := range n.peers {
		peers = append(peers, d.socket.LocalAddr().String())
	}
	return map[string]any{"listen": n.hears, "peers": peers, "number": slices.Index(r.controllers, n), "keys": r.keys(), "beat": "2s"}
}

// lead puts a relay on the way from a controller to an exchange.
func (r *Run) lead(n *node, l loopback.Line, place string) error {
	s, err := newStreamProxy(n.name, place, func() string { return l.Addr }, func() observer { return r.watch.observeSIP(n.name, l.ID) })
	if err != nil {
		return err
	}
	r.mu.Lock()
	n.to[l.ID] = s
	r.mu.Unlock()
	r.join(s.path)
	return nil
}

// want has the agent of its zone run a controller.
func (r *Run) want(n *node) error {
	panel, err := r.ports.Free()
	if err != nil {
		return err
	}
	i := &Instance{Name: n.name, Listen: n.listen, Admin: n.admin, GatewayListen: panel, Discovery: n.ask.socket.LocalAddr().String(), Records: filepath.Join(r.options.Dir, "records", n.name),
		AdminProxy: n.door.listener.Addr().String(), Zone: fmt.Sprint("z", n.zone), Seed: r.rng.Uint64(), FleetSize: r.options.Topology.Controllers, Endpoints: r.lines(n),
		OverloadControl: r.sharing(n)}
	text, err := i.Spec(&r.sc)
	if err != nil {
		return err
	}
	r.etcd.Set(prefix+r.agents[n.zone].name+"/"+n.name, text)
	return nil
}

// lines are the exchanges as a controller reaches them.
func (r *Run) lines(n *node) (all []loopback.Line) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.places {
		p.mu.Lock()
		lines := []loopback.Line{p.line}
		if p.clear {
			lines = nil
		}
		if p.old != nil {
			lines = append(lines, *p.old)
		}
		p.mu.Unlock()
		for _, l := range lines {
			if s := n.to[l.ID]; s != nil {
				l.Addr = s.listener.Addr().String()
				all = append(all, l)
			}
		}
	}
	return all
}

// tell has the directory say what is so now.
func (r *Run) tell() {
	takes := make(news)
	for _, p := range r.places {
		p.mu.Lock()
		takes[p.line.ID] = !p.clear
		if p.old != nil {
			takes[p.old.ID] = false
		}
		p.mu.Unlock()
	}
	r.watch.telling(takes, func() {
		for _, n := range r.controllers {
			n.names.Set(r.lines(n)...)
		}
	})
}

// put starts an exchange in a place.
func (r *Run) put(p *place, cold bool) error {
	x, err := loopback.Listen("127.0.0.1:0", r.sc.Model(), cold, r.options.Schedule.Seed+uint64(p.pool)*31+uint64(p.next)*7)
	if err != nil {
		return err
	}
	id := p.name
	if p.next > 0 {
		id = fmt.Sprintf("%s.%d", p.name, p.next)
	}
	l := loopback.Line{ID: id, Addr: x.Addr(), Zone: fmt.Sprint("z", p.zone), Pool: p.pool}
	if cold {
		l.Started = time.Now()
	}
	for _, n := range r.controllers {
		if err := r.lead(n, l, p.name); err != nil {
			return err
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.x, p.line, p.clear, p.fell = x, l, false, false
	p.next++
	return nil
}

// refuse has nobody listen any more where controllers reach an exchange.
func (r *Run) refuse(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.controllers {
		if s := n.to[id]; s != nil {
			s.path.close()
		}
	}
}

// startLimit is how long controllers may take to serve, at first and again after their end.
const startLimit = 30 * time.Second

// serving waits until all controllers take calls.
func (r *Run) serving(ctx context.Context) error {
	for end := time.Now().Add(startLimit); ; {
		r.pollAgents(ctx)
		up := 0
		for _, n := range r.controllers {
			if n.serves() {
				up++
			}
		}
		switch {
		case up == len(r.controllers):
			r.say("%d call controllers in %d zones take calls", up, len(r.agents))
			return nil
		case time.Now().After(end):
			return fmt.Errorf("rig: %d of %d call controllers take calls; the log is %s", up, len(r.controllers), r.log.Name())
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("rig: %w", ctx.Err())
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// serves tells whether a controller runs and takes connections.
func (n *node) serves() bool {
	n.mu.Lock()
	up := n.process != nil && !n.process.gone()
	n.mu.Unlock()
	if !up {
		return false
	}
	c, err := net.DialTimeout("tcp", n.listen, 200*time.Millisecond)
	if err == nil {
		_ = c.Close()
	}
	return err == nil
}

// pollAgents asks the agents which processes run.
func (r *Run) pollAgents(ctx context.Context) {
	var wg sync.WaitGroup
	for _, a := range r.agents {
		r.mu.Lock()
		dead := a.dead
		r.mu.Unlock()
		if dead {
			continue
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
			defer cancel()
			c, err := adminapi.Send(ctx, a.addr, adminapi.AuditCommand("ROOT"))
			if err != nil {
				return // it may be stopped, or not listen yet
			}
			for _, d := range c.Descriptors {
				for _, i := range d.Kids {
					r.found(h248.Value([]*h248.Node{i}, "oa/instance", "name"), h248.Value([]*h248.Node{i}, "oa/instance", "pid"), h248.Value([]*h248.Node{i}, "oa/instance", "starts"))
				}
			}
		})
	}
	wg.Wait()
}

// found takes what an agent says of an instance.
func (r *Run) found(name, pid, starts string) {
	i := slices.IndexFunc(r.controllers, func(n *node) bool { return n.name == name })
	var p, s int
	if _, err := fmt.Sscan(pid+" "+starts, &p, &s); i < 0 || err != nil || p <= 1 {
		return
	}
	n := r.controllers[i]
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil && n.process.pid == p && !n.process.gone() {
		return
	}
	h, err := open(p)
	if err != nil {
		return // it has ended since; the next look finds another
	}
	if n.process != nil {
		n.process.close()
	}
	n.process, n.starts = h, s
}

// play has calls come and things go wrong, and collects what there is to say.
func (r *Run) play(ctx context.Context) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.startTime = time.Now()
	r.watch.begin(r.startTime)
	calls := make(chan error, 1)
	go func() { calls <- r.load.Run(ctx) }()
	var wg sync.WaitGroup
	for _, s := range r.options.Schedule.Step {
		wg.Go(func() { r.step(ctx, s) })
	}
	for _, h := range r.options.Conditions {
		wg.Go(func() { r.holds(ctx, h) })
	}
	watch, unwatch := context.WithCancel(ctx)
	var watching sync.WaitGroup
	watching.Go(func() { r.guard(watch) })
	var half []loopback.LoadStats
	watching.Go(func() {
		if r.sleep(watch, r.options.For*4/5) {
			r.mu.Lock()
			half = r.each()
			r.mu.Unlock()
		}
	})
	watching.Go(func() {
		for r.pause(watch, time.Second) {
			r.sample()
		}
	})
	err := <-calls
	wg.Wait()
	unwatch()
	watching.Wait()
	if err == nil && ctx.Err() != nil {
		err = fmt.Errorf("rig: %w", ctx.Err())
	}
	if err != nil {
		return nil, err
	}
	r.recovered(half)
	return r.result(), nil
}

// A Sample is what callers of each zone had got until then, since calls began.
type Sample struct {
	At          float64 `json:"at_s"`
	Sent        []int   `json:"sent"`
	Established []int   `json:"stood"`
}

// sample notes what callers have got until now.
func (r *Run) sample() {
	s := Sample{At: time.Since(r.startTime).Seconds(), Sent: make([]int, r.options.Topology.Zones), Established: make([]int, r.options.Topology.Zones)}
	for i, l := range r.each() {
		z := r.controllers[i].zone
		s.Sent[z] += l.Sent
		s.Established[z] += l.Stood
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.course = append(r.course, s)
}

// each is what callers of each controller got.
func (r *Run) each() (all []loopback.LoadStats) {
	for i := range r.controllers {
		all = append(all, r.load.StatsOf(i))
	}
	return all
}

// recovered checks that, once all faults are over, calls stand through every controller again.
func (r *Run) recovered(before []loopback.LoadStats) {
	if before == nil {
		return
	}
	for i, now := range r.each() {
		sent, stood := now.Sent-before[i].Sent, now.Stood-before[i].Stood
		if sent >= 20 && stood*2 < sent {
			r.breach("recovers", r.controllers[i].name, "%d of the last %d calls stood through %s, after all faults were over", stood, sent, r.controllers[i].name)
		}
	}
}

func (r *Run) breach(rule, node, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := Violation{Rule: rule, Node: node, Text: fmt.Sprintf(format, args...), At: time.Since(r.startTime).Seconds()}
	if n := len(r.struck); n > 0 {
		b.LatestFault = r.struck[n-1].Fault.String()
	}
	r.extra = append(r.extra, b)
}

// holds asks until nothing is wrong, or By is over.
func (r *Run) holds(ctx context.Context, h Condition) {
	if !r.sleep(ctx, h.After) {
		return
	}
	for {
		err := h.Check(ctx, r)
		switch {
		case err == nil || ctx.Err() != nil:
			return
		case time.Since(r.startTime) > h.Deadline:
			r.breach(h.Name, "", "%v", err)
			return
		}
		r.pause(ctx, 50*time.Millisecond)
	}
}

// sleep waits until a time of the run; false: ctx ended.
func (r *Run) sleep(ctx context.Context, until time.Duration) bool {
	return r.pause(ctx, time.Until(r.startTime.Add(until)))
}

func (r *Run) pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// guard looks for processes that ended though nobody had them end, and for cold exchanges that fell.
func (r *Run) guard(ctx context.Context) {
	for r.pause(ctx, 100*time.Millisecond) {
		for _, n := range r.controllers {
			n.mu.Lock()
			crashed := n.process != nil && n.process.gone() && !n.asked
			if crashed {
				n.asked = true
			}
			n.mu.Unlock()
			if crashed {
				r.breach("no_crash", n.name, "%s ended though nobody had it end; its log is in %s", n.name, r.log.Name())
				r.watch.record(invariant.Event{Kind: invariant.Killed, Node: n.name})
				go r.back(ctx, n)
			}
		}
		for _, p := range r.places {
			p.mu.Lock()
			fell := !p.clear && !p.fell && p.x.Fell()
			p.fell = p.fell || fell
			p.mu.Unlock()
			if fell {
				r.watch.record(invariant.Event{Kind: invariant.PushedOver, Server: p.line.ID})
				r.refuse(p.line.ID)
			}
		}
	}
}

// Ask sends a command to a controller's admin door.
func (r *Run) Ask(ctx context.Context, controller string, c *h248.Command) (*h248.Command, error) {
	i := slices.IndexFunc(r.controllers, func(n *node) bool { return n.name == controller })
	if i < 0 {
		return nil, fmt.Errorf("rig: there is no %s", controller)
	}
	return adminapi.Send(ctx, r.controllers[i].admin, c)
}

// Etcd is the store of the agents.
func (r *Run) Etcd() *fakeetcd.Server { return r.etcd }

// stop ends all that runs, in order where it can be.
func (r *Run) stop() error {
	for _, a := range r.agents {
		if a.cmd != nil && a.cmd.Process != nil {
			_ = a.cmd.Process.Signal(syscall.SIGCONT)
			_ = a.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	for _, n := range r.controllers {
		n.mu.Lock()
		if n.process != nil {
			_ = n.process.signal(syscall.SIGCONT)
			_ = n.process.signal(syscall.SIGTERM)
		}
		n.mu.Unlock()
	}
	late := time.After(20 * time.Second)
	var err error
	for _, a := range r.agents {
		if a.ended == nil {
			continue
		}
		select {
		case <-a.ended:
		case <-late:
			err = errors.Join(err, fmt.Errorf("rig: %s did not stop in 20 s and is killed", a.name))
			late = time.After(0)
		}
	}
	if r.tether != nil {
		err = errors.Join(err, r.tether.close())
	}
	for _, p := range r.paths {
		p.close()
	}
	for _, n := range r.controllers {
		if n.names != nil {
			n.names.Close()
		}
		if n.process != nil {
			n.process.close()
		}
	}
	for _, p := range r.places {
		p.x.Close()
	}
	if r.etcd != nil {
		r.etcd.Stop()
	}
	if r.log != nil {
		err = errors.Join(err, r.log.Close())
	}
	return err
}

// A ZoneStats is what its callers got.
type ZoneStats struct {
	Name        string  `json:"name"`
	Sent        int     `json:"sent"`
	Established int     `json:"stood"`
	Rejected    int     `json:"refused"`
	Failed      int     `json:"failed"` // failed, lost with their connection, or given up
	Dropped     int     `json:"cut"`
	P50         float64 `json:"p50_ms"`
	P99         float64 `json:"p99_ms"`
}

// A Result is a run's.
type Result struct {
	Seed              uint64          `json:"seed"`
	Topology          Topology        `json:"topology"`
	Duration          float64         `json:"for_s"`
	Zones             []ZoneStats     `json:"zones"`
	Struck            []InjectedFault `json:"struck"`
	Breaches          []Violation     `json:"breaches"`
	Broken            int             `json:"broken"` // rules and what must hold, all told
	Seen              int             `json:"seen"`   // events on the wires
	UnreadableStreams int             `json:"unread"` // streams that could not be read to their end
	Samples           []Sample        `json:"course"`
	Schedule          *Schedule       `json:"schedule"`
}

func (r *Run) result() *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	res := &Result{Seed: r.options.Schedule.Seed, Topology: r.options.Topology, Duration: r.options.For.Seconds(), Struck: r.struck, Samples: r.course, Schedule: r.options.Schedule}
	for z := range r.options.Topology.Zones {
		s := loopback.NewLoadStats()
		for i, n := range r.controllers {
			if n.zone == z {
				s.Add(r.load.StatsOf(i))
			}
		}
		ms := func(q float64) float64 { return float64(s.Took.ValueAtQuantile(q)) / 1000 }
		res.Zones = append(res.Zones, ZoneStats{fmt.Sprint("z", z), s.Sent, s.Stood, s.Refused, s.Failed + s.Lost + s.GaveUp, s.Cut, ms(50), ms(99)})
	}
	res.Breaches = append(r.watch.breaches(r.struck), r.extra...)
	res.Broken = r.watch.checker.Total() + len(r.extra)
	res.Seen, res.UnreadableStreams = r.watch.checker.Seen(), r.watch.unreadableStreams
	return res
}

// Save writes it and its schedule beside each other.
func (res *Result) Save(dir string) error {
	text, err := json.MarshalIndent(res, "", "  ")
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, "result.json"), append(text, '\n'), 0o600)
	}
	if err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	return res.Schedule.Save(filepath.Join(dir, "schedule.toml"))
}

// Rows are its zones as a table.
func (res *Result) Rows() (heading []string, rows [][]string) {
	for _, z := range res.Zones {
		rows = append(rows, []string{z.Name, fmt.Sprint(z.Sent), fmt.Sprint(z.Established), fmt.Sprint(z.Rejected), fmt.Sprint(z.Failed), fmt.Sprint(z.Dropped), fmt.Sprintf("%.0f", z.P50), fmt.Sprintf("%.0f", z.P99)})
	}
	return strings.Fields("ZONE SENT STOOD REFUSED FAILED CUT P50_MS P99_MS"), rows
}
