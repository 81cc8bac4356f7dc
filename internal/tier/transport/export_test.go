package transport

// Exported for the tests in package transport_test.
var DialWithRetries = dialWithRetries

const (
	FirstDialTimeout = firstDialTimeout
	DialTimeout      = dialTimeout
)
