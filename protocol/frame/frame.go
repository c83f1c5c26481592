// Package frame reads and writes the response frames between agent and entry.
//
// A response consists of a Head frame, any number of Data and KeepAlive frames, and an End frame. A Refusal
// frame may end it at any point. The reader accepts a response as complete only if the request IDs, the
// sequence numbers, the number of data frames and the checksum match.
package frame

import (
	"bufio"
	"errors"
	"io"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/core"
)

// MaxFrameBytes bounds the encoded size of a frame.
const MaxFrameBytes = 1 << 20

// Writer writes the frames of one response.
type Writer struct {
	out        io.Writer
	requestID  string
	sequence   uint64
	dataFrames uint64
	checksum   *xxhash.Digest
	// buffer holds an encoded frame. It, dataFrame and data are reused to avoid allocations.
	buffer    []byte
	dataFrame wire.Frame
	data      wire.Frame_Data
	// ended is true if the response has ended or a write has failed.
	ended bool
}

// NewWriter returns a Writer for the response to requestID.
func NewWriter(out io.Writer, requestID core.RequestID) *Writer {
	w := &Writer{out: out, requestID: string(requestID), checksum: xxhash.New()}
	w.data.Data = &wire.Data{}
	w.dataFrame.Body = &w.data
	return w
}

// Head writes the head frame, which must be the first.
func (w *Writer) Head(head *wire.Head) error {
	return w.write(&wire.Frame{Body: &wire.Frame_Head{Head: head}})
}

// Data writes a data frame with part of the body.
func (w *Writer) Data(payload []byte) error {
	w.data.Data.Payload = payload
	if err := w.write(&w.dataFrame); err != nil {
		return err
	}
	w.dataFrames++
	_, _ = w.checksum.Write(payload)
	return nil
}

// KeepAlive writes a keep-alive frame, which shows the reader that the connection still works.
func (w *Writer) KeepAlive() error {
	return w.write(&wire.Frame{Body: &wire.Frame_KeepAlive{KeepAlive: &wire.KeepAlive{}}})
}

// End writes the end frame of a complete response.
func (w *Writer) End(grant *wire.Grant) error {
	end := &wire.End{DataFrames: w.dataFrames, Checksum: w.checksum.Sum64(), Grant: grant}
	err := w.write(&wire.Frame{Body: &wire.Frame_End{End: end}})
	w.ended = true
	return err
}

// Refusal writes a refusal frame, which ends the response before it is complete.
func (w *Writer) Refusal(refusal *wire.Refusal) error {
	err := w.write(&wire.Frame{Body: &wire.Frame_Refusal{Refusal: refusal}})
	w.ended = true
	return err
}

// write writes one frame. A failed write ends the response, because part of the frame may have been sent.
func (w *Writer) write(f *wire.Frame) error {
	if w.ended {
		return protocol.Errorf(protocol.CodeMalformed, "write after the last frame of the response")
	}
	f.RequestId = w.requestID
	f.Sequence = w.sequence
	size := proto.Size(f)
	if size > MaxFrameBytes {
		return protocol.Errorf(protocol.CodeMalformed, "frame has %d bytes, more than %d", size, MaxFrameBytes)
	}
	w.sequence++
	if err := w.writeDelimited(f, size); err != nil {
		w.ended = true
		return protocol.Wrap(protocol.CodeUnavailable, err, "write response frame")
	}
	return nil
}

// writeDelimited writes the frame and its length prefix with a single Write, in the format of protodelim.
func (w *Writer) writeDelimited(f *wire.Frame, size int) error {
	var err error
	w.buffer = protowire.AppendVarint(w.buffer[:0], uint64(size))
	w.buffer, err = proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(w.buffer, f)
	if err != nil {
		return err
	}
	_, err = w.out.Write(w.buffer)
	return err
}

// Reader reads and checks the frames of one response.
type Reader struct {
	in         *bufio.Reader
	requestID  string
	sequence   uint64
	dataFrames uint64
	checksum   *xxhash.Digest
	headSeen   bool
	ended      bool
}

// NewReader returns a Reader for the response to requestID.
func NewReader(in io.Reader, requestID core.RequestID) *Reader {
	return &Reader{in: bufio.NewReader(in), requestID: string(requestID), checksum: xxhash.New()}
}

// Next returns the next frame, or an error if the frame violates the protocol.
//
// After an End or Refusal frame, or an error, every further call returns an error.
func (r *Reader) Next() (*wire.Frame, error) {
	if r.ended {
		return nil, protocol.Errorf(protocol.CodeMalformed, "read after the last frame of the response")
	}
	f, err := r.next()
	if err != nil || f.GetEnd() != nil || f.GetRefusal() != nil {
		r.ended = true
	}
	return f, err
}

func (r *Reader) next() (*wire.Frame, error) {
	f := &wire.Frame{}
	options := protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}
	if err := options.UnmarshalFrom(r.in, f); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, protocol.Wrap(protocol.CodeIncomplete, err, "response ended before its last frame")
		}
		return nil, protocol.Wrap(protocol.CodeIncomplete, err, "read response frame")
	}
	if err := r.check(f); err != nil {
		return nil, err
	}
	return f, nil
}

func (r *Reader) check(f *wire.Frame) error {
	if f.GetRequestId() != r.requestID {
		return protocol.Errorf(protocol.CodeMalformed, "frame belongs to request %q, want %q", f.GetRequestId(), r.requestID)
	}
	if f.GetSequence() != r.sequence {
		return protocol.Errorf(protocol.CodeMalformed, "frame has sequence number %d, want %d", f.GetSequence(), r.sequence)
	}
	r.sequence++
	return r.checkBody(f)
}

func (r *Reader) checkBody(f *wire.Frame) error {
	switch body := f.GetBody().(type) {
	case *wire.Frame_Head:
		if r.headSeen {
			return protocol.Errorf(protocol.CodeMalformed, "response has a second head frame")
		}
		r.headSeen = true
	case *wire.Frame_Data:
		if !r.headSeen {
			return protocol.Errorf(protocol.CodeMalformed, "data frame before the head frame")
		}
		r.dataFrames++
		_, _ = r.checksum.Write(body.Data.GetPayload())
	case *wire.Frame_End:
		return r.checkEnd(body.End)
	case *wire.Frame_KeepAlive, *wire.Frame_Refusal:
	default:
		return protocol.Errorf(protocol.CodeMalformed, "frame has no body of a known type")
	}
	return nil
}

func (r *Reader) checkEnd(end *wire.End) error {
	if !r.headSeen {
		return protocol.Errorf(protocol.CodeIncomplete, "end frame before the head frame")
	}
	if end.GetDataFrames() != r.dataFrames {
		return protocol.Errorf(protocol.CodeIncomplete, "response has %d data frames, want %d", r.dataFrames, end.GetDataFrames())
	}
	if end.GetChecksum() != r.checksum.Sum64() {
		return protocol.Errorf(protocol.CodeIncomplete, "response checksum does not match the end frame")
	}
	return nil
}
