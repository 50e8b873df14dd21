package cluster

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"olivedale/internal/overload"
	"olivedale/internal/sim/exchange"
	"olivedale/internal/sim/invariant"
	"olivedale/internal/sim/loopback"
	"olivedale/internal/sim/overloadpeers"
	"olivedale/internal/transport"
)

// step has a fault begin, and end.
func (r *Run) step(ctx context.Context, s *Fault) {
	if !r.sleep(ctx, s.At.D()) {
		return
	}
	r.mu.Lock()
	r.struck = append(r.struck, InjectedFault{time.Since(r.startTime).Seconds(), s})
	r.mu.Unlock()
	r.say("-> %v", s)
	if slices.Contains(pathFaults, s.Kind) {
		r.onPaths(ctx, s)
		return
	}
	names, _ := r.options.Topology.Match(s.From) // the schedule was checked
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, name := range names {
		wg.Go(func() {
			switch {
			case name == "etcd":
				r.onStore(ctx, s)
			case name[0] == 'x':
				r.onExchange(ctx, s, name)
			default:
				r.injectProcessFault(ctx, s, name)
			}
		})
	}
}

// onStore has the store go wrong for a while.
func (r *Run) onStore(ctx context.Context, s *Fault) {
	while := func(set func(on bool)) {
		set(true)
		r.pause(ctx, s.Duration.D())
		set(false)
	}
	some := func(n int, set func(int)) func(on bool) {
		return func(on bool) {
			if !on {
				n = 0
			}
			set(n)
		}
	}
	switch s.Kind {
	case FaultWatchStall:
		while(r.etcd.Stall)
	case FaultNoLeader:
		while(r.etcd.NoLeader)
	case FaultKeepAliveLoss:
		while(r.etcd.MuteLeases)
	case FaultStaleReads:
		while(some(3, func(n int) { r.etcd.Stale(int64(n)) }))
	case FaultLostResponses:
		while(some(5, r.etcd.LoseAnswers))
	case FaultCompaction:
		r.etcd.Forget()
	case FaultRestore:
		r.etcd.Set("/rig/mark", []byte(s.String())) // what the restore loses: no controller stops being wanted
		if err := r.etcd.Restore(r.etcd.Revision()-1, true); err != nil {
			r.say("%v is not done: %v", s, err) // its history is too short
		}
	}
}

func (r *Run) onPaths(ctx context.Context, s *Fault) {
	if s.Kind == FaultConnectionReset {
		for _, p := range r.between(s) {
			if p.reset != nil {
				p.reset()
			}
		}
		return
	}
	set := func(on bool) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.active[s] = on; !on {
			delete(r.active, s)
		}
		for _, p := range r.paths {
			r.shape(p, s, on)
		}
	}
	set(true)
	defer set(false)
	r.pause(ctx, s.Duration.D())
}

// between are the paths that a step is about.
func (r *Run) between(s *Fault) (all []*path) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.paths {
		if there, back := r.touches(p, s); there || back {
			all = append(all, p)
		}
	}
	return all
}

// touches tells which ways of a path lie from From to To of a step.
func (r *Run) touches(p *path, s *Fault) (there, back bool) {
	from, _ := r.options.Topology.Match(s.From)
	to, _ := r.options.Topology.Match(s.To)
	there = slices.Contains(from, p.from) && slices.Contains(to, p.to)
	back = slices.Contains(from, p.to) && slices.Contains(to, p.from)
	return there, back
}

// shape puts a step's fault on a path, or takes it off; the lock is held.
func (r *Run) shape(p *path, s *Fault, on bool) {
	there, back := r.touches(p, s)
	if !there && !back {
		return
	}
	var f Impairment
	switch s.Kind {
	case FaultPartition, FaultOneWayPartition:
		f.Blocked = true
	case FaultDelay:
		f.Delay, f.Jitter = s.Latency.D(), s.Jitter.D()
	case FaultDatagramLoss:
		f.LossRate = s.Fraction
	case FaultDatagramDuplication:
		f.DuplicationRate = s.Fraction
	case FaultReorder:
		f.Jitter = s.Jitter.D()
	case FaultBandwidthLimit:
		f.BytesPerSecond = s.BytesPerSecond
	}
	p.update(func() {
		switch {
		case !on:
			delete(p.impairments[Forward], s)
			delete(p.impairments[Backward], s)
			delete(p.halfOpen, s)
		case s.Kind == FaultHalfOpen:
			p.halfOpen[s] = true
		case s.Kind == FaultOneWayPartition && there:
			p.impairments[Forward][s] = f
		case s.Kind == FaultOneWayPartition:
			p.impairments[Backward][s] = f
		default:
			p.impairments[Forward][s], p.impairments[Backward][s] = f, f
		}
	})
}

