package main

import (
	"context"
	"syscall"
	"time"

	"boragehub/intake"
	"boragehub/pause"
	"boragehub/platform"
)

// clientMemoryRatio is the part of the memory of a VM for all that clients take: connections, requests and
// responses that are held.
const clientMemoryRatio = 0.35

// clientBytes returns the memory for clients, zero for no bound.
func clientBytes(memoryMB int) int64 { return int64(clientMemoryRatio * float64(memoryMB<<20)) }

// Connections of clients, as parts of the descriptors that aren't for files. The rest is for connections to
// engines, the log and other processes.
const (
	callerDescriptorDivisor = 2
	peerDescriptorDivisor   = 8
)

// Maximum numbers of connections at the ports of load balancers and operators.
const (
	maxBalancerConnections = 32
	maxOperatorConnections = 16
)

// Times of requests at the ports of other processes, load balancers and operators.
const (
	peerReadTimeout  = 10 * time.Second
	peerWriteTimeout = time.Minute
	peerIdleTimeout  = 30 * time.Second
)

// receiveBytes is the receive buffer of a connection that a process accepts: enough for 5 MB/s over a link of
// 6 ms there and back.
const receiveBytes = 32 << 10

// freeDescriptors returns how many descriptors a process may use for connections, given the number that its
// settings state, or zero. The operating system's limit applies, too.
func freeDescriptors(stated int) int {
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err == nil && r.Cur < maxDescriptors && (stated == 0 || stated > int(r.Cur)) {
		stated = int(r.Cur)
	}

	if stated == 0 {
		return maxDescriptors
	}

	return max(stated-platform.FileDescriptors, 1)
}

// maxDescriptors is the number of descriptors from which on they aren't what limits connections.
const maxDescriptors = 1 << 20

// yieldStopped refuses requests of whose bodies nothing comes for a time, until ctx ends: a stop doesn't wait for
// them.
func yieldStopped(ctx context.Context, clients *intake.Ledger, quiet time.Duration) {
	for pause.For(ctx, tickInterval) {
		clients.YieldStopped(time.Now(), quiet)
	}
}
