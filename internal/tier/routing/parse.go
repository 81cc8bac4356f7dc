package routing

import (
	"strings"
	"time"
)

// Parse reads and validates a configuration. The snapshot keeps the body, which must not be modified. Errors are of
// type *KeyError and report the first fault; the same body always gives the same error.
func Parse(body []byte) (*Snapshot, error) {
	top, err := newDocument(body)
	if err != nil {
		return nil, err
	}
	snapshot := readAllButRoutes(top, body)
	snapshot.Routes = readRoutes(top, snapshot.Services)
	if err := top.err(); err != nil {
		return nil, err
	}
	snapshot.source = newSourceText(top)
	if duplicate := snapshot.buildRouteTree(); duplicate != nil {
		reason := "another route has the same host and prefix"
		return nil, &KeyError{Key: "routes[" + duplicate.Name + "].path_prefix", Reason: reason}
	}
	return snapshot, nil
}

// readAllButRoutes returns a snapshot of the document without its routes.
func readAllButRoutes(top *object, body []byte) *Snapshot {
	return &Snapshot{
		Version:  readVersion(top),
		Body:     body,
		Services: readServices(top),
		Limits:   readLimits(top.object("limits")),
	}
}

func readVersion(top *object) uint64 {
	if !top.has("version") {
		top.fail("version", "is missing")
		return 0
	}
	version := top.integer("version", 0)
	if version == 0 {
		top.fail("version", "must be above 0")
	}
	return uint64(version)
}

func readServices(top *object) map[string]*Service {
	services := map[string]*Service{}
	for _, item := range top.objects("services") {
		service := readService(item)
		if services[service.Name] != nil {
			item.fail("name", "another service has the same one")
		}
		services[service.Name] = service
	}
	return services
}

func readService(item *object) *Service {
	return &Service{
		Name:           item.requiredString("name"),
		HealthPath:     item.optionalString("health_path"),
		MaxConnections: item.integer("max_connections", 0),
		Engine:         readEngine(item.object("engine")),
	}
}

func readEngine(item *object) *Engine {
	if item == nil {
		return nil
	}
	engine := &Engine{
		Slots:            item.integer("slots", 0),
		KVCapacityTokens: item.integer("kv_capacity_tokens", 0),
		KVTokenBytes:     item.integer("kv_token_bytes", 0),
		ChunkTokens:      max(1, item.integer("chunk_tokens", 1)),
	}
	for _, model := range item.objects("models") {
		engine.Models = append(engine.Models, model.requiredString("name"))
	}
	return engine
}

// readLimits treats a limit of 0 as not given, since no request could be sent within it.
func readLimits(item *object) Limits {
	limits := defaultLimits
	if item == nil {
		return limits
	}
	if bytes := item.integer("max_header_bytes", 0); bytes > 0 {
		limits.MaxHeaderBytes = bytes
	}
	if bytes := item.integer("max_body_bytes", 0); bytes > 0 {
		limits.MaxBodyBytes = bytes
	}
	if timeout := item.duration("header_timeout_ms", time.Millisecond, 0); timeout > 0 {
		limits.HeaderTimeout = timeout
	}
	if timeout := item.duration("idle_timeout_ms", time.Millisecond, 0); timeout > 0 {
		limits.IdleTimeout = timeout
	}
	return limits
}

func readRoutes(top *object, services map[string]*Service) []*Route {
	var routes []*Route
	names := map[string]bool{}
	for _, item := range top.objects("routes") {
		route := readRoute(item, services)
		if names[route.Name] {
			item.fail("name", "another route has the same one")
		}
		names[route.Name] = true
		routes = append(routes, route)
	}
	return routes
}

func readRoute(item *object, services map[string]*Service) *Route {
	route := &Route{
		Name:            item.requiredString("name"),
		Authority:       readAuthority(item),
		PathPrefix:      readPathPrefix(item),
		Kind:            readKind(item),
		Timeout:         item.duration("timeout_ms", time.Millisecond, 0),
		Priority:        item.integer("priority", 0),
		Targets:         readTargets(item, services),
		MaxAttempts:     item.integer("max_attempts", 1),
		Retained:        item.boolean("retained"),
		Retention:       item.duration("retention_s", time.Second, 0),
		SessionAffinity: item.boolean("session_affinity"),
		Resumable:       item.boolean("resumable"),
		TargetEventGap:  item.duration("gap_aim_ms", time.Millisecond, 0),
	}
	route.TargetLatency = item.duration("target_latency_ms", time.Millisecond, route.Timeout)
	if route.Timeout == 0 {
		item.fail("timeout_ms", "is missing or 0")
	}
	if route.MaxAttempts < 1 {
		item.fail("max_attempts", "must be 1 at least")
	}
	return route
}

func readAuthority(item *object) string {
	authority := item.requiredString("authority")
	if strings.Contains(authority, "/") || stripPort(authority) == "" {
		item.fail("authority", "%q is no host", authority)
	}
	return authority
}

func readPathPrefix(item *object) string {
	prefix := item.requiredString("path_prefix")
	if !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/") {
		item.fail("path_prefix", "%q does not begin and end with a slash", prefix)
	}
	return prefix
}

// readKind takes a route without a type as Unsafe: to run its requests at most once is correct for every route.
func readKind(item *object) Kind {
	switch text := item.optionalString("route_type"); text {
	case "", "unsafe":
		return Unsafe
	case "safe":
		return Safe
	case "streaming":
		return Streaming
	default:
		item.fail("route_type", "%q is not known; safe, unsafe and streaming are", text)
		return Unsafe
	}
}

// readTargets reads the weighted targets or the single service. Weighted targets take precedence where both are given.
// Targets with weight 0 are checked and left out.
func readTargets(item *object, services map[string]*Service) []Target {
	service := item.optionalString("service")
	if service != "" {
		checkService(item, service, services)
	}
	weighted := item.objects("weighted_targets")
	if len(weighted) == 0 {
		if service == "" {
			item.fail("service", "is missing, and there are no weighted_targets")
		}
		return []Target{{Service: service, Weight: 1}}
	}
	var targets []Target
	for _, entry := range weighted {
		target := Target{Service: entry.requiredString("service"), Weight: entry.number("weight", 0)}
		checkService(entry, target.Service, services)
		if target.Weight > 0 {
			targets = append(targets, target)
		}
	}
	if len(targets) == 0 {
		item.fail("weighted_targets", "the weights add up to 0")
	}
	return targets
}

func checkService(item *object, name string, services map[string]*Service) {
	if services[name] == nil {
		item.fail("service", "there is no service %q", name)
	}
}
