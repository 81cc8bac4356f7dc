package world

import (
	"errors"
	"fmt"
	"slices"

	"emberquay/internal/tomlfile"
)

// World describes the days that can be drawn. A list of two numbers is a range from which each day draws a value.
type World struct {
	Seed    uint64    `toml:"seed" comment:"of the day, where none is given on the command line"`
	Seconds float64   `toml:"seconds" range:"1 3600" comment:"for which texts arrive; then what is held may end"`
	Senders int       `toml:"senders" range:"1 1000"`
	Load    Load      `toml:"load" comment:"what clients hand in"`
	Clients Clients   `toml:"clients" comment:"how clients behave"`
	List    List      `toml:"list" comment:"the list of receivers, as the platform tells it"`
	Sender  Sender    `toml:"sender" comment:"what a sender is given"`
	Rules   Rules     `toml:"rules" comment:"figures of the six rules"`
	Product []Product `toml:"product" comment:"kinds of text"`
	Kind    []Kind    `toml:"kind" comment:"kinds of destination"`
	Trouble []Trouble `toml:"trouble" comment:"what goes wrong, and when"`
	Fate    []Fate    `toml:"fate" comment:"what befalls the senders"`
}

// Load describes the arrival of texts.
type Load struct {
	PerSecond float64   `toml:"texts_per_s" range:"0.1 2000" comment:"mean over the day"`
	Swing     float64   `toml:"swing" range:"0 0.9" comment:"the rate waves up and down by this share"`
	WaveS     float64   `toml:"wave_s" range:"1 600" comment:"length of a wave"`
	Clumps    float64   `toml:"clumps" range:"0 0.9" comment:"share of the texts that come in clumps for one destination"`
	ClumpS    []float64 `toml:"clump_s" range:"0 30" comment:"a clump is as much as a destination takes in so long"`
	Zipf      float64   `toml:"zipf" range:"0 3" comment:"how far a few destinations get most of the traffic"`
	BodyBytes []float64 `toml:"body_bytes" range:"0 65536"`
}

// Clients describes the behavior of clients.
type Clients struct {
	PatienceMs float64   `toml:"patience_ms" range:"10 10000" comment:"for the answer to a hand-in; then the connection is closed"`
	Retries    int       `toml:"retries" range:"0 20" comment:"after a nack, at most"`
	BackoffMs  []float64 `toml:"backoff_ms" range:"1 60000" comment:"before the first; doubles"`
	Honour     float64   `toml:"honour" range:"0 1" comment:"share that keep to the advice that comes with a nack"`
	AgainMs    []float64 `toml:"again_ms" range:"1 60000" comment:"after a sender that died or gave no answer"`
	Marks      bool      `toml:"marks_retry" comment:"whether a repeat is marked as one"`
	NoticeS    []float64 `toml:"notice_s" range:"0 60" comment:"until the front notices that a sender has died"`
	Conns      int       `toml:"conns" range:"1 10000" comment:"connections to each sender at most"`
}

// List describes how the platform reports the receiver list to senders.
type List struct {
	LagS       []float64 `toml:"lag_s" range:"0 60" comment:"between a change and its telling, to each sender apart"`
	HeartbeatS float64   `toml:"heartbeat_s" range:"0.1 60"`
	Known      bool      `toml:"known" comment:"a sender starts with the list, else it has to ask"`
	Rate       string    `toml:"rate" oneof:"none nominal rough" comment:"what the list tells of a destination's rate"`
}

// Sender describes the resources and limits of a sender.
type Sender struct {
	Cores      float64 `toml:"cores" range:"0.1 64"`
	MemoryMB   float64 `toml:"memory_mb" range:"16 65536"`
	Sockets    float64 `toml:"sockets" range:"64 65536"`
	DiskMB     float64 `toml:"disk_mb" range:"0.1 1048576"`
	SlotsRoom  float64 `toml:"slots_room" range:"0.5 100" comment:"calls at once, times what its part of the load keeps busy"`
	HoldS      float64 `toml:"hold_s" range:"0.1 3600" comment:"texts held, in seconds of its part of the load"`
	Submits    int     `toml:"submits" range:"1 100" comment:"for a text, at most"`
	ConnIdleS  float64 `toml:"conn_idle_s" range:"0.1 600" comment:"receivers close a connection idle for so long"`
	DialMs     float64 `toml:"dial_ms" range:"1 60000"`
	AdviceS    float64 `toml:"advice_s" range:"0 60" comment:"the longest advice that goes with a nack; 0: none"`
	ReadyWithS float64 `toml:"ready_within_s" range:"0.1 60" comment:"a sender that starts answers GET /up by then"`
}

