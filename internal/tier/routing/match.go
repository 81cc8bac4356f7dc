package routing

import (
	"strings"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// keyBuffer is room on the stack for the key of a look-up. Longer keys take memory of the heap.
const keyBuffer = 512

// Match finds the route of a request: among those of the host, the one whose prefix is the longest that begins the path.
// The host is compared without its port and without regard to case; the path is the request line's, without the query.
func (s *Snapshot) Match(host, path string) (*Route, bool) {
	var buffer [keyBuffer]byte
	key := appendPlace(buffer[:0], host, path, s.longestKey)
	_, route, found := s.places.Root().LongestPrefix(key)
	return route, found
}

// appendPlace appends the key under which a place stands, cut to a length: the host in lower case, then the path. A host
// holds no slash and a path begins with one, so that two places never have the same key.
func appendPlace(key []byte, host, path string, length int) []byte {
	host = withoutPort(host)
	if strings.IndexByte(host, '/') >= 0 || !strings.HasPrefix(path, "/") {
		return key // no place has such a key
	}
	for i := 0; i < len(host) && len(key) < length; i++ {
		key = append(key, lower(host[i]))
	}
	if room := length - len(key); len(path) > room {
		path = path[:room]
	}
	return append(key, path...)
}

// lower folds the letters that hosts are made of.
func lower(c byte) byte {
	if c >= 'A' && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

// withoutPort cuts the port off a host; the colons inside the brackets of an IPv6 address are no port's.
func withoutPort(host string) string {
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 || strings.IndexByte(host[colon:], ']') >= 0 {
		return host
	}
	return host[:colon]
}

// place is the whole key of a route.
func (r *Route) place() []byte {
	return appendPlace(nil, r.Authority, r.PathPrefix, len(r.Authority)+len(r.PathPrefix))
}

// index builds the tree of the routes' places. Of two routes at one place it gives the second.
func (s *Snapshot) index() (double *Route) {
	txn := iradix.New[*Route]().Txn()
	for _, route := range s.Routes {
		key := route.place()
		if _, taken := txn.Insert(key, route); taken {
			return route
		}
		s.longestKey = max(s.longestKey, len(key))
	}
	s.places = txn.Commit()
	return nil
}
