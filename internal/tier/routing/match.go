package routing

import (
	"strings"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// keyBufferBytes is the size of the stack buffer for a lookup key. Longer keys are allocated on the heap.
const keyBufferBytes = 512

// Match returns the route of a request: the one of that host with the longest prefix of the path. The host is compared
// without its port and case-insensitively; the path is that of the request line, without the query.
func (s *Snapshot) Match(host, path string) (*Route, bool) {
	var buffer [keyBufferBytes]byte
	key := appendRouteKey(buffer[:0], host, path, s.longestKeyBytes)
	_, route, found := s.routeTree.Root().LongestPrefix(key)
	return route, found
}

// appendRouteKey appends the tree's key of a host and path, truncated to maxBytes: the host in lower case, then the
// path. A host has no slash and a path begins with one, so that different pairs never have the same key.
func appendRouteKey(key []byte, host, path string, maxBytes int) []byte {
	host = stripPort(host)
	if strings.IndexByte(host, '/') >= 0 || !strings.HasPrefix(path, "/") {
		return key // no route has such a key
	}
	for i := 0; i < len(host) && len(key) < maxBytes; i++ {
		key = append(key, lowerASCII(host[i]))
	}
	if remaining := maxBytes - len(key); len(path) > remaining {
		path = path[:remaining]
	}
	return append(key, path...)
}

// lowerASCII returns the lower case of an ASCII letter, and any other byte as it is.
func lowerASCII(c byte) byte {
	if c >= 'A' && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

// stripPort returns the host without its port; colons inside the brackets of an IPv6 address do not start a port.
func stripPort(host string) string {
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 || strings.IndexByte(host[colon:], ']') >= 0 {
		return host
	}
	return host[:colon]
}

// key returns the route's complete key in the tree.
func (r *Route) key() []byte {
	return appendRouteKey(nil, r.Authority, r.PathPrefix, len(r.Authority)+len(r.PathPrefix))
}

// buildRouteTree builds the tree of the routes by key. It returns the second of two routes with the same key.
func (s *Snapshot) buildRouteTree() (duplicate *Route) {
	txn := iradix.New[*Route]().Txn()
	for _, route := range s.Routes {
		key := route.key()
		if _, taken := txn.Insert(key, route); taken {
			return route
		}
		s.longestKeyBytes = max(s.longestKeyBytes, len(key))
	}
	s.routeTree = txn.Commit()
	return nil
}
