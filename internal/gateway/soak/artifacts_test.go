package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// Folders for what is kept of a run; nothing is kept if they are not set. What
// can't be kept is logged and fails no run.
const (
	// logsVar names the folder for hosts' logs of runs with violations, and a
	// heap profile of one host of each run.
	logsVar = "SOAK_LOGS"
	// reportVar names the folder for a page with plots of each run.
	reportVar = "SOAK_REPORT"
)

// recordAlive records once a second how many hosts and upstreams run.
func (w *world) recordAlive(ctx context.Context) {
	for ctx.Err() == nil {
		running := 0
		for _, h := range w.hosts {
			if h.running() {
				running++
			}
		}
		w.mu.Lock()
		alive := len(w.alive)
		w.mu.Unlock()
		w.record.alive(running, alive)
		time.Sleep(time.Second)
	}
}

func (w *world) keepReport() {
	dir := os.Getenv(reportVar)
	if dir == "" {
		return
	}
	f, err := os.Create(filepath.Join(dir, fmt.Sprintf("seed-%d.html", w.seed)))
	if err != nil {
		w.t.Log(err)
		return
	}
	if err := errors.Join(w.record.writePage(f), f.Close()); err != nil {
		w.t.Log(err)
	}
}

// keepHeapProfile keeps a heap profile of a host under load.
func (w *world) keepHeapProfile() {
	dir := os.Getenv(logsVar)
	if dir == "" {
		return
	}
	resp, err := http.Get("http://" + w.hosts[0].metrics + "/debug/pprof/heap?gc=1")
	if err != nil {
		w.t.Log(err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, fmt.Sprintf("seed-%d.heap", w.seed)), text, 0o600)
	}
	if err != nil {
		w.t.Log(err)
	}
}

// keepLogs ends all hosts and keeps their logs.
func (w *world) keepLogs() {
	dir := os.Getenv(logsVar)
	for _, h := range w.hosts {
		h.kill()
		if dir == "" {
			continue
		}
		path := filepath.Join(dir, fmt.Sprintf("seed-%d-%s.log", w.seed, h.name))
		if err := os.WriteFile(path, h.log.Bytes(), 0o600); err != nil {
			w.t.Log(err)
		}
	}
}
