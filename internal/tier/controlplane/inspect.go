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

// Inspection describes the data in the directory of a control plane, as a start would read it.
type Inspection struct {
	Ring    *journal.Inspection  `json:"ring"`
	Records replica.RecordCounts `json:"records"`

	Member MemberSummary `json:"member"` // the member as which this disk votes
	View   ViewSummary   `json:"view"`
	// LastSequence is the sequence number of the last accepted entry. Entries above Committed were not known to be
	// committed yet.
	LastSequence int64        `json:"sequence"`
	Committed    int64        `json:"committed"`
	Vote         VoteSummary  `json:"vote"`
	State        StateSummary `json:"state"` // as of LastSequence
	SavedEntries int          `json:"known"` // number of cluster entries saved across restarts
	// Findings lists the problems of the journal, of its records, of the state that results from them and of the saved
	// entries.
	Findings journal.Findings `json:"findings"`
}

// MemberSummary is a member of the control state.
type MemberSummary struct {
	ID      int64  `json:"id"` // 0: not assigned yet
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// ViewSummary is the newest view installed on the disk.
type ViewSummary struct {
	Epoch   int64           `json:"epoch"` // 0: none
	Members []MemberSummary `json:"members"`
	Chain   []int64         `json:"chain"` // member IDs, head first
}

// BallotSummary is a ballot of the agreement on the next view.
type BallotSummary struct {
	Round    int64 `json:"round"` // 0: none
	Proposer int64 `json:"proposer"`
}

// VoteSummary is what the disk promised and accepted in the agreement on the next view.
type VoteSummary struct {
	Sealed        bool          `json:"sealed"` // the member accepts no more writes in its epoch
	Promised      BallotSummary `json:"promised"`
	Accepted      BallotSummary `json:"accepted"`
	AcceptedEpoch int64         `json:"accepted_epoch"`
	// AcceptedSequence is the last sequence number of the state with which the accepted view would start.
	AcceptedSequence int64 `json:"accepted_sequence"`
}

// StateSummary summarizes the control state.
type StateSummary struct {
	ConfigurationVersion uint64 `json:"configuration_version"`
	ConfigurationBytes   int    `json:"configuration_bytes"`
	AcceptedChanges      int    `json:"accepted_changes"` // would be acknowledged if repeated
	RefusedChanges       int    `json:"refused_changes"`  // would be refused if repeated
	StoreEpoch           uint64 `json:"store_epoch"`
	Stores               int    `json:"stores"`
	Retirements          int    `json:"retirements"`
}

// Inspect reads the directory of a control plane without writing to it. It returns journal.ErrNoRing,
// replica.ErrNoRecords, replica.ErrNotReplica or an error of the disk. All other problems are in the findings.
func Inspect(files vfs.FS, dir string) (*Inspection, error) {
	disk, err := replica.Inspect(files, dir)
	if err != nil {
		return nil, err
	}
	durable := &disk.Durable
	inspection := &Inspection{
		Ring: disk.Ring, Records: disk.Records, Member: summarizeMember(durable.Member), View: summarizeView(durable.View),
		LastSequence: disk.LastSequence(), Committed: durable.Committed, Vote: summarizeVote(durable), Findings: disk.Findings,
	}
	if err := inspection.readState(durable); err != nil {
		inspection.Findings.Add(journal.Finding{File: "ring-*", Problem: fmt.Sprint(err)})
	}
	for name := range savedPrefixes {
		if err := inspection.readSavedEntries(snapshot.File{FS: files, Dir: dir, Name: name}); err != nil {
			return inspection, err
		}
	}
	return inspection, nil
}

func summarizeVote(durable *chain.DurableState) VoteSummary {
	acceptor := &durable.Acceptor
	return VoteSummary{
		Sealed:        acceptor.Sealed(),
		Promised:      BallotSummary{Round: acceptor.Promised.Round, Proposer: int64(acceptor.Promised.Proposer)},
		Accepted:      BallotSummary{Round: acceptor.Accepted.Round, Proposer: int64(acceptor.Accepted.Proposer)},
		AcceptedEpoch: acceptor.Value.View.Epoch, AcceptedSequence: acceptor.Value.State.Sequence,
	}
}

func summarizeMember(m view.Member) MemberSummary {
	return MemberSummary{ID: int64(m.ID), Name: m.Name, Address: m.Address, Zone: m.Zone}
}

func summarizeView(v view.View) ViewSummary {
	summary := ViewSummary{Epoch: v.Epoch}
	for _, m := range v.Members {
		summary.Members = append(summary.Members, summarizeMember(m))
	}
	for _, id := range v.Chain {
		summary.Chain = append(summary.Chain, int64(id))
	}
	return summary
}

// readState reconstructs the control state from the last snapshot and the entries after it.
func (i *Inspection) readState(durable *chain.DurableState) error {
	if !durable.State.Full {
		return nil // no view was installed yet
	}
	if err := durable.View.Validate(); err != nil {
		return err
	}
	state := controlstate.New()
	if err := state.Restore(durable.State.Snapshot); err != nil {
		return err
	}
	for _, entry := range durable.Entries {
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

// readSavedEntries counts the saved entries of the cluster's table.
func (i *Inspection) readSavedEntries(file snapshot.File) error {
	entries, err := file.LoadStrict()
	if errors.Is(err, snapshot.ErrCorrupt) {
		i.Findings.Add(journal.Finding{File: file.Name, Problem: fmt.Sprint(err)})
		return nil
	}
	i.SavedEntries += len(entries)
	return err
}
