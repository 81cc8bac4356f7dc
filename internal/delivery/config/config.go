// Package config is the one place where a sender's configuration is read, checked and given defaults.
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

// Config is all that a sender is started with.
type Config struct {
	Name          string
	ListenAddr    string // where clients connect
	DiscoveryAddr string // where the list is told and notices go
	StateDir      string // the folder that lasts
	Seed          uint64
	Settings      control.Settings
	Products      map[string]bool // that the settings name
	ReportNames   []string        // the names of the values that an answer may report, in order
	CachedList    json.RawMessage // the list as this sender had it last, in discovery's form; nil if none
	Limits        Limits
}

// Limits are the sizes, counts and times that the parts of a sender keep to.
type Limits struct {
	Cores       int
	MemoryBytes int64
	DiskBytes   int64

	MaxClientConns    int // open connections on the clients' side
	MaxReceiverConns  int // and on the receivers', those being opened too
	MaxCalls          int // calls out at once
	MaxTexts          int // held at once
	MailboxSize       int // messages waiting for one actor
	MaxBodyBytes      int64
	MaxHeaderBytes    int
	LogLinesPerSecond int // a second

	AnswerTimeout       time.Duration // a client hears of its text within this
	FirstRequestTimeout time.Duration // a client that opened a connection asks within this
	RequestReadTimeout  time.Duration // for a whole request
	ClientIdleTimeout   time.Duration
	DialTimeout         time.Duration
	ReceiverIdleTimeout time.Duration
	DrainTimeout        time.Duration // to read the rest of an answer whose outcome is known
	WatchSilenceTimeout time.Duration // with not even a heartbeat: the watch is made anew
	NoticeTimeout       time.Duration // for the platform to take notices, doubled with each try in vain
	MinRetryDelay       time.Duration // between tries of one peer, doubled up to RetryMost
	MaxRetryDelay       time.Duration
	FirstListWindow     time.Duration // within this all senders that start together ask for the list
	ListRetryWindow     time.Duration // and for it again, doubled with each try

	StopListeningAfter time.Duration // after a request to stop: no new connections from then on
	StopSendingAfter   time.Duration // no new submits
	ExitAfter          time.Duration // the end, whatever is still owed
}

// What one text may bring: the protocol's bound for the body, and ours for the headers.
const (
	maxBodyBytes   = 64 << 10
	maxHeaderBytes = 16 << 10
)

// fileConfig is the configuration as it is written down.
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

// ChangedRestartKeys names the keys in which two configurations differ and that only a restart changes.
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

// Read reads the file at a path; what the environment tells goes before it. A fault names its key.
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

