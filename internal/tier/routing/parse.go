package routing

import (
	"strings"
	"time"
)

// Parse reads a configuration and checks it whole. The body is kept and must not be changed. Errors are of type
// *KeyError and tell the first thing that is wrong; the same body always gives the same one.
func Parse(body []byte) (*Snapshot, error) {
	top, err := newDocument(body)
	if err != nil {
		return nil, err
	}
	snapshot := &Snapshot{
		Version:  readVersion(top),
		Body:     body,
		Services: readServices(top),
		Limits:   readLimits(top.object("limits")),
	}
	snapshot.Routes = readRoutes(top, snapshot.Services)
	if err := top.err(); err != nil {
		return nil, err
	}
	if double := snapshot.index(); double != nil {
		reason := "another route has the same host and prefix"
		return nil, &KeyError{Key: "routes[" + double.Name + "].path_prefix", Reason: reason}
	}
	return snapshot, nil
}

func readVersion(top *object) uint64 {
	if !top.has("version") {
		top.fail("version", "is missing")
		return 0
	}
	version := top.whole("version", 0)
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
		Name:           item.requiredText("name"),
		HealthPath:     item.text("health_path"),
		MaxConnections: item.whole("max_connections", 0),
		Engine:         readEngine(item.object("engine")),
	}
}

func readEngine(item *object) *Engine {
	if item == nil {
		return nil
	}
	engine := &Engine{
		Slots:            item.whole("slots", 0),
		KVCapacityTokens: item.whole("kv_capacity_tokens", 0),
		KVTokenBytes:     item.whole("kv_token_bytes", 0),
		ChunkTokens:      max(1, item.whole("chunk_tokens", 1)),
	}
	for _, model := range item.objects("models") {
		engine.Models = append(engine.Models, model.requiredText("name"))
	}
	return engine
}

// readLimits takes 0 as a limit that is not given: nobody could send anything within it.
func readLimits(item *object) Limits {
	limits := defaultLimits
	if item == nil {
		return limits
	}
	if bytes := item.whole("max_header_bytes", 0); bytes > 0 {
		limits.MaxHeaderBytes = bytes
	}
	if bytes := item.whole("max_body_bytes", 0); bytes > 0 {
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
		Name:            item.requiredText("name"),
		Authority:       readAuthority(item),
		PathPrefix:      readPathPrefix(item),
		Kind:            readKind(item),
		Timeout:         item.duration("timeout_ms", time.Millisecond, 0),
		Priority:        item.whole("priority", 0),
		Targets:         readTargets(item, services),
		MaxAttempts:     item.whole("max_attempts", 1),
		Retained:        item.flag("retained"),
		Retention:       item.duration("retention_s", time.Second, 0),
		SessionAffinity: item.flag("session_affinity"),
		Resumable:       item.flag("resumable"),
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
	authority := item.requiredText("authority")
	if strings.Contains(authority, "/") || withoutPort(authority) == "" {
		item.fail("authority", "%q is no host", authority)
	}
	return authority
}

func readPathPrefix(item *object) string {
	prefix := item.requiredText("path_prefix")
	if !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/") {
		item.fail("path_prefix", "%q does not begin and end with a slash", prefix)
	}
	return prefix
}

// readKind takes a route without a type as one whose requests run once at most: that is never wrong.
func readKind(item *object) Kind {
	switch text := item.text("route_type"); text {
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

// readTargets reads either weighted targets or the one service. Where both stand there, the weighted ones count. Targets
// of weight 0 are checked and left out.
func readTargets(item *object, services map[string]*Service) []Target {
	service := item.text("service")
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
	for _, one := range weighted {
		target := Target{Service: one.requiredText("service"), Weight: one.number("weight", 0)}
		checkService(one, target.Service, services)
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
