package numbering

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Seed returns the seed of the weighted choice of pools for the call with an id.
func Seed(call string) uint64 { return xxhash.Sum64String(call) }

// choosePools lists the open pools of a route, step by step, and rejects the call if there is none.
func (t *Table) choosePools(d *Decision, index int32, q *Query, e *explanation) {
	r := &t.routes[index]
	d.Route = r.name
	for step := range r.steps {
		t.addStep(d, r, step, q, e)
	}
	if d.poolCount == 0 {
		e.noOpenTarget(r.name)
		d.reject(CauseNoRoute)
		return
	}
	e.pools(d)
}

// addStep adds the open pools of a step of a route: first one that is drawn by weight, then the others in their order.
func (t *Table) addStep(d *Decision, r *route, step int, q *Query, e *explanation) {
	var targets [maxTargets]*target
	count := 0
	for i := range r.steps[step] {
		g := &r.steps[step][i]
		if g.condition >= 0 && !t.conditions[g.condition].holds(q.At) {
			e.targetClosed(r.name, g.pool, t.conditions[g.condition].name)
			continue
		}
		targets[count] = g
		count++
	}
	if count == 0 {
		return
	}
	open := targets[:count]
	first := chooseByWeight(open, draw(q.Seed, r.seed, step))
	d.addPool(open[first].pool)
	for i, g := range open {
		if i != first {
			d.addPool(g.pool)
		}
	}
	e.poolDrawn(r.name, step, open[first].pool, count)
}

// chooseByWeight returns the index of the target on which a random number falls.
func chooseByWeight(targets []*target, random uint64) int {
	total := 0
	for _, g := range targets {
		total += g.weight
	}
	if total <= 0 {
		return 0
	}
	remaining := int(random % uint64(total))
	for i, g := range targets {
		remaining -= g.weight
		if remaining < 0 {
			return i
		}
	}
	return len(targets) - 1
}

// draw returns the pseudo-random number of a call for one step of a route.
func draw(callSeed, routeSeed uint64, step int) uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[:], callSeed)
	binary.LittleEndian.PutUint64(b[8:], routeSeed)
	binary.LittleEndian.PutUint64(b[16:], uint64(step))
	return xxhash.Sum64(b[:])
}
