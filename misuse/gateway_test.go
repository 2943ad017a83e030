package misuse

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"boragehub/platform"
	"boragehub/platform/standin"
)

// gatewayBounds are the memory of the smallest entries on the users' platform and a sixth of their descriptors.
var gatewayBounds = bounds{memoryMB: 104, descriptors: 700}

const gatewayKey = "k1"

const gatewayConfiguration = `{"revision":1,"routes":[
 {"name":"seat","host":"a.example","pathPrefix":"/seat/","kind":"streaming","timeoutMs":5000,"service":"llm","maxAttempts":1},
 {"name":"book","host":"a.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":5000,"service":"desk","maxAttempts":1},
 {"name":"look","host":"a.example","pathPrefix":"/look/","kind":"idempotent","timeoutMs":5000,"service":"desk","maxAttempts":2},
 {"name":"huge","host":"a.example","pathPrefix":"/huge/","kind":"idempotent","timeoutMs":30000,"service":"desk","maxAttempts":2},
 {"name":"large","host":"a.example","pathPrefix":"/large/","kind":"idempotent","timeoutMs":30000,"service":"desk","maxAttempts":2}],
 "services":[{"name":"llm","engine":{"slots":8,"kvCapacityTokens":70000,"models":[{"name":"m"}]}},{"name":"desk"}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"ferry","apiKeys":["k1"]}]}`

// fleet is an entry on the users' platform with a loader, an engine and a plain service.
type fleet struct {
	entry, loader *standin.Process
}

// startFleet starts a fleet; configure changes what the processes are started with.
func startFleet(t *testing.T, configure ...func(*standin.ProcessConfig)) *fleet {
	t.Helper()

	root, err := filepath.Abs("..")
	if err != nil {
		t.Fatal(err)
	}

	plan, err := standin.BuildAll(root)
	if err != nil {
		t.Fatal(err)
	}

	subnet, err := standin.LockSubnet()
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() {
		if err := subnet.Release(); err != nil {
			t.Error(err)
		}
	})

	log := standin.NewLog()
	logAddress := serve(t, subnet.IP(standin.StandinAddresses, 0)+":0", log)

	plain := standin.NewEngine(standin.EngineConfig{ID: "p1"})
	plainAddress := serve(t, subnet.IP(standin.StandinAddresses, 0)+":0", largeResponses{plain})
	log.PutJSON(platform.RegisterTopic, "p1", plain.RegisterRecord("desk", plainAddress, "east", "ready"))

	engine := standin.NewEngine(standin.EngineConfig{ID: "e1", Model: "m", EventCount: 3, EventInterval: 20 * time.Millisecond})
	engineAddress := serve(t, subnet.IP(standin.TargetAddresses, 0)+":0", engine)
	log.PutJSON(platform.RegisterTopic, "e1", engine.RegisterRecord("llm", engineAddress, "east", "ready"))
	log.Put(platform.OperatorTopic, "config", []byte(gatewayConfiguration))

	dir := t.TempDir()
	seeds := []string{subnet.IP(standin.EntryAddresses, 0)}
	common := standin.ProcessConfig{
		Root: root, Dir: dir, Zone: "east", Seeds: seeds, Log: logAddress, GraceSeconds: 8,
		MemoryMB: gatewayBounds.memoryMB, Descriptors: gatewayBounds.descriptors,
	}

	for _, change := range configure {
		change(&common)
	}

	loader, entry := common, common
	loader.Command, loader.Name, loader.IP, loader.Engine = plan.Roles["loader"].Run, "side-e1", subnet.IP(standin.TargetAddresses, 0), engineAddress
	entry.Command, entry.Name, entry.IP, entry.Bootstrap = plan.Roles["gateway"].Run, "edge-1", seeds[0], true

	f := &fleet{loader: start(t, loader), entry: start(t, entry)}
	eventually(t, "the entry is ready", f.entry.Ready)

	return f
}

func serve(t *testing.T, address string, h http.Handler) string {
	t.Helper()

	bound, stop, err := standin.Serve(address, h)
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(stop)

	return bound
}

func start(t *testing.T, cfg standin.ProcessConfig) *standin.Process {
	t.Helper()

	p, err := standin.NewProcess(cfg)
	if err == nil {
		err = p.Start()
	}

	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(p.Kill)

	return p
}

// Sizes of the responses to requests below /large/ and /huge/. Two of the latter don't fit into an entry's memory for
// long responses, nor does one beside one of the former.
const (
	largeResponseBytes = mebibyte
	hugeResponseBytes  = 12*mebibyte + mebibyte/2
)

// largeResponses is a plain service that has large responses, too.
type largeResponses struct{ *standin.Engine }

func (l largeResponses) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	size := largeResponseBytes

	switch {
	case strings.HasPrefix(r.URL.Path, "/huge/"):
		size = hugeResponseBytes
	case !strings.HasPrefix(r.URL.Path, "/large/"):
		l.Engine.ServeHTTP(w, r)

		return
	}

	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Server-Seal", "p1.large")
	w.Header().Set("Content-Length", fmt.Sprint(size))

	_, _ = io.WriteString(w, strings.Repeat("r", size))
}

