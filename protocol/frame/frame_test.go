package frame_test

import (
	"bytes"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/guavatrestle/guavatrestle/internal/proptest"
	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/frame"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/core"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(testingM{m})
}

// testingM sets the seed of the property tests before the tests run.
type testingM struct{ *testing.M }

func (m testingM) Run() int {
	if err := proptest.Configure(); err != nil {
		panic(err)
	}
	return m.M.Run()
}

// response returns the encoded frames of a complete response.
func response(t require.TestingT, id core.RequestID, payloads [][]byte) [][]byte {
	var frames [][]byte
	var out bytes.Buffer
	w := frame.NewWriter(&out, id)
	collect := func(err error) {
		require.NoError(t, err)
		frames = append(frames, slices.Clone(out.Bytes()))
		out.Reset()
	}
	collect(w.Head(&wire.Head{Status: 200}))
	for _, payload := range payloads {
		collect(w.Data(payload))
		collect(w.KeepAlive())
	}
	collect(w.End(nil))
	return frames
}

// read returns the body and reports whether the reader accepted the response as complete.
func read(stream []byte, id core.RequestID) (body []byte, complete bool) {
	r := frame.NewReader(bytes.NewReader(stream), id)
	for {
		f, err := r.Next()
		if err != nil || f.GetRefusal() != nil {
			return body, false
		}
		body = append(body, f.GetData().GetPayload()...)
		if f.GetEnd() != nil {
			return body, true
		}
	}
}

// TestDamagedResponseIsNeverComplete guards against a response that is accepted although a frame was dropped, duplicated,
// swapped, truncated or taken from another response.
func TestDamagedResponseIsNeverComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		payloads := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 1, 40), 1, 8).Draw(t, "payloads")
		frames := response(t, "mine", payloads)
		body, complete := read(bytes.Join(frames, nil), "mine")
		require.True(t, complete, "an undamaged response must be complete")
		require.Equal(t, bytes.Join(payloads, nil), body)

		i := rapid.IntRange(0, len(frames)-1).Draw(t, "i")
		j := rapid.IntRange(0, len(frames)-2).Draw(t, "j")
		damaged := slices.Clone(frames)
		switch rapid.SampledFrom([]string{"drop", "double", "swap", "foreign", "truncate"}).Draw(t, "damage") {
		case "drop":
			damaged = slices.Delete(damaged, i, i+1)
		case "double":
			damaged = slices.Insert(damaged, j, damaged[j])
		case "swap":
			damaged[j], damaged[j+1] = damaged[j+1], damaged[j]
		case "foreign":
			damaged[i] = response(t, "other", payloads)[i]
		case "truncate":
			damaged[i] = damaged[i][:rapid.IntRange(0, len(damaged[i])-1).Draw(t, "length")]
			damaged = damaged[:i+1]
		}
		_, complete = read(bytes.Join(damaged, nil), "mine")
		require.False(t, complete, "a damaged response was accepted as complete")
	})
}

// TestAlteredFrameIsNeverComplete guards against a response that is accepted although the content of a frame with a valid
// sequence number was changed.
func TestAlteredFrameIsNeverComplete(t *testing.T) {
	const data, keepAlive, emptyData = 1, 2, 3
	frames := response(t, "mine", [][]byte{[]byte("first"), {}})
	for name, c := range map[string]struct {
		frame  int
		change func(*wire.Frame)
	}{
		"payload":       {data, func(f *wire.Frame) { f.GetData().Payload = []byte("FIRST") }},
		"no data":       {emptyData, func(f *wire.Frame) { f.Body = &wire.Frame_KeepAlive{KeepAlive: &wire.KeepAlive{}} }},
		"no known body": {keepAlive, func(f *wire.Frame) { f.Body = nil }},
		"two heads":     {keepAlive, func(f *wire.Frame) { f.Body = &wire.Frame_Head{Head: &wire.Head{}} }},
	} {
		t.Run(name, func(t *testing.T) {
			f := &wire.Frame{}
			require.NoError(t, protodelim.UnmarshalFrom(bytes.NewReader(frames[c.frame]), f))
			c.change(f)
			var out bytes.Buffer
			_, err := protodelim.MarshalTo(&out, f)
			require.NoError(t, err)
			damaged := slices.Clone(frames)
			damaged[c.frame] = out.Bytes()
			_, complete := read(bytes.Join(damaged, nil), "mine")
			require.False(t, complete)
		})
	}
}

