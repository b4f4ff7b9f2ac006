package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	// broken are the violations of the rule.
	broken []string
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		fatal(err)
	}
	return &record{file: f, began: time.Now()}
}

// line writes a line with the time since the begin.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// violation records that the rule was broken.
func (r *record) violation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.line("RULE BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}
