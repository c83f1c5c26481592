package entry

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"

	"github.com/guavatrestle/guavatrestle/protocol/api"
)

// rawAgent is an HTTP/2 server on the level of frames, so that it can end a stream in ways after which a client may send
// the request again.
type rawAgent struct {
	requests atomic.Int32
	end      func(*http2.Framer, uint32) error
}

func (a *rawAgent) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	preface := make([]byte, len(http2.ClientPreface))
	if _, err := io.ReadFull(c, preface); err != nil {
		return
	}
	framer := http2.NewFramer(c, c)
	if framer.WriteSettings() != nil {
		return
	}
	for {
		f, err := framer.ReadFrame()
		if err != nil {
			return
		}
		if _, ok := f.(*http2.HeadersFrame); ok {
			a.requests.Add(1)
		}
		if s, ok := f.(*http2.SettingsFrame); ok && !s.IsAck() && framer.WriteSettingsAck() != nil {
			return
		}
		requestEnded := f.Header().Flags.Has(http2.FlagDataEndStream) && (f.Header().Type == http2.FrameData || f.Header().Type == http2.FrameHeaders)
		if requestEnded && a.end(framer, f.Header().StreamID) != nil {
			return
		}
	}
}

func (a *rawAgent) start(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var connections sync.WaitGroup
	connections.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			connections.Go(func() { a.serve(c) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		connections.Wait()
	})
	return l.Addr().String()
}

// TestTransportNeverResendsByItself guards against http.Transport resending a non-repeatable call after GOAWAY, a refused
// stream or a closed connection.
func TestTransportNeverResendsByItself(t *testing.T) {
	for name, end := range map[string]func(*http2.Framer, uint32) error{
		"goaway":         func(f *http2.Framer, _ uint32) error { _ = f.WriteGoAway(0, http2.ErrCodeNo, nil); return io.EOF },
		"refused stream": func(f *http2.Framer, id uint32) error { return f.WriteRSTStream(id, http2.ErrCodeRefusedStream) },
		"closed":         func(*http2.Framer, uint32) error { return io.EOF },
	} {
		for _, body := range []string{"", `{"order":1}`} {
			t.Run(name+" "+body, func(t *testing.T) {
				h := newHarness(t, nil)
				agent := &rawAgent{end: end}
				addr := agent.start(t)
				t.Cleanup(h.handler.Close)
				h.setAgentStatus("agent-1", "pedidos", addr, 4)
				h.setAgentStatus("agent-2", "pedidos", addr, 4)
				got := h.post(orderPath, body)
				require.Equal(t, http.StatusBadGateway, got.status, got.body)
				require.Equal(t, api.RunUnknown, got.refusal.Run)
				require.EqualValues(t, 1, agent.requests.Load(), "request was sent again")
			})
		}
	}
}
