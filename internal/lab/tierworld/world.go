package tierworld

import "time"

// Services of the receivers, as named by the routes of the day's configuration.
const (
	Alfa  = "alfa"  // plain requests: reads, orders, tools
	Beta  = "beta"  // plain requests on routes that are added or moved
	Model = "model" // streams and turns
)

// Kinds of arrivals that a burst can multiply.
const (
	PlainCalls = "plain"
	TextCalls  = "texts"
	AgentRuns  = "programs"
)

// World describes a day. A list of two numbers holds the bounds of a uniform draw.
type World struct {
	Seconds   float64   `toml:"seconds" range:"1 600" comment:"of traffic; every trouble ends by then"`
	Tier      Tier      `toml:"tier" comment:"processes of each role; the loss of one disk is borne"`
	Receivers Receivers `toml:"receivers"`
	Traffic   Traffic   `toml:"traffic"`
	Programs  Programs  `toml:"programs"`
	Trouble   []Trouble `toml:"trouble"`
}

// Tier sets the number of processes of each role. Three control planes and three stores are the minimum that
// tolerates the loss of one while orders are accepted and budgets granted.
type Tier struct {
	ControlPlanes int `toml:"control_planes" range:"3 9"`
	Stores        int `toml:"stores" range:"3 12"`
	Proxies       int `toml:"proxies" range:"1 120"`
	// Forwarders is the number of further control planes, which have no disk and do not vote.
	Forwarders int `toml:"forwarders,omitempty" range:"0 9" comment:"control planes more, without a disk and without a vote"`
	// IdleRoutes is the number of routes of the configuration that no client uses. A route takes some 330 bytes.
	IdleRoutes int `toml:"idle_routes,omitempty" range:"0 12000" comment:"routes of the configuration that no client uses"`
	// Cores is the number of cores that all processes of the tier share, as on machines with few of them.
	Cores int `toml:"cores,omitempty" range:"0 64" comment:"cores that all processes share; 0: all there are"`
	// ProcessorShare is the share of each tenth of a second that a proxy runs at full speed; it is paused for the rest.
	ProcessorShare float64 `toml:"processor_share,omitempty" range:"0 1" comment:"of each tenth of a second, for a proxy; 0: all of it"`
}

// Receivers describes the receivers of each service.
type Receivers struct {
	Alfa  PlainReceivers `toml:"alfa" comment:"answer reads, orders and tools"`
	Beta  PlainReceivers `toml:"beta" comment:"answer routes that are added or moved later"`
	Model ModelReceivers `toml:"model" comment:"stream answers"`
}

// PlainReceivers describes the receivers of a service with plain answers.
type PlainReceivers struct {
	Count  int       `toml:"count" range:"1 12"`
	Slots  int       `toml:"slots" range:"1 64" comment:"requests that are worked on at once"`
	Queue  int       `toml:"queue" range:"0 256" comment:"that may wait; further ones are turned away"`
	WorkMs []float64 `toml:"work_ms" range:"0.1 10000" comment:"for one request: least, most"`
	Errors float64   `toml:"errors" range:"0 1" comment:"share of requests that get a 500 of its own"`
}

// ModelReceivers describes the receivers that run language models.
type ModelReceivers struct {
	Count        int     `toml:"count" range:"1 12"`
	Slots        int     `toml:"slots" range:"1 64" comment:"requests in the batch"`
	Queue        int     `toml:"queue" range:"0 256" comment:"that may wait; further ones are turned away"`
	MemoryTokens int     `toml:"memory_tokens" range:"1000 1000000" comment:"of requests and cached prompts"`
	PassMs       float64 `toml:"pass_ms" range:"0.1 1000" comment:"a pass over a batch of one; a token for each"`
	EachMs       float64 `toml:"each_ms" range:"0 100" comment:"more for each further request in the batch"`
	PrefillMs    float64 `toml:"prefill_ms" range:"0 100" comment:"more for each hundred prompt tokens read"`
	PrefillPiece int     `toml:"prefill_piece" range:"16 8192" comment:"prompt tokens that one pass reads"`
}

