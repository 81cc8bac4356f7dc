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

// runProgram runs the program and returns its output and exit status.
func runProgram(args ...string) (string, int) {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), "EMBERQUAY_AS_PROGRAM=1")
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

// The ledger commands: reading works while a sender uses the directory, compaction is refused, and the exit status of verify
// shows damage.
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
	expect := func(status int, want string, args ...string) {
		t.Helper()
		out, code := runProgram(append([]string{"ledger"}, args...)...)
		if code != status || !strings.Contains(out, want) {
			t.Errorf("%v: status %d, %s", args, code, out)
		}
	}
	expect(0, "texts=2 notices=1 torn=0 lost=0 old_form=false sound=true", "inspect", dir)
	expect(0, "held=2 may_have_run=1 past_validity=2 notices_owed=1", "inspect", dir)
	expect(0, `"Texts":2`, "inspect", "--json", dir)
	expect(0, "sound segments=1", "verify", dir)
	expect(0, `"id":"a","product":"order","dest":0,"at":10000,"until":20000,"order":1,"kind":"text","body":"AGJvZHk=","taken_ms":1000,"until_ms":2000`, "export", dir)
	expect(0, `"kind":"notice","id":"c","nack":true`, "export", dir)
	expect(1, "in use by another process (process ", "compact", dir)
	l.Close()
	expect(0, "segments=1", "compact", dir)
	expect(0, "texts=2 notices=1", "verify", dir)
	expect(1, "the directory contains no ledger", "verify", t.TempDir())
	// Corrupt a record in the middle.
	names, _ := filepath.Glob(filepath.Join(dir, "seg-*"))
	raw, _ := os.ReadFile(names[0])
	raw[60] ^= 1
	os.WriteFile(names[0], raw, 0o600)
	expect(1, "stored data is missing", "verify", dir)
	expect(0, "sound=false", "inspect", dir)
}

// randomBytes returns 4 KiB of random data, the same on every run.
func randomBytes() []byte {
	random := rand.New(rand.NewPCG(4096, 7))
	b := make([]byte, 4096)
	for i := range b {
		b[i] = byte(random.Uint32())
	}
	return b
}

// The commands report an unreadable file of the old format, and verify fails.
func TestLedgerCommandsOnUnreadableOldFormat(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "ledger"), randomBytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	out, code := runProgram("ledger", "verify", dir)
	if code != 1 || !strings.Contains(out, `file=ledger bad="4096 bytes from byte 0 on are no records"`) ||
		!strings.Contains(out, "stored data is missing") {
		t.Errorf("verify: status %d, %s", code, out)
	}
	if out, _ := runProgram("ledger", "inspect", dir); !strings.Contains(out, "old_form=true sound=false") || !strings.Contains(out, "file=ledger bad=") {
		t.Errorf("inspect: %s", out)
	}
}

// A sender starts with an unreadable file of the old format, logs it, sets it aside as bad-ledger and reports it again by
// exit status 1. The next run does not report it.
func TestServeOnUnreadableOldFormat(t *testing.T) {
	p := newProgram(t)
	dir := filepath.Dir(p.config)
	if err := os.WriteFile(filepath.Join(dir, "ledger"), randomBytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	p.start()
	err := p.stop(syscall.SIGTERM)
	var status *exec.ExitError
	if !errors.As(err, &status) || status.ExitCode() != 1 {
		t.Errorf("first run: exit error %v", err)
	}
	output := p.log.String()
	if !strings.Contains(output, "event=damaged") || !strings.Contains(output, "4096 bytes from byte 0 on are no records") ||
		!strings.Contains(output, "stored data is missing") {
		t.Errorf("log: %s", output)
	}
	if setAside, err := os.ReadFile(filepath.Join(dir, "bad-ledger")); err != nil || !bytes.Equal(setAside, randomBytes()) {
		t.Errorf("%d bytes set aside, %v", len(setAside), err)
	}
	p.start()
	if err := p.stop(syscall.SIGTERM); err != nil {
		t.Errorf("second run: exit error %v", err)
	}
}

// A second sender on the same directory fails with an error that names the lock's owner.
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
