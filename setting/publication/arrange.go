package publication

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

// Member is a process that takes part in passing settings on.
type Member struct {
	// VM is the name of its VM.
	VM string
	// DataCentre is where it stands.
	DataCentre string
}

// Arrangement is from whom a process takes new settings.
type Arrangement struct {
	// ReadsLog says that the process reads the log itself.
	ReadsLog bool
	// Sources are the VMs to ask, the preferred one first.
	Sources []string
}

const (
	// logReaders is how many processes of a data centre read the log; the
	// second stands in while the first is down.
	logReaders = 2
	// fanOut is how many processes ask the same one while all are up.
	fanOut = 4
	// maxSources bounds whom a process asks before it reads the log itself.
	maxSources = 6
)

// Arrange returns from whom self takes new settings.
//
// The members of a data centre stand in the order of a hash of their names; the
// first ones read the log and each other asks one that stands before it, so
// that processes whose lists differ for a while never ask each other in a
// circle. Those that read the log ask each other, and then their like in the
// other data centres, while the log is out.
func Arrange(self Member, members []Member) Arrangement {
	own := ranked(self, members)
	rank := slices.Index(own, self.VM)

	if rank < logReaders {
		a := Arrangement{ReadsLog: true}
		for _, vm := range own[:min(logReaders, len(own))] {
			if vm != self.VM {
				a.Sources = append(a.Sources, vm)
			}
		}

		a.Sources = append(a.Sources, readersElsewhere(self, members)...)
		a.Sources = a.Sources[:min(maxSources, len(a.Sources))]

		return a
	}

	var a Arrangement

	add := func(i int) {
		if !slices.Contains(a.Sources, own[i]) && len(a.Sources) < maxSources {
			a.Sources = append(a.Sources, own[i])
		}
	}

	// The way up, then the neighbours of the one above: these have other ways up.
	parent := above(rank)
	for i := parent; i >= logReaders; i = above(i) {
		add(i)
	}

	for i := range logReaders {
		add((above(rank) + i) % logReaders)
	}

	for i := parent - 1; i >= max(parent-fanOut, 0); i-- {
		add(i)
	}

	return a
}

// above returns the rank of the process that the one at rank asks.
func above(rank int) int { return (rank - logReaders) / fanOut }

// ranked returns the VMs of self's data centre in the order of their hashes.
func ranked(self Member, members []Member) []string {
	own := []string{self.VM}

	for _, m := range members {
		if m.DataCentre == self.DataCentre && m.VM != self.VM {
			own = append(own, m.VM)
		}
	}

	slices.SortFunc(own, byHash)

	return slices.Compact(own)
}

// byHash orders names by their hashes; the same at every process.
func byHash(a, b string) int {
	if c := cmp.Compare(xxh3.HashString(a), xxh3.HashString(b)); c != 0 {
		return c
	}

	return cmp.Compare(a, b)
}

// readersElsewhere returns the processes that read the log in the other data
// centres, one of each before the second of any.
func readersElsewhere(self Member, members []Member) []string {
	centres := map[string][]string{}

	for _, m := range members {
		if m.DataCentre != self.DataCentre {
			centres[m.DataCentre] = append(centres[m.DataCentre], m.VM)
		}
	}

	names := make([]string, 0, len(centres))
	for name, vms := range centres {
		names = append(names, name)

		slices.SortFunc(vms, byHash)
	}

	slices.Sort(names)

	var readers []string

	for i := range logReaders {
		for _, name := range names {
			if i < len(centres[name]) {
				readers = append(readers, centres[name][i])
			}
		}
	}

	return readers
}
