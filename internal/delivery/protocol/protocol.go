// Package protocol holds what more than one peer's side needs of the protocol on sockets.
package protocol

import (
	"time"

	"emberquay/control"
)

// The headers that clients send and receivers get.
const (
	IDHeader             = "X-Call-Id"
	IdempotencyKeyHeader = "Idempotency-Key" // by which a repeat is known
	BudgetHeader         = "X-Budget"        // seconds, with decimals
)

// Tick is the module's unit of time.
const Tick = time.Second / time.Duration(control.Second)

// Ticks counts the whole ticks of a span, rounded down.
func Ticks(d time.Duration) control.Time { return control.Time(d / Tick) }

// Duration is the time that so many ticks take.
func Duration(t control.Time) time.Duration { return time.Duration(t) * Tick }

// UnixTicks is an instant in whole ticks, rounded down.
func UnixTicks(t time.Time) control.Time { return control.Time(t.UnixNano() / int64(Tick)) }
