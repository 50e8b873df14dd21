package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/sync/errgroup"
)

// A linter is a program that finds violations in a whole module.
type linter struct {
	command []string
	// parse extracts the findings from the program's output. Their file names may be absolute.
	parse func(output []byte) ([]Finding, error)
	// skipsTests is true if the linter's rules do not apply to test files.
	skipsTests bool
}

// linters returns the project's linters. programs is the directory of those that do not ship with Go.
func linters(programs, configPath string) []linter {
	analyzers := filepath.Join(programs, "analyzers")
	staticcheck := filepath.Join(programs, "staticcheck")
	revive := filepath.Join(programs, "revive")
	return []linter{
		{command: []string{"gofmt", "-l", "."}, parse: parseGofmt},
		{command: []string{"go", "vet", "-json", "./..."}, parse: parseVet},
		{command: []string{"go", "vet", "-json", "-vettool=" + analyzers, "-errorlint", "./..."}, parse: parseVet},
		{
			command:    []string{"go", "vet", "-json", "-vettool=" + analyzers, "-exhaustive", "./..."},
			parse:      parseVet,
			skipsTests: true,
		},
		{command: []string{staticcheck, "-checks", "all", "-f", "json", "./..."}, parse: parseStaticcheck},
		{
			command:    []string{revive, "-config", configPath, "-formatter", "json", "./..."},
			parse:      parseRevive,
			skipsTests: true,
		},
	}
}

// lintModules runs all linters over the modules at roots and returns their findings, sorted by position.
func lintModules(ctx context.Context, roots []string, programs, configPath string) ([]Finding, error) {
	absolutePrograms, err := filepath.Abs(programs)
	if err != nil {
		return nil, err
	}
	absoluteConfig, err := filepath.Abs(configPath)
	if err != nil {
		return nil, err
	}
	var findings []Finding
	for _, root := range roots {
		found, err := runLinters(ctx, root, linters(absolutePrograms, absoluteConfig))
		if err != nil {
			return nil, err
		}
		findings = append(findings, found...)
	}
	return sortFindings(findings), nil
}

// runLinters runs linters concurrently over the module at root.
func runLinters(ctx context.Context, root string, linters []linter) ([]Finding, error) {
	results := make([][]Finding, len(linters))
	group, ctx := errgroup.WithContext(ctx)
	for i, l := range linters {
		group.Go(func() error {
			findings, err := l.run(ctx, root)
			results[i] = findings
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return slices.Concat(results...), nil
}

// run runs the linter over the module at root and returns its findings, with files relative to the working
// directory.
func (l linter) run(ctx context.Context, root string) ([]Finding, error) {
	command := exec.CommandContext(ctx, l.command[0], l.command[1:]...)
	command.Dir = root
	var stderr bytes.Buffer
	command.Stderr = &stderr
	output, runErr := command.Output()
	findings, err := l.parse(output)
	if err != nil {
		return nil, fmt.Errorf("%s: %w\n%s", strings.Join(l.command, " "), err, stderr.Bytes())
	}
	// Linters also exit with an error status if there are findings; without findings the linter itself failed.
	if runErr != nil && len(findings) == 0 {
		return nil, fmt.Errorf("%s: %w\n%s", strings.Join(l.command, " "), runErr, stderr.Bytes())
	}
	var kept []Finding
	for _, f := range findings {
		if f.File, err = relativeTo(root, f.File); err != nil {
			return nil, err
		}
		if !l.skipsTests || !f.IsInTest() {
			kept = append(kept, f)
		}
	}
	return kept, nil
}

// relativeTo converts a file name from a linter, which is absolute or relative to root, to one relative to the
// working directory.
func relativeTo(root, file string) (string, error) {
	if !filepath.IsAbs(file) {
		return filepath.ToSlash(filepath.Join(root, file)), nil
	}
	absoluteRoot, err := filepath.Abs(root)
	if err != nil {
		return "", err
	}
	relative, err := filepath.Rel(absoluteRoot, file)
	return filepath.ToSlash(filepath.Join(root, relative)), err
}

// parseGofmt parses the list of unformatted files that gofmt -l prints, one per line.
func parseGofmt(output []byte) ([]Finding, error) {
	var findings []Finding
	for file := range strings.Lines(string(output)) {
		findings = append(findings, Finding{
			File:    strings.TrimSpace(file),
			Line:    1,
			Rule:    "gofmt",
			Message: "file is not formatted: run gofmt -w",
		})
	}
	return findings, nil
}

// parseVet parses a stream of JSON objects that map package paths to analyzers and these to lists of diagnostics.
func parseVet(output []byte) ([]Finding, error) {
	type diagnostic struct {
		Position string `json:"posn"`
		Message  string `json:"message"`
	}
	var findings []Finding
	for decoder := json.NewDecoder(bytes.NewReader(output)); ; {
		var packages map[string]map[string][]diagnostic
		if err := decoder.Decode(&packages); errors.Is(err, io.EOF) {
			return findings, nil
		} else if err != nil {
			return nil, fmt.Errorf("read diagnostics: %w", err)
		}
		for _, analyzers := range packages {
			for analyzer, diagnostics := range analyzers {
				for _, d := range diagnostics {
					file, line := splitPosition(d.Position)
					findings = append(findings, Finding{File: file, Line: line, Rule: analyzer, Message: d.Message})
				}
			}
		}
	}
}

// splitPosition splits "file:line:column". It returns line 0 if the position has another form.
func splitPosition(position string) (file string, line int) {
	parts := strings.Split(position, ":")
	if len(parts) < 3 {
		return position, 0
	}
	line, err := strconv.Atoi(parts[len(parts)-2])
	if err != nil {
		return position, 0
	}
	return strings.Join(parts[:len(parts)-2], ":"), line
}

// parseStaticcheck parses a stream of JSON objects, one per finding.
func parseStaticcheck(output []byte) ([]Finding, error) {
	var findings []Finding
	for decoder := json.NewDecoder(bytes.NewReader(output)); ; {
		var problem struct {
			Code     string `json:"code"`
			Message  string `json:"message"`
			Location struct {
				File string `json:"file"`
				Line int    `json:"line"`
			} `json:"location"`
		}
		if err := decoder.Decode(&problem); errors.Is(err, io.EOF) {
			return findings, nil
		} else if err != nil {
			return nil, fmt.Errorf("read problems: %w", err)
		}
		findings = append(findings, Finding{
			File:    problem.Location.File,
			Line:    problem.Location.Line,
			Rule:    problem.Code,
			Message: problem.Message,
		})
	}
}

// parseRevive parses a JSON array of failures.
func parseRevive(output []byte) ([]Finding, error) {
	if len(bytes.TrimSpace(output)) == 0 {
		return nil, nil
	}
	var failures []struct {
		RuleName string
		Failure  string
		Position struct {
			Start struct {
				Filename string
				Line     int
			}
		}
	}
	if err := json.Unmarshal(output, &failures); err != nil {
		return nil, fmt.Errorf("read failures: %w", err)
	}
	var findings []Finding
	for _, f := range failures {
		findings = append(findings, Finding{
			File:    f.Position.Start.Filename,
			Line:    f.Position.Start.Line,
			Rule:    f.RuleName,
			Message: f.Failure,
		})
	}
	return findings, nil
}
