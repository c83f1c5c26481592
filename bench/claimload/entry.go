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

// entry is the claim service of one entry behind its control listener.
type entry struct {
	service *transportclaims.Service
	server  *server.Listener
}

func (r *run) store() *transportplatform.ObjectClient {
	return transportplatform.NewObjectClient(r.api.URL, namespace)
}

func (r *run) startEntries() error {
	members := table.NewMembers()
	log := logrus.New()
	log.SetOutput(io.Discard)
	var hosts []core.Host
	for i := range r.cfg.Entries {
		host := core.Host{ID: core.HostID(fmt.Sprintf("entry-%d", i)), Role: core.RoleEntry, State: core.HostLive}
		service := transportclaims.New(transportclaims.Parts{
			Config: transportclaims.DefaultConfig(), Self: host, Store: r.store(), Members: members, Now: time.Now, Log: logrus.NewEntry(log),
		})
		listener, err := server.Listen("127.0.0.1:0", wire.NewClaimsServer(transportclaims.NewServer(service)))
		if err != nil {
			service.Close()
			return err
		}
		host.ControlAddr = listener.Addr()
		hosts = append(hosts, host)
		r.entries = append(r.entries, &entry{service: service, server: listener})
	}
	members.Replace(hosts)
	return nil
}

func (r *run) stopEntries(ctx context.Context) {
	for _, e := range r.entries {
		e.service.Close()
	}
	for _, e := range r.entries {
		_ = e.server.Shutdown(ctx)
	}
}

// readAll reads all shards as a new entry does, one after the other, without the rate limits of the API.
func (r *run) readAll(ctx context.Context) error {
	r.objects.SetRates(unlimited, unlimited)
	store, start := r.store(), time.Now()
	for shard := range claims.Shards {
		list, err := store.List(ctx, platform.KindClaimSegment, "shard="+strconv.Itoa(shard))
		if err != nil {
			return eris.Wrapf(err, "list shard %d", shard)
		}
		r.out.Segments += len(list.Items)
	}
	r.out.ReadAllSeconds = time.Since(start).Seconds()
	return nil
}

// unlimited is a rate above any in a run.
const unlimited = 1e6
