package numbering

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Seed returns the seed for the weighted choice of pools from the ID of a call.
func Seed(call string) uint64 { return xxhash.Sum64String(call) }

// choosePools adds the open pools of a route to d, step by step. If there is none, it rejects the call.
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

// addStep adds the open pools of one step of a route to d: first one that is drawn by weight, then the others in order.
func (t *Table) addStep(d *Decision, r *route, step int, q *Query, e *explanation) {
	var targets [maxTargets]*target
	count := 0
	for i := range r.steps[step] {
		tgt := &r.steps[step][i]
		if tgt.condition >= 0 && !t.conditions[tgt.condition].holds(q.At) {
			e.targetClosed(r.name, tgt.pool, t.conditions[tgt.condition].name)
			continue
		}
		targets[count] = tgt
		count++
	}
	if count == 0 {
		return
	}
	open := targets[:count]
	first := chooseByWeight(open, draw(q.Seed, r.seed, step))
	d.addPool(open[first].pool)
	for i, tgt := range open {
		if i != first {
			d.addPool(tgt.pool)
		}
	}
	e.poolDrawn(r.name, step, open[first].pool, count)
}

// chooseByWeight returns the index of the target that a random number selects in proportion to the weights.
func chooseByWeight(targets []*target, random uint64) int {
	total := 0
	for _, tgt := range targets {
		total += tgt.weight
	}
	if total <= 0 {
		return 0
	}
	remaining := int(random % uint64(total))
	for i, tgt := range targets {
		remaining -= tgt.weight
		if remaining < 0 {
			return i
		}
	}
	return len(targets) - 1
}

// draw returns a pseudo-random number for a call and a step of a route. Equal arguments give equal results.
func draw(callSeed, routeSeed uint64, step int) uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[:], callSeed)
	binary.LittleEndian.PutUint64(b[8:], routeSeed)
	binary.LittleEndian.PutUint64(b[16:], uint64(step))
	return xxhash.Sum64(b[:])
}
