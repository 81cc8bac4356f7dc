// Package memfs is a file system in memory that fails as disks do, for tests: it can end at any call and at
// any byte of a write, lose what was not synced, keep what was written out of order, tear writes, flip bits,
// run full, stall, and give errors. How to use it:
//
//	m := memfs.New()
//	m.Hook = func(c memfs.Call) memfs.Fault { return memfs.Fault{Crash: c.Index == 7, PartialBytes: c.Bytes / 2} }
//	... use m as a vfs.FS until it has crashed ...
//	again := m.AfterCrash(memfs.ProcessCrash, nil) // as a killed process leaves it
//	again = m.AfterCrash(memfs.PowerLoss, chance) // as a machine that lost power may
//
// All files are in one folder as far as syncing names goes. It is safe for use by several goroutines.
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

// ErrCrashed is what every call gives after the crash.
var ErrCrashed = errors.New("the process is gone")

// Call is one call on the file system, before it is made.
type Call struct {
	Index int // from 0
	Op    string
	Name  string
	Bytes int // of a write
}

// Fault says what becomes of a call.
type Fault struct {
	Crash        bool  // the process ends within it
	PartialBytes int   // of a write that crashes or fails: so many bytes are written
	Err          error // it fails with this
	// StallUntil, of a sync: it returns only once this is closed; other calls go on meanwhile. What was written
	// after the sync began is not covered by it.
	StallUntil <-chan struct{}
}

// CrashMode is how much a crash loses.
type CrashMode int

// The modes.
const (
	ProcessCrash CrashMode = iota // all that was written stays
	PowerLoss                     // what was not synced may be lost, in any order
)

// FS is the file system.
type FS struct {
	Hook          func(Call) Fault // asked before each call that changes or reads; nil: all goes well
	CapacityBytes int64            // bytes of all files together; 0: any

	mu           sync.Mutex
	names        map[string]*inode
	durableNames map[string]*inode // names as they are on the disk
	unsyncedOps  []dirOp           // made since
	calls        int
	crashed      bool
	locks        map[string]bool
}

type inode struct {
	data       []byte
	synced     []byte
	unsynced   []write // since the last sync, in order
	writeCount uint64  // ever, dirty ones last
}

type write struct {
	offset int64
	data   []byte
}

type dirOp struct {
	name   string
	node   *inode // nil: removed
	paired *dirOp // the other half of a rename; both or neither
}

// New makes an empty one.
func New() *FS {
	return &FS{names: map[string]*inode{}, durableNames: map[string]*inode{}, locks: map[string]bool{}}
}

// CallCount counts the calls so far.
func (m *FS) CallCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// FileNames lists what is there.
func (m *FS) FileNames() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.names))
}

// UsedBytes counts the bytes of all files, each in whole blocks of 512.
func (m *FS) UsedBytes() (sum int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range m.names {
		sum += (int64(len(n.data)) + 511) / 512 * 512
	}
	return sum
}

// Data gives the bytes of a file; they may be changed, as a bad disk does.
func (m *FS) Data(name string) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n := m.names[name]; n != nil {
		return n.data
	}
	return nil
}

// Put lays a file down, as if it had always been there.
func (m *FS) Put(name string, data []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := &inode{data: slices.Clone(data), synced: slices.Clone(data)}
	m.names[name], m.durableNames[name] = n, n
}

// AfterCrash gives the file system as it is found after a crash; nothing of the old one can be used any more.
func (m *FS) AfterCrash(mode CrashMode, random *rand.Rand) *FS {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashed = true
	next := New()
	found := maps.Clone(m.names)
	if mode == PowerLoss {
		found = maps.Clone(m.durableNames)
		all, none := random.IntN(4) == 0, random.IntN(4) == 0
		for _, op := range m.unsyncedOps { // each may have got through by itself
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

// afterPowerLoss is what may be left of a file: what was synced, and any part of what was written since.
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

// overlay writes over bytes, with zeros where there were none before.
func overlay(data []byte, offset int64, with []byte) []byte {
	if end := int(offset) + len(with); end > len(data) && len(with) > 0 {
		data = append(data, make([]byte, end-len(data))...)
	}
	copy(data[min(int(offset), len(data)):], with)
	return data
}

// beginCall asks the hook; the lock is held.
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

// MkdirAll makes nothing: there is one folder.
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

// Create makes a file, or empties it.
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

// OpenReadWrite opens a file that is there for reading and writing, as it is.
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

// Rename gives a file another name.
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

// List names the files of a folder.
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

// SyncDir has the names on the disk.
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

// Lock takes a name.
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

// finishSync has on the disk what was written up to a count of writes, unless a later sync ended before.
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

// Grow counts as a write of zeros.
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
