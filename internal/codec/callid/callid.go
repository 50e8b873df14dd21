// Package callid checks the identifiers of calls, which are the same in all protocols.
package callid

// length is the number of characters of an identifier.
const length = 16

// Valid reports whether a text is a call's identifier: 16 hexadecimal digits. Anything else must not reach a header.
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
