// Package demo runs the product on one machine for a minute: emulated exchanges and directory, a
// stand-in of etcd, the agent, call controllers that it starts, and a light load, with a few things
// that go wrong. It ends by itself, or with its context, and leaves nothing running.
package demo

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"olivedale/internal/adminapi"
	"olivedale/internal/codec/h248"
	"olivedale/internal/sim/cluster"
	"olivedale/internal/sim/exchange"
	"olivedale/internal/sim/fakeetcd"
	"olivedale/internal/sim/loopback"
	"olivedale/internal/sim/scenario"
)

// Options say what is run.
type Options struct {
	Bin         string // folder of olivedale, oliveagent and olivectl
	Dir         string // for the files; "": one that is removed after
	Report      string // file for the report; "": none
	Agent       string // address for olivectl
	Controllers int
	Exchanges   int
	Rate        float64 // calls a second
	For         time.Duration
	Seed        uint64
	Out         io.Writer
}

// prefix is that of wanted instances in etcd.
const prefix = "/olivedale/instances/"

// A stage is what is running.
type stage struct {
	o         Options
	dir       string
	sc        scenario.Scenario
	names     *loopback.Names
	etcd      *fakeetcd.Server
	lines     []loopback.Line
	exchanges []*loopback.Exchange
	agent     *exec.Cmd
	ended     chan error
	listen    []string // of the controllers' fronts
	log       *os.File
	ports     cluster.Ports
	began     time.Time
}

// Run does it all. It returns once everything that it started has ended.
func Run(ctx context.Context, o Options) (err error) {
	for _, name := range []string{"olivedale", "oliveagent", "olivectl"} {
		if _, err := os.Stat(filepath.Join(o.Bin, name)); err != nil {
			return fmt.Errorf("demo: %s is not in %s; build it first: make build", name, o.Bin)
		}
	}
	s := &stage{o: o, dir: o.Dir, sc: scenario.Default(), ports: cluster.Ports{Host: "127.0.0.1"}, began: time.Now()}
	s.sc.Fleet.Controllers, s.sc.Fleet.Exchanges = o.Controllers, o.Exchanges
	if s.dir == "" {
		if s.dir, err = os.MkdirTemp("", "olivesim-demo-"); err != nil {
			return fmt.Errorf("demo: %w", err)
		}
		defer func() { err = errors.Join(err, os.RemoveAll(s.dir)) }()
	}
	if s.dir, err = filepath.Abs(s.dir); err == nil {
		err = os.MkdirAll(s.dir, 0o700)
	}
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	defer func() { err = errors.Join(err, s.stop()) }()
	if err := s.start(ctx); err != nil {
		return err
	}
	if err := s.play(ctx); err != nil {
		return err
	}
	return s.report()
}

func (s *stage) say(format string, args ...any) {
	_, _ = fmt.Fprintf(s.o.Out, "%5.1fs  "+format+"\n", append([]any{time.Since(s.began).Seconds()}, args...)...)
}

func (s *stage) exchange(id string, pool int, cold bool) (*loopback.Exchange, error) {
	x, err := loopback.Listen("127.0.0.1:0", s.sc.Model(), cold, s.o.Seed+uint64(len(s.exchanges))*7)
	if err != nil {
		return nil, err
	}
	l := loopback.Line{ID: id, Addr: x.Addr(), Zone: "east", Pool: pool}
	if cold {
		l.Started = time.Now()
	}
	s.exchanges, s.lines = append(s.exchanges, x), append(s.lines, l)
	return x, nil
}

