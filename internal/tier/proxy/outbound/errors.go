package outbound

import (
	"errors"

	"github.com/rotisserie/eris"
)

// Errors of exchanges in which nothing was sent.
var (
	ErrConnectionLimit = errors.New("all connections to the receiver are in use")
	ErrClosed          = errors.New("connection pool is closed")
	errStale           = errors.New("receiver closed the idle connection")
)

// Errors of responses that cannot be attributed to the request.
var (
	errWrongRequestID    = errors.New("response carries the id of another request")
	errNoRequestID       = errors.New("response has no request id")
	errHeadTooLong       = errors.New("response head is too long")
	errUnexpectedInterim = errors.New("receiver switched protocols or sent too many interim responses")
)

// Error is a failed exchange.
type Error struct {
	Address   string
	MaybeSent bool // a byte of the request may have been sent: it may have run
	Cause     error
}

func (e *Error) Error() string { return "receiver " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// MaybeSent reports whether the request of a failed exchange may have reached the receiver. It is true for errors of
// other types.
func MaybeSent(err error) bool {
	var failure *Error
	return !errors.As(err, &failure) || failure.MaybeSent
}

func newError(address string, maybeSent bool, cause error) error {
	return &Error{Address: address, MaybeSent: maybeSent, Cause: eris.Wrap(cause, "exchange")}
}
