package main

import (
	"io"
	"net"
	"sync"
)

// proxy passes channels of clients on to a daemon and can reset them on both sides.
type proxy struct {
	address string
	target  string

	mutex    sync.Mutex
	listener net.Listener
	pairs    [][2]*net.TCPConn
}

func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{address: address, target: target, listener: l}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		pair := [2]*net.TCPConn{client.(*net.TCPConn), server.(*net.TCPConn)}
		p.mutex.Lock()
		p.pairs = append(p.pairs, pair)
		p.mutex.Unlock()
		for side := range pair {
			go func() {
				_, _ = io.Copy(pair[side], pair[1-side])
				_ = pair[side].CloseWrite()
			}()
		}
	}
}

// reset resets so many of the open channels, the oldest first.
func (p *proxy) reset(count int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, pair := range p.pairs[:min(count, len(p.pairs))] {
		for _, c := range pair {
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	}
}

func (p *proxy) close() { _ = p.listener.Close() }
