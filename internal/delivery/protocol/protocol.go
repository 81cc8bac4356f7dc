// Package protocol contains the definitions of the socket protocol that several packages need.
package protocol

import (
	"time"

	"emberquay/control"
)

// The headers that clients send and receivers get.
const (
	IDHeader             = "X-Call-Id"
	IdempotencyKeyHeader = "Idempotency-Key" // identifies repeated requests
	BudgetHeader         = "X-Budget"        // in seconds, with decimals
)

// Tick is the time unit of package control.
const Tick = time.Second / time.Duration(control.Second)

// Ticks converts a duration to ticks, rounded down.
func Ticks(d time.Duration) control.Time { return control.Time(d / Tick) }

// Duration converts ticks to a duration.
func Duration(t control.Time) time.Duration { return time.Duration(t) * Tick }

// UnixTicks converts a time to ticks since the Unix epoch, rounded down.
func UnixTicks(t time.Time) control.Time { return control.Time(t.UnixNano() / int64(Tick)) }
