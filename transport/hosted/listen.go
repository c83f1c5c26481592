package hosted

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/holding"
	"github.com/guavatrestle/guavatrestle/transport/netdial"
	"github.com/guavatrestle/guavatrestle/transport/server"
)

// serve listens on address and serves s in a new goroutine. A panic in its handler ends only the request.
func serve(s *http.Server, address string, log *logrus.Entry) error {
	s.Handler = server.Recover(s.Handler, log)
	listener, err := listen(address, 0)
	if err != nil {
		return err
	}
	go logServe(func() error { return s.Serve(listener) }, address, log)
	return nil
}

// listen listens on address. If bufferBytes is not 0, it limits each socket buffer of the connections.
func listen(address string, bufferBytes int) (net.Listener, error) {
	config := netdial.ListenConfig()
	config.Control = netdial.LimitBuffers(bufferBytes, config.Control)
	listener, err := config.Listen(context.Background(), "tcp", address)
	return listener, eris.Wrapf(err, "listen on %s", address)
}

// logServe runs serve and logs an error unless the server was shut down.
func logServe(serve func() error, address string, log *logrus.Entry) {
	if err := serve(); !errors.Is(err, http.ErrServerClosed) {
		log.WithError(err).WithField("address", address).Error("HTTP server stopped unexpectedly")
	}
}

// socketBufferBytes returns the limit of the socket buffers of connections to callers and replicas, 0 for that of the system.
func socketBufferBytes(host Host) int {
	if host.MemoryBytes <= 0 {
		return 0
	}
	return holding.SocketBufferBytes
}

func debugAddress(host Host) string {
	return net.JoinHostPort(host.Address, strconv.Itoa(host.PeerPort+debugPortOffset))
}
