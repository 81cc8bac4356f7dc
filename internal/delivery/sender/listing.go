package sender

import (
	"cmp"
	"maps"
	"slices"

	"emberquay/control"
	"emberquay/internal/delivery/directory"
	"emberquay/internal/delivery/warmstart"
)

// The list of receivers: who is where, and what was learnt of them.

// UpdateReceivers posts news of the list.
func (s *Sender) UpdateReceivers(news directory.Update) { s.Enqueue(func() { s.hear(news) }) }

// LoadReceivers tells the list as it was last known, before Run.
func (s *Sender) LoadReceivers(news directory.Update) { s.hear(news) }

func (s *Sender) hear(news directory.Update) {
	named := map[control.ReceiverID]bool{}
	entries := make([]control.ReceiverEntry, 0, len(news.Entries))
	for _, h := range news.Entries {
		before, taken := s.at[h.Addr]
		switch taken = taken && before != h.Receiver; {
		case h.State == control.Removed:
			s.drop(h.Receiver)
		case taken && h.State == control.Draining: // another has its place already
			h.State = control.Removed
			s.drop(h.Receiver)
		default:
			// An address is that of whoever came there last. What is sent to one that was there before would reach
			// the new one, perhaps of another destination.
			if taken {
				s.drop(before)
				entries = append(entries, control.ReceiverEntry{Receiver: before, State: control.Removed})
			}
			named[h.Receiver] = true
			s.place(h)
		}
		entries = append(entries, h.ReceiverEntry)
	}
	if news.Complete {
		for id := range s.listed {
			if !named[id] {
				s.drop(id)
			}
		}
	}
	s.module.UpdateReceivers(news.Complete, entries)
	for _, h := range news.Entries {
		if l, ok := s.recall[h.Addr]; ok && s.at[h.Addr] == h.Receiver {
			delete(s.recall, h.Addr)
			if l.Destination == h.Destination && l.Kind == h.Kind {
				l.ReceiverHistory.Receiver = h.Receiver
				s.module.Restore(l.ReceiverHistory)
			}
		}
	}
}

// RestoreHistory takes over what a process before has learnt, as its receivers are listed; before the list is told.
func (s *Sender) RestoreHistory(all []warmstart.Receiver) {
	s.recall = map[string]warmstart.Receiver{}
	for _, l := range all {
		s.recall[l.Addr] = l
	}
}

// History gives what the module has learnt, for the process after this one; after Run. What was taken over of
// receivers that were not listed yet goes on.
func (s *Sender) History() (control.Time, []warmstart.Receiver) {
	addr := map[control.ReceiverID]string{}
	for a, id := range s.at {
		addr[id] = a
	}
	all := slices.SortedFunc(maps.Values(s.recall), func(a, b warmstart.Receiver) int { return cmp.Compare(a.Addr, b.Addr) })
	for _, l := range s.module.History() {
		if e, ok := s.listed[l.Receiver]; ok && addr[l.Receiver] != "" {
			all = append(all, warmstart.Receiver{Addr: addr[l.Receiver], Destination: e.Destination, Kind: e.Kind, ReceiverHistory: l})
		}
	}
	return s.now(), all
}

// place keeps where a receiver is.
func (s *Sender) place(h directory.Entry) {
	s.vacate(h.Receiver)
	s.listed[h.Receiver], s.at[h.Addr] = h.ReceiverEntry, h.Receiver
	s.fleet.SetAddress(h.Receiver, h.Addr)
}

// vacate frees the address of a receiver.
func (s *Sender) vacate(id control.ReceiverID) {
	maps.DeleteFunc(s.at, func(_ string, at control.ReceiverID) bool { return at == id })
}

func (s *Sender) drop(id control.ReceiverID) {
	s.vacate(id)
	delete(s.listed, id)
	s.fleet.Remove(id)
}
