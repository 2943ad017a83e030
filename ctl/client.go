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

// Asker opens conversations; *peer.Dialer is one.
type Asker interface {
	Ask(ctx context.Context, a peer.Address, m message.Message) (message.Message, error)
}

// Client asks the processes of a fleet for their views, over the same
// connections as they use among themselves.
type Client struct {
	// Asker opens conversations, with an operator's certificate.
	Asker Asker
	// List is the platform's list of VMs.
	List *vm.List
	// Timeout bounds each question; zero is DefaultAskTimeout.
	Timeout time.Duration
}

// Defaults of Client.
const (
	// DefaultAskTimeout bounds a question.
	DefaultAskTimeout = 3 * time.Second
	// askAtOnce is how many processes are asked at the same time.
	askAtOnce = 32
)

// Viewed is one process's answer.
type Viewed struct {
	// VM is the process's VM.
	VM vm.VM
	// JSON is the view; nil with Err.
	JSON []byte
	// Err is why there is no view.
	Err error
}

// View asks one process for a view.
func (r Client) View(ctx context.Context, m vm.VM, name, query string) ([]byte, error) {
	timeout := r.Timeout
	if timeout <= 0 {
		timeout = DefaultAskTimeout
	}

	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	answer, err := r.Asker.Ask(ctx, peer.Address{VM: m.Name, Addr: m.SideAddress}, message.View{Name: name, Query: query})
	if err != nil {
		return nil, err
	}

	v, err := message.Expect[message.Viewed](answer)

	return v.JSON, err
}

// All asks every process of the given kinds, or all when none is given, and
// returns the answers in order of VM.
func (r Client) All(ctx context.Context, name, query string, kinds ...vm.Kind) []Viewed {
	var vms []vm.VM

	for _, m := range r.List.All() {
		if m.SideAddress != "" && (len(kinds) == 0 || slices.Contains(kinds, m.Kind)) {
			vms = append(vms, m)
		}
	}

	answers := make([]Viewed, len(vms))
	room := make(chan struct{}, askAtOnce)

	var all sync.WaitGroup

	for i, m := range vms {
		room <- struct{}{}

		all.Go(func() {
			b, err := r.View(ctx, m, name, query)
			answers[i] = Viewed{VM: m, JSON: b, Err: err}

			<-room
		})
	}

	all.Wait()

	return answers
}

// Versions implements Fleet.
func (r Client) Versions(ctx context.Context) ([]ProcessVersion, error) {
	answers := r.All(ctx, "settings", "")
	if len(answers) == 0 {
		return nil, failure.New(failure.Unavailable, "the platform lists no process of the system")
	}

	versions := make([]ProcessVersion, len(answers))

	for i, a := range answers {
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
