// Package publication brings published settings into force everywhere.
//
// # The stream
//
// A change is a record in the log stream "settings". It names the version that
// it was based on and bears a patch of that version's text, or the whole text,
// with the hash of the result. Its offset is its version. The log's order
// decides between two operators: a record that isn't based on the version in
// force at its offset is refused by each reader alike. Publish reads its own
// record back and tells the loser what came between and what to rebase on. An
// append whose answer was lost is settled the same way, by reading on for the
// record's unique id; appended twice, the second is refused by its base.
//
// The log forgets, so one process at a time writes what is in force again as a
// snapshot, with the offset up to which it had read. A reader that starts late
// takes the newest snapshot that leaves no gap to what the log still keeps, and
// then decides on the records that follow.
//
// # Passing on
//
// Only two processes of each data centre read the log. All others ask a process
// that stands nearer to these (Arrange), at long intervals, and are pushed a
// new version as soon as the one they asked last has it. What is passed on are
// the patches, so a change costs some hundreds of bytes at each process however
// large the tree is.
//
// A Follower never goes back: what it is handed counts only when its version is
// higher, and its hash is checked. It isn't ready until it has a version.
//
//	f := publication.NewFollower(publication.FollowerConfig{Log: log, VM: "e1", ...})
//	go f.Run(ctx)
//	values := f.Current().Tree().Effective(path)
package publication

import (
	"time"

	"boragehub/setting"
)

// Published is a version of the settings. It never changes.
type Published struct {
	head head
	tree *setting.Tree
}

// Version returns the offset of the change; it only rises.
func (p *Published) Version() uint64 { return p.head.version }

// Based returns the version that the change was made from.
func (p *Published) Based() uint64 { return p.head.based }

// Author returns the operator who published.
func (p *Published) Author() string { return p.head.author }

// Note returns what the operator said of the change.
func (p *Published) Note() string { return p.head.note }

// At returns when the log took the change in.
func (p *Published) At() time.Time { return p.head.at }

// Tree returns the settings.
func (p *Published) Tree() *setting.Tree { return p.tree }
