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

// issue writes a pair for vm into dir, signed by a, whose certificate trust holds.
func issue(t *testing.T, dir, vm string, a *Authority, trust ...*Authority) *Keeper {
	t.Helper()

	pair, err := a.Issue(time.Now(), Subject{VM: vm, Role: "entry"})
	if err != nil {
		t.Fatal(err)
	}

	if err := pair.Write(dir, vm); err != nil {
		t.Fatal(err)
	}

	var pool []byte
	for _, one := range append([]*Authority{a}, trust...) {
		pool = append(pool, one.Pair().Certificate...)
	}

	if err := os.WriteFile(filepath.Join(dir, vm+".ca"), pool, 0o600); err != nil {
		t.Fatal(err)
	}

	k, err := NewKeeper(KeeperConfig{
		CAFile: filepath.Join(dir, vm+".ca"), CertificateFile: filepath.Join(dir, vm+".pem"),
		KeyFile: filepath.Join(dir, vm+".key"), Protocols: []string{protocol}, Logger: logr.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}

	return k
}

func authority(t *testing.T) *Authority {
	t.Helper()

	a, err := NewAuthority(time.Now())
	if err != nil {
		t.Fatal(err)
	}

	return a
}

// connect shakes hands between two keepers and returns what either end says.
func connect(t *testing.T, server, client *Keeper, name string) error {
	t.Helper()

	a, b := net.Pipe()
	defer func() { _ = a.Close() }()
	defer func() { _ = b.Close() }()

	s := tls.Server(a, server.TLS())
	cfg := client.TLS()
	cfg.ServerName = name
	c := tls.Client(b, cfg)

	served := make(chan error, 1)

	go func() {
		err := s.Handshake()
		if err != nil {
			_ = a.Close()
		} else {
			_, err = s.Write([]byte{1})
		}

		served <- err
	}()

	err := c.Handshake()
	if err == nil {
		_, err = c.Read(make([]byte, 1))
	}

	_ = b.Close()

	if other := <-served; err == nil {
		err = other
	}

	return err
}

func TestOnlyOwnProcessesConnect(t *testing.T) {
	ours, theirs := authority(t), authority(t)
	dir := t.TempDir()
	e1 := issue(t, dir, "e1", ours)
	e2 := issue(t, dir, "e2", ours)
	foreign := issue(t, dir, "e3", theirs)
	trusting := issue(t, dir, "e4", theirs, ours)

	cases := []struct {
		name           string
		server, client *Keeper
		vm             string
		want           bool
	}{
		{"own", e1, e2, "e1", true},
		{"another VM's certificate", e1, e2, "e9", false},
		{"foreign server", foreign, e1, "e3", false},
		{"foreign client", e1, trusting, "e1", false},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if err := connect(t, c.server, c.client, c.vm); (err == nil) != c.want {
				t.Errorf("got %v, want connected %v", err, c.want)
			}
		})
	}
}

// The authority is rotated while processes run: its new certificate is put
// beside the old one, then each process gets a new pair. A process that reads
// its files only at its start is cut off from all that were given new ones.
func TestRotationNeedsNoRestart(t *testing.T) {
	before, after := authority(t), authority(t)
	dir := t.TempDir()
	e1 := issue(t, dir, "e1", before)
	e2 := issue(t, dir, "e2", before)

	issue(t, dir, "e2", after, before)

	if changed, err := e2.Reload(); !changed || err != nil {
		t.Fatalf("got %v %v, want changed", changed, err)
	}

	if err := connect(t, e1, e2, "e1"); err == nil {
		t.Error("connected before the new authority was trusted")
	}

	issue(t, dir, "e1", before, after)

	if _, err := e1.Reload(); err != nil {
		t.Fatal(err)
	}

	if err := connect(t, e1, e2, "e1"); err != nil {
		t.Errorf("e2 to e1: %v", err)
	}

	if err := connect(t, e2, e1, "e2"); err != nil {
		t.Errorf("e1 to e2: %v", err)
	}
}

func TestHalfWrittenKeysAreNotTaken(t *testing.T) {
	a := authority(t)
	dir := t.TempDir()
	e1, e2 := issue(t, dir, "e1", a), issue(t, dir, "e2", a)

	if err := os.WriteFile(filepath.Join(dir, "e1.key"), []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}

	if changed, err := e1.Reload(); changed || err == nil {
		t.Errorf("got %v %v, want an error", changed, err)
	}

	if err := connect(t, e1, e2, "e1"); err != nil {
		t.Errorf("the last good keys: %v", err)
	}
}

func TestAuthorityIsReadBack(t *testing.T) {
	dir := t.TempDir()
	a := authority(t)

	if err := a.Write(dir); err != nil {
		t.Fatal(err)
	}

	b, err := LoadAuthority(dir)
	if err != nil {
		t.Fatal(err)
	}

	if err := connect(t, issue(t, dir, "e1", a), issue(t, dir, "e2", b), "e1"); err != nil {
		t.Errorf("signed by the one read back: %v", err)
	}

	info, err := os.Stat(filepath.Join(dir, AuthorityKeyFile))
	if err != nil || info.Mode().Perm() != secretMode {
		t.Errorf("mode of the key: got %v %v, want %o", info.Mode(), err, secretMode)
	}
}
