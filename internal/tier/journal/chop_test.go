package journal_test

import (
	"math/rand/v2"

	"emberquay/internal/vfs"
)

// splitWrites splits writes into pieces, as a disk does into sectors: each piece may be lost on its own.
type splitWrites struct {
	vfs.FS
	random *rand.Rand
}

func (c splitWrites) Create(name string) (vfs.File, error) {
	f, err := c.FS.Create(name)
	return splitWritesFile{f, c.random}, err
}

func (c splitWrites) OpenReadWrite(name string) (vfs.File, error) {
	f, err := c.FS.OpenReadWrite(name)
	return splitWritesFile{f, c.random}, err
}

type splitWritesFile struct {
	vfs.File
	random *rand.Rand
}

// pieceBytes divides all frame lengths of the test, so that frames start at the boundary of a piece.
const pieceBytes = 12

func (f splitWritesFile) WriteAt(p []byte, at int64) (int, error) {
	written := 0
	for written < len(p) {
		n := min(len(p)-written, pieceBytes*(1+f.random.IntN(4)))
		count, err := f.File.WriteAt(p[written:written+n], at+int64(written))
		written += count
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
