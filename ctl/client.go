package ctl

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"boragehub/failure"
	"boragehub/message"
	"boragehub/operator"
	"boragehub/peer"
	"boragehub/vm"
)

// Requester sends a request to a process and returns its response; *peer.Dialer is one.
type Requester interface {
	Call(ctx context.Context, a peer.Address, m message.Message) (message.Message, error)
}

// Client reads views from the processes of a fleet. It connects to the addresses, and by the
// protocol, that the processes use among themselves.
type Client struct {
	// Peers sends the requests, with an operator's certificate.
	Peers Requester
	// List is the platform's list of VMs.
	List *vm.List
	// Timeout bounds each request; zero is DefaultRequestTimeout.
	Timeout time.Duration
}

// Defaults of Client.
const (
	// DefaultRequestTimeout bounds one request.
	DefaultRequestTimeout = 3 * time.Second
	// maxConcurrentRequests limits the requests in flight of one ViewAll.
	maxConcurrentRequests = 32
)

// ViewResult is the view of one process, or why there is none.
type ViewResult struct {
	// VM is the process's VM.
	VM vm.VM
	// JSON is the view; nil if Err is set.
	JSON []byte
	// Err is the error of the request; nil if it succeeded.
	Err error
}

// View returns a view of one process as JSON. What query means depends on the view.
func (r Client) View(ctx context.Context, m vm.VM, name, query string) ([]byte, error) {
	timeout := r.Timeout
	if timeout <= 0 {
		timeout = DefaultRequestTimeout
	}

	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	response, err := r.Peers.Call(ctx, peer.Address{VM: m.Name, Addr: m.SideAddress}, message.DocumentRequest{Name: name, Query: query})
	if err != nil {
		return nil, err
	}

	v, err := message.Expect[message.Document](response)

	return v.JSON, err
}

// ViewAll requests a view from the processes of all VMs of the given kinds, or of any kind when
// none is given, and returns the results in the order of the VM list. VMs without a process of
// the system are left out.
func (r Client) ViewAll(ctx context.Context, name, query string, kinds ...vm.Kind) []ViewResult {
	var vms []vm.VM

	for _, m := range r.List.All() {
		if m.SideAddress != "" && (len(kinds) == 0 || slices.Contains(kinds, m.Kind)) {
			vms = append(vms, m)
		}
	}

	results := make([]ViewResult, len(vms))
	slots := make(chan struct{}, maxConcurrentRequests)

	var all sync.WaitGroup

	for i, m := range vms {
		slots <- struct{}{}

		all.Go(func() {
			b, err := r.View(ctx, m, name, query)
			results[i] = ViewResult{VM: m, JSON: b, Err: err}

			<-slots
		})
	}

	all.Wait()

	return results
}

// Versions implements Fleet by the settings view of each process.
func (r Client) Versions(ctx context.Context) ([]ProcessVersion, error) {
	results := r.ViewAll(ctx, "settings", "")
	if len(results) == 0 {
		return nil, failure.New(failure.Unavailable, "the platform lists no process of the system")
	}

	versions := make([]ProcessVersion, len(results))

	for i, a := range results {
		versions[i] = ProcessVersion{VM: a.VM.Name}

		var d operator.SettingsDocument

		err := a.Err
		if err == nil {
			err = json.Unmarshal(a.JSON, &d)
		}

		if err != nil {
			versions[i].Fault = err.Error()

			continue
		}

		versions[i].Version = d.Version
	}

	return versions, nil
}
