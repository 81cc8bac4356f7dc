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

// childVariable selects what the test binary does as a child process.
const childVariable = "SIGNALS_TEST_CHILD"

// The child runs in TestMain, after the initialization of all packages, including this one.
func TestMain(m *testing.M) {
	switch os.Getenv(childVariable) {
	case "serve":
		sendToSelf(syscall.SIGHUP) // as if it arrived during the start
		<-ReloadRequested()
		os.Stdout.WriteString("reloads\n")
		<-StopRequested()
		os.Stdout.WriteString("stops\n")
	case "unread":
		signal.Reset(syscall.SIGHUP) // restore the action that the runtime found at its start
		sendToSelf(syscall.SIGHUP)
		os.Stdout.WriteString("starts")
	case "released":
		sendToSelf(syscall.SIGHUP)
		for len(reload) == 0 { // the runtime delivers it a moment later
			runtime.Gosched()
		}
		RestoreDefaults()
		select {} // SIGHUP terminates the process
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
	It("are captured during the start and received by a command that serves", func() {
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

	It("have their default action after RestoreDefaults, also if they arrived before", func() {
		err := childCommand("released").Run()
		var ended *exec.ExitError
		Expect(err).To(BeAssignableToTypeOf(ended))
		Expect(err.(*exec.ExitError).Sys().(syscall.WaitStatus).Signal()).To(Equal(syscall.SIGHUP))
	})

	It("are recorded with their arrival time", func() {
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
