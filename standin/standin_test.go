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

// cut is the status of a call that got no answer.
const cut = -1

// bench calls one stand-in.
type bench struct {
	t      *testing.T
	url    string
	client *http.Client
}

func start(t *testing.T, h http.Handler) bench {
	t.Helper()

	ts := httptest.NewServer(h)
	t.Cleanup(ts.Close)

	return bench{t: t, url: ts.URL, client: ts.Client()}
}

// call returns the status, or cut, and the body.
func (b bench) call(ctx context.Context, method, path, body string) (int, string) {
	b.t.Helper()

	r, err := http.NewRequestWithContext(ctx, method, b.url+path, strings.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
	}

	r.Header.Set("Accept", "application/json")

	w, err := b.client.Do(r)
	if err != nil {
		return cut, ""
	}
	defer func() { _ = w.Body.Close() }()

	got, err := io.ReadAll(w.Body)
	if err != nil {
		return cut, string(got)
	}

	return w.StatusCode, string(got)
}

// step is one call and what is wanted of its answer.
type step struct {
	method, path, body string
	status             int
	holds              string
}

func (b bench) walk(steps []step) {
	b.t.Helper()

	for i, s := range steps {
		status, body := b.call(b.t.Context(), s.method, s.path, s.body)
		if status != s.status || !strings.Contains(body, s.holds) {
			b.t.Errorf("step %d %s %s: got %d %s, want %d with %s", i, s.method, s.path, status, body, s.status, s.holds)
		}
	}
}

func TestSwitches(t *testing.T) {
	start(t, logservice.New(logservice.Config{}).Handler()).walk([]step{
		{"GET", "/healthz", "", 200, `"ok"`},
		{"POST", "/faults", `{"delay_ms":1}`, 200, `"delay_ms":1`},
		{"POST", "/faults", `{"down":true,"silent":true}`, 200, `"silent":false,"down":true,"delay_ms":1`},
		{"POST", "/faults", `{"no_such":1}`, 400, "no_such"},
	})
}

