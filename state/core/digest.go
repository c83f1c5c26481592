package core

import (
	"encoding/hex"

	"github.com/zeebo/blake3"
)

// digestHexLength is the length of a BLAKE3-256 hash in hexadecimal digits.
const digestHexLength = 64

// Digest is a BLAKE3-256 hash in hexadecimal.
type Digest string

// DigestOf returns the digest of data.
func DigestOf(data []byte) Digest {
	sum := blake3.Sum256(data)
	return DigestFromSum(sum[:])
}

// Valid reports whether d has the form of a digest.
func (d Digest) Valid() bool {
	if len(d) != digestHexLength {
		return false
	}
	_, err := hex.DecodeString(string(d))
	return err == nil
}

// DigestFromSum returns the digest with the given hash bytes.
func DigestFromSum(sum []byte) Digest {
	return Digest(hex.EncodeToString(sum))
}
