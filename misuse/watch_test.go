package misuse

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// bounds are the limits of a process under test, as stated in its settings.
type bounds struct {
	memoryMB    int
	descriptors int
}

// watch measures a process until it is stopped.
type watch struct {
	pid   int
	ip    string // local address of the process's sockets; empty if other processes use it too
	stop  chan struct{}
	ended sync.WaitGroup

	mu          sync.Mutex
	memoryKB    int // largest sum of resident memory and bytes received on sockets and not read
	unreadKB    int // largest number of bytes received on sockets and not read
	descriptors int // largest number of open descriptors
	gone        bool
}

// watchProcess begins to measure a process.
func watchProcess(pid int, ip string) *watch {
	w := &watch{pid: pid, ip: ip, stop: make(chan struct{})}

	w.ended.Go(func() {
		tick := time.NewTicker(10 * time.Millisecond)
		defer tick.Stop()

		for {
			w.measure()

			select {
			case <-tick.C:
			case <-w.stop:
				return
			}
		}
	})

	return w
}

// check ends the measurement and compares it with the limits.
func (w *watch) check(t *testing.T, limits bounds) {
	t.Helper()
	close(w.stop)
	w.ended.Wait()
	w.measure()

	peak, gone := peakKB(w.pid)
	memoryMB := (max(w.memoryKB, peak) + 1023) / 1024

	if w.gone || gone {
		t.Error("got the process ended, want it alive")
	}

	if memoryMB > limits.memoryMB {
		t.Errorf("got %d MB of memory at the peak, want at most %d", memoryMB, limits.memoryMB)
	}

	if w.descriptors > limits.descriptors {
		t.Errorf("got %d open descriptors at the peak, want at most %d", w.descriptors, limits.descriptors)
	}

	t.Logf("peak: %d MB (resident %d MB, unread %d MB), %d descriptors", memoryMB, peak/1024, w.unreadKB/1024, w.descriptors)
}

// measure adds one measurement.
func (w *watch) measure() {
	residentKB, gone := statusKB(w.pid, "VmRSS:")
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.pid))

	w.mu.Lock()
	defer w.mu.Unlock()

	w.gone = w.gone || gone || err != nil
	unreadKB := unreadBytes(w.ip) / 1024
	w.memoryKB = max(w.memoryKB, residentKB+unreadKB)
	w.unreadKB = max(w.unreadKB, unreadKB)
	w.descriptors = max(w.descriptors, len(open))
}

// peakKB returns the peak of a process's resident memory, and whether the process is gone.
func peakKB(pid int) (kb int, gone bool) { return statusKB(pid, "VmHWM:") }

// statusKB returns a field of a process's status, in kB, and whether the process is gone.
func statusKB(pid int, field string) (kb int, gone bool) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, true
	}

	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, field); ok {
			kb, err = strconv.Atoi(strings.Fields(rest)[0])

			return kb, err != nil
		}
	}

	return 0, true // a process that has ended has no memory
}

// unreadBytes returns the number of bytes that were received on TCP connections of a local address and
// not read.
func unreadBytes(ip string) int {
	b, err := os.ReadFile("/proc/net/tcp")
	if ip == "" || err != nil {
		return 0
	}

	local := make([]byte, 4)
	binary.LittleEndian.PutUint32(local, binary.BigEndian.Uint32(net.ParseIP(ip).To4()))

	want := strings.ToUpper(hex.EncodeToString(local)) + ":"
	sum := 0

	for s := bufio.NewScanner(bytes.NewReader(b)); s.Scan(); {
		const localField, stateField, queueField, listening = 1, 3, 4, "0A"

		f := strings.Fields(s.Text())
		if len(f) <= queueField || !strings.HasPrefix(f[localField], want) || f[stateField] == listening {
			continue
		}

		_, receive, _ := strings.Cut(f[queueField], ":")

		n, err := strconv.ParseInt(receive, 16, 64)
		if err == nil {
			sum += int(n)
		}
	}

	return sum
}
