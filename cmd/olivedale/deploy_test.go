package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

// The platform loads a library into the process that `run` starts. This works only if `run` ends in a single process
// that is linked dynamically against the C library.
func TestDeployBuildsOneDynamicProcess(t *testing.T) {
	root := filepath.Join("..", "..")
	var deploy struct{ Build, Run string }
	if _, err := toml.DecodeFile(filepath.Join(root, "deploy", "balancer.toml"), &deploy); err != nil {
		t.Fatal(err)
	}
	if deploy.Run != "exec bin/olivedale" {
		t.Errorf("run = %q does not end in the program's own process", deploy.Run)
	}
	makefile, err := os.ReadFile(filepath.Join(root, "Makefile"))
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(makefile), "\nbuild:\n\t"+deploy.Build+"\n") {
		t.Errorf("make build is not the deploy file's build, %q", deploy.Build)
	}
	_, command, ok := strings.Cut(deploy.Build, "&& ")
	if !ok || !strings.HasPrefix(command, "go build ") {
		t.Fatalf("build = %q: want a folder made, then go build", deploy.Build)
	}
	bin := filepath.Join(t.TempDir(), "olivedale")
	var args []string
	for _, arg := range strings.Fields(command)[1:] {
		switch arg {
		case "bin/":
			arg = bin
		case "./cmd/...":
			arg = "./cmd/olivedale"
		}
		args = append(args, arg)
	}
	build := exec.Command("go", args...)
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %v\n%s", build.Args, err, out)
	}
	program, err := elf.Open(bin)
	if err != nil {
		t.Fatal(err)
	}
	defer program.Close()
	if !slices.ContainsFunc(program.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Error("the program names no interpreter: it is linked statically")
	}
	needed, err := program.ImportedLibraries()
	if err != nil {
		t.Fatal(err)
	}
	if !slices.ContainsFunc(needed, func(lib string) bool { return strings.HasPrefix(lib, "libc.so") }) {
		t.Errorf("the program needs %v, not the C library", needed)
	}
	symbols, err := program.ImportedSymbols()
	if err != nil {
		t.Fatal(err)
	}
	// Go's own linker can also make a program that loads the C library, but the entry point is Go's then. Only the
	// system's linker starts the program with the C library.
	if !slices.ContainsFunc(symbols, func(s elf.ImportedSymbol) bool { return s.Name == "__libc_start_main" }) {
		t.Error("the program was not linked externally with cgo: it does not start by the C library")
	}
}
