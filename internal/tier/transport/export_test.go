package transport

// For the tests, which stand in a package of their own.
var DialWithRetries = dialWithRetries

const (
	FirstDialTimeout = firstDialTimeout
	DialTimeout      = dialTimeout
)
