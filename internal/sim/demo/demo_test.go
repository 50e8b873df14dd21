package demo

import (
	"bytes"
	"context"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"olivedale/internal/sim/cluster"
)

// TestDemo checks that the demonstration runs to its end, prints its progress, writes its report and leaves no process
// running, also when its context ends early.
func TestDemo(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", dir+"/", "olivedale/cmd/olivedale", "olivedale/cmd/oliveagent", "olivedale/cmd/olivectl").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	if err := Run(context.Background(), Options{Bin: t.TempDir()}); err == nil || !strings.Contains(err.Error(), "make build") {
		t.Errorf("without the programs: error %v, want one that mentions make build", err)
	}
	run := func(ctx context.Context, length time.Duration) (string, string) {
		t.Helper()
		agent, err := (&cluster.Ports{Host: "127.0.0.1"}).Allocate()
		if err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		report := filepath.Join(dir, "report.html")
		if err := Run(ctx, Options{Bin: dir, Dir: filepath.Join(t.TempDir(), "files"), Report: report, Agent: agent, Controllers: 2, Exchanges: 2, Rate: 30, Duration: length, Seed: 1, Out: &out}); err != nil {
			t.Fatalf("%v\n%s", err, out.String())
		}
		if c, err := net.DialTimeout("tcp", agent, 200*time.Millisecond); err == nil {
			_ = c.Close()
			t.Error("the agent is still listening")
		}
		return out.String(), report
	}
	output, report := run(context.Background(), 5*time.Second)
	for _, want := range []string{"three times slower", "drains", "is killed", "are dropped", "have stopped", "the report is"} {
		if !strings.Contains(output, want) {
			t.Errorf("the output lacks %q:\n%s", want, output)
		}
	}
	if page, err := os.ReadFile(report); err != nil || !bytes.Contains(page, []byte("</html>")) {
		t.Errorf("the report is missing or incomplete: %v", err)
	}
	ctx, stop := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer stop()
	if output, _ := run(ctx, time.Minute); !strings.Contains(output, "have stopped") {
		t.Errorf("the output of a run that ended early lacks \"have stopped\":\n%s", output)
	}
}
