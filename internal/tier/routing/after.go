package routing

// sourceText is the text that a snapshot was read from, in parts that a later configuration or change can be compared with.
type sourceText struct {
	document *object  // top-level values
	routes   []string // text of each route, in the order of Snapshot.Routes
}

func newSourceText(top *object) sourceText {
	source := sourceText{document: top.copy()}
	for _, value := range top.list("routes") {
		source.routes = append(source.routes, value.Raw)
	}
	return source
}

// ParseAfter is Parse for a configuration that follows another one, which may be nil. Routes whose text has not changed are
// shared with the previous snapshot instead of read again, so that a change of few routes costs little more than comparing
// the texts. The result and the error are those of Parse.
func ParseAfter(previous *Snapshot, body []byte) (*Snapshot, error) {
	if previous != nil {
		if snapshot := previous.parseNext(body); snapshot != nil {
			return snapshot, nil
		}
	}
	return Parse(body)
}

// parseNext returns the snapshot of a body, or nil if the body is invalid or has too little in common with this snapshot.
func (s *Snapshot) parseNext(body []byte) *Snapshot {
	top, err := newDocument(body)
	if err != nil {
		return nil
	}
	next := readAllButRoutes(top, body)
	if top.err() != nil || !hasAllServices(next.Services, s.Services) {
		return nil
	}
	shared := s.readRoutesAfter(next, top)
	if top.err() != nil || 2*len(shared) < len(s.Routes) || !next.updateRouteTree(s, shared) {
		return nil
	}
	next.source.document = top.copy()
	return next
}

// hasAllServices reports whether the services include all of others by name: a route is valid only if its services exist.
func hasAllServices(services, others map[string]*Service) bool {
	for name := range others {
		if services[name] == nil {
			return false
		}
	}
	return true
}

// readRoutesAfter reads the routes of next, and returns those that it shares with this snapshot. A duplicate name is
// recorded as an error.
func (s *Snapshot) readRoutesAfter(next *Snapshot, top *object) (shared map[*Route]bool) {
	known := make(map[string]*Route, len(s.Routes))
	for i, text := range s.source.routes {
		known[text] = s.Routes[i]
	}
	shared = make(map[*Route]bool, len(s.Routes))
	names := make(map[string]bool, len(s.Routes))
	for i, value := range top.list("routes") {
		route := known[value.Raw]
		if route != nil {
			shared[route] = true
		} else {
			route = readRoute(top.item("routes", i, value), next.Services)
		}
		if names[route.Name] {
			top.fail("routes", "two routes have the same name")
		}
		names[route.Name] = true
		next.Routes = append(next.Routes, route)
		next.source.routes = append(next.source.routes, value.Raw)
	}
	return shared
}

// updateRouteTree builds the tree of the routes from the previous snapshot's. It returns false if two routes have the same
// key.
func (s *Snapshot) updateRouteTree(previous *Snapshot, shared map[*Route]bool) bool {
	txn := previous.routeTree.Txn()
	for _, route := range previous.Routes {
		if !shared[route] {
			txn.Delete(route.key())
		}
	}
	s.longestKeyBytes = previous.longestKeyBytes
	for _, route := range s.Routes {
		if shared[route] {
			continue
		}
		key := route.key()
		if _, taken := txn.Insert(key, route); taken {
			return false
		}
		s.longestKeyBytes = max(s.longestKeyBytes, len(key))
	}
	s.routeTree = txn.Commit()
	return true
}

// routeItems returns the list of the routes with their texts.
func (s *Snapshot) routeItems() *itemList {
	list := &itemList{members: make([]member, 0, len(s.Routes)), indexes: make(map[string]int, len(s.Routes))}
	for i, route := range s.Routes {
		list.set(route.Name, s.source.routes[i])
	}
	return list
}
