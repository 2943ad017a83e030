package standin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"boragehub/standin/logservice"
	"boragehub/standin/plain"
	"boragehub/standin/vault"
	"boragehub/standin/vmlist"
	"boragehub/standin/weightstore"
)

// noResponse is the status of a request without a complete response.
const noResponse = -1

// client sends requests to one stand-in.
type client struct {
	t      *testing.T
	url    string
	client *http.Client
}

func start(t *testing.T, h http.Handler) client {
	t.Helper()

	ts := httptest.NewServer(h)
	t.Cleanup(ts.Close)

	return client{t: t, url: ts.URL, client: ts.Client()}
}

// call sends a request and returns the status, or noResponse, and the body.
func (c client) call(ctx context.Context, method, path, body string) (int, string) {
	c.t.Helper()

	r, err := http.NewRequestWithContext(ctx, method, c.url+path, strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}

	r.Header.Set("Accept", "application/json")

	w, err := c.client.Do(r)
	if err != nil {
		return noResponse, ""
	}
	defer func() { _ = w.Body.Close() }()

	got, err := io.ReadAll(w.Body)
	if err != nil {
		return noResponse, string(got)
	}

	return w.StatusCode, string(got)
}

// step is one request, the wanted status and a text that the body must contain.
type step struct {
	method, path, body string
	status             int
	contains           string
}

func (c client) runSteps(steps []step) {
	c.t.Helper()

	for i, s := range steps {
		status, body := c.call(c.t.Context(), s.method, s.path, s.body)
		if status != s.status || !strings.Contains(body, s.contains) {
			c.t.Errorf("step %d %s %s: got %d %s, want %d containing %s", i, s.method, s.path, status, body, s.status, s.contains)
		}
	}
}

func TestFaultSettings(t *testing.T) {
	start(t, logservice.New(logservice.Config{}).Handler()).runSteps([]step{
		{"GET", "/healthz", "", 200, `"ok"`},
		{"POST", "/faults", `{"delay_ms":1}`, 200, `"delay_ms":1`},
		{"POST", "/faults", `{"down":true,"silent":true}`, 200, `"silent":false,"down":true,"delay_ms":1`},
		{"POST", "/faults", `{"no_such":1}`, 400, "no_such"},
	})
}

func TestLogOffsets(t *testing.T) {
	c := start(t, logservice.New(logservice.Config{}).Handler())
	c.runSteps([]step{
		{"GET", "/streams/claims/records?from=1", "", 200, `"first_offset":1,"next_offset":1,"records":[]`},
		{"POST", "/streams/claims/records", `{"records":["YQ==","Yg=="]}`, 200, `{"offset":1}`},
		{"POST", "/streams/claims/records", `{"records":["Yw=="]}`, 200, `{"offset":3}`},
		{"POST", "/streams/other/records", `{"records":["Yw=="]}`, 200, `{"offset":1}`},
		{"GET", "/streams/claims/records?from=2&max=1", "", 200, `"next_offset":4,"records":[{"offset":2,`},
		{"GET", "/streams", "", 200, `{"name":"claims","first_offset":1,"next_offset":4}`},
		{"POST", "/streams/claims/records", `{"records":[]}`, 400, ""},
		{"POST", "/faults", `{"retain_records":1}`, 200, ""},
		{"GET", "/streams/claims/records?from=2", "", 410, `"first_offset":3`},
	})

	large, _ := json.Marshal(map[string]any{"records": [][]byte{make([]byte, logservice.MaxAppendBytes+1)}})
	c.runSteps([]step{{"POST", "/streams/claims/records", string(large), 413, ""}})
}

