package target_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"boragehub/certificate"
	"boragehub/message"
	"boragehub/peer"
	"boragehub/target"
)

// The benchmarks in this file measure the network cost of tracking targets over real
// connections between processes, for docs/CAPACITY.md.

// headers is the size of the IPv4 and UDP headers of a datagram in bytes.
const headers = 28

// wire forwards datagrams between one dialer and one server and counts their bytes.
type wire struct {
	front, back *net.UDPConn
	from        atomic.Pointer[net.UDPAddr]
	bytes       atomic.Int64
}

func newWire(b *testing.B, server string) *wire {
	b.Helper()

	to, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		b.Fatal(err)
	}

	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		b.Fatal(err)
	}

	back, err := net.DialUDP("udp", nil, to)
	if err != nil {
		b.Fatal(err)
	}

	w := &wire{front: front, back: back}

	go w.forward()
	go w.backward()

	b.Cleanup(func() {
		_ = front.Close()
		_ = back.Close()
	})

	return w
}

func (w *wire) forward() {
	buf := make([]byte, 64<<10)

	for {
		n, from, err := w.front.ReadFromUDP(buf)
		if err != nil {
			return
		}

		w.from.Store(from)
		w.bytes.Add(int64(n + headers))
		_, _ = w.back.Write(buf[:n])
	}
}

func (w *wire) backward() {
	buf := make([]byte, 64<<10)

	for {
		n, err := w.back.Read(buf)
		if err != nil {
			return
		}

		w.bytes.Add(int64(n + headers))
		_, _ = w.front.WriteToUDP(buf[:n], w.from.Load())
	}
}

// state is the response of an engine's side process to a poll.
var state = message.State{
	VM: "engine-0007", Boot: "0192f1c8-7b1e-7c3a-9d52-3f0a6f1e2b4d", Service: "boragehub-llm", Model: "shuttle-8b", Version: "v12",
	BlockTokens: 16, Ready: true, Load: message.Load{Running: 12, Waiting: 3, WaitingTokens: 4096, AgeMS: 180},
	SettingsVersion: 8123, PrefillRate: 8000, DecodeRate: 400, MaxRunning: 32, BytesPerToken: 65536, Sequence: 90210,
	StateAgeMS: 3600000, Fence: 4711, Accepted: 12,
}

// keys returns the TLS configuration of a process, loaded from files as in production.
func keys(b *testing.B, a *certificate.Authority, vm, role string) *tls.Config {
	b.Helper()

	dir := b.TempDir()

	if err := a.Write(dir); err != nil {
		b.Fatal(err)
	}

	p, err := a.Issue(time.Now(), certificate.Subject{VM: vm, Role: role})
	if err != nil {
		b.Fatal(err)
	}

	if err := p.Write(dir, vm); err != nil {
		b.Fatal(err)
	}

	k, err := certificate.NewReloader(certificate.ReloaderConfig{
		CAFile:          filepath.Join(dir, certificate.AuthorityFile),
		CertificateFile: filepath.Join(dir, vm+".pem"),
		KeyFile:         filepath.Join(dir, vm+".key"),
		Protocols:       []string{peer.Protocol},
	})
	if err != nil {
		b.Fatal(err)
	}

	return k.TLS()
}

// sideProcess starts a server for states; it returns its address and the TLS
// configuration with which an entry dials it.
func sideProcess(b *testing.B) (string, *tls.Config) {
	b.Helper()

	a, err := certificate.NewAuthority(time.Now())
	if err != nil {
		b.Fatal(err)
	}

	s, err := peer.Listen(peer.Config{TLS: keys(b, a, state.VM, "side")}, "127.0.0.1:0", logr.Discard())
	if err != nil {
		b.Fatal(err)
	}

	var done sync.WaitGroup

	done.Go(func() {
		_ = s.Serve(context.Background(), func(_ context.Context, _ peer.Identity, s *peer.Stream) {
			if _, err := s.Receive(); err == nil {
				_ = s.Send(state)
			}
		})
	})
	b.Cleanup(func() {
		s.Close()
		done.Wait()
	})

	return s.Addr(), keys(b, a, "entry-001", "entry")
}

