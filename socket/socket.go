// Package socket tells what the operating system knows of a TCP connection and Go's
// standard library doesn't say.
package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is what a connection's receive queue holds.
type State uint8

// The values of State.
const (
	// Quiet: the connection is open and nothing waits to be read.
	Quiet State = iota
	// Unread: bytes have arrived that nobody has read.
	Unread
	// Ended: the other side has closed, or the connection has failed.
	Ended
)

// Peek looks at a connection without taking bytes from it and without waiting. A
// connection without a socket, such as a pipe in a test, is Quiet.
func Peek(c net.Conn) State {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Quiet
	}

	raw, err := sc.SyscallConn()
	if err != nil {
		return Ended
	}

	state := Ended

	// Control, and not Read, which would wait for whoever is reading.
	if err := raw.Control(func(fd uintptr) { state = peek(int(fd)) }); err != nil {
		return Ended
	}

	return state
}

func peek(fd int) State {
	var b [1]byte

	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)

	switch {
	case err == syscall.EAGAIN: //nolint:errorlint // a bare number from the kernel, the same as EWOULDBLOCK
		return Quiet
	case err == nil && n > 0:
		return Unread
	default:
		return Ended
	}
}

// Shut makes a listener take no more connections, unless one waits to be accepted; it
// reports whether it did. A connection that waits is open for the one that made it, who
// may have sent a request on it, and is reset when the listener closes. Looking and
// closing as two steps would leave a moment between them, and a process that is held up
// just there resets all that came meanwhile. The listener still has to be closed.
func Shut(l net.Listener) bool {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return true
	}

	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}

	shut := true

	//nolint:errcheck,gosec // a closed listener has nobody waiting
	raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		if n, err := unix.Poll(p, 0); err == nil && n > 0 {
			shut = false

			return
		}

		//nolint:errcheck // closing does the same, a moment later
		unix.Shutdown(int(fd), unix.SHUT_RD)
	})

	return shut
}
