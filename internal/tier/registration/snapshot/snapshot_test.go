package snapshot_test

import (
	"math/rand/v2"
	"path/filepath"
	"testing"

	"emberquay/internal/tier/cluster"
	"emberquay/internal/tier/registration/snapshot"
	"emberquay/internal/vfs"
	"emberquay/internal/vfs/memfs"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSnapshot(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "snapshot")
}

func exampleEntries() []cluster.Entry {
	return []cluster.Entry{
		{Key: "receiver/i-1", Value: []byte("one"), Stamp: cluster.Stamp{Epoch: 4, Origin: "front-1"}},
		{Key: "receiver/i-2", Value: []byte("two"), Stamp: cluster.Stamp{Epoch: 1 << 62, Sequence: 1, Origin: "front-2"}},
	}
}

var _ = Describe("the stored entries", func() {
	It("are empty without a file", func() {
		Expect(snapshot.File{FS: vfs.OS{}, Dir: GinkgoT().TempDir()}.Load()).To(BeEmpty())
	})

	It("are loaded with their stamps, as last saved", func() {
		file := snapshot.File{FS: vfs.OS{}, Dir: GinkgoT().TempDir()}
		Expect(file.Save(exampleEntries()[:1])).To(Succeed())
		Expect(file.Save(exampleEntries())).To(Succeed())
		Expect(file.Load()).To(Equal(exampleEntries()))
	})

	It("are empty where the file is corrupt", func() {
		file := snapshot.File{FS: vfs.OS{}, Dir: GinkgoT().TempDir()}
		Expect(file.Save(exampleEntries())).To(Succeed())
		damaged, err := vfs.OS{}.OpenReadWrite(filepath.Join(file.Dir, "known"))
		Expect(err).NotTo(HaveOccurred())
		_, err = damaged.WriteAt([]byte{0xff}, 3)
		Expect(err).NotTo(HaveOccurred())
		Expect(damaged.Close()).To(Succeed())
		Expect(file.Load()).To(BeEmpty())
		_, err = file.LoadStrict()
		Expect(err).To(MatchError(snapshot.ErrCorrupt))
	})

	It("survive a loss of power once they are saved", func() {
		disk := memfs.New()
		file := snapshot.File{FS: disk, Dir: "/data"}
		Expect(disk.MkdirAll("/data")).To(Succeed())
		Expect(file.Save(exampleEntries())).To(Succeed())
		Expect(snapshot.File{FS: disk.AfterCrash(memfs.PowerLoss, rand.New(rand.NewPCG(1, 2))), Dir: "/data"}.Load()).To(Equal(exampleEntries()))
	})
})

func FuzzLoad(f *testing.F) {
	f.Add([]byte("12345678"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		file := snapshot.File{FS: vfs.OS{}, Dir: t.TempDir()}
		written, err := vfs.OS{}.Create(filepath.Join(file.Dir, "known"))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := written.WriteAt(raw, 0); err != nil {
			t.Fatal(err)
		}
		if err := written.Close(); err != nil {
			t.Fatal(err)
		}
		if _, err := file.Load(); err != nil {
			t.Fatal(err)
		}
	})
}
