// Package proxy implements the data plane's reverse proxy: it accepts client requests, lets the dispatcher choose when
// and to which receiver each is sent, and forwards the receivers' responses.
//
//	p, err := proxy.New(proxy.Options{
//		ClientAddress: "10.1.0.38:8149", ReadinessAddress: "10.1.0.38:8141", Store: store, Logger: log.Log,
//	})
//	if err != nil {
//		return err
//	}
//	go p.Run()
//	p.SetConfiguration(snapshot)
//	p.SetReceivers(receivers)
//	p.SetReady(true)
//	...
//	p.Shutdown(ctx, signalledAt) // completes requests already read; then Run returns
//
// Invariants:
//   - A request uses one configuration snapshot, taken on arrival and never older than one already used.
//   - A request that may have run is never answered as not executed, and is retried only where its route allows it.
//   - A response is completed to the client only if the receiver's response was complete.
//   - The response of a retained turn is completed only once the stores hold the turn.
//
// One goroutine owns the dispatcher's state (admission.go); a request belongs to the goroutine of its handler.
package proxy
