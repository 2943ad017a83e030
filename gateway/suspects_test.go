package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"boragehub/quarantine"
)

// A request makes each engine crash that runs it, and its caller sends it again to
// any entry. Each entry loses only that one connection, while the others lose those of
// the requests that merely ran beside it. Unless they tell each other, every entry lets
// it crash three engines, and one notices that engines go down one after the other.
func TestEntriesShareWhatCrashedTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries = 4

		all := make([]*suspects, entries)
		trackers := make([]*quarantine.Tracker, entries)

		for i := range all {
			trackers[i] = quarantine.NewTracker(quarantine.TrackerConfig{Crashes: 3})
			all[i] = newSuspects(trackers[i], func(c quarantine.Crash) {
				for j, other := range all {
					if j != i {
						other.heard(time.Now(), c)
					}
				}
			}, logr.Discard())
		}

		poison := quarantine.Of("ferry", []byte("poison"))

		for crash, target := range []string{"t1", "t2", "t3"} {
			if _, err := trackers[3].Check(time.Now(), poison); err != nil {
				t.Fatalf("after %d crashes: got it held off", crash)
			}

			all[crash].add(time.Now(), target, poison)

			beside := all[(crash+1)%entries]
			beside.add(time.Now(), target, quarantine.Of("ferry", []byte{1, byte(crash)}))
			beside.add(time.Now(), target, quarantine.Of("ferry", []byte{2, byte(crash)}))

			time.Sleep(2 * time.Second)
			synctest.Wait()
		}

		for i, tracker := range trackers {
			if _, err := tracker.Check(time.Now(), poison); err == nil {
				t.Errorf("entry %d: got it sent to a fourth engine, want it held off", i)
			}

			if _, err := tracker.Check(time.Now(), quarantine.Of("ferry", []byte{1, 0})); err != nil {
				t.Errorf("entry %d: got a request held off that ran beside it once", i)
			}
		}
	})
}

// A single connection breaks now and then, by no crash. Nobody is told of that.
func TestSingleConnectionIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		told := 0
		s := newSuspects(quarantine.NewTracker(quarantine.TrackerConfig{}), func(quarantine.Crash) { told++ }, logr.Discard())

		for i := range 5 {
			s.add(time.Now(), "t1", quarantine.Of("ferry", []byte{byte(i)}))
			time.Sleep(sameCrash)
		}

		synctest.Wait()

		if told != 0 {
			t.Errorf("got it told %d times, want never", told)
		}
	})
}
