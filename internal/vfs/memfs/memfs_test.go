package memfs_test

import (
	"errors"
	"math/rand/v2"
	"syscall"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/internal/vfs"
	"emberquay/internal/vfs/memfs"
)

func TestMemfs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "memfs")
}

const name = "dir/file"

// newFile returns a file system with a file whose name is persisted and whose data is not.
func newFile(bytes string) (*memfs.FS, vfs.File) {
	m := memfs.New()
	f, err := m.Create(name)
	Expect(err).NotTo(HaveOccurred())
	Expect(m.SyncDir("dir")).To(Succeed())
	write(f, bytes, 0)
	return m, f
}

func write(f vfs.File, bytes string, offset int64) {
	_, err := f.WriteAt([]byte(bytes), offset)
	Expect(err).NotTo(HaveOccurred())
}

// shortestAfterPowerLoss returns the data that is certain to survive a loss of power: the shortest of many random outcomes.
func shortestAfterPowerLoss(m *memfs.FS) string {
	shortest := "more than was written"
	for seed := range uint64(200) {
		left := string(m.AfterCrash(memfs.PowerLoss, rand.New(rand.NewPCG(seed, 1))).Data(name))
		if len(left) < len(shortest) {
			shortest = left
		}
	}
	return shortest
}

var _ = Describe("a stalled sync", func() {
	var m *memfs.FS
	var f vfs.File
	var release chan struct{}
	var ended chan error

	BeforeEach(func() {
		m, f = newFile("one")
		release, ended = make(chan struct{}), make(chan error, 1)
		asked := make(chan struct{})
		m.Hook = func(c memfs.Call) memfs.Fault {
			if c.Op != "sync" {
				return memfs.Fault{}
			}
			close(asked)
			return memfs.Fault{StallUntil: release}
		}
		go func() { ended <- f.Sync() }()
		<-asked
	})

	It("blocks no other call and persists nothing before it returns", func() {
		write(f, "two", 3)
		Expect(f.Size()).To(BeEquivalentTo(6))
		Expect(ended).NotTo(Receive())
		Expect(shortestAfterPowerLoss(m)).To(BeEmpty())
		close(release)
		Expect(<-ended).To(MatchError(memfs.ErrCrashed))
	})

	It("covers only writes made before it began", func() {
		write(f, "two", 3)
		close(release)
		Expect(<-ended).To(Succeed())
		Expect(shortestAfterPowerLoss(m)).To(Equal("one"))
	})
})

var _ = Describe("a full disk", func() {
	It("writes a part, reports the error, and writes the rest once there is space", func() {
		m, f := newFile("one")
		m.CapacityBytes = 4
		n, err := f.WriteAt([]byte("two"), 3)
		Expect(n).To(Equal(1))
		Expect(vfs.IsFull(err)).To(BeTrue())
		Expect(errors.Is(err, syscall.ENOSPC)).To(BeTrue())
		m.CapacityBytes = 6
		write(f, "two", 3)
		Expect(f.Sync()).To(Succeed())
		Expect(shortestAfterPowerLoss(m)).To(Equal("onetwo"))
	})
})
