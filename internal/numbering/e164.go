package numbering

// translate applies translations until none matches. Compile rejects the translation loops that it finds; the limit on
// the number of steps ends any others.
func (t *Table) translate(number *Digits, e *explanation) {
	for range len(t.translations) + 1 {
		translation := t.matchTranslation(number)
		if translation == nil {
			return
		}
		if int(number.n)-translation.Strip+len(translation.Add) > maxDigits {
			*number = Digits{} // too long for any plan: rejected as unallocated
			return
		}
		number.replacePrefix(translation.Strip, translation.Add)
		e.translated(translation.Match, number)
	}
}

// matchTranslation returns the first translation that matches a number, or nil.
func (t *Table) matchTranslation(number *Digits) *Translation {
	for i := range t.translations {
		translation := &t.translations[i]
		hasLength := !translation.Exact || int(number.n) == len(translation.Match)
		if hasLength && number.hasPrefix(translation.Match) {
			return translation
		}
	}
	return nil
}

// normalise converts a number as dialled to E.164 form according to the dialling plan.
func (t *Table) normalise(number *Digits, e *explanation) {
	if len(t.plans) == 0 {
		return
	}
	plan := &t.plans[0]
	switch plan.classify(number) {
	case formInternational:
		number.replacePrefix(len(plan.International), "")
		e.international(plan.International, number)
	case formNational:
		number.replacePrefix(len(plan.National), plan.Country)
		e.national(plan.National, number)
	case formShort:
		e.shortForm()
	}
}

// dialledForm is the form in which a number was dialled.
type dialledForm uint8

const (
	formShort dialledForm = iota
	formNational
	formInternational
)

// classify returns the form in which a number was dialled. If both prefixes of the plan match, because one begins with
// the other (0 and 00), the longer one decides.
func (p *Plan) classify(number *Digits) dialledForm {
	isInternational := isDialPrefix(p.International, number)
	hasNationalPrefix := isDialPrefix(p.National, number)
	if isInternational && hasNationalPrefix && len(p.National) > len(p.International) {
		isInternational = false
	}
	length := int(number.n) - len(p.National)
	switch {
	case isInternational:
		return formInternational
	case !hasNationalPrefix && p.National != "":
		return formShort
	case length < p.MinDigits || length > p.MaxDigits:
		return formShort
	}
	return formNational
}

// isDialPrefix reports whether a number begins with a dialling prefix and has further digits.
func isDialPrefix(prefix string, number *Digits) bool {
	return prefix != "" && int(number.n) > len(prefix) && number.hasPrefix(prefix)
}
