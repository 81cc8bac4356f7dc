// Package logs configures log/slog: key=value or JSON lines, with a limit of lines per second.
//
//	logs.Setup(os.Stderr, 50, logs.Options{Format: "json", Level: "warn"})
//	slog.Warn("call_failed", "part", "receivers", "addr", addr, "err", err)
//
// writes {"time":...,"level":"WARN","event":"call_failed","part":"receivers",...}. The message is a short event
// name of one word; "part" names the component. Setup may be called again, as on SIGHUP: later lines follow the new options.
package logs

import (
	"fmt"
	"io"
	"log"
	"log/slog"
	"strings"
	"sync"
	"time"
)

// Options configure the log; the zero value writes key=value lines from level info on.
type Options struct {
	Format               string  `toml:"format" oneof:"text json" comment:"text: key=value; json: one object a line"`
	Level                string  `toml:"level" oneof:"debug info warn error" comment:"the least that is written"`
	CountIntervalSeconds float64 `toml:"count_s" range:"0 3600" comment:"a line of what was done each so many seconds; 0: none"`
}

// DefaultOptions returns the options that apply without a file.
func DefaultOptions() Options { return Options{Format: "text", Level: "info"} }

// Setup makes slog's default logger write to w, at most maxLinesPerSecond.
func Setup(w io.Writer, maxLinesPerSecond int, o Options) {
	b := &RateLimitedWriter{out: w, maxLinesPerSecond: maxLinesPerSecond, now: time.Now, json: o.Format == "json"}
	slog.SetDefault(slog.New(newHandler(b, o)))
}

func newHandler(w io.Writer, o Options) slog.Handler {
	var level slog.Level
	if err := level.UnmarshalText([]byte(o.Level)); err != nil {
		level = slog.LevelInfo
	}
	opts := &slog.HandlerOptions{Level: level, ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
		if len(groups) == 0 && a.Key == slog.MessageKey {
			a.Key = "event"
		}
		return a
	}}
	if o.Format == "json" {
		return slog.NewJSONHandler(w, opts)
	}
	return slog.NewTextHandler(w, opts)
}

// NewLibraryLogger returns a logger for a library that takes a *log.Logger, such as net/http; each line becomes one event.
func NewLibraryLogger(part string) *log.Logger { return log.New(libraryWriter(part), "", 0) }

type libraryWriter string

func (part libraryWriter) Write(line []byte) (int, error) {
	slog.Warn("library", "part", string(part), "said", strings.TrimSpace(string(line)))
	return len(line), nil
}

// RateLimitedWriter limits the log lines per second, so that misbehaving peers cannot flood the log. Dropped lines are
// counted and reported.
type RateLimitedWriter struct {
	out               io.Writer
	maxLinesPerSecond int
	json              bool
	now               func() time.Time

	mu          sync.Mutex
	windowStart time.Time // of the current second
	windowLines int       // lines in the current second
	dropped     int
}

func (b *RateLimitedWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := b.now(); now.Sub(b.windowStart) >= time.Second {
		if b.dropped > 0 {
			format := "level=WARN event=dropped part=log lines=%d\n"
			if b.json {
				format = `{"level":"WARN","event":"dropped","part":"log","lines":%d}` + "\n"
			}
			fmt.Fprintf(b.out, format, b.dropped)
		}
		b.windowStart, b.windowLines, b.dropped = now, 0, 0
	}
	if b.windowLines++; b.windowLines > b.maxLinesPerSecond {
		b.dropped++
		return len(line), nil
	}
	return b.out.Write(line)
}
