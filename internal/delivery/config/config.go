// Package config reads and checks the configuration of a sender and sets its defaults.
package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"emberquay/control"
)

// Config is the configuration of a sender.
type Config struct {
	Name          string
	ListenAddr    string // address where clients connect
	DiscoveryAddr string // address of the platform, for the list and notices
	StateDir      string // folder of the ledger
	Seed          uint64
	Settings      control.Settings
	Products      map[string]bool // named in the settings
	ReportNames   []string        // names of the values that a response may report, in order
	CachedList    json.RawMessage // the list as this sender had it last, as the platform encodes it; nil: none
	Limits        Limits
}

// Limits are the sizes, counts and times that the parts of a sender observe.
type Limits struct {
	Cores       int
	MemoryBytes int64
	DiskBytes   int64

	MaxClientConns    int // open connections from clients
	MaxReceiverConns  int // to receivers, including those being opened
	MaxCalls          int // in flight
	MaxTexts          int // held at once
	MailboxSize       int // messages queued for one actor
	MaxBodyBytes      int64
	MaxHeaderBytes    int
	LogLinesPerSecond int

	AnswerTimeout       time.Duration // until the client is told whether its text is accepted
	FirstRequestTimeout time.Duration // from the opening of a client connection to its first request
	RequestReadTimeout  time.Duration // for a whole request
	ClientIdleTimeout   time.Duration
	DialTimeout         time.Duration
	ReceiverIdleTimeout time.Duration
	DrainTimeout        time.Duration // to read the rest of a response whose outcome is known
	WatchSilenceTimeout time.Duration // without even a heartbeat, until the watch is restarted
	NoticeTimeout       time.Duration // for the platform to accept notices; doubled with each failed attempt
	MinRetryDelay       time.Duration // between attempts to reach a peer, doubled up to MaxRetryDelay
	MaxRetryDelay       time.Duration
	FirstListWindow     time.Duration // in which all senders that start together request the list
	ListRetryWindow     time.Duration // in which they request it again, doubled with each try

	StopListeningAfter time.Duration // after a stop request: no new connections
	StopSendingAfter   time.Duration // no new attempts
	ExitAfter          time.Duration // the process exits, whatever is still owed
}

// Limits of one text: the protocol's for the body, and our own for the headers.
const (
	maxBodyBytes   = 64 << 10
	maxHeaderBytes = 16 << 10
)

