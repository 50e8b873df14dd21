package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"olivedale/internal/config"
	"olivedale/internal/sim/invariant"
	"olivedale/internal/sim/loopback"
)

const (
	// startTimeout is how long a process may take until it serves.
	startTimeout = 10 * time.Second
	// maxShutdownDeadline bounds the call deadline by which the earliest time of SIGKILL after SIGTERM is computed.
	maxShutdownDeadline = 3 * time.Second
	// killDelay is the time from that deadline until SIGKILL.
	killDelay = 700 * time.Millisecond
	// lastSetupMargin is how long before SIGKILL callers stop sending set-ups.
	lastSetupMargin = 150 * time.Millisecond
	pollInterval    = 10 * time.Millisecond
	zoneName        = "east"
	maxLogTail      = 2000
)

// A controller is the process of a call controller, with its name service and its callers.
type controller struct {
	run     *runner
	name    string
	number  int
	listen  string
	dir     string
	callers *callers

	mu         sync.Mutex
	process    *exec.Cmd
	exited     chan struct{} // closed when the process has ended
	isReserved bool          // a fault that ends or reloads the process is under way
}

// reserve reserves the controller for a fault in its process. It reports false if another one is under way.
func (c *controller) reserve() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isReserved {
		return false
	}
	c.isReserved = true
	return true
}

// unreserve ends the reservation.
func (c *controller) unreserve() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isReserved = false
}

func (c *controller) configPath() string { return filepath.Join(c.dir, c.name+".json") }
func (c *controller) logPath() string    { return filepath.Join(c.dir, c.name+".log") }

// writeConfig writes the configuration with the current list of exchanges and the address of a new name service.
func (c *controller) writeConfig() error {
	address, err := c.run.directory.serve(c.name)
	if err != nil {
		return err
	}
	serial, endpoints := c.run.directory.known(c.name)
	d := &c.run.plan.Deployment
	text, err := json.Marshal(map[string]any{
		"name":     c.name,
		"listen":   c.listen,
		"seed":     strconv.FormatUint(c.run.plan.Seed+uint64(c.number), 16),
		"names":    address,
		"limits":   map[string]any{"memory_mb": d.MemoryMB, "sockets": d.Sockets},
		"known":    knownEndpoints(serial, endpoints),
		"settings": d.settings(c.number),
	})
	if err != nil {
		return err
	}
	return c.replaceConfig(text)
}

// replaceConfig replaces the configuration as a whole, so that it is never read half written.
func (c *controller) replaceConfig(text []byte) error {
	temporary := c.configPath() + ".new"
	if err := os.WriteFile(temporary, text, 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, c.configPath())
}

// withDiscovery returns a configuration with another address of discovery, as text and as values.
func withDiscovery(valid []byte, address string) (text []byte, values map[string]any, err error) {
	if err := json.Unmarshal(valid, &values); err != nil {
		return nil, nil, err
	}
	values["names"] = address
	text, err = json.Marshal(values)
	return text, values, err
}

// knownEndpoints returns the value of the configuration's key "known".
func knownEndpoints(serial uint32, endpoints []loopback.Endpoint) config.KnownEndpoints {
	list := config.EndpointList{Complete: true}
	for _, e := range endpoints {
		member := config.Endpoint{
			ID: e.ID, Address: e.Addr, Zone: e.Zone, Kind: "std", Pool: e.Pool, Phase: config.PhaseReady,
		}
		if e.Draining {
			member.Phase = config.PhaseTerminating
		}
		if !e.Started.IsZero() {
			member.Started = e.Started.UnixMilli()
		}
		list.Endpoints = append(list.Endpoints, member)
	}
	return config.KnownEndpoints{
		LastEvent: int(serial),
		Events:    []config.EndpointEvent{{N: int(serial), Endpoints: list}},
	}
}

// start starts the process and waits until it accepts connections.
func (c *controller) start() error {
	if err := c.writeConfig(); err != nil {
		return err
	}
	log, err := os.OpenFile(c.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	process := exec.Command(c.run.options.Program)
	process.Env = []string{"RELAY_CONFIG=" + c.configPath()}
	process.Stdout, process.Stderr = log, log
	process.Dir = c.dir
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	exited := make(chan struct{})
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	c.mu.Lock()
	c.process, c.exited = process, exited
	c.mu.Unlock()
	return c.awaitServing()
}

// awaitServing waits until the process accepts connections.
func (c *controller) awaitServing() error {
	start := time.Now()
	for {
		conn, err := net.DialTimeout("tcp", c.listen, startTimeout)
		if err == nil {
			return conn.Close()
		}
		if time.Since(start) > startTimeout {
			return fmt.Errorf("%s accepts no connection after %v: %w; log: %s", c.name, startTimeout, err, c.logTail())
		}
		time.Sleep(pollInterval)
	}
}

// signal sends signals to the process, in order.
func (c *controller) signal(signals ...os.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range signals {
		_ = c.process.Process.Signal(s)
	}
}

// hasExited reports whether the process has ended.
func (c *controller) hasExited() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.exited:
		return true
	default:
		return false
	}
}

