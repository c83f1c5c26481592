package daemon

import "github.com/guavatrestle/guavatrestle/transport/admin"

// newAdmin returns the entry's admin API.
func (e *entry) newAdmin() *admin.Handler {
	return admin.NewHandler(admin.Parts{
		Self:        e.self,
		Store:       e.store,
		Settings:    e.settings,
		Members:     e.members,
		Upstreams:   e.upstreams,
		TokenHashes: e.cfg.Entry.AdminTokenHashes,
		Now:         e.now,
		Log:         e.log,
	})
}
