package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Digest identifies requests that are identical for an endpoint.
type Digest [sha256.Size]byte

// NewDigest returns the digest of a request. The client account is not part of
// it, because the same bytes crash an endpoint whichever account sends them.
func NewDigest(service, method, path string, body []byte) Digest {
	hash := sha256.New()
	var size [8]byte
	for _, part := range [][]byte{[]byte(service), []byte(method), []byte(path), body} {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = hash.Write(size[:])
		_, _ = hash.Write(part)
	}
	var digest Digest
	hash.Sum(digest[:0])
	return digest
}

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }
