package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The clients of the case large-burst: as many a machine as a zone of the site has, each of which calls
// three tools at once. The bodies are as large as the manifest allows.
const (
	clientsOfMachine = 17
	toolsAtOnce      = 3
	largeBody        = 4 << 20
	smallBody        = 600
	toolWork         = 100 * time.Millisecond
	memoryLimitMB    = 164
	restartDelay     = time.Second
	watchInterval    = 2 * time.Millisecond
	// lostAllowed is the number of requests that may be lost.
	lostAllowed = 3
	// fewAtOnce is the number of large requests under way without trouble.
	fewAtOnce = 6
	// othersOfMachine is the number of clients that call tools with small bodies all the while.
	othersOfMachine = 6
)

// residentMB returns the memory of the daemon's process, 0 if there is none.
func (d *daemon) residentMB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// watchMemory does what the platform does: it kills a process that exceeds the limit of its memory and
// starts it again after a short delay.
func watchMemory(b *bed, d *daemon, kills, peak *atomic.Int64, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(watchInterval):
		}
		used := d.residentMB()
		peak.Store(max(peak.Load(), int64(used)))
		if used <= memoryLimitMB {
			continue
		}
		b.record.line("platform  %s uses %d MB of %d and is killed", d.name, used, memoryLimitMB)
		kills.Add(1)
		d.kill()
		time.Sleep(restartDelay)
		if err := d.start(); err != nil {
			b.record.line("platform  %s does not start: %v", d.name, err)
			return
		}
		b.record.line("platform  %s starts again", d.name)
	}
}

// link is the link of a machine, which all channels to it share. Like the others' links it takes
// 1,000 Mbit/s.
type link struct {
	mutex sync.Mutex
	free  time.Time
}

const (
	linkBytesPerSecond = 125_000_000
	linkChunk          = 32 << 10
)

// send writes over the link.
func (l *link) send(w io.Writer, content []byte) error {
	for len(content) > 0 {
		n := min(linkChunk, len(content))
		l.mutex.Lock()
		if now := time.Now(); l.free.Before(now) {
			l.free = now
		}
		l.free = l.free.Add(time.Duration(n) * time.Second / linkBytesPerSecond)
		wait := time.Until(l.free)
		l.mutex.Unlock()
		time.Sleep(wait)
		if _, err := w.Write(content[:n]); err != nil {
			return err
		}
		content = content[n:]
	}
	return nil
}

// channel is a channel of a client that is kept for several requests.
type channel struct {
	link   *link
	conn   net.Conn
	reader *bufio.Reader
}

// call sends a request that may run once only and reads its answer.
func (c *channel) call(b *bed, id string, body []byte) (status int, sealed bool, err error) {
	_ = c.conn.SetDeadline(time.Now().Add(clientDeadline))
	var h strings.Builder
	fmt.Fprintf(&h, "POST %s4b HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n", toolPrefix, turnHost, name("id"), id,
		name("deadline"), clientDeadline.Milliseconds(), len(body))
	b.record.line("sent      %s with %d bytes", id, len(body))
	if err = c.link.send(c.conn, append([]byte(h.String()), body...)); err == nil {
		var response *http.Response
		if response, err = http.ReadResponse(c.reader, nil); err == nil {
			status, sealed = response.StatusCode, response.Header.Get(name("seal")) != ""
			_, err = io.Copy(io.Discard, response.Body)
		}
	}
	b.record.line("answered  %s: status %d, sealed %t, %v", id, status, sealed, err)
	return status, sealed, err
}

func init() { cases["large-burst"] = largeBurst }

// largeBurst lets clients call tools over kept channels. With trouble, many send large bodies at once,
// otherwise a few at a time; others send small ones all the while. No machine may lose requests that it
// has passed on.
func largeBurst(ctx context.Context, b *bed, trouble bool) (bool, error) {
	if err := startTwoZones(ctx, b, "ledger"); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var kills, peak atomic.Int64
	var watchers sync.WaitGroup
	for _, n := range b.runners {
		n.work = toolWork
	}
	for _, d := range b.daemons {
		watchers.Go(func() { watchMemory(b, d, &kills, &peak, stop) })
	}
	var channels, others []*channel
	for _, d := range b.daemons {
		l := &link{}
		for i := range clientsOfMachine*toolsAtOnce + othersOfMachine {
			conn, err := net.Dial("tcp", d.front())
			if err != nil {
				return false, err
			}
			defer func() { _ = conn.Close() }()
			c := &channel{link: l, conn: conn, reader: bufio.NewReader(conn)}
			if i < othersOfMachine {
				c.link = &link{}
				others = append(others, c)
			} else {
				channels = append(channels, c)
			}
		}
	}
	few := make(chan struct{}, fewAtOnce)
	var lost, cut, served, refused atomic.Int64
	count := func(id string, status int, err error) {
		switch {
		case err == nil && status == http.StatusOK:
			served.Add(1)
		case err == nil:
			refused.Add(1)
		case len(b.runsOf(id)) > 0:
			lost.Add(1)
		default:
			cut.Add(1)
		}
	}
	errs := make([]error, len(channels))
	body := make([]byte, largeBody)
	var group sync.WaitGroup
	for i, c := range channels {
		group.Go(func() {
			if status, _, err := c.call(b, newID("s"), body[:smallBody]); err != nil || status != http.StatusOK {
				errs[i] = fmt.Errorf("small request: status %d, %w", status, err)
			}
		})
	}
	group.Wait()
	if err := errors.Join(errs...); err != nil {
		return false, err
	}
	if trouble {
		b.record.line("trouble   %d clients call %d tools each at once", len(channels)/toolsAtOnce, toolsAtOnce)
	}
	for _, c := range channels {
		group.Go(func() {
			if !trouble {
				few <- struct{}{}
				defer func() { <-few }()
			}
			id := newID("l")
			status, _, err := c.call(b, id, body)
			count(id, status, err)
		})
	}
	var small sync.WaitGroup
	var done atomic.Bool
	for _, c := range others {
		small.Go(func() {
			for !done.Load() {
				id := newID("o")
				status, _, err := c.call(b, id, body[:smallBody])
				count(id, status, err)
				if err != nil {
					return
				}
			}
		})
	}
	group.Wait()
	done.Store(true)
	small.Wait()
	close(stop)
	watchers.Wait()
	b.record.line("counted   %d requests served, %d answered otherwise, %d cut and not run, %d passed on to a runner and cut without an answer",
		served.Load(), refused.Load(), cut.Load(), lost.Load())
	b.record.line("counted   %d processes killed for their memory; most memory %d MB", kills.Load(), peak.Load())
	isBroken := lost.Load() > lostAllowed
	if isBroken {
		b.record.line("BROKEN    machines lost %d requests of kept channels that they had passed on", lost.Load())
	}
	return isBroken, nil
}
