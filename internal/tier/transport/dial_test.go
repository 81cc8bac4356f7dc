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

var _ = Describe("making a connection", func() {
	var patiences []time.Duration
	dialing := func(outcomes ...error) func(time.Duration) (net.Conn, error) {
		patiences = nil
		return func(patience time.Duration) (net.Conn, error) {
			patiences = append(patiences, patience)
			if err := outcomes[len(patiences)-1]; err != nil {
				return nil, &net.OpError{Op: "dial", Err: err}
			}
			return &net.TCPConn{}, nil
		}
	}

	It("begins anew where the opening packet was lost, each time with more patience", func() {
		conn, err := transport.DialWithRetries(dialing(os.ErrDeadlineExceeded, os.ErrDeadlineExceeded, nil))
		Expect(err).NotTo(HaveOccurred())
		Expect(conn).NotTo(BeNil())
		Expect(patiences).To(Equal([]time.Duration{transport.FirstDialTimeout, 2 * transport.FirstDialTimeout, 4 * transport.FirstDialTimeout}))
	})

	It("ends where it is turned away", func() {
		_, err := transport.DialWithRetries(dialing(syscall.ECONNREFUSED))
		Expect(errors.Is(err, syscall.ECONNREFUSED)).To(BeTrue())
		Expect(patiences).To(HaveLen(1))
	})

	It("takes the whole time at most", func() {
		lost := make([]error, 20)
		for i := range lost {
			lost[i] = os.ErrDeadlineExceeded
		}
		_, err := transport.DialWithRetries(dialing(lost...))
		Expect(err).To(HaveOccurred())
		total := time.Duration(0)
		for _, p := range patiences {
			total += p
		}
		Expect(total).To(Equal(transport.DialTimeout))
	})
})