// A reader long-polls for the next record while another client appends it. The response
// must come with the append, not when the wait time ends.
func TestLogLongPollReturnsNewRecord(t *testing.T) {
	c := start(t, logservice.New(logservice.Config{}).Handler())
	got := make(chan string)

	go func() {
		_, body := c.call(t.Context(), "GET", "/streams/s/records?from=1&wait_ms=60000", "")
		got <- body
	}()

	c.runSteps([]step{{"POST", "/streams/s/records", `{"records":["YQ=="]}`, 200, ""}})

	if got, want := <-got, `"offset":1`; !strings.Contains(got, want) {
		t.Errorf("got %s, want it to contain %s", got, want)
	}
}

// The log service applies an append and its response is lost: the writer sees a broken
// connection, but the record is stored.
func TestLogLosesResponseToAppliedAppend(t *testing.T) {
	start(t, logservice.New(logservice.Config{}).Handler()).runSteps([]step{
		{"POST", "/faults", `{"lose_answers":1}`, 200, ""},
		{"POST", "/streams/s/records", `{"records":["YQ=="]}`, noResponse, ""},
		{"POST", "/faults", `{"lose_answers":0,"down":true}`, 200, ""},
		{"POST", "/streams/s/records", `{"records":["Yg=="]}`, 503, ""},
		{"POST", "/faults", `{"down":false,"appends_per_second":0.001}`, 200, ""},
		{"GET", "/streams/s/records", "", 200, `"next_offset":2`},
		{"POST", "/streams/s/records", `{"records":["Yg=="]}`, 200, ""},
		{"POST", "/streams/s/records", `{"records":["Yw=="]}`, 429, ""},
	})
}

// A store fills up, and it returns altered objects without an error, so that a reader can
// detect the damage only from the object itself.
func TestStoreFaults(t *testing.T) {
	c := start(t, vault.New(vault.Config{TotalBytes: 10}).Handler())
	c.runSteps([]step{
		{"PUT", "/objects/a", "0123456", 201, ""},
		{"PUT", "/objects/b", "0123", 507, ""},
		{"PUT", "/objects/a", "012345678", 201, ""},
		{"GET", "/objects/a", "", 200, "012345678"},
		{"GET", "/objects", "", 200, `{"id":"a","bytes":9}`},
		{"GET", "/space", "", 200, `{"used_bytes":9,"total_bytes":10}`},
		{"POST", "/faults", `{"cut_bytes":3}`, 200, ""},
		{"POST", "/faults", `{"cut_bytes":0,"flip":true}`, 200, ""},
		{"GET", "/objects/a", "", 200, "012355678"},
		{"POST", "/faults", `{"flip":false,"full":true}`, 200, ""},
		{"PUT", "/objects/c", "", 507, ""},
		{"DELETE", "/objects/a", "", 204, ""},
		{"GET", "/objects/a", "", 404, ""},
		{"GET", "/space", "", 200, `{"used_bytes":0,`},
	})
}

// A store truncates an object, and its response looks complete.
func TestStoreTruncatesObject(t *testing.T) {
	c := start(t, vault.New(vault.Config{}).Handler())
	c.runSteps([]step{{"PUT", "/objects/a", "0123456", 201, ""}, {"POST", "/faults", `{"cut_bytes":3}`, 200, ""}})

	status, body := c.call(t.Context(), "GET", "/objects/a", "")
	if got, want := body, "012"; got != want || status != http.StatusOK {
		t.Errorf("got %d %q, want 200 %q", status, got, want)
	}
}

// A request to an unresponsive store waits until its client cancels it.
func TestUnresponsiveStore(t *testing.T) {
	c := start(t, vault.New(vault.Config{Faults: vault.Faults{Unresponsive: true}}).Handler())
	ctx, cancel := context.WithCancel(t.Context())
	got := make(chan int)

	go func() {
		status, _ := c.call(ctx, "GET", "/space", "")
		got <- status
	}()

	c.runSteps([]step{{"GET", "/faults", "", 200, `"dead":true`}})
	cancel()

	if got, want := <-got, noResponse; got != want {
		t.Errorf("got %d, want %d", got, want)
	}
}

