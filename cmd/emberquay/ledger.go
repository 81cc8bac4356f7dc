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

// ledgerCmd are the commands on a folder that lasts. All but compact only read, and work beside a sender that runs.
type ledgerCmd struct {
	Inspect inspectCmd `cmd:"" help:"Say what a folder holds: segments, texts, notices."`
	Verify  verifyCmd  `cmd:"" help:"Read all of it; the exit status is 0 if nothing that was kept is missing."`
	Compact compactCmd `cmd:"" help:"Write what is live anew and remove the rest; not beside a sender that runs."`
	Export  exportCmd  `cmd:"" help:"Write what is live as JSON lines, texts in the order they were taken, then notices."`
}

type folder struct {
	Dir string `arg:"" help:"The folder that lasts (GW_STATE)." type:"existingdir"`
}

// errUnsound ends verify with a status that says so, and a sender that found a file of the old form in that state.
var errUnsound = errors.New("something that was kept is missing")

// inspect reads the folder, and says plainly if there is no ledger in it.
func (f folder) inspect() (*ledger.Inspection, []*ledger.Text, []*ledger.Notice, error) {
	names, err := ledger.FileNames(vfs.OS{}, f.Dir)
	if err != nil {
		return nil, nil, nil, err
	}
	if len(names) == 0 {
		return nil, nil, nil, fmt.Errorf("%s: %w: no ledger is in it", f.Dir, fs.ErrNotExist)
	}
	return ledger.Inspect(vfs.OS{}, f.Dir)
}

type inspectCmd struct {
	folder
	JSON bool `help:"As one JSON object."`
}

// Run prints what is there.
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
	printOldBad(found)
	fmt.Printf("segments=%d records=%d texts=%d notices=%d torn=%d lost=%d old_form=%v sound=%v\n", len(found.Segments), found.Records,
		found.Texts, found.Notices, found.Torn, found.Lost, found.Old, found.Intact())
	now := protocol.UnixTicks(time.Now())
	mayHaveRun, late := 0, 0
	for _, t := range texts {
		if t.FirstRunAt > 0 {
			mayHaveRun++
		}
		if t.ValidUntil <= now {
			late++
		}
	}
	fmt.Printf("held=%d may_have_run=%d past_validity=%d notices_owed=%d\n", len(texts), mayHaveRun, late, len(notices))
	return nil
}

type verifyCmd struct{ folder }

// Run reads all and says whether it is sound.
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
	printOldBad(found)
	if !found.Intact() {
		return unsound(c.Dir, found)
	}
	fmt.Printf("sound segments=%d records=%d texts=%d notices=%d\n", len(found.Segments), found.Records, found.Texts, found.Notices)
	return nil
}

func printOldBad(found *ledger.Inspection) {
	if found.OldBad != "" {
		fmt.Printf("file=ledger bad=%q\n", found.OldBad)
	}
}

// unsound says what is missing. How many records a file of the old form lacks cannot be known.
func unsound(dir string, found *ledger.Inspection) error {
	if found.OldBad != "" {
		return fmt.Errorf("%s: %w: file ledger: %s; texts that are named and not there: %v", dir, errUnsound, found.OldBad, found.Unknown)
	}
	return fmt.Errorf("%s: %w: %d records; texts that are named and not there: %v", dir, errUnsound, found.Lost, found.Unknown)
}

type compactCmd struct {
	folder
	DiskMB float64 `help:"The folder's room, as in the configuration." default:"3"`
}

// Run writes a snapshot.
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

type exportCmd struct{ folder }

// exported is a text as a line of JSON; times are Unix time in milliseconds.
type exported struct {
	*ledger.Text
	Kind    string `json:"kind"`
	Body    []byte `json:"body"` // base64
	TakenMs int64  `json:"taken_ms,omitempty"`
	UntilMs int64  `json:"until_ms"`
}

// Run writes the lines.
func (c *exportCmd) Run() error {
	_, texts, notices, err := c.inspect()
	if err != nil {
		return err
	}
	out := json.NewEncoder(os.Stdout)
	ms := func(t control.Time) int64 { return int64(protocol.Duration(t) / time.Millisecond) }
	for _, t := range texts {
		if err := out.Encode(exported{t, "text", t.Body, ms(t.AcceptedAt), ms(t.ValidUntil)}); err != nil {
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
