package journal

import (
	"github.com/rotisserie/eris"
)

// spareBytes bounds the buffer that is kept for the next records, so that one long record costs no memory afterwards.
const spareBytes = 64 << 10

// Sync brings all that was appended before the call to the disk, in order; calls that come meanwhile wait for it. After
// an error nothing is dropped: the next Sync writes the same bytes to the same places again (a page that a failed fsync
// left may be marked clean), and only its nil says that they are there. vfs.IsFull tells a full disk.
func (j *Journal) Sync() error {
	j.syncing.Lock()
	defer j.syncing.Unlock()
	j.mu.RLock()
	waiting := len(j.pending)
	j.mu.RUnlock()
	for range waiting {
		if err := j.syncFirst(); err != nil {
			return err
		}
	}
	return nil
}

// syncFirst brings the first chunk to the disk. Only Sync takes chunks away, so the first stays the first meanwhile;
// its data may grow behind what is written here.
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
		if err := j.prepare(slot); err != nil {
			return err
		}
	}
	if _, err := slot.file.WriteAt(data, first.offset); err != nil {
		return eris.Wrapf(err, "journal: writing %s", slot.name)
	}
	if err := slot.file.Sync(); err != nil {
		return eris.Wrapf(err, "journal: syncing %s", slot.name)
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
	if cap(data) <= spareBytes {
		j.spare = data[:0]
	}
	return nil
}

// prepare makes the file of a slot, at its whole size, where it is not there yet.
func (j *Journal) prepare(s *slot) error {
	if s.file == nil {
		file, err := j.options.Files.Create(s.name)
		if err != nil {
			return eris.Wrapf(err, "journal: making %s", s.name)
		}
		j.mu.Lock()
		s.file = file
		j.mu.Unlock()
	}
	if err := s.file.Grow(s.size); err != nil {
		return eris.Wrapf(err, "journal: growing %s", s.name)
	}
	if s.named {
		return nil
	}
	if err := s.file.Sync(); err != nil {
		return eris.Wrapf(err, "journal: syncing %s", s.name)
	}
	if err := j.options.Files.SyncDir(j.options.Dir); err != nil {
		return eris.Wrapf(err, "journal: syncing %s", j.options.Dir)
	}
	s.named = true
	return nil
}
