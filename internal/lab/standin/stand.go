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

// RunEnvironment keeps receivers and the platform up until the context ends, for senders that somebody else starts. It writes
// each sender's configuration below dir and tells where; what comes is written to log as key=value lines. Nobody
// hands texts in but that somebody, so every text that comes to a receiver is taken as it is and no rule is judged.
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
	for _, o := range s.senders {
		if err := os.MkdirAll(filepath.Join(o.dir(), "state"), 0o700); err != nil {
			return err
		}
		if err := o.writeConfig(); err != nil {
			return err
		}
		tell(o.no, filepath.Join(o.dir(), "config.json"), s.net.frontAddr(o.no))
	}
	s.startTime = time.Now()
	close(s.started)
	<-ctx.Done()
	return nil
}

// logEvent writes a line of what is seen, where somebody looks on. Under the lock.
func (s *Playback) logEvent(format string, args ...any) {
	if s.log != nil {
		fmt.Fprintf(s.log, "at=%.3fs "+format+"\n", append([]any{s.now().Seconds()}, args...)...)
	}
}
