package jsonl

import (
	"fmt"
	"strings"
	"testing"

	"olivedale/internal/goldentest"
)

// goldenMessages returns messages with every verb in both directions, and lines in the form that other programs write.
func goldenMessages() []goldentest.Message {
	const tag = "9b1f03aa5c7e2d41"
	var all []goldentest.Message
	add := func(name string, m *Message) {
		all = append(all, goldentest.Message{Name: name, Bytes: Append(nil, m)})
	}
	add("start", &Message{Verb: Start, Tag: tag, Blob: []byte("v=0\r\ns={1} \"\\\t\x01\r\n"),
		Options: []Option{{"class", "voice"}, {"left", "9000"}, {"key", "7f3a"}, {"extras", "dest:0;width:1;via:-1"}}})
	add("pending", &Message{Verb: Pending, Tag: tag})
	add("started", &Message{Verb: Started, Tag: tag, Blob: []byte("\x00\x1f\x7f\xff\xc3\xa9/")})
	add("started with an empty blob", &Message{Verb: Started, Tag: tag, Blob: []byte{}})
	add("finish", &Message{Verb: Finish, Tag: tag, ResultCode: 16, HasResultCode: true})
	add("finish with a wait", &Message{Verb: Finish, Tag: tag, ResultCode: 34, HasResultCode: true, Options: []Option{{"wait", "1500"}}})
	add("finish without a cause", &Message{Verb: Finish, Tag: tag, ResultCode: 16})
	add("finished", &Message{Verb: Finished, Tag: tag})
	add("echo", &Message{Verb: Echo, Tag: "t"})
	add("echoed", &Message{Verb: Echoed, Tag: "t", ResultCode: 1, HasResultCode: true})
	add("load", &Message{Verb: Load, ResultCode: -1, HasResultCode: true, Options: []Option{{"a\n", "\"\\"}, {"", ""}}})
	received := func(name, line string) {
		all = append(all, goldentest.Message{Name: name, Bytes: []byte(line)})
	}
	received("received: order, spaces, numbers and unknown members",
		"{ \"tag\" : \"t\",\"opts\":{\"left\":9.5e3,\"key\":\"k\"},\"more\":[{\"a\":null},true,-1],\"verb\":\"START\"}\r\n")
	received("received: escapes", `{"verb":"\u0053TART","tag":"\/\b\f\n\r\t","blob":"\ud83d\ude00\u00e9"}`+"\n")
	return all
}

// TestGoldenMessages compares encoded messages and their parsed form with the golden files.
func TestGoldenMessages(t *testing.T) {
	var dump strings.Builder
	for _, m := range goldentest.CompareMessages(t, "messages.txt", goldenMessages()) {
		var r Reader
		_, _ = fmt.Fprintf(&dump, "== %s\n", m.Name)
		err := r.Feed(m.Bytes, func(m *Message) bool {
			_, _ = fmt.Fprintf(&dump, "verb %q tag %q rc %d has-rc %v blob %q no-blob %v\n",
				m.Verb, m.Tag, m.ResultCode, m.HasResultCode, m.Blob, m.Blob == nil)
			for _, o := range m.Options {
				_, _ = fmt.Fprintf(&dump, "  option %q value %q\n", o.Name, o.Value)
			}
			return true
		})
		if err != nil {
			t.Errorf("%s: %v", m.Name, err)
		}
	}
	goldentest.Compare(t, "parsed.txt", dump.String())
}
