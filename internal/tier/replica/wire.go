package replica

import (
	"reflect"

	"github.com/rotisserie/eris"

	"emberquay/coordination/chain"
	"emberquay/internal/tier/transport"
)

// messageMethod is the method of all messages between replicas; they have no responses.
const messageMethod transport.Method = "replica.message"

// wireEnvelope is the wire format of an envelope; Kind is the index of the type of Body in messageCodecs.
type wireEnvelope struct {
	From, To chain.Peer
	Kind     int
	Body     []byte
}

var envelopeCodec = newCodec[wireEnvelope]("Envelope", "From", peerType, "To", peerType, "Kind", intType, "Body", bytesType)

// typeCodec encodes and decodes one concrete type of the interface I (messages or records).
type typeCodec[I any] struct {
	goType reflect.Type
	encode func(I) ([]byte, error)
	decode func([]byte) (I, error)
}

// codecOf returns the typeCodec of the type T.
func codecOf[I, T any](codec *transport.Codec[T]) typeCodec[I] {
	return typeCodec[I]{
		goType: reflect.TypeFor[T](),
		encode: func(v I) ([]byte, error) { return codec.Encode(any(v).(T)) },
		decode: func(b []byte) (I, error) {
			v, err := codec.Decode(b)
			i, _ := any(v).(I)
			return i, err
		},
	}
}

// typeCodecs lists the codecs of all types of I. A kind is an index in it, so the order must not change.
type typeCodecs[I any] []typeCodec[I]

func (codecs typeCodecs[I]) encode(v I) (kind int, b []byte, err error) {
	goType := reflect.TypeOf(v)
	for kind, codec := range codecs {
		if codec.goType == goType {
			b, err = codec.encode(v)
			return kind, b, err
		}
	}
	return 0, nil, eris.Errorf("replica: no codec for %T", v)
}

func (codecs typeCodecs[I]) decode(kind int, b []byte) (I, error) {
	if kind < 0 || kind >= len(codecs) {
		var zero I
		return zero, eris.Errorf("replica: unknown kind %d", kind)
	}
	return codecs[kind].decode(b)
}

var messageCodecs = typeCodecs[chain.Message]{
	codecOf[chain.Message](newCodec[chain.Heartbeat]("Heartbeat", "Epoch", longType, "Committed", longType, "Heard", longArrayType)),
	codecOf[chain.Message](newCodec[chain.ViewNotice]("Hint", "View", viewType, "Committed", longType)),
	codecOf[chain.Message](newCodec[chain.ViewRequest]("Ask", "Epoch", longType)),
	codecOf[chain.Message](newCodec[chain.InstallView]("Adopt", "View", viewType, "State", stateType, "Committed", longType)),
	codecOf[chain.Message](newCodec[chain.JoinRequest]("Join", "Member", memberType, "Heard", longArrayType)),
	codecOf[chain.Message](newCodec[chain.Prepare]("Prepare", "Epoch", longType, "Ballot", ballotType, "Sequence", longType)),
	codecOf[chain.Message](newCodec[chain.Promise]("Promise", "Epoch", longType, "Ballot", ballotType, "Accepted", ballotType,
		"Value", proposalType, "Sequence", longType, "State", stateType)),
	codecOf[chain.Message](newCodec[chain.BallotRejected]("Outbid", "Epoch", longType, "Ballot", ballotType, "Promised", ballotType)),
	codecOf[chain.Message](newCodec[chain.Accept]("Accept", "Epoch", longType, "Ballot", ballotType, "Value", proposalType)),
	codecOf[chain.Message](newCodec[chain.Accepted]("Accepted", "Epoch", longType, "Ballot", ballotType)),
	codecOf[chain.Message](newCodec[chain.Append]("Append", "Epoch", longType, "Entry", entryType, "Committed", longType)),
	codecOf[chain.Message](newCodec[chain.Ack]("Ack", "Epoch", longType, "Sequence", longType)),
	codecOf[chain.Message](newCodec[chain.ConfirmEpoch]("Confirm", "Epoch", longType, "Nonce", longType)),
	codecOf[chain.Message](newCodec[chain.EpochConfirmed]("Confirmed", "Epoch", longType, "Nonce", longType)),
	codecOf[chain.Message](newCodec[chain.Propose]("Propose", "ID", commandIDType, "After", longType, "Command", bytesType)),
	codecOf[chain.Message](newCodec[chain.ProposeResult]("Result", "ID", commandIDType, "Verdict", intType, "Epoch", longType,
		"Sequence", longType, "Result", bytesType)),
	codecOf[chain.Message](newCodec[chain.Read]("Read", "ID", commandIDType, "Have", longType)),
	codecOf[chain.Message](newCodec[chain.ReadResult]("ReadResult", "ID", commandIDType, "Verdict", intType, "Epoch", longType,
		"Sequence", longType, "Full", booleanType, "Snapshot", bytesType)),
	codecOf[chain.Message](newCodec[chain.LeavingChain]("Leave", "Epoch", longType)),
	codecOf[chain.Message](newCodec[chain.BootstrapProbe]("Inquire", "Nonce", longType)),
	codecOf[chain.Message](newCodec[chain.PristineReply]("Untouched", "Nonce", longType, "Members", stringArrayType)),
}

// encodeEnvelope converts an envelope to the wire format.
func encodeEnvelope(e chain.Envelope) (wireEnvelope, error) {
	kind, body, err := messageCodecs.encode(e.Body)
	return wireEnvelope{From: e.From, To: e.To, Kind: kind, Body: body}, err
}

// decode converts a received message to an envelope.
func (w wireEnvelope) decode() (chain.Envelope, error) {
	body, err := messageCodecs.decode(w.Kind, w.Body)
	return chain.Envelope{From: w.From, To: w.To, Body: body}, err
}
