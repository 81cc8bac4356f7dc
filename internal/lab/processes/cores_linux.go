package processes

import (
	"golang.org/x/sys/unix"

	"github.com/rotisserie/eris"
)

// pin restricts the calling thread, and with it the processes that it starts, to some of the cores that it may use.
func pin(cores int) error {
	var allowed, chosen unix.CPUSet
	if err := unix.SchedGetaffinity(0, &allowed); err != nil {
		return eris.Wrap(err, "cores of this process")
	}
	for core := 0; chosen.Count() < cores; core++ {
		if core >= len(allowed)*bitsPerWord {
			return eris.Errorf("%d cores wanted, %d may be used", cores, allowed.Count())
		}
		if allowed.IsSet(core) {
			chosen.Set(core)
		}
	}
	return eris.Wrap(unix.SchedSetaffinity(0, &chosen), "restricting the processes to fewer cores")
}

// bitsPerWord is the number of cores in a word of a CPUSet.
const bitsPerWord = 64
