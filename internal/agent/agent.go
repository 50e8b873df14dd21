package agent

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"
	"go.uber.org/zap"

	"olivedale/internal/codec/h248"
	"olivedale/internal/config"
)

// Times of supervision.
const (
	restartFirst = 200 * time.Millisecond // before a process that ended is started again, doubling
	restartLast  = 10 * time.Second
	stable       = 10 * time.Second // one that ran so long is started again without delay
	drainLimit   = 15 * time.Second // a process that drains is killed then
)

// A Spec is a wanted instance, as JSON under its name in etcd.
type Spec struct {
	Config json.RawMessage `json:"config"` // what RELAY_CONFIG is to name
	H248   *config.H248    `json:"h248"`   // switches its H.248 front on
	Log    config.Log      `json:"log"`
	// Records switches its records on; without a folder they are kept beside its other files.
	Records *config.Records         `json:"records"`
	Numbers *config.Numbering       `json:"numbers"` // switches routing by number on
	Share   *config.OverloadControl `json:"share"`   // has it share what it knows with others
	// Reach is where its admin door is reached, if not at h248.admin: behind a forwarder.
	Reach string `json:"reach"`
}

// admin is where its admin door is reached, "": it has none.
func (s *Spec) admin() string {
	if s.H248 == nil || s.H248.Admin == "" {
		return ""
	}
	return cmp.Or(s.Reach, s.H248.Admin)
}

// States of an instance.
const (
	Starting = "starting"
	Running  = "running"
	Waiting  = "waiting" // it ended and is to be started again
	Draining = "draining"
	Drained  = "drained"
	Faulty   = "faulty" // its specification can't be used
)

// An Agent supervises instances.
type Agent struct {
	program string
	dir     string
	log     *zap.SugaredLogger
	peer    string // under this name instances record exchanges of time stamps
	mu      sync.Mutex
	all     map[string]*instance
	wg      sync.WaitGroup
	closed  bool
}

// An instance is one wanted process, or one that drains. Its goroutine owns the process.
type instance struct {
	name  string
	value []byte
	spec  Spec
	stop  chan struct{} // closed: drain and end
	done  chan struct{} // closed: it has ended
	once  sync.Once

	mu     sync.Mutex
	state  string
	pid    int
	starts int
}

// New makes an agent that runs program, an absolute path, for every instance and keeps their files in dir.
func New(program, dir string, log *zap.Logger) *Agent {
	return &Agent{program: program, dir: dir, log: log.Sugar(), peer: peerName(), all: make(map[string]*instance)}
}

