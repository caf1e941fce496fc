// Package route finds the route of a request by its host and path.
//
// # Usage
//
//	table := route.NewTable(installation.Routes)
//	r, found := table.Match("advice.example", "/welders/mixes")
package route

import (
	"net"
	"strings"

	"github.com/knapweedpulley/knapweedpulley"
)

// routeKey is the host and path prefix of a route.
type routeKey struct {
	host   string
	prefix string
}

// Table finds routes by host and longest path prefix. It is immutable.
type Table struct {
	routes map[routeKey]knapweedpulley.Route
}

// NewTable returns a table of routes. Every prefix begins and ends with a slash.
func NewTable(routes []knapweedpulley.Route) *Table {
	t := &Table{routes: make(map[routeKey]knapweedpulley.Route, len(routes))}
	for _, r := range routes {
		t.routes[routeKey{host: canonicalHost(r.Host), prefix: r.Prefix}] = r
	}
	return t
}

// Match returns the route of the host whose prefix is the longest that the path
// begins with, and false if there is none.
func (t *Table) Match(host, path string) (knapweedpulley.Route, bool) {
	host = canonicalHost(host)
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, found := t.routes[routeKey{host: host, prefix: path[:end+1]}]; found {
			return r, true
		}
	}
	return knapweedpulley.Route{}, false
}

// canonicalHost returns a host in lower case, without its port.
func canonicalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
