package publication

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

// Member is a process that takes part in distributing settings.
type Member struct {
	// VM is the name of its VM.
	VM string
	// DataCentre is the data centre of the VM.
	DataCentre string
}

// SourcePlan is where a process gets new settings from.
type SourcePlan struct {
	// ReadsLog is true if the process reads the log itself.
	ReadsLog bool
	// Sources are the VMs to poll, in order of preference.
	Sources []string
}

const (
	// logReaders is how many processes of a data centre read the log; with two, one
	// may be down.
	logReaders = 2
	// fanOut is how many processes poll the same one while all are up.
	fanOut = 4
	// maxSources is the maximum number of sources of a process. If none responds,
	// it reads the log itself.
	maxSources = 6
)

// PlanSources returns where self gets new settings from.
//
// The members of a data centre are ordered by a hash of their names and form a
// tree: the first logReaders read the log, and each other member polls members of a
// lower rank. Processes whose member lists differ for a while therefore never poll
// each other in a cycle. While the log is down, its readers poll each other and
// then the readers in the other data centres.
func PlanSources(self Member, members []Member) SourcePlan {
	local := rankedMembers(self, members)
	rank := slices.Index(local, self.VM)

	if rank < logReaders {
		plan := SourcePlan{ReadsLog: true}
		for _, vm := range local[:min(logReaders, len(local))] {
			if vm != self.VM {
				plan.Sources = append(plan.Sources, vm)
			}
		}

		plan.Sources = append(plan.Sources, remoteReaders(self, members)...)
		plan.Sources = plan.Sources[:min(maxSources, len(plan.Sources))]

		return plan
	}

	var plan SourcePlan

	add := func(i int) {
		if !slices.Contains(plan.Sources, local[i]) && len(plan.Sources) < maxSources {
			plan.Sources = append(plan.Sources, local[i])
		}
	}

	// First the ancestors and the log readers, then the members ranked just below
	// the parent, which may have other parents.
	parent := parentRank(rank)
	for i := parent; i >= logReaders; i = parentRank(i) {
		add(i)
	}

	for i := range logReaders {
		add((parentRank(rank) + i) % logReaders)
	}

	for i := parent - 1; i >= max(parent-fanOut, 0); i-- {
		add(i)
	}

	return plan
}

// parentRank returns the rank of the process that the one at rank polls.
func parentRank(rank int) int { return (rank - logReaders) / fanOut }

// rankedMembers returns the VMs of self's data centre ordered by compareHash.
func rankedMembers(self Member, members []Member) []string {
	local := []string{self.VM}

	for _, m := range members {
		if m.DataCentre == self.DataCentre && m.VM != self.VM {
			local = append(local, m.VM)
		}
	}

	slices.SortFunc(local, compareHash)

	return slices.Compact(local)
}

// compareHash compares names by their hashes, which gives every process the same
// order.
func compareHash(a, b string) int {
	if c := cmp.Compare(xxh3.HashString(a), xxh3.HashString(b)); c != 0 {
		return c
	}

	return cmp.Compare(a, b)
}

// remoteReaders returns the log readers of the other data centres: first one of
// each data centre, then the second of each.
func remoteReaders(self Member, members []Member) []string {
	byDataCentre := map[string][]string{}

	for _, m := range members {
		if m.DataCentre != self.DataCentre {
			byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m.VM)
		}
	}

	names := make([]string, 0, len(byDataCentre))
	for name, vms := range byDataCentre {
		names = append(names, name)

		slices.SortFunc(vms, compareHash)
	}

	slices.Sort(names)

	var readers []string

	for i := range logReaders {
		for _, name := range names {
			if i < len(byDataCentre[name]) {
				readers = append(readers, byDataCentre[name][i])
			}
		}
	}

	return readers
}
