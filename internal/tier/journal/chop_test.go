package journal_test

import (
	"math/rand/v2"

	"emberquay/internal/vfs"
)

// chopping writes in pieces, as a disk writes sectors: each of them may be lost by itself.
type chopping struct {
	vfs.FS
	random *rand.Rand
}

func (c chopping) Create(name string) (vfs.File, error) {
	f, err := c.FS.Create(name)
	return choppedFile{f, c.random}, err
}

func (c chopping) OpenReadWrite(name string) (vfs.File, error) {
	f, err := c.FS.OpenReadWrite(name)
	return choppedFile{f, c.random}, err
}

type choppedFile struct {
	vfs.File
	random *rand.Rand
}

// pieceBytes divides the lengths of all frames of the test, so that frames begin where pieces do.
const pieceBytes = 12

func (f choppedFile) WriteAt(p []byte, at int64) (int, error) {
	done := 0
	for done < len(p) {
		n := min(len(p)-done, pieceBytes*(1+f.random.IntN(4)))
		wrote, err := f.File.WriteAt(p[done:done+n], at+int64(done))
		done += wrote
		if err != nil {
			return done, err
		}
	}
	return done, nil
}
