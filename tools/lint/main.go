// Command lint runs the project's linters over Go modules, named by their directories (by default the working
// directory), and prints each finding by file and line. It exits with status 1 if there is a finding, and with 2
// if a linter failed to run.
//
// The programs of the linters that do not ship with Go are in the directory of the command's own executable. Rules, and
// packages that are exempt from a rule, are in one configuration file.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
)

// The command's exit statuses.
const (
	statusClean    = 0
	statusFindings = 1
	statusFailed   = 2
)

func main() {
	configPath := flag.String("config", "tools/lint.toml", "configuration file")
	listPackages := flag.Bool("packages", false, "print the packages that violate each rule, also exempt ones")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()

	executable, err := os.Executable()
	if err != nil {
		exitWith(err)
	}
	config, err := readConfig(*configPath)
	if err != nil {
		exitWith(err)
	}
	roots := flag.Args()
	if len(roots) == 0 {
		roots = []string{"."}
	}
	findings, err := lintModules(ctx, roots, filepath.Dir(executable), *configPath)
	if err != nil {
		exitWith(err)
	}
	if *listPackages {
		printPackages(os.Stdout, findings)
		return
	}
	remaining := config.apply(findings)
	for _, f := range remaining {
		fmt.Println(f)
	}
	if len(remaining) > 0 {
		fmt.Fprintf(os.Stderr, "lint: %d findings\n", len(remaining))
		os.Exit(statusFindings)
	}
	os.Exit(statusClean)
}

func exitWith(err error) {
	fmt.Fprintln(os.Stderr, "lint:", err)
	os.Exit(statusFailed)
}

// printPackages prints one line per rule: its name and the packages that violate it.
func printPackages(w io.Writer, findings []Finding) {
	packagesByRule := map[string][]string{}
	for _, f := range findings {
		if !slices.Contains(packagesByRule[f.Rule], f.Package()) {
			packagesByRule[f.Rule] = append(packagesByRule[f.Rule], f.Package())
		}
	}
	for _, rule := range sortedKeys(packagesByRule) {
		slices.Sort(packagesByRule[rule])
		fmt.Fprintf(w, "%s %q\n", rule, packagesByRule[rule])
	}
}
