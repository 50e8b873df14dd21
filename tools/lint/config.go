package main

import (
	"fmt"
	"path/filepath"
	"slices"

	"github.com/BurntSushi/toml"
)

// Config is the part of the configuration file that this command reads. Revive reads the rest.
type Config struct {
	Exceptions []Exception `toml:"exceptions"`
	// Rules are the enabled rules of revive, by name.
	Rules map[string]any `toml:"rule"`

	path string
}

// An Exception exempts packages from a rule. An exception without findings is reported, so that the list of exceptions
// shrinks with each package that is fixed.
type Exception struct {
	Rule     string   `toml:"rule"`
	Reason   string   `toml:"reason"`
	Packages []string `toml:"packages"` // directories, relative to the working directory
}

func readConfig(path string) (*Config, error) {
	config := &Config{path: path}
	if _, err := toml.DecodeFile(path, config); err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	for _, exception := range config.Exceptions {
		if exception.Rule == "" || exception.Reason == "" {
			return nil, fmt.Errorf("%s: an exception needs a rule and a reason: %+v", path, exception)
		}
	}
	return config, nil
}

// apply returns the findings that no exception covers, and a finding for each package that an exception lists
// unnecessarily.
func (c *Config) apply(findings []Finding) []Finding {
	remaining := slices.DeleteFunc(slices.Clone(findings), func(f Finding) bool {
		return slices.ContainsFunc(c.Exceptions, func(e Exception) bool { return e.covers(f) })
	})
	for _, exception := range c.Exceptions {
		for _, pkg := range exception.Packages {
			if !exception.isNeeded(pkg, findings) {
				remaining = append(remaining, Finding{
					File:    filepath.ToSlash(c.path),
					Rule:    "unused-exception",
					Message: fmt.Sprintf("%s does not violate %s: remove it from the exceptions", pkg, exception.Rule),
				})
			}
		}
	}
	return remaining
}

func (e Exception) covers(f Finding) bool {
	return e.Rule == f.Rule && slices.Contains(e.Packages, f.Package())
}

func (e Exception) isNeeded(pkg string, findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool {
		return e.Rule == f.Rule && f.Package() == pkg
	})
}
