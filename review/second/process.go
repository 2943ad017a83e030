package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"boragehub/platform/standin"
)

// Ports of a process on its loopback address.
const (
	callerPort    = 18005
	readyPort     = 18002
	peerPort      = 18000
	firstInternal = 17700
	lastInternal  = 17715
)

// bounds are those of the small deployments.
type bounds struct {
	DrainMs          int     `json:"drainMs"`
	GraceS           int     `json:"graceS"`
	StableMs         int     `json:"stableMs"`
	LeaseMs          int     `json:"leaseMs"`
	ConfigDeadlineMs int     `json:"configDeadlineMs"`
	RetryBudgetRatio float64 `json:"retryBudgetRatio"`
	BudgetWindowS    int     `json:"budgetWindowS"`
	RetryBudgetSlack int     `json:"retryBudgetSlack"`
	VersionMs        int     `json:"versionMs"`
	RequireFencing   bool    `json:"requireFencing"`
}

func smallBounds() bounds {
	return bounds{
		DrainMs: 2000, GraceS: 8, StableMs: 3000, LeaseMs: 3000, ConfigDeadlineMs: 2000, RetryBudgetRatio: 0.2,
		BudgetWindowS: 10, RetryBudgetSlack: 52, VersionMs: 8000,
	}
}

// machine is a machine of the system with its process.
type machine struct {
	name, ip string
	log      string // address of the platform's log
	seeds    []string
	engine   string // address of the engine that it accompanies; empty for one that callers reach
	service  string // of that engine

	cmd  *exec.Cmd
	done chan struct{}
}

func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// settings returns the settings file of the process.
func (m *machine) settings() ([]byte, error) {
	s := map[string]any{
		"nodeName": m.name, "zone": zone, "ip": m.ip, "region": "bc-south", "zones": map[string]string{zone: "bc-south"},
		"internalPorts": []int{firstInternal, lastInternal}, "seeds": m.seeds, "bootstrap": false, "discovery": "platform", "heartbeatMs": heartbeat.Milliseconds(),
		"limits":    map[string]any{"cpuShare": 0.304, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000},
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "platform"},
		"bounds":    smallBounds(), "provider": map[string]any{"address": m.log, "form": "log", "writesPerS": 400, "readsPerS": 2000},
	}

	if m.engine == "" {
		s["machineClass"], s["serves"] = "edge", []string{"edge", "control_plane"}
		s["listen"] = map[string]string{"front": m.at(callerPort), "ready": m.at(readyPort), "control": m.at(peerPort)}
	} else {
		s["machineClass"], s["serves"] = "side", []string{"side"}
		s["app"], s["service"] = m.engine, m.service
	}

	return json.Marshal(s)
}

// start starts the process of the machine with the command of a role of the deploy file. Its output goes to a file
// in dir.
func (m *machine) start(deploy standin.DeployFile, role, dir string) error {
	settings, err := m.settings()
	if err != nil {
		return err
	}

	path := filepath.Join(dir, m.name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}

	out, err := os.OpenFile(filepath.Join(dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}

	args := strings.Fields(deploy.Roles[role].Run)
	if len(args) == 0 {
		return errors.Join(fmt.Errorf("the deploy file has no role %q", role), out.Close())
	}

	cmd := exec.Command(args[0], args[1:]...) //nolint:gosec,noctx // the command of the deploy file
	cmd.Env = []string{"BORAGEHUB_SETTINGS=" + path, "PATH=" + os.Getenv("PATH")}
	cmd.Stdout, cmd.Stderr = out, out

	if err := cmd.Start(); err != nil {
		return errors.Join(err, out.Close())
	}

	done := make(chan struct{})
	m.cmd, m.done = cmd, done

	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}()

	return nil
}

// killAsync ends the process.
func (m *machine) killAsync() { _ = m.cmd.Process.Signal(syscall.SIGKILL) }

// kill ends the process and waits for its end.
func (m *machine) kill() {
	if m.cmd == nil {
		return
	}

	_ = m.cmd.Process.Signal(syscall.SIGKILL)
	<-m.done
}

// awaitReady waits until the machine says that callers may be sent there.
func (m *machine) awaitReady() error {
	c := http.Client{Timeout: time.Second}

	for range 100 {
		resp, err := c.Get("http://" + m.at(readyPort) + "/readyz") //nolint:noctx // the client has a timeout
		if err == nil {
			_ = resp.Body.Close()

			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}

		time.Sleep(100 * time.Millisecond)
	}

	return fmt.Errorf("%s is not ready after 10 s", m.name)
}
