// Package logs makes the programs' loggers: zap, with lines of logfmt for people and of JSON
// for programs that collect them. What happened stands behind time and level: event=started.
package logging

import (
	"fmt"
	"io"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Forms of lines.
const (
	Text = "text"
	JSON = "json"
)

// Options say which lines there are and how they look. The zero value is lines of text from
// level info on.
type Options struct {
	Form  string // Text or JSON; "": Text
	Level string // debug, info, warn, error; "": info
}

// Check tells what is wrong with the options; the error begins with the option's name.
func (o Options) Check() error {
	if o.Form != "" && o.Form != Text && o.Form != JSON {
		return fmt.Errorf("form: %q is neither %q nor %q", o.Form, Text, JSON)
	}
	_, err := o.level()
	return err
}

func (o Options) level() (zapcore.Level, error) {
	switch o.Level {
	case "", "info":
		return zapcore.InfoLevel, nil
	case "debug":
		return zapcore.DebugLevel, nil
	case "warn":
		return zapcore.WarnLevel, nil
	case "error":
		return zapcore.ErrorLevel, nil
	}
	return 0, fmt.Errorf("level: %q is none of debug, info, warn, error", o.Level)
}

// New makes a logger that writes to w, one whole line at a time. Options that Check refuses
// count as the zero value.
func New(w io.Writer, o Options) *zap.Logger {
	c := zapcore.EncoderConfig{MessageKey: "event", LevelKey: "level", TimeKey: "time", NameKey: "part",
		EncodeLevel: zapcore.LowercaseLevelEncoder, EncodeDuration: zapcore.StringDurationEncoder, EncodeTime: stamp}
	level, err := o.level()
	if err != nil {
		level = zapcore.InfoLevel
	}
	enc := zaplogfmt.NewEncoder(c)
	if o.Form == JSON {
		enc = zapcore.NewJSONEncoder(c)
	}
	return zap.New(zapcore.NewCore(enc, zapcore.Lock(zapcore.AddSync(w)), level))
}

// stamp writes a time in UTC, to the microsecond: what happens on several machines is set side by side.
func stamp(t time.Time, enc zapcore.PrimitiveArrayEncoder) {
	enc.AppendString(t.UTC().Format("2006-01-02T15:04:05.000000Z"))
}
