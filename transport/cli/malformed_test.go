package cli

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/internal/headtest"
)

// TestMalformedAnswerIsAnError guards against a command that reports what a response with a malformed head says.
func TestMalformedAnswerIsAnError(t *testing.T) {
	const answer = `{"paths":[]}`
	sound := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
	run := func(t *testing.T, text string) (status int, errOut string) {
		address := headtest.Start(t, text).Address
		f := &fixture{t: t, url: "http://" + address}
		status, _, errOut = f.run("list", "--timeout", "10s")
		return status, errOut
	}
	status, errOut := run(t, sound)
	require.Zero(t, status, errOut)
	for name, malformed := range headtest.Malformations {
		t.Run(name, func(t *testing.T) {
			status, errOut := run(t, malformed(sound))
			require.NotZero(t, status)
			require.Contains(t, errOut, "malformed")
		})
	}
	t.Run("placement", func(t *testing.T) {
		address := headtest.Start(t, headtest.Malformations["blank in name"](sound)).Address
		status, _, errOut := (&fixture{t: t}).run("explain-placement", "--address", address, "--route", "r")
		require.NotZero(t, status)
		require.Contains(t, errOut, "malformed")
	})
}
