package chain_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A machine gets the disk of another cluster whose first members had the same addresses: its member has the id of a member
// here, and a later view. None of that state may be taken over. It is a test function of its own rather than a spec, so
// that KNOWN-RED.txt can name it alone.
func TestADiskOfAnotherClusterIsNotTakenOver(t *testing.T) {
	RegisterTestingT(t)
	other := newTestCluster("a", "b", "c")
	other.propose("a", 0, 111)
	other.stop("c") // the others continue in a later view
	other.runFor(3 * time.Second)
	other.propose("a", 1, 112)
	foreign := other.disks["a"]

	here := newTestCluster("a", "b", "c")
	here.propose("a", 0, 7)
	here.stop("a")
	here.disks["a"] = foreign
	here.start("a", false)
	here.runFor(5 * time.Second)
	here.read("b")
	here.runFor(time.Second)
	replies := here.replies["b"]
	Expect(replies).NotTo(BeEmpty())
	values, err := parseSnapshot(replies[len(replies)-1].Snapshot)
	Expect(err).NotTo(HaveOccurred())
	Expect(values).To(Equal([]uint64{7}))
}
