// Package goldentest compares what tests produce with committed files under testdata/golden.
// Only tests import it. With the flag -update tests write these files instead.
package goldentest

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the files under testdata/golden")

// A Message is an encoded message and the name of its case.
type Message struct {
	Name  string
	Bytes []byte
}

// Compare compares a text with a committed file and shows the first line that differs.
func Compare(t testing.TB, file, got string) {
	t.Helper()
	path := filepath.Join("testdata", "golden", file)
	if *update {
		write(t, path, got)
		return
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(text) == got {
		return
	}
	want, have := strings.Split(string(text), "\n"), strings.Split(got, "\n")
	line := 0
	for line < min(len(want), len(have)) && want[line] == have[line] {
		line++
	}
	show := func(lines []string) string { return strings.Join(lines[line:min(line+1, len(lines))], "") }
	t.Errorf("%s: line %d is\n%s\nwant\n%s", path, line+1, show(have), show(want))
}

// Messages compares encoded messages with a committed file and returns the committed ones.
func Messages(t testing.TB, file string, encoded []Message) []Message {
	t.Helper()
	Compare(t, file, format(encoded))
	text, err := os.ReadFile(filepath.Join("testdata", "golden", file))
	if err != nil {
		t.Fatal(err)
	}
	committed, err := parse(string(text))
	if err != nil {
		t.Fatalf("%s: %v", file, err)
	}
	return committed
}

// format writes each message as a heading and one quoted string a line of the message.
func format(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		_, _ = fmt.Fprintf(&b, "== %s\n", m.Name)
		for line := range strings.SplitAfterSeq(string(m.Bytes), "\n") {
			if line != "" {
				b.WriteString(strconv.QuoteToASCII(line) + "\n")
			}
		}
	}
	return b.String()
}

var errNoHeading = errors.New("bytes before the first heading")

// parse reads what format wrote.
func parse(text string) (messages []Message, err error) {
	for line := range strings.Lines(text) {
		line = strings.TrimSuffix(line, "\n")
		if name, ok := strings.CutPrefix(line, "== "); ok {
			messages = append(messages, Message{Name: name})
			continue
		}
		if len(messages) == 0 {
			return nil, errNoHeading
		}
		piece, err := strconv.Unquote(line)
		if err != nil {
			return nil, fmt.Errorf("%q: %w", line, err)
		}
		last := &messages[len(messages)-1]
		last.Bytes = append(last.Bytes, piece...)
	}
	return messages, nil
}

func write(t testing.TB, path, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}