// TestNothingFollowsTheLastFrame guards against a writer or reader that accepts frames after the end of a response.
func TestNothingFollowsTheLastFrame(t *testing.T) {
	var out bytes.Buffer
	w := frame.NewWriter(&out, "mine")
	require.NoError(t, w.Head(&wire.Head{Status: 200}))
	require.NoError(t, w.End(nil))
	require.Equal(t, protocol.CodeMalformed, protocol.CodeOf(w.KeepAlive()))
	r := frame.NewReader(&out, "mine")
	for range 2 {
		_, err := r.Next()
		require.NoError(t, err)
	}
	_, err := r.Next()
	require.Equal(t, protocol.CodeMalformed, protocol.CodeOf(err))
}

// TestWriterRefusesFramesThatNoReaderAccepts guards against a frame over the size limit, on which the entry's reader would
// fail.
func TestWriterRefusesFramesThatNoReaderAccepts(t *testing.T) {
	var out bytes.Buffer
	w := frame.NewWriter(&out, "mine")
	require.NoError(t, w.Head(&wire.Head{Status: 200}))
	require.Equal(t, protocol.CodeMalformed, protocol.CodeOf(w.Data(make([]byte, frame.MaxFrameBytes))))
	require.NoError(t, w.Data([]byte("small")))
	require.NoError(t, w.End(nil))
	body, complete := read(out.Bytes(), "mine")
	require.True(t, complete, "the response must continue without the rejected frame")
	require.Equal(t, "small", string(body))
}

// FuzzReader guards against panics, and against a stream that is accepted although its frames form no complete response.
func FuzzReader(f *testing.F) {
	complete := bytes.Join(response(f, "mine", [][]byte{[]byte("first"), []byte("second")}), nil)
	f.Add(complete)
	f.Add(complete[:len(complete)-3])
	f.Add(append(slices.Clone(complete), complete...))
	f.Fuzz(func(t *testing.T, stream []byte) {
		body, complete := read(stream, "mine")
		if !complete {
			return
		}
		require.Equal(t, decodeAll(t, stream), body)
	})
}

// decodeAll decodes a stream that the reader accepted and repeats the reader's checks independently.
func decodeAll(t *testing.T, stream []byte) []byte {
	var body []byte
	in := bytes.NewReader(stream)
	var sequence, dataFrames uint64
	for {
		f := &wire.Frame{}
		require.NoError(t, protodelim.UnmarshalFrom(in, f))
		require.Equal(t, "mine", f.GetRequestId())
		require.Equal(t, sequence, f.GetSequence())
		require.LessOrEqual(t, proto.Size(f), frame.MaxFrameBytes)
		sequence++
		switch part := f.GetBody().(type) {
		case *wire.Frame_Data:
			dataFrames++
			body = append(body, part.Data.GetPayload()...)
		case *wire.Frame_End:
			require.Equal(t, dataFrames, part.End.GetDataFrames())
			return body
		}
	}
}

// writeCounter counts calls of Write.
type writeCounter struct{ writes int }

func (c *writeCounter) Write(p []byte) (int, error) {
	c.writes++
	return len(p), nil
}

// TestFrameIsOneWrite guards against a frame whose length and content are sent to the network separately.
func TestFrameIsOneWrite(t *testing.T) {
	out := &writeCounter{}
	w := frame.NewWriter(out, "request-1")
	require.NoError(t, w.Head(&wire.Head{Status: 200}))
	require.NoError(t, w.Data([]byte("first")))
	require.NoError(t, w.Data([]byte("second")))
	require.NoError(t, w.End(nil))
	require.Equal(t, 4, out.writes)
}