func poll(b *testing.B, d *peer.Dialer, addr string) {
	b.Helper()

	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()

	if _, err := d.Call(ctx, peer.Address{VM: state.VM, Addr: addr}, message.StateRequest{SettingsVersion: 8123}); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkPoll polls a side process for its state: it measures the time and the bytes on
// the wire in both directions with IP and UDP headers.
func BenchmarkPoll(b *testing.B) {
	addr, own := sideProcess(b)
	w := newWire(b, addr)
	d := peer.NewDialer(peer.Config{TLS: own}, logr.Discard())
	b.Cleanup(d.Close)
	poll(b, d, w.front.LocalAddr().String())

	before, n := w.bytes.Load(), 0

	for b.Loop() {
		poll(b, d, w.front.LocalAddr().String())

		n++
	}

	b.ReportMetric(float64(w.bytes.Load()-before)/float64(n), "wire-bytes/poll")
}

// BenchmarkHandshake opens a connection and polls once.
func BenchmarkHandshake(b *testing.B) {
	addr, own := sideProcess(b)

	var sum int64

	n := 0

	for b.Loop() {
		w := newWire(b, addr)
		d := peer.NewDialer(peer.Config{TLS: own}, logr.Discard())
		poll(b, d, w.front.LocalAddr().String())
		d.Close()

		sum += w.bytes.Load()
		n++
	}

	b.ReportMetric(float64(sum)/float64(n), "wire-bytes/connection")
}

// idle is the time that BenchmarkIdle measures. It waits as long before, while QUIC
// discovers the path MTU.
const idle = 20 * time.Second

// BenchmarkIdle measures an idle connection: without an open stream, when only keep-alives
// are sent, and with one, on which both ends send heartbeats.
func BenchmarkIdle(b *testing.B) {
	for _, open := range []bool{false, true} {
		b.Run(fmt.Sprintf("conversation=%v", open), func(b *testing.B) {
			addr, own := sideProcess(b)
			w := newWire(b, addr)
			d := peer.NewDialer(peer.Config{TLS: own}, logr.Discard())
			b.Cleanup(d.Close)
			poll(b, d, w.front.LocalAddr().String())

			if open {
				s, err := d.Open(context.Background(), peer.Address{VM: state.VM, Addr: w.front.LocalAddr().String()})
				if err != nil {
					b.Fatal(err)
				}

				b.Cleanup(s.Close)
			}

			time.Sleep(idle)

			before, n := w.bytes.Load(), 0

			for b.Loop() {
				time.Sleep(idle)

				n++
			}

			b.ReportMetric(float64(w.bytes.Load()-before)/float64(n)/idle.Seconds(), "wire-bytes/s")
		})
	}
}

// BenchmarkConnections measures the memory of connections from many entries to one side
// process, both ends included.
func BenchmarkConnections(b *testing.B) {
	for _, count := range []int{10, 50, 200} {
		b.Run(fmt.Sprintf("connections=%d", count), func(b *testing.B) {
			addr, own := sideProcess(b)

			for b.Loop() {
				before := inUse()

				var dialers []*peer.Dialer
				for range count {
					d := peer.NewDialer(peer.Config{TLS: own}, logr.Discard())
					poll(b, d, addr)
					dialers = append(dialers, d)
				}

				b.ReportMetric(float64(inUse()-before)/float64(count), "bytes/connection-with-both-ends")

				for _, d := range dialers {
					d.Close()
				}
			}
		})
	}
}

func inUse() int64 {
	var m runtime.MemStats

	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)

	return int64(m.HeapInuse + m.StackInuse)
}

// BenchmarkListOnTheWire measures the platform's complete list: the time to decode it and its
// size plain and compressed.
func BenchmarkListOnTheWire(b *testing.B) {
	for _, vms := range []int{36, 360, 2400} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			var rows []target.Listed
			for i := range vms {
				rows = append(rows, target.Listed{
					VM: fmt.Sprintf("engine-%04d", i), DataCentre: fmt.Sprintf("yvr-east-%02d", i%11), Kind: target.KindEngine,
					Service: fmt.Sprintf("model-%02d", i%35), Address: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250),
					SideAddress: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250), State: target.Live,
				})
			}

			plain, err := json.Marshal(rows)
			if err != nil {
				b.Fatal(err)
			}

			var packed bytes.Buffer

			z := gzip.NewWriter(&packed)
			_, _ = z.Write(plain)
			_ = z.Close()

			for b.Loop() {
				var got []target.Listed
				if err := json.Unmarshal(plain, &got); err != nil {
					b.Fatal(err)
				}
			}

			b.ReportMetric(float64(len(plain)), "bytes/list")
			b.ReportMetric(float64(packed.Len()), "gzip-bytes/list")
		})
	}
}
