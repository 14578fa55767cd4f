package main

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
)

// hostMemoryMB and hostFiles are the limits of the host in these tests.
const (
	hostMemoryMB = 128
	hostFiles    = 1024
	// fewFiles is the limit of a host with fewer descriptors than the crowd has connections.
	fewFiles = 256
)

// misbehaving is a crowd of clients that send requests of legal size.
type misbehaving struct {
	// adapter is that of the daemon, files the number of descriptors of its host.
	adapter string
	files   int
	address func(p *process) string
	clients int
	send    func(i int, c net.Conn) error
}

func callers(p *process) string   { return p.set.CallerAddress }
func peers(p *process) string     { return p.set.PeerAddress }
func operators(p *process) string { return p.set.OperatorAddress }
func collectors(p *process) string {
	return p.set.MetricsAddress
}

// write returns a function that sends a text, in which %016x stands for the number of the client.
func write(text string) func(int, net.Conn) error {
	return func(i int, c net.Conn) error {
		_, err := c.Write([]byte(strings.ReplaceAll(text, "%016x", fmt.Sprintf("%016x", i))))
		return err
	}
}

// connect opens a connection and sends nothing.
func connect(int, net.Conn) error { return nil }

// fill repeats a text up to a size.
func fill(text string, size int) string { return strings.Repeat(text, size/len(text)) }

const (
	ordinaryBody = `{"spec":"5 1000","best-effort":true,"steps":[{"count":1,"cpu":1000,"estimate-ms":5}]}`
)

var crowds = map[string]misbehaving{
	"AnswersUnread":        {"Users", fewFiles, callers, 400, write(fill("GET /jobs/ HTTP/1.1\r\nHost: "+queueHost+"\r\n\r\n", 4<<20))},
	"Connections":          {"Users", fewFiles, callers, 400, connect},
	"PeerConnections":      {"Users", fewFiles, peers, 400, connect},
	"OperatorConnections":  {"Users", fewFiles, operators, 400, connect},
	"CollectorConnections": {"Users", fewFiles, collectors, 400, connect},
	"OwnConnections":       {"", fewFiles, callers, 400, connect},
}

// TestMisbehavingClients checks that no crowd of clients that send requests of legal size ends a
// daemon, makes it exceed its host's memory or descriptors, or keeps it from answering ordinary
// callers and operators, neither while the crowd stays connected nor after it has left.
func TestMisbehavingClients(t *testing.T) {
	for name, c := range crowds {
		t.Run(name, func(t *testing.T) {
			p := start(t, c.adapter, hostMemoryMB, c.files)
			defer func() { t.Logf("peak memory: %d MB", p.peakMemory(t)>>20) }()
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			crowd(ctx, c.address(p), c.clients, c.send)
			if n := p.openFiles(t); n > c.files {
				t.Errorf("%d descriptors are open, the host has %d", n, c.files)
			}
			p.expectAnswer(t)
			leave()
			p.expectAnswer(t)
			p.expectReady(t, p.set.OperatorAddress)
			if c.adapter != "" {
				p.expectReady(t, p.set.MetricsAddress)
			}
			if peak := p.peakMemory(t); peak > hostMemoryMB<<20 {
				t.Errorf("the process has used up to %d MB, the host has %d MB", peak>>20, hostMemoryMB)
			}
		})
	}
}
