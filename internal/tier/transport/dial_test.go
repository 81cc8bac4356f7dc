package transport_test

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"emberquay/internal/tier/transport"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("dialing", func() {
	var timeouts []time.Duration
	fakeDial := func(errs ...error) func(time.Duration) (net.Conn, error) {
		timeouts = nil
		return func(timeout time.Duration) (net.Conn, error) {
			timeouts = append(timeouts, timeout)
			if err := errs[len(timeouts)-1]; err != nil {
				return nil, &net.OpError{Op: "dial", Err: err}
			}
			return &net.TCPConn{}, nil
		}
	}

	It("retries after a timeout, each time with twice the timeout", func() {
		conn, err := transport.DialWithRetries(fakeDial(os.ErrDeadlineExceeded, os.ErrDeadlineExceeded, nil))
		Expect(err).NotTo(HaveOccurred())
		Expect(conn).NotTo(BeNil())
		Expect(timeouts).To(Equal([]time.Duration{transport.FirstDialTimeout, 2 * transport.FirstDialTimeout, 4 * transport.FirstDialTimeout}))
	})

	It("does not retry after a refused connection", func() {
		_, err := transport.DialWithRetries(fakeDial(syscall.ECONNREFUSED))
		Expect(errors.Is(err, syscall.ECONNREFUSED)).To(BeTrue())
		Expect(timeouts).To(HaveLen(1))
	})

	It("takes no longer than the total timeout", func() {
		timedOut := make([]error, 20)
		for i := range timedOut {
			timedOut[i] = os.ErrDeadlineExceeded
		}
		_, err := transport.DialWithRetries(fakeDial(timedOut...))
		Expect(err).To(HaveOccurred())
		total := time.Duration(0)
		for _, timeout := range timeouts {
			total += timeout
		}
		Expect(total).To(Equal(transport.DialTimeout))
	})
})
