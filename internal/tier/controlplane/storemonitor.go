package controlplane

import (
	"context"
	"time"

	"emberquay/internal/tier/cluster"
	"emberquay/internal/tier/controlstate"
	"emberquay/internal/tier/storewire"
)

const (
	// storeCheckInterval is the time between two checks of the stores.
	storeCheckInterval = 100 * time.Millisecond
	// restoreDelay is how long a failed store must be seen alive before it is active again: the control planes don't hear of
	// its end at the same moment, and one that hears of it last must not undo what another one has done.
	restoreDelay = 500 * time.Millisecond
	// settledCallTimeout bounds a question to a store whether it is settled.
	settledCallTimeout = 300 * time.Millisecond
	// minSettledInterval and maxSettledInterval bound the time between two such questions to all stores. It doubles while
	// they are not settled, since a store that they wait for may be down for long.
	minSettledInterval = 100 * time.Millisecond
	maxSettledInterval = time.Second
)

// storePresence is what the cluster knows of a store's machine.
type storePresence int

const (
	storeUnknown storePresence = iota // not heard of
	storeAlive
	storeLeft // it has announced its end, and may be restarting
	storeDown
)

// storeMonitor decides which stores have failed and which have come back. It is pure and not safe for concurrent use.
type storeMonitor struct {
	catchUpTime time.Duration            // settings' bound within which a lost store's data must be held elsewhere again
	absentSince map[string]time.Duration // active members that are not alive, by store ID
	aliveSince  map[string]time.Duration // failed members that are alive, by store ID
}

// leaveGrace returns how long a store that has left may take to restart. The rest of catchUpTime is for the copies.
func (m *storeMonitor) leaveGrace() time.Duration { return m.catchUpTime / 4 }

// decide returns the commands that the presence of the members calls for: RestoreStore for failed ones that are alive, and
// FailStore for one active member that is gone, if it may fail.
func (m *storeMonitor) decide(now time.Duration, view controlstate.StoreView, failed []controlstate.StoreMember,
	presence func(node string) storePresence) []controlstate.Command {
	commands := m.restorations(now, failed, presence)
	mayFail := view.CheckFailure(len(failed)) == ""
	absentSince := make(map[string]time.Duration, len(m.absentSince))
	for _, member := range view.Members {
		current := presence(member.Node)
		if member.Retiring || current == storeAlive {
			continue
		}
		absentSince[member.ID] = sinceOr(m.absentSince, member.ID, now)
		if mayFail && m.isGone(current, now-absentSince[member.ID]) {
			command := controlstate.Command{Kind: controlstate.FailStore, StoreID: member.ID, Base: view.Epoch, HasBase: true}
			commands = append(commands, command)
			mayFail = false // a second one is decided on the next view
		}
	}
	m.absentSince = absentSince
	return commands
}

// restorations returns the commands that restore the failed members that have been alive for restoreDelay.
func (m *storeMonitor) restorations(now time.Duration, failed []controlstate.StoreMember,
	presence func(node string) storePresence) []controlstate.Command {
	var commands []controlstate.Command
	aliveSince := make(map[string]time.Duration, len(failed))
	for _, member := range failed {
		if presence(member.Node) != storeAlive {
			continue
		}
		aliveSince[member.ID] = sinceOr(m.aliveSince, member.ID, now)
		if now-aliveSince[member.ID] >= restoreDelay {
			commands = append(commands, controlstate.Command{Kind: controlstate.RestoreStore, StoreID: member.ID})
		}
	}
	m.aliveSince = aliveSince
	return commands
}

// sinceOr returns the time noted for a store, or now if there is none.
func sinceOr(times map[string]time.Duration, id string, now time.Duration) time.Duration {
	if since, known := times[id]; known {
		return since
	}
	return now
}

// isGone reports whether a store that has been absent for some time counts as failed. The cluster has waited before it
// declares a machine down; one that it does not know may only not have been heard of yet.
func (m *storeMonitor) isGone(presence storePresence, absence time.Duration) bool {
	switch presence {
	case storeDown:
		return true
	case storeLeft:
		return absence >= m.leaveGrace()
	}
	return presence == storeUnknown && absence >= m.catchUpTime
}

