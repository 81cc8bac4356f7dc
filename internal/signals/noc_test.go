//go:build !cgo

package signals

const linkedAgainstC = false
