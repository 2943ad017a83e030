//go:build wireinject

package main

import (
	"github.com/google/wire"

	"boragehub/operator"
	"boragehub/peer"
	"boragehub/setting"
)

// commonSet provides what every entry and side process has.
var commonSet = wire.NewSet(
	provideRecorder,
	provideLogger,
	provideClients,
	provideKeys,
	providePeerConfig,
	providePeerServer,
	provideVMList,
	provideJournal,
	provideSettingsFollower,
	newUpdateHandlers,
	provideCrashFeed,
	operator.NewRegistry,
	peer.NewDialer,
	wire.Struct(new(common), "*"),
)

//go:generate wire

func newEntryProcess(cfg setting.Process) (*entryProcess, error) {
	wire.Build(commonSet, provideRolloutLease, provideLeader, provideSnapshotLease, provideSnapshotter, provideEntry, provideEntryOperators, wire.Struct(new(entryProcess), "*"))

	return nil, nil
}

func newSideProcess(cfg setting.Process) (*sideProcess, error) {
	wire.Build(commonSet, provideDeduplicator, provideSideViews, provideSide, provideSideOperators, wire.Struct(new(sideProcess), "*"))

	return nil, nil
}
