package control

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
)

// How the settings are read; what is read is picked where it is needed.

// New makes an instance. Settings that make no sense are an error that names them.
func New(seed uint64, set Settings, out Actions) (*Sender, error) {
	if err := set.Validate(); err != nil {
		return nil, fmt.Errorf("setting %w", err)
	}
	s := newState(seed, set, out)
	for _, name := range slices.Sorted(maps.Keys(set)) {
		if strings.HasSuffix(name, "Us") && s.number(name, 0) < 0 {
			return nil, fmt.Errorf("setting %s is a negative time", name)
		}
	}
	for _, name := range []string{"Specifics.MaxCalls", "Permissions.TryLimit", "RequestClasses.count"} {
		if s.number(name, 0) < 1 {
			return nil, fmt.Errorf("setting %s is less than 1 or no number", name)
		}
	}
	s.slots = int(s.number("Specifics.MaxCalls", 1))
	s.readProducts()
	for _, p := range s.products {
		s.longestSLA = max(s.longestSLA, p.sla)
		s.shortestSLA = min(cmp.Or(s.shortestSLA, p.sla), p.sla)
		p.pace = float64(p.sla) / firstPace
	}
	s.readBrands()
	return s, nil
}

func (s *Sender) number(name string, otherwise float64) float64 {
	if n, err := strconv.ParseFloat(s.set[name], 64); err == nil {
		return n
	}
	return otherwise
}

// span reads a time, rounded down: spans bound what may still be done.
func (s *Sender) span(name string, otherwise Time) Time {
	return Time(s.number(name, float64(otherwise)*100) / 100)
}

// perName reads the value of a setting that holds one for each of the names that another lists.
func (s *Sender) perName(setting, names, name string) string {
	values := strings.Split(s.set[setting], ",")
	if i := slices.Index(strings.Split(s.set[names], ","), name); i >= 0 && i < len(values) {
		return values[i]
	}
	return ""
}

// perKind reads the value of a setting that holds one for each kind.
func (s *Sender) perKind(setting, kind string) string { return s.perName(setting, "Kinds", kind) }

// advice is as much of a wait as a client may be told, 0 where it may be told none.
func (s *Sender) advice(wait Time) Time {
	if s.set["Permissions.RetryAfter"] != "true" {
		return 0
	}
	return min(wait, s.span("Permissions.MaxRetryAfterUs", 0))
}

func (s *Sender) readProducts() {
	for i := range int(s.number("RequestClasses.count", 0)) {
		at := fmt.Sprintf("RequestClasses.%d.", i)
		name := s.set[at+"Name"]
		s.products[name] = &product{name: name, repeat: s.set[at+"Repeat"], sla: s.span(at+"ObjectiveUs", 0),
			window: s.span(at+"RepeatWindowUs", 0), zoned: s.set[at+"Group"] != "all",
			inOrder: s.set[at+"SerialByKey"] == "true", value: s.number(at+"Value", 1),
			lateKeep: s.number(at+"LateShare", 0), validity: s.span(at+"HardLimitUs", 0)}
	}
}

// readBrands takes from the settings this sender's even part of each brand's share.
func (s *Sender) readBrands() {
	for i := range int(s.number("Orgs.count", 0)) {
		at := fmt.Sprintf("Orgs.%d.", i)
		s.brands[s.set[at+"Name"]] = &brand{part: s.number(at+"QuotaPerS", 0) / s.senders()}
	}
}

// Validate looks at the settings of how a deployment is put together that have a default where they are left out: one
// that makes no sense must not be read as that default in silence. The error begins with the setting.
func (set Settings) Validate() error {
	if mode := set["RegistryMode"]; mode != "" && mode != "push" && mode != "ask" {
		return fmt.Errorf("RegistryMode: %q is neither push nor ask", mode)
	}
	if fees := set["Specifics.Carriage"]; fees != "" {
		all, zones := strings.Split(fees, ","), strings.Split(set["FailureDomains"], ",")
		for _, fee := range all {
			if n, err := strconv.ParseFloat(fee, 64); err != nil || !(n >= 0) {
				return fmt.Errorf("Specifics.Carriage: %q is no fee", fee)
			}
		}
		if len(all) > 1 && len(all) != len(zones) {
			return fmt.Errorf("Specifics.Carriage: %d fees for %d FailureDomains", len(all), len(zones))
		}
	}
	err := cmp.Or(set.figure("Contract.AskEveryUs", 1, 1e12), set.figure("OverShareWorth", 0, 1), set.figure("Orgs.count", 0, 1e6))
	brands, _ := strconv.ParseFloat(set["Orgs.count"], 64)
	for i := 0; err == nil && i < int(brands); i++ {
		err = set.figure(fmt.Sprintf("Orgs.%d.QuotaPerS", i), 0, math.MaxFloat64)
	}
	return err
}

// figure checks a number that lies within bounds where it is said at all.
func (set Settings) figure(key string, least, most float64) error {
	v, said := set[key]
	if n, err := strconv.ParseFloat(v, 64); said && (err != nil || !(n >= least && n <= most)) {
		return fmt.Errorf("%s: %q is no number from %v to %v", key, v, least, most)
	}
	return nil
}

// senders is how many share what a destination takes.
func (s *Sender) senders() float64 { return max(1, s.number("Instances", 1)) }

// reports: answers may tell of the allowance.
func (s *Sender) reports() bool { return s.set["Report.Names"] != "" }

// reading finds share and limit in a report; false if they are not there.
func (s *Sender) reading(report []float64) (share, limit float64, ok bool) {
	names := strings.Split(s.set["Report.Names"], ",")
	x0, x1 := slices.Index(names, "x0"), slices.Index(names, "x1")
	if x0 < 0 || x1 < 0 || x0 >= len(report) || x1 >= len(report) {
		return 0, 0, false
	}
	return report[x0], report[x1], !math.IsNaN(report[x0]) && !math.IsNaN(report[x1])
}

// idleTime is after how long an idle connection closes by itself.
func (s *Sender) idleTime() Time {
	if idle := s.span("Permissions.ConnIdleUs", 0); idle > 0 {
		return idle
	}
	return math.MaxInt64
}
