//go:build scaletest

package scaletest_test

// This file measures many daemons that run as processes, without and under load. The command:
// go test -tags scaletest ./internal/bench/scaletest -v -count 1 -timeout 20m -args -daemons 200

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/base/span"
	"github.com/jacinthstile/jacinthstile/internal/bench/scaletest"
	"github.com/jacinthstile/jacinthstile/internal/bench/tablegen"
	"github.com/jacinthstile/jacinthstile/internal/entry/operator"
	"github.com/jacinthstile/jacinthstile/internal/platform/instance"
	"github.com/jacinthstile/jacinthstile/internal/settings/config"
	"github.com/jacinthstile/jacinthstile/internal/standin/configserver"
	"github.com/jacinthstile/jacinthstile/internal/standin/engine"
	"github.com/jacinthstile/jacinthstile/internal/standin/ledger"
	"github.com/jacinthstile/jacinthstile/internal/standin/pool"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
)

var (
	daemons  = flag.Int("daemons", 200, "daemon processes")
	accounts = flag.Int("accounts", 29_000, "client account rows")
	workers  = flag.Int("workers", 4_000, "endpoint rows")
	period   = flag.Duration("period", 20*time.Second, "length of each of the two measurements")
	level    = flag.String("log", "error", "log level of the daemons")
	rate     = flag.Float64("rate", 100, "requests a second in all under light load")
)

// process is one daemon with the addresses of its listeners.
type process struct {
	name     string
	caller   string
	peer     string
	operator string
	cmd      *exec.Cmd
	before   scaletest.Sample // at the start of a measurement
}

// trial holds the daemons and the stand-in platform that configures them.
type trial struct {
	g               *WithT
	dir             string
	platform        *configserver.Server
	platformAddress string
	table           *fleettable.Table
	processes       []*process
	port            int // the port that was allocated last
}

// Range of the ports that daemons listen on, below the range from which Linux assigns ports by default.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

// A cost that each daemon pays for every other one, such as a connection or a poll, stays invisible in a small fleet
// and exceeds the budget of memory, processor time or traffic in a large one.
func TestResourceUse(t *testing.T) {
	g := NewWithT(t)
	tr := &trial{g: g, dir: t.TempDir(), platform: configserver.New(), port: firstPort}
	tr.platformAddress = serve(t, tr.platform)
	tr.setUpTable(t)
	binary := filepath.Join(tr.dir, "jacinthstiled")
	build, err := exec.Command("go", "build", "-o", binary, "github.com/jacinthstile/jacinthstile/cmd/jacinthstiled").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), "%s", build)
	began := time.Now()
	for i := range *daemons {
		tr.start(t, binary, i)
	}
	tr.publishInstances()
	ready := tr.waitFor(2*time.Minute, func(s operator.Status) bool { return s.Ready })
	t.Logf("%d daemons, %d accounts, %d endpoints: all ready %v after the first start, %v after the list",
		*daemons, *accounts, *workers, time.Since(began).Round(time.Millisecond), ready.Round(time.Millisecond))
	time.Sleep(5 * time.Second)

	tr.measure(t, "idle", func() { time.Sleep(*period) })
	tr.measure(t, "light", func() { tr.sendLoad(*period) })
	tr.measureChange(t)
}

