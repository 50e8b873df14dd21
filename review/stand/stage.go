package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// A stage holds what all cases need: the folder of the controller, the record and the processes.
type stage struct {
	root, dir string
	trouble   bool
	began     time.Time

	mu        sync.Mutex
	record    *bufio.Writer
	file      *os.File
	processes []*process
}

// errNotRun is the panic value of a case that could not run.
type errNotRun struct{ error }

func newStage(root, dir, record string, trouble bool) (*stage, error) {
	root, err := filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	// The programs are started in a folder of their own, because the operator's file is read from there.
	if err := os.Symlink(filepath.Join(root, "bin"), filepath.Join(dir, "bin")); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(filepath.Join(dir, "deploy"), 0o700); err != nil {
		return nil, err
	}
	return &stage{root: root, dir: dir, trouble: trouble, began: time.Now(), record: bufio.NewWriter(f), file: f}, nil
}

// run plays a case, ends all processes and returns the exit code.
func (s *stage) run(play func(*stage) int) (code int) {
	defer func() {
		if e := recover(); e != nil {
			n, ok := e.(errNotRun)
			if !ok {
				s.logf("judge", "the case stopped: %v", e)
			} else {
				s.logf("judge", "the case could not run: %v", n.error)
			}
			code = notRun
		}
		s.endProcesses()
		verdict := map[int]string{ruleHeld: "the rule held", ruleBroken: "the rule was BROKEN", notRun: "not run"}
		s.logf("judge", "%s (exit %d)", verdict[code], code)
		s.mu.Lock()
		_ = s.record.Flush()
		_ = s.file.Close()
		s.mu.Unlock()
		fmt.Println(verdict[code])
	}()
	s.logf("judge", "disruption: %v", s.trouble)
	return play(s)
}

// logf writes a line to the record, with the time since the start of the case.
func (s *stage) logf(who, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f %-10s %s\n", time.Since(s.began).Seconds(), who, fmt.Sprintf(format, args...))
}

func check(err error) {
	if err != nil {
		panic(errNotRun{err})
	}
}

// runCommand returns the command `run` of the deploy file.
func (s *stage) runCommand() string {
	text, err := os.ReadFile(filepath.Join(s.root, "deploy", "balancer.toml"))
	check(err)
	found := regexp.MustCompile(`(?m)^run\s*=\s*"([^"]+)"`).FindSubmatch(text)
	if found == nil {
		check(errors.New("the deploy file has no key run"))
	}
	return string(found[1])
}

// A process is a call controller.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
	log   *os.File
}

