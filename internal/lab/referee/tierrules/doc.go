// Package tierrules judges a day of the serving tier by its rules, from what its clients, its receivers and its operator
// saw on their sockets. It is pure: a History goes in, breaches come out.
//
//	history := &tierrules.History{Bounds: bounds, Length: length}
//	history.Requests = append(history.Requests, &tierrules.Request{...})
//	verdict := tierrules.Judge(history)
//	for _, breach := range verdict.Breaches { fmt.Println(breach) }
//
// Every instant is the span since the day began. A rule with a time bound holds only for machines in touch, see touch;
// where two observations travelled apart, the doubt goes to the tier: a request counts as sent when its first byte was
// written and as handled when its receiver began with it.
package tierrules