// serve starts an HTTP server and returns its address.
func serve(t *testing.T, h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	s := &http.Server{Handler: h}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

// setUpTable generates a table, publishes it on the platform and starts the stand-in endpoints: one engine and one pool
// stand for all endpoints of the table.
func (tr *trial) setUpTable(t *testing.T) {
	table, err := tablegen.Generate(tablegen.Options{Accounts: *accounts, Endpoints: *workers, Centres: 10, Models: 23})
	tr.g.Expect(err).NotTo(HaveOccurred())
	l := ledger.New()
	engines := serve(t, engine.New(engine.Options{Name: "llm", Slots: 4096, FirstToken: 20 * time.Millisecond, TokenInterval: time.Millisecond}, l))
	pools := serve(t, pool.New(pool.Options{Name: "encode", Slots: 4096, ServiceTime: 2 * time.Millisecond}, l))
	for i := range table.Endpoints {
		e := &table.Endpoints[i]
		e.Address = engines
		if e.Kind == endpoint.Pool {
			e.Address = pools
		}
	}
	table.Policy.Seats = *daemons
	tr.table = table
	tr.publishTable()
}

// publishTable freezes the table and publishes it on the platform.
func (tr *trial) publishTable() {
	tr.g.Expect(tr.table.Freeze()).To(Succeed())
	tr.g.Expect(tr.platform.Publish(tr.table)).To(Succeed())
}

// start starts daemon i.
func (tr *trial) start(t *testing.T, binary string, i int) {
	p := &process{name: fmt.Sprintf("entry-%03d", i), caller: tr.freeAddress(), peer: tr.freeAddress(), operator: tr.freeAddress()}
	c := config.Default()
	c.Name, c.Centre, c.Seat = p.name, tr.table.Centres[i%len(tr.table.Centres)].Name, &i
	c.Platform = "http://" + tr.platformAddress
	c.Caller.Address, c.Peer.Address, c.Operator.Address = p.caller, p.peer, p.operator
	c.Log = *level
	c.Bounds.QuietPeriod = 0
	c.Bounds.StartTimeout = span.Span(10 * time.Second)
	data, err := json.Marshal(c)
	tr.g.Expect(err).NotTo(HaveOccurred())
	path := filepath.Join(tr.dir, p.name+".json")
	tr.g.Expect(os.WriteFile(path, data, 0o600)).To(Succeed())
	p.cmd = exec.Command(binary, "--settings", path)
	p.cmd.Stderr = os.Stderr
	tr.g.Expect(p.cmd.Start()).To(Succeed())
	t.Cleanup(func() {
		p.cmd.Process.Signal(syscall.SIGKILL)
		p.cmd.Wait()
	})
	tr.processes = append(tr.processes, p)
}

// freeAddress returns an address with a free port. The port is below the range from which the kernel assigns ports to
// other sockets, so that it is still free when the daemon starts.
func (tr *trial) freeAddress() string {
	for {
		tr.port++
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", tr.port))
		if err == nil {
			l.Close()
			return l.Addr().String()
		}
		tr.g.Expect(tr.port).To(BeNumerically("<", lastPort), "no port is free")
	}
}

// publishInstances publishes the list of all daemons.
func (tr *trial) publishInstances() {
	var list instance.List
	for i, p := range tr.processes {
		list.Instances = append(list.Instances, instance.Instance{
			Name: p.name, Address: p.peer, Centre: tr.table.Centres[i%len(tr.table.Centres)].Name,
			State: instance.Live, Entry: true, Seat: &i,
		})
	}
	data, err := json.Marshal(list)
	tr.g.Expect(err).NotTo(HaveOccurred())
	tr.platform.Put(instance.Key, data)
}

// waitFor polls the daemons until each has had a status for which good returns true, and returns how long that took. It
// fails the test after the timeout.
func (tr *trial) waitFor(timeout time.Duration, good func(operator.Status) bool) time.Duration {
	began := time.Now()
	remaining := slices.Clone(tr.processes)
	for len(remaining) > 0 {
		remaining = slices.DeleteFunc(remaining, func(p *process) bool {
			s, err := status(p.operator)
			return err == nil && good(s)
		})
		tr.g.Expect(time.Since(began)).To(BeNumerically("<", timeout), "%d daemons left", len(remaining))
	}
	return time.Since(began)
}

// status gets the status of a daemon from its operator listener.
func status(address string) (operator.Status, error) {
	var s operator.Status
	resp, err := http.Get("http://" + address + "/v1/status")
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// measure samples all daemons before and after wait and logs the resources that each used meanwhile.
func (tr *trial) measure(t *testing.T, name string, wait func()) {
	for _, p := range tr.processes {
		p.before = tr.sample(p)
	}
	calls, began := tr.platform.Calls(), time.Now()
	wait()
	seconds := time.Since(began).Seconds()
	platformRate := float64(tr.platform.Calls()-calls) / seconds
	var cpu, memory, bytes []float64
	for _, p := range tr.processes {
		after := tr.sample(p)
		elapsed := after.Time.Sub(p.before.Time).Seconds()
		cpu = append(cpu, 100*(after.CPU-p.before.CPU).Seconds()/elapsed)
		memory = append(memory, float64(after.Resident)/(1<<20))
		transferred := 0.0
		for _, m := range []string{"jacinthstile_peer_sent_bytes", "jacinthstile_peer_received_bytes",
			"jacinthstile_platform_bytes", "jacinthstile_poll_bytes"} {
			transferred += after.Metrics[m] - p.before.Metrics[m]
		}
		bytes = append(bytes, transferred/elapsed/1024)
	}
	t.Logf("%s: CPU %s %% of a core, resident %s MiB, control %s KiB/s, platform %.1f calls/s in all",
		name, medianAndMax(cpu), medianAndMax(memory), medianAndMax(bytes), platformRate)
}

func (tr *trial) sample(p *process) scaletest.Sample {
	s, err := scaletest.ReadSample(p.cmd.Process.Pid, p.operator)
	tr.g.Expect(err).NotTo(HaveOccurred())
	return s
}

// medianAndMax formats the median and the maximum.
func medianAndMax(v []float64) string {
	slices.Sort(v)
	return fmt.Sprintf("%.2f (most %.2f)", v[len(v)/2], v[len(v)-1])
}

// sendLoad sends requests to random daemons at the rate of the flag and returns when all have ended. It waits for
// responses only while 1000 requests are in flight.
func (tr *trial) sendLoad(length time.Duration) {
	rng := rand.New(rand.NewPCG(1, 1))
	tick := time.NewTicker(time.Duration(float64(time.Second) / *rate))
	defer tick.Stop()
	var inFlight = make(chan struct{}, 1000)
	for end := time.Now().Add(length); time.Now().Before(end); <-tick.C {
		p := tr.processes[rng.IntN(len(tr.processes))]
		account := rng.IntN(*accounts)
		inFlight <- struct{}{}
		go func() {
			defer func() { <-inFlight }()
			sendRequest(p.caller, account)
		}()
	}
	for range cap(inFlight) {
		inFlight <- struct{}{}
	}
}

// sendRequest sends one request and discards the response. Errors are ignored, because the test measures what the
// daemons use, not what callers get.
func sendRequest(address string, account int) {
	body := []byte(`{"input":"batch","tokens":20}`)
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/pipelines/chat-model-03", bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", fmt.Sprintf("Bearer key-account-%05d", account))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
}

// measureChange publishes the next version of the table and logs how long it took until it was in force on all daemons.
func (tr *trial) measureChange(t *testing.T) {
	tr.table.Version++
	tr.table.Endpoints[0].Weight = 0
	tr.publishTable()
	took := tr.waitFor(time.Minute, func(s operator.Status) bool { return s.Version == tr.table.Version })
	t.Logf("change in force on all %d after %v, the poll of all included", len(tr.processes), took.Round(time.Millisecond))
}
