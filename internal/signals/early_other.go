//go:build !cgo

package signals

// restoreEarly does nothing: without cgo, no code runs before the Go runtime.
func restoreEarly() {}
