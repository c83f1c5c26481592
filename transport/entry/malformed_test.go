package entry

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/protocol/frame"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
)

// sendStatus sends a complete response whose head frame has a status.
func sendStatus(status uint32) script {
	return func(out *frame.Writer, _ http.ResponseWriter, _ *http.Request) {
		_ = out.Head(&wire.Head{Status: status, ContentType: jsonType})
		_ = out.Data([]byte("wrong"))
		_ = out.End(&wire.Grant{})
	}
}

// TestStatusOfAFrameMustBeFinal guards against a response, or a panic of the entry, after a frame whose status is none of a final response.
func TestStatusOfAFrameMustBeFinal(t *testing.T) {
	statuses := []uint32{600, 999, 1000, 1<<32 - 1}
	for status := range uint32(200) {
		statuses = append(statuses, status)
	}
	for _, status := range statuses {
		h := newHarness(t, nil)
		a := h.startAgent("agent-1", "pedidos", 2, sendStatus(status))
		got := h.post(orderPath, "")
		require.Equal(t, http.StatusBadGateway, got.status, "status %d", status)
		require.Equal(t, api.RunUnknown, got.refusal.Run)
		require.NotContains(t, got.body, "wrong")
		require.Equal(t, 1, a.count())
	}
}

// TestStatusOfAnAgentPromisesNothing guards against a refusal that says "not run" because of the HTTP status of an agent, which sends
// frames with status 200.
func TestStatusOfAnAgentPromisesNothing(t *testing.T) {
	for _, status := range []int{202, 408, 421, 429, 503, 999} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			h := newHarness(t, nil)
			h.startAgent("agent-1", "pedidos", 2, func(_ *frame.Writer, w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Retry-After", "9")
				w.WriteHeader(status)
			})
			got := h.post(orderPath, "")
			require.Equal(t, http.StatusBadGateway, got.status)
			require.Equal(t, api.RunUnknown, got.refusal.Run)
		})
	}
}
