// Package storewire is the protocol between stores and their clients: the messages and their Avro schemas, the view of
// the stores and its distribution, the notifications of stores to control planes, and the client and server of calls:
//
//	storewire.Register(mux, server)                 // server implements Server
//	caller := storewire.NewCaller(transport.NewClient())
//	answer, err := caller.Commit(ctx, address, storewire.CommitRequest{Header: header, Turn: turn})
//
// # Which members must answer
//
// Acknowledged records (turns, reservations) are held by Copies = Tolerance+1 members of the view at least, so an answer
// "unknown" is certain, and a comparison covers all records, once fewer than Copies of the members have not answered:
// NotFoundQuorum, CatchUpQuorum and SettleQuorum count to that, over all members. The changes of the view keep this up:
//
//   - A turn is acknowledged by Copies active members, a reservation by Quorum of them, which is no less. Both are fenced: a
//     store that knows a view serves no request of an older one.
//   - A member that fails is marked as Retiring and remains a possible holder. As with any member that stops being active,
//     all others are unsettled from then on (ActiveMemberLeft): they don't count for reservations or for "unknown" until
//     they have compared with SettleQuorum others. Then each holds all reservations of earlier views, and all turns that
//     belong at it under this one.
//   - It is removed only once all active members are settled under the view in which it is Retiring. The records then have
//     their copies among the rest, so that the removal itself leaves nobody unsettled.
//   - No more than Tolerance members are marked as failed at a time. If more are down, records may be on these alone: nothing
//     is certain and no member is removed until enough of them are back.
//   - A disk that was lost counts as a holder that doesn't answer until its successor has compared with CatchUpQuorum
//     others. A member that was added, or comes back, takes part at once: Quorum grows with it, so that the answers
//     to a reservation still include a holder of each earlier one.
//
// The model in model_test.go checks this for drawn orders of failures, returns, retirements, replacements and lost disks.
//
// # Messages
//
// Every request carries a Header: the epoch of the sender's view and the id of the addressed store. Every answer begins
// with a Reply; the rest of the answer is valid only if its Status is Served. After an error the call may or may not
// have been executed.
package storewire
