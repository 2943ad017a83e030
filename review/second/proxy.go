package main

import (
	"errors"
	"io"
	"net"
	"sync"
)

// proxy passes connections on to an address. Its open connections can go silent for good, without a reset, as
// behind a device that has lost track of them, while new ones work.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	links map[*link]struct{}
}

// link is one connection through a proxy.
type link struct {
	caller, target net.Conn

	mu     sync.Mutex
	silent bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // binds at once
	if err != nil {
		return nil, err
	}

	p := &proxy{listener: l, target: target, links: make(map[*link]struct{})}

	go p.accept()

	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}

		target, err := net.Dial("tcp", p.target) //nolint:noctx // a loopback address
		if err != nil {
			_ = caller.Close()

			continue
		}

		x := &link{caller: caller, target: target}

		p.mu.Lock()
		p.links[x] = struct{}{}
		p.mu.Unlock()

		go x.pass(target, caller)
		go x.pass(caller, target)
	}
}

// silence makes all open connections silent and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	n := 0

	for x := range p.links {
		x.mu.Lock()
		if !x.silent {
			n++
		}

		x.silent = true
		x.mu.Unlock()
	}

	clear(p.links)

	return n
}

func (p *proxy) close() {
	_ = p.listener.Close()
}

// pass copies bytes in one direction until the connection ends or is silent.
func (x *link) pass(to, from net.Conn) {
	buf := make([]byte, 32<<10)

	for {
		n, err := from.Read(buf)

		x.mu.Lock()
		silent := x.silent
		x.mu.Unlock()

		switch {
		case silent:
			// What arrives is lost, and neither end learns of the other's end.
			if err != nil {
				return
			}

			continue
		case n > 0:
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}

		if err != nil {
			if !errors.Is(err, io.EOF) {
				_ = from.Close()
			}

			_ = to.Close()

			return
		}
	}
}
