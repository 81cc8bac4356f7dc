// Package vfs abstracts the file operations of the packages that store data, so that tests can inject disk faults (see
// internal/vfs/memfs). Usage:
//
//	fs := vfs.OS{}
//	f, err := fs.Create(filepath.Join(dir, "seg-00000001"))
//	_, err = f.WriteAt(record, 0)
//	err = f.Sync()        // persists the data
//	err = fs.SyncDir(dir) // persists the name
//
// Without both syncs the data survives the end of the process, but not a loss of power.
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
	// Grow extends the file to at least size bytes; the added bytes read as zeros.
	Grow(size int64) error
}

// FS is a file system. Its errors are those of package os, so errors.Is(err, fs.ErrNotExist) and IsFull work on them.
type FS interface {
	MkdirAll(dir string) error
	Create(name string) (File, error) // for reading and writing; truncates an existing file
	Open(name string) (File, error)   // for reading
	// OpenReadWrite opens an existing file for reading and writing without truncating it.
	OpenReadWrite(name string) (File, error)
	Remove(name string) error
	Rename(from, to string) error
	List(dir string) ([]string, error) // sorted names of the regular files
	SyncDir(dir string) error
	// Lock locks a file for this process and writes the owner into it; ErrLocked if another process holds the lock.
	// The lock ends with Close or with the process.
	Lock(name string) (io.Closer, error)
}

// ErrLocked means that another process holds the lock.
var ErrLocked = errors.New("in use by another process")

// IsFull reports whether an error means that the disk is out of space.
func IsFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG)
}

// OS is the file system of the operating system.
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

// MkdirAll creates a directory that only its owner can access.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, 0o700) }

// Create creates a file or truncates an existing one.
func (OS) Create(name string) (File, error) {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, err
	}
	return wrap(f), nil
}

// Open opens a file for reading.
func (OS) Open(name string) (File, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	return wrap(f), nil
}

// OpenReadWrite opens an existing file for reading and writing without truncating it.
func (OS) OpenReadWrite(name string) (File, error) {
	f, err := os.OpenFile(name, os.O_RDWR, 0)
	if err != nil {
		return nil, err
	}
	return wrap(f), nil
}

// Remove removes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// Rename renames a file atomically.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// List returns the sorted names of the regular files of a directory.
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

// SyncDir persists the names in a directory.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Lock locks a file with flock.
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
	// Record the owner for the error of other processes. A full disk must not prevent the lock.
	if f.Truncate(0) == nil {
		f.WriteAt(fmt.Appendf(nil, "process %d\n", os.Getpid()), 0)
	}
	return f, nil
}