var lastID atomic.Int64

// request sends one request on a connection of its own and returns the status; zero for no complete response.
func (f *fleet) request(method, path, body string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	r, err := http.NewRequestWithContext(ctx, method, "http://"+f.entry.CallerAddress()+path, strings.NewReader(body))
	if err != nil {
		return 0
	}

	id := fmt.Sprintf("%08x", lastID.Add(1))
	r.Host, r.Close = "a.example", true
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", "5000")
	r.Header.Set("Authorization", "Token "+gatewayKey)

	if strings.HasPrefix(path, "/seat/") {
		r.Header.Set("X-Model", "m")
		r.Header.Set("X-Token-Usage", "300,3")
		r.Header.Set("X-Prompt-Prefix", "aa:250,"+id+":50")
	}

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

// serves checks that the entry serves a request. Like callers, it tries again when it is refused.
func (f *fleet) serves(t *testing.T, what, method, path, body string) {
	t.Helper()
	eventually(t, what, func() bool { return f.request(method, path, body) == http.StatusOK })
}

// servesBeside checks that the entry serves ordinary requests beside a crowd.
func (f *fleet) servesBeside(t *testing.T) {
	t.Helper()
	f.serves(t, "an ordinary lookup beside the crowd", "GET", "/look/1", "")
	f.serves(t, "an ordinary booking beside the crowd", "POST", "/book/1", "body")
}

// servesInCalm checks that the entry serves one request of each kind, and one with the largest body.
func (f *fleet) servesInCalm(t *testing.T) {
	t.Helper()
	f.serves(t, "a lookup", "GET", "/look/1", "")
	f.serves(t, "a booking", "POST", "/book/1", "body")
	f.serves(t, "a prompt", "POST", "/seat/1", "body")
	f.serves(t, "a request with the largest body", "POST", "/look/1", strings.Repeat("x", bodyLimit))
}

// callerHead returns the head of a request at the gateway without the empty line at its end.
func callerHead(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: 77\r\nX-Deadline-Ms: 5000\r\nAuthorization: Token " + gatewayKey + "\r\n"
}

// bear checks that the entry bears one crowd after another.
func (f *fleet) bear(t *testing.T, address string, crowds ...[]form) {
	t.Helper()

	w := watchProcess(f.entry.PID(), f.entry.IP)

	for _, forms := range crowds {
		c := startCrowd(address, forms...)
		f.servesBeside(t)
		c.end()
	}

	f.servesInCalm(t)
	w.check(t, gatewayBounds)
}

// Guards against an entry that runs out of memory or descriptors by bodies that are large, slow, endless or
// stop midway.
func TestGatewayBearsBodies(t *testing.T) {
	for _, crowd := range bodyForms(callerHead("POST", "/look/1")) {
		t.Run(crowd.name, func(t *testing.T) {
			f := startFleet(t)
			f.bear(t, f.entry.CallerAddress(), []form{crowd})
		})
	}
}

// Guards against an entry that runs out of memory or descriptors by heads and unused connections.
func TestGatewayBearsHeads(t *testing.T) {
	for _, crowd := range headForms() {
		t.Run(crowd.name, func(t *testing.T) {
			f := startFleet(t)
			f.bear(t, f.entry.CallerAddress(), []form{crowd})
		})
	}
}

// Guards against an entry that holds many complete heads of the largest size while their bodies stop.
func TestGatewayBearsLargeHeadsWithBodiesThatStop(t *testing.T) {
	f := startFleet(t)
	head := callerHead("POST", "/look/1") + strings.Repeat("X-Filler: "+strings.Repeat("f", 1000)+"\r\n", 15)
	f.bear(t, f.entry.CallerAddress(), []form{{clients: 1000, head: head + "Content-Length: 100\r\n\r\nabc"}})
}

// Guards against an entry that holds large responses for many callers that don't read them.
func TestGatewayBearsUnreadResponses(t *testing.T) {
	f := startFleet(t)
	unread := form{clients: 200, head: callerHead("GET", "/large/1") + "\r\n"}
	stopping := bodyForms(callerHead("POST", "/look/1"))[0]
	f.bear(t, f.entry.CallerAddress(), []form{unread}, []form{unread, stopping})
}

// promptHead returns the head of a prompt at the gateway without the empty line at its end.
func promptHead(parts string) string {
	return callerHead("POST", "/seat/1") + "X-Model: m\r\nX-Token-Usage: 300,3\r\nX-Prompt-Prefix: " + parts + "\r\n"
}

// Guards against an entry that takes many times the size of a head for the parts of a prompt that it names.
func TestGatewayBearsPromptsWithManyParts(t *testing.T) {
	f := startFleet(t)
	head := promptHead(strings.Repeat("a:1,", 14000) + "b:1")
	f.bear(t, f.entry.CallerAddress(), []form{{clients: 1000, head: head + "Content-Length: 100\r\n\r\nabc"}})
}

// Guards against an entry that remembers the parts of complete prompts, however long their ids are.
func TestGatewayForgetsLongIDs(t *testing.T) {
	const callers, prompts, idBytes = 20, 100, 60_000

	f := startFleet(t)
	w := watchProcess(f.entry.PID(), f.entry.IP)

	var all sync.WaitGroup

	for i := range callers {
		all.Go(func() {
			for n := range prompts {
				head := promptHead(strings.Repeat("f", idBytes) + fmt.Sprintf("%04x%04x:250,%x:50", i, n, n))
				roundTrip(f.entry.CallerAddress(), head+"Content-Length: 0\r\nConnection: close\r\n\r\n")
			}
		})
	}

	all.Wait()
	f.servesInCalm(t)
	w.check(t, gatewayBounds)
}

// roundTrip sends a request and reads until its connection is closed.
func roundTrip(address, text string) {
	nc, err := net.DialTimeout("tcp", address, sendTimeout)
	if err != nil {
		return
	}

	defer func() { _ = nc.Close() }()

	if write(nc, text) == nil {
		discard(nc)
	}
}

// Guards against an entry whose log lines take its memory while nobody reads them.
func TestGatewayBearsLongIDsInItsLog(t *testing.T) {
	const callers, requests, idBytes = 20, 200, 60_000

	f := startFleet(t, func(cfg *standin.ProcessConfig) { cfg.PipesOutput = true })
	w := watchProcess(f.entry.PID(), f.entry.IP)

	resume := f.entry.StallOutput()

	var all sync.WaitGroup

	for range callers {
		all.Go(func() {
			for range requests {
				head := strings.Replace(callerHead("GET", "/look/1"), "X-Request-Id: 77", "X-Request-Id: "+strings.Repeat("7", idBytes), 1)
				roundTrip(f.entry.CallerAddress(), head+"Connection: close\r\n\r\n")
			}
		})
	}

	all.Wait()
	resume()
	f.servesInCalm(t)
	w.check(t, gatewayBounds)
}

// Guards against an entry whose memory for long responses is taken by a caller that doesn't read its own, so that those
// of others fail.
func TestGatewayServesLongResponsesBesideUnreadOnes(t *testing.T) {
	f := startFleet(t)
	c := startCrowd(f.entry.CallerAddress(), form{clients: 1, head: callerHead("GET", "/huge/1") + "\r\n"})
	time.Sleep(2 * time.Second) // for the service's responses to arrive
	f.serves(t, "a long response beside the crowd", "GET", "/large/1", "")
	c.end()
}

// Guards against an entry that bears one crowd and keeps memory or connections that the next one needs.
func TestGatewayBearsMixedCrowdsInSeries(t *testing.T) {
	f := startFleet(t)
	all := mixed(append(bodyForms(callerHead("POST", "/look/1")), headForms()...))
	f.bear(t, f.entry.CallerAddress(), all, all, all)
}

// Guards against an entry that runs out of memory or descriptors by what is sent to its other ports.
func TestGatewayBearsCrowdsAtOtherPorts(t *testing.T) {
	for _, port := range []struct{ name, address string }{
		{"other processes", ":18000"}, {"readiness", ":18002"}, {"metrics", ":17710"},
	} {
		t.Run(port.name, func(t *testing.T) {
			f := startFleet(t)
			message := "POST /crash HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
			large := form{clients: 20, head: message, piece: chunks(mebibyte, 1), pieces: 15}
			f.bear(t, f.entry.IP+port.address, append(headForms(), large))
		})
	}
}

// Guards against a side process that runs out of memory or descriptors by connections to its port.
func TestLoaderBearsConnections(t *testing.T) {
	f := startFleet(t)
	w := watchProcess(f.loader.PID(), f.loader.IP)
	c := startCrowd(f.loader.IP+":17702", headForms()...)
	f.servesBeside(t)
	c.end()
	f.servesInCalm(t)
	w.check(t, gatewayBounds)
}

// Guards against a planned stop that lasts until its grace time is over, as it waits for bodies that never come.
func TestGatewayStopsBesideBodiesThatStopped(t *testing.T) {
	f := startFleet(t)
	head := strings.ReplaceAll(callerHead("POST", "/large/1"), "Ms: 5000", "Ms: 30000")
	c := startCrowd(f.entry.CallerAddress(), form{clients: 20, head: head + "Content-Length: 100\r\n\r\nabc"})

	f.servesBeside(t)
	f.entry.Signal(syscall.SIGTERM)

	if !f.entry.Wait(30 * time.Second) {
		t.Error("got the process still running, want it ended")
	}

	c.end()

	lines, err := os.ReadFile(f.entry.OutputPath())
	if err != nil {
		t.Fatal(err)
	}

	if !strings.Contains(string(lines), `"event":1005,"opened":0,"busy":0,`) {
		t.Error("got connections cut off at the end of the grace time, want none open")
	}
}
