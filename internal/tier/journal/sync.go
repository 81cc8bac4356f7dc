package journal

import (
	"github.com/rotisserie/eris"
)

// maxSpareBufferBytes limits the buffer kept for reuse, so that one long record does not hold memory afterwards.
const maxSpareBufferBytes = 64 << 10

// Sync writes all records appended before the call to the disk, in order; concurrent calls wait for it. After an error
// nothing is dropped: the next Sync writes the same bytes to the same offsets again, since the kernel may mark a page clean
// though its fsync failed. Only a Sync that returns nil means that the records are on the disk. vfs.IsFull recognizes a
// full disk.
func (j *Journal) Sync() error {
	j.syncMu.Lock()
	defer j.syncMu.Unlock()
	j.mu.RLock()
	count := len(j.pending)
	j.mu.RUnlock()
	for range count {
		if err := j.syncFirst(); err != nil {
			return err
		}
	}
	return nil
}

// syncFirst writes and syncs the first pending write. Only Sync removes pending writes, so it stays the first; Append may
// extend its data meanwhile.
func (j *Journal) syncFirst() error {
	j.mu.RLock()
	if len(j.pending) == 0 {
		j.mu.RUnlock()
		return nil
	}
	first := j.pending[0]
	data := first.data
	j.mu.RUnlock()
	slot := first.segment.slot
	if first.offset == 0 {
		if err := j.prepareFile(slot); err != nil {
			return err
		}
	}
	if _, err := slot.file.WriteAt(data, first.offset); err != nil {
		return eris.Wrapf(err, "journal: writing %s", slot.path)
	}
	if err := slot.file.Sync(); err != nil {
		return eris.Wrapf(err, "journal: syncing %s", slot.path)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(first.data) > len(data) {
		first.data = first.data[len(data):]
		first.offset += int64(len(data))
		return nil
	}
	j.pending = j.pending[1:]
	if len(j.pending) == 0 {
		j.pending = nil
	}
	if cap(data) <= maxSpareBufferBytes {
		j.spareBuffer = data[:0]
	}
	return nil
}

// prepareFile creates the file of a slot if needed, at its full size, and syncs its directory entry.
func (j *Journal) prepareFile(s *slot) error {
	if s.file == nil {
		file, err := j.options.Files.Create(s.path)
		if err != nil {
			return eris.Wrapf(err, "journal: creating %s", s.path)
		}
		j.mu.Lock()
		s.file = file
		j.mu.Unlock()
	}
	if err := s.file.Grow(s.size); err != nil {
		return eris.Wrapf(err, "journal: growing %s", s.path)
	}
	if s.nameSynced {
		return nil
	}
	if err := s.file.Sync(); err != nil {
		return eris.Wrapf(err, "journal: syncing %s", s.path)
	}
	if err := j.options.Files.SyncDir(j.options.Dir); err != nil {
		return eris.Wrapf(err, "journal: syncing %s", j.options.Dir)
	}
	s.nameSynced = true
	return nil
}