// Rules holds the parameters of the six rules that the referee checks.
type Rules struct {
	SlackMs       float64 `toml:"slack_ms" range:"0 1000" comment:"on every limit of time, as messages travel"`
	EndMs         float64 `toml:"end_ms" range:"0 10000" comment:"past the validity period an end may come so late"`
	DrainMs       float64 `toml:"drain_ms" range:"0 60000" comment:"after a drain is told, fresh submits may still leave so long"`
	WaitExcuseMs  float64 `toml:"wait_excuse_ms" range:"0 1000" comment:"after a wait is told, calls may still arrive so long"`
	RestartMs     float64 `toml:"restart_ms" range:"0 60000" comment:"after a restart, no end is overdue for so long"`
	FallMultiple  float64 `toml:"fall_multiple" range:"1 100" comment:"a cold receiver sent more than this times its capacity"`
	FallS         float64 `toml:"fall_s" range:"0.1 60" comment:"for so long falls over"`
	FallSlack     float64 `toml:"fall_slack" range:"0 100" comment:"calls more than that, for chance"`
	ColdFrom      float64 `toml:"cold_from" range:"0.01 1" comment:"capacity after an outage, as a share"`
	ColdS         float64 `toml:"cold_s" range:"0 600" comment:"until it is warm"`
	ListLatestS   float64 `toml:"list_latest_s" range:"0 60" comment:"what the list has to tell counts as told by then"`
	KeyRestMs     float64 `toml:"key_rest_ms" range:"0 60000" comment:"a key rests so long after a submit that may run on"`
	RestartClears bool    `toml:"restart_clears_waits" comment:"a sender that starts anew is told its waits anew"`
}

// Product describes a class of texts.
type Product struct {
	Name      string  `toml:"name"`
	Share     float64 `toml:"share" range:"0 1000000" comment:"of the texts, beside the other products'"`
	SLAS      float64 `toml:"sla_s" range:"0.01 3600" comment:"SLA time: wanted by"`
	ValidityS float64 `toml:"validity_s" range:"0.01 3600" comment:"validity period: the client gives up"`
	Repeat    string  `toml:"repeat" oneof:"resendable referenced once-only"`
	WindowS   float64 `toml:"window_s" range:"0 3600" comment:"for referenced: a repeat is known so long"`
	Ordered   bool    `toml:"ordered" comment:"texts of one key go one at a time, in order"`
	Keys      int     `toml:"keys" range:"0 1000000" comment:"for ordered: so many keys"`
	Revenue   float64 `toml:"revenue" range:"0 1000000"`
	LateShare float64 `toml:"late_share" range:"0 1" comment:"of the revenue that is left at the end; it halves with each SLA time"`
}

// Kind describes a class of destinations.
type Kind struct {
	Name         string    `toml:"name"`
	Destinations int       `toml:"destinations" range:"1 100000"`
	Endpoints    []float64 `toml:"endpoints" range:"1 16" comment:"receivers of a destination"`
	ServiceMs    []float64 `toml:"service_ms" range:"0.1 600000" comment:"mean of a destination; a call draws round it"`
	ServiceCV    float64   `toml:"service_cv" range:"0 5"`
	Spare        []float64 `toml:"spare" range:"0.1 100" comment:"calls served, times its traffic"`
	Queue        float64   `toml:"queue" range:"0 1000" comment:"calls that wait, for each that is served at once"`
	Limit        string    `toml:"limit" oneof:"none rate span" comment:"of a destination, for all senders together"`
	Headroom     []float64 `toml:"headroom" range:"0.1 100" comment:"the limit, times its traffic"`
	LeastPerS    float64   `toml:"least_per_s" range:"0 10000" comment:"the limit at least"`
	SpanS        float64   `toml:"span_s" range:"0 60" comment:"for span: a count in each span"`
	RefusedCount bool      `toml:"refused_count" comment:"refused calls use up the limit too"`
	TellsWait    float64   `toml:"tells_wait" range:"0 1" comment:"share of refusals that tell how long to wait"`
	WaitMs       []float64 `toml:"wait_ms" range:"0 60000" comment:"for rate: what is told, more if it takes longer"`
	Reports      bool      `toml:"reports" comment:"answers tell x0 (share of the limit left) and x1 (the limit, calls a second)"`
	ReportMs     []float64 `toml:"report_ms" range:"0 60000" comment:"reports are refreshed as seldom"`
	Conns        float64   `toml:"conns" range:"0 1000" comment:"connections, idle ones too, for each call served at once; 0: any number"`
	Errors       float64   `toml:"errors" range:"0 1" comment:"share of calls answered with an error on a good day"`
}

