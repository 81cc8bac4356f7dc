package tierlab

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"emberquay/internal/lab/referee/tierrules"
	"emberquay/internal/lab/tierworld"
)

const (
	authority    = "lab.example"
	modelService = tierworld.Model
	firstService = tierworld.Alfa
	otherService = tierworld.Beta
	retention    = 60 * time.Second
	idleTimeout  = 15 * time.Second // the shorter of the two configured values
	longerIdle   = 20 * time.Second
	// shorterTimeout is a stream timeout short enough to end some streams.
	shorterTimeout = 2 * time.Second
)

// route is a configured route, as the operator and the clients use it.
type route struct {
	name      string
	prefix    string
	kind      tierrules.RouteKind
	service   string
	timeout   time.Duration
	target    time.Duration
	attempts  int
	retained  bool
	resumable bool
	priority  int
}

// Routes of the first configuration, and the one that is added later.
var (
	readRoute  = route{name: "r-read", prefix: "/read/", kind: tierrules.Safe, service: firstService, timeout: 2 * time.Second, target: 200 * time.Millisecond, attempts: 2}
	orderRoute = route{name: "r-order", prefix: "/order/", kind: tierrules.Unsafe, service: firstService, timeout: 2 * time.Second, target: 200 * time.Millisecond, attempts: 2}
	textRoute  = route{name: "r-text", prefix: "/text/", kind: tierrules.Streaming, service: modelService, timeout: 6 * time.Second, target: 400 * time.Millisecond, attempts: 2, resumable: true, priority: 1}
	turnRoute  = route{name: "r-turn", prefix: "/turn/", kind: tierrules.Streaming, service: modelService, timeout: 6 * time.Second, target: 400 * time.Millisecond, attempts: 2, retained: true}
	addedRoute = route{name: "r-added", prefix: "/read/added/", kind: tierrules.Safe, service: otherService, timeout: 2 * time.Second, target: 200 * time.Millisecond, attempts: 2}
)

// configuration is a complete version of the configuration.
type configuration struct {
	version uint64
	routes  []route
	engine  tierworld.ModelReceivers
	idle    time.Duration // idle client connections are closed after it
	// idleRoutes is the number of routes that no client uses. The referee doesn't compare them.
	idleRoutes int
}

func (l *lab) firstConfiguration() configuration {
	return configuration{version: 3, routes: []route{readRoute, orderRoute, textRoute, l.turnRoute()}, engine: l.world.Receivers.Model, idle: idleTimeout, idleRoutes: l.world.Tier.IdleRoutes}
}

// turnRoute returns the route of agent turns; whether the tier retains turns depends on the world.
func (l *lab) turnRoute() route {
	r := turnRoute
	r.retained = l.world.Programs.Retained
	return r
}

// versionPrefix returns the path prefix of the route that only one version has, see versionRoute.
func versionPrefix(version uint64) string { return fmt.Sprintf("/version/%d/", version) }

// versionRoute returns a route that only one version has: requests for it show whether that version is in force.
func versionRoute(version uint64) route {
	return route{name: "r-version", prefix: versionPrefix(version), kind: tierrules.Safe, service: firstService,
		timeout: 2 * time.Second, target: 200 * time.Millisecond, attempts: 2}
}

// idleRoutes returns routes that no client uses.
func idleRoutes(count int) []route {
	routes := make([]route, count)
	for i := range routes {
		routes[i] = route{name: fmt.Sprintf("r-idle-%d", i), prefix: fmt.Sprintf("/idle/%d/", i), kind: tierrules.Safe, service: firstService,
			timeout: 2 * time.Second, target: 200 * time.Millisecond, attempts: 2}
	}
	return routes
}

// withRoute returns the next version with a route added or replaced.
func (c configuration) withRoute(version uint64, r route) configuration {
	next := c.withoutRoute(version, r.name)
	next.routes = append(next.routes, r)
	return next
}

// withoutRoute returns the next version without a route.
func (c configuration) withoutRoute(version uint64, name string) configuration {
	routes := slices.DeleteFunc(slices.Clone(c.routes), func(o route) bool { return o.name == name })
	next := c
	next.version, next.routes = version, routes
	return next
}

// withOtherIdle returns the next version with the other of the two idle timeouts.
func (c configuration) withOtherIdle(version uint64) configuration {
	next := c
	next.version, next.idle = version, idleTimeout+longerIdle-c.idle
	return next
}

// routeWithOtherTimeout returns the stream route with the other of its two timeouts.
func (c configuration) routeWithOtherTimeout() route {
	other := textRoute
	if c.routes[slices.IndexFunc(c.routes, func(o route) bool { return o.name == textRoute.name })].timeout == textRoute.timeout {
		other.timeout = shorterTimeout
	}
	return other
}

func (c configuration) hasRoute(name string) bool {
	return slices.ContainsFunc(c.routes, func(o route) bool { return o.name == name })
}

