package wholepath

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/google/uuid"

	"boragehub/certificate"
	"boragehub/claim"
	"boragehub/drain"
	"boragehub/entry"
	"boragehub/journal"
	"boragehub/organisation"
	"boragehub/peer"
	"boragehub/quarantine"
	"boragehub/quarantine/notice"
	"boragehub/setting/exchange"
	"boragehub/setting/publication"
	"boragehub/side"
	"boragehub/standin/engine"
	"boragehub/standin/logservice"
	"boragehub/standin/plain"
	"boragehub/standin/vault"
	"boragehub/standin/vmlist"
	"boragehub/vm"
)

const (
	model          = "shuttle-8b"
	llmService     = "boragehub-llm"
	bookingService = "booking-api"
	dataCentre     = "yvr-east"
	site           = "bc-south"

	// API keys of the two organisations.
	deskKey   = "key-of-the-desk-agents"
	bureauKey = "key-of-the-bureau"

	drainTimeout  = 10 * time.Second
	keepAlive     = time.Second
	waitTimeout   = 30 * time.Second
	shownLogLines = 200 // printed when a test fails
)

// settings returns the published settings, with two organisations. Only the
// first one may use the plain service.
func settings() string {
	return fmt.Sprintf(`
class = "standard"
park_min_tokens = 64
max_body_bytes = 65536
requests_per_second = 100000.0
request_burst = 100000

[[data_centre]]
name = %q
site = %q
region = "lower-mainland"

[[service]]
name = %q
kind = "engine"
models = [%q]
weight_version = "v1"

[[service]]
name = %q
kind = "plain"
idempotent_paths = ["/seats"]

[[organisation]]
name = "desk-agents"
keys = [%q]

[[organisation]]
name = "bureau"
keys = [%q]
services = [%q]
`, dataCentre, site, llmService, model, bookingService, organisation.HashKey(deskKey), organisation.HashKey(bureauKey), llmService)
}

// envConfig configures a testEnv. It always has at least one entry.
type envConfig struct {
	engines, plainServices, entries, stores int
	// configureEngine changes the configuration of engine i; nil changes nothing.
	configureEngine func(i int, cfg *engine.Config)
	// wrapEngine returns a handler that is placed between the side process and
	// the handler of engine i; nil connects them directly.
	wrapEngine func(i int, h http.Handler) http.Handler
}

// standIn is the server of a stand-in.
type standIn interface {
	Handler() http.Handler
	ServeListener(ctx context.Context, l net.Listener) error
	Abort()
}

// testEnv is a complete deployment in one process.
type testEnv struct {
	t             *testing.T
	authority     *certificate.Authority
	dir           string
	logs          logBuffer
	logService    *logservice.Server
	logAddr       string
	vmListURL     string
	engines       []*target
	plainServices []*target
	stores        []*target
	entries       []*entryNode
}

// target is a VM: a stand-in and, except for a store, its side process.
type target struct {
	vm           string
	addr         string
	engine       *engine.Server
	plain        *plain.Server
	store        *vault.Server
	side         *side.Side
	deduplicator *claim.Deduplicator
	process      *process
	stop         func() // stops the stand-in after its open requests have ended
}

// entryNode is an entry with the HTTP server for its callers.
type entryNode struct {
	*entry.Entry
	process    *process
	httpServer *drain.Server
	url        string
}

// process holds the components that entries and side processes have in common.
type process struct {
	server      *peer.Server
	dialer      *peer.Dialer
	vms         *vm.Follower
	settings    *publication.Follower
	notices     *notice.Feed
	callbacks   callbacks
	tasks       []func(context.Context)
	stop        func()
	beforeClose func() // called by stop after the tasks have ended, before connections are closed
}

// callbacks are the functions that the followers of a process call. An entry sets
// them after the followers have been created.
type callbacks struct {
	onList     func(time.Time, *vm.List)
	onSettings func(time.Time, *publication.Published)
	onCrash    func(time.Time, quarantine.Crash)
}

// logBuffer collects the log lines of all processes.
type logBuffer struct {
	mu    sync.Mutex
	lines []string
}

func (l *logBuffer) logger(vm string) logr.Logger {
	return funcr.New(func(_, args string) {
		l.mu.Lock()
		defer l.mu.Unlock()

		l.lines = append(l.lines, vm+" "+args)
	}, funcr.Options{})
}

