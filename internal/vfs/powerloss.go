//go:build powerloss

package vfs

import (
	"errors"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

// wrap returns a file that keeps what was written and not synced in memory, so that SIGKILL is to this program what a loss of
// power is to a machine. Only the laboratory builds the program so.
func wrap(f *os.File) File { return &volatileFile{osFile: osFile{f}} }

// syncTime is how long a sync takes at least, as on a slow disk: what was answered without waiting for it is lost more often.
const syncTime = 10 * time.Millisecond

// sectorBytes is the length of the pieces in which a sync writes, in any order: a kill in its middle leaves some of them.
const sectorBytes = 4 << 10

// volatileFile is a file whose writes reach the operating system at the next Sync or Close. mutex guards writes.
type volatileFile struct {
	osFile
	mutex  sync.Mutex
	writes []volatileWrite // in order
}

type volatileWrite struct {
	offset int64
	data   []byte
}

func (w volatileWrite) end() int64 { return w.offset + int64(len(w.data)) }

// WriteAt keeps a copy of the bytes.
func (f *volatileFile) WriteAt(b []byte, offset int64) (int, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.writes = append(f.writes, volatileWrite{offset: offset, data: append([]byte(nil), b...)})
	return len(b), nil
}

// ReadAt reads what the file would hold if all writes had reached it.
func (f *volatileFile) ReadAt(b []byte, offset int64) (int, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	n, err := f.osFile.ReadAt(b, offset)
	if err != nil && !errors.Is(err, io.EOF) {
		return n, err
	}
	clear(b[n:])
	for _, w := range f.writes {
		from, to := max(offset, w.offset), min(offset+int64(len(b)), w.end())
		if from < to {
			copy(b[from-offset:to-offset], w.data[from-w.offset:])
			n = max(n, int(to-offset))
		}
	}
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

// Size returns the size that the file would have if all writes had reached it.
func (f *volatileFile) Size() (int64, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	size, err := f.osFile.Size()
	for _, w := range f.writes {
		size = max(size, w.end())
	}
	return size, err
}

// Sync writes everything, in sectors in a random order, and syncs the file.
func (f *volatileFile) Sync() error {
	time.Sleep(syncTime)
	if err := f.flush(); err != nil {
		return err
	}
	return f.osFile.Sync()
}

// Close writes everything: the end of a process alone loses nothing.
func (f *volatileFile) Close() error {
	return errors.Join(f.flush(), f.osFile.Close())
}

func (f *volatileFile) flush() error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, w := range f.writes {
		sectors := (len(w.data) + sectorBytes - 1) / sectorBytes
		for _, sector := range rand.Perm(sectors) {
			from := sector * sectorBytes
			to := min(from+sectorBytes, len(w.data))
			if _, err := f.osFile.WriteAt(w.data[from:to], w.offset+int64(from)); err != nil {
				return err
			}
		}
	}
	f.writes = nil
	return nil
}
