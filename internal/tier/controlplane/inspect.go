package controlplane

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"

	"emberquay/coordination/chain"
	"emberquay/coordination/view"
	"emberquay/internal/tier/controlstate"
	"emberquay/internal/tier/journal"
	"emberquay/internal/tier/registration/snapshot"
	"emberquay/internal/tier/replica"
	"emberquay/internal/vfs"
)

// Inspection is what the folder of a control plane holds, as a start would find it.
type Inspection struct {
	Ring    *journal.Inspection  `json:"ring"`
	Records replica.RecordCounts `json:"records"`

	Member MemberSummary `json:"member"` // as which this disk votes
	View   ViewSummary   `json:"view"`
	// LastSequence is that of the last entry taken; those above Committed were not known to be committed yet.
	LastSequence int64        `json:"sequence"`
	Committed    int64        `json:"committed"`
	Vote         VoteSummary  `json:"vote"`
	State        StateSummary `json:"state"` // as of Sequence
	SavedEntries int          `json:"known"` // entries of the cluster's table that are kept over a stop
	// Findings are those of the ring, of the records in it, of the state that they add up to and of the kept
	// entries.
	Findings journal.Findings `json:"findings"`
}

// MemberSummary is a member of the control state.
type MemberSummary struct {
	ID      int64  `json:"id"` // 0: none was drawn yet
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// ViewSummary is the newest view that the disk has adopted.
type ViewSummary struct {
	Epoch   int64           `json:"epoch"` // 0: none
	Members []MemberSummary `json:"members"`
	Chain   []int64         `json:"chain"` // member ids, head first
}

// BallotSummary is a ballot of the agreement on the view that is to follow.
type BallotSummary struct {
	Round    int64 `json:"round"` // 0: none
	Proposer int64 `json:"proposer"`
}

// VoteSummary is what the disk promised and accepted on the view that is to follow.
type VoteSummary struct {
	Sealed        bool          `json:"sealed"` // the epoch takes no more writes here
	Promised      BallotSummary `json:"promised"`
	Accepted      BallotSummary `json:"accepted"`
	AcceptedEpoch int64         `json:"accepted_epoch"`
	// AcceptedSequence is the end of the state with which the accepted view would begin.
	AcceptedSequence int64 `json:"accepted_sequence"`
}

// StateSummary is the control state.
type StateSummary struct {
	ConfigurationVersion uint64 `json:"configuration_version"`
	ConfigurationBytes   int    `json:"configuration_bytes"`
	AcceptedChanges      int    `json:"accepted_changes"` // that would be acknowledged again
	RefusedChanges       int    `json:"refused_changes"`  // that would be refused again
	StoreEpoch           uint64 `json:"store_epoch"`
	Stores               int    `json:"stores"`
	Retirements          int    `json:"retirements"`
}

// Inspect reads the folder of a control plane without writing anything. Errors: journal.ErrNoRing,
// replica.ErrNoRecords, replica.ErrNotReplica, or the disk's; all else that is wrong is in the findings.
func Inspect(files vfs.FS, dir string) (*Inspection, error) {
	disk, err := replica.Inspect(files, dir)
	if err != nil {
		return nil, err
	}
	d := &disk.Durable
	found := &Inspection{
		Ring: disk.Ring, Records: disk.Records, Member: memberFound(d.Member), View: viewFound(d.View),
		LastSequence: disk.LastSequence(), Committed: d.Committed, Vote: voteOf(d), Findings: disk.Findings,
	}
	if err := found.readState(d); err != nil {
		found.Findings.Add(journal.Finding{File: "ring-*", Problem: fmt.Sprint(err)})
	}
	return found, found.readKnown(snapshot.File{Files: files, Dir: dir})
}

func voteOf(d *chain.DurableState) VoteSummary {
	a := &d.Acceptor
	return VoteSummary{
		Sealed:        a.Sealed(),
		Promised:      BallotSummary{Round: a.Promised.Round, Proposer: int64(a.Promised.Proposer)},
		Accepted:      BallotSummary{Round: a.Accepted.Round, Proposer: int64(a.Accepted.Proposer)},
		AcceptedEpoch: a.Value.View.Epoch, AcceptedSequence: a.Value.State.Sequence,
	}
}

func memberFound(m view.Member) MemberSummary {
	return MemberSummary{ID: int64(m.ID), Name: m.Name, Address: m.Address, Zone: m.Zone}
}

func viewFound(v view.View) ViewSummary {
	found := ViewSummary{Epoch: v.Epoch}
	for _, m := range v.Members {
		found.Members = append(found.Members, memberFound(m))
	}
	for _, id := range v.Chain {
		found.Chain = append(found.Chain, int64(id))
	}
	return found
}

// readState works out the control state from the last whole one and the entries since.
func (i *Inspection) readState(d *chain.DurableState) error {
	if !d.State.Full {
		return nil // no view was adopted yet
	}
	if err := d.View.Validate(); err != nil {
		return err
	}
	state := controlstate.New()
	if err := state.Restore(d.State.Snapshot); err != nil {
		return err
	}
	for _, entry := range d.Entries {
		if _, err := controlstate.DecodeCommand(entry.Command); err != nil {
			return eris.Wrapf(err, "entry %d", entry.Sequence)
		}
		state.Apply(entry.Command)
	}
	version, body := state.Configuration()
	accepted, refused := state.ChangeCounts()
	stores := state.Stores()
	i.State = StateSummary{
		ConfigurationVersion: version, ConfigurationBytes: len(body),
		AcceptedChanges: accepted, RefusedChanges: refused,
		StoreEpoch: stores.Epoch, Stores: len(stores.Members), Retirements: len(state.Retirements()),
	}
	return nil
}

// readKnown reads the entries of the cluster's table.
func (i *Inspection) readKnown(file snapshot.File) error {
	entries, err := file.Check()
	if errors.Is(err, snapshot.ErrNotWhole) {
		i.Findings.Add(journal.Finding{File: snapshot.Name, Problem: fmt.Sprint(err)})
		return nil
	}
	i.SavedEntries = len(entries)
	return err
}
