// Package proxy is the data plane's runtime: it takes requests of clients, has the dispatcher choose when and where each
// goes, and passes the receivers' answers on.
//
//	plane, err := proxy.New(proxy.Options{
//		ClientAddress: "10.1.0.38:8149", ReadinessAddress: "10.1.0.38:8141", Store: store, Logger: log.Log,
//	})
//	if err != nil {
//		return err
//	}
//	go plane.Run()
//	plane.SetConfiguration(snapshot)
//	plane.SetReceivers(receivers)
//	plane.SetReady(true)
//	...
//	plane.Shutdown(ctx, signalled) // serves what has been read, then Run returns
//
// Invariants: a request sees one configuration, taken as it arrives, and none older than one that was used before. What
// may have run is never refused, and is sent again only where its route allows that. An answer goes out as complete only
// if the receiver's was whole. A retained turn ends for its client only once the stores hold it.
//
// The dispatcher's state is owned by one goroutine (admission.go); a request belongs to the goroutine of its handler.
package proxy
