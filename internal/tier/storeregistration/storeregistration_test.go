package storeregistration_test

import (
	"context"
	"testing"
	"time"

	"emberquay/internal/tier/storeregistration"
	"emberquay/internal/tier/transport"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestStoreRegistration(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "store registration")
}

var _ = DescribeTable("what a store tells comes to the control node, and its answer back",
	func(ctx SpecContext, method transport.Method) {
		news := storeregistration.News{ID: "s-1", Node: "store-1", Zone: "a", Address: "127.0.0.1:7382", Bootstrap: true}
		answer := storeregistration.Answer{Status: 409, Reason: "store s-1 was retired"}
		told := make(chan storeregistration.News, 1)
		mux := transport.NewMux()
		take := func(_ context.Context, n storeregistration.News) (storeregistration.Answer, error) {
			told <- n
			return answer, nil
		}
		storeregistration.Handle(mux, method, take)
		server, err := transport.Listen("127.0.0.1:0", mux)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		client := transport.NewClient()
		DeferCleanup(client.Close)
		Expect(storeregistration.Call(ctx, client, server.Address(), method, news)).To(Equal(answer))
		Expect(<-told).To(Equal(news))
	},
	Entry("registration", storeregistration.Register, NodeTimeout(time.Minute)),
	Entry("the end of a retirement", storeregistration.Retired, NodeTimeout(time.Minute)),
)
