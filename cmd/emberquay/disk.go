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

// diskFlags are those of the commands on the folder of a store or of a control plane. All only read. Beside a
// process that runs, what it is writing may look cut short.
type diskFlags struct {
	Dir  string `arg:"" help:"The folder (data_dir)." type:"existingdir"`
	JSON bool   `help:"As one JSON object."`
}

// tell prints what was found as one JSON object, or as text with the findings last.
func (f diskFlags) tell(object any, findings journal.Findings, text func()) error {
	if f.JSON {
		return printJSON(object)
	}
	text()
	printFindings(findings)
	return nil
}

// errDamaged ends a verification with a status that says so.
var errDamaged = errors.New("not sound")

type storeInspectCmd struct{ diskFlags }

// Run prints what the folder holds.
func (c *storeInspectCmd) Run() error {
	found, err := inspectStore(c.Dir)
	if err != nil {
		return err
	}
	return c.tell(found, found.Findings, func() {
		printStore(found)
		printMissing(found)
	})
}

type storeVerifyCmd struct{ diskFlags }

// Run reads all and says whether it is sound.
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
	err = errors.Join(c.tell(verdict, found.Findings, func() { printMissing(found) }), verdictOf(c.Dir, found.Findings))
	if err != nil || c.JSON {
		return err
	}
	turns := found.Turns
	fmt.Printf("sound segments=%d records=%d turns=%d whole=%d partial=%d programs=%d\n",
		len(found.Ring.Segments), recordsOf(found.Ring), turns.Count, turns.Whole, turns.Partial, found.Programs.Count)
	return nil
}

type controlInspectCmd struct{ diskFlags }

// Run prints what the folder holds.
func (c *controlInspectCmd) Run() error {
	found, err := inspectControl(c.Dir)
	if err != nil {
		return err
	}
	return c.tell(found, found.Findings, func() { printControl(found) })
}

type controlVerifyCmd struct{ diskFlags }

// Run reads all and says whether it is sound.
func (c *controlVerifyCmd) Run() error {
	found, err := inspectControl(c.Dir)
	if err != nil {
		return err
	}
	verdict := struct {
		Sound    bool             `json:"sound"`
		Findings journal.Findings `json:"findings"`
	}{found.Findings.Count == 0, found.Findings}
	err = errors.Join(c.tell(verdict, found.Findings, func() {}), verdictOf(c.Dir, found.Findings))
	if err != nil || c.JSON {
		return err
	}
	fmt.Printf("sound segments=%d records=%d epoch=%d sequence=%d configuration=%d\n", len(found.Ring.Segments),
		recordsOf(found.Ring), found.View.Epoch, found.LastSequence, found.State.ConfigurationVersion)
	return nil
}

// inspectStore reads the folder of a store, or says whose it is.
func inspectStore(dir string) (*store.Inspection, error) {
	found, err := store.Inspect(vfs.OS{}, dir)
	if errors.Is(err, store.ErrNotStore) {
		if _, other := replica.Inspect(vfs.OS{}, dir); other == nil {
			err = eris.New("it belongs to a control plane (emberquay control-plane inspect)")
		}
	}
	return found, explain(dir, err)
}

// inspectControl reads the folder of a control plane, or says whose it is.
func inspectControl(dir string) (*controlplane.Inspection, error) {
	found, err := controlplane.Inspect(vfs.OS{}, dir)
	if errors.Is(err, replica.ErrNotReplica) {
		if _, other := store.Inspect(vfs.OS{}, dir); other == nil {
			err = eris.New("it belongs to a store (emberquay store inspect)")
		}
	}
	return found, explain(dir, err)
}

// explain puts the folder before an error, and names what stands in a folder without a ring.
func explain(dir string, err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, journal.ErrNoRing) {
		if names, _ := ledger.FileNames(vfs.OS{}, dir); len(names) > 0 {
			err = eris.New("it belongs to the delivery service (emberquay ledger inspect)")
		}
	}
	return fmt.Errorf("%s: %w", dir, err)
}

// verdictOf is an error that names the first thing found, if there is one.
func verdictOf(dir string, findings journal.Findings) error {
	if findings.Count == 0 {
		return nil
	}
	first := findings.Listed[0]
	return fmt.Errorf("%s: %w: findings: %d, the first in %s at %d: %s",
		dir, errDamaged, findings.Count, first.File, first.Offset, first.Problem)
}
