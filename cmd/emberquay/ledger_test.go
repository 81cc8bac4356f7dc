package main

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"emberquay/internal/delivery/ledger"
	"emberquay/internal/vfs"
)

// asProgram runs the program with arguments and gives what it says and its status.
func asProgram(args ...string) (string, int) {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), "EMBERQUAY_AS_PROGRAM=1")
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

// The commands on a folder: reading goes on beside its owner, writing does not, and the status says if it is sound.
func TestLedgerCommands(t *testing.T) {
	dir := t.TempDir()
	l, err := ledger.Open(vfs.OS{}, dir, ledger.Options{MaxBytes: 3e6})
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"a", "b", "c"} {
		if err := l.RecordAccepted(&ledger.Text{ID: id, Product: "order", Body: []byte("\x00body"), AcceptedAt: 10000, ValidUntil: 20000}); err != nil {
			t.Fatal(err)
		}
	}
	l.RecordAttempt("b", 5, "")
	l.RecordEndOwingNotice(&ledger.Notice{ID: "c", Nack: true, RetryAfter: 7})
	says := func(status int, want string, args ...string) {
		t.Helper()
		out, code := asProgram(append([]string{"ledger"}, args...)...)
		if code != status || !strings.Contains(out, want) {
			t.Errorf("%v: status %d, %s", args, code, out)
		}
	}
	says(0, "texts=2 notices=1 torn=0 lost=0 old_form=false sound=true", "inspect", dir)
	says(0, "held=2 may_have_run=1 past_validity=2 notices_owed=1", "inspect", dir)
	says(0, `"Texts":2`, "inspect", "--json", dir)
	says(0, "sound segments=1", "verify", dir)
	says(0, `"id":"a","product":"order","dest":0,"at":10000,"until":20000,"order":1,"kind":"text","body":"AGJvZHk=","taken_ms":1000,"until_ms":2000`, "export", dir)
	says(0, `"kind":"notice","id":"c","nack":true`, "export", dir)
	says(1, "in use by another process (process ", "compact", dir)
	l.Close()
	says(0, "segments=1", "compact", dir)
	says(0, "texts=2 notices=1", "verify", dir)
	says(1, "no ledger is in it", "verify", t.TempDir())
	// A record in the middle is spoilt.
	names, _ := filepath.Glob(filepath.Join(dir, "seg-*"))
	raw, _ := os.ReadFile(names[0])
	raw[60] ^= 1
	os.WriteFile(names[0], raw, 0o600)
	says(1, "something that was kept is missing", "verify", dir)
	says(0, "sound=false", "inspect", dir)
}

// noise is 4 KiB that are the same on every run.
func noise() []byte {
	random := rand.New(rand.NewPCG(4096, 7))
	b := make([]byte, 4096)
	for i := range b {
		b[i] = byte(random.Uint32())
	}
	return b
}

// A file of the old form that cannot be read: the commands say so, and their status.
func TestOldFormThatCannotBeRead(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "ledger"), noise(), 0o600); err != nil {
		t.Fatal(err)
	}
	out, code := asProgram("ledger", "verify", dir)
	if code != 1 || !strings.Contains(out, `file=ledger bad="4096 bytes from byte 0 on are no records"`) ||
		!strings.Contains(out, "something that was kept is missing") {
		t.Errorf("verify: status %d, %s", code, out)
	}
	if out, _ := asProgram("ledger", "inspect", dir); !strings.Contains(out, "old_form=true sound=false") || !strings.Contains(out, "file=ledger bad=") {
		t.Errorf("inspect: %s", out)
	}
}

// A sender serves all the same, says what it could not read, keeps it aside, and its end tells it again; the next start
// has nothing to tell.
func TestServeOnOldFormThatCannotBeRead(t *testing.T) {
	p := newProgram(t)
	dir := filepath.Dir(p.config)
	if err := os.WriteFile(filepath.Join(dir, "ledger"), noise(), 0o600); err != nil {
		t.Fatal(err)
	}
	p.start()
	err := p.end(syscall.SIGTERM)
	var status *exec.ExitError
	if !errors.As(err, &status) || status.ExitCode() != 1 {
		t.Errorf("it ended with %v", err)
	}
	said := p.log.String()
	if !strings.Contains(said, "event=damaged") || !strings.Contains(said, "4096 bytes from byte 0 on are no records") ||
		!strings.Contains(said, "something that was kept is missing") {
		t.Errorf("it said %s", said)
	}
	if kept, err := os.ReadFile(filepath.Join(dir, "bad-ledger")); err != nil || !bytes.Equal(kept, noise()) {
		t.Errorf("%d bytes set aside, %v", len(kept), err)
	}
	p.start()
	if err := p.end(syscall.SIGTERM); err != nil {
		t.Errorf("the next one ended with %v", err)
	}
}

// Two senders on one folder: the second one ends with a message that says who has it.
func TestSecondSenderOnTheFolder(t *testing.T) {
	p := newProgram(t)
	p.start()
	cmd := exec.Command(os.Args[0], "serve")
	cmd.Env = append(p.env, "GW_LISTEN=127.0.0.1:0")
	out, err := cmd.CombinedOutput()
	if err == nil || !strings.Contains(string(out), "in use by another process") {
		t.Errorf("%v %s", err, out)
	}
}
