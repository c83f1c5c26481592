package config

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPartOfTransferKeepsOtherDefaults guards against zero values for the transfer keys that a file omits.
func TestPartOfTransferKeepsOtherDefaults(t *testing.T) {
	cfg, err := Parse("test", []byte(`
role: agent
host: h
region: r
failure_domain: d
listen: {control: "127.0.0.1:1", data: "127.0.0.1:2"}
platform: {object_api: "http://127.0.0.1:3", host_list: "http://127.0.0.1:4"}
agent:
  upstream: u
  engine: "http://127.0.0.1:5"
  transfer:
    take_over: 3s
`))
	require.NoError(t, err)
	want := DefaultTransfer()
	want.TakeOver = 3 * time.Second
	require.Equal(t, want, *cfg.Agent.Transfer)
	require.Equal(t, DefaultActivation(), *cfg.Agent.Activation)
}
