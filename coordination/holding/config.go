package holding

import "time"

const (
	// heldShare is the part of a process's memory limit that may be held for others. The rest is for the process itself (about 30 MB on an
	// entry host), the garbage between two collections (a quarter of the heap) and the memory of the kernel beyond the estimates.
	heldShare = 0.4
	// recordsShare is the part of the memory limit for responses of the store and of relays: 16 MB on a host with 136 MB. A list holds about
	// 1 MB, and a host reads four kinds of records.
	recordsShare = 0.12
	// recordBytes is admitted on any host.
	recordBytes = 4 << 20
	// smallShare is the part of it that only small requests may use: 18 MB on a host with 136 MB, for about 900 requests at a time.
	smallShare = 1.0 / 3
	// bodyShare is the part of the shared memory that bodies may use; the rest is left for responses.
	bodyShare = 0.5
	// smallRequestBytes is the size up to which a request is small, including socketBytes. A prompt of 3,880 tokens has about 16 KB.
	smallRequestBytes = 64 << 10
	// connectionShare and teamShare are the parts of what the others leave that one connection and one team may hold.
	connectionShare = 0.5
	teamShare       = 0.75
	// shortShare is the part of a limit above which memory counts as short: slow requests are ended before other ones are refused.
	shortShare = 0.75
	// bufferedBytes bounds the buffered responses and events of a process whose memory limit is unknown.
	bufferedBytes = 32 << 20

	// SocketBytes is the estimate for a request beside its content: stacks of two goroutines (8 KB each) and three buffers of 4 KB.
	SocketBytes = 20 << 10
	// UnreadBytes is the estimate for what the socket buffers hold for a caller that doesn't read: the send buffer to it and the receive
	// buffer from the replica, whose limits the kernel doubles.
	UnreadBytes = 4 * SocketBufferBytes
	// SocketBufferBytes is the limit of each socket buffer of a connection to a caller. At a round trip of 10 ms it allows 100 Mbit/s.
	SocketBufferBytes = 128 << 10

	// neededPerByte is how much must be free for a byte that is admitted, since a connection gets connectionShare of what is left.
	neededPerByte = 1 / connectionShare
	// unreadAfter is the time without progress of a write after which UnreadBytes are counted.
	unreadAfter = 100 * time.Millisecond
	// sweepInterval is the least time between two searches for slow requests, which look at each request.
	sweepInterval = 20 * time.Millisecond
	// readerTimeout is the time after which a caller that reads nothing is ended if others need the memory. Workers cut a response off that
	// is not read for some seconds.
	readerTimeout = 1500 * time.Millisecond
	// slowBodyAfter is the time after which a body must have arrived or arrive with minBodyRate while memory is short.
	slowBodyAfter = time.Second
	// minBodyRate is in bytes per second. The slowest links of hosts have 7.3 Mbit/s, a hundred times as much.
	minBodyRate = 8 << 10
)

// Config holds the limits of an Account.
type Config struct {
	// Limit bounds all held bytes; 0 means that only Buffered is limited.
	Limit int64
	// Records bounds the responses of the store and of relays, beside Limit.
	Records int64
	// SmallPart is the part of Limit that only requests of up to SmallRequest bytes may use.
	SmallPart    int64
	SmallRequest int64
	// Bodies bounds the request bodies outside of SmallPart, Buffered the buffered responses and events.
	Bodies   int64
	Buffered int64
	// ReaderTimeout is the time without progress of a write after which a caller counts as slow.
	ReaderTimeout time.Duration
	// SlowBodyAfter is the time after which a body counts as slow unless it has arrived with MinBodyRate bytes per second.
	SlowBodyAfter time.Duration
	MinBodyRate   int64
}

// ConfigFor returns the limits for a process that may use memoryLimit bytes; 0 means unknown.
func ConfigFor(memoryLimit int64) Config {
	cfg := Config{
		Buffered: bufferedBytes, ReaderTimeout: readerTimeout, SlowBodyAfter: slowBodyAfter, MinBodyRate: minBodyRate,
	}
	if memoryLimit <= 0 {
		return cfg
	}
	cfg.Limit = part(memoryLimit, heldShare)
	cfg.SmallPart = part(cfg.Limit, smallShare)
	cfg.SmallRequest = smallRequestBytes
	shared := cfg.Limit - cfg.SmallPart
	cfg.Records = max(part(memoryLimit, recordsShare), recordBytes)
	cfg.Bodies = part(shared, bodyShare)
	cfg.Buffered = min(bufferedBytes, cfg.SmallPart+shared)
	return cfg
}

func part(whole int64, share float64) int64 { return int64(float64(whole) * share) }
