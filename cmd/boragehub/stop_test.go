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

// roleVariable makes the test binary run the program instead of the tests, so that a test
// can start, pause and stop it as a process.
const roleVariable = "BORAGEHUB_TEST_RUNS_ROLE"

func TestMain(m *testing.M) {
	if os.Getenv(roleVariable) != "" {
		main()

		return
	}

	os.Exit(m.Run())
}

const (
	testAPIKey = "key-of-the-desk-agents"

	// balancerGrace is how long the entry waits for the balancer; drainTimeout bounds the
	// drain after that.
	balancerGrace = time.Second
	drainTimeout  = 20 * time.Second

	// testTimeout bounds each wait.
	testTimeout = 30 * time.Second
)

// testSettings returns settings with one service that one organisation may use.
func testSettings() string {
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
`, organisation.HashKey(testAPIKey))
}

// entryUnderTest is an entry that runs as a separate process.
type entryUnderTest struct {
	cmd     *exec.Cmd
	callers string
	ended   chan struct{}
}

// serveStandin serves a stand-in until the test ends and returns its URL.
func serveStandin(t *testing.T, s interface {
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

// writeKeys writes the keys of an entry and returns the lines of its settings file that name
// them.
func writeKeys(t *testing.T, dir, name string) string {
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

// freePorts returns n loopback addresses that nothing listens on.
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

// startEntry starts an entry and returns when it serves callers.
func startEntry(t *testing.T) *entryUnderTest {
	t.Helper()

	dir := t.TempDir()
	log, list := serveStandin(t, logservice.New(logservice.Config{})), serveStandin(t, vmlist.New(vmlist.Config{}))
	ports := freePorts(t, 3)

	_, err := publication.Publish(t.Context(), publication.PublishConfig{Log: journal.NewClient(journal.ClientConfig{URL: log})},
		publication.Change{ID: "first", Author: "test", Name: "settings.toml", Text: []byte(testSettings())})
	if err != nil {
		t.Fatal(err)
	}

	file := filepath.Join(dir, "entry.toml")
	text := fmt.Sprintf("role = \"entry\"\nvm = \"entry-1\"\ndata_centre = \"yvr-east\"\nsite = \"bc-south\"\n"+
		"[listen]\npeers = %q\noperators = %q\ncallers = %q\n[platform]\nlog_url = %q\nvm_list_url = %q\n[tls]\n%s[limits]\n"+
		"balancer_grace = %q\ndrain_timeout = %q\n",
		ports[0], ports[1], ports[2], log, list, writeKeys(t, dir, "entry-1"), balancerGrace, drainTimeout)

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

// awaitSettings waits until the entry has settings, and so accepts testAPIKey.
func (e *entryUnderTest) awaitSettings(t *testing.T) {
	t.Helper()

	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		nc, err := net.Dial("tcp", e.callers)
		if err != nil {
			continue
		}

		c := &callerConn{nc, bufio.NewReader(nc)}
		c.sendRequest(t)

		status, _ := c.readResponse()
		c.close()

		if status == http.StatusOK {
			return
		}
	}

	t.Fatal("the entry did not return 200 in time")
}

func (e *entryUnderTest) signal(t *testing.T, s syscall.Signal) {
	t.Helper()

	if err := e.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// wantEnd waits for the process to exit and checks its exit status.
func (e *entryUnderTest) wantEnd(t *testing.T) {
	t.Helper()

	select {
	case <-e.ended:
		if got := e.cmd.ProcessState.ExitCode(); got != 0 {
			t.Errorf("got exit status %d, want 0", got)
		}
	case <-time.After(testTimeout):
		t.Error("got the process still running, want it ended")
	}
}

// callerConn is a caller with one connection, which it does not reopen.
type callerConn struct {
	nc net.Conn
	br *bufio.Reader
}

func connect(t *testing.T, e *entryUnderTest) *callerConn {
	t.Helper()

	nc, err := net.Dial("tcp", e.callers)
	if err != nil {
		t.Fatal(err)
	}

	c := &callerConn{nc, bufio.NewReader(nc)}
	t.Cleanup(c.close)

	return c
}

func (c *callerConn) close() { _ = c.nc.Close() }

func (c *callerConn) write(t *testing.T, format string, args ...any) {
	t.Helper()

	if _, err := fmt.Fprintf(c.nc, format, args...); err != nil {
		t.Errorf("got %v, want the request sent", err)
	}
}

// sendRequest sends a request for the list of models.
func (c *callerConn) sendRequest(t *testing.T) {
	t.Helper()
	c.write(t, "GET /v1/models HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\n\r\n", testAPIKey)
}

// readResponse reads a response. Without one, status is 0 and body is the error.
func (c *callerConn) readResponse() (status int, body string) {
	resp, err := http.ReadResponse(c.br, nil)
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

func (c *callerConn) wantModels(t *testing.T, what string) {
	t.Helper()

	if status, body := c.readResponse(); status != http.StatusOK || !strings.Contains(body, "shuttle-8b") {
		t.Errorf("%s: got %d %q, want the models", what, status, body)
	}
}

// A request whose body is still being sent keeps a stopping entry running long after the
// balancer grace, and the balancer goes on sending callers to it, as it has too few other
// entries. The entry must keep its port open for them.
func TestStoppingEntryAcceptsNewConnections(t *testing.T) {
	const requestBody = `{"model":"other","prompt":"a long case file"}`

	e := startEntry(t)
	slow := connect(t, e)

	slow.write(t, "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		testAPIKey, len(requestBody), requestBody[:1])
	e.signal(t, syscall.SIGTERM)

	for end := time.Now().Add(3 * balancerGrace); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		c := connect(t, e)
		c.sendRequest(t)
		c.wantModels(t, "on a new connection")
		c.close()
	}

	slow.write(t, "%s", requestBody[1:])

	if status, body := slow.readResponse(); status != http.StatusNotFound {
		t.Errorf("slow request: got %d %q, want 404 for an unknown model", status, body)
	}

	e.wantEnd(t)
}

// An entry is paused during a drain, and callers send requests meanwhile on connections that
// they keep open. When it is resumed, the time to close idle connections has come. Connections
// with unread requests must not count as idle, or those requests get no response.
func TestStoppingEntryRespondsToUnreadRequests(t *testing.T) {
	const callers = 20

	e := startEntry(t)
	conns := make([]*callerConn, callers)

	for i := range conns {
		conns[i] = connect(t, e)
		conns[i].sendRequest(t)
		conns[i].wantModels(t, fmt.Sprintf("first request of caller %d", i))
	}

	e.signal(t, syscall.SIGTERM)
	time.Sleep(balancerGrace / 2)
	e.signal(t, syscall.SIGSTOP)

	for _, c := range conns {
		c.sendRequest(t)
	}

	time.Sleep(balancerGrace)
	e.signal(t, syscall.SIGCONT)

	for i, c := range conns {
		c.wantModels(t, fmt.Sprintf("second request of caller %d", i))
	}

	e.wantEnd(t)
}
