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

// Variables that name folders for artifacts of a run. Artifacts are written only if the
// variable is set.
const (
	// logsVar names the folder for the hosts' logs of runs with violations, and for a
	// heap profile of one host of each run.
	logsVar = "SOAK_LOGS"
	// reportVar names the folder for an HTML page with plots of each run.
	reportVar = "SOAK_REPORT"
)

// recordAlive records the numbers of running hosts and upstreams once per second.
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

// writeArtifact writes a file of the run into the folder that an environment variable
// names. Errors are logged and do not fail the run.
func (w *world) writeArtifact(folderVar, suffix string, write func(io.Writer) error) {
	dir := os.Getenv(folderVar)
	if dir == "" {
		return
	}
	f, err := os.Create(filepath.Join(dir, fmt.Sprintf("seed-%d%s", w.seed, suffix)))
	if err != nil {
		w.t.Log(err)
		return
	}
	if err := errors.Join(write(f), f.Close()); err != nil {
		w.t.Log(err)
	}
}

// writeHeapProfile writes a heap profile of the first host.
func (w *world) writeHeapProfile(to io.Writer) error {
	resp, err := http.Get("http://" + w.hosts[0].metrics + "/debug/pprof/heap?gc=1")
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(to, resp.Body)
	return err
}

// writeLogs kills all hosts and writes their logs.
func (w *world) writeLogs() {
	for _, h := range w.hosts {
		h.kill()
		w.writeArtifact(logsVar, "-"+h.name+".log", func(to io.Writer) error {
			_, err := io.WriteString(to, h.log.String())
			return err
		})
	}
}
