package numbering

// Digits is a telephone number without the plus sign. The zero value has no digits.
type Digits struct {
	b [maxDigits]byte // zero after the first n
	n uint8
}

// ParseDigits converts s; ok is false if s is empty, longer than maxDigits or contains anything but digits.
func ParseDigits(s string) (d Digits, ok bool) {
	if !isDigits(s) {
		return d, false
	}
	d.n = uint8(copy(d.b[:], s))
	return d, true
}

// String returns the digits as text.
func (d Digits) String() string { return string(d.b[:d.n]) }

// bytes returns a slice of the digits that shares the memory of d.
func (d *Digits) bytes() []byte { return d.b[:d.n] }

// hasPrefix reports whether the number begins with prefix.
func (d *Digits) hasPrefix(prefix string) bool {
	return len(prefix) <= int(d.n) && string(d.b[:len(prefix)]) == prefix
}

// replacePrefix replaces the first removed digits by prefix. Digits beyond maxDigits are dropped.
func (d *Digits) replacePrefix(removed int, prefix string) {
	rest := d.b[removed:d.n]
	var replaced Digits
	length := copy(replaced.b[:], prefix)
	length += copy(replaced.b[length:], rest)
	replaced.n = uint8(length)
	*d = replaced
}

// isDigits reports whether s consists of 1 to maxDigits digits.
func isDigits(s string) bool {
	return s != "" && len(s) <= maxDigits && allBetween(s, '0', '9')
}

// allBetween reports whether each byte of s is in the range from low to high.
func allBetween(s string, low, high byte) bool {
	for i := range len(s) {
		if s[i] < low || s[i] > high {
			return false
		}
	}
	return true
}

// parseDialled returns the digits of a number as dialled, without the separators that people write between them.
// isInternational is set if the number begins with a plus sign. ok is false if number contains other characters, no
// digits, or more than maxDigits.
func parseDialled(number string) (digits Digits, isInternational, ok bool) {
	for i := range len(number) {
		switch c := number[i]; c {
		case '0', '1', '2', '3', '4', '5', '6', '7', '8', '9':
			if digits.n == maxDigits {
				return digits, isInternational, false
			}
			digits.b[digits.n] = c
			digits.n++
		case '+':
			if digits.n > 0 || isInternational {
				return digits, isInternational, false
			}
			isInternational = true
		case ' ', '-', '.', '(', ')', '/':
		default:
			return digits, isInternational, false
		}
	}
	return digits, isInternational, digits.n > 0
}
