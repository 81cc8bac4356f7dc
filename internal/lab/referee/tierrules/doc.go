// Package tierrules checks a recorded test run (a day) of the serving tier against its rules. The History holds what
// the clients, receivers and operators observed on their sockets; Judge reads it, without I/O or state, and returns
// breaches.
//
//	history := &tierrules.History{Bounds: bounds, TrafficEnd: trafficEnd}
//	history.Requests = append(history.Requests, &tierrules.Request{...})
//	verdict := tierrules.Judge(history)
//	for _, breach := range verdict.Breaches { fmt.Println(breach) }
//
// Each instant is the time since the day began. A rule with a time bound applies only to machines in contact (see
// inContact). The order of two observations made at different places may be unknown; the tier then gets the benefit of
// the doubt: a request counts as sent when its first byte was written, and as handled when its receiver began with it.
package tierrules
