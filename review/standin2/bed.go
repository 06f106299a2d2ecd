//go:build review2

package main

// This file starts instances with the command of the deploy file, and the stand-ins around them.

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// metricsPort is that of the command in deploy/system.toml.
const metricsPort = 9464

const readyLimit = 20 * time.Second

// bed holds the processes and stand-ins of a case.
type bed struct {
	*record
	dir     string
	store   *store
	address string // of the store
	daemons []*daemon
	closers []func()
	once    sync.Once
}

func newBed(r *record) (*bed, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	b := &bed{record: r, dir: dir, store: newStore()}
	b.closers = append(b.closers, func() { os.RemoveAll(dir) })
	b.address, err = b.serve("127.0.0.1:0", b.store)
	return b, err
}

func (b *bed) close() {
	b.once.Do(func() {
		for _, d := range b.daemons {
			d.kill()
		}
		for i := len(b.closers) - 1; i >= 0; i-- {
			b.closers[i]()
		}
	})
}

// serve serves a handler on loopback and returns its address.
func (b *bed) serve(address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	go s.Serve(l) // until close
	b.closers = append(b.closers, func() { s.Close() })
	return l.Addr().String(), nil
}

// daemon is one instance.
type daemon struct {
	name, ip, zone string
	front, ready   string
	control        string
	logFile        string
	settings       string
	stopped        bool // by the case
	mu             sync.Mutex
	cmd            *exec.Cmd
	ended          chan struct{}
}

// freeIP returns a loopback address on which the port of the metrics is free.
func freeIP() (string, error) {
	for range 50 {
		ip := fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), rand.IntN(250), 2+rand.IntN(250))
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, metricsPort))
		if err != nil {
			continue
		}
		l.Close()
		return ip, nil
	}
	return "", errors.New("found no loopback address with a free port for metrics")
}

// freePort returns a free port of an address.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// addDaemons starts n instances, one in each zone in turn, and waits until they are ready.
func (b *bed) addDaemons(n int) error {
	var seeds []string
	for i := range n {
		ip, err := freeIP()
		if err != nil {
			return err
		}
		d := &daemon{ip: ip, zone: zone(i), name: fmt.Sprintf("front-%d", i+1)}
		for _, a := range []*string{&d.front, &d.ready, &d.control} {
			port, err := freePort(ip)
			if err != nil {
				return err
			}
			*a = fmt.Sprintf("%s:%d", ip, port)
		}
		if len(seeds) < 3 {
			seeds = append(seeds, d.control)
		}
		b.daemons = append(b.daemons, d)
	}
	for _, d := range b.daemons {
		internal, err := freePort(d.ip)
		if err != nil {
			return err
		}
		d.settings = filepath.Join(b.dir, d.name+".toml")
		d.logFile = filepath.Join(b.dir, d.name+".log")
		text := fmt.Sprintf(settingsText, d.name, d.ip, d.zone, internal, internal+1, `"`+strings.Join(seeds, `","`)+`"`,
			d.front, d.ready, d.control, b.address)
		if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
		b.printf("instance %s started, callers %s", d.name, d.front)
	}
	for _, d := range b.daemons {
		if err := d.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// settingsText has the values of a machine of the site kelang-anod.
const settingsText = `node = %q
role = "entry"
machine_class = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "klang-valley"
port_range = [%d,%d]
seeds = [%s]
bootstrap = true
fault_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","stages"]
[zones]
kelang-a = "klang-valley"
kelang-b = "klang-valley"
kelang-c = "klang-valley"
[listen]
front = %q
ready = %q
control = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
sync_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
stretch_max_ms = 5000
strict_revoke = true
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 52
recover_s = 12
pass_ms = 120
reuse_window_s = 6.7
[platform]
address = %q
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`

// start starts the process with the command of deploy/system.toml.
func (d *daemon) start() error {
	out, err := os.OpenFile(d.logFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/jacinthstiled", "-platform", "-metrics", fmt.Sprint(metricsPort))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), wireName("settings") + "=" + d.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.ended, d.stopped = cmd, ended, false
	d.mu.Unlock()
	go func() {
		cmd.Wait()
		close(ended)
	}()
	return nil
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		d.cmd.Process.Signal(s) // fails if it has ended
	}
}

// kill ends the process and waits for its end.
func (d *daemon) kill() {
	d.mu.Lock()
	cmd, ended := d.cmd, d.ended
	d.stopped = true
	d.mu.Unlock()
	if cmd == nil {
		return
	}
	cmd.Process.Kill()
	<-ended
}

// peakMemory returns the most memory that the process had resident, as the kernel counts it in kB.
func (d *daemon) peakMemory() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	if err != nil {
		return err.Error()
	}
	for _, line := range strings.Split(string(data), "\n") {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			return strings.TrimSpace(text)
		}
	}
	return "unknown"
}

func (d *daemon) isRunning() bool {
	select {
	case <-d.ended:
		return false
	default:
		return true
	}
}

func (d *daemon) awaitReady() error {
	for end := time.Now().Add(readyLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if !d.isRunning() {
			break
		}
		resp, err := http.Get("http://" + d.ready + wireName("ready"))
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	out, _ := os.ReadFile(d.logFile)
	return fmt.Errorf("instance %s is not ready; its output ends with %.600s", d.name, out[max(0, len(out)-600):])
}
