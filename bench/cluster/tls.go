package cluster

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/state/config"
	"github.com/guavatrestle/guavatrestle/transport/secure"
)

// clientOf returns an HTTP client for the listeners of a process, and their URL scheme.
func (c *Cluster) clientOf(cfg config.Config) (*http.Client, string, error) {
	if cfg.TLS == nil {
		return http.DefaultClient, "http", nil
	}
	credentials, err := secure.New(*cfg.TLS, time.Now, logrus.NewEntry(logrus.New()))
	if err != nil {
		return nil, "", err
	}
	client := &http.Client{Transport: credentials.Transport(&http.Transport{})}
	c.OnClose(client.CloseIdleConnections)
	return client, "https", nil
}
