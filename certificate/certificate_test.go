package certificate

import (
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-logr/logr"
)

const protocol = "test/1"

// newTestReloader writes a certificate for vm, signed by a, into dir and returns a Reloader of it
// that trusts a and alsoTrusted.
func newTestReloader(t *testing.T, dir, vm string, a *Authority, alsoTrusted ...*Authority) *Reloader {
	t.Helper()

	pair, err := a.Issue(time.Now(), Subject{VM: vm, Role: "entry"})
	if err != nil {
		t.Fatal(err)
	}

	if err := pair.Write(dir, vm); err != nil {
		t.Fatal(err)
	}

	var pool []byte
	for _, authority := range append([]*Authority{a}, alsoTrusted...) {
		pool = append(pool, authority.Pair().Certificate...)
	}

	if err := os.WriteFile(filepath.Join(dir, vm+".ca"), pool, 0o600); err != nil {
		t.Fatal(err)
	}

	k, err := NewReloader(ReloaderConfig{
		CAFile: filepath.Join(dir, vm+".ca"), CertificateFile: filepath.Join(dir, vm+".pem"),
		KeyFile: filepath.Join(dir, vm+".key"), Protocols: []string{protocol}, Logger: logr.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}

	return k
}

func newTestAuthority(t *testing.T) *Authority {
	t.Helper()

	a, err := NewAuthority(time.Now())
	if err != nil {
		t.Fatal(err)
	}

	return a
}

// handshake connects client to server and returns the first error of either end.
func handshake(t *testing.T, server, client *Reloader, name string) error {
	t.Helper()

	a, b := net.Pipe()
	defer func() { _ = a.Close() }()
	defer func() { _ = b.Close() }()

	s := tls.Server(a, server.TLS())
	cfg := client.TLS()
	cfg.ServerName = name
	c := tls.Client(b, cfg)

	serverDone := make(chan error, 1)

	go func() {
		err := s.Handshake()
		if err != nil {
			_ = a.Close()
		} else {
			_, err = s.Write([]byte{1})
		}

		serverDone <- err
	}()

	err := c.Handshake()
	if err == nil {
		_, err = c.Read(make([]byte, 1))
	}

	_ = b.Close()

	if serverErr := <-serverDone; err == nil {
		err = serverErr
	}

	return err
}

func TestHandshakeRequiresTrustedAuthority(t *testing.T) {
	ownAuthority, foreignAuthority := newTestAuthority(t), newTestAuthority(t)
	dir := t.TempDir()
	e1 := newTestReloader(t, dir, "e1", ownAuthority)
	e2 := newTestReloader(t, dir, "e2", ownAuthority)
	foreign := newTestReloader(t, dir, "e3", foreignAuthority)
	trusting := newTestReloader(t, dir, "e4", foreignAuthority, ownAuthority)

	cases := []struct {
		name           string
		server, client *Reloader
		vm             string
		want           bool
	}{
		{"same authority", e1, e2, "e1", true},
		{"certificate of another VM", e1, e2, "e9", false},
		{"server of an untrusted authority", foreign, e1, "e3", false},
		{"client of an untrusted authority", e1, trusting, "e1", false},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if err := handshake(t, c.server, c.client, c.vm); (err == nil) != c.want {
				t.Errorf("got %v, want connected %v", err, c.want)
			}
		})
	}
}

// Guards against a process that loads its files only at its start: when the
// authority is rotated (its new certificate is added beside the old one, then
// each process gets a new certificate), it could no longer connect to processes
// that have new certificates.
func TestRotationNeedsNoRestart(t *testing.T) {
	oldAuthority, newAuthority := newTestAuthority(t), newTestAuthority(t)
	dir := t.TempDir()
	e1 := newTestReloader(t, dir, "e1", oldAuthority)
	e2 := newTestReloader(t, dir, "e2", oldAuthority)

	newTestReloader(t, dir, "e2", newAuthority, oldAuthority)

	if changed, err := e2.Reload(); !changed || err != nil {
		t.Fatalf("got changed %v, error %v, want true and no error", changed, err)
	}

	if err := handshake(t, e1, e2, "e1"); err == nil {
		t.Error("connected although e1 does not trust the new authority yet")
	}

	newTestReloader(t, dir, "e1", oldAuthority, newAuthority)

	if _, err := e1.Reload(); err != nil {
		t.Fatal(err)
	}

	if err := handshake(t, e1, e2, "e1"); err != nil {
		t.Errorf("e2 to e1: %v", err)
	}

	if err := handshake(t, e2, e1, "e2"); err != nil {
		t.Errorf("e1 to e2: %v", err)
	}
}

func TestReloadKeepsCredentialsOnInvalidFile(t *testing.T) {
	a := newTestAuthority(t)
	dir := t.TempDir()
	e1, e2 := newTestReloader(t, dir, "e1", a), newTestReloader(t, dir, "e2", a)

	if err := os.WriteFile(filepath.Join(dir, "e1.key"), []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}

	if changed, err := e1.Reload(); changed || err == nil {
		t.Errorf("got changed %v, error %v, want false and an error", changed, err)
	}

	if err := handshake(t, e1, e2, "e1"); err != nil {
		t.Errorf("with the last valid credentials: %v", err)
	}
}

func TestLoadAuthority(t *testing.T) {
	dir := t.TempDir()
	a := newTestAuthority(t)

	if err := a.Write(dir); err != nil {
		t.Fatal(err)
	}

	b, err := LoadAuthority(dir)
	if err != nil {
		t.Fatal(err)
	}

	if err := handshake(t, newTestReloader(t, dir, "e1", a), newTestReloader(t, dir, "e2", b), "e1"); err != nil {
		t.Errorf("certificate signed by the loaded authority: %v", err)
	}

	info, err := os.Stat(filepath.Join(dir, AuthorityKeyFile))
	if err != nil || info.Mode().Perm() != keyFileMode {
		t.Errorf("mode of the key: got %v %v, want %o", info.Mode(), err, keyFileMode)
	}
}