// Trouble describes a fault or load change of the environment.
type Trouble struct {
	What   string  `toml:"what" oneof:"refuse reset silent errors full slow pause cut drain replace list_silent list_cut flash hot"`
	AtS    float64 `toml:"at_s" range:"0 3600"`
	ForS   float64 `toml:"for_s" range:"0 3600"`
	Kind   string  `toml:"kind" comment:"struck is a destination of this kind; empty: of any"`
	Share  float64 `toml:"share" range:"0 1" comment:"of the traffic that is struck, at least one destination"`
	LaterS float64 `toml:"later_s" range:"0 3600" comment:"it comes so much later at most, drawn"`
	Factor float64 `toml:"factor" range:"0 1000" comment:"errors: share that fails; slow: times as long; cut: share of the limit that is left; flash, hot: share more; pause: ms each second"`
}

// Fate describes a signal sent to a sender, and its restart.
type Fate struct {
	What   string  `toml:"what" oneof:"term kill hup"`
	Sender int     `toml:"sender" range:"0 999"`
	Share  float64 `toml:"share" range:"0 1" comment:"of the senders, drawn, in place of the one"`
	AtS    float64 `toml:"at_s" range:"0 3600"`
	LaterS float64 `toml:"later_s" range:"0 3600" comment:"it comes so much later at most, drawn"`
	DownS  float64 `toml:"down_s" range:"0 60" comment:"until it is started again"`
}

// Read parses and validates a world description. Omitted values are those of Default, except that there are no troubles
// and fates other than the described ones.
func Read(raw []byte) (*World, error) {
	w := Default()
	w.Trouble, w.Fate = nil, nil
	if err := tomlfile.Decode(raw, w); err != nil {
		return nil, err
	}
	return w, w.validate()
}

// validate checks the constraints between values.
func (w *World) validate() error {
	switch {
	case len(w.Product) == 0:
		return errors.New("product: none is described")
	case len(w.Kind) == 0:
		return errors.New("kind: none is described")
	}
	share, names := 0.0, map[string]bool{}
	for i, p := range w.Product {
		at := fmt.Sprintf("product %d (%s)", i+1, p.Name)
		switch {
		case p.Name == "" || names[p.Name]:
			return fmt.Errorf("%s: name: empty or given twice", at)
		case p.SLAS > p.ValidityS:
			return fmt.Errorf("%s: sla_s: %v is over validity_s, %v", at, p.SLAS, p.ValidityS)
		case p.Repeat == "referenced" && p.WindowS == 0:
			return fmt.Errorf("%s: window_s: missing; a referenced product needs one", at)
		case p.Ordered && p.Keys == 0:
			return fmt.Errorf("%s: keys: missing; an ordered product needs some", at)
		}
		names[p.Name] = true
		share += p.Share
	}
	if share <= 0 {
		return errors.New("product: share: no product has one")
	}
	kinds := []string{""}
	for i, k := range w.Kind {
		at := fmt.Sprintf("kind %d (%s)", i+1, k.Name)
		switch {
		case k.Name == "" || slices.Contains(kinds, k.Name):
			return fmt.Errorf("%s: name: empty or given twice", at)
		case k.Limit == "span" && k.SpanS == 0:
			return fmt.Errorf("%s: span_s: missing; a limit by span needs it", at)
		}
		for _, r := range []struct {
			key  string
			row  []float64
			must bool
		}{{"endpoints", k.Endpoints, true}, {"service_ms", k.ServiceMs, true}, {"spare", k.Spare, true},
			{"headroom", k.Headroom, k.Limit != "none"}, {"wait_ms", k.WaitMs, false}, {"report_ms", k.ReportMs, false}} {
			if invalidRange(r.row, r.must) {
				return fmt.Errorf("%s: %s: %v is neither one number nor a range", at, r.key, r.row)
			}
		}
		kinds = append(kinds, k.Name)
	}
	for i, t := range w.Trouble {
		if !slices.Contains(kinds, t.Kind) {
			return fmt.Errorf("trouble %d (%s): kind: %q is not described; allowed: %q", i+1, t.What, t.Kind, kinds[1:])
		}
		if t.What == "cut" && (t.Factor <= 0 || t.Factor > 1) {
			return fmt.Errorf("trouble %d (cut): factor: %v is no share of a limit", i+1, t.Factor)
		}
		if t.What == "errors" && t.Factor > 1 {
			return fmt.Errorf("trouble %d (errors): factor: %v is no share", i+1, t.Factor)
		}
	}
	for i, f := range w.Fate {
		if f.Sender >= w.Senders {
			return fmt.Errorf("fate %d (%s): sender: %d, but there are %d, from 0", i+1, f.What, f.Sender, w.Senders)
		}
	}
	for _, r := range []struct {
		key string
		row []float64
	}{{"load.clump_s", w.Load.ClumpS}, {"load.body_bytes", w.Load.BodyBytes}, {"clients.backoff_ms", w.Clients.BackoffMs},
		{"clients.again_ms", w.Clients.AgainMs}, {"clients.notice_s", w.Clients.NoticeS}, {"list.lag_s", w.List.LagS}} {
		if invalidRange(r.row, true) {
			return fmt.Errorf("%s: %v is neither one number nor a range", r.key, r.row)
		}
	}
	return nil
}

