// Package admin serves the operators' API on the entries.
package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
	"github.com/guavatrestle/guavatrestle/state/table"
	"github.com/guavatrestle/guavatrestle/transport"
)

const (
	settingsRoute = "/admin/v1/settings"
	// storeRetryAfter is the time after which the object API may respond again.
	storeRetryAfter = 2 * time.Second
)

// Handler serves the admin API.
type Handler struct {
	store       platform.ObjectStore
	table       *table.Settings
	tokenHashes map[core.Digest]bool
	log         *logrus.Entry
}

// NewHandler returns a Handler that accepts the bearer tokens with the given hashes.
func NewHandler(store platform.ObjectStore, t *table.Settings, tokenHashes []core.Digest, log *logrus.Entry) *Handler {
	hashes := make(map[core.Digest]bool)
	for _, hash := range tokenHashes {
		hashes[hash] = true
	}
	return &Handler{store: store, table: t, tokenHashes: hashes, log: log}
}

// Register adds the admin API to mux.
func (h *Handler) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET "+settingsRoute, h.authorized(h.list))
	mux.HandleFunc("GET "+settingsRoute+"/{path...}", h.authorized(h.get))
	mux.HandleFunc("PUT "+settingsRoute+"/{path...}", h.authorized(h.apply))
}

func (h *Handler) authorized(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !h.tokenHashes[core.DigestOf([]byte(token))] {
			transport.WriteError(w, "", transport.Errorf(http.StatusUnauthorized, api.CodeUnauthorized, api.RunNotRun, "bearer token is not an operator's"))
			return
		}
		next(w, r)
	}
}

func (h *Handler) list(w http.ResponseWriter, _ *http.Request) {
	transport.WriteJSON(w, http.StatusOK, api.DocumentList{Documents: h.table.Documents()})
}

func (h *Handler) get(w http.ResponseWriter, r *http.Request) {
	path := "/" + r.PathValue("path")
	object, err := h.store.Get(r.Context(), platform.KindSetting, settings.ObjectName(path))
	if err != nil {
		transport.WriteError(w, "", storeError(path, err))
		return
	}
	transport.WriteJSON(w, http.StatusOK, object.Spec)
}

func (h *Handler) apply(w http.ResponseWriter, r *http.Request) {
	path := "/" + r.PathValue("path")
	var request api.ApplyRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		transport.WriteError(w, "", transport.Errorf(http.StatusBadRequest, api.CodeBadRequest, api.RunNotRun, "body is not valid JSON: %v", err))
		return
	}
	doc := settings.Document{Path: path, Version: request.BaseVersion + 1, Body: request.Body}
	if _, err := settings.NewTree([]settings.Document{doc}); err != nil {
		transport.WriteError(w, "", transport.Errorf(http.StatusBadRequest, api.CodeInvalid, api.RunNotRun, "%v", err))
		return
	}
	if err := h.write(r.Context(), doc, request.BaseVersion); err != nil {
		transport.WriteError(w, "", storeError(path, err))
		return
	}
	_, _ = h.table.Merge([]settings.Document{doc})
	h.log.WithField("path", path).WithField("version", doc.Version).Info("settings document accepted")
	transport.WriteJSON(w, http.StatusOK, doc)
}

func (h *Handler) write(ctx context.Context, doc settings.Document, base uint64) error {
	spec, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	object := platform.Object{Kind: platform.KindSetting, Name: settings.ObjectName(doc.Path), Spec: spec}
	if base == 0 {
		_, err = h.store.Create(ctx, object)
		return err
	}
	current, err := h.store.Get(ctx, object.Kind, object.Name)
	if err != nil {
		return err
	}
	var held settings.Document
	if err := json.Unmarshal(current.Spec, &held); err != nil {
		return err
	}
	if held.Version != base {
		return protocol.Errorf(protocol.CodeConflict, "version is %d, the edit was based on %d", held.Version, base)
	}
	object.Version = current.Version
	_, err = h.store.Update(ctx, object)
	return err
}

func storeError(path string, err error) error {
	switch protocol.CodeOf(err) {
	case protocol.CodeNotFound:
		return transport.Errorf(http.StatusNotFound, api.CodeNotFound, api.RunNotRun, "%s does not exist", path)
	case protocol.CodeConflict:
		return transport.Errorf(http.StatusConflict, api.CodeConflict, api.RunNotRun, "%s: %v", path, err)
	case protocol.CodeOutcomeUnknown:
		return transport.Errorf(http.StatusBadGateway, api.CodeOutcomeUnknown, api.RunUnknown, "%s: %v", path, err)
	default:
		return transport.Errorf(http.StatusServiceUnavailable, api.CodeStoreUnavailable, api.RunNotRun, "%s: %v", path, err).WithRetryAfter(storeRetryAfter)
	}
}
