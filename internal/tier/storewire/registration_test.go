package storewire_test

import (
	"context"
	"time"

	"emberquay/internal/tier/storewire"
	"emberquay/internal/tier/transport"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = DescribeTable("a store notification reaches the control plane and returns its answer",
	func(ctx SpecContext, method transport.Method) {
		notification := storewire.StoreNotification{ID: "s-1", Node: "store-1", Zone: "a", Address: "127.0.0.1:7382", Bootstrap: true}
		answer := storewire.StoreNotificationAnswer{Status: 409, Reason: "store s-1 was retired"}
		received := make(chan storewire.StoreNotification, 1)
		mux := transport.NewMux()
		handle := func(_ context.Context, n storewire.StoreNotification) (storewire.StoreNotificationAnswer, error) {
			received <- n
			return answer, nil
		}
		storewire.HandleStoreNotifications(mux, method, handle)
		server, err := transport.Listen("127.0.0.1:0", mux)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		client := transport.NewClient()
		DeferCleanup(client.Close)
		Expect(storewire.NotifyControlPlane(ctx, client, server.Address(), method, notification)).To(Equal(answer))
		Expect(<-received).To(Equal(notification))
	},
	Entry("registration", storewire.RegisterStore, NodeTimeout(time.Minute)),
	Entry("completed retirement", storewire.StoreRetired, NodeTimeout(time.Minute)),
)