// names that may become a folder: the danger is a key such as "../x".
var usable = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$`)

// Replace implements Wanted.
func (a *Agent) Replace(all map[string][]byte) {
	a.mu.Lock()
	var gone []string
	for name := range a.all {
		if _, ok := all[name]; !ok {
			gone = append(gone, name)
		}
	}
	a.mu.Unlock()
	for _, name := range gone {
		a.Change(name, nil)
	}
	for name, value := range all {
		a.Change(name, value)
	}
}

// Change implements Wanted. A changed specification drains the old process before
// the new one starts: both would listen on the same address.
func (a *Agent) Change(name string, value []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	old := a.all[name]
	if old != nil && value != nil && bytes.Equal(old.value, value) {
		return
	}
	if old != nil {
		a.drain(old, "no longer wanted")
		delete(a.all, name)
	}
	if value == nil {
		return
	}
	i := &instance{name: name, value: value, stop: make(chan struct{}), done: make(chan struct{}), state: Starting}
	a.all[name] = i
	if err := i.read(); err != nil {
		a.log.Warnw("bad_spec", "name", name, "err", err)
		i.state = Faulty
		close(i.done)
		return
	}
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		defer close(i.done)
		if old != nil {
			<-old.done
		}
		a.supervise(i)
	}()
}

func (i *instance) read() error {
	if !usable.MatchString(i.name) {
		return errors.New("the name can't be used")
	}
	if err := json.Unmarshal(i.value, &i.spec); err != nil {
		return err
	}
	if _, err := config.Parse(i.spec.Config); err != nil {
		return err
	}
	if r := i.spec.Records; r != nil && r.Dir == "" {
		r.Dir = "records"
	}
	if reach := i.spec.Reach; reach != "" {
		if _, err := netip.ParseAddrPort(reach); err != nil {
			return fmt.Errorf("reach: %w", err)
		}
	}
	return i.spec.operator().Validate()
}

// operator is the operator's file of an instance.
func (s *Spec) operator() *config.Operator {
	return &config.Operator{Log: s.Log, H248: s.H248, Records: s.Records, Numbering: s.Numbers, Overload: s.Share}
}

func (a *Agent) drain(i *instance, why string) {
	i.once.Do(func() {
		a.log.Infow("drain", "name", i.name, "why", why)
		close(i.stop)
	})
}

func (i *instance) set(state string, pid int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.state, i.pid = state, pid
	if state == Running {
		i.starts++
	}
}

// Close drains all instances and waits for their ends.
func (a *Agent) Close() {
	a.mu.Lock()
	a.closed = true
	for _, i := range a.all {
		if i.state != Faulty {
			a.drain(i, "the agent stops")
		}
	}
	a.mu.Unlock()
	a.wg.Wait()
}

// supervise runs an instance's process again and again until it is to drain.
func (a *Agent) supervise(i *instance) {
	pause := restartFirst
	for {
		began := time.Now()
		err := a.run(i)
		select {
		case <-i.stop:
			i.set(Drained, 0)
			return
		default:
		}
		if time.Since(began) > stable {
			pause = restartFirst
		}
		a.log.Infow("ended", "name", i.name, "err", fmt.Sprint(err), "again_in", pause)
		i.set(Waiting, 0)
		select {
		case <-i.stop:
			i.set(Drained, 0)
			return
		case <-time.After(pause):
		}
		pause = min(2*pause, restartLast)
	}
}

// run starts the process and waits for its end; when it is to drain it gets SIGTERM.
func (a *Agent) run(i *instance) error {
	select {
	case <-i.stop:
		return nil
	default:
	}
	dir, err := filepath.Abs(filepath.Join(a.dir, i.name))
	if err != nil {
		return err
	}
	path, err := write(dir, &i.spec)
	if err != nil {
		return fmt.Errorf("writing its files: %w", err)
	}
	cmd := exec.Command(a.program)
	cmd.Dir = dir
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path)
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	if err := cmd.Start(); err != nil {
		return err
	}
	i.set(Running, cmd.Process.Pid)
	watch, end := context.WithCancel(context.Background())
	defer end()
	if i.spec.admin() != "" && i.spec.Records != nil {
		go a.clock(watch, i)
	}
	a.log.Infow("running", "name", i.name, "pid", cmd.Process.Pid)
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	select {
	case err := <-ended:
		return err
	case <-i.stop:
	}
	i.set(Draining, cmd.Process.Pid)
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		a.log.Warnw("signal_failed", "name", i.name, "err", err)
	}
	select {
	case err := <-ended:
		return err
	case <-time.After(drainLimit):
		_ = cmd.Process.Kill()
		return <-ended
	}
}

// write lays out the files of an instance: its configuration and the operator's file.
func write(dir string, spec *Spec) (path string, err error) {
	if err := os.MkdirAll(filepath.Join(dir, "deploy"), 0o700); err != nil {
		return "", err
	}
	path = filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, spec.Config, 0o600); err != nil {
		return "", err
	}
	// An earlier agent wrote the front's settings to a file of their own.
	if err := os.Remove(filepath.Join(dir, config.H248Path)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return "", err
	}
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(spec.operator()); err != nil {
		return "", err
	}
	return path, os.WriteFile(filepath.Join(dir, config.OperatorPath), text.Bytes(), 0o600)
}

// Handle answers olivectl: AuditValue of ROOT lists the instances, AuditValue of
// instance/NAME tells of one, ServiceChange drains it.
func (a *Agent) Handle(c *h248.Command) ([]*h248.Node, *h248.Error) {
	name, one := strings.CutPrefix(c.Termination, "instance/")
	a.mu.Lock()
	defer a.mu.Unlock()
	i := a.all[name]
	switch {
	case one && i == nil:
		return nil, &h248.Error{Code: h248.UnknownTermination, Text: c.Termination}
	case !one && !strings.EqualFold(c.Termination, "ROOT"):
		return nil, &h248.Error{Code: h248.UnknownTermination, Text: c.Termination}
	case c.Name == "AuditValue" && one:
		return []*h248.Node{i.node()}, nil
	case c.Name == "AuditValue":
		stats := &h248.Node{Name: "Statistics"}
		names := make([]string, 0, len(a.all))
		for name := range a.all {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			stats.Kids = append(stats.Kids, a.all[name].node())
		}
		return []*h248.Node{stats}, nil
	case c.Name == "ServiceChange" && one && strings.EqualFold(h248.Value(c.Descriptors, "Services", "Method"), "Graceful"):
		if i.state != Faulty {
			a.drain(i, "asked for")
		}
		return nil, nil
	}
	return nil, &h248.Error{Code: h248.NotImplemented, Text: c.Name}
}

// node tells of an instance.
func (i *instance) node() *h248.Node {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := &h248.Node{Name: "oa/instance", Kids: []*h248.Node{{Name: "name", Value: i.name, Quoted: true}, {Name: "state", Value: i.state},
		{Name: "pid", Value: strconv.Itoa(i.pid)}, {Name: "starts", Value: strconv.Itoa(i.starts)}}}
	if admin := i.spec.admin(); admin != "" {
		n.Kids = append(n.Kids, &h248.Node{Name: "admin", Value: admin, Quoted: true})
	}
	return n
}
