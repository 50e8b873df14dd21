package numbering

import (
	"errors"
	"fmt"
	"os"
)

// Deployment is the deployment that rules have to fit.
type Deployment struct {
	Classes []Class
	Now     Time // routes are checked for gaps within a year from this time
}

// Class is a class of calls with the pools that can take it; nil: all.
type Class struct {
	Name  string
	Pools []int
}

// defaultMaxDigits is the greatest length of an E.164 number.
const defaultMaxDigits = 15

// maxRuleErrors bounds the errors that Compile reports for a set of rules.
const maxRuleErrors = 100

// RuleError is an error in one entry of the rules.
type RuleError struct {
	Entry string // kind, number and key of the entry: "prefix 3 (569)"
	Err   error
}

// Error implements error.
func (e *RuleError) Error() string { return e.Entry + ": " + e.Err.Error() }

// Unwrap returns the error without its entry.
func (e *RuleError) Unwrap() error { return e.Err }

// CompileFile reads and compiles a file of rules and returns its text as well. With a million prefixes it takes
// seconds, so it must not run on an event loop.
func CompileFile(path string, env Deployment) (*Table, []byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, fmt.Errorf("numbers: %w", err)
	}
	t, err := CompileText(text, env)
	if err != nil {
		return nil, nil, fmt.Errorf("numbers: %s: %w", path, err)
	}
	return t, text, nil
}

// CompileText parses and compiles the text of a file of rules.
func CompileText(text []byte, env Deployment) (*Table, error) {
	rules, err := Parse(text)
	if err != nil {
		return nil, err
	}
	return Compile(rules, env)
}

// Compile makes a Table of rules. The error joins a RuleError for each of the first hundred errors in the rules.
func Compile(r *Rules, env Deployment) (*Table, error) {
	c := newCompiler(r, env)
	c.checkSizes()
	if len(c.errs) > 0 { // rules of that size are not looked at
		return nil, errors.Join(c.errs...)
	}
	c.compileConditions()
	c.compileRoutes()
	c.compilePlans()
	c.compileTranslations()
	c.compileEmergencies()
	c.compileBars()
	c.compileNumbers()
	if r.Default != "" {
		c.table.defaultRoute = c.routeIndex("default", r.Default)
	}
	c.checkUnused()
	if len(c.errs) > 0 {
		return nil, errors.Join(c.errs...)
	}
	c.table.digest = digestRules(r, c.table.maxDigits)
	return c.table, nil
}

// compiler fills a table from rules and collects the errors.
type compiler struct {
	rules          *Rules
	env            Deployment
	table          *Table
	errs           []error
	routes         map[string]int32 // indexes by name
	conditions     map[string]int32
	usedRoutes     map[string]bool
	usedConditions map[string]bool
}

func newCompiler(r *Rules, env Deployment) *compiler {
	t := &Table{
		Version:      r.Version,
		maxDigits:    r.MaxDigits,
		emergencies:  make(map[string]int32),
		defaultRoute: -1,
	}
	if t.maxDigits == 0 {
		t.maxDigits = defaultMaxDigits
	}
	return &compiler{
		rules:          r,
		env:            env,
		table:          t,
		routes:         make(map[string]int32),
		conditions:     make(map[string]int32),
		usedRoutes:     make(map[string]bool),
		usedConditions: make(map[string]bool),
	}
}

// addError reports an error in an entry.
func (c *compiler) addError(entry, format string, args ...any) {
	if len(c.errs) < maxRuleErrors {
		c.errs = append(c.errs, &RuleError{entry, fmt.Errorf(format, args...)})
	}
}

// entryName names an entry of the rules in errors; index counts from 0.
func entryName(kind string, index int, key string) string {
	return fmt.Sprintf("%s %d (%s)", kind, index+1, key)
}

func (c *compiler) checkSizes() {
	r := c.rules
	if c.table.maxDigits < 1 || c.table.maxDigits > maxDigits {
		c.addError("max_digits", "%d is not between 1 and %d", c.table.maxDigits, maxDigits)
	}
	c.checkSize("prefix and range", len(r.Prefix)+len(r.Range), maxPrefixes)
	c.checkSize("barred", len(r.Barred), maxPrefixes)
	c.checkSize("route", len(r.Route), maxRoutes)
	c.checkSize("when", len(r.When), maxConditions)
	c.checkSize("plan", len(r.Plan), maxPlans)
	c.checkSize("translate", len(r.Translate), maxRoutes)
	c.checkSize("emergency", len(r.Emergency), maxRoutes)
}

func (c *compiler) checkSize(kind string, count, limit int) {
	if count > limit {
		c.addError(kind, "%d entries are more than %d", count, limit)
	}
}

// checkUnused reports routes and conditions that no entry names.
func (c *compiler) checkUnused() {
	for i, x := range c.rules.Route {
		if !c.usedRoutes[x.Name] {
			c.addError(entryName("route", i, x.Name), "nothing leads to it")
		}
	}
	for i, x := range c.rules.When {
		if !c.usedConditions[x.Name] {
			c.addError(entryName("when", i, x.Name), "no target names it")
		}
	}
}