// Traffic describes the arrivals other than programs, each kind at randomly drawn times.
type Traffic struct {
	PlainPerS    float64 `toml:"plain_per_s" range:"0 300" comment:"plain calls a second"`
	Unsafe       float64 `toml:"unsafe" range:"0 1" comment:"share of plain calls that may not be repeated"`
	TextsPerS    float64 `toml:"texts_per_s" range:"0 50" comment:"streams a second that are no turns"`
	PromptTokens []int   `toml:"prompt_tokens" range:"101 100000" comment:"of a stream's prompt: least, most"`
	OutTokens    []int   `toml:"out_tokens" range:"1 4000" comment:"of a stream's answer: least, most"`
	Clients      int     `toml:"clients" range:"1 200" comment:"of a kind; each has one call at a time"`
}

// Programs describes the runs of agents: a turn, parallel tool calls, further turns, parallel sub-agents and a last
// turn.
type Programs struct {
	PerS          float64 `toml:"per_s" range:"0 20" comment:"programs that begin in a second"`
	Turns         int     `toml:"turns" range:"1 20" comment:"of the agent itself"`
	Tools         int     `toml:"tools" range:"0 8" comment:"calls side by side after the first turn"`
	SubAgents     int     `toml:"sub_agents" range:"0 8" comment:"side by side before the last turn"`
	SubTurns      int     `toml:"sub_turns" range:"1 10" comment:"of each sub-agent"`
	OutTokens     []int   `toml:"out_tokens" range:"3 4000" comment:"of a turn's answer: least, most"`
	Budget        []int   `toml:"budget" range:"1 1000000" comment:"tokens of a program: least, most"`
	Retained      bool    `toml:"retained" comment:"the tier keeps the turns; else each carries its whole history"`
	Looping       float64 `toml:"looping" range:"0 1" comment:"share that goes on until its budget ends it"`
	LoopingBudget int     `toml:"looping_budget" range:"1 1000000" comment:"tokens, of these"`
	FinishS       float64 `toml:"finish_s" range:"0.1 600" comment:"what a program may take, as it tells the tier"`
}

// Trouble describes one planned change or fault. The keys that it accepts depend on its kind.
type Trouble struct {
	Kind   TroubleKind `toml:"what"` // one of kindSpecs
	AtS    float64     `toml:"at_s" range:"0 600"`
	ForS   float64     `toml:"for_s,omitempty" range:"0 600"`
	Target string      `toml:"on,omitempty"`
	Index  int         `toml:"no,omitempty" range:"0 119"`
	Share  float64     `toml:"share,omitempty" range:"0 1"`
	Factor float64     `toml:"factor,omitempty" range:"0 50"`
	Next   string      `toml:"next,omitempty"`
}

// TrafficDuration returns how long the traffic lasts.
func (w *World) TrafficDuration() time.Duration { return secondsToDuration(w.Seconds) }

// secondsToDuration converts seconds to a duration.
func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// receiverCount returns the number of receivers of a service.
func (r *Receivers) receiverCount(service string) int {
	switch service {
	case Alfa:
		return r.Alfa.Count
	case Beta:
		return r.Beta.Count
	case Model:
		return r.Model.Count
	}
	return 0
}

// ServicePerReceiver returns the service of each receiver; the receivers of a service are adjacent.
func (r *Receivers) ServicePerReceiver() []string {
	var serviceNames []string
	for _, service := range services {
		for range r.receiverCount(service) {
			serviceNames = append(serviceNames, service)
		}
	}
	return serviceNames
}

// ReceiverIndex returns the index in ServicePerReceiver of a service's receiver with the given number.
func (r *Receivers) ReceiverIndex(service string, index int) int {
	first := 0
	for _, s := range services {
		if s == service {
			break
		}
		first += r.receiverCount(s)
	}
	return first + index
}

var services = []string{Alfa, Beta, Model}
