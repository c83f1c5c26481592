package core

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Manifest describes the content of one immutable model version.
type Manifest struct {
	Model     Model    `json:"model"`
	Version   string   `json:"version"`
	Size      int64    `json:"size"`
	ChunkSize int64    `json:"chunk_size"`
	Chunks    []Digest `json:"chunks"`
	Content   Digest   `json:"content"`
}

// BuildManifest computes the manifest of content.
func BuildManifest(model Model, version string, content []byte, chunkSize int64) (Manifest, error) {
	if chunkSize <= 0 {
		return Manifest{}, eris.Errorf("chunk size is %d, must be positive", chunkSize)
	}
	m := Manifest{
		Model:     model,
		Version:   version,
		Size:      int64(len(content)),
		ChunkSize: chunkSize,
		Content:   DigestOf(content),
	}
	for start := int64(0); start < m.Size; start += chunkSize {
		end := min(start+chunkSize, m.Size)
		m.Chunks = append(m.Chunks, DigestOf(content[start:end]))
	}
	return m, nil
}

// Canonical returns the canonical JSON encoding of m.
func (m Manifest) Canonical() ([]byte, error) {
	body, err := json.Marshal(m)
	return body, eris.Wrap(err, "encode manifest")
}

// Digest returns the version digest, which is the digest of the canonical encoding.
func (m Manifest) Digest() (Digest, error) {
	body, err := m.Canonical()
	if err != nil {
		return "", err
	}
	return DigestOf(body), nil
}

// ParseManifest decodes body and checks it against the version digest want.
func ParseManifest(body []byte, want Digest) (Manifest, error) {
	if got := DigestOf(body); got != want {
		return Manifest{}, eris.Errorf("manifest has digest %s, want %s", got, want)
	}
	var m Manifest
	if err := json.Unmarshal(body, &m); err != nil {
		return Manifest{}, eris.Wrap(err, "decode manifest")
	}
	return m, m.validate()
}

// ChunkRange returns the half-open byte range of chunk index.
func (m Manifest) ChunkRange(index int) (start, end int64) {
	start = int64(index) * m.ChunkSize
	return start, min(start+m.ChunkSize, m.Size)
}

func (m Manifest) validate() error {
	if m.Size < 0 || m.ChunkSize <= 0 {
		return eris.Errorf("manifest of %s %s has invalid size %d or chunk size %d", m.Model, m.Version, m.Size, m.ChunkSize)
	}
	want := (m.Size + m.ChunkSize - 1) / m.ChunkSize
	if int64(len(m.Chunks)) != want {
		return eris.Errorf("manifest of %s %s lists %d chunks, want %d", m.Model, m.Version, len(m.Chunks), want)
	}
	return nil
}