// expectedRoutes returns the routes that the referee compares.
func (c configuration) expectedRoutes() []tierrules.Route {
	var list []tierrules.Route
	for _, r := range append(slices.Clone(c.routes), versionRoute(c.version)) {
		list = append(list, tierrules.Route{Authority: authority, PathPrefix: r.prefix, Services: []string{r.service}, Timeout: r.timeout})
	}
	return list
}

// Documents of the operator's API.
type (
	document struct {
		Version  uint64        `json:"version"`
		Routes   []routeItem   `json:"routes"`
		Services []serviceItem `json:"services"`
		Limits   limitsItem    `json:"limits"`
	}
	routeItem struct {
		Name      string  `json:"name"`
		Authority string  `json:"authority"`
		Prefix    string  `json:"path_prefix"`
		Type      string  `json:"route_type"`
		Timeout   int64   `json:"timeout_ms"`
		Target    int64   `json:"target_latency_ms"`
		Priority  int     `json:"priority"`
		Service   string  `json:"service"`
		Attempts  int     `json:"max_attempts"`
		Retained  bool    `json:"retained"`
		Retention float64 `json:"retention_s"`
		Affinity  bool    `json:"session_affinity"`
		Resumable bool    `json:"resumable"`
		GapAim    int64   `json:"gap_aim_ms,omitempty"`
	}
	serviceItem struct {
		Name           string      `json:"name"`
		HealthPath     string      `json:"health_path"`
		MaxConnections int         `json:"max_connections"`
		Protocol       string      `json:"protocol"`
		TLS            bool        `json:"tls"`
		Engine         *engineItem `json:"engine,omitempty"`
	}
	engineItem struct {
		Slots      int         `json:"slots"`
		Capacity   int         `json:"kv_capacity_tokens"`
		TokenBytes int         `json:"kv_token_bytes"`
		LinkMbps   float64     `json:"link_mbps"`
		Chunk      int         `json:"chunk_tokens"`
		Models     []modelItem `json:"models"`
	}
	modelItem struct {
		Name string `json:"name"`
	}
	limitsItem struct {
		HeaderBytes   int   `json:"max_header_bytes"`
		BodyBytes     int   `json:"max_body_bytes"`
		HeaderTimeout int64 `json:"header_timeout_ms"`
		IdleTimeout   int64 `json:"idle_timeout_ms"`
	}
	modification struct {
		Version uint64              `json:"version"`
		Upsert  map[string][]any    `json:"upsert,omitempty"`
		Remove  map[string][]string `json:"remove,omitempty"`
	}
)

func (r route) item() routeItem {
	item := routeItem{Name: r.name, Authority: authority, Prefix: r.prefix, Type: string(r.kind), Timeout: r.timeout.Milliseconds(),
		Target: r.target.Milliseconds(), Priority: r.priority, Service: r.service, Attempts: r.attempts, Retained: r.retained,
		Resumable: r.resumable}
	if r.retained {
		item.Retention = retention.Seconds()
	}
	if r.kind == tierrules.Streaming {
		item.Affinity, item.GapAim = true, 300
	}
	return item
}

// body returns the complete configuration as JSON.
func (c configuration) body() []byte {
	d := document{Version: c.version, Limits: limitsItem{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderTimeout: 3000, IdleTimeout: c.idle.Milliseconds()}}
	for _, r := range append(slices.Clone(c.routes), versionRoute(c.version)) {
		d.Routes = append(d.Routes, r.item())
	}
	for _, r := range idleRoutes(c.idleRoutes) {
		d.Routes = append(d.Routes, r.item())
	}
	for _, name := range []string{firstService, otherService} {
		d.Services = append(d.Services, serviceItem{Name: name, HealthPath: "/health", MaxConnections: 64, Protocol: "h1"})
	}
	d.Services = append(d.Services, serviceItem{Name: modelService, HealthPath: "/health", MaxConnections: 64, Protocol: "h1",
		Engine: &engineItem{Slots: c.engine.Slots, Capacity: c.engine.MemoryTokens, TokenBytes: 1024, LinkMbps: 1000, Chunk: chunkTokens, Models: []modelItem{{modelName}}}})
	return mustMarshal(d)
}

// upsertBody and removeBody return the JSON of a change to a single route, beside the one that names the version.
func upsertBody(version uint64, r route) []byte {
	return mustMarshal(modification{Version: version, Upsert: map[string][]any{"routes": {r.item(), versionRoute(version).item()}}})
}

func removeBody(version uint64, name string) []byte {
	return mustMarshal(modification{Version: version, Upsert: map[string][]any{"routes": {versionRoute(version).item()}}, Remove: map[string][]string{"routes": {name}}})
}

func mustMarshal(value any) []byte {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // these types can always be marshalled
	}
	return raw
}
