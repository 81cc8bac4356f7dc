// Package memfs is an in-memory file system with fault injection, for tests. It can crash at any call and at any byte of a
// write, lose unsynced data, persist writes out of order, tear writes, flip bits, run out of space, stall syncs and return
// errors. Usage:
//
//	m := memfs.New()
//	m.Hook = func(c memfs.Call) memfs.Fault { return memfs.Fault{Crash: c.Index == 7, PartialBytes: c.Bytes / 2} }
//	... use m as a vfs.FS until it has crashed ...
//	next := m.AfterCrash(memfs.ProcessCrash, nil) // the state after the process was killed
//	next = m.AfterCrash(memfs.PowerLoss, random)  // a possible state after a loss of power
//
// SyncDir treats all files as members of one directory. An FS is safe for concurrent use.
package memfs

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"syscall"

	"emberquay/internal/vfs"
)

// ErrCrashed is returned by every call after a crash.
var ErrCrashed = errors.New("the process is gone")

// Call describes a call on the file system before it is executed.
type Call struct {
	Index int // from 0
	Op    string
	Name  string
	Bytes int // length of a write
}

// Fault is the fault to inject into a call; the zero value lets it succeed.
type Fault struct {
	Crash        bool  // the process crashes during the call
	PartialBytes int   // bytes that a crashing or failing write still writes
	Err          error // the call returns this error
	// StallUntil delays a sync until the channel is closed, without blocking other calls. The sync does not cover
	// writes made after it began.
	StallUntil <-chan struct{}
}

// CrashMode selects what a crash loses.
type CrashMode int

// The modes.
const (
	ProcessCrash CrashMode = iota // all written data survives
	PowerLoss                     // unsynced data may be lost, in any order
)

// FS is an in-memory vfs.FS.
type FS struct {
	Hook          func(Call) Fault // called before each call except Size and Close; nil: no faults
	CapacityBytes int64            // limit of the bytes of all files; 0: none

	mu           sync.Mutex
	names        map[string]*inode
	durableNames map[string]*inode // names as persisted by the last SyncDir
	unsyncedOps  []dirOp           // name changes since the last SyncDir
	calls        int
	crashed      bool
	locks        map[string]bool
}

type inode struct {
	data       []byte
	synced     []byte
	unsynced   []write // writes since the last sync, in order
	writeCount uint64  // writes ever made; the last ones are in unsynced
}

type write struct {
	offset int64
	data   []byte
}

type dirOp struct {
	name   string
	node   *inode // nil: the name is removed
	paired *dirOp // the other half of a rename: both persist or neither
}

// New returns an empty file system.
func New() *FS {
	return &FS{names: map[string]*inode{}, durableNames: map[string]*inode{}, locks: map[string]bool{}}
}

// CallCount returns the number of calls so far.
func (m *FS) CallCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// FileNames returns the names of all files, sorted.
func (m *FS) FileNames() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.names))
}

// UsedBytes returns the size of all files, each rounded up to blocks of 512 bytes.
func (m *FS) UsedBytes() (sum int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range m.names {
		sum += (int64(len(n.data)) + 511) / 512 * 512
	}
	return sum
}

// Data returns the bytes of a file; the caller may change them to simulate corruption.
func (m *FS) Data(name string) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n := m.names[name]; n != nil {
		return n.data
	}
	return nil
}

// Put adds a file whose name and data are already persisted.
func (m *FS) Put(name string, data []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := &inode{data: slices.Clone(data), synced: slices.Clone(data)}
	m.names[name], m.durableNames[name] = n, n
}

