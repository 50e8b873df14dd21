package logging

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
)

// A line is one line whatever stands in it, tells what happened before its fields, and keeps
// out what is below the level; both forms carry the same.
func TestLines(t *testing.T) {
	for _, form := range []string{"", Text, JSON} {
		var b bytes.Buffer
		log := New(&b, Options{Form: form, Level: "warn"})
		log.Info("quiet")
		log.Warn("torn", zap.String("err", "a\nb \"c\""), zap.Duration("after", 1500*time.Millisecond), zap.Int("n", 3))
		line := strings.TrimSuffix(b.String(), "\n")
		if strings.Contains(line, "\n") || strings.Contains(line, "quiet") {
			t.Errorf("form %q: %q", form, line)
		}
		if form == JSON {
			var got map[string]any
			if err := json.Unmarshal([]byte(line), &got); err != nil || got["event"] != "torn" || got["err"] != "a\nb \"c\"" || got["after"] != "1.5s" || got["level"] != "warn" {
				t.Errorf("%q: %v", line, err)
			}
			continue
		}
		for _, want := range []string{"level=warn event=torn err=", `"a\nb \"c\""`, " after=1.5s n=3"} {
			if !strings.Contains(line, want) {
				t.Errorf("%q does not have %q", line, want)
			}
		}
	}
}

func TestOptions(t *testing.T) {
	for o, want := range map[Options]string{{}: "", {Form: JSON, Level: "error"}: "", {Form: "xml"}: "form: ", {Level: "loud"}: "level: "} {
		err := o.Check()
		if (err == nil) != (want == "") || err != nil && !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%+v: %v", o, err)
		}
	}
}
