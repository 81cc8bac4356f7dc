package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"emberquay/internal/tier/nodestatus"
	"emberquay/internal/tier/settings"
	"emberquay/internal/tier/transport"
)

// nodeCmd are the commands on running processes of the tier.
type nodeCmd struct {
	Status nodeStatusCmd `cmd:"" help:"Ask a running process of the tier what it is and what it knows."`
}

type nodeStatusCmd struct {
	Address  string        `arg:"" optional:"" help:"The internal address of the process, host:port."`
	Settings string        `help:"Ask the processes of this machine by its settings file instead." type:"path"`
	Role     string        `help:"Of these only proxy, control-plane or store." enum:"proxy,control-plane,store," default:""`
	Timeout  time.Duration `help:"How long to wait for an answer." default:"2s"`
	JSON     bool          `help:"As one JSON object a process."`
}

// Validate refuses what names no process, or two.
func (c *nodeStatusCmd) Validate() error {
	switch {
	case (c.Address == "") == (c.Settings == ""):
		return eris.New("either an address or --settings")
	case c.Address != "" && c.Role != "":
		return eris.New("--role goes with --settings: an address names one process")
	case c.Timeout <= 0:
		return eris.New("--timeout: has to be above 0")
	}
	if c.Address != "" {
		if _, _, err := net.SplitHostPort(c.Address); err != nil {
			return eris.Wrapf(err, "%q", c.Address)
		}
	}
	return nil
}

// Run asks one process after the other, and prints those that answer.
func (c *nodeStatusCmd) Run() error {
	addresses, err := c.addresses()
	if err != nil {
		return err
	}
	client := transport.NewClient()
	defer client.Close()
	var failed []string
	for _, address := range addresses {
		status, err := c.ask(client, address)
		if err != nil {
			failed = append(failed, err.Error())
			continue
		}
		if err := c.print(status); err != nil {
			return err
		}
	}
	if len(failed) > 0 {
		return errors.New(strings.Join(failed, "; "))
	}
	return nil
}

// addresses are where the processes listen.
func (c *nodeStatusCmd) addresses() ([]string, error) {
	if c.Address != "" {
		return []string{c.Address}, nil
	}
	node, err := settings.LoadFile(c.Settings)
	if err != nil {
		return nil, err
	}
	var addresses []string
	for _, kind := range []settings.ProcessKind{settings.Proxy, settings.ControlPlane, settings.Store} {
		if c.wants(node, kind) {
			addresses = append(addresses, node.InternalAddress(kind))
		}
	}
	if len(addresses) == 0 {
		return nil, eris.Errorf("%s: it names no role of the tier and nothing that is served: --role says what to ask",
			c.Settings)
	}
	return addresses, nil
}

// servedBy is what a process of a kind serves.
var servedBy = map[settings.ProcessKind]string{
	settings.Proxy:        settings.ServesFront,
	settings.ControlPlane: settings.ServesControl,
	settings.Store:        settings.ServesStore,
}

// wants says whether a process of the kind is to be asked: the one that --role names, else the one that the file is
// for, else all that serve what the file names.
func (c *nodeStatusCmd) wants(node *settings.Node, kind settings.ProcessKind) bool {
	roles := []string{settings.Proxy.String(), settings.ControlPlane.String(), settings.Store.String()}
	switch {
	case c.Role != "":
		return c.Role == kind.String()
	case slices.Contains(roles, node.Role):
		return node.Role == kind.String()
	}
	return node.ServesFor(servedBy[kind])
}

func (c *nodeStatusCmd) ask(client *transport.Client, address string) (nodestatus.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	status, err := nodestatus.Fetch(ctx, client, address)
	var refused *transport.RemoteError
	switch {
	case errors.As(err, &refused):
		return status, fmt.Errorf("%s answers, but not for its status: %s", address, refused.Reason)
	case err != nil:
		return status, fmt.Errorf("%s does not answer: %s", address, strings.Join(strings.Fields(err.Error()), " "))
	}
	return status, nil
}

func (c *nodeStatusCmd) print(status nodestatus.Status) error {
	if c.JSON {
		return printJSON(status)
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, row := range statusRows(status) {
		fmt.Fprintf(out, "%s\t%s\n", row.name, row.text)
	}
	return out.Flush()
}

// statusRow is a line of the table.
type statusRow struct{ name, text string }

func statusRows(s nodestatus.Status) []statusRow {
	rows := []statusRow{
		{"node", fmt.Sprintf("%s (%s) at %s, zone %s", s.Name, s.Role, s.Address, s.Zone)},
		{"incarnation", fmt.Sprint(s.Incarnation)},
		{"uptime", (time.Duration(s.UptimeMillis) * time.Millisecond).String()},
		{"configuration", versionText(s.ConfigurationVersion)},
	}
	for _, n := range s.Nodes {
		rows = append(rows, statusRow{n.Role + " nodes", fmt.Sprintf("%d known, %d alive", n.Known, n.Alive)})
	}
	r := s.Receivers
	rows = append(rows, statusRow{"receivers", fmt.Sprintf("%d ready, %d draining, %d silent, %d gone",
		r.Ready, r.Draining, r.Silent, r.Gone)})
	switch {
	case s.Control != nil:
		return append(rows, controlRows(s.Control)...)
	case s.Store != nil:
		return append(rows, storeRows(s.Store)...)
	case s.Proxy != nil:
		return append(rows, proxyRows(s.Proxy)...)
	}
	return rows
}

func versionText(version int64) string {
	if version == 0 {
		return "none yet"
	}
	return fmt.Sprintf("version %d", version)
}

func controlRows(c *nodestatus.Control) []statusRow {
	rows := []statusRow{
		{"view", fmt.Sprintf("epoch %d, %d members, member of it: %s", c.Epoch, len(c.Members), yes(c.Member))},
		{"member id", fmt.Sprint(c.ID)},
	}
	for _, m := range c.Members {
		place := "not in the chain"
		if at := slices.Index(c.Chain, m.ID); at >= 0 {
			place = fmt.Sprintf("%d of %d in the chain", at+1, len(c.Chain))
		}
		rows = append(rows, statusRow{"member", fmt.Sprintf("%d at %s, %s", m.ID, m.Address, place)})
	}
	return append(rows, statusRow{"store view", fmt.Sprintf("epoch %d", c.StoreEpoch)})
}

func storeRows(s *nodestatus.Store) []statusRow {
	return []statusRow{
		{"store id", s.ID},
		{"complete", yes(s.Complete)},
		{"store view", fmt.Sprintf("epoch %d, %d members, member of it: %s", s.Epoch, s.Members, yes(s.Member))},
		{"retiring", yes(s.Retiring)},
		{"turns", fmt.Sprintf("%d, %d bytes", s.Turns, s.TurnBytes)},
		{"programs", fmt.Sprintf("%d, %d reservations", s.Programs, s.Reservations)},
		{"ring", fmt.Sprintf("%d bytes, %d free", s.RingBytes, s.FreeBytes)},
	}
}

func proxyRows(p *nodestatus.Proxy) []statusRow {
	return []statusRow{
		{"ready", yes(p.Ready)},
		{"in hand", fmt.Sprint(p.InFlight)},
		{"to admission", fmt.Sprintf("%d since the start, %d refused", p.Arrived, p.Refused)},
	}
}

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
