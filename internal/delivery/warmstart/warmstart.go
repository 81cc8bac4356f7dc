// Package warmstart keeps what a sender has learnt of its receivers from one process to the next: a file that is written
// when it stops and read, once, when the next one starts.
//
//	known, err := warmstart.Read(path, now) // nil, nil where there is none
//	err = warmstart.Write(path, now, receivers)
//
// What cannot be read, or was written by a clock ahead of ours, is an error and counts for nothing: the sender then
// starts afresh, as it does without the file.
package warmstart

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"

	"emberquay/control"
)

// Receiver is one lesson and whose it is. The three that say whose have to be found again in the new list: an address that has
// become another destination's means nothing any more.
type Receiver struct {
	Addr        string `json:"addr"`
	Destination int64  `json:"dest"`
	Kind        string `json:"kind"`
	control.ReceiverHistory
}

type fileContent struct {
	At        control.Time `json:"at"`
	Receivers []Receiver   `json:"receivers"`
}

// The most that is written and read: a file that somebody else made large must not fill the memory.
const (
	maxReceivers = 4096
	maxFileBytes = 4 << 20
)

// Write replaces the file, whole or not at all.
func Write(path string, now control.Time, all []Receiver) error {
	raw, err := json.Marshal(fileContent{now, all[:min(len(all), maxReceivers)]})
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// Read reads it.
func Read(path string, now control.Time) ([]Receiver, error) {
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, err
	}
	if len(raw) > maxFileBytes {
		return nil, fmt.Errorf("%s: over %d bytes", path, maxFileBytes)
	}
	return parse(path, raw, now)
}

func parse(path string, raw []byte, now control.Time) ([]Receiver, error) {
	var content fileContent
	if err := json.Unmarshal(raw, &content); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	switch {
	case content.At <= 0 || content.At > now:
		return nil, fmt.Errorf("%s: at: written at %d, which is not before now", path, content.At)
	case len(content.Receivers) > maxReceivers:
		return nil, fmt.Errorf("%s: receivers: over %d", path, maxReceivers)
	}
	for i, r := range content.Receivers {
		for _, at := range append([]control.Time{r.RecoveredAt, r.FailedSince, r.RefusedSince, r.RefusedAt, r.RefusedBelowLimit}, r.CallTimes...) {
			if at < 0 || at > content.At {
				return nil, fmt.Errorf("%s: receivers.%d: a moment that is not before it was written", path, i)
			}
		}
		if r.Addr == "" || r.RetryAfterUntil < 0 || r.Failures < 0 || r.CallDuration < 0 || len(r.CallTimes) > maxReceivers {
			return nil, fmt.Errorf("%s: receivers.%d: makes no sense", path, i)
		}
	}
	return content.Receivers, nil
}
