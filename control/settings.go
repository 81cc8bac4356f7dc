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

// Reading of the settings; most are read where they are used.

// New returns a sender. The error for an invalid setting names it.
func New(seed uint64, settings Settings, actions Actions) (*Sender, error) {
	if err := settings.Validate(); err != nil {
		return nil, fmt.Errorf("setting %w", err)
	}
	s := newSender(seed, settings, actions)
	for _, name := range slices.Sorted(maps.Keys(settings)) {
		if strings.HasSuffix(name, "Us") && s.number(name, 0) < 0 {
			return nil, fmt.Errorf("setting %s is a negative time", name)
		}
	}
	for _, name := range []string{"Specifics.MaxCalls", "Permissions.TryLimit", "RequestClasses.count"} {
		if s.number(name, 0) < 1 {
			return nil, fmt.Errorf("setting %s is less than 1 or no number", name)
		}
	}
	s.maxCalls = int(s.number("Specifics.MaxCalls", 1))
	s.readProducts()
	for _, p := range s.products {
		s.longestSLA = max(s.longestSLA, p.sla)
		s.shortestSLA = min(cmp.Or(s.shortestSLA, p.sla), p.sla)
		p.callDuration = float64(p.sla) / slaToCallRatio
	}
	s.readBrands()
	return s, nil
}

func (s *Sender) number(name string, fallback float64) float64 {
	if n, err := strconv.ParseFloat(s.settings[name], 64); err == nil {
		return n
	}
	return fallback
}

// duration reads a time in microseconds, rounded down because durations limit what may still be done.
func (s *Sender) duration(name string, fallback Time) Time {
	return Time(s.number(name, float64(fallback)*100) / 100)
}

// valueFor reads one value of a setting that holds a value for each name in another setting.
func (s *Sender) valueFor(setting, names, name string) string {
	values := strings.Split(s.settings[setting], ",")
	if i := slices.Index(strings.Split(s.settings[names], ","), name); i >= 0 && i < len(values) {
		return values[i]
	}
	return ""
}

// kindValue reads one value of a setting that holds a value for each kind of receiver.
func (s *Sender) kindValue(setting, kind string) string { return s.valueFor(setting, "Kinds", kind) }

// retryAdvice returns a wait, capped to what clients may be told; 0 if they may be told none.
func (s *Sender) retryAdvice(wait Time) Time {
	if s.settings["Permissions.RetryAfter"] != "true" {
		return 0
	}
	return min(wait, s.duration("Permissions.MaxRetryAfterUs", 0))
}

func (s *Sender) readProducts() {
	for i := range int(s.number("RequestClasses.count", 0)) {
		prefix := fmt.Sprintf("RequestClasses.%d.", i)
		name := s.settings[prefix+"Name"]
		s.products[name] = &product{name: name, repeatPolicy: s.settings[prefix+"Repeat"], sla: s.duration(prefix+"ObjectiveUs", 0),
			repeatWindow: s.duration(prefix+"RepeatWindowUs", 0), zoneScoped: s.settings[prefix+"Group"] != "all",
			inOrder: s.settings[prefix+"SerialByKey"] == "true", value: s.number(prefix+"Value", 1),
			lateShare: s.number(prefix+"LateShare", 0), validity: s.duration(prefix+"HardLimitUs", 0)}
	}
}

// readBrands reads the quota of each brand and keeps this sender's even part of it.
func (s *Sender) readBrands() {
	for i := range int(s.number("Orgs.count", 0)) {
		prefix := fmt.Sprintf("Orgs.%d.", i)
		s.brands[s.settings[prefix+"Name"]] = &brand{quotaPerS: s.number(prefix+"QuotaPerS", 0) / s.senderCount()}
	}
}

// Validate checks the deployment settings that have a default when they are missing: an invalid value must not
// silently be read as that default. The error begins with the name of the setting.
func (settings Settings) Validate() error {
	if mode := settings["RegistryMode"]; mode != "" && mode != "push" && mode != "ask" {
		return fmt.Errorf("RegistryMode: %q is neither push nor ask", mode)
	}
	if fees := settings["Specifics.Carriage"]; fees != "" {
		values, zones := strings.Split(fees, ","), strings.Split(settings["FailureDomains"], ",")
		for _, fee := range values {
			if n, err := strconv.ParseFloat(fee, 64); err != nil || !(n >= 0) {
				return fmt.Errorf("Specifics.Carriage: %q is no fee", fee)
			}
		}
		if len(values) > 1 && len(values) != len(zones) {
			return fmt.Errorf("Specifics.Carriage: %d fees for %d FailureDomains", len(values), len(zones))
		}
	}
	err := cmp.Or(settings.checkRange("Contract.AskEveryUs", 1, 1e12), settings.checkRange("OverShareWorth", 0, 1), settings.checkRange("Orgs.count", 0, 1e6))
	brands, _ := strconv.ParseFloat(settings["Orgs.count"], 64)
	for i := 0; err == nil && i < int(brands); i++ {
		err = settings.checkRange(fmt.Sprintf("Orgs.%d.QuotaPerS", i), 0, math.MaxFloat64)
	}
	return err
}

// checkRange checks that a setting, if present, is a number within bounds.
func (settings Settings) checkRange(key string, low, high float64) error {
	v, present := settings[key]
	if n, err := strconv.ParseFloat(v, 64); present && (err != nil || !(n >= low && n <= high)) {
		return fmt.Errorf("%s: %q is no number from %v to %v", key, v, low, high)
	}
	return nil
}

// senderCount returns how many senders share the capacity of a destination.
func (s *Sender) senderCount() float64 { return max(1, s.number("Instances", 1)) }

// hasReports reports whether responses may report the allowance.
func (s *Sender) hasReports() bool { return s.settings["Report.Names"] != "" }

// parseReport returns the remaining share of the limit, and the limit, from a report; false if they are missing.
func (s *Sender) parseReport(report []float64) (remainingShare, limit float64, ok bool) {
	names := strings.Split(s.settings["Report.Names"], ",")
	x0, x1 := slices.Index(names, "x0"), slices.Index(names, "x1")
	if x0 < 0 || x1 < 0 || x0 >= len(report) || x1 >= len(report) {
		return 0, 0, false
	}
	return report[x0], report[x1], !math.IsNaN(report[x0]) && !math.IsNaN(report[x1])
}

// connIdleTimeout returns after how long the receiver closes an idle connection.
func (s *Sender) connIdleTimeout() Time {
	if idle := s.duration("Permissions.ConnIdleUs", 0); idle > 0 {
		return idle
	}
	return math.MaxInt64
}
