// Package snapshot keeps entries of the cluster's table that a control node knows on its disk, so that the
// tier knows them again at once when all of it was down: the receivers above all, to which nothing could be
// sent until each has sent a heartbeat.
//
//	file := snapshot.File{FS: vfs.OS{}, Dir: dir}
//	entries, err := file.Load()
//	err = file.Save(entries)
//
// The list is soft state: what the file lacks is learnt anew, and what is outdated in it is replaced by newer
// stamps or, of a receiver, found out by the first call, as each call names the instance that it means. So a
// file that is not there or not whole is an empty list.
package snapshot

import (
	"errors"
	"io/fs"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"emberquay/internal/tier/cluster"
	"emberquay/internal/tier/transport"
	"emberquay/internal/vfs"
)

// FileName is the file's name in its folder.
const FileName = "known"

const (
	// newName is that of the next one, which is written beside it first.
	newName = "known.new"
	// maxBytes bounds the file: the largest configuration and many receivers.
	maxBytes = 12 << 20
	sumBytes = 8
)

type entry struct {
	Key      string `avro:"key"`
	Value    []byte `avro:"value"`
	Epoch    int64  `avro:"epoch"`
	Sequence int64  `avro:"sequence"`
	Origin   string `avro:"origin"`
}

type list struct {
	Entries []entry `avro:"entries"`
}

var lists = transport.MustCodec[list](`{"type":"record","name":"List","fields":[
	{"name":"entries","type":{"type":"array","items":{"type":"record","name":"Entry","fields":[
		{"name":"key","type":"string"},
		{"name":"value","type":"bytes"},
		{"name":"epoch","type":"long"},
		{"name":"sequence","type":"long"},
		{"name":"origin","type":"string"}]}}}]}`)

// File is where the list is kept.
type File struct {
	FS  vfs.FS
	Dir string
}

// ErrCorrupt: the file is not a whole list.
var ErrCorrupt = eris.New("not a whole list of known entries")

// Load reads the list; nil where there is none or not a whole one. Errors: those of the disk.
func (f File) Load() ([]cluster.Entry, error) {
	entries, err := f.LoadStrict()
	if errors.Is(err, ErrCorrupt) {
		return nil, nil
	}
	return entries, err
}

// LoadStrict reads the list as Load does; nil where there is none. Errors: ErrCorrupt, or the disk's.
func (f File) LoadStrict() ([]cluster.Entry, error) {
	file, err := f.FS.Open(filepath.Join(f.Dir, FileName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "known entries")
	}
	defer file.Close()
	size, err := file.Size()
	if err != nil {
		return nil, eris.Wrap(err, "known entries")
	}
	if size < sumBytes || size > maxBytes {
		return nil, ErrCorrupt
	}
	raw := make([]byte, size)
	if _, err := file.ReadAt(raw, 0); err != nil {
		return nil, eris.Wrap(err, "known entries")
	}
	return parse(raw)
}

// parse reads the bytes of a list. Error: ErrCorrupt.
func parse(raw []byte) ([]cluster.Entry, error) {
	body := raw[:len(raw)-sumBytes]
	if string(raw[len(body):]) != string(sum(body)) {
		return nil, ErrCorrupt
	}
	kept, err := lists.Decode(body)
	if err != nil {
		return nil, ErrCorrupt
	}
	entries := make([]cluster.Entry, 0, len(kept.Entries))
	for _, e := range kept.Entries {
		stamp := cluster.Stamp{Epoch: uint64(e.Epoch), Sequence: uint64(e.Sequence), Origin: e.Origin}
		entries = append(entries, cluster.Entry{Key: e.Key, Value: e.Value, Stamp: stamp})
	}
	return entries, nil
}

func sum(body []byte) []byte {
	digest := xxhash.New()
	_, _ = digest.Write(body)
	return digest.Sum(nil)
}

// Save writes the list in the place of the one before, in one step. It is on the disk when it returns nil.
func (f File) Save(entries []cluster.Entry) error {
	kept := list{Entries: make([]entry, 0, len(entries))}
	for _, e := range entries {
		kept.Entries = append(kept.Entries, entry{Key: e.Key, Value: e.Value, Epoch: int64(e.Stamp.Epoch),
			Sequence: int64(e.Stamp.Sequence), Origin: e.Stamp.Origin})
	}
	body, err := lists.Encode(kept)
	if err != nil || len(body) > maxBytes-sumBytes {
		return eris.Wrapf(err, "known entries: %d bytes", len(body))
	}
	if err := f.write(append(body, sum(body)...)); err != nil {
		return eris.Wrap(err, "known entries")
	}
	return nil
}

func (f File) write(raw []byte) error {
	from := filepath.Join(f.Dir, newName)
	file, err := f.FS.Create(from)
	if err != nil {
		return err
	}
	_, err = file.WriteAt(raw, 0)
	if err == nil {
		err = file.Sync()
	}
	if closing := file.Close(); err == nil {
		err = closing
	}
	if err != nil {
		return err
	}
	if err := f.FS.Rename(from, filepath.Join(f.Dir, FileName)); err != nil {
		return err
	}
	return f.FS.SyncDir(f.Dir)
}