// checkRunning reports a process that ended although no fault ended it.
func (c *controller) checkRunning() {
	if c.reserve() {
		defer c.unreserve()
		if c.hasExited() {
			c.run.monitor.reportViolation(RuleNoCrash, c.name, "", "%s ended unexpectedly: %s", c.name, c.logTail())
		}
	}
}

// logTail returns the last part of the process's log.
func (c *controller) logTail() string {
	text, _ := os.ReadFile(c.logPath())
	return string(text[max(len(text)-maxLogTail, 0):])
}

// shutdownTime is how long after SIGTERM the earliest SIGKILL follows.
func (c *controller) shutdownTime() time.Duration {
	return min(c.run.plan.Deployment.Deadline.D(), maxShutdownDeadline) + killDelay
}

// terminate sends other signals and then SIGTERM, and SIGKILL at the earliest time. Callers continue to use open
// connections meanwhile. It returns when the process has ended.
func (c *controller) terminate(before ...os.Signal) {
	start := time.Now()
	c.callers.beginShutdown(c.shutdownTime() - lastSetupMargin)
	c.signal(append(before, syscall.SIGTERM)...)
	select {
	case <-c.exited:
		if code := c.process.ProcessState.ExitCode(); code != 0 {
			c.run.monitor.reportViolation(RuleStops, c.name, "", "%s exited with code %d after SIGTERM: %s",
				c.name, code, c.logTail())
		}
	case <-time.After(c.shutdownTime()):
		c.signal(syscall.SIGKILL)
		<-c.exited
	}
	c.run.logf("%s ended %v after SIGTERM", c.name, time.Since(start).Round(time.Millisecond))
	c.callers.awaitConnectionsLost()
	c.callers.disconnect()
	c.run.monitor.record(invariant.Event{Kind: invariant.ControllerEnded, Controller: c.name})
}

// kill sends SIGKILL and waits until the process has ended.
func (c *controller) kill() {
	c.callers.disconnect()
	c.signal(syscall.SIGKILL)
	<-c.exited
	c.callers.disconnect()
	c.run.monitor.record(invariant.Event{Kind: invariant.ControllerEnded, Controller: c.name})
}

// restart starts the process again, and lets its callers continue.
func (c *controller) restart() {
	if err := c.start(); err != nil {
		c.run.monitor.reportViolation(RuleStarts, c.name, "", "%v", err)
		return
	}
	c.callers.resume()
}

// reload moves discovery to a new address several times, each with a new configuration and SIGHUP.
func (c *controller) reload(count int, interval time.Duration) {
	for range count {
		if err := c.writeReloadConfig(); err != nil {
			c.run.logf("%s: %v", c.name, err)
			return
		}
		c.signal(syscall.SIGHUP)
		time.Sleep(interval)
	}
}

// writeReloadConfig writes a configuration that differs in the address of discovery only.
func (c *controller) writeReloadConfig() error {
	text, err := os.ReadFile(c.configPath())
	if err != nil {
		return err
	}
	address, err := c.run.directory.serve(c.name)
	if err != nil {
		return err
	}
	if text, _, err = withDiscovery(text, address); err != nil {
		return err
	}
	return os.WriteFile(c.configPath(), text, 0o600)
}

// checkLimits compares the memory and the descriptors of the process with the configured limits.
func (c *controller) checkLimits() {
	c.mu.Lock()
	pid := c.process.Process.Pid
	c.mu.Unlock()
	d := &c.run.plan.Deployment
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return // the process has ended, which checkRunning reports
	}
	for line := range strings.Lines(string(status)) {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != "VmHWM:" {
			continue
		}
		if peak, err := strconv.Atoi(fields[1]); err == nil && peak > d.MemoryMB<<10 {
			c.run.monitor.reportViolation(RuleWithinLimits, c.name, "", "%s used %d kB of memory, the limit is %d MB",
				c.name, peak, d.MemoryMB)
		}
	}
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err == nil && len(descriptors) > d.Sockets {
		c.run.monitor.reportViolation(RuleWithinLimits, c.name, "", "%s has %d open descriptors, the limit is %d",
			c.name, len(descriptors), d.Sockets)
	}
}
