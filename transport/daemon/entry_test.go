package daemon

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/state/config"
	"github.com/guavatrestle/guavatrestle/state/core"
)

// TestLeavingEntryServesOnAndClosesConnections guards against an entry that refuses callers before the load balancer
// has seen that it is not ready, and against connections that callers keep open until the listener closes.
func TestLeavingEntryServesOnAndClosesConnections(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	cfg := config.Default()
	cfg.Role, cfg.Entry = core.RoleEntry, &config.Entry{DrainGrace: time.Hour}
	e := newEntry(newProcess(cfg, logrus.NewEntry(log)))
	handler := e.closeWhenLeaving(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	before := httptest.NewRecorder()
	handler.ServeHTTP(before, httptest.NewRequest(http.MethodGet, "/", nil))
	require.Empty(t, before.Header().Get("Connection"))

	ctx, cancel := context.WithCancel(t.Context())
	leaveReturned := make(chan struct{})
	go func() {
		defer close(leaveReturned)
		e.leave(ctx)
	}()
	for e.isReady() {
		require.NoError(t, t.Context().Err())
	}
	after := httptest.NewRecorder()
	handler.ServeHTTP(after, httptest.NewRequest(http.MethodGet, "/", nil))
	require.Equal(t, http.StatusOK, after.Code)
	require.Equal(t, "close", after.Header().Get("Connection"))
	select {
	case <-leaveReturned:
		require.Fail(t, "leave returned before the drain grace ended")
	default:
	}
	cancel()
	<-leaveReturned
}

func (e *entry) isReady() bool {
	ok, _ := e.ready()
	return ok
}
