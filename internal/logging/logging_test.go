package logging

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
)

// An entry is a single line even if its fields contain line breaks, the event precedes the fields, and entries below
// the minimum level are dropped. Both formats contain the same fields.
func TestLines(t *testing.T) {
	for _, form := range []string{"", Text, JSON} {
		var output bytes.Buffer
		log := New(&output, Options{Form: form, Level: "warn"})
		log.Info("quiet")
		log.Warn("torn", zap.String("err", "a\nb \"c\""), zap.Duration("after", 1500*time.Millisecond), zap.Int("n", 3))
		line := strings.TrimSuffix(output.String(), "\n")
		if strings.Contains(line, "\n") || strings.Contains(line, "quiet") {
			t.Errorf("form %q: %q", form, line)
		}
		if form == JSON {
			checkJSON(t, line)
			continue
		}
		for _, want := range []string{"level=warn event=torn err=", `"a\nb \"c\""`, " after=1.5s n=3"} {
			if !strings.Contains(line, want) {
				t.Errorf("%q does not contain %q", line, want)
			}
		}
	}
}

func checkJSON(t *testing.T, line string) {
	t.Helper()
	var got map[string]any
	if err := json.Unmarshal([]byte(line), &got); err != nil {
		t.Errorf("%q: %v", line, err)
	}
	if got["event"] != "torn" || got["err"] != "a\nb \"c\"" || got["after"] != "1.5s" || got["level"] != "warn" {
		t.Errorf("%q", line)
	}
}

func TestOptions(t *testing.T) {
	for o, want := range map[Options]string{
		{}:                           "",
		{Form: JSON, Level: "error"}: "",
		{Form: "xml"}:                "form: ",
		{Level: "loud"}:              "level: ",
	} {
		err := o.Check()
		isWanted := err == nil && want == "" || err != nil && want != "" && strings.HasPrefix(err.Error(), want)
		if !isWanted {
			t.Errorf("%+v: %v, want %q", o, err, want)
		}
	}
}
