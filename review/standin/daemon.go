//go:build review

package main

// This file runs the daemons as processes, with the command of the deploy file.

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Command and ports of a daemon. The command is that of deploy/system.toml.
const (
	program     = "target/jacinthstiled"
	metricsPort = "9464"
	frontPort   = "8625"
	readyPort   = "8621"
	controlPort = "8628"
)

// Figures of the settings, those of kelang-anod.
const (
	grace    = 8 * time.Second
	revoke   = 5 * time.Second
	memoryMB = 284
)

type daemon struct {
	name, ip, settings string
	cmd                *exec.Cmd
	ended              chan struct{}
	killed             bool // the platform has sent SIGKILL
}

// startDaemons starts n daemons, each at a loopback address of its own.
func (b *bed) startDaemons(n int) {
	net0, net1 := 1+rand.IntN(200), 1+rand.IntN(200)
	for i := range n {
		d := &daemon{name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("127.%d.%d.%d", net0, net1, i+2)}
		d.settings = filepath.Join(b.dir, d.name+".toml")
		b.daemons = append(b.daemons, d)
	}
	var seeds []string
	for _, d := range b.daemons {
		seeds = append(seeds, fmt.Sprintf("%q", d.ip+":"+controlPort))
	}
	for i, d := range b.daemons {
		zone := fmt.Sprintf("zone-%c", 'a'+i%3)
		text := fmt.Sprintf(`node = %q
role = "entry"
machine_class = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "r"
port_range = [7740,7755]
seeds = [%s]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[zones]
zone-a = "r"
zone-b = "r"
zone-c = "r"
[listen]
front = "%s:%s"
ready = "%s:%s"
control = "%s:%s"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = %d
max_fds = 4200
link_mbps = 1000.0
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
revoke_ms = %d
strict_revoke = true
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 52
recover_s = 12
[platform]
address = %q
form = "read"
reads_per_s = 2000
history_s = 20
`, d.name, d.ip, zone, strings.Join(seeds[:min(3, n)], ","), d.ip, frontPort, d.ip, readyPort, d.ip, controlPort, memoryMB, revoke.Milliseconds(), b.storeAddress)
		if err := os.WriteFile(d.settings, []byte(text), 0o644); err != nil {
			b.fail("writing settings: %v", err)
		}
		b.start(d)
	}
	b.awaitReady(b.daemons...)
}

func (b *bed) start(d *daemon) {
	out, err := os.OpenFile(filepath.Join(b.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		b.fail("opening a log: %v", err)
	}
	cmd := exec.Command(program, "-platform", "-metrics", metricsPort)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), wire("settingsVariable") + "=" + d.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		b.fail("starting %s: %v", program, err)
	}
	d.cmd, d.ended, d.killed = cmd, make(chan struct{}), false
	b.record("%s started, process %d, at %s", d.name, cmd.Process.Pid, d.ip)
	ended := d.ended
	go func() {
		err := cmd.Wait()
		out.Close()
		b.record("%s ended: %v", d.name, err)
		close(ended)
	}()
}

// awaitReady waits until the daemons answer the readiness check with 200.
func (b *bed) awaitReady(list ...*daemon) {
	client := &http.Client{Timeout: time.Second}
	for _, d := range list {
		for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			if resp, err := client.Get("http://" + net.JoinHostPort(d.ip, readyPort) + wire("readyPath")); err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				b.fail("%s is not ready after 15 s", d.name)
			}
		}
	}
}

func (d *daemon) alive() bool {
	select {
	case <-d.ended:
		return false
	default:
		return true
	}
}

// terminate sends SIGTERM, and SIGKILL when the grace period is over.
func (b *bed) terminate(d *daemon) {
	b.record("%s gets SIGTERM", d.name)
	d.cmd.Process.Signal(syscall.SIGTERM)
	go func() {
		select {
		case <-d.ended:
		case <-time.After(grace):
			b.record("%s gets SIGKILL after the grace period", d.name)
			d.cmd.Process.Kill()
		}
	}()
}

// stopAll ends all daemons.
func (b *bed) stopAll() {
	for _, d := range b.daemons {
		if d.cmd != nil && d.alive() {
			d.cmd.Process.Kill()
			<-d.ended
		}
	}
}
