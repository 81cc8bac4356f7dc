package sender

import (
	"cmp"
	"maps"
	"slices"

	"emberquay/control"
	"emberquay/internal/delivery/directory"
	"emberquay/internal/delivery/warmstart"
)

// The list of receivers: their addresses and their history.

// UpdateReceivers enqueues an update of the list.
func (s *Sender) UpdateReceivers(update directory.Update) {
	s.Enqueue(func() { s.updateReceivers(update) })
}

// LoadReceivers applies the last known list; call it before Run.
func (s *Sender) LoadReceivers(update directory.Update) { s.updateReceivers(update) }

func (s *Sender) updateReceivers(update directory.Update) {
	listed := map[control.ReceiverID]bool{}
	entries := make([]control.ReceiverEntry, 0, len(update.Entries))
	for _, h := range update.Entries {
		previous, occupied := s.receiverAt[h.Addr]
		switch occupied = occupied && previous != h.Receiver; {
		case h.State == control.Removed:
			s.removeReceiver(h.Receiver)
		case occupied && h.State == control.Draining: // its address already belongs to another receiver
			h.State = control.Removed
			s.removeReceiver(h.Receiver)
		default:
			// An address belongs to the receiver listed there last. Calls meant for the previous one would reach
			// the new one, perhaps at another destination.
			if occupied {
				s.removeReceiver(previous)
				entries = append(entries, control.ReceiverEntry{Receiver: previous, State: control.Removed})
			}
			listed[h.Receiver] = true
			s.addReceiver(h)
		}
		entries = append(entries, h.ReceiverEntry)
	}
	if update.Complete {
		for id := range s.entries {
			if !listed[id] {
				s.removeReceiver(id)
			}
		}
	}
	s.control.UpdateReceivers(update.Complete, entries)
	for _, h := range update.Entries {
		if history, ok := s.pendingHistory[h.Addr]; ok && s.receiverAt[h.Addr] == h.Receiver {
			delete(s.pendingHistory, h.Addr)
			if history.Destination == h.Destination && history.Kind == h.Kind {
				history.ReceiverHistory.Receiver = h.Receiver
				s.control.Restore(history.ReceiverHistory)
			}
		}
	}
}

// RestoreHistory keeps the history of the previous process and restores it as receivers are listed; call it before
// LoadReceivers.
func (s *Sender) RestoreHistory(histories []warmstart.Receiver) {
	s.pendingHistory = map[string]warmstart.Receiver{}
	for _, history := range histories {
		s.pendingHistory[history.Addr] = history
	}
}

// History returns the history of the receivers for the next process, including what was restored for receivers that
// have not been listed yet. Call it after Run has returned.
func (s *Sender) History() (control.Time, []warmstart.Receiver) {
	addrOf := map[control.ReceiverID]string{}
	for a, id := range s.receiverAt {
		addrOf[id] = a
	}
	histories := slices.SortedFunc(maps.Values(s.pendingHistory), func(a, b warmstart.Receiver) int { return cmp.Compare(a.Addr, b.Addr) })
	for _, history := range s.control.History() {
		if e, ok := s.entries[history.Receiver]; ok && addrOf[history.Receiver] != "" {
			histories = append(histories, warmstart.Receiver{Addr: addrOf[history.Receiver], Destination: e.Destination, Kind: e.Kind, ReceiverHistory: history})
		}
	}
	return s.now(), histories
}

// addReceiver records the entry and address of a receiver.
func (s *Sender) addReceiver(h directory.Entry) {
	s.freeAddress(h.Receiver)
	s.entries[h.Receiver], s.receiverAt[h.Addr] = h.ReceiverEntry, h.Receiver
	s.receivers.SetAddress(h.Receiver, h.Addr)
}

// freeAddress removes the address of a receiver.
func (s *Sender) freeAddress(id control.ReceiverID) {
	maps.DeleteFunc(s.receiverAt, func(_ string, occupant control.ReceiverID) bool { return occupant == id })
}

func (s *Sender) removeReceiver(id control.ReceiverID) {
	s.freeAddress(id)
	delete(s.entries, id)
	s.receivers.Remove(id)
}
