package numbering

// Analyse returns the routing decision for a call. It allocates no memory. The result depends only on the table and the
// query, so all instances with the same table reach the same decision.
func (t *Table) Analyse(q *Query) Decision { return t.analyse(q, nil) }

// Explain is like Analyse and also returns a description of each step.
func (t *Table) Explain(q *Query) (d Decision, steps []string) {
	var e explanation
	d = t.analyse(q, &e)
	return d, e.steps
}

func (t *Table) analyse(q *Query, e *explanation) (d Decision) {
	number, isInternational, ok := parseDialled(q.Number)
	if !ok {
		e.notANumber(q.Number)
		d.reject(CauseUnallocated)
		return d
	}
	e.dialled(q.Number, &number, isInternational)
	if route, isEmergency := t.emergencies[string(number.bytes())]; isEmergency && !isInternational {
		e.emergency()
		d.Emergency = true
		d.Number = number
		t.choosePools(&d, route, q, e)
		return d
	}
	if !isInternational {
		t.translate(&number, e)
		t.normalise(&number, e)
	}
	if number.n == 0 || int(number.n) > t.maxDigits {
		e.wrongLength(&number, t.maxDigits)
		d.reject(CauseUnallocated)
		return d
	}
	d.Number = number
	if cause, isBarred := t.barredCause(&number, q.Class, e); isBarred {
		d.reject(cause)
		return d
	}
	if route, hasRoute := t.matchRoute(&d, q, e); hasRoute {
		t.choosePools(&d, route, q, e)
	}
	return d
}

// barredCause returns the cause with which the longest matching bar rejects calls of a class. Shorter bars do not apply
// if the longest one is for other classes.
func (t *Table) barredCause(number *Digits, class string, e *explanation) (cause int, isBarred bool) {
	index, length := t.bars.find(number.bytes())
	if index < 0 {
		return 0, false
	}
	bar := &t.bars.entries[index]
	isBarred = t.appliesToClass(bar, class)
	e.bar(bar, number.bytes()[:length], class, isBarred)
	return int(bar.cause), isBarred
}

// appliesToClass reports whether a bar rejects calls of a class.
func (t *Table) appliesToClass(bar *entry, class string) bool {
	if bar.classList < 0 {
		return true
	}
	for _, name := range t.barredClasses[bar.classList] {
		if name == class {
			return true
		}
	}
	return false
}

// matchRoute returns the index of the route for d.Number. If there is none, it sets the verdict of d instead.
func (t *Table) matchRoute(d *Decision, q *Query, e *explanation) (route int32, hasRoute bool) {
	number := d.Number.bytes()
	index, length := t.numbers.find(number)
	if index < 0 {
		e.defaultRoute(number, t.defaultRoute >= 0)
		if t.defaultRoute < 0 {
			d.reject(CauseUnallocated)
		}
		return t.defaultRoute, t.defaultRoute >= 0
	}
	match := &t.numbers.entries[index]
	e.longestMatch(match, number[:length])
	if !match.ported {
		return match.route, true
	}
	switch q.Ported.State {
	case NotLookedUp:
		e.lookUpRequired()
		d.Verdict = LookUpRequired
		return 0, false
	case Ported:
		return t.matchRoutingNumber(d, q.Ported.Routing, e)
	default:
		e.notPorted(q.Ported.State)
		return match.route, true
	}
}

// matchRoutingNumber is matchRoute for a ported number, by its routing number, which is not looked up again.
func (t *Table) matchRoutingNumber(d *Decision, routing Digits, e *explanation) (route int32, hasRoute bool) {
	number := routing.bytes()
	index, length := t.numbers.find(number)
	if index < 0 {
		e.routingNumberUnmatched(number)
		d.reject(CauseNoRoute)
		return 0, false
	}
	match := &t.numbers.entries[index]
	e.portedTo(number, match, number[:length])
	return match.route, true
}
