package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"time"

	"emberquay/control"
	"emberquay/internal/delivery/ledger"
	"emberquay/internal/delivery/protocol"
	"emberquay/internal/vfs"
)

// ledgerCmd has the commands on the ledger directory of a sender. All but compact only read, also while a sender uses the
// directory.
type ledgerCmd struct {
	Inspect inspectCmd `cmd:"" help:"List the segments and count texts and notices."`
	Verify  verifyCmd  `cmd:"" help:"Read all records; the exit status is 0 if no stored data is missing."`
	Compact compactCmd `cmd:"" help:"Write a snapshot of the live records and remove the rest; fails while a sender uses the directory."`
	Export  exportCmd  `cmd:"" help:"Print live records as JSON lines: texts in the order of acceptance, then notices."`
}

type ledgerFlags struct {
	Dir string `arg:"" help:"The ledger directory (GW_STATE)." type:"existingdir"`
}

// errDataMissing is returned by verify, and by a sender that found unreadable data in a file of the old format.
var errDataMissing = errors.New("stored data is missing")

// inspect reads the directory; it returns a clear error if the directory contains no ledger.
func (f ledgerFlags) inspect() (*ledger.Inspection, []*ledger.Text, []*ledger.Notice, error) {
	names, err := ledger.FileNames(vfs.OS{}, f.Dir)
	if err != nil {
		return nil, nil, nil, err
	}
	if len(names) == 0 {
		return nil, nil, nil, fmt.Errorf("%s: %w: the directory contains no ledger", f.Dir, fs.ErrNotExist)
	}
	return ledger.Inspect(vfs.OS{}, f.Dir)
}

type inspectCmd struct {
	ledgerFlags
	JSON bool `help:"Print one JSON object."`
}

// Run prints the segments and the counts of texts and notices.
func (c *inspectCmd) Run() error {
	found, texts, notices, err := c.inspect()
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(found)
	}
	for _, s := range found.Segments {
		fmt.Printf("segment=%d bytes=%d records=%d torn=%d bad=%q\n", s.Number, s.Bytes, s.Records, s.Torn, s.Bad)
	}
	printOldFormatProblem(found)
	fmt.Printf("segments=%d records=%d texts=%d notices=%d torn=%d lost=%d old_form=%v sound=%v\n", len(found.Segments), found.Records,
		found.Texts, found.Notices, found.Torn, found.Lost, found.Old, found.Intact())
	now := protocol.UnixTicks(time.Now())
	mayHaveRun, expired := 0, 0
	for _, t := range texts {
		if t.FirstRunAt > 0 {
			mayHaveRun++
		}
		if t.ValidUntil <= now {
			expired++
		}
	}
	fmt.Printf("held=%d may_have_run=%d past_validity=%d notices_owed=%d\n", len(texts), mayHaveRun, expired, len(notices))
	return nil
}

type verifyCmd struct{ ledgerFlags }

// Run reads all records and returns an error if data is missing.
func (c *verifyCmd) Run() error {
	found, _, _, err := c.inspect()
	if err != nil {
		return err
	}
	for _, s := range found.Segments {
		if s.Bad != "" {
			fmt.Printf("segment=%d bad=%q\n", s.Number, s.Bad)
		}
	}
	printOldFormatProblem(found)
	if !found.Intact() {
		return dataMissingError(c.Dir, found)
	}
	fmt.Printf("sound segments=%d records=%d texts=%d notices=%d\n", len(found.Segments), found.Records, found.Texts, found.Notices)
	return nil
}

func printOldFormatProblem(found *ledger.Inspection) {
	if found.OldBad != "" {
		fmt.Printf("file=ledger bad=%q\n", found.OldBad)
	}
}

// dataMissingError describes the missing data. The number of records missing from a file of the old format is unknown.
func dataMissingError(dir string, found *ledger.Inspection) error {
	if found.OldBad != "" {
		return fmt.Errorf("%s: %w: file ledger: %s; texts referenced but not stored: %v", dir, errDataMissing, found.OldBad, found.Unknown)
	}
	return fmt.Errorf("%s: %w: %d records; texts referenced but not stored: %v", dir, errDataMissing, found.Lost, found.Unknown)
}

type compactCmd struct {
	ledgerFlags
	DiskMB float64 `help:"Capacity of the directory in MB, as in the configuration." default:"3"`
}

// Run writes a snapshot of the live records.
func (c *compactCmd) Run() error {
	if _, _, _, err := c.inspect(); err != nil {
		return err
	}
	l, err := ledger.Open(vfs.OS{}, c.Dir, ledger.Options{MaxBytes: int64(c.DiskMB * 1e6)})
	if err != nil {
		return err
	}
	before := l.Stats().UsedBytes
	if err := l.Compact(); err != nil {
		return errors.Join(err, l.Close())
	}
	after := l.Stats()
	fmt.Printf("bytes_before=%d bytes=%d live=%d segments=%d\n", before, after.UsedBytes, after.LiveBytes, after.Segments)
	return l.Close()
}

type exportCmd struct{ ledgerFlags }

// exportedText is the JSON form of a text; times are Unix milliseconds.
type exportedText struct {
	*ledger.Text
	Kind    string `json:"kind"`
	Body    []byte `json:"body"` // base64
	TakenMs int64  `json:"taken_ms,omitempty"`
	UntilMs int64  `json:"until_ms"`
}

// Run prints texts and notices as JSON lines.
func (c *exportCmd) Run() error {
	_, texts, notices, err := c.inspect()
	if err != nil {
		return err
	}
	out := json.NewEncoder(os.Stdout)
	millis := func(t control.Time) int64 { return int64(protocol.Duration(t) / time.Millisecond) }
	for _, t := range texts {
		if err := out.Encode(exportedText{t, "text", t.Body, millis(t.AcceptedAt), millis(t.ValidUntil)}); err != nil {
			return err
		}
	}
	for _, n := range notices {
		if err := out.Encode(struct {
			Kind string `json:"kind"`
			*ledger.Notice
		}{"notice", n}); err != nil {
			return err
		}
	}
	return nil
}
