//go:build wireinject

package main

import (
	"github.com/google/wire"

	"boragehub/operator"
	"boragehub/peer"
	"boragehub/setting"
)

// commonSet makes what every process of the running system has.
var commonSet = wire.NewSet(
	provideRecorder,
	provideLogger,
	provideKeys,
	providePeerConfig,
	providePeerServer,
	provideList,
	provideJournal,
	provideFollower,
	newRelay,
	provideCrashFeed,
	operator.NewRegistry,
	peer.NewDialer,
	wire.Struct(new(common), "*"),
)

//go:generate wire

func newEntryProcess(cfg setting.Process) (*entryProcess, error) {
	wire.Build(commonSet, provideLease, provideLeader, provideSettingsLease, provideSnapshotter, provideEntry, provideEntryOperators, wire.Struct(new(entryProcess), "*"))

	return nil, nil
}

func newSideProcess(cfg setting.Process) (*sideProcess, error) {
	wire.Build(commonSet, provideHomes, provideSideViews, provideSide, provideSideOperators, wire.Struct(new(sideProcess), "*"))

	return nil, nil
}
