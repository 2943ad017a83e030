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

// program is the path of the built program.
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

// waitTimeout bounds every wait of the tests. It is far longer than anything should take and
// only ends a test that would hang.
const waitTimeout = 60 * time.Second

// process is a process of the system or a stand-in; done is closed when it has exited.
type process struct {
	name string
	cmd  *exec.Cmd
	out  *os.File
	done chan struct{}
}

// system is a running system: entries, side processes and stand-ins. Its maps are keyed by VM
// name; processes has stand-ins as well, by the names given to startProcess.
type system struct {
	t             *testing.T
	dir           string
	logURL        string // URLs of stand-ins of the platform
	vmListURL     string
	storeURL      string
	entries       []string // URLs for callers
	engines       map[string]string
	plainServices map[string]string
	operatorURLs  map[string]string
	processes     map[string]*process
	authority     *certificate.Authority
	key           string
	vms           []map[string]string
	oracleURL     string
}

// systemConfig configures a system.
type systemConfig struct {
	engines, plainServices int
	// enginesWithoutSide is the number of additional engines, which have no side process.
	enginesWithoutSide int
	// decodeTokensPerSecond is the decode rate of the engines.
	decodeTokensPerSecond float64
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

// start starts a system and waits until all its processes are ready.
func start(t *testing.T, cfg systemConfig) *system {
	t.Helper()

	s := &system{
		t: t, dir: t.TempDir(), engines: map[string]string{}, plainServices: map[string]string{},
		operatorURLs: map[string]string{}, processes: map[string]*process{},
	}

	t.Cleanup(s.cleanUp)

	var err error
	if s.authority, err = certificate.NewAuthority(time.Now()); err != nil {
		t.Fatal(err)
	}

	if err := s.authority.Write(s.dir); err != nil {
		t.Fatal(err)
	}

	s.logURL, s.vmListURL = "http://"+freeAddr(t), "http://"+freeAddr(t)
	s.startProcess("log", "standin", "log", "--listen", hostPort(s.logURL))
	s.waitReady(s.logURL + "/healthz")

	s.storeURL = "http://" + freeAddr(t)
	s.startProcess("store", "standin", "store", "--listen", hostPort(s.storeURL))
	s.addVM("prompt-vault", "store", "", hostPort(s.storeURL), "")

	s.oracleURL = "http://" + freeAddr(t)
	s.startEngine("oracle", s.oracleURL, 2000)

	for i := range cfg.engines {
		s.addTarget(fmt.Sprintf("engine-%d", i+1), "boragehub-llm", "engine", cfg.decodeTokensPerSecond)
	}

	for i := range cfg.enginesWithoutSide {
		name, url := fmt.Sprintf("alone-%d", i+1), "http://"+freeAddr(t)
		s.engines[name] = url
		s.startEngine(name+"-target", url, cfg.decodeTokensPerSecond)
		s.addVM(name, "engine", "boragehub-llm", hostPort(url), "")
	}

	for i := range cfg.plainServices {
		s.addTarget(fmt.Sprintf("booking-%d", i+1), "booking-api", "plain", 0)
	}

	for i := range 2 {
		s.addEntry(fmt.Sprintf("entry-%d", i+1))
	}

	b, err := json.Marshal(s.vms)
	if err != nil {
		t.Fatal(err)
	}

	file := filepath.Join(s.dir, "vms.json")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		t.Fatal(err)
	}

	s.startProcess("vms", "standin", "vms", "--listen", hostPort(s.vmListURL), "--file", file)
	s.waitReady(s.vmListURL + "/healthz")

	s.startSystemProcesses()
	s.publish("")

	for _, url := range s.operatorURLs {
		s.waitReady(url + "/readyz")
	}

	return s
}

// startSystemProcesses starts the entries and side processes.
func (s *system) startSystemProcesses() {
	for name := range s.operatorURLs {
		s.startSystemProcess(name)
	}
}

func (s *system) startSystemProcess(name string) {
	role := "side"
	if strings.HasPrefix(name, "entry") {
		role = "entry"
	}

	s.startProcess(name, role, "--settings", s.settingsFile(name))
}

func (s *system) settingsFile(name string) string { return filepath.Join(s.dir, name+".toml") }

func hostPort(url string) string { return strings.TrimPrefix(url, "http://") }

// Ports are allocated in order from a range below the kernel's ephemeral ports, so that none
// is used twice or taken by an outgoing connection before its process has bound it.
// Concurrent test processes start at different ports.
const (
	firstPort = 22000
	portSpan  = 8000
	portStep  = 200
)

var nextPort atomic.Int64