func (r *Run) place(name string) *place {
	return r.places[slices.IndexFunc(r.places, func(p *place) bool { return p.name == name })]
}

func (r *Run) onExchange(ctx context.Context, s *Fault, name string) {
	p := r.place(name)
	p.mu.Lock()
	x, line, busy := p.x, p.line, p.clear || p.old != nil
	p.mu.Unlock()
	switch s.Kind {
	case FaultSlowdown:
		x.Do(func(m *exchange.Exchange, _ exchange.Time) { m.Slow(s.Factor) })
		r.pause(ctx, s.Duration.D())
		x.Do(func(m *exchange.Exchange, _ exchange.Time) { m.Slow(1) })
	case FaultHang:
		x.Do(func(m *exchange.Exchange, now exchange.Time) { m.Hang(now, true) })
		r.pause(ctx, s.Duration.D())
		x.Do(func(m *exchange.Exchange, now exchange.Time) { m.Hang(now, false) })
	case FaultDropCalls:
		x.Do(func(m *exchange.Exchange, now exchange.Time) { m.Cutting(now, int(s.Fraction*float64(m.Standing()))) })
	case FaultCrash:
		if busy {
			return // another fault is about to replace it
		}
		p.mu.Lock()
		p.clear = true
		p.mu.Unlock()
		r.end(x, line)
		r.tell()
		r.pause(ctx, s.Duration.D())
		r.replace(p)
	case FaultReplace:
		if busy {
			return
		}
		p.mu.Lock()
		old := line
		old.Drains = true
		p.old = &old
		p.mu.Unlock()
		r.replace(p)
		r.pause(ctx, s.Duration.D())
		x.Do(func(m *exchange.Exchange, now exchange.Time) { m.Cutting(now, m.Standing()) })
		r.pause(ctx, 200*time.Millisecond)
		p.mu.Lock()
		p.old = nil
		p.mu.Unlock()
		r.end(x, line)
		r.tell()
	}
}

// end ends an exchange's process: its connections are reset, and nobody listens there.
func (r *Run) end(x *loopback.Exchange, l loopback.Line) {
	x.Close()
	r.refuse(l.ID)
}

// replace starts a cold exchange in a place, and has the directory say so.
func (r *Run) replace(p *place) {
	if err := r.put(p, true); err != nil {
		r.breach("rig", "", "no exchange could be started: %v", err)
		return
	}
	r.tell()
}

func (r *Run) injectProcessFault(ctx context.Context, s *Fault, name string) {
	if name[0] == 'a' {
		r.onAgent(ctx, s, name)
		return
	}
	i := slices.IndexFunc(r.controllers, func(n *node) bool { return n.name == name })
	n := r.controllers[i]
	switch s.Kind {
	case FaultDiskFull:
		r.fullDisk(ctx, s, n)
		return
	case FaultByzantinePeer:
		r.lie(ctx, s, i)
		return
	}
	n.mu.Lock()
	busy := n.asked || n.away || n.process == nil
	if !busy {
		n.asked, n.away = s.Kind != FaultPause, s.Kind == FaultPause
	}
	h := n.process
	n.mu.Unlock()
	if busy {
		return // another fault has it
	}
	switch s.Kind {
	case FaultPause:
		r.watch.record(invariant.Event{Kind: invariant.Paused, Node: name, On: true})
		_ = h.signal(syscall.SIGSTOP)
		r.pause(ctx, s.Duration.D())
		r.watch.record(invariant.Event{Kind: invariant.Paused, Node: name})
		_ = h.signal(syscall.SIGCONT)
		n.mu.Lock()
		n.away = false
		n.mu.Unlock()
		return
	case FaultKill:
		r.load.Away(i, true)
		r.watch.record(invariant.Event{Kind: invariant.Killed, Node: name})
		_ = h.signal(syscall.SIGKILL)
	case FaultTerminate:
		// New set-ups come for a while yet, as the platform says.
		_ = h.signal(syscall.SIGTERM)
		r.pause(ctx, 250*time.Millisecond)
		r.load.Away(i, true)
	}
	for !h.gone() && r.pause(ctx, 5*time.Millisecond) { // till then it seems to serve
	}
	if s.Kind == FaultTerminate {
		r.watch.record(invariant.Event{Kind: invariant.Killed, Node: name})
	}
	r.back(ctx, n)
}

