package storewire_test

import (
	"bytes"
	"testing"

	"emberquay/coordination/budget"
	"emberquay/internal/tier/storewire"
)

// FuzzDecode checks that decoders never panic, and that whatever they accept is unchanged after encoding and decoding.
func FuzzDecode(f *testing.F) {
	turn, err := storewire.EncodeTurn(storewire.Turn{ID: "b", Root: "a", Previous: "a", Program: "p", Tokens: 3, Input: []byte("in"), Output: []byte("out")})
	if err != nil {
		f.Fatal(err)
	}
	view, err := storewire.EncodeView(storewire.View{Epoch: 3, Tolerance: 1, Members: []storewire.Member{{ID: "x", Node: "n"}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(turn)
	f.Add(view)
	f.Add(storewire.AppendListedTurn(nil, storewire.ListedTurn{Key: 7, PlacedAtSender: true}))
	f.Add(budget.EncodeEntries(nil, []budget.Entry{{Turn: 1, Tokens: 5, Open: true}, {Turn: 2, Tokens: 9}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		if turn, err := storewire.DecodeTurn(data); err == nil {
			again, err := storewire.EncodeTurn(turn)
			if err != nil {
				t.Fatal(err)
			}
			same, err := storewire.DecodeTurn(again)
			if err != nil || same.ID != turn.ID || !bytes.Equal(same.Output, turn.Output) || same.RetentionMillis != turn.RetentionMillis {
				t.Fatalf("%+v was encoded and decoded to %+v: %v", turn, same, err)
			}
		}
		_, _ = storewire.DecodeTurnHead(data)
		if view, err := storewire.DecodeView(data); err == nil {
			_ = view.Quorum() + view.CatchUpQuorum() + view.NotFoundQuorum() + view.Copies()
		}
		_, _ = storewire.DecodeKeys(data)
		_, _ = storewire.DecodeListedTurns(data)
		if entries, err := budget.DecodeEntries(data); err == nil {
			same, err := budget.DecodeEntries(budget.EncodeEntries(nil, entries))
			if err != nil || len(same) != len(entries) {
				t.Fatalf("%v was encoded and decoded to %v: %v", entries, same, err)
			}
			for at := range entries {
				if same[at] != entries[at] {
					t.Fatalf("%v was encoded and decoded to %v", entries[at], same[at])
				}
			}
		}
	})
}