// count returns how many lines contain text.
func (l *logBuffer) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()

	n := 0

	for _, line := range l.lines {
		if strings.Contains(line, text) {
			n++
		}
	}

	return n
}

func (l *logBuffer) print(t *testing.T) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for _, line := range l.lines[max(0, len(l.lines)-shownLogLines):] {
		t.Log(line)
	}
}

// start starts a testEnv and returns when all its processes are ready.
func start(t *testing.T, cfg envConfig) *testEnv {
	t.Helper()

	authority, err := certificate.NewAuthority(time.Now())
	if err != nil {
		t.Fatal(err)
	}

	env := &testEnv{t: t, authority: authority, dir: t.TempDir(), logService: logservice.New(logservice.Config{})}
	if err := authority.Write(env.dir); err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() {
		if t.Failed() {
			env.logs.print(t)
		}
	})

	env.logAddr, _ = env.serveStandIn("log", env.logService)
	list, _ := env.serveStandIn("vms", vmlist.New(vmlist.Config{}))
	env.vmListURL = "http://" + list

	for i := range cfg.stores {
		store := &target{vm: fmt.Sprintf("vault-%d", i+1), store: vault.New(vault.Config{})}
		store.addr, store.stop = env.serveStandIn(store.vm, store.store)
		env.stores = append(env.stores, store)
		env.registerVM(vm.Store, store.vm, "", store.addr, "")
	}

	for i := range cfg.engines {
		env.engines = append(env.engines, env.newEngine(i, cfg))
	}

	for i := range cfg.plainServices {
		env.plainServices = append(env.plainServices, env.newPlainService(i))
	}

	for i := range max(cfg.entries, 1) {
		env.entries = append(env.entries, env.newEntry(i))
	}

	env.publish(0, settings())
	env.eventually("not all processes are ready", env.ready)

	return env
}

// serveStandIn runs a stand-in until the test ends. The returned stop lets open
// requests finish before it returns.
func (e *testEnv) serveStandIn(name string, s standIn) (addr string, stop func()) {
	e.t.Helper()

	var lc net.ListenConfig

	l, err := lc.Listen(e.t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		e.t.Fatal(err)
	}

	ctx, cancel := context.WithCancel(e.t.Context())
	done := make(chan struct{})

	go func() {
		defer close(done)

		if err := s.ServeListener(ctx, l); err != nil {
			e.t.Errorf("%s: %v", name, err)
		}
	}()

	e.t.Cleanup(func() {
		s.Abort()
		<-done
	})

	return l.Addr().String(), func() {
		cancel()
		<-done
	}
}

// registerVM adds a VM to the platform's VM list.
func (e *testEnv) registerVM(kind vm.Kind, name, service, addr, sideAddr string) {
	e.t.Helper()

	e.sendJSON(http.MethodPut, e.vmListURL+"/vms/"+name, vm.VM{
		DataCentre: dataCentre, Kind: kind, Service: service, Address: addr, SideAddress: sideAddr,
	})
}

// setFaults sets fault switches of a stand-in.
func (e *testEnv) setFaults(addr string, switches map[string]any) {
	e.t.Helper()
	e.sendJSON(http.MethodPost, "http://"+addr+"/faults", switches)
}

// sendJSON sends JSON to a stand-in.
func (e *testEnv) sendJSON(method, url string, v any) {
	e.t.Helper()

	b, err := json.Marshal(v)
	if err != nil {
		e.t.Fatal(err)
	}

	r, err := http.NewRequestWithContext(e.t.Context(), method, url, bytes.NewReader(b))
	if err != nil {
		e.t.Fatal(err)
	}

	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		e.t.Fatal(err)
	}

	_ = resp.Body.Close()

	if resp.StatusCode != http.StatusOK {
		e.t.Fatalf("%s %s: got %d", method, url, resp.StatusCode)
	}
}

// publish publishes settings as an operator who edited version basedOn.
func (e *testEnv) publish(basedOn uint64, text string) {
	e.t.Helper()

	_, err := publication.Publish(e.t.Context(), publication.PublishConfig{Log: journal.NewClient(journal.ClientConfig{URL: "http://" + e.logAddr})},
		publication.Change{ID: uuid.NewString(), BaseVersion: basedOn, Author: "test", Name: "settings.toml", Text: []byte(text)})
	if err != nil {
		e.t.Fatal(err)
	}
}

