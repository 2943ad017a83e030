//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Ports of a process; each process has a loopback address of its own.
const (
	frontPort     = 28005
	readyPort     = 28002
	controlPort   = 28000
	firstInternal = 27700
	lastInternal  = 27715
)

// process is a program of the project, started with its command of the deploy file.
type process struct {
	name, ip, settings, output string
	args                       []string
	rec                        *record

	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
}

// commands returns the commands of the deploy file by role.
func commands(root string) (map[string][]string, error) {
	var d struct {
		Roles map[string]struct {
			Run string `toml:"run"`
		} `toml:"roles"`
	}

	b, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}

	if err := toml.Unmarshal(b, &d); err != nil {
		return nil, err
	}

	all := make(map[string][]string)

	for name, r := range d.Roles {
		all[name] = strings.Fields(r.Run)
		all[name][0] = filepath.Join(root, all[name][0])
	}

	return all, nil
}

// freeSubnet returns the first two bytes of loopback addresses that nobody uses, and a listener that keeps it so.
func freeSubnet() (string, net.Listener, error) {
	for n := 60 + os.Getpid()%150; n < 255; n++ {
		prefix := fmt.Sprintf("127.%d", n)

		lock, err := net.Listen("tcp", prefix+".255.1:27600")
		if err != nil {
			continue
		}

		probe, err := net.Listen("tcp", fmt.Sprintf("%s.1.1:%d", prefix, frontPort))
		if err == nil {
			return prefix, lock, probe.Close()
		}

		_ = lock.Close()
	}

	return "", nil, errors.New("no free loopback addresses")
}

// settingsOf returns the settings of a process in a small deployment, after the sheet of ctla-shuttle.
func settingsOf(name, class, ip, zone string, zones, seeds []string, provider string, bootstrap bool) map[string]any {
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }

	regions := make(map[string]string)
	for _, z := range zones {
		regions[z] = "bc-south"
	}

	s := map[string]any{
		"nodeName": name, "role": "my-" + class, "machineClass": class, "ip": ip, "zone": zone, "region": "bc-south", "zones": regions,
		"internalPorts": []int{firstInternal, lastInternal}, "seeds": seeds, "bootstrap": bootstrap, "lossCounts": false, "dataDir": nil,
		"discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "platform"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "stableMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
			"configDeadlineMs": 2000, "downgradeSlackMs": 250, "skewMaxMs": 5000, "failClosed": false, "revokeMs": 5000,
			"retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetSlack": 52, "recoveryS": 12, "transitMs": 120, "reuseWindowS": 20,
			"requireFencing": false, "leaseMs": 3000, "thawSlackMs": 300, "versionMs": 8000, "versionAllMs": 11000,
		},
		"provider": map[string]any{
			"address": provider, "form": "log", "writesPerS": 400, "readsPerS": 2000, "parts": 12, "appendMs": 2.0, "partMbS": 20.0,
			"readMbS": 80.0, "recordBytes": 262144, "callBytes": 2097152, "keep_s": 300, "partMb": 200, "ttlMinMs": 1000,
		},
	}

	if class == "edge" {
		s["serves"] = []string{"edge", "control_plane"}
		s["listen"] = map[string]string{"front": at(frontPort), "ready": at(readyPort), "control": at(controlPort)}
		s["limits"] = map[string]any{"cpuShare": 0.304, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0}
	} else {
		s["serves"] = []string{"side"}
		s["listen"] = map[string]string{}
		s["limits"] = map[string]any{"cpuShare": 0.32, "cores": 1, "memoryMb": 216, "maxFds": 4096, "linkMbps": 2000.0, "diskMb": 0}
	}

	return s
}

// start writes the settings and starts the process.
func (p *process) start(settings map[string]any) error {
	b, err := json.Marshal(settings)
	if err != nil {
		return err
	}

	if err := os.WriteFile(p.settings, b, 0o600); err != nil {
		return err
	}

	out, err := os.OpenFile(p.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}

	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Env = []string{"BORAGEHUB_SETTINGS=" + p.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = out, out

	if err := cmd.Start(); err != nil {
		return errors.Join(err, out.Close())
	}

	done := make(chan struct{})
	p.cmd, p.done = cmd, done

	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}()

	p.rec.line("process %s starts (pid %d)", p.name, cmd.Process.Pid)

	return nil
}

// stop sends SIGTERM and, after the grace time, SIGKILL. It returns when the process has ended.
func (p *process) stop(grace time.Duration) {
	p.rec.line("process %s gets SIGTERM", p.name)
	_ = p.cmd.Process.Signal(syscall.SIGTERM)

	select {
	case <-p.done:
	case <-time.After(grace):
		p.kill()
	}

	p.rec.line("process %s has ended", p.name)
}

// kill ends the process at once.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}