// removals returns the commands that remove the retiring members that are gone. They may be proposed once all active
// members are settled under the view.
func removals(view controlstate.StoreView, failed []controlstate.StoreMember,
	presence func(node string) storePresence) []controlstate.Command {
	hasFailed := make(map[string]bool, len(failed))
	for _, member := range failed {
		hasFailed[member.ID] = true
	}
	var commands []controlstate.Command
	for _, member := range view.Members {
		if !member.Retiring || presence(member.Node) == storeAlive {
			continue
		}
		command := controlstate.Command{Kind: controlstate.RetireCompleted, Node: member.Node, StoreID: member.ID}
		if hasFailed[member.ID] {
			command = controlstate.Command{Kind: controlstate.RemoveStore, StoreID: member.ID, Base: view.Epoch, HasBase: true}
		}
		commands = append(commands, command)
	}
	return commands
}

// monitorStores marks, restores and removes stores until the plane stops. Every control plane that knows the committed
// state does so; the state carries out a command only on the view that it was decided on.
func (p *Plane) monitorStores(ctx context.Context) {
	ticker := time.NewTicker(storeCheckInterval)
	defer ticker.Stop()
	monitor := &storeMonitor{catchUpTime: p.base.Settings.Bounds.CatchUpTime}
	var nextQuestion, interval time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		state := p.committed.Load()
		if state == nil {
			continue
		}
		presence := p.storePresence()
		p.proposeAll(ctx, monitor.decide(p.now(), state.stores, state.failed, presence))
		pending := removals(state.stores, state.failed, presence)
		if len(pending) == 0 {
			nextQuestion, interval = 0, minSettledInterval
			continue
		}
		if p.now() < nextQuestion {
			continue
		}
		if p.storesSettled(ctx, state.stores) {
			p.proposeAll(ctx, pending)
		}
		nextQuestion = p.now() + interval
		interval = min(2*interval, maxSettledInterval)
	}
}

// storePresence returns the presence of store machines by name, as the cluster knows it now.
func (p *Plane) storePresence() func(node string) storePresence {
	known := map[string]storePresence{}
	for _, n := range p.base.Cluster.Nodes() {
		if n.Role != cluster.Store {
			continue
		}
		switch n.State {
		case cluster.Down:
			known[n.Name] = storeDown
		case cluster.Left:
			known[n.Name] = storeLeft
		default:
			known[n.Name] = storeAlive
		}
	}
	return func(node string) storePresence { return known[node] }
}

// storesSettled asks all active members of a view whether they are complete and settled under it: each then holds all
// records that belong there, also those that it took over from members that are not active any more.
func (p *Plane) storesSettled(ctx context.Context, view controlstate.StoreView) bool {
	ctx, cancel := context.WithTimeout(ctx, settledCallTimeout)
	defer cancel()
	caller := storewire.NewCaller(p.base.Client)
	answers := make(chan bool, len(view.Members))
	asked := 0
	for _, member := range view.Members {
		if member.Retiring {
			continue
		}
		asked++
		go func() {
			header := storewire.Header{Epoch: int64(view.Epoch), StoreID: member.ID}
			answer, err := caller.History(ctx, member.Address, storewire.HistoryRequest{Header: header})
			answers <- err == nil && answer.Reply.Status == storewire.Served && answer.Reply.Complete
		}()
	}
	settled := true
	for range asked {
		settled = <-answers && settled
	}
	return settled
}

// proposeAll proposes commands on stores, one after the other, and logs their results.
func (p *Plane) proposeAll(ctx context.Context, commands []controlstate.Command) {
	for _, command := range commands {
		p.proposeOnStore(ctx, command)
	}
}

func (p *Plane) proposeOnStore(ctx context.Context, command controlstate.Command) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	result, err := p.propose(ctx, command)
	logEntry := p.base.Log.WithField("store", command.StoreID).WithField("command", command.Kind.String())
	if err != nil {
		logEntry.WithError(err).Warn("change of the stores not carried out; trying again")
		return
	}
	logEntry = logEntry.WithField("status", result.Status).WithField("epoch", result.Version)
	if result.Status != controlstate.StatusOK {
		logEntry.WithField("reason", result.Message).Debug("change of the stores refused")
		return
	}
	logEntry.Info(storeCommandResult(command.Kind))
}

// storeCommandResult says what an accepted command has done.
func storeCommandResult(kind controlstate.Kind) string {
	switch kind {
	case controlstate.FailStore:
		return "store marked as failed; the others copy its records"
	case controlstate.RestoreStore:
		return "failed store restored"
	case controlstate.RetireCompleted:
		return "retirement of a dead store completed; the others hold its records"
	}
	return "dead store removed"
}
