package numbering

import (
	"cmp"
	"slices"
	"time"
)

const (
	defaultWeight = 1
	maxWeight     = 1 << 20
)

func (c *compiler) compileConditions() {
	for i := range c.rules.When {
		x := &c.rules.When[i]
		name := entryName("when", i, x.Name)
		compiled, err := compileCondition(x)
		if err != nil {
			c.addError(name, "%w", err)
		}
		if _, exists := c.conditions[x.Name]; exists || x.Name == "" {
			c.addError(name, "the name is missing or duplicate")
		}
		c.conditions[x.Name] = int32(len(c.table.conditions))
		c.table.conditions = append(c.table.conditions, compiled)
	}
}

func (c *compiler) compileRoutes() {
	for i, x := range c.rules.Route {
		name := entryName("route", i, x.Name)
		if _, exists := c.routes[x.Name]; exists || x.Name == "" {
			c.addError(name, "the name is missing or duplicate")
		}
		if len(x.Target) == 0 || len(x.Target) > maxTargets {
			c.addError(name, "%d targets; a route must have 1 to %d", len(x.Target), maxTargets)
		}
		compiled := route{name: x.Name, seed: Seed(x.Name), steps: c.compileSteps(name, x.Target)}
		c.routes[x.Name] = int32(len(c.table.routes))
		c.table.routes = append(c.table.routes, compiled)
		if len(c.errs) > 0 || c.deployment.SkipGapCheck {
			continue // after an error, a condition may have no zone
		}
		if at, hasGap := c.findGap(&compiled); hasGap {
			date := time.Unix(0, int64(at)).UTC().Format("Mon 2006-01-02 15:04 UTC")
			c.addError(name, "no target is open at some times, first on %s", date)
		}
	}
}

// compileSteps groups the targets of a route by step. The targets of a step are sorted, so that their order does not
// depend on the order of the rules.
func (c *compiler) compileSteps(name string, rules []Target) [][]target {
	var steps [][]target
	targets := slices.Clone(rules)
	slices.SortStableFunc(targets, func(a, b Target) int { return cmp.Compare(a.Step, b.Step) })
	for i, x := range targets {
		if i == 0 || targets[i-1].Step != x.Step {
			steps = append(steps, nil)
		}
		last := &steps[len(steps)-1]
		*last = append(*last, c.compileTarget(name, x))
	}
	for _, step := range steps {
		slices.SortFunc(step, func(a, b target) int {
			return cmp.Or(
				cmp.Compare(a.pool, b.pool),
				cmp.Compare(a.condition, b.condition),
				cmp.Compare(a.weight, b.weight),
			)
		})
	}
	return steps
}

func (c *compiler) compileTarget(name string, x Target) target {
	compiled := target{pool: x.Pool, weight: x.Weight, condition: -1}
	if compiled.weight == 0 {
		compiled.weight = defaultWeight
	}
	isPoolValid := x.Pool >= 0 && x.Pool <= maxPool
	isWeightValid := compiled.weight >= 0 && compiled.weight <= maxWeight
	if !isPoolValid || !isWeightValid {
		c.addError(name, "pool %d, weight %d: the pool must be 0 to %d, the weight 0 to %d",
			x.Pool, x.Weight, maxPool, maxWeight)
	} else if !c.isPoolUsable(x.Pool) {
		c.addError(name, "pool %d: no class can use it", x.Pool)
	}
	if x.When != "" {
		compiled.condition = c.conditionIndex(name, x.When)
	}
	return compiled
}

// isPoolUsable reports whether the calls of at least one class can use a pool.
func (c *compiler) isPoolUsable(pool int) bool {
	if len(c.deployment.Classes) == 0 {
		return true
	}
	return slices.ContainsFunc(c.deployment.Classes, func(class Class) bool {
		return class.Pools == nil || slices.Contains(class.Pools, pool)
	})
}

// conditionIndex returns the index of the condition that an entry refers to, -1 if there is none.
func (c *compiler) conditionIndex(entry, name string) int32 {
	c.usedConditions[name] = true
	index, exists := c.conditions[name]
	if !exists {
		c.addError(entry, "there is no condition %q", name)
		return -1
	}
	return index
}

// routeIndex returns the index of the route that an entry refers to, -1 if there is none.
func (c *compiler) routeIndex(entry, name string) int32 {
	index, exists := c.routes[name]
	if !exists {
		c.addError(entry, "there is no route %q", name)
		return -1
	}
	c.usedRoutes[name] = true
	return index
}

// gapDays is the number of days that are checked for gaps: a year, and one more day because of time zones.
const gapDays = 367

// findGap returns a time at which no target of a route is open, on the first day within a year that has such a time.
// Conditions change only at the minutes that their hours name, at midnight, and when the clock of a zone is changed, so
// it suffices to check these minutes and the minutes before them on each day.
func (c *compiler) findGap(r *route) (Time, bool) {
	conditions, isAlwaysOpen := c.targetConditions(r)
	if isAlwaysOpen {
		return 0, false
	}
	for day := range gapDays {
		for _, cond := range conditions {
			midnight := time.Unix(0, int64(c.deployment.Now)).In(cond.zone).AddDate(0, 0, day)
			for _, minute := range cond.minutesToCheck() {
				year, month, dayOfMonth := midnight.Date()
				at := Time(time.Date(year, month, dayOfMonth, 0, minute, 0, 0, cond.zone).UnixNano())
				if at >= c.deployment.Now && !anyHolds(conditions, at) {
					return at, true
				}
			}
		}
	}
	return 0, false
}

// targetConditions returns the conditions of the targets of a route. isAlwaysOpen is set if a target has none.
func (c *compiler) targetConditions(r *route) (conditions []*condition, isAlwaysOpen bool) {
	for _, step := range r.steps {
		for _, tgt := range step {
			if tgt.condition < 0 {
				return nil, true
			}
			cond := &c.table.conditions[tgt.condition]
			if !slices.Contains(conditions, cond) {
				conditions = append(conditions, cond)
			}
		}
	}
	return conditions, false
}
