package platform

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/internal/headtest"
	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
)

// platformCall is a call to a server at a URL; answer is the body of a response with which it succeeds.
type platformCall struct {
	answer string
	send   func(ctx context.Context, url string) error
	// lost is the code of a call that gets no answer.
	lost protocol.Code
}

func engineAt(url string) *EngineClient {
	engine, _ := NewEngineClient(url, nil)
	return engine
}

var platformCalls = map[string]platformCall{
	"status": {`{"boot_id":"b"}`, func(ctx context.Context, url string) error {
		_, err := engineAt(url).Status(ctx)
		return err
	}, protocol.CodeUnavailable},
	"load": {"", func(ctx context.Context, url string) error {
		return engineAt(url).Load(ctx, platform.LoadOrder{Model: "m", Size: 4, Weights: bytes.NewReader([]byte("data"))})
	}, protocol.CodeOutcomeUnknown},
	"get": {`{}`, func(ctx context.Context, url string) error {
		_, err := NewObjectClient(url, "ns").Get(ctx, platform.KindSetting, "x")
		return err
	}, protocol.CodeUnavailable},
	"list": {`{}`, func(ctx context.Context, url string) error {
		_, err := NewObjectClient(url, "ns").List(ctx, platform.KindSetting, "")
		return err
	}, protocol.CodeUnavailable},
	"create": {`{}`, func(ctx context.Context, url string) error {
		_, err := NewObjectClient(url, "ns").Create(ctx, platform.Object{Kind: platform.KindSetting, Name: "x"})
		return err
	}, protocol.CodeOutcomeUnknown},
	"update": {`{}`, func(ctx context.Context, url string) error {
		_, err := NewObjectClient(url, "ns").Update(ctx, platform.Object{Kind: platform.KindSetting, Name: "x"})
		return err
	}, protocol.CodeOutcomeUnknown},
	"delete": {`{}`, func(ctx context.Context, url string) error {
		return NewObjectClient(url, "ns").Delete(ctx, platform.KindSetting, "x", "1")
	}, protocol.CodeOutcomeUnknown},
	"watch": {"", func(ctx context.Context, url string) error {
		_, err := NewObjectClient(url, "ns").Watch(ctx, platform.KindSetting, "1")
		return err
	}, protocol.CodeUnavailable},
	"hosts": {`[]`, func(ctx context.Context, url string) error {
		_, err := NewHostListClient(url).Hosts(ctx)
		return err
	}, protocol.CodeUnavailable},
	"manifest": {`{}`, func(ctx context.Context, url string) error {
		_, err := NewWeightClient(url).Manifest(ctx, "m", "v")
		return err
	}, protocol.CodeUnavailable},
	"range": {"data", func(ctx context.Context, url string) error {
		_, err := NewWeightClient(url).Range(ctx, platform.RangeRequest{Model: "m", Version: "v", End: 4})
		return err
	}, protocol.CodeUnavailable},
}

// TestMalformedAnswerToACallIsNoAnswer guards against a status, an object, a part of weights or a refusal that is believed although the head
// of the response is malformed. A sound response must succeed.
func TestMalformedAnswerToACallIsNoAnswer(t *testing.T) {
	for operation, call := range platformCalls {
		for _, status := range []int{200, 304, 404, 409, 410, 412, 422, 429, 503} {
			sound := fmt.Sprintf("HTTP/1.1 %d Status\r\nContent-Type: application/json\r\nRetry-After: 9\r\nContent-Length: %d\r\n\r\n%s",
				status, len(call.answer), call.answer)
			if status == 200 {
				require.NoError(t, call.send(t.Context(), "http://"+headtest.Start(t, sound).Address), operation)
			}
			for name, malformed := range headtest.Malformations {
				t.Run(fmt.Sprintf("%s/%d/%s", operation, status, name), func(t *testing.T) {
					server := headtest.Start(t, malformed(sound))
					ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
					defer cancel()
					err := call.send(ctx, "http://"+server.Address)
					require.NoError(t, ctx.Err())
					require.Equal(t, call.lost, protocol.CodeOf(err), "%v", err)
					require.ErrorContains(t, err, "malformed")
					require.Zero(t, protocol.RetryAfterOf(err))
					<-server.Closed
				})
			}
		}
	}
}
