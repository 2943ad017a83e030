// Package organisation tells which organisation a caller belongs to.
//
// # Model
//
// Callers bear a key; the settings hold its SHA-256, so that neither the log
// nor a settings file gives a key away. An organisation may have several keys
// at once: to rotate one, publish the hash of the new beside the old, hand the
// new key out, and publish again without the old.
//
// A Register belongs to one version of the settings and never changes, so a
// request that is under way keeps the organisation that it came in with.
//
//	r := organisation.NewRegister(tree)
//	name, err := r.Authenticate(credential)
package organisation

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"hash/maphash"
	"slices"
	"strings"

	"boragehub/failure"
	"boragehub/setting"
)

const (
	hashPrefix = "sha256:"
	keyPrefix  = "bh-"
	keyBytes   = 32
	// maxCredential bounds what is hashed for a caller who is not known yet.
	maxCredential = 512
)

// Register finds organisations by their callers' keys. It never changes and is
// safe for concurrent use. Use NewRegister.
type Register struct {
	seed maphash.Seed
	// keys are found by a hash with a secret seed: how long a look-up takes
	// then tells nothing about the hashes that are kept.
	keys   map[uint64][]holder
	byName map[string]setting.Organisation
}

// holder is who holds the key with a hash.
type holder struct {
	sum  [sha256.Size]byte
	name string
}

// NewRegister returns the Register of a tree.
func NewRegister(t *setting.Tree) *Register {
	r := &Register{
		seed:   maphash.MakeSeed(),
		keys:   map[uint64][]holder{},
		byName: map[string]setting.Organisation{},
	}

	for _, o := range t.Organisations() {
		r.byName[o.Name] = o
		for _, key := range o.Keys {
			r.add(o.Name, key)
		}
	}

	return r
}

// add notes the hash of a key, which the tree has checked.
func (r *Register) add(name, key string) {
	h := holder{name: name}

	b, err := hex.DecodeString(strings.TrimPrefix(key, hashPrefix))
	if err != nil || copy(h.sum[:], b) != sha256.Size {
		return
	}

	place := maphash.Bytes(r.seed, h.sum[:])
	r.keys[place] = append(r.keys[place], h)
}

// Authenticate returns the organisation whose key the credential is. The error
// is a failure.Unauthenticated, or Forbidden for an organisation that is
// blocked; it never bears the credential.
func (r *Register) Authenticate(credential string) (string, error) {
	if credential == "" || len(credential) > maxCredential {
		return "", failure.New(failure.Unauthenticated, "a key is required")
	}

	sum := sha256.Sum256([]byte(credential))
	name := ""

	for _, h := range r.keys[maphash.Bytes(r.seed, sum[:])] {
		if subtle.ConstantTimeCompare(h.sum[:], sum[:]) == 1 {
			name = h.name
		}
	}

	if name == "" {
		return "", failure.New(failure.Unauthenticated, "the key is not known")
	}

	if r.byName[name].Blocked {
		return "", failure.New(failure.Forbidden, "the organisation is blocked")
	}

	return name, nil
}

// Permit returns nil when the organisation called name may use a service, and
// a failure.Forbidden otherwise.
func (r *Register) Permit(name, service string) error {
	o, ok := r.byName[name]
	if !ok || o.Blocked {
		return failure.New(failure.Forbidden, "the organisation is not known or blocked")
	}

	if len(o.Services) > 0 && !slices.Contains(o.Services, service) {
		return failure.New(failure.Forbidden, "the organisation may not use %s", service)
	}

	return nil
}

// Len returns how many organisations there are.
func (r *Register) Len() int { return len(r.byName) }

// NewKey returns a new key for callers and the hash of it for the settings.
func NewKey() (key, hash string) {
	var b [keyBytes]byte

	_, _ = rand.Read(b[:]) // it never fails

	key = keyPrefix + base64.RawURLEncoding.EncodeToString(b[:])

	return key, HashKey(key)
}

// HashKey returns the hash of a key as it stands in the settings.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))

	return hashPrefix + hex.EncodeToString(sum[:])
}
