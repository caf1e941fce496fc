package route_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/route"
)

func assertRoute(t *testing.T, table *route.Table, host, path string, want knapweedpulley.RouteID) {
	t.Helper()
	is := is.New(t)
	r, found := table.Match(host, path)
	is.Equal(found, want != "")
	is.Equal(r.ID, want)
}

func TestMatch(t *testing.T) {
	table := route.NewTable([]knapweedpulley.Route{
		{ID: "root", Host: "gas.example", Prefix: "/"},
		{ID: "mixes", Host: "gas.example", Prefix: "/mixes/"},
		{ID: "argon", Host: "gas.example", Prefix: "/mixes/argon/"},
		{ID: "other", Host: "tours.example", Prefix: "/mixes/"},
	})
	t.Run("the route with the longest prefix is returned", func(t *testing.T) {
		assertRoute(t, table, "gas.example", "/mixes/argon/20", "argon")
		assertRoute(t, table, "gas.example", "/mixes/helium", "mixes")
		assertRoute(t, table, "gas.example", "/refills", "root")
	})
	t.Run("a prefix matches only up to a slash", func(t *testing.T) {
		assertRoute(t, table, "gas.example", "/mixesarg", "root")
		assertRoute(t, table, "gas.example", "/mixes/argon", "mixes")
	})
	t.Run("routes of other hosts don't match", func(t *testing.T) {
		assertRoute(t, table, "tours.example", "/mixes/argon/1", "other")
		assertRoute(t, table, "tours.example", "/refills", "")
		assertRoute(t, table, "unknown.example", "/", "")
	})
	t.Run("the port and case of the host are ignored", func(t *testing.T) {
		assertRoute(t, table, "GAS.example:8080", "/refills", "root")
	})
}
