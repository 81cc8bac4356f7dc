package warmstart

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"emberquay/control"
)

var sampleReceiver = Receiver{"127.0.0.1:9", 7, "one", control.ReceiverHistory{RetryAfterUntil: 90, RecoveredAt: 20, Failures: 2, FailedSince: 10, RefusedSince: 5, RefusedAt: 6, RefusedBelowLimit: 6, CallTimes: []control.Time{30}, CallDuration: 4.5}}

func TestWriteAndRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "learnt.json")
	if got, err := Read(path, 50); got != nil || err != nil {
		t.Errorf("without a file: %v %v", got, err)
	}
	written := Write(path, 40, []Receiver{sampleReceiver})
	if got, err := Read(path, 50); written != nil || err != nil || !reflect.DeepEqual(got, []Receiver{sampleReceiver}) {
		t.Errorf("%+v %v %v", got, written, err)
	}
	if _, err := Read(path, 39); err == nil { // written by a clock ahead of the current one
		t.Error("accepted a file written in the future")
	}
	written = os.WriteFile(path, make([]byte, maxFileBytes+1), 0o600)
	if _, err := Read(path, 50); written != nil || err == nil || !strings.Contains(err.Error(), "bytes") {
		t.Error(err)
	}
}

func TestInvalidFilesAreRejected(t *testing.T) {
	for text, want := range map[string]string{
		`x`:                         "invalid",
		`{}`:                        "at:",
		`{"at":9,"receivers":[{}]}`: "receivers.0",
		`{"at":9,"receivers":[{"addr":"a","cold":10}]}`:    "receivers.0",
		`{"at":9,"receivers":[{"addr":"a","calls":[10]}]}`: "receivers.0",
		`{"at":9,"receivers":[{"addr":"a","fails":-1}]}`:   "receivers.0",
	} {
		if _, err := parse("f", []byte(text), 50); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"at":9,"receivers":[{"addr":"a","dest":3,"kind":"k","cold":8,"calls":[7]}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		all, err := parse("f", raw, 50)
		for _, r := range all {
			if err != nil || r.Addr == "" || r.RecoveredAt > 50 || r.Failures < 0 {
				t.Errorf("%+v %v", r, err)
			}
		}
	})
}