// fileConfig is the configuration as encoded in its file.
type fileConfig struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	State     string          `json:"state"`
	Seed      string          `json:"seed"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
	Limits    struct {
		Cores    *float64 `json:"cores"`
		MemoryMB *float64 `json:"memory_mb"`
		Sockets  *float64 `json:"sockets"`
		DiskMB   *float64 `json:"disk_mb"`
	} `json:"limits"`
}

// ChangedRestartKeys returns the keys that differ between two configurations and take effect only after a restart.
func (c *Config) ChangedRestartKeys(o *Config) []string {
	var keys []string
	for key, same := range map[string]bool{
		"name": c.Name == o.Name, "listen": c.ListenAddr == o.ListenAddr, "state": c.StateDir == o.StateDir,
		"limits": c.Limits == o.Limits, "settings": maps.Equal(c.Settings, o.Settings),
	} {
		if !same {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Read reads a configuration file; environment variables take precedence. Errors name the key.
func Read(path string, env func(string) string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := Parse(raw, env)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Parse is Read for the contents of a file.
func Parse(raw []byte, env func(string) string) (*Config, error) {
	var f fileConfig
	if err := json.Unmarshal(raw, &f); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			return nil, fmt.Errorf("%s: %s is not allowed here", typeErr.Field, typeErr.Value)
		}
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	c := &Config{Name: f.Name, ListenAddr: f.Listen, DiscoveryAddr: f.Discovery, StateDir: f.State, CachedList: f.Known}
	if string(c.CachedList) == "null" {
		c.CachedList = nil
	}
	for _, k := range []struct {
		key, env string
		at       *string
		address  bool
	}{
		{"name", "GW_NAME", &c.Name, false},
		{"listen", "GW_LISTEN", &c.ListenAddr, true},
		{"discovery", "GW_DISCOVERY", &c.DiscoveryAddr, true},
		{"state", "GW_STATE", &c.StateDir, false},
	} {
		// The file is replaced while the sender runs, the environment is not: the file's address of discovery is the
		// newest, and a restart must not go back to an older one.
		newest := k.at == &c.DiscoveryAddr && *k.at != ""
		if v := env(k.env); v != "" && !newest {
			*k.at = v
		}
		if *k.at == "" {
			return nil, fmt.Errorf("%s: missing, and %s is not set", k.key, k.env)
		}
		if _, _, err := net.SplitHostPort(*k.at); k.address && err != nil {
			return nil, fmt.Errorf("%s: %q is not host:port", k.key, *k.at)
		}
	}
	if f.Seed != "" {
		seed, err := strconv.ParseUint(f.Seed, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("seed: %q is not a number of up to 16 hex digits", f.Seed)
		}
		c.Seed = seed
	}
	settings, err := Flatten(f.Settings)
	if err != nil {
		return nil, err
	}
	c.Settings = settings
	if err := c.readNames(); err != nil {
		return nil, err
	}
	if err := c.Settings.Validate(); err != nil {
		return nil, fmt.Errorf("settings.%w", err)
	}
	return c, c.fillLimits(&f)
}

// readNames reads the names from the settings that the wire uses: products and report values.
func (c *Config) readNames() error {
	c.Products = map[string]bool{}
	count, err := c.intSetting("RequestClasses.count", 0)
	if err != nil || count == 0 {
		return errors.New("settings.RequestClasses: no products")
	}
	for i := range count {
		key := fmt.Sprintf("RequestClasses.%d.Name", i)
		name := c.Settings[key]
		if name == "" || c.Products[name] {
			return fmt.Errorf("settings.%s: %q is empty or duplicate", key, name)
		}
		c.Products[name] = true
	}
	if names := c.Settings["Report.Names"]; names != "" {
		c.ReportNames = strings.Split(names, ",")
	}
	return nil
}

// fillLimits sets Limits from the machine's limits, the settings and defaults.
func (c *Config) fillLimits(f *fileConfig) error {
	numberLimit := func(key string, v *float64, fallback, minimum float64) (float64, error) {
		switch {
		case v == nil:
			return fallback, nil
		case *v < minimum:
			return 0, fmt.Errorf("limits.%s: %v is less than %v", key, *v, minimum)
		}
		return *v, nil
	}
	cores, err1 := numberLimit("cores", f.Limits.Cores, 1, 0.01)
	memory, err2 := numberLimit("memory_mb", f.Limits.MemoryMB, 192, 16)
	sockets, err3 := numberLimit("sockets", f.Limits.Sockets, 1024, 64)
	disk, err4 := numberLimit("disk_mb", f.Limits.DiskMB, 3, 0.01)
	if err := errors.Join(err1, err2, err3, err4); err != nil {
		return err
	}
	maxCalls, err1 := c.intSetting("Specifics.MaxCalls", 64)
	maxTexts, err2 := c.intSetting("Permissions.MaxOpen", 1024)
	connIdle, err3 := c.durationSetting("Permissions.ConnIdleUs", 30*time.Second)
	dialTimeout, err4 := c.durationSetting("Permissions.DialTimeoutUs", time.Second)
	firstList, err5 := c.firstListWindow()
	if err := errors.Join(err1, err2, err3, err4, err5); err != nil {
		return err
	}
	c.Limits = Limits{
		Cores: max(1, int(cores+0.999)), MemoryBytes: int64(memory * 1e6), DiskBytes: int64(disk * 1e6),
		MaxClientConns: maxClientConns(int(sockets), int64(memory*1e6)), MaxReceiverConns: int(sockets) * 5 / 8, MaxCalls: maxCalls, MaxTexts: maxTexts,
		MailboxSize: 1024, MaxBodyBytes: maxBodyBytes, MaxHeaderBytes: maxHeaderBytes, LogLinesPerSecond: 50,
		AnswerTimeout: 300 * time.Millisecond, FirstRequestTimeout: 20 * time.Millisecond, RequestReadTimeout: 1500 * time.Millisecond,
		ClientIdleTimeout: 4 * time.Second,                                      // some clients keep connections indefinitely
		DialTimeout:       dialTimeout, ReceiverIdleTimeout: connIdle * 19 / 20, // less than the receiver's own timeout: a request sent while it closes is lost
		DrainTimeout: 100 * time.Millisecond, WatchSilenceTimeout: 4500 * time.Millisecond, NoticeTimeout: 100 * time.Millisecond,
		MinRetryDelay: 50 * time.Millisecond, MaxRetryDelay: time.Second, FirstListWindow: firstList, ListRetryWindow: c.listRetryWindow(),
		StopListeningAfter: 1200 * time.Millisecond, StopSendingAfter: 2600 * time.Millisecond, ExitAfter: 3400 * time.Millisecond,
	}
	return nil
}

// listRetryWindow returns the time in which senders that were all cut off at once request the list again: a tenth of a
// second for each, but less than the six seconds after which changes of the list count as announced.
func (c *Config) listRetryWindow() time.Duration {
	senders, _ := c.intSetting("Instances", 1) // an invalid number counts as one, as in package control
	return min(5*time.Second, time.Duration(max(1, senders))*time.Second/10)
}

// firstListWindow returns the time in which senders that were all started at once send their first request. A cached list
// may be older than what the previous process was told, so the request must come well within the time in which a
// sender must stop sending to a draining receiver.
func (c *Config) firstListWindow() (time.Duration, error) {
	grace, err := c.durationSetting("Contract.StopSendingWithinUs", time.Second)
	return min(c.listRetryWindow(), grace*3/4), err
}

// maxClientConns leaves sockets for the receivers, whose connections are used longer, and for the list, notices and
// files. The limit is below the third of the sockets that clients open at most: at their limit they could open no
// more, and new clients would wait while others keep idle connections; only at ours is an idle one closed for a new one.
// Memory is left for the rest of the program even if every client sends the longest headers and body.
func maxClientConns(sockets int, memoryBytes int64) int {
	return max(8, min(sockets/4, int(memoryBytes/4/(maxBodyBytes+maxHeaderBytes))))
}

func (c *Config) intSetting(key string, fallback int) (int, error) {
	v, ok := c.Settings[key]
	if !ok {
		return fallback, nil
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || n < 1 || n > 1e6 {
		return 0, fmt.Errorf("settings.%s: %q is not a count from 1 to 1000000", key, v)
	}
	return int(n), nil
}

func (c *Config) durationSetting(key string, fallback time.Duration) (time.Duration, error) {
	v, ok := c.Settings[key]
	if !ok {
		return fallback, nil
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || n <= 0 || n > 1e12 {
		return 0, fmt.Errorf("settings.%s: %q is not a positive duration", key, v)
	}
	return time.Duration(n * float64(time.Microsecond)), nil
}

// Flatten converts nested settings, as the platform writes them, to a flat map: paths are joined by dots, lists of scalars
// by commas, and lists of objects are numbered, with their count.
func Flatten(raw json.RawMessage) (control.Settings, error) {
	if len(raw) == 0 {
		return nil, errors.New("settings: missing")
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber() // numbers keep their notation
	var tree map[string]any
	if err := dec.Decode(&tree); err != nil || tree == nil {
		return nil, errors.New("settings: not an object")
	}
	set := control.Settings{}
	return set, flattenValue(set, "", tree)
}

func flattenValue(set control.Settings, path string, v any) error {
	switch v := v.(type) {
	case map[string]any:
		for name, inner := range v {
			key := name
			if path != "" {
				key = path + "." + name
			}
			if err := flattenValue(set, key, inner); err != nil {
				return err
			}
		}
	case []any:
		return flattenList(set, path, v)
	default:
		value, err := formatScalar(path, v)
		set[path] = value
		return err
	}
	return nil
}

func flattenList(set control.Settings, path string, items []any) error {
	var joined []byte
	for i, v := range items {
		if _, object := v.(map[string]any); object {
			set[path+".count"] = strconv.Itoa(len(items))
			if err := flattenValue(set, fmt.Sprintf("%s.%d", path, i), v); err != nil {
				return err
			}
			continue
		}
		value, err := formatScalar(fmt.Sprintf("%s.%d", path, i), v)
		if err != nil {
			return err
		}
		if i > 0 {
			joined = append(joined, ',')
		}
		joined = append(joined, value...)
	}
	if _, objects := set[path+".count"]; !objects {
		set[path] = string(joined)
	}
	return nil
}

func formatScalar(path string, v any) (string, error) {
	switch v := v.(type) {
	case nil:
		return "", nil
	case string:
		return NormalizeName(v), nil
	case bool, json.Number:
		return fmt.Sprint(v), nil
	}
	return "", fmt.Errorf("settings.%s: nested list", path)
}

// NormalizeName returns a name as the flat map has it, with its separators replaced. Names that are compared with those of
// the settings must be normalized too.
func NormalizeName(name string) string { return strings.NewReplacer(" ", "_", ",", "_").Replace(name) }
