package server

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

// TestPanicOfAHandlerEndsOnlyItsRequest guards against a panic whose caller gets no answer or a response that looks complete, and which
// is neither counted nor logged.
func TestPanicOfAHandlerEndsOnlyItsRequest(t *testing.T) {
	logger, log := logtest.NewNullLogger()
	server := httptest.NewServer(Recover(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/begun" {
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
		}
		if r.URL.Path != "/" {
			panic("injected by the test")
		}
	}), logrus.NewEntry(logger)))
	client := server.Client()
	defer server.Close()
	before := varPanics.Value()
	get := func(path string) (int, error) {
		response, err := client.Get(server.URL + path)
		if err != nil {
			return 0, err
		}
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
		return response.StatusCode, err
	}
	status, err := get("/panic")
	require.NoError(t, err)
	require.Equal(t, http.StatusInternalServerError, status)
	_, err = get("/begun")
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	status, err = get("/")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.EqualValues(t, 2, varPanics.Value()-before)
	logged := 0
	for _, line := range log.AllEntries() {
		if line.Message == "panic while handling a request" {
			logged++
		}
	}
	require.Equal(t, 2, logged)
}
