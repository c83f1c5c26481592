package hosted_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/protocol/feed"
	"github.com/guavatrestle/guavatrestle/protocol/headers"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport/hosted"
	"github.com/guavatrestle/guavatrestle/transport/ingress"
)

// fixedSource is a feed.Source whose records never change.
type fixedSource map[feed.Kind][]feed.Record

func (s fixedSource) List(_ context.Context, kind feed.Kind, _ bool) (feed.Batch, error) {
	return feed.Batch{Records: s[kind], Revision: 1}, nil
}

func (s fixedSource) Watch(ctx context.Context, _ feed.Kind, since int64, wait time.Duration) (feed.Batch, error) {
	select {
	case <-ctx.Done():
		return feed.Batch{}, ctx.Err()
	case <-time.After(wait):
		return feed.Batch{Revision: since}, nil
	}
}

func storeWith(replica string) fixedSource {
	return fixedSource{
		feed.KindConfiguration: {{Name: "main", Value: &fleet.Configuration{
			Version: 1,
			Routes: []fleet.Route{{
				Host: "a.example", PathPrefix: "/", Kind: fleet.KindUnsafe, Attempts: 1, Timeout: 5 * time.Second, Anonymous: true,
				Targets: []fleet.Target{{Upstream: "orders", Weight: 1}},
			}},
			Upstreams: map[core.Upstream]fleet.UpstreamSpec{"orders": {}},
		}}},
		feed.KindReplicas: {{Name: "r1", Value: &fleet.Replica{ID: "r1", Upstream: "orders", Address: replica, Slots: 4}}},
	}
}

func get(t *testing.T, address, path string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	require.NoError(t, err)
	request.Host = "a.example"
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(body)
}

// TestEntryShutdownAbortsNoRequest guards against a graceful stop that aborts a request in flight, refuses a request that
// arrives before callers have moved to other hosts, or keeps reporting the host as ready.
func TestEntryShutdownAbortsNoRequest(t *testing.T) {
	const callers, ready = "127.0.12.1:17751", "127.0.12.1:17752"
	names := headers.Names{Stamp: "Res-Stamp", Replica: "Res-Replica", RequestID: "Req-Id", Deadline: "Req-Deadline"}.Canonical()
	arrived, release := make(chan struct{}), make(chan struct{})
	replica := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(arrived)
			<-release
		}
		w.Header().Set(names.Stamp, "s")
		_, _ = io.WriteString(w, "whole")
	}))
	defer replica.Close()
	releaseReplica := sync.OnceFunc(func() { close(release) })
	defer releaseReplica()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error, 1)
	go func() {
		ended <- hosted.RunEntry(ctx, hosted.EntryDependencies{
			Host:         hosted.Host{Address: "127.0.12.1", PeerPort: 17753, ShutdownTimeout: 20 * time.Second},
			CallerListen: callers,
			ReadyListen:  ready,
			ReadyPath:    "/ready",
			Source:       storeWith(strings.TrimPrefix(replica.URL, "http://")),
			Headers:      names,
			RetryAfter:   func(d time.Duration) string { return d.String() },
			Ingress:      ingress.DefaultConfig(),
			Random:       rand.New(rand.NewPCG(1, 1)),
			Log:          logrus.NewEntry(logger),
		})
	}()
	isReady := func() bool {
		status, _ := get(t, ready, "/ready")
		return status == http.StatusOK
	}
	require.Eventually(t, isReady, 10*time.Second, 5*time.Millisecond)

	responses := make(chan string, 1)
	go func() {
		_, body := get(t, callers, "/slow")
		responses <- body
	}()
	<-arrived
	stop()
	require.Eventually(t, func() bool { return !isReady() }, 10*time.Second, time.Millisecond)
	status, body := get(t, callers, "/late")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "whole", body)
	releaseReplica()
	require.Equal(t, "whole", <-responses)
	require.NoError(t, <-ended)
}
