//go:build review2

package main

// This file starts the store, the workers and the daemons, and ends them.

import (
	_ "embed"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	startTime   = 20 * time.Second // in which all daemons have to be ready
	settleTime  = 3 * time.Second  // in which they find each other
	grace       = 8 * time.Second  // from SIGTERM to SIGKILL
	watchTime   = 5 * time.Second  // in which a daemon begins a watch
	metricsPort = "9464"           // as the deploy file names it
	loopback    = "127.0.0.1"
)

//go:embed manifest.json
var manifest string

//go:embed server.json
var serverEntry string

//go:embed settings.toml
var settings string

// daemon is one process of the product.
type daemon struct {
	name    string
	callers string // addresses
	ready   string
	link    *link
	config  string // path of its settings
	log     string
	process *exec.Cmd
	ended   chan struct{} // closed once process has ended

	mu      sync.Mutex
	isReady bool
	misses  int
}

// bed is a small deployment.
type bed struct {
	record    *record
	program   string
	folder    string
	store     *store
	listeners []net.Listener
	servers   []*server
	daemons   []*daemon
	closing   chan struct{}
}

func newBed(r *record, program string) (*bed, error) {
	path, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "case10-")
	if err != nil {
		return nil, err
	}
	return &bed{record: r, program: path, folder: folder, store: newStore(), closing: make(chan struct{})}, nil
}

func (b *bed) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", loopback+":0")
	if err == nil {
		b.listeners = append(b.listeners, l)
	}
	return l, err
}

// start starts everything, and returns once all daemons are ready.
func (b *bed) start() error {
	b.store.put(names["manifest"], manifestOf(7, firstService))
	for i := range 2 * numServers {
		l, err := b.listen()
		if err != nil {
			return err
		}
		service := []string{firstService, secondService}[i%2]
		s := newServer(fmt.Sprintf("i-%08x", 0x7f3a91c2+i), service, l, b.record)
		b.servers = append(b.servers, s)
		b.store.put(names["servers"]+s.id, strings.NewReplacer("SERVICE", service, "ADDRESS", l.Addr().String(), "BORN", strconv.FormatInt(time.Now().UnixMilli(), 10)).Replace(serverEntry))
		go s.serve()
	}
	if err := b.startDaemons(); err != nil {
		return err
	}
	return b.awaitReady()
}

func manifestOf(version int, service string) string {
	return strings.NewReplacer("VERSION", strconv.Itoa(version), "SERVICE", service).Replace(manifest)
}

// moveRoute publishes a manifest with which the second service runs the bookings, and returns when that was confirmed.
func (b *bed) moveRoute() time.Time {
	at := b.store.put(names["manifest"], manifestOf(9, secondService))
	b.record.line("store", "manifest", "version 9 confirmed: bookings go to "+secondService)
	return at
}

// startDaemons starts each daemon at an address of its own, with the same ports.
func (b *bed) startDaemons() error {
	ips, ports, err := freePlaces()
	if err != nil {
		return err
	}
	var seeds []string
	for _, ip := range ips {
		seeds = append(seeds, strconv.Quote(net.JoinHostPort(ip, strconv.Itoa(ports[2]))))
	}
	for i, ip := range ips {
		d := &daemon{name: fmt.Sprintf("front-kelang-a-%d", i+1), callers: net.JoinHostPort(ip, strconv.Itoa(ports[0])), ready: net.JoinHostPort(ip, strconv.Itoa(ports[1]))}
		d.config, d.log = filepath.Join(b.folder, d.name+".toml"), filepath.Join(b.folder, d.name+".log")
		b.daemons = append(b.daemons, d)
		near, err := b.listen()
		if err != nil {
			return err
		}
		far, err := b.listen()
		if err != nil {
			return err
		}
		d.link = &link{listener: near, store: far.Addr().String()}
		go d.link.serve()
		go b.store.serve(far, d)
		fields := []string{"NODE", d.name, "IP", ip, "SEEDS", strings.Join(seeds, ", "), "STORE", near.Addr().String()}
		for n, p := range ports {
			fields = append(fields, "PORT"+strconv.Itoa(n), strconv.Itoa(p))
		}
		if err := os.WriteFile(d.config, []byte(strings.NewReplacer(fields...).Replace(settings)), 0o600); err != nil {
			return err
		}
		if err := b.startDaemon(d); err != nil {
			return err
		}
	}
	return nil
}

