package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"

	"emberquay/internal/tier/controlplane"
	"emberquay/internal/tier/journal"
	"emberquay/internal/tier/store"
)

func printStore(found *store.Inspection) {
	printRing(found.Ring)
	for _, k := range found.Records {
		fmt.Printf("kind=%s records=%d bytes=%d\n", k.Kind, k.Records, k.Bytes)
	}
	for _, p := range found.Programs.Listed {
		fmt.Printf("program=%q open=%d most=%d settled=%d\n", p.Name, p.OpenReservations, p.ReservedTokens, p.SettledTokens)
	}
	for _, m := range found.View.Members {
		fmt.Printf("member id=%s node=%s zone=%s address=%s retiring=%v replaced=%v\n",
			m.ID, m.Node, m.Zone, m.Address, m.Retiring, m.Replaced)
	}
	for _, end := range []struct {
		name     string
		location *store.TurnLocation
	}{{"oldest", found.Turns.Oldest}, {"newest", found.Turns.Newest}} {
		if end.location != nil {
			fmt.Printf("%s turn=%q file=%s offset=%d\n", end.name, end.location.ID, end.location.File, end.location.Offset)
		}
	}
	turns, programs := found.Turns, found.Programs
	fmt.Printf("turns=%d bytes=%d conversations=%d whole=%d partial=%d missing=%d\n",
		turns.Count, turns.Bytes, turns.Conversations, turns.Whole, turns.Partial, turns.MissingCount)
	fmt.Printf("programs=%d with_open=%d open=%d\n", programs.Count, programs.WithOpen, programs.OpenReservations)
	fmt.Printf("store=%s complete=%v unsettled=%v fence=%d view=%d members=%d tolerance=%d findings=%d\n",
		found.ID, found.Complete, found.Unsettled, found.Fence,
		found.View.Epoch, len(found.View.Members), found.View.Tolerance, found.Findings.Count)
}

func printMissing(found *store.Inspection) {
	for _, m := range found.Turns.Missing {
		fmt.Printf("elsewhere turn=%q root=%q next=%q file=%s offset=%d\n",
			m.ID, m.Root, m.Next.ID, m.Next.File, m.Next.Offset)
	}
	if more := found.Turns.MissingCount - len(found.Turns.Missing); more > 0 {
		fmt.Printf("elsewhere more=%d\n", more)
	}
}

func printControl(found *controlplane.Inspection) {
	printRing(found.Ring)
	r := found.Records
	fmt.Printf("identities=%d adoptions=%d additions=%d votes=%d unfinished=%d parts=%d bytes=%d\n",
		r.Identities, r.Views, r.Entries, r.Votes, r.Incomplete, r.Fragments, r.Bytes)
	for _, m := range found.View.Members {
		fmt.Printf("member id=%d name=%q address=%s zone=%q\n", m.ID, m.Name, m.Address, m.Zone)
	}
	vote := found.Vote
	fmt.Printf("sealed=%v promised=%d/%d accepted=%d/%d accepted_epoch=%d accepted_sequence=%d\n",
		vote.Sealed, vote.Promised.Round, vote.Promised.Proposer, vote.Accepted.Round, vote.Accepted.Proposer,
		vote.AcceptedEpoch, vote.AcceptedSequence)
	s := found.State
	fmt.Printf("configuration=%d bytes=%d accepted_changes=%d refused_changes=%d\n",
		s.ConfigurationVersion, s.ConfigurationBytes, s.AcceptedChanges, s.RefusedChanges)
	fmt.Printf("store_epoch=%d stores=%d retirements=%d\n", s.StoreEpoch, s.Stores, s.Retirements)
	fmt.Printf("epoch=%d members=%d chain=%s\n", found.View.Epoch, len(found.View.Members), joinIDs(found.View.Chain))
	fmt.Printf("member=%d sequence=%d committed=%d known=%d findings=%d\n",
		found.Member.ID, found.LastSequence, found.Committed, found.SavedEntries, found.Findings.Count)
}

func printRing(ring *journal.Inspection) {
	for _, s := range ring.Segments {
		fmt.Printf("segment=%d file=%s file_bytes=%d records=%d record_bytes=%d end=%d stop=%q\n",
			s.Sequence, s.File, s.FileBytes, s.Records, s.RecordBytes, s.End, s.Stop)
	}
	fmt.Printf("files=%d segments=%d records=%d generation=%d lost=%v\n",
		ring.Files, len(ring.Segments), recordCount(ring), ring.Generation, ring.Lost)
}

func recordCount(ring *journal.Inspection) int {
	records := 0
	for _, s := range ring.Segments {
		records += s.Records
	}
	return records
}

func printFindings(findings journal.Findings) {
	for _, d := range findings.Listed {
		fmt.Printf("damaged file=%s offset=%d problem=%q\n", d.File, d.Offset, d.Problem)
	}
	if more := findings.Count - len(findings.Listed); more > 0 {
		fmt.Printf("damaged more=%d\n", more)
	}
}

func printJSON(value any) error { return json.NewEncoder(os.Stdout).Encode(value) }

// joinIDs returns the ids separated by commas.
func joinIDs(ids []int64) string {
	var parts []string
	for _, id := range ids {
		parts = append(parts, strconv.FormatInt(id, 10))
	}
	return strings.Join(parts, ",")
}
