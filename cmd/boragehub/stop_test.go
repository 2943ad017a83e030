package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"boragehub/certificate"
	"boragehub/journal"
	"boragehub/organisation"
	"boragehub/setting/publication"
	"boragehub/standin/logservice"
	"boragehub/standin/vmlist"
)

// roleVariable has the test's program run a role in place of the tests, so that a
// test can start, hold up and stop a process like any other.
const roleVariable = "BORAGEHUB_TEST_RUNS_ROLE"

func TestMain(m *testing.M) {
	if os.Getenv(roleVariable) != "" {
		main()

		return
	}

	os.Exit(m.Run())
}

const (
	deskKey = "key-of-the-desk-agents"

	// balancerGrace is how long the entry waits for the balancer; drainTimeout
	// bounds its stop.
	balancerGrace = time.Second
	drainTimeout  = 20 * time.Second

	// patience ends waits that are in vain.
	patience = 30 * time.Second
)

// settings let one organisation ask one service for models.
func settings() string {
	return fmt.Sprintf(`
[[data_centre]]
name = "yvr-east"
site = "bc-south"
region = "lower-mainland"

[[service]]
name = "boragehub-llm"
kind = "engine"
models = ["shuttle-8b"]
weight_version = "v1"

[[organisation]]
name = "desk-agents"
keys = [%q]
`, organisation.HashKey(deskKey))
}

// entryUnderTest is an entry that runs as a process of its own.
type entryUnderTest struct {
	cmd     *exec.Cmd
	callers string
	ended   chan struct{}
}

// stand serves a stand-in until the test ends and returns its URL.
func stand(t *testing.T, s interface {
	ServeListener(ctx context.Context, l net.Listener) error
	Abort()
},
) string {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	done := make(chan struct{})

	go func() {
		defer close(done)

		if err := s.ServeListener(context.Background(), l); err != nil {
			t.Errorf("got %v, want no error", err)
		}
	}()
	t.Cleanup(func() {
		s.Abort()
		<-done
	})

	return "http://" + l.Addr().String()
}

// keysFor writes the keys of an entry and returns the lines of settings that name them.
func keysFor(t *testing.T, dir, name string) string {
	t.Helper()

	a, err := certificate.NewAuthority(time.Now())
	if err != nil {
		t.Fatal(err)
	}

	pair, err := a.Issue(time.Now(), certificate.Subject{VM: name, Role: "entry"})
	if err != nil {
		t.Fatal(err)
	}

	if err := a.Write(dir); err != nil {
		t.Fatal(err)
	}

	if err := pair.Write(dir, name); err != nil {
		t.Fatal(err)
	}

	return fmt.Sprintf("ca_file = %q\ncertificate_file = %q\nkey_file = %q\n",
		filepath.Join(dir, certificate.AuthorityFile), filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key"))
}

// freePorts returns addresses on loopback that nobody listens on.
func freePorts(t *testing.T, n int) []string {
	t.Helper()

	var all []string

	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}

		defer func() { _ = l.Close() }()

		all = append(all, l.Addr().String())
	}

	return all
}

// startEntry starts an entry and returns when it answers callers.
func startEntry(t *testing.T) *entryUnderTest {
	t.Helper()

	dir := t.TempDir()
	log, list := stand(t, logservice.New(logservice.Config{})), stand(t, vmlist.New(vmlist.Config{}))
	ports := freePorts(t, 3)

	_, err := publication.Publish(t.Context(), publication.PublishConfig{Log: journal.NewClient(journal.ClientConfig{URL: log})},
		publication.Change{ID: "first", Author: "test", Name: "settings.toml", Text: []byte(settings())})
	if err != nil {
		t.Fatal(err)
	}

	file := filepath.Join(dir, "entry.toml")
	text := fmt.Sprintf("role = \"entry\"\nvm = \"entry-1\"\ndata_centre = \"yvr-east\"\nsite = \"bc-south\"\n"+
		"[listen]\npeers = %q\noperators = %q\ncallers = %q\n[platform]\nlog_url = %q\nvm_list_url = %q\n[tls]\n%s[limits]\n"+
		"balancer_grace = %q\ndrain_timeout = %q\n",
		ports[0], ports[1], ports[2], log, list, keysFor(t, dir, "entry-1"), balancerGrace, drainTimeout)

	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}

	e := &entryUnderTest{
		cmd:     exec.Command(os.Args[0], "entry", "--settings", file), //nolint:noctx // ended by its id below
		callers: ports[2], ended: make(chan struct{}),
	}
	e.cmd.Env = append(os.Environ(), roleVariable+"=1")

	var lines strings.Builder

	e.cmd.Stdout, e.cmd.Stderr = &lines, &lines

	if err := e.cmd.Start(); err != nil {
		t.Fatal(err)
	}

	go func() {
		defer close(e.ended)

		_ = e.cmd.Wait()
	}()
	t.Cleanup(func() {
		_ = e.cmd.Process.Kill()
		<-e.ended

		if t.Failed() {
			t.Log(lines.String())
		}
	})

	e.awaitSettings(t)

	return e
}

