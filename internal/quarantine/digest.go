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
	return newDigest([]byte(service), []byte(method), []byte(path), body)
}

// NewPartDigest returns the digest of a prompt part of the requests to a service. It
// differs from that of any request.
func NewPartDigest(service, part string) Digest {
	return newDigest([]byte(service), []byte(part))
}

func newDigest(fields ...[]byte) Digest {
	hash := sha256.New()
	var size [8]byte
	for _, field := range fields {
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		_, _ = hash.Write(size[:])
		_, _ = hash.Write(field)
	}
	var digest Digest
	hash.Sum(digest[:0])
	return digest
}

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }
