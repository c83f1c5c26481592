package admin

import (
	"strconv"

	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

// list returns the documents in force at this entry that the principal may access. Retired ones are included on request.
func (h *Handler) list(c call) (any, error) {
	retired := c.r.URL.Query().Get("retired") == "true"
	out := api.DocumentList{Documents: []settings.Document{}}
	for _, doc := range h.Settings.Documents() {
		if c.principal.canAccess(doc.Path) && (retired || !doc.Tombstone) {
			out.Documents = append(out.Documents, settings.Redact(doc))
		}
	}
	return out, nil
}

// get returns the newest accepted version, or the version in force at this entry while the object API is unavailable.
func (h *Handler) get(c call) (any, error) {
	current, err := h.editor.read(c.r.Context(), c.path)
	if err == nil {
		return settings.Redact(current.Document), nil
	}
	if protocol.CodeOf(err) == protocol.CodeNotFound {
		return nil, notFound(c.path)
	}
	for _, doc := range h.Settings.Documents() {
		if doc.Path == c.path {
			return settings.Redact(doc), nil
		}
	}
	return nil, err
}

func (h *Handler) history(c call) (any, error) {
	current, err := h.readStored(c)
	if err != nil {
		return nil, err
	}
	out := api.History{Path: c.path}
	for _, revision := range current.Revisions() {
		revision.Body = settings.RedactBody(revision.Body)
		out.Revisions = append(out.Revisions, revision)
	}
	return out, nil
}

// diff compares the versions in the query parameters from and to. By default it compares the current version with the
// previous one.
func (h *Handler) diff(c call) (any, error) {
	current, err := h.readStored(c)
	if err != nil {
		return nil, err
	}
	to, err := versionQuery(c, "to", current.Version)
	if err != nil {
		return nil, err
	}
	from, err := versionQuery(c, "from", max(to, 1)-1)
	if err != nil {
		return nil, err
	}
	fromRevision, fromFound := current.Revision(from)
	toRevision, toFound := current.Revision(to)
	if !toFound || !fromFound && from != 0 {
		return nil, notFound(c.path + " in versions " + strconv.FormatUint(from, 10) + " and " + strconv.FormatUint(to, 10))
	}
	changes := settings.Diff(settings.RedactBody(fromRevision.Body), settings.RedactBody(toRevision.Body))
	return api.DiffResult{Path: c.path, From: from, To: to, Changes: changes}, nil
}

func (h *Handler) readStored(c call) (storedObject, error) {
	current, err := h.editor.read(c.r.Context(), c.path)
	if protocol.CodeOf(err) == protocol.CodeNotFound {
		return storedObject{}, notFound(c.path)
	}
	return current, err
}

func versionQuery(c call, name string, defaultVersion uint64) (uint64, error) {
	value := c.r.URL.Query().Get(name)
	if value == "" {
		return defaultVersion, nil
	}
	version, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		return 0, badRequest("query parameter %s=%q is not a version number", name, value)
	}
	return version, nil
}

func (h *Handler) status(call) (any, error) {
	out := api.Status{
		Host:           h.Self.ID,
		SettingsLoaded: h.Settings.Loaded(),
		Documents:      len(h.Settings.Documents()),
		Members:        make(map[core.HostState]int),
		FailureDomains: make(map[core.FailureDomain]settings.FailureDomainState),
		Agents:         make(map[core.Upstream]map[core.UpstreamState]int),
	}
	for _, host := range h.Members.List() {
		out.Members[host.State]++
	}
	for name, spec := range h.Settings.Tree().FailureDomains {
		out.FailureDomains[name] = spec.State
	}
	for _, agent := range h.Upstreams.List() {
		if out.Agents[agent.Host.Upstream] == nil {
			out.Agents[agent.Host.Upstream] = make(map[core.UpstreamState]int)
		}
		out.Agents[agent.Host.Upstream][agent.State]++
	}
	return out, nil
}

func (h *Handler) dump(call) (any, error) {
	out := api.Dump{Members: h.Members.List(), Agents: h.Upstreams.List()}
	for _, doc := range h.Settings.Documents() {
		out.Settings = append(out.Settings, settings.Redact(doc))
	}
	return out, nil
}
