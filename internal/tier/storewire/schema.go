package storewire

import "emberquay/internal/tier/transport"

// Schema parts shared by several messages.
const (
	memberSchema = `{"type":"record","name":"Member","fields":[
		{"name":"id","type":"string"},{"name":"node","type":"string"},{"name":"zone","type":"string"},
		{"name":"address","type":"string"},{"name":"retiring","type":"boolean"},
		{"name":"replaced","type":"boolean"}]}`
	viewSchema = `{"type":"record","name":"View","fields":[
		{"name":"epoch","type":"long"},{"name":"tolerance","type":"int"},
		{"name":"members","type":{"type":"array","items":` + memberSchema + `}}]}`
	headerField = `{"name":"header","type":{"type":"record","name":"Header","fields":[
		{"name":"epoch","type":"long"},{"name":"store","type":"string"}]}}`
	replyField = `{"name":"reply","type":{"type":"record","name":"Reply","fields":[
		{"name":"standing","type":"int"},{"name":"complete","type":"boolean"},{"name":"view","type":` + viewSchema + `}]}}`
	turnHeadFields = `{"name":"id","type":"string"},{"name":"root","type":"string"},{"name":"home","type":"string"},
		{"name":"previous","type":"string"},{"name":"program","type":"string"},{"name":"tokens","type":"long"},
		{"name":"retention_millis","type":"long"}`
	turnSchema = `{"type":"record","name":"Turn","fields":[` + turnHeadFields + `,
		{"name":"input","type":"bytes"},{"name":"output","type":"bytes"}]}`
	turnCopiesField = `{"name":"parcels","type":{"type":"array","items":{"type":"record","name":"Parcel","fields":[
		{"name":"remaining_millis","type":"long"},{"name":"turn","type":"bytes"}]}}}`
	programsField = `{"name":"programs","type":{"type":"array","items":{"type":"record","name":"Program","fields":[
		{"name":"name","type":"string"},{"name":"idle_millis","type":"long"},{"name":"entries","type":"bytes"}]}}}`
)

// recordSchema returns the schema of a record with the given fields.
func recordSchema(name, fields string) string {
	return `{"type":"record","name":"` + name + `","fields":[` + fields + `]}`
}

var (
	turnCodec     = transport.MustCodec[Turn](turnSchema)
	turnHeadCodec = transport.MustCodec[TurnHead](recordSchema("TurnHead", turnHeadFields))
	viewCodec     = transport.MustCodec[View](viewSchema)
	reserveCodec  = transport.MustCodec[ReserveRequest](recordSchema("ReserveRequest", headerField+`,
		{"name":"program","type":"string"},{"name":"turn","type":"string"},{"name":"budget","type":"long"},
		{"name":"most","type":"long"},{"name":"recheck","type":"boolean"},{"name":"whole","type":"boolean"}`))
	reserveAnswerCodec = transport.MustCodec[ReserveAnswer](recordSchema("ReserveAnswer", replyField+`,
		{"name":"kept","type":"boolean"},{"name":"closed","type":"boolean"},{"name":"settled","type":"long"},
		{"name":"digest","type":"long"},{"name":"whole","type":"boolean"},{"name":"entries","type":"bytes"}`))
	settleCodec = transport.MustCodec[SettleRequest](recordSchema("SettleRequest", headerField+`,
		{"name":"settlements","type":{"type":"array","items":{"type":"record","name":"Settlement","fields":[
		{"name":"program","type":"string"},{"name":"turn","type":"long"},{"name":"used","type":"long"}]}}}`))
	acknowledgementCodec = transport.MustCodec[Acknowledgement](recordSchema("Acknowledgement", replyField))
	commitCodec          = transport.MustCodec[CommitRequest](recordSchema("CommitRequest", headerField+`,
		{"name":"turn","type":`+turnSchema+`}`))
	historyCodec = transport.MustCodec[HistoryRequest](recordSchema("HistoryRequest", headerField+`,
		{"name":"turn","type":"string"},{"name":"bodies","type":"boolean"}`))
	historyAnswerCodec = transport.MustCodec[HistoryAnswer](recordSchema("HistoryAnswer", replyField+`,
		{"name":"known","type":"boolean"},{"name":"turns","type":{"type":"array","items":"bytes"}}`))
	listCodec = transport.MustCodec[ListRequest](recordSchema("ListRequest", headerField+`,
		{"name":"sender","type":"string"},{"name":"after","type":"long"},{"name":"first","type":"boolean"}`))
	listAnswerCodec = transport.MustCodec[ListAnswer](recordSchema("ListAnswer", replyField+`,
		{"name":"turns","type":"bytes"},{"name":"more","type":"boolean"}`))
	fetchCodec       = transport.MustCodec[FetchRequest](recordSchema("FetchRequest", headerField+`,{"name":"keys","type":"bytes"}`))
	fetchAnswerCodec = transport.MustCodec[FetchAnswer](recordSchema("FetchAnswer", replyField+`,
		{"name":"looked","type":"int"},`+turnCopiesField))
	programsCodec = transport.MustCodec[ProgramsRequest](recordSchema("ProgramsRequest", headerField+`,
		{"name":"after","type":"string"}`))
	programsAnswerCodec = transport.MustCodec[ProgramsAnswer](recordSchema("ProgramsAnswer", replyField+`,`+programsField+`,
		{"name":"more","type":"boolean"}`))
	compareCodec = transport.MustCodec[CompareRequest](recordSchema("CompareRequest", headerField+`,
		{"name":"sender","type":"string"},{"name":"turns","type":"long"},{"name":"programs","type":"long"}`))
	compareAnswerCodec = transport.MustCodec[CompareAnswer](recordSchema("CompareAnswer", replyField+`,
		{"name":"turns","type":{"type":"array","items":"long"}},{"name":"programs","type":{"type":"array","items":"long"}}`))
	offerCodec = transport.MustCodec[OfferRequest](recordSchema("OfferRequest", headerField+`,
		{"name":"turns","type":"bytes"},{"name":"programs","type":{"type":"array","items":{"type":"record",
		"name":"ProgramDigest","fields":[{"name":"name","type":"string"},{"name":"digest","type":"long"}]}}}`))
	offerAnswerCodec = transport.MustCodec[OfferAnswer](recordSchema("OfferAnswer", replyField+`,
		{"name":"turns","type":{"type":"array","items":"int"}},{"name":"programs","type":{"type":"array","items":"int"}}`))
	pushCodec = transport.MustCodec[PushRequest](recordSchema("PushRequest", headerField+`,`+turnCopiesField+`,`+programsField))
)

// EncodeTurn encodes a turn as it is stored and pushed.
func EncodeTurn(t Turn) ([]byte, error) { return turnCodec.Encode(t) }

// DecodeTurn decodes the result of EncodeTurn.
func DecodeTurn(data []byte) (Turn, error) { return turnCodec.Decode(data) }

// DecodeTurnHead decodes the head of a turn from the result of EncodeTurn.
func DecodeTurnHead(data []byte) (TurnHead, error) { return turnHeadCodec.Decode(data) }

// EncodeView encodes a view.
func EncodeView(v View) ([]byte, error) { return viewCodec.Encode(v) }

// DecodeView decodes the result of EncodeView.
func DecodeView(data []byte) (View, error) { return viewCodec.Decode(data) }