// startController starts a call controller as the platform does.
func (s *stage) startController(c *controllerConfig) *process {
	path := filepath.Join(s.dir, "config.json")
	c.write(path)
	log, err := os.OpenFile(filepath.Join(s.dir, "controller.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	tmp, err := os.MkdirTemp(s.dir, "tmp")
	check(err)
	cmd := exec.Command("/bin/sh", "-c", s.runCommand())
	cmd.Dir = s.dir
	cmd.Env = append(os.Environ(), "RELAY_NAME="+c.Name, "RELAY_LISTEN="+c.Listen, "RELAY_CONFIG="+path, "TMPDIR="+tmp)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(cmd.Start())
	p := &process{cmd: cmd, ended: make(chan struct{}), log: log}
	go func() {
		_ = cmd.Wait()
		close(p.ended)
	}()
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	s.logf("platform", "started the call controller %s, listening on %s", c.Name, c.Listen)
	s.awaitReady(c.Listen, p)
	return p
}

// awaitReady waits until the controller passes a test (30 s at most).
func (s *stage) awaitReady(address string, p *process) {
	deadline := time.Now().Add(30 * time.Second)
	for time.Now().Before(deadline) {
		select {
		case <-p.ended:
			check(errors.New("the call controller ended at its start"))
		default:
		}
		if testPasses(address) {
			s.logf("platform", "the call controller has passed its test")
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	check(errors.New("the call controller was not ready within 30 s"))
}

func testPasses(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = conn.Write([]byte(`{"verb":"ECHO","tag":"1","opts":{},"rc":0}` + "\n"))
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && strings.Contains(line, `"ECHOED"`) && strings.Contains(line, `"rc":1`)
}

// kill ends a controller outright and waits until it has ended.
func (s *stage) kill(p *process) {
	check(p.cmd.Process.Signal(syscall.SIGKILL))
	<-p.ended
	s.logf("platform", "killed the call controller outright")
}

// giveUp ends a case that takes too long.
func (s *stage) giveUp() {
	s.logf("judge", "not run: no end after %v", maxDuration)
	s.mu.Lock()
	_ = s.record.Flush()
	for _, p := range s.processes {
		_ = p.cmd.Process.Kill()
	}
	os.Exit(notRun)
}

func (s *stage) endProcesses() {
	for _, p := range s.processes {
		select {
		case <-p.ended:
		default:
			_ = p.cmd.Process.Kill()
			<-p.ended
		}
		_ = p.log.Close()
	}
}

// freeAddress returns a loopback address with a free TCP port.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	defer l.Close()
	return l.Addr().String()
}

// A controllerConfig is the platform's file of a call controller.
type controllerConfig struct {
	Name, Listen, Names string
	MaxAttempts         int
	Members             []endpoint // the exchanges at the start
}

// An endpoint is an exchange as the name service lists it.
type endpoint struct {
	ID, Address, Zone string
	Pool              int
	Draining          bool
}

func (c *controllerConfig) write(path string) {
	class := func(name string, aim, credit float64) any {
		return map[string]any{"name": name, "aim": aim, "deadline": 9000.0, "credit": credit, "lateWorth": 0.25,
			"effect": "pure", "group": "all", "dedupWindow": 5000.0, "stream": true}
	}
	classes := []any{
		class("resident-call", 1500, 1),
		class("concierge-call", 1200, 3),
		class("delivery-call", 2000, 1),
	}
	members := []map[string]any{}
	for _, e := range c.Members {
		members = append(members, map[string]any{"id": e.ID, "host_port": e.Address, "locality": e.Zone,
			"flavor": "basic-1c", "cell": e.Pool, "phase": "Ready", "size": 1, "up_since_ms": 0})
	}
	file := map[string]any{
		"name": c.Name, "listen": c.Listen, "seed": fmt.Sprintf("%016x", rand.Uint64()), // new with each start
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"names":  c.Names,
		"known": map[string]any{"n": 1, "events": []any{map[string]any{"n": 1,
			"members": map[string]any{"revision": 1, "complete": true, "members": members}}}},
		"settings": map[string]any{
			"callers":   map[string]any{"marksRetry": false},
			"classes":   classes,
			"discovery": "push", "family": "trunks", "groupSize": 1, "myNumber": 0, "myZone": "santiago",
			"domain": map[string]any{"advice": false, "callLength": []float64{8500, 12800, 6000},
				"circuitsByClass": []int{1, 1, 1}, "peerLoad": "none", "releaseGuard": 300.0, "resend": 500.0,
				"retryHint": false, "skilledPools": [][]int{{0, 1}, {0, 1}, {0, 1}}, "thisNode": -1,
				"topology": "pools"},
			"limits": map[string]any{"cancel": true, "connIdle": 600000.0, "connectTimeout": 500.0,
				"maxAttempts": c.MaxAttempts, "maxOpen": 20000, "maxRetryAfter": 2000.0, "mayDuplicate": false,
				"peerMessages": true, "probes": false, "retryAfter": true, "streamsPerConn": 1048576},
			"safety": map[string]any{"askWithin": 10000.0, "cold": 15000.0, "drainGrace": 2000.0, "fall": 1000.0,
				"fallMultiple": 3.0, "graceToAnswer": 20.0, "startCapacity": 0.31},
			"zones": []string{"santiago", "concepcion", "temuco"},
		},
	}
	text, err := json.Marshal(file)
	check(err)
	// The file is replaced as a whole, so that it is never read half written.
	check(os.WriteFile(path+".new", text, 0o600))
	check(os.Rename(path+".new", path))
}

// operatorFile writes the operator's file deploy/olivedale.toml of the controller.
func (s *stage) operatorFile(text string) {
	check(os.WriteFile(filepath.Join(s.dir, "deploy", "olivedale.toml"), []byte(text), 0o600))
	s.logf("operator", "deploy/olivedale.toml: %s", strings.ReplaceAll(strings.TrimSpace(text), "\n", "; "))
}
