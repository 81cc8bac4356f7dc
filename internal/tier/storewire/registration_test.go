package storewire_test

import (
	"context"
	"time"

	"emberquay/internal/tier/storewire"
	"emberquay/internal/tier/transport"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = DescribeTable("what a store tells comes to the control node, and its answer back",
	func(ctx SpecContext, method transport.Method) {
		news := storewire.StoreNotification{ID: "s-1", Node: "store-1", Zone: "a", Address: "127.0.0.1:7382", Bootstrap: true}
		answer := storewire.StoreNotificationAnswer{Status: 409, Reason: "store s-1 was retired"}
		told := make(chan storewire.StoreNotification, 1)
		mux := transport.NewMux()
		take := func(_ context.Context, n storewire.StoreNotification) (storewire.StoreNotificationAnswer, error) {
			told <- n
			return answer, nil
		}
		storewire.HandleStoreNotifications(mux, method, take)
		server, err := transport.Listen("127.0.0.1:0", mux)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		client := transport.NewClient()
		DeferCleanup(client.Close)
		Expect(storewire.NotifyControlPlane(ctx, client, server.Address(), method, news)).To(Equal(answer))
		Expect(<-told).To(Equal(news))
	},
	Entry("registration", storewire.RegisterStore, NodeTimeout(time.Minute)),
	Entry("the end of a retirement", storewire.StoreRetired, NodeTimeout(time.Minute)),
)
