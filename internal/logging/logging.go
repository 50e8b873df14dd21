// Package logging creates the zap loggers of the programs. Log lines are logfmt for people or JSON for log collectors
// and begin with time, level and event: time=2026-01-02T03:04:05.000006Z level=info event=started. The events are
// defined where they are logged.
package logging

import (
	"fmt"
	"io"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Values of Options.Form.
const (
	Text = "text" // logfmt
	JSON = "json"
)

// Keys of the standard fields.
const (
	eventKey = "event"
	levelKey = "level"
	timeKey  = "time"
	nameKey  = "part" // only in lines of a named logger
)

// timeLayout is UTC with microseconds, so that log lines of several machines can be compared.
const timeLayout = "2006-01-02T15:04:05.000000Z"

// Options select the minimum level and the format of log lines. The zero value selects logfmt and level info.
type Options struct {
	Form  string // Text or JSON; "": Text
	Level string // minimum level: debug, info, warn or error; "": info
}

// Check returns an error for the first invalid option. The error begins with the option's name.
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
	return zapcore.InfoLevel, fmt.Errorf("level: %q is none of debug, info, warn, error", o.Level)
}

// New returns a logger that writes whole lines to w, one at a time. It replaces an invalid option by the default.
func New(w io.Writer, o Options) *zap.Logger {
	level, _ := o.level()
	core := zapcore.NewCore(o.encoder(), zapcore.Lock(zapcore.AddSync(w)), level)
	return zap.New(core)
}

func (o Options) encoder() zapcore.Encoder {
	c := zapcore.EncoderConfig{
		MessageKey:     eventKey,
		LevelKey:       levelKey,
		TimeKey:        timeKey,
		NameKey:        nameKey,
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder,
		EncodeTime:     encodeTime,
	}
	if o.Form == JSON {
		return zapcore.NewJSONEncoder(c)
	}
	return zaplogfmt.NewEncoder(c)
}

func encodeTime(t time.Time, encoder zapcore.PrimitiveArrayEncoder) {
	encoder.AppendString(t.UTC().Format(timeLayout))
}
