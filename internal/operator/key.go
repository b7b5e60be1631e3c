package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"oleanderramp/internal/settings"
)

// keyring finds the operator of a bearer key.
type keyring struct {
	entries []keyEntry
}

type keyEntry struct {
	name string
	hash [sha256.Size]byte
}

// newKeyring skips operators whose hash isn't a SHA-256; the validation of the
// settings rejects them earlier.
func newKeyring(operators []settings.Operator) *keyring {
	ring := &keyring{}
	for _, o := range operators {
		hash, err := hex.DecodeString(o.KeySHA256)
		if err != nil || len(hash) != sha256.Size {
			continue
		}
		ring.entries = append(ring.entries, keyEntry{name: o.Name, hash: [sha256.Size]byte(hash)})
	}
	return ring
}

// operator returns the name of the operator authenticated by an Authorization
// header. The time that it takes doesn't depend on which entry matches.
func (k *keyring) operator(authorization string) (string, bool) {
	key, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok || key == "" {
		return "", false
	}
	hash := sha256.Sum256([]byte(key))
	name := ""
	found := false
	for _, e := range k.entries {
		if subtle.ConstantTimeCompare(hash[:], e.hash[:]) == 1 {
			name = e.name
			found = true
		}
	}
	return name, found
}
