package tierworld_test

import "fmt"

func kill(role string, no int, at float64) string { return processTrouble("kill", role, no, at) }

func wipe(role string, no int, at float64) string { return processTrouble("wipe", role, no, at) }

// processTrouble returns the TOML of a trouble that affects one process for a second.
func processTrouble(what, role string, no int, at float64) string {
	return trouble(fmt.Sprintf("what = %q", what), fmt.Sprintf("on = %q", role), fmt.Sprintf("no = %d", no),
		fmt.Sprintf("at_s = %f", at), "for_s = 1.0")
}
