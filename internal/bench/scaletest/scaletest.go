// Package scaletest measures daemons that run as many processes on one machine: the memory, processor time and control
// traffic of each. It reads /proc, so it runs on Linux only. Its test has the build tag "scaletest" and is not part of CI.
package scaletest

// This file defines Sample and reads it from a process.

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

// ticksPerSecond is the number of clock ticks in a second; /proc counts processor time in ticks.
const ticksPerSecond = 100

// Sample is the resource use of one daemon process at one moment.
type Sample struct {
	Time     time.Time
	CPU      time.Duration      // processor time used since the start of the process
	Resident int64              // resident memory in bytes
	Metrics  map[string]float64 // values of the daemon's metrics without labels, by name
}

// ReadSample returns a sample of the daemon with the given process id and operator address (HOST:PORT).
func ReadSample(pid int, operator string) (Sample, error) {
	s := Sample{Time: time.Now()}
	var err error
	if s.CPU, err = processorTime(pid); err != nil {
		return s, err
	}
	if s.Resident, err = residentBytes(pid); err != nil {
		return s, err
	}
	s.Metrics, err = fetchMetrics("http://" + operator + "/metrics")
	return s, err
}

// processorTime returns the sum of user and system time, which are fields 14 and 15 of /proc/PID/stat. Field 2, the
// name of the program in parentheses, may contain spaces; the fields are therefore counted from its end.
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

// residentBytes returns the resident memory of a process in bytes.
func residentBytes(pid int) (int64, error) {
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

// fetchMetrics gets a page of metrics and returns the values of those without labels.
func fetchMetrics(url string) (map[string]float64, error) {
	resp, err := http.Get(url)
	if err != nil {
		return nil, fmt.Errorf("reading metrics: %w", err)
	}
	defer resp.Body.Close()
	return parseMetrics(resp.Body)
}

// parseMetrics returns the values of the metrics without labels in the Prometheus text format.
func parseMetrics(r io.Reader) (map[string]float64, error) {
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
