package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// build compiles the program and returns its path.
func build(t *testing.T) string {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "olivedale")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return bin
}

// A process is the built program with a configuration of its own.
type process struct {
	*exec.Cmd
	configPath string
	listen     string
	log        bytes.Buffer
}

// start builds and runs the program, configured with the address of a DNS service.
func start(t *testing.T, discoveryAddress string) *process {
	t.Helper()
	p := prepare(t, discoveryAddress)
	p.run(t)
	return p
}

// prepare builds the program and writes its configuration.
func prepare(t *testing.T, discoveryAddress string) *process {
	t.Helper()
	p := &process{
		Cmd:        exec.Command(build(t)),
		configPath: filepath.Join(t.TempDir(), "config.json"),
		listen:     freeAddress(),
	}
	p.configure(t, discoveryAddress)
	p.Dir = t.TempDir()
	p.Env = []string{"RELAY_CONFIG=" + p.configPath}
	p.Stderr = &p.log
	return p
}

// run starts the prepared program and kills it when the test ends.
func (p *process) run(t *testing.T) {
	t.Helper()
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.Process.Kill() })
}

// configure writes the configuration file with the address of a DNS service.
func (p *process) configure(t *testing.T, discoveryAddress string) {
	t.Helper()
	const format = `{"name":"n0","listen":%q,"seed":"1f","names":%q,"limits":{"memory_mb":192,"sockets":1024},
		"known":{"n":0,"events":[]},"settings":{"groupSize":1,"classes":[{"name":"voice","aim":1000,"deadline":3000,"credit":1}],
		"domain":{"topology":"pools","releaseGuard":300},"limits":{"maxAttempts":2,"connectTimeout":500}}}`
	text := fmt.Sprintf(format, p.listen, discoveryAddress)
	if err := os.WriteFile(p.configPath, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// signal sends signals in order.
func (p *process) signal(t *testing.T, signals ...os.Signal) {
	t.Helper()
	for _, s := range signals {
		if err := p.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
}

// connect dials until the program listens, and returns the connection after a successful echo request.
func (p *process) connect(t *testing.T) net.Conn {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	conn, err := net.Dial("tcp", p.listen)
	for err != nil {
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
		conn, err = net.Dial("tcp", p.listen)
	}
	t.Cleanup(func() { _ = conn.Close() })
	p.echo(t, conn)
	return conn
}

// echo sends an echo request and checks the response.
func (p *process) echo(t *testing.T, conn net.Conn) {
	t.Helper()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = conn.Write([]byte(`{"verb":"ECHO","tag":"1","opts":{},"rc":0}` + "\n"))
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil || !strings.Contains(line, `"ECHOED"`) || !strings.Contains(line, `"rc":1`) {
		t.Fatalf("the response to an echo request is %q, %v", line, err)
	}
}

// The program answers an echo request, logs its counters on request, and exits with 0 after SIGTERM.
func TestStartAndStop(t *testing.T) {
	p := start(t, "127.0.0.1:9")
	p.connect(t)
	p.signal(t, syscall.SIGUSR1, syscall.SIGTERM)
	if err := p.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
	if n := strings.Count(p.log.String(), "event=counters requests=0"); n != 2 {
		t.Errorf("counters were logged %d times, want 2 (on SIGUSR1 and at exit):\n%s", n, p.log.String())
	}
}

// awaitQuery waits until the DNS service receives a query.
func awaitQuery(t *testing.T, service net.PacketConn) {
	t.Helper()
	_ = service.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, _, err := service.ReadFrom(make([]byte, 512)); err != nil {
		t.Fatal(err)
	}
}

// openTwoServices opens UDP sockets for two DNS services.
func openTwoServices(t *testing.T) [2]net.PacketConn {
	t.Helper()
	var services [2]net.PacketConn
	for i := range services {
		var err error
		if services[i], err = net.ListenPacket("udp", "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = services[i].Close() })
	}
	return services
}

// startReload replaces the configuration file with a named pipe and sends SIGHUP. It returns when the program has
// opened the pipe for reading.
func (p *process) startReload(t *testing.T) *os.File {
	t.Helper()
	if err := os.Remove(p.configPath); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(p.configPath, 0o600); err != nil {
		t.Fatal(err)
	}
	p.signal(t, syscall.SIGHUP)
	pipe, err := os.OpenFile(p.configPath, os.O_WRONLY, 0) // blocks until the program opens the pipe
	if err != nil {
		t.Fatal(err)
	}
	return pipe
}

// After SIGHUP the program queries the new DNS service and keeps its connections. An invalid file is ignored.
func TestReload(t *testing.T) {
	services := openTwoServices(t)
	p := start(t, services[0].LocalAddr().String())
	conn := p.connect(t)
	awaitQuery(t, services[0])
	_ = services[0].Close()
	p.configure(t, services[1].LocalAddr().String())
	p.signal(t, syscall.SIGHUP)
	awaitQuery(t, services[1])
	if err := os.WriteFile(p.configPath, []byte(`{"listen":`), 0o600); err != nil {
		t.Fatal(err)
	}
	p.signal(t, syscall.SIGHUP)
	p.echo(t, conn)
	awaitQuery(t, services[1])
	p.signal(t, syscall.SIGTERM)
	if err := p.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
	for _, want := range []string{"event=reloaded names=" + services[1].LocalAddr().String(), "event=reload_failed"} {
		if strings.Count(p.log.String(), want) != 1 {
			t.Errorf("want one %q in:\n%s", want, p.log.String())
		}
	}
}

// Guards against a broken file that is taken in part: after SIGHUP the discovery address was taken from a file that the
// start refuses. The program goes on with the old address, and takes a valid file after it.
func TestReloadOfABrokenFileTakesNothing(t *testing.T) {
	services := openTwoServices(t)
	p := start(t, services[0].LocalAddr().String())
	conn := p.connect(t)
	awaitQuery(t, services[0])
	p.configure(t, services[1].LocalAddr().String())
	valid, err := os.ReadFile(p.configPath)
	if err != nil {
		t.Fatal(err)
	}
	for _, change := range [][2]string{
		{`"maxAttempts":2`, `"maxAttempts":0`},
		{`"deadline":3000`, `"deadline":-3000`},
		{`"releaseGuard":300`, `"other":300`},
	} {
		broken := strings.Replace(string(valid), change[0], change[1], 1)
		if err := os.WriteFile(p.configPath, []byte(broken), 0o600); err != nil {
			t.Fatal(err)
		}
		p.signal(t, syscall.SIGHUP)
		time.Sleep(reloadRetryInterval)
	}
	_ = services[1].SetReadDeadline(time.Now().Add(reloadRetryInterval))
	if _, _, err := services[1].ReadFrom(make([]byte, 512)); err == nil {
		t.Error("the discovery address was taken from a broken file")
	}
	awaitQuery(t, services[0])
	p.echo(t, conn)
	if err := os.WriteFile(p.configPath, valid, 0o600); err != nil {
		t.Fatal(err)
	}
	p.signal(t, syscall.SIGHUP)
	awaitQuery(t, services[1])
}

// After SIGHUP the program retries an incomplete configuration file until it is valid.
func TestReloadOfAFileBeingWritten(t *testing.T) {
	services := openTwoServices(t)
	p := start(t, services[0].LocalAddr().String())
	p.connect(t)
	awaitQuery(t, services[0])
	pipe := p.startReload(t)
	if err := os.Remove(p.configPath); err != nil { // before the program reads it again
		t.Fatal(err)
	}
	_, _ = pipe.WriteString(`{"listen":`)
	_ = pipe.Close()
	p.configure(t, services[1].LocalAddr().String())
	awaitQuery(t, services[1])
}

// SIGTERM shuts the program down even while a reload is blocked on reading the file.
func TestStopDoesNotWaitForAReload(t *testing.T) {
	p := start(t, "127.0.0.1:9")
	p.connect(t)
	pipe := p.startReload(t)
	defer func() { _ = pipe.Close() }()
	p.signal(t, syscall.SIGTERM)
	exited := make(chan error, 1)
	go func() { exited <- p.Wait() }()
	select {
	case err := <-exited:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(8 * time.Second):
		t.Error("the program did not exit")
	}
}

// With a missing configuration file the program exits with an error that names the file, and without a stack trace.
func TestInvalidConfigurationStopsTheStart(t *testing.T) {
	cmd := exec.Command(build(t))
	cmd.Env = []string{"RELAY_CONFIG=/does/not/exist.json"}
	out, err := cmd.CombinedOutput()
	namesFile := strings.Contains(string(out), "does/not/exist.json")
	hasStackTrace := strings.Contains(string(out), "goroutine")
	if err == nil || !namesFile || hasStackTrace {
		t.Errorf("error %v, output %q", err, out)
	}
}

// The controller does not depend on the etcd client; only the agent does.
func TestNoEtcdInside(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	if strings.Contains(string(out), "etcd") || strings.Contains(string(out), "grpc") {
		t.Error("olivedale depends on etcd or gRPC packages")
	}
}
