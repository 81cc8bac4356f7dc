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

// recordingPlane records the arguments of its shutdown.
type recordingPlane struct {
	deadline    time.Time
	hasDeadline bool
	signalledAt time.Time
	failed      chan struct{}
}

func (p *recordingPlane) Failed() <-chan struct{} { return p.failed }

func (p *recordingPlane) Shutdown(ctx context.Context, signalledAt time.Time) {
	p.deadline, p.hasDeadline = ctx.Deadline()
	p.signalledAt = signalledAt
}

func (p *recordingPlane) SetSeeds([]string) {}

var _ = Describe("A shutdown", func() {
	logger := &log.Logger{Handler: discard.New()}
	missingFile := func() string { return filepath.Join(GinkgoT().TempDir(), "settings.toml") }
	node := func(grace time.Duration) *settings.Node {
		n := &settings.Node{}
		n.Bounds.TerminationGrace = grace
		return n
	}

	DescribeTable("has a deadline counted from the signal, even if the signal came while the plane started",
		func(grace, timeout time.Duration) {
			plane := &recordingPlane{}
			signalledAt := time.Now().Add(-3 * time.Second) // the start took as long
			stop := make(chan time.Time, 1)
			stop <- signalledAt
			Expect(run(missingFile(), node(grace), logger, func() (Plane, error) { return plane, nil }, stop, nil)).To(Succeed())
			Expect(plane.hasDeadline).To(BeTrue())
			Expect(plane.deadline).To(Equal(signalledAt.Add(timeout)))
			Expect(plane.signalledAt).To(Equal(signalledAt))
		},
		Entry("with a grace period of eight seconds", 8*time.Second, 7500*time.Millisecond),
		Entry("with a short grace period, for which a reserve of half a second would be too much", 3*time.Second, 2750*time.Millisecond),
	)
})

// Guards against a process that runs on though its plane has stopped, so that the platform doesn't start it again (review/6).
var _ = Describe("A plane that cannot go on", func() {
	It("is shut down, and the process ends with an error", func() {
		plane := &recordingPlane{failed: make(chan struct{})}
		close(plane.failed)
		node := &settings.Node{}
		node.Bounds.TerminationGrace = 8 * time.Second
		path := filepath.Join(GinkgoT().TempDir(), "settings.toml")
		logger := &log.Logger{Handler: discard.New()}
		Expect(run(path, node, logger, func() (Plane, error) { return plane, nil }, nil, nil)).To(MatchError(ErrPlaneFailed))
		Expect(plane.hasDeadline).To(BeTrue())
	})
})

// endingPlane closes a channel when it is shut down.
type endingPlane struct{ ended chan struct{} }

func (p endingPlane) Shutdown(context.Context, time.Time) { close(p.ended) }

func (p endingPlane) Failed() <-chan struct{} { return nil }

func (p endingPlane) SetSeeds([]string) {}

// Guards against a shutdown that waits for the settings file on a disk that does not respond. A named pipe that nobody
// writes to stands for that file.
func TestStopDoesNotWaitForSettings(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "settings.toml")
	g.Expect(syscall.Mkfifo(path, 0o600)).To(Succeed())
	plane := endingPlane{ended: make(chan struct{})}
	stop, reload := make(chan time.Time, 1), make(chan os.Signal)
	node := &settings.Node{}
	node.Bounds.TerminationGrace = 8 * time.Second
	go func() {
		_ = run(path, node, &log.Logger{Handler: discard.New()}, func() (Plane, error) { return plane, nil }, stop, reload)
	}()
	reload <- syscall.SIGHUP
	stop <- time.Now()
	g.Eventually(plane.ended).Should(BeClosed())
}
