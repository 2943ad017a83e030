package peer

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"boragehub/certificate"
	"boragehub/message"
)

// BenchmarkAsk measures one request and its response over an open connection: the
// minimum cost of a call between two boragehub processes.
func BenchmarkAsk(b *testing.B) {
	dir := b.TempDir()

	a, err := certificate.NewAuthority(time.Now())
	if err != nil {
		b.Fatal(err)
	}

	if err := a.Write(dir); err != nil {
		b.Fatal(err)
	}

	pair, err := a.Issue(time.Now(), certificate.Subject{VM: "p", Role: "entry"})
	if err != nil {
		b.Fatal(err)
	}

	if err := pair.Write(dir, "p"); err != nil {
		b.Fatal(err)
	}

	k, err := certificate.NewReloader(certificate.ReloaderConfig{
		CAFile: filepath.Join(dir, certificate.AuthorityFile), CertificateFile: filepath.Join(dir, "p.pem"),
		KeyFile: filepath.Join(dir, "p.key"), Protocols: []string{Protocol},
	})
	if err != nil {
		b.Fatal(err)
	}

	s, err := Listen(Config{TLS: k.TLS()}, "127.0.0.1:0", logr.Discard())
	if err != nil {
		b.Fatal(err)
	}

	defer s.Close()

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	go func() { _ = s.Serve(ctx, respondAck) }()

	d := NewDialer(Config{TLS: k.TLS()}, logr.Discard())
	defer d.Close()

	b.ReportAllocs()

	for b.Loop() {
		if _, err := d.Call(ctx, Address{VM: "p", Addr: s.Addr()}, message.StateRequest{}); err != nil {
			b.Fatal(err)
		}
	}
}
