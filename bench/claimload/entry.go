package claimload

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/claims"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/table"
	transportclaims "github.com/guavatrestle/guavatrestle/transport/claims"
	transportplatform "github.com/guavatrestle/guavatrestle/transport/platform"
	"github.com/guavatrestle/guavatrestle/transport/server"
)

const namespace = "guavatrestle"

// entry is the claim service of one entry and its control listener.
type entry struct {
	service  *transportclaims.Service
	listener *server.Listener
}

func (r *experiment) newStoreClient() *transportplatform.ObjectClient {
	return transportplatform.NewObjectClient(r.api.URL, namespace)
}

func (r *experiment) startEntries() error {
	members := table.NewMembers()
	log := logrus.New()
	log.SetOutput(io.Discard)
	var hosts []core.Host
	for i := range r.cfg.Entries {
		host := core.Host{ID: core.HostID(fmt.Sprintf("entry-%d", i)), Role: core.RoleEntry, State: core.HostLive}
		service := transportclaims.New(transportclaims.Dependencies{
			Config: transportclaims.DefaultConfig(), Self: host, Store: r.newStoreClient(), Members: members, Now: time.Now, Log: logrus.NewEntry(log),
		})
		listener, err := server.Listen("127.0.0.1:0", wire.NewClaimsServer(transportclaims.NewServer(service)))
		if err != nil {
			service.Close()
			return err
		}
		host.ControlAddr = listener.Addr()
		hosts = append(hosts, host)
		r.entries = append(r.entries, &entry{service: service, listener: listener})
	}
	members.Replace(hosts)
	return nil
}

func (r *experiment) stopEntries(ctx context.Context) {
	for _, e := range r.entries {
		e.service.Close()
	}
	for _, e := range r.entries {
		_ = e.listener.Shutdown(ctx)
	}
}

// readAllShards measures the time to read all shards one after the other, as a new entry does, without the rate
// limits of the object API.
func (r *experiment) readAllShards(ctx context.Context) error {
	r.objects.SetRates(unlimitedRate, unlimitedRate)
	store, start := r.newStoreClient(), time.Now()
	for shard := range claims.Shards {
		list, err := store.List(ctx, platform.KindClaimSegment, "shard="+strconv.Itoa(shard))
		if err != nil {
			return eris.Wrapf(err, "list shard %d", shard)
		}
		r.report.Segments += len(list.Items)
	}
	r.report.ReadAllSeconds = time.Since(start).Seconds()
	return nil
}

// unlimitedRate is higher than any rate in a run.
const unlimitedRate = 1e6
