// Package callid validates call identifiers, which have the same form in all protocols.
package callid

// length is the number of characters in an identifier.
const length = 16

// Valid reports whether s is a call identifier: 16 hexadecimal digits. Other texts must not be written into headers.
func Valid(s string) bool {
	if len(s) != length {
		return false
	}
	for i := range len(s) {
		if !isHexDigit(s[i]) {
			return false
		}
	}
	return true
}

func isHexDigit(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}
