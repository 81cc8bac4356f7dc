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

// nodeCmd has the commands on running processes of the serving tier.
type nodeCmd struct {
	Status nodeStatusCmd `cmd:"" help:"Print the status of running processes of the serving tier."`
}

type nodeStatusCmd struct {
	Address  string        `arg:"" optional:"" help:"The internal address of the process, host:port."`
	Settings string        `help:"Query the processes of this machine, found by its settings file." type:"path"`
	Role     string        `help:"With --settings: query only the process of this role: proxy, control-plane or store." enum:"proxy,control-plane,store," default:""`
	Timeout  time.Duration `help:"Time limit for each process." default:"2s"`
	JSON     bool          `help:"Print one JSON object per process."`
}

// Validate requires exactly one way to name the processes.
func (c *nodeStatusCmd) Validate() error {
	switch {
	case (c.Address == "") == (c.Settings == ""):
		return eris.New("want either an address or --settings")
	case c.Address != "" && c.Role != "":
		return eris.New("--role goes with --settings: an address names one process")
	case c.Timeout <= 0:
		return eris.New("--timeout: must be above 0")
	}
	if c.Address != "" {
		if _, _, err := net.SplitHostPort(c.Address); err != nil {
			return eris.Wrapf(err, "%q", c.Address)
		}
	}
	return nil
}

// Run queries the processes one after the other and prints the status of those that answer.
func (c *nodeStatusCmd) Run() error {
	addresses, err := c.addresses()
	if err != nil {
		return err
	}
	client := transport.NewClient()
	defer client.Close()
	var failed []string
	for _, address := range addresses {
		status, err := c.query(client, address)
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

// addresses returns the internal addresses of the processes to query.
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
		if c.selects(node, kind) {
			addresses = append(addresses, node.InternalAddress(kind))
		}
	}
	if len(addresses) == 0 {
		return nil, eris.Errorf("%s: the file has neither a role nor services of the serving tier; use --role",
			c.Settings)
	}
	return addresses, nil
}

// serviceOf maps a kind of process to the entry of `serves` in the settings.
var serviceOf = map[settings.ProcessKind]string{
	settings.Proxy:        settings.ServiceFront,
	settings.ControlPlane: settings.ServiceControl,
	settings.Store:        settings.ServiceStore,
}

// selects reports whether to query a process of the kind: the one of --role, else the one of the file's own role, else
// every one whose service the file lists.
func (c *nodeStatusCmd) selects(node *settings.Node, kind settings.ProcessKind) bool {
	roles := []string{settings.Proxy.String(), settings.ControlPlane.String(), settings.Store.String()}
	switch {
	case c.Role != "":
		return c.Role == kind.String()
	case slices.Contains(roles, node.Role):
		return node.Role == kind.String()
	}
	return node.HasService(serviceOf[kind])
}

func (c *nodeStatusCmd) query(client *transport.Client, address string) (nodestatus.Status, error) {
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

// statusRow is a row of the printed table.
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
		{"view", fmt.Sprintf("epoch %d, %d members, member of it: %s", c.Epoch, len(c.Members), yesOrNo(c.Member))},
		{"member id", fmt.Sprint(c.ID)},
	}
	for _, m := range c.Members {
		position := "not in the chain"
		if index := slices.Index(c.Chain, m.ID); index >= 0 {
			position = fmt.Sprintf("%d of %d in the chain", index+1, len(c.Chain))
		}
		rows = append(rows, statusRow{"member", fmt.Sprintf("%d at %s, %s", m.ID, m.Address, position)})
	}
	return append(rows, statusRow{"store view", fmt.Sprintf("epoch %d", c.StoreEpoch)})
}

func storeRows(s *nodestatus.Store) []statusRow {
	return []statusRow{
		{"store id", s.ID},
		{"complete", yesOrNo(s.Complete)},
		{"store view", fmt.Sprintf("epoch %d, %d members, member of it: %s", s.Epoch, s.Members, yesOrNo(s.Member))},
		{"retiring", yesOrNo(s.Retiring)},
		{"turns", fmt.Sprintf("%d, %d bytes", s.Turns, s.TurnBytes)},
		{"programs", fmt.Sprintf("%d, %d reservations", s.Programs, s.Reservations)},
		{"ring", fmt.Sprintf("%d bytes, %d free", s.RingBytes, s.FreeBytes)},
	}
}

func proxyRows(p *nodestatus.Proxy) []statusRow {
	return []statusRow{
		{"ready", yesOrNo(p.Ready)},
		{"in hand", fmt.Sprint(p.InFlight)},
		{"to admission", fmt.Sprintf("%d since the start, %d refused", p.Arrived, p.Refused)},
	}
}

func yesOrNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
