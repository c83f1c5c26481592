package held_test

import (
	"testing"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/holding"
	"github.com/guavatrestle/guavatrestle/transport/held"
)

// BenchmarkStream measures what the account costs a stream of 21 events beside 200 others.
func BenchmarkStream(b *testing.B) {
	account := held.New(holding.ConfigFor(136<<20), time.Now)
	for range 200 {
		account.Open(holding.Caller{Connection: "other"}, nil).Grow(holding.KindSocket, holding.SocketBytes)
	}
	for b.Loop() {
		r := account.Open(holding.Caller{Connection: "127.0.0.1:1000"}, func(bool) {})
		r.Grow(holding.KindSocket, holding.SocketBytes)
		r.SetTeam("team")
		r.Grow(holding.KindBody, 4<<10)
		r.BeginBody()
		r.ReceiveBody(4 << 10)
		r.EndBody()
		for range 21 {
			r.BeginWrite()
			r.EndWrite()
		}
		r.Close()
	}
}
