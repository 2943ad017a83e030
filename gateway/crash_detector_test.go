package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"boragehub/quarantine"
)

// A request crashes each engine that runs it, and its caller retries it at any entry. Each entry
// loses only that one connection, while others lose those of requests that merely ran beside it.
// Guards against entries that don't share reports: each would let it crash three engines, and
// engines would go down one after the other.
func TestEntriesShareCrashReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries = 4

		all := make([]*crashDetector, entries)
		trackers := make([]*quarantine.Tracker, entries)

		for i := range all {
			trackers[i] = quarantine.NewTracker(quarantine.TrackerConfig{CrashLimit: 3})
			all[i] = newCrashDetector(crashDetectorConfig{Requests: trackers[i], Parts: newParts(), Log: logr.Discard(), Report: func(c quarantine.Crash) []quarantine.Acquittal {
				for j, other := range all {
					if j != i {
						other.addReported(time.Now(), c)
					}
				}

				return nil
			}})
		}

		poison := quarantine.FingerprintOf("ferry", []byte("poison"))

		for crash, target := range []string{"t1", "t2", "t3"} {
			if _, err := trackers[3].Check(time.Now(), poison); err != nil {
				t.Fatalf("after %d crashes: got request quarantined", crash)
			}

			all[crash].add(time.Now(), startOf(target, 0), crashCandidate{fingerprint: poison})

			beside := all[(crash+1)%entries]
			beside.add(time.Now(), startOf(target, 0), crashCandidate{fingerprint: quarantine.FingerprintOf("ferry", []byte{1, byte(crash)})})
			beside.add(time.Now(), startOf(target, 0), crashCandidate{fingerprint: quarantine.FingerprintOf("ferry", []byte{2, byte(crash)})})

			time.Sleep(2 * time.Second)
			synctest.Wait()
		}

		for i, tracker := range trackers {
			if _, err := tracker.Check(time.Now(), poison); err == nil {
				t.Errorf("entry %d: got request sent to a fourth engine, want it quarantined", i)
			}

			if _, err := tracker.Check(time.Now(), quarantine.FingerprintOf("ferry", []byte{1, 0})); err != nil {
				t.Errorf("entry %d: got a request quarantined that ran beside it once", i)
			}
		}
	})
}

// Guards against reporting a crash when single connections break, as they do without one.
func TestSingleBrokenConnectionIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reports := 0
		d := newCrashDetector(crashDetectorConfig{Requests: quarantine.NewTracker(quarantine.TrackerConfig{}), Parts: newParts(), Log: logr.Discard(), Report: func(quarantine.Crash) []quarantine.Acquittal { reports++; return nil }})

		for i := range 5 {
			d.add(time.Now(), startOf("t1", 0), crashCandidate{fingerprint: quarantine.FingerprintOf("ferry", []byte{byte(i)})})
			time.Sleep(crashWindow)
		}

		synctest.Wait()

		if reports != 0 {
			t.Errorf("got %d reports, want none", reports)
		}
	})
}