// The service fails before it makes a booking, or makes one whose response is lost. Only
// the list of runs tells the two cases apart.
func TestPlainServiceRecordsExecutedRequests(t *testing.T) {
	s := plain.New(plain.Config{Service: "booking-api", VM: "booking-1"})
	start(t, s.Handler()).runSteps([]step{
		{"POST", "/bookings?seat=4", "one", 200, `"run":1,"method":"POST","path":"/bookings","body":"one"`},
		{"POST", "/faults", `{"fail_status":503}`, 200, ""},
		{"POST", "/bookings", "two", 503, ""},
		{"POST", "/faults", `{"fail_status":0,"drop_answer":true}`, 200, ""},
		{"POST", "/bookings", "three", noResponse, ""},
		{"GET", "/load", "", 200, `"running":0,"waiting":0`},
	})

	if got, want := len(s.Runs()), 2; got != want {
		t.Errorf("got %d runs, want %d", got, want)
	}
}

func TestVMListLags(t *testing.T) {
	s := vmlist.New(vmlist.Config{VMs: []vmlist.VM{{VM: "engine-1", State: vmlist.Live}}})
	start(t, s.Handler()).runSteps([]step{
		{"GET", "/vms", "", 200, `"version":1`},
		{"GET", "/vms?after=1", "", 204, ""},
		{"PUT", "/vms/engine-1", `{"state":"leaving"}`, 200, ""},
		{"GET", "/vms?after=1&wait_ms=1000", "", 200, `"state":"leaving"`},
		{"POST", "/faults", `{"lag_ms":3600000}`, 200, ""},
		{"GET", "/vms", "", 200, `"state":"live"`},
		{"DELETE", "/vms/engine-1", "", 204, ""},
		{"POST", "/faults", `{"lag_ms":0}`, 200, ""},
		{"GET", "/vms", "", 200, `"vms":[]`},
		{"POST", "/faults", `{"down":true}`, 200, ""},
		{"GET", "/vms", "", 503, ""},
	})
}

func TestWeightStoreLimitsLoads(t *testing.T) {
	c := start(t, weightstore.New(weightstore.Config{Bytes: 100, LoadBytesPerSecond: 1 << 40}).Handler())
	c.runSteps([]step{
		{"GET", "/weights/casemodel/v1", "", 200, ""},
		{"POST", "/faults", `{"max_concurrent":-1}`, 200, ""},
		{"GET", "/weights/casemodel/v1", "", 429, ""},
		{"POST", "/faults", `{"down":true}`, 200, ""},
		{"GET", "/weights/casemodel/v1", "", 503, ""},
	})
}

// A middlebox loses its state for an open connection: a client on it waits for a response
// that never arrives, while a new connection works.
func TestUnresponsiveConnection(t *testing.T) {
	var lc net.ListenConfig

	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	ctx, stop := context.WithCancel(t.Context())
	serveErr := make(chan error, 1)

	go func() { serveErr <- vault.New(vault.Config{}).ServeListener(ctx, l) }()

	first := client{t: t, url: "http://" + l.Addr().String(), client: &http.Client{Transport: &http.Transport{}}}
	second := first
	second.client = &http.Client{Transport: &http.Transport{}}

	first.runSteps([]step{{"GET", "/space", "", 200, ""}})
	second.runSteps([]step{{"POST", "/faults", `{"silent":true}`, 200, ""}})

	shortCtx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()

	r, _ := http.NewRequestWithContext(shortCtx, http.MethodGet, first.url+"/space", bytes.NewReader(nil))

	w, err := first.client.Do(r)
	if err == nil {
		_ = w.Body.Close()
	}

	if got, want := err, context.DeadlineExceeded; !errors.Is(got, want) {
		t.Errorf("first connection: got %v, want %v", got, want)
	}

	second.runSteps([]step{{"GET", "/space", "", 200, ""}})
	second.client.CloseIdleConnections()
	stop()

	if got := <-serveErr; got != nil {
		t.Errorf("ServeListener after stop: got %v, want nil", got)
	}
}
