package relay

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"encoding/json"
	"hash/crc32"
	"math"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/internal/bootclock"
)

const (
	// encodingGzip is the content encoding of compressed responses. A host asks for it, since earlier versions do not decode it.
	encodingGzip = "gzip"
	// minCompressedBytes is the size below which compression saves less than its headers cost.
	minCompressedBytes = 1 << 10
	// maxPayloads bounds the encoded lists and watches of a kind. Hosts that follow the same relay mostly ask for the same changes.
	maxPayloads = 16
	// sinceList is the key of the payload of a list.
	sinceList = -1
)

// payload is the part of a response that is the same for all hosts that read the same records. It is encoded and compressed once: a
// configuration of 1,500 routes has 0.4 MB, and sent separately to 20 hosts it occupied the relay's link for longer than the hosts wait.
type payload struct {
	records []*cachedRecord
	// changedAfter is the earliest time at which one of the records can have been changed, the maximum if there are none.
	changedAfter bootclock.Instant
	full, brief  form
}

// form is a payload with full or brief records.
type form struct {
	once sync.Once
	// bodies holds the encoded records and what separates them, size the bytes of all.
	bodies [][]byte
	size   int
	err    error

	mu sync.Mutex
	// plain and packed are encoded when they are first sent.
	plain, packed []byte
}

// payload returns the payload of the selected records, which a key identifies until the next change.
func (k *kindCache) payload(key int64, selected func(*cachedRecord) bool) *payload {
	if existing := k.payloads[key]; existing != nil {
		return existing
	}
	if len(k.payloads) >= maxPayloads {
		clear(k.payloads)
	}
	next := &payload{changedAfter: math.MaxInt64}
	for _, record := range k.records {
		if selected(record) {
			next.records = append(next.records, record)
			next.changedAfter = min(next.changedAfter, record.changedAfter)
		}
	}
	k.payloads[key] = next
	return next
}

// encode returns the parts of a response. It is compressed if that is accepted and the response is large enough.
func (p *payload) encode(head wireHead, brief, compressed bool) (parts [][]byte, packed bool, err error) {
	first, err := json.Marshal(head)
	if err != nil {
		return nil, false, eris.Wrap(err, "encode batch")
	}
	first = first[:len(first)-1]
	f := &p.full
	if brief {
		f = &p.brief
	}
	f.once.Do(func() { f.load(p.records, brief) })
	if f.err != nil {
		return nil, false, f.err
	}
	if !compressed || f.size < minCompressedBytes {
		return [][]byte{first, f.plainBody()}, false, nil
	}
	body, err := f.packedBody()
	if err != nil {
		return nil, false, err
	}
	// A gzip stream may consist of several members, so the head, which differs each time, is one by itself.
	return [][]byte{storedMember(first), body}, true, nil
}

// load collects the encoded records with what comes before and after each.
func (f *form) load(records []*cachedRecord, brief bool) {
	separator := []byte(`,"records":[`)
	for _, record := range records {
		body, err := record.encoded(brief)
		if err != nil {
			f.err = err
			return
		}
		f.bodies = append(f.bodies, separator, body)
		f.size += len(separator) + len(body)
		separator = []byte{','}
	}
	if len(records) == 0 {
		f.bodies = append(f.bodies, separator)
	}
	f.bodies = append(f.bodies, []byte("]}"))
}

func (f *form) plainBody() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.plain == nil {
		f.plain = bytes.Join(f.bodies, nil)
	}
	return f.plain
}

func (f *form) packedBody() ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.packed != nil {
		return f.packed, nil
	}
	body, err := compress(f.bodies...)
	f.packed = body
	return body, err
}

// compress returns a gzip member with the concatenated parts.
func compress(parts ...[]byte) ([]byte, error) {
	var body bytes.Buffer
	// The fastest level shrinks configurations to a twentieth already.
	w, err := gzip.NewWriterLevel(&body, gzip.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "compress records")
	}
	for _, part := range parts {
		if _, err := w.Write(part); err != nil {
			return nil, eris.Wrap(err, "compress records")
		}
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress records")
	}
	return body.Bytes(), nil
}

// storedMember returns a gzip member with one uncompressed block (RFC 1951, 3.2.4). It spares a compressor for each response.
func storedMember(part []byte) []byte {
	member := []byte{0x1f, 0x8b, 8, 0, 0, 0, 0, 0, 0, 0xff, 1}
	member = binary.LittleEndian.AppendUint16(member, uint16(len(part)))
	member = binary.LittleEndian.AppendUint16(member, ^uint16(len(part)))
	member = append(member, part...)
	member = binary.LittleEndian.AppendUint32(member, crc32.ChecksumIEEE(part))
	return binary.LittleEndian.AppendUint32(member, uint32(len(part)))
}
