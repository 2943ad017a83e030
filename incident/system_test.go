package incident

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"boragehub/certificate"
	"boragehub/journal"
	"boragehub/organisation"
	"boragehub/setting/publication"
)

// program is the built program.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "boragehub")
	if err != nil {
		panic(err)
	}

	program = filepath.Join(dir, "boragehub")

	build := exec.Command("go", "build", "-o", program, "../cmd/boragehub")
	build.Stderr = os.Stderr

	code := 1
	if build.Run() == nil {
		code = m.Run()
	}

	_ = os.RemoveAll(dir)

	os.Exit(code)
}

// limit bounds every wait of the tests. It is far longer than anything should
// take and only ends a test that would never end.
const limit = 60 * time.Second

// process is one running process.
type process struct {
	name string
	cmd  *exec.Cmd
	out  *os.File
	done chan struct{}
}

// system is a running system.
type system struct {
	t        *testing.T
	dir      string
	log      string // URLs of the platform
	vms      string
	store    string
	entries  []string // callers' URLs
	engines  map[string]string
	plains   map[string]string
	operator map[string]string
	running  map[string]*process
	keys     *certificate.Authority
	key      string
	list     []map[string]string
	oracle   string
}

// shape says how large a system is.
type shape struct {
	engines, plains int
	// alone is how many engines have no side process.
	alone int
	// decode is the engines' speed in tokens a second.
	decode float64
}

const settings = `
class = "standard"
park_min_tokens = 64
max_attempts = 4
retry_ratio = 1.0
requests_per_second = 100000.0
request_burst = 100000

[[data_centre]]
name = "yvr-east"
site = "bc-south"
region = "lower-mainland"

[[service]]
name = "boragehub-llm"
kind = "engine"
models = ["shuttle-8b"]
weight_version = "v1"

[[service]]
name = "booking-api"
kind = "plain"
idempotent_paths = ["/seats"]

[[organisation]]
name = "desk-agents"
keys = [%q]
%s
`

// start starts a system and waits until it serves.
func start(t *testing.T, of shape) *system {
	t.Helper()

	s := &system{
		t: t, dir: t.TempDir(), engines: map[string]string{}, plains: map[string]string{},
		operator: map[string]string{}, running: map[string]*process{},
	}

	t.Cleanup(s.end)

	var err error
	if s.keys, err = certificate.NewAuthority(time.Now()); err != nil {
		t.Fatal(err)
	}

	if err := s.keys.Write(s.dir); err != nil {
		t.Fatal(err)
	}

	s.log, s.vms = "http://"+port(t), "http://"+port(t)
	s.run("log", "standin", "log", "--listen", host(s.log))
	s.ready(s.log + "/healthz")

	s.store = "http://" + port(t)
	s.run("store", "standin", "store", "--listen", host(s.store))
	s.add("prompt-vault", "store", "", host(s.store), "")

	s.oracle = "http://" + port(t)
	s.engine("oracle", s.oracle, 2000)

	for i := range of.engines {
		s.target(fmt.Sprintf("engine-%d", i+1), "boragehub-llm", "engine", of.decode)
	}

	for i := range of.alone {
		name, url := fmt.Sprintf("alone-%d", i+1), "http://"+port(t)
		s.engines[name] = url
		s.engine(name+"-target", url, of.decode)
		s.add(name, "engine", "boragehub-llm", host(url), "")
	}

	for i := range of.plains {
		s.target(fmt.Sprintf("booking-%d", i+1), "booking-api", "plain", 0)
	}

	for i := range 2 {
		s.entry(fmt.Sprintf("entry-%d", i+1))
	}

	b, err := json.Marshal(s.list)
	if err != nil {
		t.Fatal(err)
	}

	file := filepath.Join(s.dir, "vms.json")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		t.Fatal(err)
	}

	s.run("vms", "standin", "vms", "--listen", host(s.vms), "--file", file)
	s.ready(s.vms + "/healthz")

	s.startAll()
	s.publish("")

	for _, url := range s.operator {
		s.ready(url + "/readyz")
	}

	return s
}

// startAll starts the system's own processes.
func (s *system) startAll() {
	for name := range s.operator {
		s.startOne(name)
	}
}

func (s *system) startOne(name string) {
	role := "side"
	if strings.HasPrefix(name, "entry") {
		role = "entry"
	}

	s.run(name, role, "--settings", s.file(name))
}

func (s *system) file(name string) string { return filepath.Join(s.dir, name+".toml") }

func host(url string) string { return strings.TrimPrefix(url, "http://") }

// Ports are taken from below those that the kernel gives to outgoing connections,
// one after the other, so that none is given twice or taken before its process
// has bound it. Runs beside each other start at different places.
const (
	firstPort = 22000
	portSpan  = 8000
	portStep  = 200
)

var nextPort atomic.Int64

// port returns the next port that can be bound for both TCP and UDP.
func port(t *testing.T) string {
	t.Helper()

	for range portSpan {
		n := (int64(os.Getpid())*portStep + nextPort.Add(1)) % portSpan
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+n)

		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}

		_ = l.Close()

		p, err := net.ListenPacket("udp", addr)
		if err != nil {
			continue
		}

		_ = p.Close()

		return addr
	}

	t.Fatal("no free port")

	return ""
}

func (s *system) add(name, kind, service, address, side string) {
	s.list = append(s.list, map[string]string{
		"vm": name, "data_centre": "yvr-east", "kind": kind, "service": service,
		"address": address, "side_address": side, "state": "live",
	})
}

func (s *system) engine(name, url string, decode float64) {
	s.run(name, "standin", "engine", "--listen", host(url), "--model", "shuttle-8b", "--weight-version", "v1",
		"--decode", fmt.Sprint(decode))
	s.ready(url + "/healthz")
}

