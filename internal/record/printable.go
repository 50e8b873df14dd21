package record

import (
	"strings"
	"unicode/utf8"
)

const (
	asciiDEL       = 0x7f
	lastC1         = 0x9f // the C1 control characters follow DEL
	firstPrintable = ' '
)

// Printable replaces control characters and invalid UTF-8 in a string by U+FFFD, for screens and reports. A string
// that is valid UTF-8 and has no ASCII control characters is returned as it is.
func Printable(s string) string {
	if utf8.ValidString(s) && !strings.ContainsFunc(s, isASCIIControl) {
		return s
	}
	return strings.Map(func(c rune) rune {
		if isASCIIControl(c) || isC1Control(c) {
			return utf8.RuneError
		}
		return c
	}, s)
}

func isASCIIControl(c rune) bool { return c < firstPrintable || c == asciiDEL }

func isC1Control(c rune) bool { return c > asciiDEL && c <= lastC1 }
