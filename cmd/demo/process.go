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

// processSet has the processes that the demonstration has started. It kills no others.
type processSet struct {
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

// start starts a binary whose process has the name of the binary.
func (s *processSet) start(binary string, arguments ...string) error {
	return s.startAs(binary, binary, arguments...)
}

// startAs starts a binary as a process with a name and writes its output to name.log.
func (s *processSet) startAs(name, binary string, arguments ...string) error {
	log, err := os.Create(filepath.Join(s.directory, name+".log"))
	if err != nil {
		return err
	}
	command := exec.Command(filepath.Join(s.binaries, binary), arguments...)
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
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes = append(s.processes, p)
	return nil
}

func (s *processSet) find(name string) (*process, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		if p.name == name {
			return p, nil
		}
	}
	return nil, fmt.Errorf("no process with the name %s", name)
}

// kill kills a process without notice, as the failure of its host does, and waits for
// its exit.
func (s *processSet) kill(name string) error {
	p, err := s.find(name)
	if err != nil {
		return err
	}
	if err := p.command.Process.Kill(); err != nil {
		return err
	}
	<-p.exited
	return nil
}

// terminate sends SIGTERM to a process and waits for its exit. It fails if the process
// exits with an error or is still running after the timeout.
func (s *processSet) terminate(ctx context.Context, name string, timeout time.Duration) error {
	p, err := s.find(name)
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
		return fmt.Errorf("%s is still running %s after SIGTERM", name, timeout)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// killAll kills all processes that are still running and waits for their exit.
func (s *processSet) killAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		select {
		case <-p.exited:
			continue
		default:
		}
		_ = p.command.Process.Kill()
		<-p.exited
	}
}

// runOperatorTool runs the operators' command dogwoodweir against all daemons and prints
// the last line of its output.
func (s *processSet) runOperatorTool(ctx context.Context, l *layout, arguments ...string) error {
	var urls []string
	for _, d := range l.daemons {
		urls = append(urls, "http://"+d.callerAddress)
	}
	command := exec.CommandContext(ctx, filepath.Join(s.binaries, "dogwoodweir"), arguments...)
	command.Env = append(os.Environ(), "DOGWOODWEIR_DAEMON="+strings.Join(urls, ","), "DOGWOODWEIR_KEY="+operatorKey)
	output, err := command.CombinedOutput()
	if err != nil {
		return fmt.Errorf("dogwoodweir %s: %w: %s", arguments[0], err, output)
	}
	lines := strings.Split(strings.TrimSpace(string(output)), "\n")
	fmt.Println(lines[len(lines)-1])
	return nil
}
