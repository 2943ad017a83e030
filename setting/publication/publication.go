// Package publication publishes changes of the settings and distributes them to
// all processes.
//
// # The stream
//
// A change is a record in the log stream "settings". It holds its base version
// and either a patch of that version's text or the full new text, with the hash
// of the resulting text. Its offset becomes its version. The order of the log
// decides between concurrent changes: every reader refuses a record whose base is
// not the version in force at its offset. Publish reads its own record back. The
// operator of a refused change gets the changes that came before it and the
// version to rebase on. If the response to an append is lost, Publish also
// reads on until it finds the record's unique id; if the record was appended
// twice, the second one is refused because of its base.
//
// The log trims old records, so one process at a time appends snapshots of the
// settings in force, each with the offset up to which its writer had read. A
// reader that starts late takes a snapshot that leaves no gap to the records that
// the log still keeps, and then applies the records that follow.
//
// # Distribution
//
// Only two processes of each data centre read the log. Each other process polls
// one that is closer to these readers (PlanSources), at long intervals. It also
// receives a new version by push as soon as the process that it last polled has
// it. Processes exchange patches, so a change costs some hundreds of bytes
// per process, whatever the size of the tree.
//
// A Follower never returns to an older version: it ignores an update whose version
// isn't higher than its own, and it checks the hash. It isn't ready until it has a
// version.
//
//	f := publication.NewFollower(publication.FollowerConfig{Log: log, Self: publication.Member{VM: "e1"}, ...})
//	go f.Run(ctx)
//	values := f.Current().Tree().Effective(path)
package publication

import (
	"time"

	"boragehub/setting"
)

// Published is a version of the settings. It is immutable.
type Published struct {
	head head
	tree *setting.Tree
}

// Version returns the offset of the change, which is its version. Versions only increase.
func (p *Published) Version() uint64 { return p.head.version }

// BaseVersion returns the version that the change is based on.
func (p *Published) BaseVersion() uint64 { return p.head.based }

// Author returns the operator who published the version.
func (p *Published) Author() string { return p.head.author }

// Note returns the operator's description of the change; may be empty.
func (p *Published) Note() string { return p.head.note }

// At returns when the log accepted the record.
func (p *Published) At() time.Time { return p.head.at }

// Tree returns the settings of the version.
func (p *Published) Tree() *setting.Tree { return p.tree }
