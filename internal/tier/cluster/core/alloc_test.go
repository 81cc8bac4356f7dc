package core_test

import (
	"encoding/binary"
	"runtime"
	"testing"

	"emberquay/internal/tier/cluster/core"
)

// TestDecodeBoundsAllocation checks that a short message that announces a huge array does not allocate memory for it.
func TestDecodeBoundsAllocation(t *testing.T) {
	data := []byte{0, 0, 0}
	data = binary.AppendVarint(data, 15<<20)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := core.EnvelopeCodec.Decode(data)
	runtime.ReadMemStats(&after)
	t.Logf("%v, %d bytes allocated", err, after.TotalAlloc-before.TotalAlloc)
	if err == nil || after.TotalAlloc-before.TotalAlloc > 64<<20 {
		t.Errorf("error %v, %d MB allocated for %d bytes", err, (after.TotalAlloc-before.TotalAlloc)>>20, len(data))
	}
}