// lie has a hostile process speak under a controller's number: it has the fleet's keys, and says twice a second
// to all others, as one who reports and as a teller, that all servers are well, or that all are pressed.
func (r *Run) lie(ctx context.Context, s *Fault, as int) {
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		r.breach("rig", "", "no socket for a hostile process: %v", err)
		return
	}
	defer func() { _ = c.Close() }()
	sign := func(b []byte) []byte {
		h := hmac.New(sha256.New, r.key)
		_, _ = h.Write(b)
		return append(b, h.Sum(nil)[:transport.SignatureBytes]...)
	}
	var keys []uint32
	for _, p := range r.places {
		p.mu.Lock()
		keys = append(keys, overload.ServerKey(p.line.ID))
		p.mu.Unlock()
	}
	for end, seq := time.Now().Add(s.Duration.D()), uint32(1); time.Now().Before(end); seq++ {
		for i, n := range r.controllers {
			to, err := net.ResolveUDPAddr("udp4", n.hears)
			if err != nil || i == as {
				continue
			}
			_, _ = c.WriteTo(sign(overloadpeers.Report(as, 1<<31, seq, keys, s.Fraction > 0)), to) // of the losses of a liar nobody hears
			_, _ = c.WriteTo(sign(overloadpeers.Word(as, 1<<31, seq, keys, s.Fraction > 0)), to)
		}
		if !r.pause(ctx, 500*time.Millisecond) {
			return
		}
	}
}

// fullDisk has a controller's writes to files fail, by the limit of their size: its records and its log.
// A process that is started meanwhile has room again.
func (r *Run) fullDisk(ctx context.Context, s *Fault, n *node) {
	n.mu.Lock()
	h := n.process
	n.mu.Unlock()
	if h == nil {
		return
	}
	limit := func(cur uint64) error {
		if h.gone() {
			return nil
		}
		return unix.Prlimit(h.pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: cur, Max: unix.RLIM_INFINITY}, nil)
	}
	if err := limit(0); err != nil {
		r.breach("rig", n.name, "no limit could be set: %v", err)
		return
	}
	r.pause(ctx, s.Duration.D())
	if err := limit(unix.RLIM_INFINITY); err != nil {
		r.breach("rig", n.name, "no limit could be lifted: %v", err)
	}
}

// back waits until a controller that was ended serves again, and has calls go there.
func (r *Run) back(ctx context.Context, n *node) {
	i := slices.Index(r.controllers, n)
	r.load.Away(i, true)
	r.watch.started(n.name)
	began := time.Now()
	for !n.serves() {
		if time.Since(began) > startLimit {
			r.breach("starts", n.name, "%s does not serve %v after its end", n.name, startLimit)
			return
		}
		if !r.pause(ctx, 50*time.Millisecond) {
			return
		}
		r.pollAgents(ctx)
	}
	n.mu.Lock()
	n.asked = false
	n.mu.Unlock()
	r.load.Away(i, false)
}

func (r *Run) onAgent(ctx context.Context, s *Fault, name string) {
	a := r.agents[slices.IndexFunc(r.agents, func(a *agent) bool { return a.name == name })]
	switch s.Kind {
	case FaultPause:
		_ = a.cmd.Process.Signal(syscall.SIGSTOP)
		r.pause(ctx, s.Duration.D())
		_ = a.cmd.Process.Signal(syscall.SIGCONT)
	case FaultKill: // its controllers go on; nobody starts them again
		r.mu.Lock()
		a.dead = true
		r.mu.Unlock()
		_ = a.cmd.Process.Kill()
	}
}
