package directory

import (
	"encoding/binary"

	"github.com/dgryski/go-rendezvous"
	"github.com/zeebo/xxh3"

	"boragehub/prompt"
)

// Anchor returns the key of the context that opens with text: the rendered
// prompt up to and with its first user message. The text is hashed to its last
// byte and not to its last whole block, so that contexts which share a long
// system message do not all meet under one key.
func Anchor(scope prompt.Scope, text string) prompt.Hash {
	return prompt.Next(scope.Root(), []byte(text))
}

// Owners divides anchors among members by rendezvous hashing: a member that
// goes moves only its own anchors.
type Owners struct {
	r *rendezvous.Rendezvous
}

// NewOwners returns the division among members, which are not empty.
func NewOwners(members []string) *Owners {
	return &Owners{r: rendezvous.New(members, xxh3.HashString)}
}

// Owner returns the member that keeps what is known of anchor, empty without members.
func (o *Owners) Owner(anchor prompt.Hash) string {
	return o.r.Lookup(string(anchor[:]))
}

// Owner returns the member that keeps what is known of anchor. Use Owners
// where the members stay the same over many calls.
func Owner(anchor prompt.Hash, members []string) string {
	return NewOwners(members).Owner(anchor)
}

// short is the part of a hash that the table keeps.
func short(h prompt.Hash) uint64 {
	return binary.LittleEndian.Uint64(h[:])
}
