package transport

// For the tests, which stand in a package of their own.
var DialWithRetries = dialTries

const (
	FirstDialTimeout = firstDial
	DialTimeout      = dialTimeout
)
