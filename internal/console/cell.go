package console

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"charm.land/lipgloss/v2"

	"olivedale/internal/record"
)

// clockFormat is the format of the time of day in tables.
const clockFormat = "15:04:05.000"

// shortDigestLength is the number of characters of a digest that are shown, which is the length that operators compare.
const shortDigestLength = 8

// maxDecimalRate is the rate below which a decimal is shown.
const maxDecimalRate = 9.95

// A cell is one text of a table with its sort key.
type cell struct {
	text    string
	key     float64 // NaN if the cell is sorted by its text
	isFault bool    // marked on the screen
}

func textCell(s string) cell { return cell{text: record.Printable(s), key: math.NaN()} }

func countCell(n uint64) cell { return cell{text: strconv.FormatUint(n, 10), key: float64(n)} }

// intCell shows a count that must not be negative.
func intCell(n int) cell { return countCell(uint64(max(n, 0))) }

// rateCell shows a rate. An unknown rate is shown as a dash and sorted as the lowest.
func rateCell(rate float64) cell {
	switch {
	case math.IsNaN(rate):
		return cell{text: "-", key: -1}
	case rate == 0:
		return cell{text: "0", key: 0}
	case rate < maxDecimalRate:
		return cell{text: strconv.FormatFloat(rate, 'f', 1, 64), key: rate}
	}
	return cell{text: strconv.FormatFloat(rate, 'f', 0, 64), key: rate}
}

// faultCountCell shows a count that is marked unless it is 0.
func faultCountCell(n uint64) cell { return countCell(n).markedIf(n > 0) }

// faultRateCell shows a rate that is marked unless it is 0 or unknown.
func faultRateCell(rate float64) cell { return rateCell(rate).markedIf(rate > 0) }

func timeCell(at time.Time) cell {
	return cell{text: at.Format(clockFormat), key: float64(at.UnixNano())}
}

func ageCell(age time.Duration) cell { return cell{text: formatAge(age), key: age.Seconds()} }

// markedIf returns the cell, marked as a fault if the condition holds.
func (c cell) markedIf(isFault bool) cell {
	c.isFault = isFault
	return c
}

// formatAge formats an age in at most two units.
func formatAge(age time.Duration) string {
	switch {
	case age < 0:
		return "0s"
	case age < time.Minute:
		return fmt.Sprintf("%ds", int(age.Seconds()))
	case age < time.Hour:
		return fmt.Sprintf("%dm%02ds", int(age.Minutes()), int(age.Seconds())%60)
	}
	return fmt.Sprintf("%dh%02dm", int(age.Hours()), int(age.Minutes())%60)
}

// shortDigest returns the part of a digest that is shown to operators.
func shortDigest(digest string) string { return digest[:min(len(digest), shortDigestLength)] }

// An alignment is the side of a column to which its texts are aligned.
type alignment int

// The alignments.
const (
	alignRight alignment = iota // numbers
	alignLeft                   // text
)

// String implements fmt.Stringer.
func (a alignment) String() string {
	if a == alignLeft {
		return "left"
	}
	return "right"
}

// fit pads or truncates a text to a display width. A truncated text ends with a tilde.
func fit(s string, width int, align alignment) string {
	if lipgloss.Width(s) > width {
		s = truncate(s, width)
	}
	fill := strings.Repeat(" ", max(width-lipgloss.Width(s), 0))
	if align == alignLeft {
		return s + fill
	}
	return fill + s
}

func truncate(s string, width int) string {
	runes := []rune(s)
	for len(runes) > 0 && lipgloss.Width(string(runes)) > width-1 {
		runes = runes[:len(runes)-1]
	}
	return string(runes) + "~"
}
