// Package route finds the route of a request.
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

// place is where a route begins.
type place struct {
	host   string
	prefix string
}

// Table finds routes by host and longest path prefix. It is immutable.
type Table struct {
	routes map[place]knapweedpulley.Route
}

// NewTable returns a table of routes. Every prefix begins and ends with a slash.
func NewTable(routes []knapweedpulley.Route) *Table {
	t := &Table{routes: make(map[place]knapweedpulley.Route, len(routes))}
	for _, r := range routes {
		t.routes[place{host: canonicalHost(r.Host), prefix: r.Prefix}] = r
	}
	return t
}

// Match returns the route with the longest prefix that begins the path.
func (t *Table) Match(host, path string) (knapweedpulley.Route, bool) {
	host = canonicalHost(host)
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, found := t.routes[place{host: host, prefix: path[:end+1]}]; found {
			return r, true
		}
	}
	return knapweedpulley.Route{}, false
}

// canonicalHost drops the port and the case of a host.
func canonicalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
