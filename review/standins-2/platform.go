package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// record is the file with what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) line(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f  "+format+"\n", append([]any{time.Since(r.began).Seconds()}, values...)...)
}

// daemon is one entry daemon, a process of the deploy file.
type daemon struct {
	host     string
	ip       string
	zone     string
	front    string
	ready    string
	settings string
	memoryMB int
	mutex    sync.Mutex
	process  *exec.Cmd
	exited   chan struct{}
	// ended is set while the platform does not start the daemon again.
	ended    bool
	inTurn   atomic.Bool
	startAt  time.Time
	ownEnds  int
	overEnds int
	peakKB   int
}

// cluster is the platform: the store, the daemons, and the readiness checks.
type cluster struct {
	record  *record
	root    string
	folder  string
	store   *store
	address string
	fleet   *fleet
	mutex   sync.Mutex
	daemons []*daemon
	closing atomic.Bool
	// watchMemory makes the platform kill processes that exceed the memory of their machine.
	watchMemory bool
}

var theCluster *cluster

// cannotRun ends the program with the code of a case that could not run.
func cannotRun(err error) {
	fmt.Fprintln(os.Stderr, "the case cannot run:", err)
	if theCluster != nil {
		theCluster.record.line("the case cannot run: %v", err)
		theCluster.close()
	}
	os.Exit(2)
}

func newCluster(root, out string) *cluster {
	file, err := os.Create(filepath.Join(out, "record.txt"))
	if err != nil {
		cannotRun(err)
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		cannotRun(err)
	}
	r := &record{file: file, began: time.Now()}
	c := &cluster{record: r, root: root, folder: folder, store: newStore(), fleet: newFleet(r)}
	theCluster = c
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun(err)
	}
	c.address = l.Addr().String()
	go func() { _ = (&http.Server{Handler: c.store}).Serve(l) }()
	return c
}

// newIP returns a loopback address on which the port of the metrics is free.
func newIP() string {
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 20+rand.IntN(200), rand.IntN(250), 2+rand.IntN(250))
		if l, err := net.Listen("tcp", ip+":9464"); err == nil {
			_ = l.Close()
			return ip
		}
	}
	cannotRun(fmt.Errorf("no free loopback address"))
	return ""
}

func freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		cannotRun(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

// addDaemon starts a daemon on a machine of its own. Its settings are those of a front machine of the sheet.
func (c *cluster) addDaemon(host, zone string, memoryMB int) *daemon {
	ip := newIP()
	d := &daemon{host: host, ip: ip, zone: zone, memoryMB: memoryMB}
	front, ready, peer, control := freePort(ip), freePort(ip), freePort(ip), freePort(ip)
	d.front, d.ready = fmt.Sprintf("%s:%d", ip, front), fmt.Sprintf("%s:%d", ip, ready)
	d.settings = filepath.Join(c.folder, host+".conf")
	settings := fmt.Sprintf(`node=%s
role=entry
machine_class=front
serves=front
ip=%s
zone=%s
region=nl
zones.nl-ams=nl
zones.nl-ehv=nl
listen.front=%s
listen.ready=%s
listen.control=%s:%d
port_range=%d,%d
seeds=
bootstrap=true
fault_counted=false
limits.cpu_share=0.8
limits.cores=1
limits.memory_mb=%d
limits.max_fds=8200
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,recover,agent,stream,engine,platform
fault_tolerance.machines=1
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4.8
bounds.drain_ms=2500
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2500
bounds.rollback_slack_ms=250
bounds.max_skew_ms=5000
bounds.recover_s=12
bounds.event_lag_ms=200
bounds.retry_after_s=0
bounds.deadline_s=10
bounds.settle_ms=1000
platform.address=%s
platform.form=table
platform.writes_per_s=800
platform.reads_per_s=2000
platform.tx_ms=3.0
platform.part_writes_s=300
platform.row_bytes=65536
platform.across=true
platform.history_s=20
`, host, ip, zone, d.front, d.ready, ip, control, peer, peer+15, memoryMB, c.address)
	if err := os.WriteFile(d.settings, []byte(settings), 0o600); err != nil {
		cannotRun(err)
	}
	c.mutex.Lock()
	c.daemons = append(c.daemons, d)
	c.mutex.Unlock()
	c.launch(d)
	go c.checkReadiness(d)
	return d
}

// launch starts the daemon's process, and again after a short delay when it ends.
func (c *cluster) launch(d *daemon) {
	cmd := exec.Command(filepath.Join(c.root, "target/dogwoodweir-entry"), "-metrics", "9464")
	cmd.Dir = c.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), names["settings"] + "=" + d.settings}
	log, err := os.OpenFile(filepath.Join(c.folder, d.host+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun(err)
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		cannotRun(err)
	}
	exited := make(chan struct{})
	d.mutex.Lock()
	d.process, d.exited, d.startAt = cmd, exited, time.Now()
	d.mutex.Unlock()
	c.record.line("start  %s, process %d", d.host, cmd.Process.Pid)
	if c.watchMemory {
		go c.watch(d, cmd, exited)
	}
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		close(exited)
		if c.closing.Load() {
			return
		}
		c.record.line("end    of the process of %s: %v", d.host, err)
		d.mutex.Lock()
		ended := d.ended
		d.mutex.Unlock()
		time.Sleep(500 * time.Millisecond)
		if !ended && !c.closing.Load() {
			c.launch(d)
		}
	}()
}