// invalidRange reports whether bounds is neither one number nor an ascending pair. It may be empty unless required.
func invalidRange(bounds []float64, required bool) bool {
	return required && len(bounds) == 0 || len(bounds) > 2 || len(bounds) == 2 && bounds[0] > bounds[1]
}

// Default returns the short day with faults of `quaylab try`: two senders, a dozen receivers, an outage, a drain, a kill.
func Default() *World {
	return &World{
		Seed: 1, Seconds: 9, Senders: 2,
		Load: Load{PerSecond: 60, Swing: 0.2, WaveS: 6, Clumps: 0.1, ClumpS: []float64{0.5, 1.5}, Zipf: 0.8, BodyBytes: []float64{100, 400}},
		Clients: Clients{PatienceMs: 400, Retries: 2, BackoffMs: []float64{500, 1000}, Honour: 0.7, AgainMs: []float64{300, 1500},
			Marks: true, NoticeS: []float64{0.5, 1.5}, Conns: 64},
		List: List{LagS: []float64{0.2, 1}, HeartbeatS: 2, Known: true, Rate: "rough"},
		Sender: Sender{Cores: 1, MemoryMB: 64, Sockets: 512, DiskMB: 3, SlotsRoom: 2, HoldS: 8, Submits: 12, ConnIdleS: 5, DialMs: 1000,
			AdviceS: 3, ReadyWithS: 5},
		Rules: Rules{SlackMs: 50, EndMs: 300, DrainMs: 1000, WaitExcuseMs: 100, RestartMs: 1500, FallMultiple: 2, FallS: 3,
			FallSlack: 3, ColdFrom: 0.2, ColdS: 6, ListLatestS: 6, KeyRestMs: 300, RestartClears: true},
		Product: []Product{
			{Name: "order", Share: 0.57, SLAS: 2, ValidityS: 8, Repeat: "referenced", WindowS: 5, Revenue: 1, LateShare: 0.3},
			{Name: "status", Share: 0.4, SLAS: 2, ValidityS: 6, Repeat: "resendable", Revenue: 3, LateShare: 0.3},
			{Name: "charge", Share: 0.03, SLAS: 2, ValidityS: 8, Repeat: "once-only", Ordered: true, Keys: 3, Revenue: 2, LateShare: 0.3},
		},
		Kind: []Kind{
			{Name: "large", Destinations: 2, Endpoints: []float64{2, 2}, ServiceMs: []float64{80, 140}, ServiceCV: 0.6, Spare: []float64{1.4, 1.8},
				Queue: 2, Limit: "span", SpanS: 2, Headroom: []float64{1.2, 1.8}, LeastPerS: 4, TellsWait: 0.8, Reports: true,
				ReportMs: []float64{150, 400}, Errors: 0.001},
			{Name: "small", Destinations: 3, Endpoints: []float64{1, 2}, ServiceMs: []float64{80, 160}, ServiceCV: 0.6, Spare: []float64{1.4, 1.8},
				Queue: 2, Limit: "rate", Headroom: []float64{1.1, 1.8}, LeastPerS: 3, TellsWait: 0.4, WaitMs: []float64{300, 800},
				RefusedCount: true, Reports: true, ReportMs: []float64{150, 400}, Conns: 4, Errors: 0.001},
			{Name: "plain", Destinations: 3, Endpoints: []float64{1, 1}, ServiceMs: []float64{60, 120}, ServiceCV: 0.8, Spare: []float64{1.3, 1.8},
				Queue: 3, Limit: "none", Conns: 4, Errors: 0.002},
		},
		Trouble: []Trouble{
			{What: "silent", AtS: 2.5, ForS: 2, Share: 0.1},
			{What: "drain", AtS: 4, ForS: 3, Kind: "large"},
		},
		Fate: []Fate{{What: "kill", Sender: 1, AtS: 5.5, DownS: 0.6}},
	}
}

// Print encodes a world as a commented TOML file.
func Print(w *World) ([]byte, error) { return tomlfile.Encode(w) }