func (s *stage) start(ctx context.Context) (err error) {
	if s.names, err = loopback.ListenNames("127.0.0.1:0"); err != nil {
		return err
	}
	for i := range s.o.Exchanges {
		if _, err := s.exchange(fmt.Sprint("x", i), i, false); err != nil {
			return err
		}
	}
	s.names.Set(s.lines...)
	if s.etcd, err = fakeetcd.Start("127.0.0.1:0"); err != nil {
		return err
	}
	s.say("%d emulated exchanges, a directory at %s, a stand-in of etcd at %s", s.o.Exchanges, s.names.Addr(), s.etcd.Addr())
	if s.log, err = os.Create(filepath.Join(s.dir, "log")); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	program, err := filepath.Abs(filepath.Join(s.o.Bin, "olivedale"))
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	s.agent = exec.Command(filepath.Join(s.o.Bin, "oliveagent"), "--etcd", s.etcd.Addr(), "--dir", filepath.Join(s.dir, "agent"), "--program", program, "--listen", s.o.Agent)
	s.agent.Stdout, s.agent.Stderr = s.log, s.log
	// In a group of its own: Ctrl-C reaches this program alone, which then stops the others in order.
	s.agent.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := s.agent.Start(); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	s.ended = make(chan error, 1)
	go func() { s.ended <- s.agent.Wait() }()
	s.say("the agent runs, olivectl finds it at %s", s.o.Agent)
	for i := range s.o.Controllers {
		if err := s.want(fmt.Sprint("n", i), i); err != nil {
			return err
		}
	}
	return s.serving(ctx)
}

// want has the agent run a controller.
func (s *stage) want(name string, i int) error {
	var addr [3]string
	for k := range addr {
		var err error
		if addr[k], err = s.ports.Free(); err != nil {
			return fmt.Errorf("demo: %w", err)
		}
	}
	text, err := (&cluster.Instance{Name: name, Listen: addr[0], Admin: addr[1], GatewayListen: addr[2], Discovery: s.names.Addr(), Records: filepath.Join(s.dir, "records", name),
		Seed: s.o.Seed*31 + uint64(i) + 1, FleetSize: s.o.Controllers, Endpoints: s.lines}).Spec(&s.sc)
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	s.listen = append(s.listen, addr[0])
	s.etcd.Set(prefix+name, text)
	return nil
}

// serving waits until all controllers take calls.
func (s *stage) serving(ctx context.Context) error {
	for end := time.Now().Add(15 * time.Second); ; {
		up := 0
		for _, addr := range s.listen {
			if c, err := net.DialTimeout("tcp", addr, 200*time.Millisecond); err == nil {
				_ = c.Close()
				up++
			}
		}
		if up == len(s.listen) {
			s.say("%d call controllers take calls at %s", up, strings.Join(s.listen, ", "))
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case err := <-s.ended:
			s.ended <- err
			return fmt.Errorf("demo: the agent ended: %w; its log is %s", cmp.Or(err, errors.New("in good order")), s.log.Name())
		case <-time.After(100 * time.Millisecond):
		}
		if time.Now().After(end) {
			return fmt.Errorf("demo: %d of %d call controllers take calls; the log is %s", up, len(s.listen), s.log.Name())
		}
	}
}

// play has calls come, and things go wrong.
func (s *stage) play(ctx context.Context) error {
	load := &loopback.Load{Addrs: s.listen, Rate: s.o.Rate, For: s.o.For, Left: 3 * time.Second, Pools: s.o.Exchanges, Classes: s.sc.Class, Seed: s.o.Seed}
	done := make(chan error, 1)
	go func() { done <- load.Run(ctx) }()
	s.say("%v calls a second for %v; beside it, look with", s.o.Rate, s.o.For)
	s.say("    %s top --agent %s", filepath.Join(s.o.Bin, "olivectl"), s.o.Agent)
	s.say("    %s list --agent %s", filepath.Join(s.o.Bin, "olivectl"), s.o.Agent)
	part := s.o.For / 5
	events := []struct {
		at   time.Duration
		what func() error
	}{{part, s.slow}, {2 * part, s.deploy}, {3 * part, s.killed}, {4 * part, s.cut}}
	began := time.Now()
	tick := time.NewTicker(max(s.o.For/10, 500*time.Millisecond))
	defer tick.Stop()
	for {
		var due <-chan time.Time
		if len(events) > 0 {
			due = time.After(time.Until(began.Add(events[0].at)))
		}
		select {
		case err := <-done:
			s.figures(load.Stats())
			return err
		case <-due:
			if err := events[0].what(); err != nil {
				return err
			}
			events = events[1:]
		case <-tick.C:
			s.figures(load.Stats())
		}
	}
}

