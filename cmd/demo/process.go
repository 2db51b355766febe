package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fleet has the processes that the demonstration has started; it ends no others.
type fleet struct {
	binaries  string
	directory string

	mu        sync.Mutex
	processes []*process
}

type process struct {
	name    string
	command *exec.Cmd
	log     *os.File
	exited  chan struct{}
	err     error
}

func (f *fleet) start(binary string, arguments ...string) error {
	return f.startAs(binary, binary, arguments...)
}

func (f *fleet) startAs(name, binary string, arguments ...string) error {
	log, err := os.Create(filepath.Join(f.directory, name+".log"))
	if err != nil {
		return err
	}
	command := exec.Command(filepath.Join(f.binaries, binary), arguments...)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		_ = log.Close()
		return err
	}
	p := &process{name: name, command: command, log: log, exited: make(chan struct{})}
	go func() {
		p.err = command.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes = append(f.processes, p)
	return nil
}

func (f *fleet) find(name string) (*process, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		if p.name == name {
			return p, nil
		}
	}
	return nil, fmt.Errorf("no process %s", name)
}

// kill ends a process at once, as a failing host does.
func (f *fleet) kill(name string) error {
	p, err := f.find(name)
	if err != nil {
		return err
	}
	if err := p.command.Process.Kill(); err != nil {
		return err
	}
	<-p.exited
	return nil
}

// terminate asks a process to stop and waits for its exit.
func (f *fleet) terminate(ctx context.Context, name string, timeout time.Duration) error {
	p, err := f.find(name)
	if err != nil {
		return err
	}
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.exited:
		return p.err
	case <-time.After(timeout):
		return fmt.Errorf("%s still runs after %s", name, timeout)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// end stops all processes that still run.
func (f *fleet) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		select {
		case <-p.exited:
			continue
		default:
		}
		_ = p.command.Process.Kill()
		<-p.exited
	}
}

// tool runs the operators' tool against all daemons.
func (f *fleet) tool(ctx context.Context, l *layout, arguments ...string) error {
	var urls []string
	for _, d := range l.daemons {
		urls = append(urls, "http://"+d.caller)
	}
	command := exec.CommandContext(ctx, filepath.Join(f.binaries, "dogwoodweir"), arguments...)
	command.Env = append(os.Environ(), "DOGWOODWEIR_DAEMON="+strings.Join(urls, ","), "DOGWOODWEIR_KEY="+operatorKey)
	output, err := command.CombinedOutput()
	if err != nil {
		return fmt.Errorf("dogwoodweir %s: %w: %s", arguments[0], err, output)
	}
	lines := strings.Split(strings.TrimSpace(string(output)), "\n")
	fmt.Println(lines[len(lines)-1])
	return nil
}
