package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run. Times are in seconds since its start.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	w    *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}

	return &record{start: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

// add writes one line.
func (r *record) add(format string, args ...any) {
	r.addAt(time.Now(), format, args...)
}

// addAt writes one line about something that happened at a time.
func (r *record) addAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()

	//nolint:errcheck,gosec // close returns the error
	fmt.Fprintf(r.w, "%9.3f  %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// seconds returns a time as it stands in the record.
func (r *record) seconds(at time.Time) float64 { return at.Sub(r.start).Seconds() }

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()

	if err := r.w.Flush(); err != nil {
		return err
	}

	return r.file.Close()
}