func TestLogOffsets(t *testing.T) {
	b := start(t, logservice.New(logservice.Config{}).Handler())
	b.walk([]step{
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

	large, _ := json.Marshal(map[string]any{"records": [][]byte{make([]byte, logservice.MaxAppend+1)}})
	b.walk([]step{{"POST", "/streams/claims/records", string(large), 413, ""}})
}

// A reader waits for the next record and another process appends it. The reader
// must get it at once and not when its wait ends.
func TestLogWakesAReader(t *testing.T) {
	b := start(t, logservice.New(logservice.Config{}).Handler())
	got := make(chan string)

	go func() {
		_, body := b.call(t.Context(), "GET", "/streams/s/records?from=1&wait_ms=60000", "")
		got <- body
	}()

	b.walk([]step{{"POST", "/streams/s/records", `{"records":["YQ=="]}`, 200, ""}})

	if got, want := <-got, `"offset":1`; !strings.Contains(got, want) {
		t.Errorf("got %s, want it with %s", got, want)
	}
}

// The log service takes an append and the answer gets lost. The writer sees a
// broken connection, and the record stands all the same.
func TestLogLosesAnswersAfterTheEffect(t *testing.T) {
	start(t, logservice.New(logservice.Config{}).Handler()).walk([]step{
		{"POST", "/faults", `{"lose_answers":1}`, 200, ""},
		{"POST", "/streams/s/records", `{"records":["YQ=="]}`, cut, ""},
		{"POST", "/faults", `{"lose_answers":0,"down":true}`, 200, ""},
		{"POST", "/streams/s/records", `{"records":["Yg=="]}`, 503, ""},
		{"POST", "/faults", `{"down":false,"appends_per_second":0.001}`, 200, ""},
		{"GET", "/streams/s/records", "", 200, `"next_offset":2`},
		{"POST", "/streams/s/records", `{"records":["Yg=="]}`, 200, ""},
		{"POST", "/streams/s/records", `{"records":["Yw=="]}`, 429, ""},
	})
}

// A store fills up, and what it gives back is cut or altered without its saying
// so. Whoever reads a copy has to notice that by the copy itself.
func TestStoreFaults(t *testing.T) {
	b := start(t, vault.New(vault.Config{TotalBytes: 10}).Handler())
	b.walk([]step{
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

// A store cuts a copy short, and its answer looks whole.
func TestStoreCuts(t *testing.T) {
	b := start(t, vault.New(vault.Config{}).Handler())
	b.walk([]step{{"PUT", "/objects/a", "0123456", 201, ""}, {"POST", "/faults", `{"cut_bytes":3}`, 200, ""}})

	status, body := b.call(t.Context(), "GET", "/objects/a", "")
	if got, want := body, "012"; got != want || status != http.StatusOK {
		t.Errorf("got %d %q, want 200 %q", status, got, want)
	}
}

// A store is dead: its caller waits until it gives up.
func TestDeadStore(t *testing.T) {
	b := start(t, vault.New(vault.Config{Faults: vault.Faults{Dead: true}}).Handler())
	ctx, cancel := context.WithCancel(t.Context())
	got := make(chan int)

	go func() {
		status, _ := b.call(ctx, "GET", "/space", "")
		got <- status
	}()

	b.walk([]step{{"GET", "/faults", "", 200, `"dead":true`}})
	cancel()

	if got, want := <-got, cut; got != want {
		t.Errorf("got %d, want %d", got, want)
	}
}

// A booking is made and its answer is lost, or the service fails before it. Only
// the list of runs can tell the two apart.
func TestPlainCountsWhatItRan(t *testing.T) {
	s := plain.New(plain.Config{Service: "booking-api", VM: "booking-1"})
	start(t, s.Handler()).walk([]step{
		{"POST", "/bookings?seat=4", "one", 200, `"run":1,"method":"POST","path":"/bookings","body":"one"`},
		{"POST", "/faults", `{"fail_status":503}`, 200, ""},
		{"POST", "/bookings", "two", 503, ""},
		{"POST", "/faults", `{"fail_status":0,"drop_answer":true}`, 200, ""},
		{"POST", "/bookings", "three", cut, ""},
		{"GET", "/load", "", 200, `"running":0,"waiting":0`},
	})

	if got, want := len(s.Runs()), 2; got != want {
		t.Errorf("got %d runs, want %d", got, want)
	}
}

func TestVMListLags(t *testing.T) {
	s := vmlist.New(vmlist.Config{VMs: []vmlist.VM{{VM: "engine-1", State: vmlist.Live}}})
	start(t, s.Handler()).walk([]step{
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
	b := start(t, weightstore.New(weightstore.Config{Bytes: 100, LoadBytesPerSecond: 1 << 40}).Handler())
	b.walk([]step{
		{"GET", "/weights/casemodel/v1", "", 200, ""},
		{"POST", "/faults", `{"max_concurrent":-1}`, 200, ""},
		{"GET", "/weights/casemodel/v1", "", 429, ""},
		{"POST", "/faults", `{"down":true}`, 200, ""},
		{"GET", "/weights/casemodel/v1", "", 503, ""},
	})
}

// Something between two ends loses track of an open connection. The one end
// waits for an answer that never comes, while a new connection works.
func TestSilentConnection(t *testing.T) {
	var lc net.ListenConfig

	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)

	go func() { served <- vault.New(vault.Config{}).ServeListener(ctx, l) }()

	old := bench{t: t, url: "http://" + l.Addr().String(), client: &http.Client{Transport: &http.Transport{}}}
	fresh := old
	fresh.client = &http.Client{Transport: &http.Transport{}}

	old.walk([]step{{"GET", "/space", "", 200, ""}})
	fresh.walk([]step{{"POST", "/faults", `{"silent":true}`, 200, ""}})

	limit, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()

	r, _ := http.NewRequestWithContext(limit, http.MethodGet, old.url+"/space", bytes.NewReader(nil))

	w, err := old.client.Do(r)
	if err == nil {
		_ = w.Body.Close()
	}

	if got, want := err, context.DeadlineExceeded; !errors.Is(got, want) {
		t.Errorf("old connection: got %v, want %v", got, want)
	}

	fresh.walk([]step{{"GET", "/space", "", 200, ""}})
	fresh.client.CloseIdleConnections()
	stop()

	if got := <-served; got != nil {
		t.Errorf("stop: got %v, want nil", got)
	}
}
