package settings_test

import (
	"testing"

	"emberquay/internal/tier/settings"
)

// FuzzParse checks that any text is either refused or gives settings on which the methods of Node work.
func FuzzParse(f *testing.F) {
	f.Add([]byte(frontFile))
	f.Add([]byte(storeFile))
	f.Add([]byte(""))
	f.Add([]byte("internal_ports = [1, 2]\nzones = 1"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		node, err := settings.Parse(raw)
		if err != nil {
			if node != nil {
				t.Fatalf("settings returned together with the error %v", err)
			}
			return
		}
		if got := len(node.SeedInternalAddresses()); got != len(node.Seeds) {
			t.Fatalf("%d internal addresses for the seeds %q", got, node.Seeds)
		}
		if node.InternalPorts[0]+int(settings.Store) > node.InternalPorts[1] {
			t.Fatalf("no port for a store in %v", node.InternalPorts)
		}
		if node.HeartbeatInterval <= 0 || node.Bounds.TerminationGrace < 0 || node.Limits.MemoryMB <= 0 {
			t.Fatalf("%+v", node)
		}
	})
}