// Parse is Read for the text itself.
func Parse(raw []byte, env func(string) string) (*Config, error) {
	var f fileConfig
	if err := json.Unmarshal(raw, &f); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			return nil, fmt.Errorf("%s: a %s does not belong here", typeErr.Field, typeErr.Value)
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
		// The file is replaced while the sender runs, the environment is not: what it says of discovery is the
		// newest, and a restart must not go back behind it.
		newest := k.at == &c.DiscoveryAddr && *k.at != ""
		if v := env(k.env); v != "" && !newest {
			*k.at = v
		}
		if *k.at == "" {
			return nil, fmt.Errorf("%s: missing, and %s is not set", k.key, k.env)
		}
		if _, _, err := net.SplitHostPort(*k.at); k.address && err != nil {
			return nil, fmt.Errorf("%s: %q is no host:port", k.key, *k.at)
		}
	}
	if f.Seed != "" {
		seed, err := strconv.ParseUint(f.Seed, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("seed: %q is not up to 16 hex digits", f.Seed)
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

// readNames takes from the settings what is called by name on the wire.
func (c *Config) readNames() error {
	c.Products = map[string]bool{}
	count, err := c.intSetting("RequestClasses.count", 0)
	if err != nil || count == 0 {
		return errors.New("settings.RequestClasses: no product is named")
	}
	for i := range count {
		key := fmt.Sprintf("RequestClasses.%d.Name", i)
		name := c.Settings[key]
		if name == "" || c.Products[name] {
			return fmt.Errorf("settings.%s: %q is empty or named twice", key, name)
		}
		c.Products[name] = true
	}
	if names := c.Settings["Report.Names"]; names != "" {
		c.ReportNames = strings.Split(names, ",")
	}
	return nil
}

// fillLimits fills Limits: from the machine's limits, the settings and defaults.
func (c *Config) fillLimits(f *fileConfig) error {
	numberLimit := func(key string, v *float64, otherwise, least float64) (float64, error) {
		switch {
		case v == nil:
			return otherwise, nil
		case *v < least:
			return 0, fmt.Errorf("limits.%s: %v is under %v", key, *v, least)
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
		ClientIdleTimeout: 4 * time.Second,                                      // some keep a connection for good
		DialTimeout:       dialTimeout, ReceiverIdleTimeout: connIdle * 19 / 20, // a request that crosses the receiver's own close is lost
		DrainTimeout: 100 * time.Millisecond, WatchSilenceTimeout: 4500 * time.Millisecond, NoticeTimeout: 100 * time.Millisecond,
		MinRetryDelay: 50 * time.Millisecond, MaxRetryDelay: time.Second, FirstListWindow: firstList, ListRetryWindow: c.listRetryWindow(),
		StopListeningAfter: 1200 * time.Millisecond, StopSendingAfter: 2600 * time.Millisecond, ExitAfter: 3400 * time.Millisecond,
	}
	return nil
}

// listRetryWindow is the time within which senders that were all cut off in one moment ask for the list again: a tenth of a
// second for each, less than the six within which what the list has to tell counts as told.
func (c *Config) listRetryWindow() time.Duration {
	senders, _ := c.intSetting("Instances", 1) // one that makes no sense is one, as the module reads it
	return min(5*time.Second, time.Duration(max(1, senders))*time.Second/10)
}

// firstListWindow is the time within which those that were all started in one moment ask first. The list that a sender is
// started with may be older than what the process before it was told, so it must ask well within the time in which
// it has to stop sending to a receiver that drains.
func (c *Config) firstListWindow() (time.Duration, error) {
	grace, err := c.durationSetting("Contract.StopSendingWithinUs", time.Second)
	return min(c.listRetryWindow(), grace*3/4), err
}

// maxClientConns leaves sockets for the receivers, which hold connections for longer, and for the list, notices
// and files. It is less than the third that clients hold at most: at their own bound they could open no more, and
// those that ask would go without while what others keep stays idle; only at ours is an idle one closed for them.
// Memory is left for the rest of the program when every client sends the longest headers and body.
func maxClientConns(sockets int, memory int64) int {
	return max(8, min(sockets/4, int(memory/4/(maxBodyBytes+maxHeaderBytes))))
}

func (c *Config) intSetting(key string, fallback int) (int, error) {
	v, ok := c.Settings[key]
	if !ok {
		return fallback, nil
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || n < 1 || n > 1e6 {
		return 0, fmt.Errorf("settings.%s: %q is no count from 1 to 1000000", key, v)
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
		return 0, fmt.Errorf("settings.%s: %q is no time above nought", key, v)
	}
	return time.Duration(n * float64(time.Microsecond)), nil
}

// Flatten turns settings, nested as the platform writes them, into the wire's plain map: paths joined by dots, plain
// lists by commas, lists of objects counted and numbered.
func Flatten(raw json.RawMessage) (control.Settings, error) {
	if len(raw) == 0 {
		return nil, errors.New("settings: missing")
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber() // numbers stay as they are written
	var tree map[string]any
	if err := dec.Decode(&tree); err != nil || tree == nil {
		return nil, errors.New("settings: no object")
	}
	set := control.Settings{}
	return set, flattenValue(set, "", tree)
}

func flattenValue(set control.Settings, path string, v any) error {
	switch v := v.(type) {
	case map[string]any:
		for name, inner := range v {
			at := name
			if path != "" {
				at = path + "." + name
			}
			if err := flattenValue(set, at, inner); err != nil {
				return err
			}
		}
	case []any:
		return flattenList(set, path, v)
	default:
		plain, err := formatScalar(path, v)
		set[path] = plain
		return err
	}
	return nil
}

func flattenList(set control.Settings, path string, items []any) error {
	var row []byte
	for i, v := range items {
		if _, object := v.(map[string]any); object {
			set[path+".count"] = strconv.Itoa(len(items))
			if err := flattenValue(set, fmt.Sprintf("%s.%d", path, i), v); err != nil {
				return err
			}
			continue
		}
		plain, err := formatScalar(fmt.Sprintf("%s.%d", path, i), v)
		if err != nil {
			return err
		}
		if i > 0 {
			row = append(row, ',')
		}
		row = append(row, plain...)
	}
	if _, objects := set[path+".count"]; !objects {
		set[path] = string(row)
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
	return "", fmt.Errorf("settings.%s: a list in a list", path)
}

// NormalizeName is a name as the plain map holds it, without the characters that part names there. What is compared with a
// name of the settings has to be put so too.
func NormalizeName(name string) string { return strings.NewReplacer(" ", "_", ",", "_").Replace(name) }
