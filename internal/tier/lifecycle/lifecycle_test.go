package lifecycle

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/internal/tier/settings"
)

func TestLifecycle(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Lifecycle")
}

// recordingPlane notes when it was told to stop, and until when it may take to end.
type recordingPlane struct {
	deadline    time.Time
	hasDeadline bool
	signalledAt time.Time
}

func (p *recordingPlane) Shutdown(ctx context.Context, signalledAt time.Time) {
	p.deadline, p.hasDeadline = ctx.Deadline()
	p.signalledAt = signalledAt
}

func (p *recordingPlane) SetSeeds([]string) {}

var _ = Describe("A stop", func() {
	quiet := &log.Logger{Handler: discard.New()}
	nowhere := func() string { return filepath.Join(GinkgoT().TempDir(), "settings.toml") }
	node := func(grace time.Duration) *settings.Node {
		n := &settings.Node{}
		n.Bounds.Grace = grace
		return n
	}

	DescribeTable("ends within the grace that runs from the signal, though it came while the plane started",
		func(grace, allowed time.Duration) {
			plane := &recordingPlane{}
			signalled := time.Now().Add(-3 * time.Second) // the start took as long
			stop := make(chan time.Time, 1)
			stop <- signalled
			Expect(run(nowhere(), node(grace), quiet, func() (Plane, error) { return plane, nil }, stop, nil)).To(Succeed())
			Expect(plane.hasDeadline).To(BeTrue())
			Expect(plane.deadline).To(Equal(signalled.Add(allowed)))
			Expect(plane.signalledAt).To(Equal(signalled))
		},
		Entry("of eight seconds", 8*time.Second, 7500*time.Millisecond),
		Entry("of a short one, of which a reserve of half a second would be too much", 3*time.Second, 2750*time.Millisecond),
	)
})

// endingPlane tells of its end.
type endingPlane struct{ ended chan struct{} }

func (p endingPlane) Shutdown(context.Context, time.Time) { close(p.ended) }

func (p endingPlane) SetSeeds([]string) {}

// A settings file on a disk that answers nothing is a pipe that nobody writes to here.
func TestStopDoesNotWaitForSettings(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "settings.toml")
	g.Expect(syscall.Mkfifo(path, 0o600)).To(Succeed())
	plane := endingPlane{ended: make(chan struct{})}
	stop, reload := make(chan time.Time, 1), make(chan os.Signal)
	node := &settings.Node{}
	node.Bounds.Grace = 8 * time.Second
	go func() {
		_ = run(path, node, &log.Logger{Handler: discard.New()}, func() (Plane, error) { return plane, nil }, stop, reload)
	}()
	reload <- syscall.SIGHUP
	stop <- time.Now()
	g.Eventually(plane.ended).Should(BeClosed())
}
