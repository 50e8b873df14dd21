// Package goldentest compares the output of tests with committed files, normally in testdata/golden. Only tests import
// it. With the flag -update it overwrites the committed files instead.
package goldentest

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// A Message is an encoded message and the name of its test case.
type Message struct {
	Name  string
	Bytes []byte
}

// headingPrefix starts a line that contains the name of a message.
const headingPrefix = "== "

// Compare compares a text with a file in testdata/golden and reports the first line that differs.
func Compare(t testing.TB, file, got string) {
	t.Helper()
	CompareFile(t, filepath.Join("testdata", "golden", file), []byte(got))
}

// CompareMessages compares encoded messages with a file in testdata/golden and returns the messages of that file.
func CompareMessages(t testing.TB, file string, encoded []Message) []Message {
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

// format returns the text form of messages: a heading for each message, followed by its lines as quoted strings.
func format(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		_, _ = fmt.Fprintf(&b, "%s%s\n", headingPrefix, m.Name)
		for line := range strings.SplitAfterSeq(string(m.Bytes), "\n") {
			if line != "" {
				b.WriteString(strconv.QuoteToASCII(line) + "\n")
			}
		}
	}
	return b.String()
}

var errNoHeading = errors.New("text before the first heading")

// parse parses the text form that format returns.
func parse(text string) ([]Message, error) {
	var messages []Message
	for line := range strings.Lines(text) {
		line = strings.TrimSuffix(line, "\n")
		if name, ok := strings.CutPrefix(line, headingPrefix); ok {
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