// freeAddr returns the next loopback address whose port is free for both TCP and UDP.
func freeAddr(t *testing.T) string {
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

func (s *system) addVM(name, kind, service, address, side string) {
	s.vms = append(s.vms, map[string]string{
		"vm": name, "data_centre": "yvr-east", "kind": kind, "service": service,
		"address": address, "side_address": side, "state": "live",
	})
}

func (s *system) startEngine(name, url string, decode float64) {
	s.startProcess(name, "standin", "engine", "--listen", hostPort(url), "--model", "shuttle-8b", "--weight-version", "v1",
		"--decode", fmt.Sprint(decode))
	s.waitReady(url + "/healthz")
}

// addTarget starts the stand-in of a target, adds its VM and writes the settings of its side
// process.
func (s *system) addTarget(name, service, kind string, decode float64) {
	url := "http://" + freeAddr(s.t)

	if kind == "engine" {
		s.engines[name] = url
		s.startEngine(name+"-target", url, decode)
	} else {
		s.plainServices[name] = url
		s.startProcess(name+"-target", "standin", "plain", "--listen", hostPort(url), "--service", service, "--vm", name)
		s.waitReady(url + "/healthz")
	}

	peers := freeAddr(s.t)
	s.addVM(name, kind, service, hostPort(url), peers)
	s.writeSettings(name, "side", peers, "", fmt.Sprintf("[target]\nservice = %q\nkind = %q\nurl = %q\n", service, kind, url))
}

func (s *system) addEntry(name string) {
	peers, callers := freeAddr(s.t), freeAddr(s.t)
	s.entries = append(s.entries, "http://"+callers)
	s.addVM(name, "entry", "", callers, peers)
	s.writeSettings(name, "entry", peers, fmt.Sprintf("callers = %q\n", callers), "")
}

func (s *system) writeSettings(name, role, peers, callers, target string) {
	pair, err := s.authority.Issue(time.Now(), certificate.Subject{VM: name, Role: role})
	if err != nil {
		s.t.Fatal(err)
	}

	if err := pair.Write(s.dir, name); err != nil {
		s.t.Fatal(err)
	}

	operators := freeAddr(s.t)
	s.operatorURLs[name] = "http://" + operators
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
%s`, role, name, peers, operators, callers, s.logURL, s.vmListURL, filepath.Join(s.dir, certificate.AuthorityFile),
		filepath.Join(s.dir, name+".pem"), filepath.Join(s.dir, name+".key"), target)

	if err := os.WriteFile(s.settingsFile(name), []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// startProcess starts the program with args; its output is appended to NAME.log.
func (s *system) startProcess(name string, args ...string) {
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

	s.processes[name] = p
}

// signal sends a signal to a process.
func (s *system) signal(name string, sig syscall.Signal) {
	s.t.Helper()

	if err := s.processes[name].cmd.Process.Signal(sig); err != nil {
		s.t.Fatalf("%s: %v", name, err)
	}
}

// kill sends SIGKILL to a process and waits until it has exited.
func (s *system) kill(name string) {
	s.t.Helper()
	s.signal(name, syscall.SIGKILL)
	<-s.processes[name].done
}

// stop sends SIGTERM to a process and waits until it has exited; its status must be 0.
func (s *system) stop(name string) {
	s.t.Helper()
	s.signal(name, syscall.SIGTERM)
	<-s.processes[name].done

	if got, want := s.processes[name].cmd.ProcessState.ExitCode(), 0; got != want {
		s.t.Errorf("%s: got status %d, want %d", name, got, want)
	}
}

// cleanUp kills all processes that still run and prints their logs if the test failed.
func (s *system) cleanUp() {
	for _, p := range s.processes {
		select {
		case <-p.done:
		default:
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			<-p.done
		}

		_ = p.out.Close()

		if s.t.Failed() {
			s.printLog(p.name)
		}
	}
}

// shownLines is how many lines of each log are printed when a test fails.
const shownLines = 25

func (s *system) printLog(name string) {
	b, _ := os.ReadFile(filepath.Join(s.dir, name+".log"))
	lines := strings.Split(strings.TrimSpace(string(b)), "\n")
	s.t.Logf("--- %s\n%s", name, strings.Join(lines[max(0, len(lines)-shownLines):], "\n"))
}

// eventually waits until ok returns true and fails the test after waitTimeout.
func (s *system) eventually(what string, ok func() bool) {
	s.t.Helper()

	end := time.Now().Add(waitTimeout)

	for !ok() {
		if time.Now().After(end) {
			s.t.Fatalf("condition not met: %s", what)
		}

		time.Sleep(20 * time.Millisecond)
	}
}

func (s *system) waitReady(url string) {
	s.t.Helper()
	s.eventually(url+" responds with 200", func() bool { return status(url) == http.StatusOK })
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

// publish publishes the settings with extra appended and returns their version.
func (s *system) publish(extra string) uint64 {
	s.t.Helper()

	log := journal.NewClient(journal.ClientConfig{URL: s.logURL})
	basedOn := uint64(0)

	if s.key == "" {
		s.key, _ = organisation.NewKey()
	} else if now, _, err := publication.ReadHistory(context.Background(), log, 1); err != nil {
		s.t.Fatal(err)
	} else {
		basedOn = now.Version()
	}

	v, err := publication.Publish(context.Background(), publication.PublishConfig{Log: log}, publication.Change{
		ID: uuid.NewString(), BaseVersion: basedOn, Author: "test", Name: "settings.toml",
		Text: []byte(fmt.Sprintf(settings, organisation.HashKey(s.key), extra)),
	})
	if err != nil {
		s.t.Fatal(err)
	}

	return v
}

// setFaults sets fault switches of a stand-in.
func (s *system) setFaults(url string, switches map[string]any) {
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
