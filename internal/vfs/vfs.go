// Package vfs is the seam between what is kept and the disk: the few calls that a keeper makes on files, so that tests
// can lose, tear, fill and break what a disk may (internal/vfs/memfs). How to use it:
//
//	fs := vfs.OS{}
//	f, err := fs.Create(filepath.Join(dir, "seg-00000001"))
//	_, err = f.WriteAt(record, 0)
//	err = f.Sync()       // what was written is on the disk
//	err = fs.SyncDir(dir) // and so is the name
//
// Without the two syncs what was written outlasts the process, but not the machine's loss of power.
package vfs

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"syscall"
)

// File is an open file.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	Sync() error
	Size() (int64, error)
	// Grow makes the file at least size bytes long; what is new reads as zeros.
	Grow(size int64) error
}

// FS is a file system as far as a keeper needs one. Errors are those of package os, so errors.Is(err, fs.ErrNotExist)
// and IsFull work on them.
type FS interface {
	MkdirAll(dir string) error
	Create(name string) (File, error) // for reading and writing, empty
	Open(name string) (File, error)   // for reading
	// OpenReadWrite opens a file that is there for reading and writing, as it is.
	OpenReadWrite(name string) (File, error)
	Remove(name string) error
	Rename(from, to string) error
	List(dir string) ([]string, error) // names of plain files, sorted
	SyncDir(dir string) error
	// Lock takes a file for one process, which is told in it; ErrLocked if another has it. It ends with Close, or with
	// the process.
	Lock(name string) (io.Closer, error)
}

// ErrLocked says that another process has the lock.
var ErrLocked = errors.New("in use by another process")

// IsFull says whether an error means that there is no room on the disk.
func IsFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG)
}

// OS is the real file system.
type OS struct{}

type osFile struct{ *os.File }

func (f osFile) Size() (int64, error) {
	i, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return i.Size(), nil
}

func (f osFile) Grow(size int64) error {
	current, err := f.Size()
	if err != nil || current >= size {
		return err
	}
	return f.Truncate(size)
}

// MkdirAll makes a folder for its owner alone.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, 0o700) }

// Create makes a file, or empties it.
func (OS) Create(name string) (File, error) {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Open opens a file for reading.
func (OS) Open(name string) (File, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// OpenReadWrite opens a file that is there for reading and writing, as it is.
func (OS) OpenReadWrite(name string) (File, error) {
	f, err := os.OpenFile(name, os.O_RDWR, 0)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Remove removes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// Rename gives a file another name, at once.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// List names the files of a folder.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

// SyncDir has the names of a folder on the disk.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Lock takes a file by flock.
func (OS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		owner, _ := os.ReadFile(name)
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("%s: %w (%s)", name, ErrLocked, strings.TrimSpace(string(owner)))
		}
		return nil, err
	}
	// Who has it, for the one that is refused. A full disk is no reason not to lock.
	if f.Truncate(0) == nil {
		f.WriteAt(fmt.Appendf(nil, "process %d\n", os.Getpid()), 0)
	}
	return f, nil
}
