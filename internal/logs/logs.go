// Package logs sets up the program's structured logs: log/slog, as key=value or JSON, bounded in lines a second.
//
//	logs.Setup(os.Stderr, 50, logs.Options{Format: "json", Level: "warn"})
//	slog.Warn("call_failed", "part", "receivers", "addr", addr, "err", err)
//
// writes {"time":...,"level":"WARN","event":"call_failed","part":"receivers",...}. The message is a short event
// name of one word; who says it stands under "part". Setup may be called again, as on SIGHUP: what is logged from
// then on follows the new options.
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

// Options say how logs are written; the zero value is key=value text from level info on.
type Options struct {
	Format               string  `toml:"format" oneof:"text json" comment:"text: key=value; json: one object a line"`
	Level                string  `toml:"level" oneof:"debug info warn error" comment:"the least that is written"`
	CountIntervalSeconds float64 `toml:"count_s" range:"0 3600" comment:"a line of what was done each so many seconds; 0: none"`
}

// DefaultOptions are the options where no file says otherwise.
func DefaultOptions() Options { return Options{Format: "text", Level: "info"} }

// Setup makes the default logger write to w, so many lines a second at most.
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

// NewLibraryLogger gives a logger for a library that writes lines of its own, as net/http does; each becomes one event.
func NewLibraryLogger(part string) *log.Logger { return log.New(libraryWriter(part), "", 0) }

type libraryWriter string

func (part libraryWriter) Write(line []byte) (int, error) {
	slog.Warn("library", "part", string(part), "said", strings.TrimSpace(string(line)))
	return len(line), nil
}

// RateLimitedWriter writes log lines, so many a second at most: peers that misbehave must not have the sender write all
// day. What is left out is counted and told.
type RateLimitedWriter struct {
	out               io.Writer
	maxLinesPerSecond int
	json              bool
	now               func() time.Time

	mu          sync.Mutex
	windowStart time.Time // the present one began
	windowLines int       // in it
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
