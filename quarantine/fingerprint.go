package quarantine

import (
	"encoding/hex"

	"github.com/zeebo/xxh3"
)

// Fingerprint identifies a request by its organisation and content.
type Fingerprint [16]byte

// String returns f in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// FingerprintOf returns the fingerprint of an organisation's content. It is not a
// cryptographic hash: a caller that produces a collision harms only its own organisation,
// whose name is part of the hashed data.
func FingerprintOf(organisation string, content []byte) Fingerprint {
	h := newHasher(organisation)
	_, _ = h.Write(content)

	return h.Sum128().Bytes()
}

func newHasher(organisation string) *xxh3.Hasher {
	h := xxh3.New()
	_, _ = h.WriteString(organisation)
	_, _ = h.Write([]byte{0})

	return h
}

// Request is what identifies a request when its caller sends it again.
type Request struct {
	// Organisation is the caller's organisation, Service what the request is for: the host or the name
	// of a service.
	Organisation, Service string
	// Method and Target are those of the request line. The target has the path and the query as they are
	// forwarded, so that requests with different ones differ.
	Method, Target string
	Body           []byte
}

// Fingerprint returns the fingerprint of r.
func (r *Request) Fingerprint() Fingerprint {
	h := newHasher(r.Organisation)
	r.write(h, r.Target)

	return h.Sum128().Bytes()
}

// PathPart returns the id, as a part for a PartTracker, of what r has in common with the
// requests that differ from it in the query alone, given its path. No part of a prompt has such an id.
func (r *Request) PathPart(path string) string {
	h := newHasher(r.Organisation)
	r.write(h, path)

	sum := h.Sum128().Bytes()

	return "path/" + hex.EncodeToString(sum[:])
}

// write writes what identifies r, with a target, to a hash.
func (r *Request) write(h *xxh3.Hasher, target string) {
	// None of the first three can contain the separators.
	for _, s := range [...]string{r.Service, " ", r.Method, " ", target, "\x00"} {
		_, _ = h.WriteString(s)
	}

	_, _ = h.Write(r.Body)
}
