// Package socket gives access to TCP socket state that the operating system has and
// Go's standard library doesn't expose.
package socket

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is the state of a connection's receive queue.
type State uint8

// The values of State.
const (
	// Idle means that the connection is open and has nothing to read.
	Idle State = iota
	// Readable means that bytes have arrived that have not been read yet.
	Readable
	// Closed means that the peer has closed its side, or that the connection is closed or has
	// failed.
	Closed
)

// Peek returns the state of a connection without consuming bytes and without blocking.
// A connection without a socket, such as a pipe in a test, is Idle.
func Peek(c net.Conn) State {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Idle
	}

	raw, err := sc.SyscallConn()
	if err != nil {
		return Closed
	}

	state := Closed

	// Control rather than Read: Read would block while another goroutine reads.
	if err := raw.Control(func(fd uintptr) { state = peek(int(fd)) }); err != nil {
		return Closed
	}

	return state
}

func peek(fd int) State {
	var b [1]byte

	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)

	switch {
	case err == syscall.EAGAIN: //nolint:errorlint // a plain errno from the kernel, equal to EWOULDBLOCK
		return Idle
	case err == nil && n > 0:
		return Readable
	default:
		return Closed
	}
}

// ErrClosed is returned for a connection that is closed or has failed.
var ErrClosed = errors.New("the connection is closed")

// tcpClose is the state TCP_CLOSE of Linux.
const tcpClose = 7

// Acknowledged reports whether the peer's host has acknowledged all bytes that were written to a connection, so that
// a peer that closes the connection without reading them resets it. The error is ErrClosed if the connection is closed
// on both sides or was reset; an end of the peer's side alone is none. A connection without a socket, or a system
// that doesn't tell, counts as acknowledged.
func Acknowledged(c net.Conn) (bool, error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true, nil
	}

	raw, err := sc.SyscallConn()
	if err != nil {
		return false, ErrClosed
	}

	acknowledged := false

	// The kernel reads the state before the queues, which a reset empties: what a look finds acknowledged, the
	// next one's state confirms.
	for range 2 {
		var (
			info *unix.TCPInfo
			told error
		)

		err := raw.Control(func(fd uintptr) { info, told = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })

		switch {
		case err != nil:
			return false, ErrClosed
		case told != nil:
			return true, nil
		case info.State == tcpClose:
			return false, ErrClosed
		}

		if acknowledged = info.Unacked == 0 && info.Notsent_bytes == 0; !acknowledged {
			break
		}
	}

	return acknowledged, nil
}

// Listen listens at a TCP address. Connections get receive buffers for about receiveBytes bytes, which the operating
// system would otherwise let grow to several megabytes that count as the process's memory.
func Listen(ctx context.Context, address string, receiveBytes int) (net.Listener, error) {
	c := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error

		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes)
		})

		return errors.Join(err, failed)
	}}

	return c.Listen(ctx, "tcp", address)
}

// ShutdownIfIdle stops a listener from taking new connections, unless a connection is pending in
// its accept queue, and reports whether it stopped it. For its client a pending connection
// is established and may carry a request already; closing the listener would reset it.
// A check followed by a separate Close would leave a window in which a process that is
// paused resets all connections that arrive meanwhile; here the window is the time between
// two successive system calls. The listener must still be closed. A listener without a
// socket, or one that is closed, counts as stopped.
func ShutdownIfIdle(l net.Listener) bool {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return true
	}

	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}

	stopped := true

	//nolint:errcheck,gosec // a closed listener has no pending connections
	raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		if n, err := unix.Poll(p, 0); err == nil && n > 0 {
			stopped = false

			return
		}

		//nolint:errcheck // if it fails, the caller's Close stops the listener
		unix.Shutdown(int(fd), unix.SHUT_RD)
	})

	return stopped
}
