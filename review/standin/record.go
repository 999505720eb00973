//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, and remembers what the checks need.
type record struct {
	mu       sync.Mutex
	began    time.Time
	out      *bufio.Writer
	file     *os.File
	sent     map[flowKey][]time.Time // when the copies of a flow's opening packet were sent
	openedAt map[flowKey]time.Time   // when a server had the end of the handshake
	holder   map[flowKey]string      // the server that had it
	runs     map[string][]string     // servers that began to work on an attempt
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		began: time.Now(), out: bufio.NewWriter(f), file: f, sent: map[flowKey][]time.Time{},
		openedAt: map[flowKey]time.Time{}, holder: map[flowKey]string{}, runs: map[string][]string{},
	}, nil
}

// line writes a line with the seconds since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *record) write(format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line and prints it.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// opening notes that a copy of a flow's opening packet was sent.
func (r *record) opening(k flowKey, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[k] = append(r.sent[k], at)
}

// sentAt returns when a copy of a flow's opening packet was sent.
func (r *record) sentAt(k flowKey, number uint32) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if list := r.sent[k]; int(number) < len(list) {
		return list[number]
	}
	return time.Time{}
}

// opened notes that a server has the end of a flow's handshake.
func (r *record) opened(k flowKey, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.openedAt[k], r.holder[k] = time.Now(), server
}

// ran notes that a server began to work on an attempt.
func (r *record) ran(attempt, server, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[attempt] = append(r.runs[attempt], server)
	r.write("attempt %s: server %s of %s begins to work on it", attempt, server, service)
}

func (r *record) runsOf(attempt string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[attempt]
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