// AfterCrash returns the file system as found after a crash. All further calls on the old one fail.
func (m *FS) AfterCrash(mode CrashMode, random *rand.Rand) *FS {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashed = true
	next := New()
	found := maps.Clone(m.names)
	if mode == PowerLoss {
		found = maps.Clone(m.durableNames)
		all, none := random.IntN(4) == 0, random.IntN(4) == 0
		for _, op := range m.unsyncedOps { // each may have been persisted on its own
			if all || !none && random.IntN(2) == 0 {
				for o := &op; o != nil; o = o.paired {
					if o.node == nil {
						delete(found, o.name)
					} else {
						found[o.name] = o.node
					}
				}
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(found)) {
		n := found[name]
		data := slices.Clone(n.data)
		if mode == PowerLoss {
			data = n.afterPowerLoss(random)
		}
		next.Put(name, data)
	}
	return next
}

// afterPowerLoss returns a possible content of the file: the synced data and any part of the later writes.
func (n *inode) afterPowerLoss(random *rand.Rand) []byte {
	data := slices.Clone(n.synced)
	all, none := random.IntN(4) == 0, random.IntN(4) == 0
	for _, w := range n.unsynced {
		switch {
		case all:
			data = overlay(data, w.offset, w.data)
		case none:
		case random.IntN(3) == 0:
		case random.IntN(3) == 0: // torn
			data = overlay(data, w.offset, w.data[:random.IntN(len(w.data)+1)])
		default:
			data = overlay(data, w.offset, w.data)
		}
	}
	return data
}

// overlay writes bytes at an offset and fills a gap with zeros.
func overlay(data []byte, offset int64, with []byte) []byte {
	if end := int(offset) + len(with); end > len(data) && len(with) > 0 {
		data = append(data, make([]byte, end-len(data))...)
	}
	copy(data[min(int(offset), len(data)):], with)
	return data
}

// beginCall counts the call and applies the hook; the caller holds mu.
func (m *FS) beginCall(op, name string, bytes int) (Fault, error) {
	if m.crashed {
		return Fault{}, ErrCrashed
	}
	c := Call{m.calls, op, name, bytes}
	m.calls++
	var fault Fault
	if m.Hook != nil {
		fault = m.Hook(c)
	}
	if fault.Crash {
		m.crashed = true
		return fault, ErrCrashed
	}
	if fault.Err != nil {
		return fault, &fs.PathError{Op: op, Path: name, Err: fault.Err}
	}
	return fault, nil
}

// MkdirAll has no effect: directories exist implicitly.
func (m *FS) MkdirAll(dir string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, err := m.beginCall("mkdir", dir, 0)
	return err
}

type file struct {
	m        *FS
	node     *inode
	name     string
	readOnly bool
}

// Create creates a file or replaces it with an empty one.
func (m *FS) Create(name string) (vfs.File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, err := m.beginCall("create", name, 0); err != nil {
		return nil, err
	}
	n := &inode{}
	m.names[name] = n
	m.unsyncedOps = append(m.unsyncedOps, dirOp{name: name, node: n})
	return &file{m: m, node: n, name: name}, nil
}

// Open opens a file for reading.
func (m *FS) Open(name string) (vfs.File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, err := m.beginCall("open", name, 0); err != nil {
		return nil, err
	}
	n := m.names[name]
	if n == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return &file{m: m, node: n, name: name, readOnly: true}, nil
}

// OpenReadWrite opens an existing file for reading and writing without truncating it.
func (m *FS) OpenReadWrite(name string) (vfs.File, error) {
	f, err := m.Open(name)
	if err != nil {
		return nil, err
	}
	opened := f.(*file)
	opened.readOnly = false
	return opened, nil
}

// Remove removes a file.
func (m *FS) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, err := m.beginCall("remove", name, 0); err != nil {
		return err
	}
	if m.names[name] == nil {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	delete(m.names, name)
	m.unsyncedOps = append(m.unsyncedOps, dirOp{name: name})
	return nil
}

// Rename renames a file.
func (m *FS) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, err := m.beginCall("rename", from, 0); err != nil {
		return err
	}
	n := m.names[from]
	if n == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	delete(m.names, from)
	m.names[to] = n
	m.unsyncedOps = append(m.unsyncedOps, dirOp{name: from, paired: &dirOp{name: to, node: n}})
	return nil
}

// List returns the sorted names of the files in a directory.
func (m *FS) List(dir string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, err := m.beginCall("list", dir, 0); err != nil {
		return nil, err
	}
	var names []string
	for name := range m.names {
		if filepath.Dir(name) == filepath.Clean(dir) {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

// SyncDir persists the names of all files.
func (m *FS) SyncDir(dir string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, err := m.beginCall("syncdir", dir, 0); err != nil {
		return err
	}
	m.durableNames, m.unsyncedOps = maps.Clone(m.names), nil
	return nil
}

type lock struct {
	m    *FS
	name string
}

func (l lock) Close() error {
	l.m.mu.Lock()
	defer l.m.mu.Unlock()
	delete(l.m.locks, l.name)
	return nil
}

// Lock locks a name.
func (m *FS) Lock(name string) (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, err := m.beginCall("lock", name, 0); err != nil {
		return nil, err
	}
	if m.locks[name] {
		return nil, fmt.Errorf("%s: %w", name, vfs.ErrLocked)
	}
	m.locks[name] = true
	return lock{m, name}, nil
}

func (f *file) ReadAt(p []byte, offset int64) (int, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if _, err := f.m.beginCall("read", f.name, 0); err != nil {
		return 0, err
	}
	if offset >= int64(len(f.node.data)) {
		return 0, io.EOF
	}
	n := copy(p, f.node.data[offset:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

func (f *file) WriteAt(p []byte, offset int64) (int, error) {
	m := f.m
	m.mu.Lock()
	defer m.mu.Unlock()
	if f.readOnly {
		return 0, &fs.PathError{Op: "write", Path: f.name, Err: syscall.EBADF}
	}
	fault, err := m.beginCall("write", f.name, len(p))
	n := len(p)
	if err != nil {
		n = 0
		if fault.Crash || fault.Err != nil {
			n = max(0, min(fault.PartialBytes, len(p)))
		}
	} else if m.CapacityBytes > 0 {
		used := int64(0)
		for _, o := range m.names {
			used += int64(len(o.data))
		}
		if free := m.CapacityBytes - used; offset+int64(n)-int64(len(f.node.data)) > free {
			n = int(max(0, min(int64(n), free+int64(len(f.node.data))-offset)))
			err = &fs.PathError{Op: "write", Path: f.name, Err: syscall.ENOSPC}
		}
	}
	if n > 0 {
		f.node.data = overlay(f.node.data, offset, p[:n])
		f.node.unsynced = append(f.node.unsynced, write{offset, slices.Clone(p[:n])})
		f.node.writeCount++
	}
	return n, err
}

func (f *file) Sync() error {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	fault, err := f.m.beginCall("sync", f.name, 0)
	if err != nil {
		return err
	}
	data, syncedWrites := slices.Clone(f.node.data), f.node.writeCount
	if fault.StallUntil != nil {
		f.m.mu.Unlock()
		<-fault.StallUntil
		f.m.mu.Lock()
		if f.m.crashed {
			return ErrCrashed
		}
	}
	f.node.finishSync(data, syncedWrites)
	return nil
}

// finishSync persists data, which includes the first syncedWrites writes, unless a later sync has already finished.
func (n *inode) finishSync(data []byte, syncedWrites uint64) {
	unsynced := n.writeCount - syncedWrites
	if unsynced > uint64(len(n.unsynced)) {
		return
	}
	n.synced = data
	n.unsynced = n.unsynced[uint64(len(n.unsynced))-unsynced:]
}

func (f *file) Size() (int64, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if f.m.crashed {
		return 0, ErrCrashed
	}
	return int64(len(f.node.data)), nil
}

// Grow extends the file by a write of zeros.
func (f *file) Grow(size int64) error {
	f.m.mu.Lock()
	current := int64(len(f.node.data))
	f.m.mu.Unlock()
	if current >= size {
		return nil
	}
	_, err := f.WriteAt(make([]byte, size-current), current)
	return err
}

func (f *file) Close() error { return nil }
