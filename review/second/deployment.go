package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"

	"boragehub/platform/standin"
)

// zone is the zone of all machines and targets.
const zone = "yvr-east"

// deployment is what a case runs: the log, and processes and stand-ins that end with it.
type deployment struct {
	deploy     standin.DeployFile
	dir        string // of settings and output of processes
	subnet     *standin.Subnet
	log        *standin.Log
	logAddress string
	machines   []*machine

	mu      sync.Mutex
	closed  bool
	closers []func()
}

// newDeployment starts the log with a configuration.
func newDeployment(c configuration) (*deployment, error) {
	d := &deployment{log: standin.NewLog()}

	running.Lock()
	running.deployment = d
	running.Unlock()

	if err := d.start(c); err != nil {
		d.close()

		return nil, err
	}

	return d, nil
}

// running is the deployment that runs, whose processes end also if this one gets a signal.
var running struct {
	sync.Mutex

	deployment *deployment
}

// closeOnSignal ends everything and this process when it gets a signal to stop.
func closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)

	go func() {
		<-signals

		running.Lock()

		if running.deployment != nil {
			running.deployment.close()
		}

		os.Exit(exitFailed)
	}()
}

func (d *deployment) start(c configuration) error {
	var err error

	if d.deploy, err = standin.LoadDeployFile(filepath.Join("deploy", "system.toml")); err != nil {
		return err
	}

	if d.dir, err = os.MkdirTemp("", "review-second-"); err != nil {
		return err
	}

	d.onClose(func() { _ = os.RemoveAll(d.dir) })

	if d.subnet, err = standin.LockSubnet(); err != nil {
		return err
	}

	d.onClose(func() { _ = d.subnet.Release() })

	address, stop, err := standin.Serve("127.0.0.1:0", d.log)
	if err != nil {
		return err
	}

	d.logAddress = address
	d.onClose(stop)

	return d.publish("config", c)
}

// onClose has a function called at the end, the last one first. After the end it is called at once.
func (d *deployment) onClose(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()

	if d.closed {
		f()

		return
	}

	d.closers = append(d.closers, f)
}

// close ends all that was started.
func (d *deployment) close() {
	d.mu.Lock()
	defer d.mu.Unlock()

	if d.closed {
		return
	}

	d.closed = true

	for _, f := range slices.Backward(d.closers) {
		f()
	}
}

// publish writes a record of the operator.
func (d *deployment) publish(key string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}

	d.log.Put(operatorTopic, key, b)

	return nil
}

// startEntry starts the n-th machine that callers reach, counted from zero, with the log at an address.
func (d *deployment) startEntry(n int, logAddress string) (*machine, error) {
	m := &machine{name: fmt.Sprintf("edge-%d", n+1), ip: d.subnet.IP(standin.EntryAddresses, n), log: logAddress, seeds: d.seeds()}

	return m, d.startMachine(m, "gateway")
}

// startSide starts the n-th machine beside an engine.
func (d *deployment) startSide(n int, e *engine) error {
	return d.startMachine(&machine{
		name: fmt.Sprintf("side-%d", n+1), ip: d.targetIP(n), log: d.logAddress, seeds: d.seeds(),
		engine: e.address(), service: e.service,
	}, "loader")
}

func (d *deployment) startMachine(m *machine, role string) error {
	if err := m.start(d.deploy, role, d.dir); err != nil {
		return errors.Join(err, errors.New(m.name+" did not start"))
	}

	d.onClose(m.kill)
	d.machines = append(d.machines, m)

	return nil
}

// seeds are the control addresses of the first entry.
func (d *deployment) seeds() []string {
	return []string{fmt.Sprintf("%s:%d", d.subnet.IP(standin.EntryAddresses, 0), peerPort)}
}

// targetIP is the address of the n-th machine beside an engine.
func (d *deployment) targetIP(n int) string { return d.subnet.IP(standin.TargetAddresses, n) }
