package replica

import (
	"reflect"

	"github.com/rotisserie/eris"

	"emberquay/coordination/chain"
	"emberquay/internal/tier/transport"
)

// messageMethod carries all messages among replicas; they have no answers.
const messageMethod transport.Method = "replica.message"

// wire is an envelope on its way: the kind says what the body is.
type wire struct {
	From, To chain.Peer
	Kind     int
	Body     []byte
}

var envelopes = record[wire]("Envelope", "From", peer, "To", peer, "Kind", number, "Body", data)

// variant is one type of a message or record, I, and its codec.
type variant[I any] struct {
	kind   reflect.Type
	encode func(I) ([]byte, error)
	decode func([]byte) (I, error)
}

// as makes the variant of a type.
func as[I, T any](codec *transport.Codec[T]) variant[I] {
	return variant[I]{
		kind:   reflect.TypeFor[T](),
		encode: func(v I) ([]byte, error) { return codec.Encode(any(v).(T)) },
		decode: func(b []byte) (I, error) {
			v, err := codec.Decode(b)
			i, _ := any(v).(I)
			return i, err
		},
	}
}

// variants are all types of I; a kind is the place in it, which must not change.
type variants[I any] []variant[I]

func (all variants[I]) encode(v I) (kind int, b []byte, err error) {
	wanted := reflect.TypeOf(v)
	for kind, one := range all {
		if one.kind == wanted {
			b, err = one.encode(v)
			return kind, b, err
		}
	}
	return 0, nil, eris.Errorf("replica: no codec for %T", v)
}

func (all variants[I]) decode(kind int, b []byte) (I, error) {
	if kind < 0 || kind >= len(all) {
		var none I
		return none, eris.Errorf("replica: kind %d is not known", kind)
	}
	return all[kind].decode(b)
}

var messages = variants[chain.Message]{
	as[chain.Message](record[chain.Heartbeat]("Heartbeat", "Epoch", long, "Committed", long, "Heard", ids)),
	as[chain.Message](record[chain.ViewNotice]("Hint", "View", aView, "Committed", long)),
	as[chain.Message](record[chain.ViewRequest]("Ask", "Epoch", long)),
	as[chain.Message](record[chain.InstallView]("Adopt", "View", aView, "State", state, "Committed", long)),
	as[chain.Message](record[chain.JoinRequest]("Join", "Member", member, "Heard", ids)),
	as[chain.Message](record[chain.Prepare]("Prepare", "Epoch", long, "Ballot", ballot, "Sequence", long)),
	as[chain.Message](record[chain.Promise]("Promise", "Epoch", long, "Ballot", ballot, "Accepted", ballot,
		"Value", proposal, "Sequence", long, "State", state)),
	as[chain.Message](record[chain.BallotRejected]("Outbid", "Epoch", long, "Ballot", ballot, "Promised", ballot)),
	as[chain.Message](record[chain.Accept]("Accept", "Epoch", long, "Ballot", ballot, "Value", proposal)),
	as[chain.Message](record[chain.Accepted]("Accepted", "Epoch", long, "Ballot", ballot)),
	as[chain.Message](record[chain.Append]("Append", "Epoch", long, "Entry", entry, "Committed", long)),
	as[chain.Message](record[chain.Ack]("Ack", "Epoch", long, "Sequence", long)),
	as[chain.Message](record[chain.ConfirmEpoch]("Confirm", "Epoch", long, "Nonce", long)),
	as[chain.Message](record[chain.EpochConfirmed]("Confirmed", "Epoch", long, "Nonce", long)),
	as[chain.Message](record[chain.Propose]("Propose", "ID", commandID, "After", long, "Command", data)),
	as[chain.Message](record[chain.ProposeResult]("Result", "ID", commandID, "Verdict", number, "Epoch", long,
		"Sequence", long, "Result", data)),
	as[chain.Message](record[chain.Read]("Read", "ID", commandID, "Have", long)),
	as[chain.Message](record[chain.ReadResult]("ReadResult", "ID", commandID, "Verdict", number, "Epoch", long,
		"Sequence", long, "Full", boolean, "Snapshot", data)),
	as[chain.Message](record[chain.LeavingChain]("Leave", "Epoch", long)),
	as[chain.Message](record[chain.BootstrapProbe]("Inquire", "Nonce", long)),
	as[chain.Message](record[chain.PristineReply]("Untouched", "Nonce", long, "Members", texts)),
}

// seal makes an envelope ready for the wire.
func seal(e chain.Envelope) (wire, error) {
	kind, body, err := messages.encode(e.Body)
	return wire{From: e.From, To: e.To, Kind: kind, Body: body}, err
}

// open reads what came.
func (w wire) open() (chain.Envelope, error) {
	body, err := messages.decode(w.Kind, w.Body)
	return chain.Envelope{From: w.From, To: w.To, Body: body}, err
}
