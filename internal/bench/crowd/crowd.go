// Package crowd measures many real daemon processes on one machine: memory,
// processor time and bytes of control of each. Its trial stands behind the
// build tag "crowd" and is not part of CI.
package crowd

// This file defines Sample and how a process is read.

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// ticksPerSecond is the unit of processor time in /proc.
const ticksPerSecond = 100

// Sample is the state of one daemon process at one moment.
type Sample struct {
	Time     time.Time
	CPU      time.Duration      // used since the start
	Resident int64              // bytes
	Metrics  map[string]float64 // unlabelled metrics of the daemon
}

// Take reads the process and the metrics of a daemon.
func Take(pid int, operator string) (Sample, error) {
	s := Sample{Time: time.Now()}
	var err error
	if s.CPU, err = processorTime(pid); err != nil {
		return s, err
	}
	if s.Resident, err = resident(pid); err != nil {
		return s, err
	}
	s.Metrics, err = scrape("http://" + operator + "/metrics")
	return s, err
}

// processorTime reads user and system time, fields 14 and 15 of /proc/PID/stat.
func processorTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("reading processor time: %w", err)
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, fmt.Errorf("reading processor time of %d: got %d fields, want 13 or more", pid, len(fields))
	}
	var ticks int64
	for _, f := range fields[11:13] {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("reading processor time of %d: %w", pid, err)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}

func resident(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, fmt.Errorf("reading memory: %w", err)
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10, err
		}
	}
	return 0, fmt.Errorf("reading memory of %d: got no VmRSS", pid)
}

// scrape reads the metrics without labels.
func scrape(url string) (map[string]float64, error) {
	resp, err := http.Get(url)
	if err != nil {
		return nil, fmt.Errorf("reading metrics: %w", err)
	}
	defer resp.Body.Close()
	return parse(resp.Body)
}

func parse(r io.Reader) (map[string]float64, error) {
	out := make(map[string]float64)
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		name, text, ok := strings.Cut(lines.Text(), " ")
		if !ok || name == "#" || strings.Contains(name, "{") {
			continue
		}
		v, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return nil, fmt.Errorf("reading metric %s: %w", name, err)
		}
		out[name] = v
	}
	return out, lines.Err()
}
