package logs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// The limit drops lines and reports their number in the next second.
func TestBounded(t *testing.T) {
	for _, json := range []bool{false, true} {
		var out bytes.Buffer
		now := time.Unix(100, 0)
		b := &RateLimitedWriter{out: &out, maxLinesPerSecond: 2, json: json, now: func() time.Time { return now }}
		for range 5 {
			fmt.Fprintln(b, "line")
		}
		now = now.Add(time.Second)
		fmt.Fprintln(b, "next")
		want := "line\nline\nlevel=WARN event=dropped part=log lines=3\nnext\n"
		if json {
			want = "line\nline\n" + `{"level":"WARN","event":"dropped","part":"log","lines":3}` + "\nnext\n"
		}
		if out.String() != want {
			t.Errorf("%q, want %q", out.String(), want)
		}
	}
}

func TestFormatAndLevel(t *testing.T) {
	var out bytes.Buffer
	logTwoEvents := func(o Options) string {
		out.Reset()
		l := slog.New(newHandler(&out, o))
		l.Info("ready", "part", "serve")
		l.Warn("call_failed", "part", "receivers", "err", "a b")
		return out.String()
	}
	text := logTwoEvents(DefaultOptions())
	if !strings.Contains(text, `level=INFO event=ready part=serve`) || !strings.Contains(text, `event=call_failed part=receivers err="a b"`) {
		t.Error(text)
	}
	var event map[string]string
	if err := json.Unmarshal([]byte(logTwoEvents(Options{Format: "json", Level: "warn"})), &event); err != nil || event["event"] != "call_failed" {
		t.Error(err, event) // Unmarshal fails on a second line
	}
}
