package standin

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"emberquay/internal/lab/world"
)

// RunEnvironment runs receivers and the platform until the context ends, for senders that the caller starts. It writes
// each sender's configuration below dir and passes its path and listen address to tell; calls and notices are written
// to log as key=value lines. Only the caller hands texts in, so receivers accept every text and no rule is checked.
func RunEnvironment(ctx context.Context, day *world.Day, dir string, tell func(no int, conf, listen string), log io.Writer) error {
	s, err := New(day, Options{Dir: dir})
	if err != nil {
		return err
	}
	defer s.net.close()
	ctx, cancel := context.WithCancel(ctx)
	defer s.actors.Wait()
	defer cancel()
	s.log = log
	if err := s.startEnvironment(ctx); err != nil {
		return err
	}
	for _, snd := range s.senders {
		if err := os.MkdirAll(filepath.Join(snd.dir(), "state"), 0o700); err != nil {
			return err
		}
		if err := snd.writeConfig(); err != nil {
			return err
		}
		tell(snd.no, filepath.Join(snd.dir(), "config.json"), s.net.frontAddr(snd.no))
	}
	s.startTime = time.Now()
	close(s.started)
	<-ctx.Done()
	return nil
}

// logEvent writes a line to the event log, if there is one. The caller holds the lock.
func (s *Playback) logEvent(format string, args ...any) {
	if s.log != nil {
		fmt.Fprintf(s.log, "at=%.3fs "+format+"\n", append([]any{s.now().Seconds()}, args...)...)
	}
}
