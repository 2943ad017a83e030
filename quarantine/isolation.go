package quarantine

import (
	"encoding/binary"
	"sync"

	"github.com/zeebo/xxh3"
)

// Isolation runs the suspects on one target one at a time. If several ran together, a
// crash would give each of them its second crash, and those that only ran beside the
// cause would be refused as well. The zero Isolation is ready for use; its methods may
// be called concurrently.
type Isolation struct {
	mu      sync.Mutex
	running Fingerprint
	count   int
}

// Begin reports whether a suspect may start now; if so, End must be called when it has
// ended. The same fingerprint may run several times concurrently, since that adds no
// other possible cause.
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

// End records that a suspect has ended.
func (i *Isolation) End(f Fingerprint) {
	i.mu.Lock()
	defer i.mu.Unlock()

	if i.count > 0 && i.running == f {
		i.count--
	}
}

// IsolationVM returns the one VM on which a suspect may run, chosen from vms by rendezvous
// hashing; empty if vms is empty. Entries with the same list choose the same VM, so a
// caller that sends the request to several entries at once can crash only one target.
func IsolationVM(f Fingerprint, vms []string) string {
	seed := binary.LittleEndian.Uint64(f[:])
	best, highest := "", uint64(0)

	for _, vm := range vms {
		s := xxh3.HashStringSeed(vm, seed)
		if best == "" || s > highest || (s == highest && vm < best) {
			best, highest = vm, s
		}
	}

	return best
}