// startDaemon starts a daemon with the command of the deploy file.
func (b *bed) startDaemon(d *daemon) error {
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(b.program, "-platform", "-metrics", metricsPort)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), names["settings"] + "=" + d.config}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.process, d.ended = c, ended
	b.record.line("daemon", d.name, "started")
	go func() {
		err := c.Wait()
		b.record.line("daemon", d.name, fmt.Sprintf("ended: %v", err))
		close(ended)
	}()
	return nil
}

// silence makes all open channels to the store silent, a given time after a daemon has begun a watch. New ones work. It
// returns when that was.
func (b *bed) silence(phase time.Duration) (time.Time, error) {
	d, ok := b.store.awaitWatch(watchTime)
	if !ok {
		return time.Time{}, errors.New("no daemon watches the store")
	}
	b.record.line("store", d.name, "has begun a watch")
	time.Sleep(phase)
	at := time.Now()
	for _, d := range b.daemons {
		n := d.link.silence()
		if n == 0 {
			return at, fmt.Errorf("%s has no open channel to the store", d.name)
		}
		b.record.line("link", d.name, fmt.Sprintf("%d open channels to the store are silent from now on", n))
	}
	return at, nil
}

// inRotation returns the daemons that get new channels: all if none is ready.
func (b *bed) inRotation() []*daemon {
	var list []*daemon
	for _, d := range b.daemons {
		d.mu.Lock()
		if d.isReady {
			list = append(list, d)
		}
		d.mu.Unlock()
	}
	if len(list) == 0 {
		return b.daemons
	}
	return list
}

// checkReady asks a daemon once a second whether it is ready. Two misses take it out.
func (b *bed) checkReady(d *daemon) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		resp, err := client.Get("http://" + d.ready + names["ready"])
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			resp.Body.Close()
		}
		d.mu.Lock()
		if ok {
			d.isReady, d.misses = true, 0
		} else if d.misses++; d.misses >= 2 {
			d.isReady = false
		}
		d.mu.Unlock()
		select {
		case <-tick.C:
		case <-b.closing:
			return
		}
	}
}

func (b *bed) awaitReady() error {
	for _, d := range b.daemons {
		go b.checkReady(d)
	}
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		waiting := slices.ContainsFunc(b.daemons, func(d *daemon) bool {
			d.mu.Lock()
			defer d.mu.Unlock()
			return !d.isReady
		})
		if !waiting {
			time.Sleep(settleTime)
			return nil
		}
	}
	return fmt.Errorf("not all daemons were ready within %s", startTime)
}

// runs returns what all workers ran.
func (b *bed) runs() []run {
	var all []run
	for _, s := range b.servers {
		s.mu.Lock()
		all = append(all, s.runs...)
		s.mu.Unlock()
	}
	return all
}

// close ends the processes and the stand-ins.
func (b *bed) close() {
	close(b.closing)
	for _, d := range b.daemons {
		if d.process == nil {
			continue
		}
		_ = d.process.Process.Signal(syscall.SIGTERM) // it may have ended
		select {
		case <-d.ended:
		case <-time.After(grace):
			_ = d.process.Process.Kill()
			<-d.ended
		}
	}
	for _, l := range b.listeners {
		l.Close()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(b.folder)
	}
}

// freePlaces returns loopback addresses on which the port of the metrics is free, and five ports that are free on all of them.
func freePlaces() (ips []string, ports []int, err error) {
	for n := 2; len(ips) < numDaemons; n++ {
		if n > 250 {
			return nil, nil, errors.New("no loopback address has the port of the metrics free")
		}
		if ip := fmt.Sprintf("127.0.10.%d", n); isFree(ip, metricsPort) {
			ips = append(ips, ip)
		}
	}
	for first := 20000; first < 30000; first += 5 {
		ports = []int{first, first + 1, first + 2, first + 3, first + 4}
		taken := func(port int) bool {
			return slices.ContainsFunc(ips, func(ip string) bool { return !isFree(ip, strconv.Itoa(port)) })
		}
		if !slices.ContainsFunc(ports, taken) {
			return ips, ports, nil
		}
	}
	return nil, nil, errors.New("no five ports are free")
}

func isFree(ip, port string) bool {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, port))
	if err != nil {
		return false
	}
	return l.Close() == nil
}
