package config_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/state/config"
)

const entryFile = `role: entry
host: entry-1
region: ar-centro
failure_domain: centro-a
listen: {control: "127.0.0.1:7001", data: "127.0.0.1:8001"}
platform:
  object_api: http://127.0.0.1:1
  host_list: http://127.0.0.1:2
`

// TestEveryFaultNamesItsLine guards against faults in a file that are reported without a line, and against a check that stops
// at the first fault.
func TestEveryFaultNamesItsLine(t *testing.T) {
	bad := strings.Replace(entryFile, "region: ar-centro", "region: \"\"", 1)
	bad = strings.Replace(bad, "http://127.0.0.1:2", "nowhere", 1) + "entry:\n  max_body_bytes: 0\nagent: {}\n"
	_, err := config.Parse("e.yaml", []byte(bad))
	require.Error(t, err)
	require.Equal(t, []string{
		`e.yaml:11: agent: does not apply to role "entry"`,
		"e.yaml:3: region: is required",
		"e.yaml:8: platform.host_list: want a URL",
		"e.yaml:10: entry.max_body_bytes: want more than 0",
	}, strings.Split(err.Error(), "\n"))
}

// TestUnknownKeysAndTypesAreRefused guards against a misspelled key, or a value of the wrong type, that silently leaves the
// default in force.
func TestUnknownKeysAndTypesAreRefused(t *testing.T) {
	for text, want := range map[string]string{
		"hots: x\n":                            "e.yaml:9: hots: unknown field",
		"shutdown_timeout: soon\n":             "e.yaml:9: shutdown_timeout: want a duration",
		"shutdown_timeout: 30\n":               "e.yaml:9: shutdown_timeout: want a duration",
		"host: twice\n":                        "e.yaml:9: ",
		"spread: {exchange_interval: [1]}\n":   "e.yaml:9: ",
		"entry: {request_timeout: 1s, x: 2}\n": "e.yaml:9: x: unknown field",
		"---\nrole: agent\n":                   "e.yaml: want one YAML document",
		"\tx":                                  "e.yaml:",
	} {
		_, err := config.Parse("e.yaml", []byte(entryFile+text))
		require.ErrorContains(t, err, want, text)
	}
}

// TestEnvironmentOverridesFile guards against an override that is ignored or not validated.
func TestEnvironmentOverridesFile(t *testing.T) {
	environment := map[string]string{config.EnvHost: "entry-7", config.EnvLogLevel: "debug"}
	getenv := func(name string) string { return environment[name] }
	cfg, err := config.ParseWithEnv("e.yaml", []byte(entryFile), getenv)
	require.NoError(t, err)
	require.Equal(t, "entry-7", string(cfg.Host))
	require.Equal(t, "debug", cfg.LogLevel)
	environment[config.EnvLogLevel] = "loud"
	_, err = config.ParseWithEnv("e.yaml", []byte(entryFile), getenv)
	require.ErrorContains(t, err, "log_level: want one of debug, info, warning, error")
}

// TestShutdownOutlastsTheLongestRequest guards against an entry that interrupts a request at a planned stop because its
// shutdown timeout is shorter than the request timeout.
func TestShutdownOutlastsTheLongestRequest(t *testing.T) {
	_, err := config.Parse("e.yaml", []byte(entryFile+"shutdown_timeout: 30s\n"))
	require.ErrorContains(t, err, "e.yaml:9: shutdown_timeout: want at least entry.request_timeout, which is 1m0s")
	_, err = config.Parse("e.yaml", []byte(entryFile))
	require.NoError(t, err)
}