// residentKB returns the resident memory of a process.
func residentKB(pid int) int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb
		}
	}
	return 0
}

// watch kills the process once it exceeds the memory of its machine, as the platform does.
func (c *cluster) watch(d *daemon, cmd *exec.Cmd, exited chan struct{}) {
	for {
		select {
		case <-exited:
			return
		case <-time.After(5 * time.Millisecond):
		}
		kb := residentKB(cmd.Process.Pid)
		d.mutex.Lock()
		d.peakKB = max(d.peakKB, kb)
		over := kb > d.memoryMB<<10
		if over {
			d.overEnds++
		}
		d.mutex.Unlock()
		if over {
			c.record.line("memory %s has %d KB resident, its machine has %d KB: the platform kills the process", d.host, kb, d.memoryMB<<10)
			_ = cmd.Process.Kill()
			return
		}
	}
}

// kill ends the daemon's process with SIGKILL. If gone is set, the machine does not come back.
func (c *cluster) kill(d *daemon, gone bool) {
	d.mutex.Lock()
	d.ended = gone
	process := d.process
	d.mutex.Unlock()
	c.record.line("kill   %s, process %d, gone for good: %v", d.host, process.Process.Pid, gone)
	_ = process.Process.Kill()
}

// checkReadiness takes the daemon out of rotation after two misses, and back after a 200.
func (c *cluster) checkReadiness(d *daemon) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := 2
	for !c.closing.Load() {
		response, err := client.Get("http://" + d.ready + names["readiness"])
		if err == nil {
			_ = response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusOK {
			misses = 0
		} else {
			misses++
		}
		if in := misses < 2; in != d.inTurn.Load() {
			d.inTurn.Store(in)
			c.record.line("ready  %s in rotation: %v", d.host, in)
		}
		time.Sleep(time.Second)
	}
}

// rotation returns the daemons that get new channels: those in rotation, or all if fewer than half are.
func (c *cluster) rotation() []*daemon {
	c.mutex.Lock()
	all := append([]*daemon(nil), c.daemons...)
	c.mutex.Unlock()
	var in []*daemon
	for _, d := range all {
		if d.inTurn.Load() {
			in = append(in, d)
		}
	}
	if 2*len(in) < len(all) {
		return all
	}
	return in
}

// awaitReady waits until all daemons are in rotation.
func (c *cluster) awaitReady() {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, d := range c.daemons {
			if d.inTurn.Load() {
				ready++
			}
		}
		if ready == len(c.daemons) {
			return
		}
	}
	cannotRun(fmt.Errorf("the daemons are not ready after 20 s"))
}

// close ends all processes.
func (c *cluster) close() {
	c.closing.Store(true)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, d := range c.daemons {
		d.mutex.Lock()
		process, exited := d.process, d.exited
		d.mutex.Unlock()
		if process != nil {
			_ = process.Process.Kill()
			<-exited
		}
	}
	c.keepLogs()
	_ = os.RemoveAll(c.folder)
}

// keepLogs copies the logs of the daemons, if the variable LOGS names a folder.
func (c *cluster) keepLogs() {
	to := os.Getenv("LOGS")
	if to == "" {
		return
	}
	for _, d := range c.daemons {
		if content, err := os.ReadFile(filepath.Join(c.folder, d.host+".log")); err == nil {
			_ = os.WriteFile(filepath.Join(to, d.host+".log"), content, 0o600)
		}
	}
}
