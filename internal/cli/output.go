package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
)

// Table writes a table with a heading to out or, if asJSON is true, writes value as indented JSON instead.
func Table(out io.Writer, asJSON bool, value any, heading []string, rows [][]string) error {
	if asJSON {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return enc.Encode(value)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{heading}, rows...) {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return w.Flush()
}

// IsTerminal reports whether f is a character device and the environment variable TERM does not deny cursor control.
func IsTerminal(f *os.File) bool {
	info, err := f.Stat()
	if err != nil {
		return false
	}
	isCharacterDevice := info.Mode()&os.ModeCharDevice != 0
	return isCharacterDevice && os.Getenv("TERM") != "dumb"
}
