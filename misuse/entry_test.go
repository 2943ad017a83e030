package misuse

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"boragehub/certificate"
	"boragehub/journal"
	"boragehub/organisation"
	"boragehub/platform/standin"
	"boragehub/setting/publication"
	"boragehub/standin/logservice"
	"boragehub/standin/vmlist"
)

// entryBounds are the memory that docs/CAPACITY.md allows an entry and the descriptors of its settings, with room
// for those that aren't connections of callers.
var entryBounds = bounds{memoryMB: 128, descriptors: 700}

// entryLimits are the limits in the settings of the entry under test.
const entryLimits = "max_connections = 500\nmemory_mb = 128\n"

const entryKey = "key-of-the-desk-agents"

// entryTree returns a settings tree with one service that one organisation may use.
func entryTree() string {
	return fmt.Sprintf(`
max_body_bytes = %d

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
`, bodyLimit, organisation.HashKey(entryKey))
}

// entryProcess is an entry of the product's own deployment.
type entryProcess struct {
	cmd                       *exec.Cmd
	callers, operators, peers string
}

// startEntry starts an entry with stand-ins and returns when it serves callers.
func startEntry(t *testing.T) *entryProcess {
	t.Helper()

	root, err := filepath.Abs("..")
	if err != nil {
		t.Fatal(err)
	}

	if _, err := standin.BuildAll(root); err != nil {
		t.Fatal(err)
	}

	dir := t.TempDir()
	log, list := serveStandin(t, logservice.New(logservice.Config{})), serveStandin(t, vmlist.New(vmlist.Config{}))

	_, err = publication.Publish(t.Context(), publication.PublishConfig{Log: journal.NewClient(journal.ClientConfig{URL: log})},
		publication.Change{ID: "first", Author: "test", Name: "settings.toml", Text: []byte(entryTree())})
	if err != nil {
		t.Fatal(err)
	}

	e := &entryProcess{callers: freeAddress(t), operators: freeAddress(t), peers: freeAddress(t)}
	file := filepath.Join(dir, "entry.toml")
	text := fmt.Sprintf("role = \"entry\"\nvm = \"entry-1\"\ndata_centre = \"yvr-east\"\nsite = \"bc-south\"\n"+
		"[listen]\npeers = %q\noperators = %q\ncallers = %q\n[platform]\nlog_url = %q\nvm_list_url = %q\n[tls]\n%s[limits]\n%s",
		e.peers, e.operators, e.callers, log, list, writeKeys(t, dir), entryLimits)

	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}

	e.start(t, filepath.Join(root, "target", "boragehub"), file)
	eventually(t, "the entry serves callers", func() bool { return e.request("GET", "/v1/models", "") == http.StatusOK })

	return e
}

func (e *entryProcess) start(t *testing.T, program, file string) {
	t.Helper()

	var lines strings.Builder

	e.cmd = exec.Command(program, "entry", "--settings", file)
	e.cmd.Stdout, e.cmd.Stderr = &lines, &lines

	if err := e.cmd.Start(); err != nil {
		t.Fatal(err)
	}

	ended := make(chan struct{})

	go func() {
		defer close(ended)

		_ = e.cmd.Wait()
	}()
	t.Cleanup(func() {
		_ = e.cmd.Process.Kill()
		<-ended

		if t.Failed() {
			all := lines.String()
			t.Log(all[max(0, len(all)-4000):])
		}
	})
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

		_ = s.ServeListener(context.Background(), l)
	}()
	t.Cleanup(func() {
		s.Abort()
		<-done
	})

	return "http://" + l.Addr().String()
}

// writeKeys writes the keys of the entry and returns the lines of its settings file that name them.
func writeKeys(t *testing.T, dir string) string {
	t.Helper()

	a, err := certificate.NewAuthority(time.Now())
	if err != nil {
		t.Fatal(err)
	}

	pair, err := a.Issue(time.Now(), certificate.Subject{VM: "entry-1", Role: "entry"})
	if err == nil {
		err = a.Write(dir)
	}

	if err == nil {
		err = pair.Write(dir, "entry-1")
	}

	if err != nil {
		t.Fatal(err)
	}

	return fmt.Sprintf("ca_file = %q\ncertificate_file = %q\nkey_file = %q\n",
		filepath.Join(dir, certificate.AuthorityFile), filepath.Join(dir, "entry-1.pem"), filepath.Join(dir, "entry-1.key"))
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	defer func() { _ = l.Close() }()

	return l.Addr().String()
}

// request sends one request on a connection of its own and returns the status; zero for no complete response.
func (e *entryProcess) request(method, path, body string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.callers+path, strings.NewReader(body))
	if err != nil {
		return 0
	}

	r.Close = true
	r.Header.Set("Authorization", "Bearer "+entryKey)

	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()

	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}

	return resp.StatusCode
}

// bear checks that the entry bears one crowd after another at an address.
func (e *entryProcess) bear(t *testing.T, address string, crowds ...[]form) {
	t.Helper()

	w := watchProcess(e.cmd.Process.Pid, "")
	models := func() bool { return e.request("GET", "/v1/models", "") == http.StatusOK }

	for _, forms := range crowds {
		c := startCrowd(address, forms...)
		eventually(t, "the list of models beside the crowd", models)
		c.end()
	}

	eventually(t, "the list of models", models)

	// A body that is read to its end is judged: no service has this model.
	prompt := `{"model":"other","prompt":"`
	largest := prompt + strings.Repeat("x", bodyLimit-len(prompt)-2) + `"}`
	eventually(t, "a request with the largest body", func() bool { return e.request("POST", "/v1/completions", largest) == http.StatusNotFound })
	w.check(t, entryBounds)
}

const entryHead = "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + entryKey + "\r\n"

// Guards against an entry that runs out of memory or descriptors by bodies that are large, slow, endless or
// stop midway.
func TestEntryBearsBodies(t *testing.T) {
	for _, crowd := range bodyForms(entryHead) {
		t.Run(crowd.name, func(t *testing.T) {
			e := startEntry(t)
			e.bear(t, e.callers, []form{crowd})
		})
	}
}

// Guards against an entry that runs out of memory or descriptors by heads and unused connections, at the port of
// callers and at that of operators.
func TestEntryBearsHeads(t *testing.T) {
	for _, crowd := range headForms() {
		t.Run(crowd.name, func(t *testing.T) {
			e := startEntry(t)
			e.bear(t, e.callers, []form{crowd})
			e.bear(t, e.operators, []form{crowd})
		})
	}
}

// Guards against an entry that bears one crowd and keeps memory or connections that the next one needs.
func TestEntryBearsMixedCrowdsInSeries(t *testing.T) {
	e := startEntry(t)
	all := mixed(append(bodyForms(entryHead), headForms()...))
	e.bear(t, e.callers, all, all, all)
}
