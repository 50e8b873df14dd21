package record

import (
	"strings"
	"unicode/utf8"
)

const (
	asciiDEL       = 0x7f
	lastC1         = 0x9f // last of the C1 control characters, which follow DEL
	firstPrintable = ' '
)

// Printable replaces control characters and invalid UTF-8 in a string with U+FFFD, for terminals and reports.
func Printable(s string) string {
	return strings.Map(func(c rune) rune {
		if isControl(c) {
			return utf8.RuneError
		}
		return c
	}, s)
}

// isControl reports whether c is a control character: C0, DEL or C1.
func isControl(c rune) bool { return c < firstPrintable || c >= asciiDEL && c <= lastC1 }