func (s *stage) figures(l loopback.LoadStats) {
	p := func(q float64) time.Duration {
		if l.Took == nil || l.Took.TotalCount() == 0 {
			return 0
		}
		return (time.Duration(l.Took.ValueAtQuantile(q)) * time.Microsecond).Round(time.Millisecond)
	}
	s.say("%5d calls: %d stood (half within %v, 99 of 100 within %v), %d refused, %d failed, %d given up, %d cut", l.Sent, l.Stood, p(50), p(99), l.Refused, l.Failed+l.Lost, l.GaveUp, l.Cut)
}

func (s *stage) slow() error {
	s.say("-> the processor of x0 runs three times slower for a while")
	x := s.exchanges[0]
	x.Do(func(m *exchange.Exchange, _ exchange.Time) { m.Slow(3) })
	time.AfterFunc(s.o.For/5, func() { x.Do(func(m *exchange.Exchange, _ exchange.Time) { m.Slow(1) }) })
	return nil
}

func (s *stage) deploy() error {
	last := s.o.Exchanges - 1
	s.say("-> %s drains, x%d.1 starts cold in its place", s.lines[last].ID, last)
	s.lines[last].Drains = true
	old := s.exchanges[last]
	if _, err := s.exchange(fmt.Sprintf("x%d.1", last), last, true); err != nil {
		return err
	}
	s.names.Set(s.lines...)
	gone := append(append([]loopback.Line(nil), s.lines[:last]...), s.lines[last+1:]...)
	time.AfterFunc(s.o.For/5, func() {
		old.Close()
		s.names.Set(gone...)
	})
	return nil
}

// killed kills a controller; the agent starts it again.
func (s *stage) killed() error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	c, err := adminapi.Send(ctx, s.o.Agent, adminapi.AuditCommand("instance/n0"))
	if err != nil {
		return fmt.Errorf("demo: asking the agent: %w", err)
	}
	var pid int
	if _, err := fmt.Sscan(h248.Value(c.Descriptors, "oa/instance", "pid"), &pid); err != nil || pid <= 1 {
		return fmt.Errorf("demo: the agent tells no process of n0")
	}
	s.say("-> n0 is killed (process %d); the agent starts it again", pid)
	if err := syscall.Kill(pid, syscall.SIGKILL); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	return nil
}

func (s *stage) cut() error {
	s.say("-> four in ten of the calls that stand are cut")
	for _, x := range s.exchanges {
		x.Do(func(m *exchange.Exchange, now exchange.Time) { m.Cutting(now, m.Standing()*2/5) })
	}
	return nil
}

// report makes the report of what was recorded, once the controllers have ended.
func (s *stage) report() error {
	if err := s.end(); err != nil {
		return err
	}
	if s.o.Report == "" {
		return nil
	}
	dirs, err := filepath.Glob(filepath.Join(s.dir, "records", "*"))
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	c := exec.Command(filepath.Join(s.o.Bin, "olivectl"), append([]string{"report", "-o", s.o.Report}, dirs...)...)
	if out, err := c.CombinedOutput(); err != nil {
		return fmt.Errorf("demo: the report: %w: %s", err, strings.TrimSpace(string(out)))
	}
	s.say("the report is %s; open it in a browser", s.o.Report)
	return nil
}

// end stops the agent, and with it the controllers, in good order; it kills what does not stop.
func (s *stage) end() error {
	if s.agent == nil || s.agent.Process == nil {
		return nil
	}
	_ = s.agent.Process.Signal(syscall.SIGTERM)
	agent := s.agent
	s.agent = nil
	select {
	case <-s.ended:
	case <-time.After(15 * time.Second):
		_ = syscall.Kill(-agent.Process.Pid, syscall.SIGKILL) // its group: the controllers as well
		<-s.ended
		return errors.New("demo: the agent did not stop in 15 s and was killed")
	}
	s.say("agent and call controllers have stopped")
	return nil
}

// stop ends all that runs.
func (s *stage) stop() error {
	err := s.end()
	for _, x := range s.exchanges {
		x.Close()
	}
	if s.names != nil {
		s.names.Close()
	}
	if s.etcd != nil {
		s.etcd.Stop()
	}
	if s.log != nil {
		err = errors.Join(err, s.log.Close())
	}
	return err
}
