package numbering

import (
	"errors"
	"fmt"
	"os"
)

// Deployment describes the deployment that rules are checked against.
type Deployment struct {
	Classes []Class
	Now     Time // routes are checked for times without a target within a year from this time
	// SkipGapCheck omits that check, for rules that passed it when they were loaded: as time goes on, a gap that was
	// more than a year ahead comes into its range.
	SkipGapCheck bool
}

// Class is a class of calls.
type Class struct {
	Name  string
	Pools []int // that can take its calls; nil: all
}

// defaultMaxDigits is the maximum length of an E.164 number.
const defaultMaxDigits = 15

// maxRuleErrors limits the number of errors that Compile reports for a set of rules.
const maxRuleErrors = 100

// RuleError is an error in one entry of the rules.
type RuleError struct {
	Entry string // kind, position and key of the entry, such as "prefix 3 (569)"
	Err   error
}

// Error implements error.
func (e *RuleError) Error() string { return e.Entry + ": " + e.Err.Error() }

// Unwrap returns the error without the name of the entry.
func (e *RuleError) Unwrap() error { return e.Err }

// CompileFile reads and compiles a rules file and also returns its text. It takes seconds for a million prefixes, so it
// must not run on an event loop.
func CompileFile(path string, deployment Deployment) (*Table, []byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, fmt.Errorf("numbers: %w", err)
	}
	t, err := CompileText(text, deployment)
	if err != nil {
		return nil, nil, fmt.Errorf("numbers: %s: %w", path, err)
	}
	return t, text, nil
}

// CompileText parses and compiles the text of a rules file.
func CompileText(text []byte, deployment Deployment) (*Table, error) {
	rules, err := Parse(text)
	if err != nil {
		return nil, err
	}
	return Compile(rules, deployment)
}

// Compile compiles rules into a Table. The error joins a RuleError for each of the first hundred errors in the rules.
func Compile(r *Rules, deployment Deployment) (*Table, error) {
	c := newCompiler(r, deployment)
	c.checkSizes()
	if len(c.errs) > 0 { // rules over the limits are not examined further
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

// compiler builds a table from rules and collects the errors in them.
type compiler struct {
	rules          *Rules
	deployment     Deployment
	table          *Table
	errs           []error
	routes         map[string]int32 // indexes into table.routes by name
	conditions     map[string]int32 // indexes into table.conditions by name
	usedRoutes     map[string]bool
	usedConditions map[string]bool
}

func newCompiler(r *Rules, deployment Deployment) *compiler {
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
		deployment:     deployment,
		table:          t,
		routes:         make(map[string]int32),
		conditions:     make(map[string]int32),
		usedRoutes:     make(map[string]bool),
		usedConditions: make(map[string]bool),
	}
}

// addError records an error in an entry. Errors beyond maxRuleErrors are dropped.
func (c *compiler) addError(entry, format string, args ...any) {
	if len(c.errs) < maxRuleErrors {
		c.errs = append(c.errs, &RuleError{entry, fmt.Errorf(format, args...)})
	}
}

// entryName returns the name of an entry in error messages; index counts from 0.
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
		c.addError(kind, "%d entries; the limit is %d", count, limit)
	}
}

// checkUnused reports routes and conditions that no entry refers to.
func (c *compiler) checkUnused() {
	for i, x := range c.rules.Route {
		if !c.usedRoutes[x.Name] {
			c.addError(entryName("route", i, x.Name), "unused: no entry refers to this route")
		}
	}
	for i, x := range c.rules.When {
		if !c.usedConditions[x.Name] {
			c.addError(entryName("when", i, x.Name), "unused: no target refers to this condition")
		}
	}
}
