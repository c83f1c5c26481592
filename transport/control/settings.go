// Package control keeps a process's settings and membership up to date and serves the control messages.
package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/state/settings"
	"github.com/guavatrestle/guavatrestle/state/table"
)

// watchRetry is the pause after a watch broke.
const watchRetry = 500 * time.Millisecond

// SettingsSync brings the settings documents of the object API into the table.
type SettingsSync struct {
	store platform.ObjectStore
	table *table.Settings
	log   *logrus.Entry
}

// NewSettingsSync returns a SettingsSync.
func NewSettingsSync(store platform.ObjectStore, t *table.Settings, log *logrus.Entry) *SettingsSync {
	return &SettingsSync{store: store, table: t, log: log}
}

// Run lists and watches until ctx ends.
func (s *SettingsSync) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := s.listAndWatch(ctx); err != nil {
			s.log.WithError(err).Warn("read settings from the object API")
		}
		pause(ctx, watchRetry)
	}
}

func (s *SettingsSync) listAndWatch(ctx context.Context) error {
	list, err := s.store.List(ctx, platform.KindSetting, "")
	if err != nil {
		return err
	}
	for _, object := range list.Items {
		s.take(object)
	}
	s.table.MarkLoaded()
	events, err := s.store.Watch(ctx, platform.KindSetting, list.Version)
	if err != nil {
		return err
	}
	for event := range events {
		s.take(event.Object)
	}
	return nil
}

func (s *SettingsSync) take(object platform.Object) {
	var doc settings.Document
	if err := json.Unmarshal(object.Spec, &doc); err != nil {
		s.log.WithError(err).WithField("object", object.Name).Error("decode settings object")
		return
	}
	if _, err := s.table.Merge([]settings.Document{doc}); err != nil {
		s.log.WithError(err).WithField("path", doc.Path).Error("settings document rejected")
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
