package tierworld_test

import "fmt"

func kill(role string, no int, at float64) string { return onProcess("kill", role, no, at) }

func wipe(role string, no int, at float64) string { return onProcess("wipe", role, no, at) }

// onProcess is a trouble of a second of one process.
func onProcess(what, role string, no int, at float64) string {
	return trouble(fmt.Sprintf("what = %q", what), fmt.Sprintf("on = %q", role), fmt.Sprintf("no = %d", no),
		fmt.Sprintf("at_s = %f", at), "for_s = 1.0")
}
