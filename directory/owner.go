package directory

import (
	"encoding/binary"

	"github.com/dgryski/go-rendezvous"
	"github.com/zeebo/xxh3"

	"boragehub/prompt"
)

// Anchor returns the directory key of a context: the hash of its shared prefix,
// given as text, which is the rendered prompt up to and including its first user
// message. All of text is hashed, also the bytes after its last full block:
// otherwise many contexts that share a long system message would get the same key.
func Anchor(scope prompt.Scope, text string) prompt.Hash {
	return prompt.NextHash(scope.Root(), []byte(text))
}

// Owners assigns anchors to members by rendezvous hashing: when a member is
// removed, only its own anchors get another owner.
type Owners struct {
	rendezvous *rendezvous.Rendezvous
}

// NewOwners returns the assignment for the given members. Their names must not be
// empty.
func NewOwners(members []string) *Owners {
	return &Owners{rendezvous: rendezvous.New(members, xxh3.HashString)}
}

// Owner returns the member that stores the holdings of anchor; empty when there
// are no members.
func (o *Owners) Owner(anchor prompt.Hash) string {
	return o.rendezvous.Lookup(string(anchor[:]))
}

// Owner returns the member that stores the holdings of anchor; empty when there
// are no members. For many lookups with the same members, create an Owners once.
func Owner(anchor prompt.Hash, members []string) string {
	return NewOwners(members).Owner(anchor)
}

// hash64 returns the first eight bytes of h, which is what a Table stores of a hash.
func hash64(h prompt.Hash) uint64 {
	return binary.LittleEndian.Uint64(h[:])
}
