//go:build !cgo

package signals

// restoreEarly does nothing: without C nothing runs before the Go runtime.
func restoreEarly() {}