// awaitSettings waits until the entry knows its callers.
func (e *entryUnderTest) awaitSettings(t *testing.T) {
	t.Helper()

	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		nc, err := net.Dial("tcp", e.callers)
		if err != nil {
			continue
		}

		d := &desk{nc, bufio.NewReader(nc)}
		d.ask(t)

		status, _ := d.answer()
		d.close()

		if status == http.StatusOK {
			return
		}
	}

	t.Fatal("the entry doesn't answer")
}

func (e *entryUnderTest) signal(t *testing.T, s syscall.Signal) {
	t.Helper()

	if err := e.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// wantEnd waits until the process has ended, and in order.
func (e *entryUnderTest) wantEnd(t *testing.T) {
	t.Helper()

	select {
	case <-e.ended:
		if got := e.cmd.ProcessState.ExitCode(); got != 0 {
			t.Errorf("got exit status %d, want 0", got)
		}
	case <-time.After(patience):
		t.Error("got the process still there")
	}
}

// desk is a caller on one connection, which it never opens again.
type desk struct {
	nc net.Conn
	br *bufio.Reader
}

func connect(t *testing.T, e *entryUnderTest) *desk {
	t.Helper()

	nc, err := net.Dial("tcp", e.callers)
	if err != nil {
		t.Fatal(err)
	}

	d := &desk{nc, bufio.NewReader(nc)}
	t.Cleanup(d.close)

	return d
}

func (d *desk) close() { _ = d.nc.Close() }

func (d *desk) write(t *testing.T, format string, args ...any) {
	t.Helper()

	if _, err := fmt.Fprintf(d.nc, format, args...); err != nil {
		t.Errorf("got %v, want the request sent", err)
	}
}

// ask sends a question for the models.
func (d *desk) ask(t *testing.T) {
	t.Helper()
	d.write(t, "GET /v1/models HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\n\r\n", deskKey)
}

// answer reads an answer; status 0 and the reason stand for none.
func (d *desk) answer() (status int, body string) {
	resp, err := http.ReadResponse(d.br, nil)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()

	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, err.Error()
	}

	return resp.StatusCode, string(b)
}

func (d *desk) wantAnswer(t *testing.T, what string) {
	t.Helper()

	if status, body := d.answer(); status != http.StatusOK || !strings.Contains(body, "shuttle-8b") {
		t.Errorf("%s: got %d %q, want the models", what, status, body)
	}
}

// A case file that is still being sent keeps a leaving entry alive long past the time that
// the balancer needs, and the balancer, which has too few others, goes on sending callers
// to it. They find its port closed.
func TestLeavingEntryServesWhoeverStillComes(t *testing.T) {
	const question = `{"model":"other","prompt":"a long case file"}`

	e := startEntry(t)
	long := connect(t, e)

	long.write(t, "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		deskKey, len(question), question[:1])
	e.signal(t, syscall.SIGTERM)

	for end := time.Now().Add(3 * balancerGrace); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		d := connect(t, e)
		d.ask(t)
		d.wantAnswer(t, "on a new connection")
		d.close()
	}

	long.write(t, "%s", question[1:])

	if status, body := long.answer(); status != http.StatusNotFound {
		t.Errorf("the long one: got %d %q, want that the model isn't served", status, body)
	}

	e.wantEnd(t)
}

// A small machine is held up for a moment, and desks send their questions meanwhile on
// connections that they keep. When it goes on, the time has come to close what is
// idle, and what lies unread counts as idle: the questions get no answer.
func TestLeavingEntryAnswersWhatItHasNotReadYet(t *testing.T) {
	const desks = 20

	e := startEntry(t)
	kept := make([]*desk, desks)

	for i := range kept {
		kept[i] = connect(t, e)
		kept[i].ask(t)
		kept[i].wantAnswer(t, fmt.Sprintf("first of desk %d", i))
	}

	e.signal(t, syscall.SIGTERM)
	time.Sleep(balancerGrace / 2)
	e.signal(t, syscall.SIGSTOP)

	for _, d := range kept {
		d.ask(t)
	}

	time.Sleep(balancerGrace)
	e.signal(t, syscall.SIGCONT)

	for i, d := range kept {
		d.wantAnswer(t, fmt.Sprintf("second of desk %d", i))
	}

	e.wantEnd(t)
}
