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

// deployFile is the part of deploy/balancer.toml that the test reads.
type deployFile struct{ Build, Run string }

func readDeployFile(t *testing.T, root string) deployFile {
	t.Helper()
	var deploy deployFile
	if _, err := toml.DecodeFile(filepath.Join(root, "deploy", "balancer.toml"), &deploy); err != nil {
		t.Fatal(err)
	}
	return deploy
}

// buildAs runs the go build command of the deploy file for cmd/olivedale only and writes the program to path.
func buildAs(t *testing.T, root, deployBuild, path string) {
	t.Helper()
	_, command, found := strings.Cut(deployBuild, "&& ")
	if !found || !strings.HasPrefix(command, "go build ") {
		t.Fatalf("build = %q: want a command that creates the directory, then go build", deployBuild)
	}
	var args []string
	for _, arg := range strings.Fields(command)[1:] {
		switch arg {
		case "bin/":
			arg = path
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
}

// The platform loads a library into the process that `run` starts. This works only if `run` executes as a single
// process that is dynamically linked against the C library.
func TestDeployBuildsOneDynamicProcess(t *testing.T) {
	root := filepath.Join("..", "..")
	deploy := readDeployFile(t, root)
	if deploy.Run != "exec bin/olivedale" {
		t.Errorf("run = %q does not exec the program", deploy.Run)
	}
	makefile, err := os.ReadFile(filepath.Join(root, "Makefile"))
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(makefile), "\nbuild:\n\t"+deploy.Build+"\n") {
		t.Errorf("make build does not run the deploy file's build command, %q", deploy.Build)
	}
	path := filepath.Join(t.TempDir(), "olivedale")
	buildAs(t, root, deploy.Build, path)
	program, err := elf.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer program.Close()
	checkDynamicLinking(t, program)
}

func checkDynamicLinking(t *testing.T, program *elf.File) {
	t.Helper()
	isInterpreter := func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }
	if !slices.ContainsFunc(program.Progs, isInterpreter) {
		t.Error("the program has no interpreter segment: it is statically linked")
	}
	libraries, err := program.ImportedLibraries()
	if err != nil {
		t.Fatal(err)
	}
	isLibc := func(library string) bool { return strings.HasPrefix(library, "libc.so") }
	if !slices.ContainsFunc(libraries, isLibc) {
		t.Errorf("the program imports the libraries %v, not the C library", libraries)
	}
	symbols, err := program.ImportedSymbols()
	if err != nil {
		t.Fatal(err)
	}
	// Go's internal linker can also produce a program that loads the C library, but with Go's own entry point. Only
	// with the system's linker does the C library start the program.
	isLibcStart := func(s elf.ImportedSymbol) bool { return s.Name == "__libc_start_main" }
	if !slices.ContainsFunc(symbols, isLibcStart) {
		t.Error("the program was not linked externally with cgo: the C library does not start it")
	}
}