// target starts a target and writes the settings of its side process.
func (s *system) target(name, service, kind string, decode float64) {
	url := "http://" + port(s.t)

	if kind == "engine" {
		s.engines[name] = url
		s.engine(name+"-target", url, decode)
	} else {
		s.plains[name] = url
		s.run(name+"-target", "standin", "plain", "--listen", host(url), "--service", service, "--vm", name)
		s.ready(url + "/healthz")
	}

	peers := port(s.t)
	s.add(name, kind, service, host(url), peers)
	s.configure(name, "side", peers, "", fmt.Sprintf("[target]\nservice = %q\nkind = %q\nurl = %q\n", service, kind, url))
}

func (s *system) entry(name string) {
	peers, callers := port(s.t), port(s.t)
	s.entries = append(s.entries, "http://"+callers)
	s.add(name, "entry", "", callers, peers)
	s.configure(name, "entry", peers, fmt.Sprintf("callers = %q\n", callers), "")
}

func (s *system) configure(name, role, peers, callers, target string) {
	pair, err := s.keys.Issue(time.Now(), certificate.Subject{VM: name, Role: role})
	if err != nil {
		s.t.Fatal(err)
	}

	if err := pair.Write(s.dir, name); err != nil {
		s.t.Fatal(err)
	}

	operators := port(s.t)
	s.operator[name] = "http://" + operators
	text := fmt.Sprintf(`role = %q
vm = %q
data_centre = "yvr-east"
site = "bc-south"
[listen]
peers = %q
operators = %q
%s[platform]
log_url = %q
vm_list_url = %q
[tls]
ca_file = %q
certificate_file = %q
key_file = %q
[limits]
balancer_grace = "100ms"
drain_timeout = "30s"
%s`, role, name, peers, operators, callers, s.log, s.vms, filepath.Join(s.dir, certificate.AuthorityFile),
		filepath.Join(s.dir, name+".pem"), filepath.Join(s.dir, name+".key"), target)

	if err := os.WriteFile(s.file(name), []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// run starts one process.
func (s *system) run(name string, args ...string) {
	s.t.Helper()

	out, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}

	p := &process{name: name, cmd: exec.Command(program, args...), out: out, done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, out

	if err := p.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}

	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()

	s.running[name] = p
}

// signal sends a signal to one process by its id.
func (s *system) signal(name string, sig syscall.Signal) {
	s.t.Helper()

	if err := s.running[name].cmd.Process.Signal(sig); err != nil {
		s.t.Fatalf("%s: %v", name, err)
	}
}

// kill ends a process at once and waits until it is gone.
func (s *system) kill(name string) {
	s.t.Helper()
	s.signal(name, syscall.SIGKILL)
	<-s.running[name].done
}

// stop ends a process in order and waits; it must end with status 0.
func (s *system) stop(name string) {
	s.t.Helper()
	s.signal(name, syscall.SIGTERM)
	<-s.running[name].done

	if got, want := s.running[name].cmd.ProcessState.ExitCode(), 0; got != want {
		s.t.Errorf("%s: got status %d, want %d", name, got, want)
	}
}

// end kills what still runs, and shows the logs of a test that failed.
func (s *system) end() {
	for _, p := range s.running {
		select {
		case <-p.done:
		default:
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			<-p.done
		}

		_ = p.out.Close()

		if s.t.Failed() {
			s.show(p.name)
		}
	}
}

// shownLines is how much of each log a failed test shows.
const shownLines = 25

func (s *system) show(name string) {
	b, _ := os.ReadFile(filepath.Join(s.dir, name+".log"))
	lines := strings.Split(strings.TrimSpace(string(b)), "\n")
	s.t.Logf("--- %s\n%s", name, strings.Join(lines[max(0, len(lines)-shownLines):], "\n"))
}

// eventually waits until f holds.
func (s *system) eventually(what string, f func() bool) {
	s.t.Helper()

	end := time.Now().Add(limit)

	for !f() {
		if time.Now().After(end) {
			s.t.Fatalf("never: %s", what)
		}

		time.Sleep(20 * time.Millisecond)
	}
}

func (s *system) ready(url string) {
	s.t.Helper()
	s.eventually(url+" answers 200", func() bool { return status(url) == http.StatusOK })
}

func status(url string) int {
	client := http.Client{Timeout: time.Second}

	resp, err := client.Get(url)
	if err != nil {
		return 0
	}

	defer func() { _ = resp.Body.Close() }()

	return resp.StatusCode
}

// publish publishes the settings with more at the end and returns the version.
func (s *system) publish(more string) uint64 {
	s.t.Helper()

	log := journal.NewClient(journal.ClientConfig{URL: s.log})
	based := uint64(0)

	if s.key == "" {
		s.key, _ = organisation.NewKey()
	} else if now, _, err := publication.Read(context.Background(), log, 1); err != nil {
		s.t.Fatal(err)
	} else {
		based = now.Version()
	}

	v, err := publication.Publish(context.Background(), publication.PublishConfig{Log: log}, publication.Change{
		ID: uuid.NewString(), Based: based, Author: "test", Name: "settings.toml",
		Text: []byte(fmt.Sprintf(settings, organisation.HashKey(s.key), more)),
	})
	if err != nil {
		s.t.Fatal(err)
	}

	return v
}

// faults sets switches of a stand-in.
func (s *system) faults(url string, switches map[string]any) {
	s.t.Helper()

	b, _ := json.Marshal(switches)

	resp, err := http.Post(url+"/faults", "application/json", bytes.NewReader(b))
	if err != nil {
		s.t.Fatal(err)
	}

	defer func() { _ = resp.Body.Close() }()

	if resp.StatusCode != http.StatusOK {
		s.t.Fatalf("faults of %s: %s", url, resp.Status)
	}
}
