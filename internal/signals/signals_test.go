package signals

import (
	"bufio"
	"os"
	"os/exec"
	"os/signal"
	"runtime"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// childVariable tells the test's program what to do as a process of its own.
const childVariable = "SIGNALS_TEST_CHILD"

// The child is told by main: before that its packages are initialised, this one among the first.
func TestMain(m *testing.M) {
	switch os.Getenv(childVariable) {
	case "serve":
		sendToSelf(syscall.SIGHUP) // as if it came in the midst of the start
		<-ReloadRequested()
		os.Stdout.WriteString("reloads\n")
		<-StopRequested()
		os.Stdout.WriteString("stops\n")
	case "unread":
		signal.Reset(syscall.SIGHUP) // back to what the runtime found
		sendToSelf(syscall.SIGHUP)
		os.Stdout.WriteString("starts")
	case "released":
		sendToSelf(syscall.SIGHUP)
		for len(reload) == 0 { // it is told by the runtime a moment later
			runtime.Gosched()
		}
		RestoreDefaults()
		select {} // SIGHUP ends it
	default:
		os.Exit(m.Run())
	}
}

func TestSignals(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Signals")
}

func childCommand(mode string) *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), childVariable+"="+mode)
	return cmd
}

var _ = Describe("The signals of a process", func() {
	It("are held while it starts, and told to a command that serves", func() {
		cmd := childCommand("serve")
		out, err := cmd.StdoutPipe()
		Expect(err).NotTo(HaveOccurred())
		Expect(cmd.Start()).To(Succeed())
		lines := bufio.NewScanner(out)
		Expect(lines.Scan()).To(BeTrue())
		Expect(lines.Text()).To(Equal("reloads"))
		Expect(cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Expect(lines.Scan()).To(BeTrue())
		Expect(lines.Text()).To(Equal("stops"))
		Expect(cmd.Wait()).To(Succeed())
	})

	It("have their usual action where they are released, also those that came before", func() {
		err := childCommand("released").Run()
		var ended *exec.ExitError
		Expect(err).To(BeAssignableToTypeOf(ended))
		Expect(err.(*exec.ExitError).Sys().(syscall.WaitStatus).Signal()).To(Equal(syscall.SIGHUP))
	})

	It("are noted by their instant", func() {
		came := make(chan os.Signal, 1)
		at := firstArrival(came)
		before := time.Now()
		came <- syscall.SIGTERM
		var noted time.Time
		Eventually(at).Should(Receive(&noted))
		Expect(noted).To(BeTemporally(">=", before))
		Expect(noted).To(BeTemporally("<=", time.Now()))
	})
})
