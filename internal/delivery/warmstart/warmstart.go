// Package warmstart hands over the receiver histories of one sender process to the next, in a file that is written at
// the stop and read once at the next start.
//
//	known, err := warmstart.Read(path, now) // nil, nil if there is no file
//	err = warmstart.Write(path, now, receivers)
//
// A file that is invalid, or written by a clock ahead of the current one, is an error; the sender then starts without
// histories, as it does without the file.
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

// Receiver is the history of one receiver. It applies only if the new list has a receiver with the same address,
// destination and kind: the history of an address that now belongs to another destination is meaningless.
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

// The limits for writing and reading: a file made large by another program must not fill the memory.
const (
	maxReceivers = 4096
	maxFileBytes = 4 << 20
)

// Write replaces the file atomically.
func Write(path string, now control.Time, receivers []Receiver) error {
	raw, err := json.Marshal(fileContent{now, receivers[:min(len(receivers), maxReceivers)]})
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// Read reads the histories from the file.
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
		return nil, fmt.Errorf("%s: larger than %d bytes", path, maxFileBytes)
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
		return nil, fmt.Errorf("%s: at: time of writing %d is not in the past", path, content.At)
	case len(content.Receivers) > maxReceivers:
		return nil, fmt.Errorf("%s: receivers: more than %d", path, maxReceivers)
	}
	for i, r := range content.Receivers {
		for _, at := range append([]control.Time{r.RecoveredAt, r.FailedSince, r.RefusedSince, r.RefusedAt, r.RefusedBelowLimit}, r.CallTimes...) {
			if at < 0 || at > content.At {
				return nil, fmt.Errorf("%s: receivers.%d: a time is negative or after that of writing", path, i)
			}
		}
		if r.Addr == "" || r.RetryAfterUntil < 0 || r.Failures < 0 || r.CallDuration < 0 || len(r.CallTimes) > maxReceivers {
			return nil, fmt.Errorf("%s: receivers.%d: makes no sense", path, i)
		}
	}
	return content.Receivers, nil
}
