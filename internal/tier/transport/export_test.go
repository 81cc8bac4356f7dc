package transport

// For the tests, which stand in a package of their own.
var DialTries = dialTries

const (
	FirstDial   = firstDial
	DialTimeout = dialTimeout
)
