package world

import "math"

// Settings returns the module's settings for a day, in the form that the platform writes.
func (d *Day) Settings() map[string]any {
	w := d.World
	us := func(ms float64) float64 { return math.Round(ms * 1000) }
	var kinds []string
	var routesApart []bool
	var bundleMax []int
	reports := false
	for _, k := range w.Kind {
		kinds, routesApart, bundleMax = append(kinds, k.Name), append(routesApart, false), append(bundleMax, 1)
		reports = reports || k.Reports
	}
	var classes []map[string]any
	for _, p := range w.Product {
		kind := map[string]string{"resendable": "safe", "referenced": "keyed", "once-only": "unsafe"}[p.Repeat]
		classes = append(classes, map[string]any{"Name": p.Name, "Repeat": kind, "Group": "all", "RepeatWindowUs": us(p.WindowS * 1000),
			"SerialByKey": p.Ordered, "ObjectiveUs": us(p.SLAS * 1000), "HardLimitUs": us(p.ValidityS * 1000), "Value": p.Revenue,
			"LateShare": p.LateShare, "Streaming": false})
	}
	busyCalls := 0.0
	for _, dest := range d.Destinations {
		busyCalls += dest.TextsPerSecond * dest.Receivers[0].ServiceTime.Seconds()
	}
	senderShare := 1 / float64(w.Senders)
	settings := map[string]any{
		"Instances": w.Senders, "Kinds": kinds, "Workload": "deliver", "RequestClasses": classes,
		"WeightSource": map[string]string{"none": "silent", "nominal": "nominal", "rough": "rough"}[w.List.Rate],
		"Specifics": map[string]any{"MaxCalls": max(4, int(math.Ceil(w.Sender.SlotsRoom*busyCalls*senderShare))), "Fades": "halves",
			"RoutesApart": routesApart, "BundleMax": bundleMax},
		"Permissions": map[string]any{"MayCancel": true, "TryLimit": w.Sender.Submits, "RetryAfter": w.Sender.AdviceS > 0,
			"MaxRetryAfterUs": us(w.Sender.AdviceS * 1000), "ConnIdleUs": us(w.Sender.ConnIdleS * 1000), "DialTimeoutUs": us(w.Sender.DialMs),
			"MaxOpen": max(16, int(w.Sender.HoldS*w.Load.PerSecond*senderShare)), "Peers": false, "Probes": false, "MayDuplicate": false},
		"Contract": map[string]any{"AnswerSlackUs": us(w.Rules.EndMs), "ColdFrom": w.Rules.ColdFrom, "RampTimeUs": us(w.Rules.ColdS * 1000),
			"StopSendingWithinUs": us(w.Rules.DrainMs), "FallMultiple": w.Rules.FallMultiple, "FallUs": us(w.Rules.FallS * 1000),
			"KeyRestUs": us(w.Rules.KeyRestMs)},
		"Clients": map[string]any{"MarksRetry": w.Clients.Marks},
	}
	if reports {
		settings["Report"] = map[string]any{"Names": []string{"x0", "x1"}, "How": "piggyback"}
	}
	return settings
}
