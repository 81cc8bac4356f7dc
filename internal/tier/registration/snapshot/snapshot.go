// Package snapshot stores a control node's entries of the cluster's table on disk, so that the tier has them at once
// after all of it was down. This matters above all for receivers: without their entries nothing could be sent to a
// receiver until it has sent a heartbeat.
//
//	file := snapshot.File{FS: vfs.OS{}, Dir: dir}
//	entries, err := file.Load()
//	err = file.Save(entries)
//
// The entries are soft state. Missing ones are learnt again from the cluster. Outdated ones are replaced by entries
// with newer stamps; an outdated receiver is also found by the first call to it, since each call names the instance
// that it is for. A missing or corrupt file therefore counts as empty.
package snapshot

import (
	"cmp"
	"errors"
	"io/fs"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"emberquay/internal/tier/cluster"
	"emberquay/internal/tier/transport"
	"emberquay/internal/vfs"
)

// FileName is the name of the file in File.Dir unless File.Name has another one.
const FileName = "known"

const (
	// tempSuffix is added to the name under which the next version is written before it replaces the file.
	tempSuffix = ".new"
	// maxBytes limits the file's size; it has room for the largest configuration and many receivers.
	maxBytes      = 12 << 20
	checksumBytes = 8
)

type entryRecord struct {
	Key      string `avro:"key"`
	Value    []byte `avro:"value"`
	Epoch    int64  `avro:"epoch"`
	Sequence int64  `avro:"sequence"`
	Origin   string `avro:"origin"`
}

type fileRecord struct {
	Entries []entryRecord `avro:"entries"`
}

var fileCodec = transport.MustCodec[fileRecord](`{"type":"record","name":"List","fields":[
	{"name":"entries","type":{"type":"array","items":{"type":"record","name":"Entry","fields":[
		{"name":"key","type":"string"},
		{"name":"value","type":"bytes"},
		{"name":"epoch","type":"long"},
		{"name":"sequence","type":"long"},
		{"name":"origin","type":"string"}]}}}]}`)

// File is the location of the stored entries.
type File struct {
	FS   vfs.FS
	Dir  string
	Name string // empty: FileName
}

func (f File) path() string { return filepath.Join(f.Dir, cmp.Or(f.Name, FileName)) }

// ErrCorrupt is returned where the file's size, checksum or encoding is wrong.
var ErrCorrupt = eris.New("not a whole list of known entries")

// Load reads the entries. It returns nil for a missing or corrupt file, and an error only for a failure of the disk.
func (f File) Load() ([]cluster.Entry, error) {
	entries, err := f.LoadStrict()
	if errors.Is(err, ErrCorrupt) {
		return nil, nil
	}
	return entries, err
}

// LoadStrict reads the entries as Load does, but returns ErrCorrupt for a corrupt file.
func (f File) LoadStrict() ([]cluster.Entry, error) {
	file, err := f.FS.Open(f.path())
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
	if size < checksumBytes || size > maxBytes {
		return nil, ErrCorrupt
	}
	raw := make([]byte, size)
	if _, err := file.ReadAt(raw, 0); err != nil {
		return nil, eris.Wrap(err, "known entries")
	}
	return parse(raw)
}

// parse decodes the bytes of the file. The only error is ErrCorrupt.
func parse(raw []byte) ([]cluster.Entry, error) {
	body := raw[:len(raw)-checksumBytes]
	if string(raw[len(body):]) != string(checksum(body)) {
		return nil, ErrCorrupt
	}
	record, err := fileCodec.Decode(body)
	if err != nil {
		return nil, ErrCorrupt
	}
	entries := make([]cluster.Entry, 0, len(record.Entries))
	for _, e := range record.Entries {
		stamp := cluster.Stamp{Epoch: uint64(e.Epoch), Sequence: uint64(e.Sequence), Origin: e.Origin}
		entries = append(entries, cluster.Entry{Key: e.Key, Value: e.Value, Stamp: stamp})
	}
	return entries, nil
}

func checksum(body []byte) []byte {
	digest := xxhash.New()
	_, _ = digest.Write(body)
	return digest.Sum(nil)
}

// Save replaces the file's entries atomically. They are durable when it returns nil.
func (f File) Save(entries []cluster.Entry) error {
	record := fileRecord{Entries: make([]entryRecord, 0, len(entries))}
	for _, e := range entries {
		record.Entries = append(record.Entries, entryRecord{Key: e.Key, Value: e.Value, Epoch: int64(e.Stamp.Epoch),
			Sequence: int64(e.Stamp.Sequence), Origin: e.Stamp.Origin})
	}
	body, err := fileCodec.Encode(record)
	if err != nil {
		return eris.Wrap(err, "known entries")
	}
	if len(body) > maxBytes-checksumBytes {
		return eris.Errorf("known entries: %d bytes, %d at most", len(body), maxBytes-checksumBytes)
	}
	if err := f.write(append(body, checksum(body)...)); err != nil {
		return eris.Wrap(err, "known entries")
	}
	return nil
}

func (f File) write(raw []byte) error {
	tempPath := f.path() + tempSuffix
	file, err := f.FS.Create(tempPath)
	if err != nil {
		return err
	}
	_, err = file.WriteAt(raw, 0)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	if err := f.FS.Rename(tempPath, f.path()); err != nil {
		return err
	}
	return f.FS.SyncDir(f.Dir)
}