// ready reports whether all entries and side processes are ready and every entry
// knows the complete VM list.
func (e *testEnv) ready() bool {
	for _, t := range append(append([]*target{}, e.engines...), e.plainServices...) {
		if !t.side.Ready() {
			return false
		}
	}

	for _, n := range e.entries {
		if !n.Ready() || len(n.process.vms.List().All()) != len(e.engines)+len(e.plainServices)+len(e.stores)+len(e.entries) {
			return false
		}
	}

	return true
}

// eventually waits until ok returns true and fails the test with what after
// waitTimeout. The tests do not check how long anything takes: waitTimeout only
// ends a wait that cannot succeed.
func (e *testEnv) eventually(what string, ok func() bool) {
	e.t.Helper()

	ctx, cancel := context.WithTimeout(e.t.Context(), waitTimeout)
	defer cancel()

	for !ok() {
		select {
		case <-ctx.Done():
			e.t.Fatal(what)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// newProcess creates the common components of a process.
func (e *testEnv) newProcess(name, role string) *process {
	e.t.Helper()

	pair, err := e.authority.Issue(time.Now(), certificate.Subject{VM: name, Role: role})
	if err != nil {
		e.t.Fatal(err)
	}

	if err := pair.Write(e.dir, name); err != nil {
		e.t.Fatal(err)
	}

	log := e.logs.logger(name)

	keys, err := certificate.NewReloader(certificate.ReloaderConfig{
		CAFile:          filepath.Join(e.dir, certificate.AuthorityFile),
		CertificateFile: filepath.Join(e.dir, name+".pem"),
		KeyFile:         filepath.Join(e.dir, name+".key"),
		Protocols:       []string{peer.Protocol},
		Logger:          log,
	})
	if err != nil {
		e.t.Fatal(err)
	}

	cfg := peer.Config{TLS: keys.TLS()}

	server, err := peer.Listen(cfg, "127.0.0.1:0", log)
	if err != nil {
		e.t.Fatal(err)
	}

	p := &process{server: server, dialer: peer.NewDialer(cfg, log), beforeClose: func() {}}
	p.callbacks = callbacks{
		onList:     func(time.Time, *vm.List) {},
		onSettings: func(time.Time, *publication.Published) {},
		onCrash:    func(time.Time, quarantine.Crash) {},
	}
	p.vms = vm.NewFollower(vm.FollowerConfig{
		URL: e.vmListURL, Log: log, OnList: func(now time.Time, l *vm.List) { p.callbacks.onList(now, l) },
	})

	client := journal.NewClient(journal.ClientConfig{URL: "http://" + e.logAddr})
	p.settings = publication.NewFollower(publication.FollowerConfig{
		Log:      client,
		Self:     publication.Member{VM: name, DataCentre: dataCentre},
		Members:  func() []publication.Member { return exchange.Members(p.vms.List()) },
		Peers:    exchange.Peers{Requester: p.dialer, VMs: p.vms},
		Logger:   log,
		OnChange: func(q *publication.Published) { p.callbacks.onSettings(time.Now(), q) },
	})
	p.notices = notice.New(notice.Config{Log: client, Logger: log, OnCrash: func(c quarantine.Crash) { p.callbacks.onCrash(time.Now(), c) }})
	p.tasks = []func(context.Context){p.vms.Run, p.settings.Run, p.notices.Run}

	return p
}

// startTasks starts the background tasks of a process. They end when the test
// ends or when stop is called.
func (e *testEnv) startTasks(p *process, tasks ...func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())

	var wg sync.WaitGroup

	for _, task := range append(p.tasks, tasks...) {
		wg.Go(func() { task(ctx) })
	}

	p.stop = sync.OnceFunc(func() {
		cancel()
		wg.Wait()
		p.beforeClose()
		p.dialer.Close()
		p.server.Close()
	})
	e.t.Cleanup(p.stop)
}

func (e *testEnv) newEngine(i int, envCfg envConfig) *target {
	e.t.Helper()

	t := &target{vm: fmt.Sprintf("engine-%d", i+1)}
	cfg := engine.Config{
		Model: model, WeightVersion: "v1", CacheBlocks: 1024,
		PrefillTokensPerSecond: 1e6, DecodeTokensPerSecond: 1e6,
		Crash: func() { e.t.Errorf("%s crashed", t.vm) },
	}

	if envCfg.configureEngine != nil {
		envCfg.configureEngine(i, &cfg)
	}

	t.engine = engine.New(cfg)
	t.addr, t.stop = e.serveStandIn(t.vm, t.engine)
	targetAddr := t.addr

	if envCfg.wrapEngine != nil {
		proxy := httptest.NewServer(envCfg.wrapEngine(i, t.engine.Handler()))
		e.t.Cleanup(proxy.Close)

		targetAddr = proxy.Listener.Addr().String()
	}

	e.startSideProcess(t, llmService, targetAddr, false)

	return t
}

func (e *testEnv) newPlainService(i int) *target {
	e.t.Helper()

	t := &target{vm: fmt.Sprintf("booking-%d", i+1)}
	t.plain = plain.New(plain.Config{Service: bookingService, VM: t.vm})
	t.addr, t.stop = e.serveStandIn(t.vm, t.plain)
	e.startSideProcess(t, bookingService, t.addr, true)

	return t
}

// startSideProcess starts the side process of target t, which it reaches at addr.
func (e *testEnv) startSideProcess(t *target, service, addr string, plain bool) {
	e.t.Helper()

	p := e.newProcess(t.vm, "side")
	log := e.logs.logger(t.vm)
	cfg := side.Config{
		VM: t.vm, DataCentre: dataCentre, Service: service, Plain: plain, Address: addr,
		DrainTimeout: drainTimeout, Settings: p.settings, PostCrash: p.notices.Post, Peers: p.dialer, VMs: p.vms, Log: log,
	}

	var tasks []func(context.Context)

	if plain {
		t.deduplicator = claim.NewDeduplicator(claim.DeduplicatorConfig{
			Log: journal.NewClient(journal.ClientConfig{URL: "http://" + e.logAddr}), Service: service, VM: t.vm,
			VMList: func() claim.VMList {
				l := p.vms.List()
				f := claim.VMList{Version: l.Version(), Leaving: map[string]bool{}}

				for _, m := range l.All() {
					if m.Service == service {
						f.VMs = append(f.VMs, m.Name)
					}
				}

				return f
			},
			Logger: log,
		})
		cfg.Claims = t.deduplicator
		tasks = append(tasks, t.deduplicator.Run)
	}

	t.side = side.New(cfg)
	t.process = p
	tasks = append(tasks, t.side.Run, func(ctx context.Context) { _ = p.server.Serve(ctx, t.side.Handle) })
	e.startTasks(p, tasks...)

	kind := vm.Engine
	if plain {
		kind = vm.Plain
	}

	e.registerVM(kind, t.vm, service, t.addr, p.server.Addr())
}

func (e *testEnv) newEntry(i int) *entryNode {
	e.t.Helper()

	name := fmt.Sprintf("entry-%d", i+1)
	p := e.newProcess(name, "entry")
	n := &entryNode{process: p, Entry: entry.New(entry.Config{
		VM: name, DataCentre: dataCentre, Site: site, Settings: p.settings, Peers: p.dialer, VMs: p.vms,
		ReportCrash: p.notices.Post, Log: e.logs.logger(name), Seed: uint64(i + 1),
	})}
	p.callbacks = callbacks{onList: n.OnList, onSettings: n.OnSettings, onCrash: n.AddCrash}
	n.serve(e)
	e.startTasks(p, n.Run, func(ctx context.Context) { _ = p.server.Serve(ctx, n.Handle) })
	e.registerVM(vm.Entry, name, "", strings.TrimPrefix(n.url, "http://"), p.server.Addr())

	return n
}

// serve starts the HTTP server for callers as the process of an entry does.
func (n *entryNode) serve(env *testEnv) {
	env.t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		env.t.Fatal(err)
	}

	n.url = "http://" + l.Addr().String()
	n.httpServer = drain.NewServer(drain.Config{Handler: n.Handler(), HeaderTimeout: waitTimeout, IdleTimeout: waitTimeout, KeepAlive: keepAlive})
	served := make(chan error, 1)

	go func() { served <- n.httpServer.Serve(l) }()
	env.t.Cleanup(func() {
		n.httpServer.Close()

		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			env.t.Errorf("got %v, want %v", err, http.ErrServerClosed)
		}
	})
}
