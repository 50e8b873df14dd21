//go:build review2

package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// maxDuration is the longest that a case may run.
const maxDuration = 118 * time.Second

// A stage holds what all cases need: a temporary folder, the record, and the processes that were started.
type stage struct {
	root    string // of the project
	dir     string // temporary; the working directory of the controllers is below it
	trouble bool   // false: the case is played without its disruption
	start   time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*process
	isClosed  bool
}

// A process is a program that the stage started, with all that it started itself.
type process struct {
	name    string
	cmd     *exec.Cmd
	logPath string
	ended   chan struct{}
}

func newStage(root, recordPath string) (*stage, error) {
	root, err := filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &stage{
		root:    root,
		dir:     dir,
		trouble: os.Getenv("TROUBLE") != "0",
		start:   time.Now(),
		record:  record,
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stopped:
			s.say("stopped by a signal")
		case <-time.After(maxDuration):
			s.say("the case did not end in time")
		}
		s.close()
		os.Exit(notRun)
	}()
	s.say("trouble: %v", s.trouble)
	return s, nil
}

// close ends all processes and removes the temporary folder.
func (s *stage) close() {
	s.mu.Lock()
	if s.isClosed {
		s.mu.Unlock()
		return
	}
	s.isClosed = true
	processes := s.processes
	s.mu.Unlock()
	for _, p := range processes {
		_ = syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL) // the group of the process that was started here
	}
	for _, p := range processes {
		<-p.ended
	}
	time.Sleep(100 * time.Millisecond)
	_ = os.RemoveAll(s.dir)
}

// say writes a line to the record and to standard output.
func (s *stage) say(format string, args ...any) {
	fmt.Println(s.note(format, args...))
}

// note writes a line to the record only.
func (s *stage) note(format string, args ...any) string {
	line := fmt.Sprintf("%9.3f %s", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintln(s.record, line)
	return line
}

// showLogs appends the last lines of all logs to the record.
func (s *stage) showLogs() {
	s.mu.Lock()
	processes := s.processes
	s.mu.Unlock()
	for _, p := range processes {
		text, _ := os.ReadFile(p.logPath)
		lines := strings.Split(strings.TrimSpace(string(text)), "\n")
		for _, line := range lines[max(0, len(lines)-30):] {
			s.note("log of %s, process %d: %s", p.name, p.cmd.Process.Pid, line)
		}
	}
}

// controllerDir returns the working directory of a controller. Its bin is that of the project; operatorFile, if not
// empty, becomes its deploy/olivedale.toml.
func (s *stage) controllerDir(name, operatorFile string) (string, error) {
	dir := filepath.Join(s.dir, name)
	if err := os.MkdirAll(filepath.Join(dir, "deploy"), 0o700); err != nil {
		return "", err
	}
	if err := os.Symlink(filepath.Join(s.root, "bin"), filepath.Join(dir, "bin")); err != nil {
		return "", err
	}
	if operatorFile == "" {
		return dir, nil
	}
	return dir, os.WriteFile(filepath.Join(dir, "deploy", "olivedale.toml"), []byte(operatorFile), 0o600)
}

// runCommand returns the value of the key run in the deploy file.
func (s *stage) runCommand() (string, error) {
	text, err := os.ReadFile(filepath.Join(s.root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(string(text), "\n") {
		key, value, _ := strings.Cut(line, "=")
		if strings.TrimSpace(key) == "run" {
			return strings.Trim(strings.TrimSpace(value), `"`), nil
		}
	}
	return "", errors.New("the deploy file has no key run")
}

// startController starts a controller by the command of the deploy file.
func (s *stage) startController(name, dir, configPath string) (*process, error) {
	command, err := s.runCommand()
	if err != nil {
		return nil, err
	}
	return s.startProcess(name, dir, []string{"RELAY_CONFIG=" + configPath, "RELAY_NAME=" + name}, "/bin/sh", "-c", command)
}

// startProcess starts a program in a process group of its own.
func (s *stage) startProcess(name, dir string, env []string, args ...string) (*process, error) {
	p := &process{
		name:    name,
		cmd:     exec.Command(args[0], args[1:]...),
		logPath: filepath.Join(s.dir, fmt.Sprintf("%s.%d.log", name, time.Now().UnixNano())),
		ended:   make(chan struct{}),
	}
	log, err := os.Create(p.logPath)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	p.cmd.Dir = dir
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	s.say("started %s: %s, process %d", name, strings.Join(args, " "), p.cmd.Process.Pid)
	return p, nil
}

// signal sends a signal to a process that the stage started.
func (s *stage) signal(p *process, sig syscall.Signal) error {
	s.say("signal %v to %s, process %d", sig, p.name, p.cmd.Process.Pid)
	return p.cmd.Process.Signal(sig)
}

// hasEnded reports whether a process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// freeAddress returns a free loopback address.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// waitUntil waits until a condition holds, and reports whether it did before the timeout.
func waitUntil(timeout time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
