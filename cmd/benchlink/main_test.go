package main

import (
	"bytes"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// startItems are the items that start a node with an empty cached server list.
const startItems = `["START",7,{"groupSize":2,"classes":[{"name":"read","aim":1000,"deadline":5000,"credit":1}],` +
	`"domain":{"topology":"pools","releaseGuard":150},"limits":{"maxAttempts":2},"safety":{"startCapacity":0.5}}],` +
	`["MEMBERS","cached",0,1]`

// pageItem defines server list number 0, with one server.
const pageItem = `["PAGE",0,[["srv","z","k",0,"IN",1,null]]],`

// callItem returns the item that offers a call.
func callItem(id, until string) string {
	return `["ASK","` + id + `",null,0,1,` + until + `,0,null,"` + id + `",-1,"read"]`
}

// batch returns an input line: a batch of nodes at a time.
func batch(at, nodes string) string { return `{"atTime":` + at + `,"nodes":[` + nodes + "]}\n" }

// node returns the entry of one node in a batch.
func node(n, items string) string { return `{"node":` + n + `,"items":[` + items + `]}` }

// TestPipe feeds batches to the built program on standard input and checks its replies.
func TestPipe(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "benchlink")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	cmd := exec.Command(bin)
	cmd.Stdin = strings.NewReader(batch("1", "") +
		batch("2", node("0", pageItem+startItems)+","+node("1", startItems)) +
		batch("3", node("1", callItem("aa", "2000"))) +
		batch("4", node("0", `["KILL"],`+startItems+","+callItem("bb", "2000"))+","+node("1", `["KILL"]`)) +
		batch("5", node("1", callItem("cc", "2000"))))
	out, err := cmd.Output()
	if err != nil {
		t.Fatal(err)
	}
	got := strings.Split(strings.TrimSuffix(string(out), "\n"), "\n")
	want := []string{
		`{"nodes":[]}`,
		`{"nodes":[{"node":0,"decisions":[["DEFER",102,0]]},{"node":1,"decisions":[["DEFER",102,0]]}]}`,
		`{"nodes":[{"node":1,"decisions":[["RELAY","aa","srv",1997],["DEFER",2000,1]]}]}`,
		`{"nodes":[{"node":0,"decisions":[["DEFER",104,0],["RELAY","bb","srv",1996],["DEFER",2000,1]]}]}`,
		`{"nodes":[]}`,
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

func TestInvalidInput(t *testing.T) {
	for text, want := range map[string]string{
		batch("1", node("0", `["BELL","x"]`)): "line 1: BELL: keyBack",
		batch("1", "") + "{\n":                "line 2: batch",
		batch("1", node("0", pageItem+strings.Replace(startItems, "pools", "ring", 1))): `topology "ring"`,
	} {
		t.Run(want, func(t *testing.T) {
			var out bytes.Buffer
			err := run(strings.NewReader(text), &out)
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%s: error %v, want %q", text, err, want)
			}
			if strings.Count(out.String(), "\n") != strings.Count(text, "\n")-1 {
				t.Errorf("%s: output for the invalid line: %q", text, out.String())
			}
		})
	}
}
