package event

// Events of weight placement.
var (
	WeightsOrdered  = register(2000, "weights_ordered", "An engine was ordered to load weights or an adapter, or to change its role: `vm`, `kind`, `model`, `weight_version`, `adapter`, `role`, `fence`.")
	WeightsRefused  = register(2001, "weights_refused", "An engine or its side process refused an order: `vm`, `kind`, `error`.")
	RollProgressed  = register(2002, "roll_progressed", "Progress of a rollout: `model`, `weight_version`, `done`, `loading`, `left`, `ready`, `halt`.")
	RollHalted      = register(2003, "roll_halted", "A rollout was halted because loads of its version failed and there is no fallback: `model`, `weight_version`.")
	RollFellBack    = register(2004, "roll_fell_back", "Loads of the wanted version failed and the engines return to the fallback version: `model`, `weight_version`, `fallback`.")
	RollCompleted   = register(2005, "roll_completed", "All responsive engines have the wanted version: `model`, `weight_version`.")
	LeaderSettling  = register(2006, "leader_settling", "A new leader observes what engines load before it sends orders: `fence`.")
	PlacementLeader = register(2007, "placement_leader", "This entry became or is no longer the leader of weight placement: `held`, `fence`.")
)
