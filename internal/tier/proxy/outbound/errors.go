package outbound

import (
	"errors"

	"github.com/rotisserie/eris"
)

// Reasons for which nothing was sent.
var (
	ErrConnectionLimit = errors.New("all connections to the receiver are in use")
	ErrClosed          = errors.New("the pool is closed")
	errStale           = errors.New("the receiver has ended the kept connection")
)

// Reasons for which an answer is no answer to the request.
var (
	errForeign      = errors.New("the answer belongs to another request")
	errUnidentified = errors.New("the answer names no request")
	errHeadTooLong  = errors.New("the answer's head is too long")
	errUpgrade      = errors.New("the receiver switched protocols")
)

// Error is a failed exchange.
type Error struct {
	Address   string
	MaybeSent bool // a byte of the request may have left: it may have run
	Cause     error
}

func (e *Error) Error() string { return "receiver " + e.Address + ": " + e.Cause.Error() }

// Unwrap gives the cause.
func (e *Error) Unwrap() error { return e.Cause }

// MaybeSent says whether a failed exchange may have reached the receiver.
func MaybeSent(err error) bool {
	var failure *Error
	return !errors.As(err, &failure) || failure.MaybeSent
}

func failed(address string, sent bool, cause error) error {
	return &Error{Address: address, MaybeSent: sent, Cause: eris.Wrap(cause, "exchange")}
}
