package quarantine

import (
	"encoding/binary"
	"sync"

	"github.com/zeebo/xxh3"
)

// Isolation keeps suspects apart on one target: one at a time. Without it a
// crash would show several with two crashes each, and those that merely ran
// beside the cause would be refused with it. The zero Isolation is ready; its
// methods may be called from many goroutines.
type Isolation struct {
	mu      sync.Mutex
	running Fingerprint
	count   int
}

// Begin reports whether a suspect may start here; then End must follow. The
// same fingerprint may run several times: it adds no other cause.
func (i *Isolation) Begin(f Fingerprint) bool {
	i.mu.Lock()
	defer i.mu.Unlock()

	if i.count > 0 && i.running != f {
		return false
	}

	i.running = f
	i.count++

	return true
}

// End records that a suspect no longer runs.
func (i *Isolation) End(f Fingerprint) {
	i.mu.Lock()
	defer i.mu.Unlock()

	if i.count > 0 && i.running == f {
		i.count--
	}
}

// Home returns the one of the VMs on which a suspect may run, by rendezvous
// hashing; empty when there are none. Entries that know the same VMs choose the
// same one, so a caller who sends the request to several entries at once loses
// one target by it and not several.
func Home(f Fingerprint, vms []string) string {
	seed := binary.LittleEndian.Uint64(f[:])
	best, most := "", uint64(0)

	for _, vm := range vms {
		s := xxh3.HashStringSeed(vm, seed)
		if best == "" || s > most || (s == most && vm < best) {
			best, most = vm, s
		}
	}

	return best
}
