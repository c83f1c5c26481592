package entry

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/protocol/api"
)

const (
	// trickleInterval is the time between two bytes of a trickling body.
	trickleInterval = 5 * time.Millisecond
	// answerLimit is the time after which a test fails that waits for an answer.
	answerLimit = 20 * time.Second
)

// TestTricklingBodyEndsAtTheTimeout guards against a request that occupies the entry for ever because its body arrives a byte at a time,
// whatever its timeout, and against a refusal that is held back until the rest of the body has arrived.
func TestTricklingBodyEndsAtTheTimeout(t *testing.T) {
	for name, c := range map[string]struct {
		token  string
		status int
	}{
		"accepted": {testToken, http.StatusGatewayTimeout},
		"refused":  {"unknown", http.StatusUnauthorized},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil)
			conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
			require.NoError(t, err)
			var sender sync.WaitGroup
			defer sender.Wait()
			defer conn.Close()
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(answerLimit)))
			_, err = io.WriteString(conn, "POST "+orderPath+" HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n"+
				"Authorization: Bearer "+c.token+"\r\n"+headerTimeout+": 0.2\r\n\r\n")
			require.NoError(t, err)
			sender.Go(func() {
				for err := error(nil); err == nil; time.Sleep(trickleInterval) {
					_, err = io.WriteString(conn, "1\r\nx\r\n")
				}
			})
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			defer response.Body.Close()
			require.Equal(t, c.status, response.StatusCode)
			var refusal api.Refusal
			require.NoError(t, json.NewDecoder(response.Body).Decode(&refusal))
			require.Equal(t, api.RunNotRun, refusal.Run)
		})
	}
}
