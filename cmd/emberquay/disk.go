package main

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"

	"emberquay/internal/delivery/ledger"
	"emberquay/internal/tier/controlplane"
	"emberquay/internal/tier/journal"
	"emberquay/internal/tier/replica"
	"emberquay/internal/tier/store"
	"emberquay/internal/vfs"
)

// diskFlags are the flags of the commands on the directory of a store or control plane. These commands only read. While a
// process uses the directory, a record that it is writing may look truncated.
type diskFlags struct {
	Dir  string `arg:"" help:"The directory (data_dir)." type:"existingdir"`
	JSON bool   `help:"Print one JSON object."`
}

// print writes the object as JSON, or calls printText and then lists the findings.
func (f diskFlags) print(object any, findings journal.Findings, printText func()) error {
	if f.JSON {
		return printJSON(object)
	}
	printText()
	printFindings(findings)
	return nil
}

// errNotSound is returned by the verify commands for a damaged directory.
var errNotSound = errors.New("not sound")

type storeInspectCmd struct{ diskFlags }

// Run prints the contents of a store's directory.
func (c *storeInspectCmd) Run() error {
	found, err := inspectStore(c.Dir)
	if err != nil {
		return err
	}
	return c.print(found, found.Findings, func() {
		printStore(found)
		printMissing(found)
	})
}

type storeVerifyCmd struct{ diskFlags }

// Run reads the whole directory and returns an error if it is damaged.
func (c *storeVerifyCmd) Run() error {
	found, err := inspectStore(c.Dir)
	if err != nil {
		return err
	}
	verdict := struct {
		Sound    bool                `json:"sound"`
		Findings journal.Findings    `json:"findings"`
		Missing  []store.MissingTurn `json:"missing"`
	}{found.Findings.Count == 0, found.Findings, found.Turns.Missing}
	err = errors.Join(c.print(verdict, found.Findings, func() { printMissing(found) }), findingsError(c.Dir, found.Findings))
	if err != nil || c.JSON {
		return err
	}
	turns := found.Turns
	fmt.Printf("sound segments=%d records=%d turns=%d whole=%d partial=%d programs=%d\n",
		len(found.Ring.Segments), recordCount(found.Ring), turns.Count, turns.Whole, turns.Partial, found.Programs.Count)
	return nil
}

type controlInspectCmd struct{ diskFlags }

// Run prints the contents of a control plane's directory.
func (c *controlInspectCmd) Run() error {
	found, err := inspectControl(c.Dir)
	if err != nil {
		return err
	}
	return c.print(found, found.Findings, func() { printControl(found) })
}

type controlVerifyCmd struct{ diskFlags }

// Run reads the whole directory and returns an error if it is damaged.
func (c *controlVerifyCmd) Run() error {
	found, err := inspectControl(c.Dir)
	if err != nil {
		return err
	}
	verdict := struct {
		Sound    bool             `json:"sound"`
		Findings journal.Findings `json:"findings"`
	}{found.Findings.Count == 0, found.Findings}
	err = errors.Join(c.print(verdict, found.Findings, func() {}), findingsError(c.Dir, found.Findings))
	if err != nil || c.JSON {
		return err
	}
	fmt.Printf("sound segments=%d records=%d epoch=%d sequence=%d configuration=%d\n", len(found.Ring.Segments),
		recordCount(found.Ring), found.View.Epoch, found.LastSequence, found.State.ConfigurationVersion)
	return nil
}

// inspectStore reads the directory of a store; for another kind of directory the error names the command to use.
func inspectStore(dir string) (*store.Inspection, error) {
	found, err := store.Inspect(vfs.OS{}, dir)
	if errors.Is(err, store.ErrNotStore) {
		if _, otherErr := replica.Inspect(vfs.OS{}, dir); otherErr == nil {
			err = eris.New("the directory belongs to a control plane (use emberquay control-plane inspect)")
		}
	}
	return found, describeError(dir, err)
}

// inspectControl reads the directory of a control plane; for another kind of directory the error names the command to use.
func inspectControl(dir string) (*controlplane.Inspection, error) {
	found, err := controlplane.Inspect(vfs.OS{}, dir)
	if errors.Is(err, replica.ErrNotReplica) {
		if _, otherErr := store.Inspect(vfs.OS{}, dir); otherErr == nil {
			err = eris.New("the directory belongs to a store (use emberquay store inspect)")
		}
	}
	return found, describeError(dir, err)
}

// describeError adds the directory to an error, and recognizes the ledger directory of a sender.
func describeError(dir string, err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, journal.ErrNoRing) {
		if names, _ := ledger.FileNames(vfs.OS{}, dir); len(names) > 0 {
			err = eris.New("the directory belongs to the delivery service (use emberquay ledger inspect)")
		}
	}
	return fmt.Errorf("%s: %w", dir, err)
}

// findingsError returns an error with the first finding, or nil if there are none.
func findingsError(dir string, findings journal.Findings) error {
	if findings.Count == 0 {
		return nil
	}
	first := findings.Listed[0]
	return fmt.Errorf("%s: %w: findings: %d, the first in %s at %d: %s",
		dir, errNotSound, findings.Count, first.File, first.Offset, first.Problem)
}
