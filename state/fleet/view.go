package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// Member is a replica with state that this process derived for it.
type Member struct {
	Replica
	// ColdUntil is the end of the time for which the replica counts as cold.
	ColdUntil time.Time
	// Evacuated is true if the replica's failure domain is out of service.
	Evacuated bool
	// Unconfirmed is true if the registration may only be part of an older copy from which the store came back.
	Unconfirmed bool
}

// Usable reports whether the replica may get new requests.
func (m *Member) Usable() bool { return !m.Draining && !m.Evacuated && !m.Unconfirmed }

// View is an immutable snapshot of the fleet.
type View struct {
	Configuration *Configuration
	Members       []Member
	Wanted        map[core.Model]Wanted
	// KeysOptional is true if neither the configuration nor one before it has a list of teams, so that requests need no API key.
	KeysOptional bool

	routes map[string][]*Route
	teams  map[string]*Team
}

// Ready reports whether the view holds a configuration. A nil view, as before the first lists were read, is not ready.
func (v *View) Ready() bool { return v != nil && v.Configuration != nil }

// Route returns the route of a host name whose path prefix is the longest match for path, or nil if none matches.
func (v *View) Route(host, path string) *Route {
	for _, route := range v.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Team returns the team that owns an API key, or nil.
func (v *View) Team(key string) *Team { return v.teams[key] }

// buildIndex builds the lookup maps of routes and API keys.
func (v *View) buildIndex() {
	v.routes = make(map[string][]*Route)
	v.teams = make(map[string]*Team)
	if v.Configuration == nil {
		return
	}
	for i := range v.Configuration.Routes {
		route := &v.Configuration.Routes[i]
		host := strings.ToLower(route.Host)
		v.routes[host] = append(v.routes[host], route)
	}
	for _, routes := range v.routes {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for i := range v.Configuration.Teams {
		team := &v.Configuration.Teams[i]
		for _, key := range team.Keys {
			if key != "" {
				v.teams[key] = team
			}
		}
	}
}

// HasAddress reports whether a replica of the view has the given address. A nil view accepts every address.
func (v *View) HasAddress(address string) bool {
	if v == nil {
		return true
	}
	return slices.ContainsFunc(v.Members, func(m Member) bool { return m.Address == address })
}

// WithoutKeys returns a copy of the view without API keys, for dumps.
func (v *View) WithoutKeys() *View {
	if v == nil {
		return nil
	}
	redacted := &View{Members: v.Members, Wanted: v.Wanted, KeysOptional: v.KeysOptional}
	if v.Configuration != nil {
		configuration := *v.Configuration
		configuration.Teams = slices.Clone(configuration.Teams)
		for i := range configuration.Teams {
			configuration.Teams[i].Keys = nil
		}
		redacted.Configuration = &configuration
	}
	return redacted
}
